Feature: Steps of a planned stop of a host that sends directly

  # Guards against steps in an order in which requests are lost: a request that
  # is accepted too late, or is still open when the process exits.
  Scenario Outline: A host with a grace period of <grace> seconds stops
    Given a host with an open request and a grace period of <grace> seconds
    When it is stopped and the request stays open
    Then the listener is closed after <refused> seconds
    And requests are refused after <refused> seconds
    And open requests are answered after <answered> seconds
    And it exits after <exited> seconds

    Examples:
      | grace | refused | answered | exited |
      | 6     | 2.6     | 5.4      | 5.7    |
      | 3     | 1.5     | 2.4      | 2.7    |

  # Guards against an exit before the last responses are sent: a process that is
  # late answers and would exit in the same call.
  Scenario: A host that is late sends its last responses before it exits
    Given a host with an open request and a grace period of 6 seconds
    When it is stopped, and its process is late from 5.3 to 5.68 seconds
    Then open requests are answered after 5.68 seconds
    And it exits after 5.98 seconds

  # Guards against a host that is kept running without a connection.
  Scenario: A host without connections stops before its grace period ends
    Given a host with an open request and a grace period of 6 seconds
    When it is stopped and the request ends after 3 seconds
    Then it exits after 3 seconds

  # Guards against a host that waits for idle connections until its grace period
  # ends.
  Scenario: Idle connections are closed when requests are refused
    Given a host with an idle connection and a grace period of 6 seconds
    When it is stopped and the request stays open
    Then it exits after 2.6 seconds
