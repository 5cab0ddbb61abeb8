Feature: Fault matrix

  # Guards against a step or fault that nobody has considered, and against a
  # proof that was renamed or removed.
  Scenario: Every cell of the fault matrix is filled
    Then the fault matrix has no findings

  # Guards against a page that says something else than the table.
  Scenario: The page of the fault matrix is current
    Then the page of the fault matrix is what its module writes

  # Guards against a cell that claims a proof by sequences that never combine
  # its step with its fault.
  Scenario: Random sequences reach the cells that name them
    Then 300 random sequences reach all cells that they prove
