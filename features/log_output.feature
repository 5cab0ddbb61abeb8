Feature: Log lines are bounded and never wait

  # Guards against a process that stops because nobody reads its output.
  Scenario: A reader that does not read loses lines, not time
    Given a log to a pipe that nobody reads
    When 20000 warnings of 100 bytes are logged
    Then some lines are counted as dropped

  # Guards against logs that cost more than the requests under load.
  Scenario: Too many lines are left out and counted
    Given a log to a pipe
    When 2000 lines are logged in one second
    Then at most 720 lines are written
    And the log says how many were left out, after 5 more seconds

  # Guards against lines about failures that give way to routine ones.
  Scenario: Routine lines leave room for the others
    Given a log to a pipe
    When 2000 routine lines are logged in one second
    And 200 lines are logged in one second
    Then all of the last 200 lines are written
