Feature: Keys are divided by load and speed

  # Guards against a planner that fails when requests were counted before its
  # first plan.
  Scenario: Requests before the first plan are counted
    Given key 5 is requested 30 times
    When the rates are updated twice, 0.5 seconds apart
    Then key 5 has a rate of 60 a second

  # Guards against servers that get far more than the mean load when busy keys
  # lie close together: most of the load is on a fifth of the keys and decreases
  # from one edge.
  Scenario: Busy keys that lie close together are spread at once
    Given 22 servers of equal speed own the keys
    And 70% of 600 requests a second are for the first fifth of the keys
    Then the busiest server has at most 2.2 times the mean load
    When the load is balanced 6 times
    Then the busiest server has at most 1.3 times the mean load

  # Guards against slow servers that get as many requests as fast ones, when
  # their speeds differ by a factor of more than two.
  Scenario: Slow servers get less
    Given 6 servers, every third of which takes 2.3 times as long, own the keys
    And 300 requests a second are spread evenly over all keys
    When the load is balanced 6 times
    Then no server is used more than 1.35 times as much as the mean

  # Guards against a hot key that stays at a slow server, or moves together with
  # other keys of its range: one key gets a third of all requests.
  Scenario: A hot key moves alone to a faster server
    Given 6 servers, every third of which takes 2.3 times as long, own the keys
    And 150 requests a second are spread evenly over all keys
    And a key of a slow server gets 40 requests a second more
    When the load is balanced 1 times
    Then the hot key is alone on a fast server

  # Guards against a server that keeps far more load than it takes, because it
  # owns many ranges with little load each: none was moved.
  Scenario: A server with a low capacity gives most of its ranges to another one
    Given 2 servers of equal speed own the keys
    And 40 requests a second are spread evenly over all keys
    And server 0 takes 2 requests a second only
    When the load is balanced for 4.5 seconds
    Then server 0 gets at most 2 requests a second

  # Guards against moves whose cost exceeds their gain.
  Scenario: An even load moves nothing
    Given 22 servers of equal speed own the keys
    And 300 requests a second are spread evenly over all keys
    When the load is balanced 2 times
    Then at most 10 ranges have moved

  # Guards against keys that stay with a server that leaves.
  Scenario: A leaving server loses all its keys
    Given 22 servers of equal speed own the keys
    When server 3 leaves
    Then server 3 owns nothing
    And the busiest server has at most 1.3 times the mean number of keys

  # Guards against servers that join while the load is low and get no keys,
  # because no server is saturated.
  Scenario: A server that joins gets keys also while the load is low
    Given 22 servers of equal speed own the keys
    And 50 requests a second are spread evenly over all keys
    When a server joins
    And the load is balanced 1 times
    Then the new server owns between 4 and 16 ranges
    And at most 10 ranges have moved

  # Guards against servers of busy keys that are saturated for two seconds, when
  # a load starts at its peak, before any load has been measured.
  Scenario: A sudden load is spread within one and a half seconds
    Given 22 servers of equal speed own the keys
    And 70% of 600 requests a second are for the first fifth of the keys
    When the load is balanced for 1.5 seconds
    Then the busiest server has at most 1.3 times the mean load
