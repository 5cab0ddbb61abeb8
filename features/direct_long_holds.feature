Feature: Grants that hold for longer than usual

  # Guards against two holders of a key: a host takes over and assumes usual
  # holds, although the host before it has granted long ones.
  Scenario: Random losses of messages, links and renewals
    Then in 300 random sequences of 120 steps no host assumes usual holds after long ones

  # Guards against keys without an owner for 10.7 seconds, when a granting host
  # and servers fail together while the store works: the next granting host
  # waited for the longest possible leases of these servers.
  Scenario: A host that was told of usual holds assumes them
    Given a granting host that has told 3 hosts of usual holds
    Then each of them assumes usual holds

  # Guards against keys without an owner while the store is unavailable for many
  # seconds, which is longer than leases of the usual duration.
  Scenario: Long holds are granted when all hosts agree
    Given a granting host that has told 3 hosts of usual holds
    When 3 of them agree to long holds
    Then long holds may be granted
    And none of them assumes usual holds

  # Guards against long holds that a host does not know of: it was told of
  # usual holds and cannot be asked for its consent any more.
  Scenario: A lost host keeps long holds from being granted until the renewal
    Given a granting host that has told 3 hosts of usual holds
    When 2 of them agree to long holds
    And the link to the third is lost
    Then no long holds may be granted
    When the leadership is renewed
    Then long holds may be granted

  # Guards against counting a consent from before the last renewal of the
  # leadership.
  Scenario: A late consent counts for nothing
    Given a granting host that has told 1 hosts of usual holds
    When the leadership is renewed
    And it tells 1 hosts of usual holds again
    And a consent from before the renewal arrives
    Then no long holds may be granted

  # Guards against forgetting long holds that have not expired: those that a
  # host has taken over, or has granted before the store was available again.
  Scenario: Holds are not usual until all long ones have expired
    Given keys 0 to 99 are owned by server A
    Then holds are usual
    When keys 0 to 99 are granted to server A for 9.5 seconds
    Then holds are not usual
    And holds are usual again after 6 seconds

  # Guards against two holders of a key: a host assumes usual holds without
  # knowing of them, and does not wait for the longest lease of the row's owner.
  Scenario Outline: A new granting host assumes usual holds only if it knows
    Given keys 0 to 99 of server A in a row
    When a granting host takes over the row that <knows> of usual holds
    Then no grant is due to another server for <seconds> seconds

    Examples:
      | knows        | seconds |
      | knows        | 4.5     |
      | knows nothing | 10.6   |

  # Guards against keys without an owner for 10 seconds after a planned stop.
  Scenario: A host that resigns records whether its holds are usual
    Given a granting host whose store takes 0.004 seconds for a write
    When it resigns with usual holds
    Then the next granting host knows of usual holds
    And it counts leases from the end of that term

  # Guards against keys without an owner when the granting host stops while the
  # store is unavailable for 8 seconds: no other host can take over, and the
  # leases of all keys expired.
  Scenario Outline: A host that stops while the store is silent grants for long
    Given a granting host of keys 0 to 99 whose store is silent for <silent> seconds
    When it is told to stop
    Then it <extends> its grants

    Examples:
      | silent | extends         |
      | 0.9    | extends         |
      | 0.5    | does not extend |

  # Guards against two holders of a key: a host that was told of usual holds, and
  # has not agreed to long ones, takes over and assumes usual holds.
  Scenario: A host that stops without consent does not grant for long
    Given a granting host of keys 0 to 99 whose store is silent for 0.9 seconds
    And another host that was told of usual holds
    When it is told to stop
    Then it does not extend its grants
    When the other host agrees
    Then it extends its grants

  # Guards against two holders of a key: a long grant is queued behind others
  # for a server, and is sent after the other hosts were told of usual holds
  # again.
  Scenario: A long grant that waited until the store was back is not sent
    Given a granting host of keys 0 to 99 whose store is silent for 1.2 seconds
    When it plans its next orders
    Then its last order may be sent
    When the store answers again
    Then its last order may not be sent
