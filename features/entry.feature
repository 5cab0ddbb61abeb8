Feature: An entry host retries only what is safe and answers once

  Guards against a non-idempotent request that runs twice, against an outcome
  that forgets an earlier attempt, and against callers without an answer.

  Scenario Outline: A refusal is retried only with a new route and safely
    Given a request of <kind> kind whose owner <route> after each attempt
    When its attempt ends as <outcome> because of <reason>
    Then the entry has made <attempts> attempts

    Examples:
      | kind           | route   | outcome | reason      | attempts |
      | an idempotent  | changes | not-run | stale-route | 2        |
      | an idempotent  | stays   | not-run | stale-route | 1        |
      | an idempotent  | changes | unknown | server-lost | 2        |
      | an idempotent  | changes | not-run | overloaded  | 1        |
      | an idempotent  | changes | not-run | poison      | 1        |
      | a once-only    | changes | not-run | stale-route | 2        |
      | a once-only    | changes | unknown | server-lost | 1        |
      | a once-only    | changes | unknown | unreachable | 1        |

  Scenario: A request is retried at most twice
    Given a request of an idempotent kind whose owner changes after each attempt
    When 3 attempts end as not-run because of stale-route
    Then the entry has made 3 attempts
    And the caller is told not-run because of stale-route

  Scenario: A later proof says nothing of an attempt with unknown outcome
    Guards against a repeat by the caller of a request that may have run.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt ends as unknown because of server-lost
    And its attempt ends as not-run because of overloaded
    Then the caller is told unknown because of overloaded

  Scenario: A request that was in flight at two crashes is not sent again
    Guards against one request that crashes server after server.
    Given a request of an idempotent kind whose owner changes after each attempt
    When 2 attempts end as unknown because of server-lost
    Then the entry has made 2 attempts
    And the caller is told unknown because of server-lost

  Scenario: An answer that has begun is broken off, not begun again
    Guards against the parts of two answers in one.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt answers the head
    And its attempt ends as unknown because of server-lost
    Then the entry has made 1 attempts
    And the caller is told unknown because of server-lost

  Scenario: A silent coordinator leaves the outcome unknown
    Given a request of an idempotent kind whose owner stays after each attempt
    When the entry's deadline passes
    Then the caller is told unknown because of deadline
    And the stream of the attempt is cancelled

  Scenario: What arrives for an attempt that was given up is dropped
    Guards against the answer of another attempt in this one.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt ends as not-run because of stale-route
    And the first attempt answers late
    Then the caller has got 0 chunks

  Scenario: A small body is sent again whole
    Given a request with a body whose owner changes after each attempt
    When the caller sends 1000 bytes and the end
    And its attempt ends as not-run because of stale-route
    Then each of 2 attempts got 1000 bytes and the end

  Scenario: A large body is not kept for another attempt
    Guards against memory that grows with the bodies of all callers.
    Given a request with a body whose owner changes after each attempt
    When the caller sends 70000 bytes and the end
    And its attempt ends as not-run because of stale-route
    Then the entry has made 1 attempts
    And the caller is told not-run because of stale-route

  Scenario Outline: Every attempt that was begun is ended once
    Guards against a server that counts as busy for ever after retries and
    callers that went away.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt ends as not-run because of stale-route
    And the entry's <end>
    Then 2 attempts were noted as ended, the last with failed <failed>

    Examples:
      | end                | failed |
      | answer is complete | False  |
      | answer is an error | True   |
      | caller goes away   | None   |
      | deadline passes    | True   |

  Scenario: A caller that goes away leaves nothing in the gateway
    Guards against a set of requests that is searched at each closed
    connection.
    Given a caller connection with a running request
    When the caller connection is closed
    Then its request is cancelled and forgotten

  Scenario Outline: A body over the limit of its kind is refused
    Given a caller connection with bodies up to 100 bytes
    When the caller sends a <framing> body of 101 bytes
    Then the caller reads status 413 with the outcome <outcome>

    Examples:
      | framing  | outcome |
      | declared | not-run |
      | chunked  | unknown |

  Scenario: A caller that reads slowly does not get more credit
    Guards against answers that collect in the process.
    Given a caller connection with a running request
    When the answer begins and the caller reads too slowly
    And 262144 bytes of the answer arrive
    Then the request was granted 0 bytes
    When the caller reads again
    Then the request was granted 262144 bytes
