Feature: Servers that the granting host cannot reach for a while

  # Guards against keys that stay at a few servers for good: a server without
  # keys gets no orders, so no order could show that it is reachable again.
  Scenario: A server without orders is reachable again once it accepts them
    Given a granting host whose orders to server "a" failed
    Then server "a" counts as unreachable
    When server "a" accepts connections again
    And 1.5 seconds pass at the granting host
    Then server "a" counts as reachable

  # Guards against ranges that are given to a server that does not answer.
  Scenario: A server that still refuses connections stays unreachable
    Given a granting host whose orders to server "a" failed
    When 5 seconds pass at the granting host
    Then server "a" counts as unreachable
    And the granting host has tried to connect at least 3 times

  # Guards against one server that gets all keys, because it is the first that
  # a granting host reaches after its own links were cut.
  Scenario: The end of an isolation makes all servers reachable at once
    Given a granting host that is isolated from servers "a b c"
    When a server accepts a connection of the granting host
    Then servers "a b c" count as reachable

  # Guards against the same while the links are cut.
  Scenario: An isolated granting host plans no moves
    Given a granting host whose leases at servers "a b c" have expired
    And only server "a" has answered orders
    When the granting host becomes isolated
    Then it keeps the owners

  # Guards against keys that stay at a server that died while others answer.
  Scenario: Keys of dead servers move while other servers answer
    Given a granting host whose leases at servers "a b c" have expired
    And only server "a" has answered orders
    Then it plans to move all ranges to server "a"

  # Guards against load that stays at one server after a cut.
  Scenario: Keys of one server are spread over all servers within seconds
    Given 18 servers of which one owns 346 of 352 ranges under equal load
    When the granting host rebalances every 0.4 seconds for 4 seconds
    Then the load of each server is at most 1.3 times the mean
