Feature: Log output is limited and never blocks

  # Guards against a process that blocks because nobody reads its output.
  Scenario: A reader that does not read loses lines but blocks nothing
    Given a log to a pipe that nobody reads
    When 20000 warnings of 100 bytes are logged
    Then some lines are counted as dropped

  # Guards against logging that takes more CPU time than the requests under
  # load.
  Scenario: Lines above the rate limit are dropped and counted
    Given a log to a pipe
    When 2000 lines are logged in one second
    Then at most 720 lines are written
    And the log reports how many were dropped, after 5 more seconds

  # Guards against routine lines that use up the rate limit, so that lines
  # about failures are dropped.
  Scenario: Routine lines leave part of the burst to other lines
    Given a log to a pipe
    When 2000 routine lines are logged in one second
    And 200 lines are logged in one second
    Then all of the last 200 lines are written
