Feature: Polling of the store by a direct-mode host

  # Guards against a new granting host that learns of leaving servers too late
  # to forward it. Before, it polled for itself only, at a longer interval.
  Scenario: A new granting host reads the servers at once
    Given a reader of the store
    When it polls for itself
    And 0.5 seconds of polling pass
    And it polls for all hosts
    And 0.1 seconds of polling pass
    Then it has read the servers 2 times
    When 7 seconds of polling pass
    Then it has read the servers 11 to 13 times

  # Guards against two polling loops after a quick stop and restart, which
  # would double the calls to the store.
  Scenario: An answer after a stop does not start a second polling loop
    Given a reader of the store that answers after 0.3 seconds
    When it polls for itself
    And it stops polling
    And it polls for itself
    And 5 seconds of polling pass
    Then it has read the servers 4 to 6 times

  # Guards against hosts that start and stop polling repeatedly while the store
  # rejects the calls of the granting host for some seconds. All 66 other hosts
  # of a deployment did so.
  Scenario: A host polls until the list of the granting host is fresh
    Given a host that is linked to the granting host
    When the list of servers of the granting host ages for 7 seconds
    Then the host has started polling once
    When the list of servers of the granting host is fresh again
    Then the host has stopped polling

  # Guards against half a second of refused requests after a power failure of
  # all hosts. Each restarted host waited for the previous granting host, which
  # was down as well.
  Scenario: A restarted host reads the store almost at once
    Given a host that waits 0.08 seconds for the granting host
    When 0.1 seconds of polling pass
    Then the host has started polling once

  # Guards against hosts that handle requests by an old configuration. When the
  # granting host froze or lost its power, its list of servers was not stale
  # yet when its link counted as silent, and the hosts waited for another half
  # a second before they read the store.
  Scenario Outline: A host reads the store soon after the granting host is lost
    Given a host that is linked to the granting host
    When the granting host sends a last heartbeat with a list of age <age_s> seconds
    And it is lost without a sign
    Then the host has started polling within 1.5 seconds

    Examples:
      | age_s |
      | 0.0   |
      | 0.1   |
      | 0.3   |
      | 0.6   |

  # Guards against a host that keeps an old configuration because the granting
  # host reads servers but not the configuration, which is a separate call.
  Scenario: A host reads the store while the granting host cannot read the configuration
    Given a host that is linked to the granting host
    When the configuration of the granting host ages for 5 seconds
    Then the host has started polling once
    When the configuration of the granting host is fresh again
    Then the host has stopped polling

  # Guards against a host that stops its own reads for a new granting host
  # that has not read the configuration yet.
  Scenario: A host keeps reading until a new granting host has the configuration
    Given a host that has lost the granting host and reads the store
    When it is linked to a granting host without a configuration
    Then the host is polling

  # Guards against a granting host that learns of a new configuration too late.
  # A dead connection was replaced only after 3.6 seconds; the bound for a
  # configuration applies again 3 seconds after connections were lost.
  Scenario: A feed whose connection is dead is replaced within 2.2 seconds
    Given a reader of the store whose feed connection goes silent
    When it polls for all hosts
    And 2.2 seconds of polling pass
    Then it has read the configuration 2 times

  # Guards against requests to a server that left while a host was cut off. The
  # first heartbeat on the new link confirmed the old list of the host, and the
  # list that followed, encoded up to 0.1 seconds earlier for another host, was
  # dropped as older.
  Scenario: A host takes the list of servers of a new link
    Given a host that is linked and got servers "a, b"
    When it is linked again and gets servers "b", encoded before the last read
    Then it knows servers "b"

  # Guards against requests to a server that left. A heartbeat that arrived
  # late made the list of the host seem newer than the push that followed.
  Scenario: A host takes a list that seemed old once the list is confirmed
    Given a host that is linked and got servers "a, b"
    When it gets servers "b", read before the list of the last heartbeat
    And 0.7 seconds of polling pass
    And the granting host sends a last heartbeat with a list of age 0.1 seconds
    Then it knows servers "b"

  # Guards against a server that a host never forgets. The first push of a
  # granting host that had no list yet was added to the old list of the host.
  Scenario: A host takes the first list of a restarted granting host
    Given a host that is linked and got servers "a, b"
    When it is linked to a granting host whose first list of servers is "b"
    Then it knows servers "b"

  # Guards against requests to a server that left. A granting host that learned
  # of it later than this host would bring back its older list.
  Scenario: A host keeps its list until a new granting host has a newer one
    Given a host that is linked and got servers "a"
    When it is linked to a granting host that got servers "a, b" 2 seconds ago
    Then it knows servers "a"
    When the granting host sends a last heartbeat with a list of age 0.0 seconds
    Then it knows servers "a, b"

  # Guards against requests to a server that left. A host that has had no answer
  # of the store keeps servers that are missing from its next list, and on a new
  # link to the granting host it kept them for good.
  Scenario: A host forgets servers that it kept after an outage of the store
    Given a host that is linked and got servers "a, b"
    When it reads servers "b" after an outage and is linked to a granting host that got "b" 0.5 seconds ago
    Then it knows servers "a, b"
    When 0.4 seconds of polling pass
    And the granting host sends a last heartbeat with a list of age 0.2 seconds
    Then it knows servers "b"

  # Guards against a host that reports an old configuration as just confirmed.
  # The first heartbeat on a new link arrives before the configuration.
  Scenario: A heartbeat confirms no configuration that the link has not brought
    Given a host that is linked and got its configuration
    When it is linked again after 5 seconds and gets a heartbeat
    Then the age of its configuration is at least 5 seconds
    When it gets its configuration
    And the granting host sends a last heartbeat with a list of age 0.2 seconds
    Then the age of its configuration is below 1 second
