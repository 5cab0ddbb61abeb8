Feature: Fault matrix

  # Guards against a step or fault that was not considered, and against a cell
  # whose proof was renamed or removed.
  Scenario: Every cell of the fault matrix is filled
    Then the fault matrix has no findings

  # Guards against a page that differs from the table.
  Scenario: The page of the fault matrix is current
    Then the page of the fault matrix is what its module writes

  # Guards against a cell that cites the random sequences as its proof although
  # they never combine its step with its fault.
  Scenario: Random sequences reach the cells that name them
    Then 300 random sequences reach all cells that they prove
