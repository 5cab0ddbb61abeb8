Feature: Requests are sent again only when that is safe and affordable

  Scenario Outline: Guards against a payment that runs twice and endless retries
    Given a retry budget after 100 successes
    Then a request with outcome <outcome>, idempotent <idempotent>, sent <attempts> times <may> be retried

    Examples:
      | outcome | idempotent | attempts | may     |
      | not-run | no         | 2        | may     |
      | not-run | yes        | 3        | may not |
      | unknown | no         | 1        | may not |
      | unknown | yes        | 1        | may     |
      | ran     | yes        | 1        | may not |

  Scenario: Guards against retries that multiply the load of a failing server
    Given a retry budget after 100 successes
    Then 20 retries are allowed at 1.0 s
    And 0 retries are allowed at 9.0 s
    And 5 retries are allowed at 12.0 s

  Scenario: Guards against an idle process that cannot retry, and refusals that cost budget
    Given a retry budget after 0 successes
    When 50 requests that may not run again ask for a retry
    Then 5 retries are allowed at 1.0 s
    And a request with outcome not-run, idempotent yes, sent 1 times may not be retried
    And 0 retries are allowed at 10.4 s
    And 5 retries are allowed at 11.5 s
