Feature: An entry host retries only safe requests and answers once

  Guards against a non-idempotent request that runs twice, against an outcome
  that ignores an earlier attempt, and against callers without an answer.

  Scenario Outline: A refused request is retried only if safe and with a new route
    Given a request of <kind> kind whose owner <route> after each attempt
    When its attempt ends as <outcome> because of <reason>
    Then the entry host has made <attempts> attempts

    Examples:
      | kind             | route   | outcome | reason      | attempts |
      | an idempotent    | changes | not-run | stale-route | 2        |
      | an idempotent    | stays   | not-run | stale-route | 1        |
      | an idempotent    | changes | unknown | server-lost | 2        |
      | an idempotent    | changes | not-run | overloaded  | 1        |
      | an idempotent    | changes | not-run | poison      | 1        |
      | a non-idempotent | changes | not-run | stale-route | 2        |
      | a non-idempotent | changes | unknown | server-lost | 1        |
      | a non-idempotent | changes | unknown | unreachable | 1        |

  Scenario: A request is retried at most twice
    Given a request of an idempotent kind whose owner changes after each attempt
    When 3 attempts end as not-run because of stale-route
    Then the entry host has made 3 attempts
    And the caller is told not-run because of stale-route

  Scenario: A later not-run does not hide an attempt with unknown outcome
    Guards against a caller that repeats a request that may have run.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt ends as unknown because of server-lost
    And its attempt ends as not-run because of overloaded
    Then the caller is told unknown because of overloaded

  Scenario: A request that was in flight at two crashes is not sent again
    Guards against one request that crashes server after server.
    Given a request of an idempotent kind whose owner changes after each attempt
    When 2 attempts end as unknown because of server-lost
    Then the entry host has made 2 attempts
    And the caller is told unknown because of server-lost

  Scenario: An answer that has begun is aborted, not restarted
    Guards against an answer composed of parts of two answers.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt answers the head
    And its attempt ends as unknown because of server-lost
    Then the entry host has made 1 attempts
    And the caller is told unknown because of server-lost

  Scenario: A silent coordinator leaves the outcome unknown
    Given a request of an idempotent kind whose owner stays after each attempt
    When the request's deadline passes
    Then the caller is told unknown because of deadline
    And the stream of the attempt is cancelled

  Scenario: A late answer to an abandoned attempt is dropped
    Guards against an answer that mixes in the answer to another attempt.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt ends as not-run because of stale-route
    And the first attempt answers late
    Then the caller has got 0 chunks

  Scenario: A small body is resent in full
    Given a request with a body whose owner changes after each attempt
    When the caller sends 1000 bytes and the end
    And its attempt ends as not-run because of stale-route
    Then each of 2 attempts got 1000 bytes and the end

  Scenario: A large body is not kept for a retry
    Guards against memory use that grows with the bodies of all callers.
    Given a request with a body whose owner changes after each attempt
    When the caller sends 70000 bytes and the end
    And its attempt ends as not-run because of stale-route
    Then the entry host has made 1 attempts
    And the caller is told not-run because of stale-route

  Scenario Outline: Every attempt that was started is ended once
    Guards against a server that counts as busy forever after retries and
    after callers that disconnected.
    Given a request of an idempotent kind whose owner changes after each attempt
    When its attempt ends as not-run because of stale-route
    And the request's <end>
    Then 2 attempts are recorded as ended, the last with failed <failed>

    Examples:
      | end                | failed |
      | answer is complete | False  |
      | answer is an error | True   |
      | caller disconnects | None   |
      | deadline passes    | True   |

  Scenario: A caller that disconnects leaves no request in the gateway
    Guards against requests that stay open after their caller has
    disconnected, for which a planned stop would wait.
    Given a caller connection with a running request
    When the caller connection is closed
    Then its request is cancelled and removed

  Scenario Outline: A body over the limit of its kind is refused
    Guards against bodies of unlimited size, and against a chunked body that is
    reported as not run although the server may already be running the request
    with the part that it has received.
    Given a caller connection with bodies up to 100 bytes
    When the caller sends a <framing> body of 101 bytes
    Then the caller reads status 413 with the outcome <outcome>

    Examples:
      | framing  | outcome |
      | declared | not-run |
      | chunked  | unknown |

  Scenario: A caller that reads slowly does not get more credit
    Guards against answers that accumulate in the memory of the process.
    Given a caller connection with a running request
    When the answer begins and the caller reads too slowly
    And 262144 bytes of the answer arrive
    Then the request was granted 0 bytes
    When the caller reads again
    Then the request was granted 262144 bytes

  # Guards against a response that is lost in a reset: a connection that is
  # closed while a further request is on its way is reset.
  Scenario: A caller that sends a further request gets the whole response
    Given a caller connection with a running request
    When the caller sends a further request
    And the running request is answered
    Then the connection closes once its caller has closed it
