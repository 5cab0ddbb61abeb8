Feature: A non-idempotent request runs at most once

  Background:
    Given a memory of 4 request ids that begins at 0 s

  Scenario: Guards against a payment that runs again when it is retried
    Then id A gives New at 10 s
    And id A gives InProgress at 11 s
    When id A ends with 4 bytes
    Then id A gives Finished with 4 bytes at 12 s

  Scenario: Guards against memory use that grows with the size and number of responses
    When ids A end with 5000 bytes at 10 s
    Then id A gives Finished at 10 s
    When ids B, C, D end with 4000 bytes at 10 s
    Then id B gives Finished at 11 s
    And id D gives Finished with 4000 bytes at 11 s

  Scenario: Guards against a refused request that can never be sent again
    Then id A gives New at 10 s
    When id A is forgotten
    Then id A gives New at 11 s
    When id A ends with 4 bytes
    And id A is forgotten
    Then id A gives Finished with 4 bytes at 12 s

  Scenario: Guards against a second run after the server connection broke
    Then id A gives New at 10 s
    When id A is lost
    Then id A gives PossiblyRun at 11 s

  Scenario Outline: Guards against a second run after a takeover, with clock skew between hosts
    When the memory begins again at 100 s
    And id A is issued at <issued> s
    Then id A gives <verdict> at 101 s

    Examples:
      | issued  | verdict     |
      | 100.250 | PossiblyRun |
      | 100.251 | New         |

  Scenario: Guards against refusals of new requests just after a takeover
    Then id A first gives New at 0.1 s
    And id A gives InProgress at 0.2 s

  Scenario: Guards against an id with a timestamp in the future that looks new to later coordinators
    When id A is issued at 10.3 s
    Then id A gives BadId at 10 s
    And id A gives New at 10.2 s

  Scenario: Guards against a second run of a request whose record has expired
    Then id A gives New at 10 s
    And id A gives InProgress at 609 s
    And id A gives PossiblyRun at 611 s
    When id B is issued at 20 s
    Then id B gives PossiblyRun at 621 s

  Scenario: Guards against a second run of a request whose record was dropped to bound the memory
    When ids A, B, C, D, E end with 10 bytes at 10 s
    Then id A gives PossiblyRun at 11 s
    And id E gives Finished with 10 bytes at 11 s

  Scenario: Guards against a caller who receives the response of another request
    Then id A gives New at 10 s
    And id A altered gives BadId at 11 s

  Scenario Outline: Guards against ids without a timestamp
    Then the id "<text>" is refused with "<message>"

    Examples:
      | text                                 | message             |
      | x                                    | is not a UUID       |
      | 0190163d8694739baea5966c26f8ad9f     | is not a UUID       |
      | 7b0b1c4e-3a6e-4d0c-9a57-3f9bb0f7a111 | of version 4, not 7 |
