Feature: A non-idempotent request runs at most once

  Background:
    Given a memory for 4 requests whose range started at 0 s

  Scenario: A repeated request does not run again
    Guards against a payment that runs twice because its caller sent it
    again, while it runs or after it ended.
    When request A is issued at 10 s
    Then request A is New at 10 s
    And request A is InProgress at 11 s
    When request A ends with body "paid"
    Then request A is Finished with body "paid" at 12 s

  Scenario: A large response is not kept
    Guards against memory that grows with the size of responses.
    When request A is issued at 10 s
    Then request A is New at 10 s
    When request A ends with a body of 5000 bytes
    Then request A is Finished without a response at 11 s

  Scenario: Kept responses are bounded together
    Guards against memory that grows with the number of responses, and
    against a request that runs again because its response was dropped.
    When requests A, B and C run at 10 s with bodies of 4000 bytes
    Then request A is Finished without a response at 11 s
    And request C is Finished with its response at 11 s

  Scenario: A request with proof that it did not run may run
    Guards against a refused request that can never be sent again.
    When request A is issued at 10 s
    Then request A is New at 10 s
    When request A is forgotten
    Then request A is New at 11 s
    When request A ends with body "paid"
    And request A is forgotten
    Then request A is Finished with body "paid" at 12 s

  Scenario: A request whose end is not known does not run again
    Guards against a second run after the connection to the server broke.
    When request A is issued at 10 s
    Then request A is New at 10 s
    When the end of request A is lost
    Then request A is PossiblyRun at 11 s

  Scenario Outline: An id from before the memory began is not run
    Guards against a second run after a coordinator took a range over that
    an earlier one may have served, also when clocks differ.
    When the range starts again at 100 s
    And request A is issued at <issued> s
    Then request A is <verdict> at 101 s

    Examples:
      | issued  | verdict     |
      | 50      | PossiblyRun |
      | 100.001 | PossiblyRun |
      | 100.250 | PossiblyRun |
      | 100.251 | New         |

  Scenario: An id sent for the first time by its entry host runs at once
    Guards against refusals of new requests just after a takeover.
    When request A is issued at 0.1 s
    Then request A is New at 0.1 s when sent for the first time
    And request A is InProgress at 0.2 s

  Scenario: An id of the future is a finding
    Guards against an id that looks new to every later coordinator.
    When request A is issued at 10.3 s
    Then request A is BadId at 10 s
    And request A is New at 10.2 s

  Scenario: Ids are remembered for ten minutes and then count as run
    Guards against a second run of a request that was forgotten.
    When request A is issued at 10 s
    Then request A is New at 10 s
    And request A is InProgress at 609 s
    And request A is PossiblyRun at 611 s
    When request B is issued at 20 s
    Then request B is PossiblyRun at 621 s

  Scenario: A full memory moves its beginning forward
    Guards against a second run of a request that was dropped to save
    memory, and against memory without bound.
    When requests A, B, C, D and E run at 10 s with bodies of 10 bytes
    Then request A is PossiblyRun at 11 s
    And request E is Finished with its response at 11 s
    And at most 4 requests are remembered

  Scenario: An id is bound to its request
    Guards against a caller who receives the response of another request.
    When request A is issued at 10 s
    Then request A is New at 10 s
    And request A with another body is BadId at 11 s

  Scenario Outline: A malformed id is a finding
    Guards against ids without a time of issue that pass for new.
    Then id "<text>" is a finding that says "<message>"

    Examples:
      | text                                 | message             |
      | x                                    | is not a UUID       |
      | 0190163d-8694-739b-aea5-966c26f8ad9  | is not a UUID       |
      | 0190163d8694739baea5966c26f8ad9f     | is not a UUID       |
      | 7b0b1c4e-3a6e-4d0c-9a57-3f9bb0f7a111 | of version 4, not 7 |
