Feature: Steps of a planned stop of a host that sends directly

  # Guards against steps in an order in which requests are lost: a request that
  # is accepted too late, or is still open when the process exits.
  Scenario Outline: A host with a grace period of <grace> seconds stops
    Given a host with an open request and a grace period of <grace> seconds
    When it is stopped and the request stays open
    Then requests are refused after <refused> seconds
    And open requests are answered after <answered> seconds
    And it exits after <exited> seconds

    Examples:
      | grace | refused | answered | exited |
      | 6     | 2.65    | 5.4      | 5.65   |
      | 3     | 1.55    | 2.4      | 2.65   |

  # Guards against a host that is kept running without a connection.
  Scenario: A host without connections stops before its grace period ends
    Given a host with an open request and a grace period of 6 seconds
    When it is stopped and the request ends after 3 seconds
    Then it exits after 3 seconds

  # Guards against a host that exits without waiting for a connection that is
  # still in use.
  Scenario: Idle connections are closed when requests are refused
    Given a host with an idle connection and a grace period of 6 seconds
    When it is stopped and the request stays open
    Then it exits after 2.65 seconds
