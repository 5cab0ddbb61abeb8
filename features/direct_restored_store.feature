Feature: A store that is restored from an older copy

  # Guards against two servers that hold one key, two granting hosts, fencing
  # tokens that go back, and keys that stay without a holder, when the store
  # loses its newest rows at any point between a write, its answer and its use.
  Scenario: Random restores and faults of the store, hosts, servers and orders
    Then 60 random sequences of restores keep one holder for each key

  # Guards against changes that a feed skips: after a restore, the version from
  # which it continues is given out again.
  Scenario: A feed that continues across a restore reads again
    Given a reader of a store with configuration 5
    And 5 other rows are written and the feed has passed them
    When the store is restored from a copy without them and gets configuration 6 and 9 other rows
    Then the reader has configuration 6 within 2 seconds

  # Guards against a configuration in force that goes back with its row.
  Scenario: The configuration in force is kept when its row goes back
    Given a reader of a store with configuration 5
    And configuration 7 is written and read
    When the store is restored from a copy that has configuration 5
    Then the reader has configuration 7 after 3 seconds

  # Guards against an evacuation that ends because its row is lost.
  Scenario: An evacuation is kept until operators can write it again
    Given a reader of a store with configuration 5
    And the evacuation of data centre "x" is written and read
    When the store is restored from a copy that has configuration 5
    And 1 second passes at the reader
    Then the reader knows an evacuation of "x"
    When 4 seconds pass at the reader
    Then the reader knows no evacuation

  # Guards against a granting host that gives up its term, or keeps moves that
  # the store has lost in memory only, so that its successor undoes them.
  Scenario: The granting host claims its term and writes lost moves again
    Given a deployment whose granting host has moved keys 0.3 seconds ago
    When the store is restored from a copy 1 second old
    And 1 second passes
    Then the same host has granted all the while
    And the store has the owners of the granting host, written in its era

  # Guards against a call that got no answer, and is executed after a restore
  # when its conditions hold by chance: it would overwrite the term of another
  # host.
  Scenario: A late write of an earlier era fails
    Given a granting host whose renewal is under way for long
    When the store is restored and another host acquires leadership
    And the row of leadership has the version that the renewal expects
    Then the renewal is rejected

  # Guards against requests to servers whose leaving only the host remembers.
  Scenario: A server that has left does not return with an older list
    Given a host that knows servers "a, b, c"
    When server "a" is leaving and server "b" is removed
    And the store is restored and its list names servers "a, c" as ready
    Then the host uses servers "c"
    When its list names servers "a, b, c" as ready
    Then the host uses servers "c"

  # Guards against a server that is dropped because its entry is lost.
  Scenario: A server whose entry is lost is kept until it registers again
    Given a host that knows servers "a, b, c"
    When the store is restored and its list names servers "a, c" as ready
    Then the host uses servers "a, b, c"

  # Guards against keys without a holder and versions that are mixed up, with
  # processes and a store that is away for a moment.
  Scenario Outline: Keys are served while the store returns from an older copy
    Given two direct hosts before a store, 2 keyed and 2 plain servers
    When keyed server 1 announces to the store that it is leaving
    And the store is away for <away_s> seconds and returns from a copy 2 seconds old
    Then keys are served at both hosts for the next 6 seconds
    And both hosts know era 1 and one of them grants
    And no key was granted to two servers at a time
    When configuration 9 is published
    Then both hosts have configuration 9 within 3 seconds

    Examples:
      | away_s |
      | 0.0    |
      | 0.6    |

  # Guards against hosts that act otherwise where the store names no era.
  Scenario: Without an era, versions and rows are as before
    Then version 7 without an era orders as 7
    And a row without an era has no field for it
