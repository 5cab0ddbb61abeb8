Feature: Limits that servers name in their responses

  # Guards against a server in need that gets far more requests than the limit
  # that it named, summed over the hosts that it had told: each owner of keys
  # got the usual load. The last column is the crowd after 20 quiet seconds,
  # in which hosts could have saved up what they did not send.
  Scenario: All hosts together respect the limit of a server
    Given a server that names its limit in each response
    When callers send to it through these hosts for 20 s, 20 s and 8 s:
      | hosts | limit | demand | quiet | crowd |
      | 10    | 2.3   | 9      | 0.5   | 40    |
      | 10    | 3.9   | 9      | 0.5   | 40    |
      | 10    | 40    | 120    | 5     | 300   |
      | 67    | 3     | 12     | 0.5   | 60    |
      | 195   | 5     | 20     | 0.5   | 100   |
    Then the server got at most its limit in each case
    And at least half of its limit during the demand
    And refused callers were told at once that their request was not run
