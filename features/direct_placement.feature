Feature: Keys are divided by load and speed

  # Guards against the planner that stopped when requests had been counted
  # before its first look.
  Scenario: Requests before the first plan are counted
    Given key 5 is asked for 30 times
    When the rates are looked at twice, 0.5 seconds apart
    Then key 5 has a rate of 60 a second

  # Answers the pattern of a day whose busy keys lie close together: most of
  # the load on a fifth of the keys, falling off from one edge.
  Scenario: Busy keys that lie close together are spread at once
    Given 22 servers of equal speed own the keys
    And 70% of 600 requests a second are for the first fifth of the keys
    Then the busiest server has at most 2.2 times the mean load
    When the load is balanced 6 times
    Then the busiest server has at most 1.3 times the mean load

  # Answers the pattern of servers that differ in speed by more than two.
  Scenario: Slow servers get less
    Given 6 servers whose every third one takes 2.3 times as long own the keys
    And 300 requests a second are for all keys alike
    When the load is balanced 6 times
    Then no server is used more than 1.35 times as much as the mean

  # Answers the pattern of one key with a third of all requests.
  Scenario: A hot key moves alone to a faster server
    Given 6 servers whose every third one takes 2.3 times as long own the keys
    And 150 requests a second are for all keys alike
    And a key of a slow server gets 40 requests a second more
    When the load is balanced 1 times
    Then the hot key is alone on a fast server

  # Guards against moves that cost more than they bring.
  Scenario: An even load moves nothing
    Given 22 servers of equal speed own the keys
    And 300 requests a second are for all keys alike
    When the load is balanced 2 times
    Then at most 10 ranges have moved

  # Guards against keys that stay with a server that leaves.
  Scenario: A leaving server loses all its keys
    Given 22 servers of equal speed own the keys
    When server 3 leaves
    Then server 3 owns nothing
    And the busiest server has at most 1.3 times the mean number of keys

  # Answers the pattern of servers that join a quiet day: no server is short
  # of slots, and the new ones would get nothing.
  Scenario: A server that joins gets keys also on a quiet day
    Given 22 servers of equal speed own the keys
    And 50 requests a second are for all keys alike
    When a server joins
    And the load is balanced 1 times
    Then the new server owns between 4 and 16 ranges
    And at most 10 ranges have moved

  # Answers the pattern of a crowd that comes at once, before any load has been
  # seen: for two seconds the servers of the busy keys were short of slots.
  Scenario: A crowd is spread within one and a half seconds
    Given 22 servers of equal speed own the keys
    And 70% of 600 requests a second are for the first fifth of the keys
    When the load is balanced for 1.5 seconds
    Then the busiest server has at most 1.3 times the mean load
