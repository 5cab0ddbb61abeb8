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
