Feature: Limits that servers name in their responses

  # Guards against an overloaded server that gets far more requests than the
  # limit that it named, summed over the hosts that it had told: each owner of keys
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

  # Guards against a limit that is parsed as none, or that stops a server for
  # good: a malformed value must not replace the limit in force.
  Scenario Outline: A server names its limit
    Given a host that knows a limit of 5 a second
    When a response with status <status> names the limit "<text>"
    Then the host knows a limit of <limit>

    Examples:
      | status | text | limit |
      | 200    | 2.5  | 2.5   |
      | 503    | 2.5  | 2.5   |
      | 200    | 0    | 0.0   |
      | 200    |      | none  |
      | 421    |      | 5.0   |
      | 200    | -1   | 5.0   |
      | 200    | nan  | 5.0   |
      | 200    | many | 5.0   |

  # Guards against a server without requests for good: with none, no response
  # shows when the limit has ended.
  Scenario: A server with a limit of 0 still gets a request now and then
    Given 10 hosts that know a limit of 0 a second
    When each sends to the server whenever it may for 200 seconds
    Then the server has got 10 to 30 requests

  # Guards against keys that stay at a server that takes a part of its usual
  # load only: no other server may run requests for them.
  Scenario: A limit reduces the estimated capacity of its server
    Given an estimate of 21 requests a second for a server
    When a host reports a limit of 3 a second, 0.2 seconds old
    Then the estimate is 2.4 requests a second
    When a host reports no limit any more, 0.1 seconds old
    Then the estimate is 21 requests a second
    When a host reports a limit of 3 a second, 0.5 seconds old
    Then the estimate is 21 requests a second

  # Guards against a log line and a report for each response of a server whose
  # limit follows its load.
  Scenario: Small changes of a limit are applied but not reported
    Given a host that knows a limit of 5 a second
    When a response with status 200 names the limit "5.2"
    And a response with status 200 names the limit "5.4"
    Then the host knows a limit of 5.4
    And it has reported the limits "5.0"
    When a response with status 200 names the limit "8"
    And a response with status 200 names the limit ""
    Then it has reported the limits "5.0, 8.0, None"

  # Guards against a granting host that is not told of a limit, or of its end.
  Scenario: A host reports a limit and its end
    Given a host without announcements
    When server a names a limit of 3 a second
    And server a asks for a pause of 2 seconds
    Then its report has a limit of 3 and a pause of 2 seconds
    When server a names no limit any more
    Then its report has no limit and a pause of 2 seconds

  # Guards against requests that wait for a server with a limit although
  # another one of its service can run them.
  Scenario: A request goes to a server without a limit
    Given two servers, of which the preferred one has a limit of 1 a second
    When 20 requests choose a server in one second
    Then at most 2 of them chose the server with a limit
    And all of them chose a server
