Feature: Losses of a played day are shown by time and reason

  # Guards against a cause that is looked for in the wrong second, and against
  # answers of servers that count as ours.
  Scenario: Outcomes are counted by window and service
    Given the output of a day with these ends of requests
      | second | service | status | outcome    | routine |
      | 0.5    | stock   | 200    | answered   | yes     |
      | 1.9    | stock   | 200    | answered   | no      |
      | 2.0    | stock   | 503    | no-owner   | no      |
      | 3.9    | pay     | 500    | answered   | no      |
      | -4.2   | pay     | 503    | overloaded | no      |
    When its losses are counted in windows of 2 seconds
    Then the counts are
      | window | outcome    | count |
      | -6     | overloaded | 1     |
      | 0      | in time    | 1     |
      | 0      | late       | 1     |
      | 2      | no-owner   | 1     |
      | 2      | failed     | 1     |
    And the table of services names "pay" and "stock"

  # Guards against a tool that fails on what the bench itself prints.
  Scenario: Lines of the bench and cut lines are skipped
    Given the output of a day without ends of requests
    When its losses are shown
    Then it says that there are none
