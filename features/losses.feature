Feature: Lost requests of a simulated day are shown by time and reason

  # Guards against losses that are shown in the wrong window, and against errors
  # of the servers that are counted as refusals of a host.
  Scenario: Outcomes are counted by window and service
    Given the output of a day with these ended requests
      | second | service | status | outcome    | routine |
      | 0.5    | stock   | 200    | answered   | yes     |
      | 1.9    | stock   | 200    | answered   | no      |
      | 2.0    | stock   | 503    | no-owner   | no      |
      | 3.9    | pay     | 500    | answered   | no      |
      | -4.2   | pay     | 503    | overloaded | no      |
    When its outcomes are counted in windows of 2 seconds
    Then the counts are
      | window | outcome    | count |
      | -6     | overloaded | 1     |
      | 0      | in time    | 1     |
      | 0      | late       | 1     |
      | 2      | no-owner   | 1     |
      | 2      | failed     | 1     |
    And the table of services names "pay" and "stock"

  # Guards against a failure on lines of the benchmark itself, or on a line that
  # was truncated when its process was killed.
  Scenario: Lines of the benchmark and truncated lines are skipped
    Given the output of a day without ended requests
    When its losses are shown
    Then it reports that there are none
