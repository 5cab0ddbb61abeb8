Feature: Attempts of one request by a host that sends directly

  Background:
    Given an idempotent request for a key of server "a"

  # Guards against an immediate retry at a server whose queue is full for a
  # moment: it meets the same queue, and takes the place of another request.
  Scenario: A rejected request is sent to its owner again after a backoff
    When server "a" rejects the request
    And 0.02 seconds pass for the request
    Then the request has been sent to "a"
    When 0.1 seconds pass for the request
    Then the request has been sent to "a, a"

  # Guards against a needless wait when a key moves while a request for it is
  # in flight: the new owner is known a few milliseconds after the old owner
  # has rejected the request.
  Scenario: A request follows its key at once
    When server "a" rejects the request
    And the key moves to server "b"
    Then the request has been sent to "a, b"
    When 1 seconds pass for the request
    Then the request has been sent to "a, b"

  # Guards against a retry of all waiting requests whenever another key moves.
  Scenario: A change of other keys does not end the backoff
    When server "a" rejects the request
    And other keys move
    Then the request has been sent to "a"

  # Guards against a memory leak: a request that ends during its backoff must
  # not stay registered as waiting for its owner.
  Scenario: A request that ends while it waits is forgotten
    When server "a" rejects the request
    And its caller disconnects
    And 1 seconds pass for the request
    Then the request has been sent to "a"
    And no request is waiting

  # Guards against a server that was slow for some seconds and is never used
  # again: each host still estimates it as slow, and only another response can
  # correct the estimate.
  Scenario: A server that was slow gets requests while it has no queue
    Given the responses of server "a" took 1.5 seconds
    When another request for the key comes
    Then the request has been sent to "a, a"

  # Guards against a growing queue at a slow server.
  Scenario: A slow server with a queue gets no more requests
    Given the responses of server "a" took 1.5 seconds
    And server "a" reports 4 running and 2 queued requests
    When another request for the key comes
    Then the request is refused with status 503

  # Guards against callers that wait although no time is left for a retry.
  Scenario: A request without time for a backoff is refused at once as not run
    Given the request has a deadline of 0.12 seconds
    When 0.08 seconds pass for the request
    And server "a" rejects the request
    Then the request is refused with status 503

  # Guards against a refusal that the host writes in the middle of a streamed
  # response: the caller would take its bytes for a part of the body.
  Scenario: A response in progress at the timeout is aborted
    When server "a" starts a streamed response
    And 5 seconds pass for the request
    Then the response to the caller is aborted

  # Guards against ignoring the Retry-After of a server: callers were told to
  # retry after 0.3 seconds, and the host retried the server after 60 ms.
  Scenario: The owner of a key asks for a pause
    When server "a" rejects the request and asks for a pause of 4 seconds
    Then the request is refused with status 503
    And the caller is told to retry after 4 to 5 seconds
    When 3.9 seconds pass for the request
    And another request for the key comes
    Then the request is refused with status 503
    And the caller is told to retry after 0.1 to 1.1 seconds
    And the request has been sent to "a"

  # Guards against a burst of requests at the end of a pause, when all callers
  # that were refused during the pause retry at the same time.
  Scenario: One request tries a server after its pause
    When server "a" rejects the request and asks for a pause of 4 seconds
    And 4.1 seconds pass for the request
    And 20 further requests for the key come
    Then the request has been sent to "a, a"
    And the request is refused with status 503

  # Guards against a server that works on after the host has answered in its
  # place: a stopping host waits only until shortly before its exit.
  Scenario: A server gets no more time than a stopping host has
    Given the host stops and ends its requests in 2 seconds
    When another request for the key comes
    Then server "a" has been given 1900 to 2000 milliseconds

  # Guards against a retry that a stopping host cannot wait for.
  Scenario: A request is not sent again when the host is about to exit
    Given the host stops and ends its requests in 0.04 seconds
    When server "a" rejects the request
    And 1 seconds pass for the request
    Then the request has been sent to "a"
    And the request is refused with status 503

  # Guards against a promise that a request has not run although a server runs
  # it when the host stops.
  Scenario: A request that is at its server when the host stops may have run
    When the host ends its requests
    Then the request is refused with status 504

  # Guards against a caller that waits longer than needed: another host takes
  # its request at once.
  Scenario: A request that was not sent when the host stops may come again
    When server "a" rejects the request
    And the host ends its requests
    Then the request is refused with status 503
    And the caller is told to retry after 0.1 to 0.2 seconds

  # Guards against a response that looks complete because the host stops while
  # it is streamed.
  Scenario: A streamed response is not replaced when the host stops
    When server "a" starts a streamed response
    And the host ends its requests
    Then the response to the caller goes on

  # Guards against a second copy of the refusal of an earlier attempt, which
  # has the same id: it would count as the response to the present attempt.
  Scenario: An attempt avoids the connections of the earlier attempts
    When server "a" rejects the request
    And 0.2 seconds pass for the request
    And server "a" rejects the request
    And 0.4 seconds pass for the request
    Then its attempt 3 may not use the connections of the others

  # Guards against passing on the 503 of a server without proof, which callers
  # take for a promise that the request has not run, once no other server can
  # take the request.
  Scenario: A 503 without proof is not passed on when no server is left
    Given an idempotent request that any server may run
    When no other server is left
    And server "a" responds with status 503 without proof
    Then the request is refused with status 502

  # Guards against a host without free descriptors that resets the connections
  # of its callers, tries one server after the other, or counts it against them.
  Scenario: A request that finds no descriptor is refused at once
    When no descriptor is left for a connection to server "a"
    Then the request is refused with status 503
    And the request has been sent to "a"

  # Guards against a request that a server gets without its body, so that it
  # reads the next request on the connection as that body: the host had ended
  # the caller to free connections, and sent the request nevertheless.
  Scenario: A request that is ended while connections are freed is not sent
    Given all connections to server "a" are in use
    When a request comes whose caller is ended to free connections
    And the connections to server "a" become free
    And 1 seconds pass for the request
    Then the request has been sent to "a"
    And no request is waiting

  # Guards against the same for requests that are told of a new owner one after
  # the other, when one of them ends the caller of a later one.
  Scenario: A request that is ended while owners change is not sent
    Given all connections to server "a" are in use
    And two more requests that wait for a connection
    When the key moves to server "b", where the first ends the second
    Then only the first of them is waiting
