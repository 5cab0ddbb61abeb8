Feature: Requests without a key go to the servers that serve them best

  Scenario: Equal servers share the load
    Guards against a server that receives everything.
    Given servers a, b, c and d in data centre dc1
    When 100 requests/s are sent for 5 s
    Then each of a, b, c and d received between 15% and 35%

  Scenario: A slow server receives less
    Guards against a slow server that holds up its full share of requests.
    Given servers a, b, c and d in data centre dc1
    And server d takes 200 ms
    When 100 requests/s are sent for 5 s
    Then each of d received between 0% and 5%

  Scenario: A server that freezes receives little before any timeout
    Guards against a black hole that is noticed only by failures.
    Given servers a, b, c and d in data centre dc1
    And server d takes 60000 ms
    When 200 requests/s are sent for 2 s
    Then each of d received between 0% and 10%

  Scenario: Fast errors are not low latency
    Guards against a broken server that draws the traffic because it
    answers at once.
    Given servers a, b, c and d in data centre dc1
    And server d fails after 0.1 ms
    When 100 requests/s are sent for 5 s
    Then each of d received between 0% and 3%

  Scenario: Quick errors do not make a server look quick
    Guards against a latency lowered by answers that are errors.
    Given servers a and b in data centre dc1
    And 2 requests to a failed after 0.1 ms at 0 s
    And 2 requests to b failed after 10 ms at 0 s
    Then of 400 requests at 0 s server b receives at least 160

  Scenario: A server that stays broken is tried less and less
    Guards against failures at a constant rate from a server that is gone.
    Given servers a, b, c and d in data centre dc1
    And server d fails after 0.1 ms
    When 100 requests/s are sent for 30 s
    Then each of d received between 0% and 0.5%

  Scenario: Some errors make a server less likely
    Guards against a server that fails too seldom to be avoided.
    Given servers a, b, c and d in data centre dc1
    And server d fails one of 5 requests
    When 100 requests/s are sent for 10 s
    Then each of d received between 1% and 15%

  Scenario: A server that recovers is used again
    Guards against a server that is avoided for good.
    Given servers a, b, c and d in data centre dc1
    And server d fails after 0.1 ms
    When 100 requests/s are sent for 5 s
    And server d takes 10 ms
    And 100 requests/s are sent for 20 s
    Then each of a, b, c and d received between 10% and 35%

  Scenario: A server that was slow is tried again
    Guards against a latency that is remembered for good.
    Given servers a, b, c and d in data centre dc1
    And server d takes 500 ms
    When 100 requests/s are sent for 5 s
    And server d takes 10 ms
    And 100 requests/s are sent for 60 s
    Then each of a, b, c and d received between 10% and 35%

  Scenario: An avoided server is tried with one request at a time
    Guards against a burst of failures each time the pause is over.
    Given servers a and b in data centre dc1
    And 3 requests to b failed after 0.1 ms at 0 s
    Then of 50 requests at 0.4 s server b receives 0
    And of 50 requests at 0.6 s server b receives 1

  Scenario: Old answers do not end the avoidance
    Guards against a broken server that is used again because of requests
    that were sent before it broke.
    Given servers a and b in data centre dc1
    And 3 requests to b failed after 0.1 ms at 0 s
    When a request to b ends well at 0.1 s
    Then of 50 requests at 0.4 s server b receives 0

  Scenario: All servers are used when all fail
    Guards against a service that is given up because of bad requests.
    Given servers a and b in data centre dc1
    And 3 requests to a failed after 0.1 ms at 0 s
    And 3 requests to b failed after 0.1 ms at 0 s
    Then of 50 requests at 0.1 s server b receives at least 5

  Scenario Outline: Load hints that mislead do little
    Guards against a server that draws or loses all traffic by its reports.
    Given servers a, b, c and d in data centre dc1
    And all but d report 6 of 6 slots in use and d reports <busy>
    And server d takes <ms> ms
    When 100 requests/s are sent for 5 s
    Then each of d received between <least>% and <most>%

    Examples:
      | busy | ms  | least | most |
      | 0    | 10  | 25    | 50   |
      | 0    | 100 | 0     | 10   |

  Scenario: A hint that is old does nothing
    Guards against choices by the load of the past.
    Given servers a and b in data centre dc1
    And all but b report 6 of 6 slots in use and b reports 0
    Then of 400 requests at 0.0 s server b receives at least 240
    And of 400 requests at 1.9 s server a receives at least 160
    And of 400 requests at 60 s server a receives at least 160

  Scenario: The own data centre is preferred
    Guards against a trip between data centres that nothing calls for.
    Given servers a and b in data centre dc1
    And servers c and d in data centre dc2
    When 100 requests/s are sent for 5 s
    Then each of c and d received between 0% and 1%

  Scenario Outline: Requests spill over to another data centre
    Guards against waiting or failing while servers elsewhere are idle.
    Given servers a and b in data centre dc1
    And servers c and d in data centre dc2
    And server a <trouble>
    And server b <trouble>
    When 100 requests/s are sent for 5 s
    Then each of c and d received between 30% and 60%

    Examples:
      | trouble            |
      | fails after 0.1 ms |
      | takes 500 ms       |
      | takes 60000 ms     |

  Scenario: Servers that left are forgotten
    Guards against memory that grows with servers that come and go.
    Given servers a and b in data centre dc1
    When 100 requests/s are sent for 1 s
    And only server a is kept
    Then the chooser remembers 1 server

  Scenario: A request that its caller gave up does not keep a server busy
    Guards against servers that get ever less work.
    Given servers a and b in data centre dc1
    And 50 requests to a are given up
    When 100 requests/s are sent for 5 s
    Then each of a and b received between 40% and 60%
