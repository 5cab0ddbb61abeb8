Feature: Keys are granted to one server at a time

  # Guards against two servers that hold one key, and against fencing tokens
  # that do not increase, while orders are late, lost or repeated, servers end
  # and restart, and the granting host changes.
  Scenario: Random faults of orders, servers and granting hosts
    Then 60 random sequences of 150 grant faults keep one holder for each key

  # Guards against a grant to the next owner before the former one has released
  # the keys.
  Scenario: A move waits for the release
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are moved to server B
    Then server A is asked to release keys 0 to 99
    And no grant is due
    When server A releases them with state "s1"
    Then server B is granted keys 0 to 99 with state "s1"

  # Guards against keys that are never moved away from a dead server, and
  # against keys that are granted to another one while it may still hold them.
  Scenario: A silent owner keeps its keys until its last lease has expired
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are moved to server B
    And server A does not answer the release
    Then no grant is due for 4 seconds
    And server B is granted keys 0 to 99 after 5 seconds

  # Guards against waiting for a server that is known to have ended.
  Scenario: Proof that a server has ended frees its keys at once
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are moved to server B
    And server A is proved to have ended
    Then server B is granted keys 0 to 99 with state ""

  # Guards against a release that is executed late, after the server has been
  # granted the keys again.
  Scenario: An unanswered release keeps the keys away from its server
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are moved to server B
    And server A does not answer the release
    Then server A may not get keys 50 to 60
    And server A may get keys 100 to 110
    And server A may get keys 50 to 60 after 14 seconds

  # Guards against a new granting host that does not know of grants in flight.
  Scenario: A new granting host waits for every holder in the row
    Given a row in which keys 0 to 99 of server B may be held by server A
    When a granting host takes over the row
    Then server A is asked to release keys 0 to 99
    And no grant is due

  # Guards against two holders of a key: renewals were queued behind others for
  # a server on a slow link, and were sent after the keys had been moved.
  Scenario: A grant that was in flight when its keys moved counts
    Given keys 0 to 99 are owned by server A
    And a renewal of keys 0 to 99 is in flight to server A
    When keys 0 to 99 are moved to server B
    And 2 seconds pass and server A accepts the renewal
    Then no grant is due for 4.5 seconds

  # Guards against keys without an owner: a server that has answered a release
  # accepts no older grant, so the next owner need not wait for one.
  Scenario: A late answer to a grant from before a release does not count
    Given keys 0 to 99 are owned by server A
    And a renewal of keys 0 to 99 is in flight to server A
    When keys 0 to 99 are moved to server B
    Then server A is asked to release keys 0 to 99
    When server A releases them with state "s1"
    And 0.1 seconds pass and server A accepts the renewal
    Then server B is granted keys 0 to 99 with state "s1"

  # Guards against keys without an owner for 9 seconds: the renewal of a range
  # that was split while it was in flight was counted for neither part.
  Scenario: A renewal that was in flight when its range was split counts
    Given keys 0 to 99 are owned by server A
    And a renewal of keys 0 to 99 is in flight to server A
    When keys 50 to 99 of 0 to 99 are moved to server B
    And 0.1 seconds pass and server A accepts the renewal
    Then server A is granted keys 0 to 49 again after 1.2 seconds

  # Guards against queued orders that are sent after they have become stale.
  Scenario: Orders that waited while their keys moved are not sent
    Given a server with 10 renewals that are queued behind slow ones
    When its keys are moved to another server
    And the slow renewals are answered
    Then the server gets none of the queued renewals
    And the server is asked to release all of its keys

  # Guards against two holders of a key: a server restarted under the same id
  # and accepted renewals that were meant for its former incarnation.
  Scenario: A server that restarted releases what it may have accepted
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are moved to server B
    And server A has restarted under the same id
    Then the new incarnation of server A is asked to release keys 0 to 99

  # Guards against asking a server to release keys that it is to own itself.
  Scenario: A server that restarted is granted its keys at once
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are moved to server A2
    And server A has restarted under the same id
    Then server A2 is granted keys 0 to 99 with state ""

  # Guards against a wait that starts again with each change of the granting
  # host: keys of servers that had ended before had no owner for 26 seconds.
  Scenario: A row says until when a former owner holds its keys
    Given a row in which server A may hold keys 0 to 99 of server B for 2 seconds more
    When a granting host takes over the row 0.1 seconds after the last order of the previous one
    Then server A is asked to release keys 0 to 99
    And no grant is due for 1.9 seconds
    And server B is granted keys 0 to 99 after 2.1 seconds

  # Guards against a wait for leases that have already expired when the store is
  # unavailable while the granting host stops: no host sends orders in the
  # meantime.
  Scenario: Holds are counted from the last order of the previous host
    Given a row in which keys 0 to 99 of server B may be held by server A
    When a granting host takes over the row 6 seconds after the last order of the previous one
    Then server A is asked to release keys 0 to 99
    And no grant is due for 5.6 seconds
    And server B is granted keys 0 to 99 after 5.8 seconds

  # Guards against keys without an owner for as long as grants to a dead server
  # are retried.
  Scenario: Grants that do not reach the server do not extend its lease
    Given keys 0 to 99 are owned by server A
    When 8 grants to server A fail within 2.8 seconds
    And keys 0 to 99 are moved to server B
    And server A does not answer the release
    Then no grant is due for 0.5 seconds
    And server B is granted keys 0 to 99 after 4.7 seconds

  # Guards against two holders of a key: the row is written with the end of a
  # lease, while the lease of the former owner is renewed until the store
  # answers.
  Scenario: An owner that answers is renewed while its keys are proposed
    Given keys 0 to 99 are owned by server A
    When keys 0 to 99 are proposed for server B
    Then each lease granted in the next 20 seconds ends as proposed
    And at least 3 grants were given

  # Guards against keys without a holder after the store has lost rows, although
  # the granting host knows that its last leases have not ended.
  Scenario: A lease that has not ended is renewed after rows were lost
    Given keys 0 to 99 are owned by server A
    When the granting host resumes after lost rows 2 seconds later
    Then server A is granted keys 0 to 99 with its former token

  # Guards against two holders of a key: another host may have moved it by a row
  # that the store has lost.
  Scenario: A server that saw a later token gets no new one before all leases end
    Given keys 0 to 99 are owned by server A
    When the granting host resumes after lost rows 2 seconds later
    And server A rejects the next grant as stale
    And keys 0 to 99 are written again for server A
    Then no grant is due for 11.5 seconds

  # Guards against the same where the lease may have ended already.
  Scenario: A lease that may have ended is not renewed after rows were lost
    Given keys 0 to 99 are owned by server A
    When the granting host resumes after lost rows 3.1 seconds later
    And keys 0 to 99 are written again for server A
    Then no grant is due for 11.5 seconds

  # Guards against keys that are without an owner for longer: further grants to
  # a server that does not answer would postpone the lease end in the row.
  Scenario: An owner that does not answer is not renewed any more
    Given keys 0 to 99 are owned by server A
    When 12 grants to server A fail within 4.4 seconds
    And keys 0 to 99 are proposed for server B
    Then each lease granted in the next 20 seconds ends as proposed
    And no grant was given
