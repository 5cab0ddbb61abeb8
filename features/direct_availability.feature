Feature: Evacuated and cold servers get no requests

  Background:
    Given a service with 4 servers in each of the data centres x and y, whose cold servers tolerate 4 requests a second for 3 seconds

  # Guards against requests to a data centre after the operators have asked for
  # its evacuation, by hosts that hear of it from the granting host only.
  Scenario: The granting host tells all hosts of an evacuation
    When the granting host reads a row that evacuates y
    Then both hosts send requests to servers in x only
    When the granting host reads that the row was deleted
    And 4 seconds pass for both hosts
    Then both hosts send requests to servers in x and y

  # Guards against an evacuation that a granting host undoes because it has not
  # read it yet: the store turns some hosts away and serves others.
  Scenario: An older list of evacuations is ignored
    Given the other host has read a row that evacuates y
    When the granting host sends the evacuations that it read 2 seconds before
    Then the other host sends requests to servers in x only
    When the granting host has read the store again and its heartbeat arrives
    Then the other host sends requests to servers in x and y

  # Guards against hosts that drop a message of a granting host of an older
  # version, which knows no evacuations.
  Scenario: A list of servers without evacuations changes none
    Given the other host has read a row that evacuates y
    When a granting host of an older version sends its servers
    Then the other host sends requests to servers in x only

  # Guards against servers that crash because they get their usual share of the
  # requests at once when their data centre is taken back.
  Scenario: Servers of a data centre that is taken back count as cold
    When the granting host reads a row that evacuates y
    And the granting host reads that the row was deleted
    And 2.9 seconds pass for both hosts
    Then both hosts send requests to servers in x only
    When 0.2 seconds pass for both hosts
    Then both hosts send requests to servers in x and y

  # Guards against the same when their entries are missing for a moment.
  Scenario: Servers that count as cold still do when their entries return
    When the granting host reads a row that evacuates y
    And the granting host reads that the row was deleted
    And the entries of the servers in y are missing for 1 s
    Then both hosts send requests to servers in x only
    When 2 seconds pass for both hosts
    Then both hosts send requests to servers in x and y

  # Guards against servers that crash just after they have joined.
  Scenario: A server that has just started gets requests after its warm-up
    When a server joins x with 2.5 seconds of warm-up
    Then both hosts know that it is cold
    When 1 seconds pass for both hosts
    And the granting host reads the same entry again
    And 1.6 seconds pass for both hosts
    Then both hosts send requests to it
    When another server joins x
    Then both hosts send requests to it

  # Guards against all hosts together exceeding what cold servers tolerate when
  # no warm server is left.
  Scenario Outline: All hosts together spare cold servers
    Given <hosts> hosts
    When all servers become cold for 3 seconds
    Then for 3 seconds no server gets more than 14 requests in any second

    Examples:
      | hosts |
      | 3     |
      | 85    |

  # Guards against keys without an owner that may serve them while they are
  # being moved, and against owners that get requests after the bound.
  Scenario: An owner in an evacuated data centre serves its keys for a while
    When the granting host reads a row that evacuates y
    And 1.9 seconds pass for both hosts
    Then owners in y get requests for their keys
    When 0.2 seconds pass for both hosts
    Then owners in y get no requests for their keys

  # Guards against keys that stay in an evacuated data centre.
  Scenario: The granting host moves all keys out of an evacuated data centre
    Given a granting host whose servers in x and y own equal shares of the keys
    When the granting host reads a row that evacuates y
    Then its next layout gives all keys to servers in x
