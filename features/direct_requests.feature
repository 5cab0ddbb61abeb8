Feature: Attempts of one request by a host that sends directly

  Background:
    Given a request for a key of server "a" that may run more than once

  # Answers the pattern of a server whose queue is full for a moment: a second
  # attempt at once meets the same queue, and takes the place of another one.
  Scenario: A server that turned a request away gets it again after a pause
    When server "a" turns the request away
    And 0.02 seconds pass for the request
    Then the request has been sent to "a"
    When 0.1 seconds pass for the request
    Then the request has been sent to "a, a"

  # Answers the pattern of keys that move while requests for them are under
  # way: the new owner is known some milliseconds after the old one refuses.
  Scenario: A request follows its key at once
    When server "a" turns the request away
    And the key moves to server "b"
    Then the request has been sent to "a, b"
    When 1 seconds pass for the request
    Then the request has been sent to "a, b"

  # Guards against requests that each change of another key sends again.
  Scenario: A change of other keys does not end the pause
    When server "a" turns the request away
    And other keys move
    Then the request has been sent to "a"

  # Guards against memory that requests take after they have ended.
  Scenario: A request that ends while it waits is forgotten
    When server "a" turns the request away
    And its caller leaves
    And 1 seconds pass for the request
    Then the request has been sent to "a"
    And no request waits

  # Answers the pattern of a server that was slow for some seconds: each host
  # remembers it as slow, and refused all requests for its keys from then on.
  Scenario: A server that was slow gets requests while it has no queue
    Given the answers of server "a" took 1.5 seconds
    When another request for the key comes
    Then the request has been sent to "a, a"

  # Guards against a long queue at a slow server.
  Scenario: A slow server with a queue gets no more requests
    Given the answers of server "a" took 1.5 seconds
    And server "a" reports 4 running and 2 waiting requests
    When another request for the key comes
    Then the request is refused with status 503

  # Guards against callers that wait for what has no prospect.
  Scenario: A request without time for a pause is refused at once as not run
    Given the caller of the request leaves it 0.12 seconds
    When 0.08 seconds pass for the request
    And server "a" turns the request away
    Then the request is refused with status 503

  # Guards against an answer of the host in the midst of a server's answer:
  # its caller would count the bytes as part of the body.
  Scenario: An answer that is under way at the timeout is broken off
    When server "a" begins an answer that is passed on as it comes
    And 5 seconds pass for the request
    Then the answer to the caller is broken off

  # Answers the pattern of a server that turns requests away and says for how
  # long it wants none: callers were told to return after 0.3 seconds, and the
  # server was asked again after 60 ms.
  Scenario: The owner of a key wants a pause
    When server "a" turns the request away and wants a pause of 4 seconds
    Then the request is refused with status 503
    And the caller is told to return after 4 to 5 seconds
    When 3.9 seconds pass for the request
    And another request for the key comes
    Then the request is refused with status 503
    And the caller is told to return after 0.1 to 1.1 seconds
    And the request has been sent to "a"

  # Answers the pattern of all callers that were refused during a pause and
  # come back together.
  Scenario: One request tries a server after its pause
    When server "a" turns the request away and wants a pause of 4 seconds
    And 4.1 seconds pass for the request
    And 20 further requests for the key come
    Then the request has been sent to "a, a"
    And the request is refused with status 503
