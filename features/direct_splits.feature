Feature: Routes that are split between services

  # Guards against shares that are far from their weights when hundreds of
  # hosts get one request each: all of them began with the heaviest part after
  # a change of the weights.
  Scenario Outline: All hosts together keep the weights over few requests
    Given <hosts> hosts that apply a split of <weights>
    When callers send 200 requests to random hosts
    Then the share of each part is within 0.1 of its weight

    Examples:
      | hosts | weights    |
      | 10    | 90 10      |
      | 195   | 50 50      |
      | 195   | 75 25      |
      | 195   | 40 30 30   |
      | 300   | 60 40      |
      | 300   | 0.5 0.25 1 |

  # Guards against shares that are right on average only.
  Scenario: One host keeps the weights over few requests
    Given 1 hosts that apply a split of 70 30
    When callers send 20 requests to random hosts
    Then the share of each part is within 0.051 of its weight
