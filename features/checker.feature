Feature: The checker finds every injected violation

  Each scenario guards against a checker that misses a violation of its kind or
  reports a valid history. A run is written as
  "id key range epoch server start-commit", with "-" for a missing value, and
  an answer as "id once|many outcome sent-received", where "many" marks an
  idempotent request.

  Scenario Outline: Runs of one range or key: <case>
    Given the runs "<runs>"
    Then the checker reports "<rules>"

    Examples: Broken
      | case                         | runs                                             | rules                      |
      | overlap of a range           | a k1 1 3 s1 10-20; b k2 1 5 s2 19-30             | range-overlap              |
      | overlap inside a long run    | a k1 1 3 s1 10-90; b k2 1 3 s1 11-12; c k3 1 5 s2 50-60 | range-overlap       |
      | overlap of a key that moved  | a k1 1 3 s1 10-20; b k1 256 1 s2 15-30           | key-overlap                |
      | epoch goes back              | a k1 1 5 s1 10-20; b k2 1 3 s2 30-40             | epoch-backwards            |
      | epoch goes back, no commit   | a k1 1 5 s1 10-20; b k2 1 3 s2 30--              | epoch-backwards            |
      | one epoch at two servers     | a k1 1 3 s1 10-20; b k2 1 3 s2 30-40             | epoch-shared               |
      | one epoch after a restart    | a k1 1 3 s1 10-20; b k2 1 3 s1/2 30-40           | epoch-shared               |

    Examples: Allowed
      | case                         | runs                                             | rules |
      | a proper move                | a k1 1 3 s1 10-20; b k1 1 5 s2 20-30             |       |
      | work that did not commit     | a k1 1 3 s1 10--; b k1 1 5 s2 15-30              |       |
      | one server, several slots    | a k1 1 3 s1 10-20; b k1 1 3 s1 12-18             |       |
      | different ranges             | a k1 1 3 s1 10-20; b k2 2 3 s2 12-18             |       |
      | work without a range         | a k1 - 0 s1 10-20; b k1 - 0 s2 12-18             |       |

  Scenario: A key of a service that is not partitioned by key may overlap
    Given the runs "a k1 1 3 s1 10-20; b k1 2 3 s2 12-18"
    And that service is not partitioned by key
    Then the checker reports ""

  Scenario Outline: Answers and runs: <case>
    Given the runs "<runs>"
    And the answers "<answers>"
    Then the checker reports "<rules>"

    Examples: Broken
      | case                         | runs                                 | answers                                   | rules              |
      | committed twice              | a k1 1 3 s1 10-20; a k1 1 3 s1 30-40 | a once ran 5-50                           | committed-twice    |
      | committed after a not-run    | a k1 1 3 s1 60-70                    | a once not-run 5-50                       | not-run-committed  |
      | committed before a not-run   | a k1 1 3 s1 10-20                    | a many not-run 5-50                       | not-run-committed  |
      | started before a not-run     | a k1 1 3 s1 10--                     | a many not-run 5-50                       | not-run-started    |
      | committed before the repeat  | a k1 1 3 s1 10-20                    | a once not-run 5-50; a once ran 60-90     | not-run-committed  |
      | ran without a commit         | b k1 1 3 s1 10-20                    | a many ran 5-50                           | ran-without-commit |
      | ran with an aborted run      | a k1 1 3 s1 10--                     | a many ran 5-50                           | ran-without-commit |
      | ran before its commit        | a k1 1 3 s1 10-60                    | a many ran 5-50                           | ran-without-commit |
      | body of another request      | a k1 1 3 s1 10-20                    | a many ran 5-50 body-of-b                 | wrong-body         |
      | short body reported complete | a k1 1 3 s1 10-20                    | a many ran 5-50 short                     | wrong-body         |

    Examples: Allowed
      | case                         | runs                                 | answers                                   | rules |
      | ran once                     | a k1 1 3 s1 10-20                    | a once ran 5-50                           |       |
      | idempotent, committed twice  | a k1 1 3 s1 10-20; a k1 1 3 s1 30-40 | a many ran 5-50                           |       |
      | aborted, then committed      | a k1 1 3 s1 10--; a k1 1 3 s1 30-40  | a once ran 5-50                           |       |
      | not-run, then a repeat       | a k1 1 3 s1 70-80                    | a once not-run 5-50; a once ran 60-90     |       |
      | unknown, then a not-run      | a k1 1 3 s1 10-80                    | a once unknown 5-50; a once not-run 60-90 |       |
      | unknown                      | a k1 1 3 s1 10-20                    | a once unknown 5-50                       |       |
      | broken body                  | a k1 1 3 s1 10--                     | a many ran 5-50 broken                    |       |
      | error of the server          | a k1 1 3 s1 10--                     | a many ran 5-50 status-500                |       |

  Scenario: Logs are read up to an incomplete last line
    Guards against a checker that fails on the log of a killed server.

    Given run logs of two servers with an overlap and an incomplete last line
    When the checker runs on the command line
    Then it prints a "range-overlap" with both places and its status is 1

  Scenario: Logs without violations pass
    Guards against a checker that reports a violation in every log.

    Given run logs of two servers without an overlap
    When the checker runs on the command line
    Then it prints no violation and its status is 0

  Scenario: A corrupt line in the middle of a log is an error
    Guards against a checker that silently skips runs.

    Given run logs of two servers with a corrupt line in the middle
    When the checker runs on the command line
    Then it ends with an error that names the line
