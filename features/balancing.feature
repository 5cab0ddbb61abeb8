Feature: Requests without a key go to the servers that serve them best

  Background:
    Given balanced servers a, b, c, d in data centre dc1

  Scenario Outline: Guards against <failure>
    Given server d <trouble>
    When 100 requests/s are balanced for 30 s
    Then each of d received between <least>% and <most>%

    Examples:
      | failure                                      | trouble            | least | most |
      | a slow server with a full share              | takes 200 ms       | 0     | 5    |
      | a frozen server noticed only by failures     | takes 60000 ms     | 0     | 1    |
      | a server that receives everything            | takes 10 ms        | 15    | 35   |
      | a broken server with a low latency           | fails after 0.1 ms | 0     | 0.5  |
      | a server that fails too seldom to be ejected | fails 1 in 5       | 0     | 15   |

  Scenario Outline: Guards against a server that stays ejected after it has recovered
    Given server d <trouble>
    When 100 requests/s are balanced for 5 s
    And server d takes 10 ms
    And 100 requests/s are balanced for 60 s
    Then each of a, b, c, d received between 10% and 35%

    Examples:
      | trouble            |
      | fails after 0.1 ms |
      | takes 500 ms       |

  Scenario: Guards against a latency lowered by error responses
    Given 2 requests to a, c failed after 0.1 ms at 0 s
    And 2 requests to b, d failed after 10 ms at 0 s
    Then of 400 choices at 0 s 160 to 400 are b, d

  Scenario: Guards against a burst of failures, or late responses that end the ejection
    Given 3 requests to b failed after 0.1 ms at 0 s
    And 1 requests to b ended after 10 ms at 0.1 s
    Then of 50 choices at 0.4 s 0 to 0 are b
    And of 50 choices at 0.6 s 1 to 1 are b

  Scenario: Guards against a service that gets no requests because all its servers fail
    Given 3 requests to a, b, c, d failed after 0.1 ms at 0 s
    Then of 50 choices at 0.1 s 5 to 50 are b

  Scenario Outline: Guards against a server that attracts all requests by its load reports
    Given a, b, c report full load and d none
    And server d takes <ms> ms
    When 100 requests/s are balanced for 5 s
    Then each of d received between <least>% and <most>%

    Examples:
      | ms  | least | most |
      | 10  | 25    | 50   |
      | 100 | 0     | 10   |

  Scenario: Guards against choices by outdated load reports
    Given a, b, c report full load and d none
    Then of 1000 choices at 0 s 300 to 1000 are d
    And of 1000 choices at 1.9 s 700 to 1000 are a, b, c
    And of 1000 choices at 60 s 700 to 1000 are a, b, c

  Scenario Outline: Guards against <failure>
    Given balanced servers e, f in data centre dc2
    And server a, b, c, d <trouble>
    When 100 requests/s are balanced for 5 s
    Then each of e, f received between <least>% and <most>%

    Examples:
      | failure                              | trouble            | least | most |
      | needless trips to other data centres | takes 10 ms        | 0     | 1    |
      | failures with good servers elsewhere | fails after 0.1 ms | 30    | 60   |
      | queueing with fast servers elsewhere | takes 500 ms       | 30    | 60   |
      | queueing with idle servers elsewhere | takes 60000 ms     | 30    | 60   |

  Scenario: Guards against memory that grows as servers come and go
    When 100 requests/s are balanced for 1 s
    Then the chooser can forget all servers but a

  Scenario: Guards against servers that get less work after cancelled requests
    Given 50 requests to a are cancelled
    When 100 requests/s are balanced for 5 s
    Then each of a, b, c, d received between 15% and 35%
