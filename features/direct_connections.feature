Feature: Connections to servers carry one response to each request

  # Guards against a late duplicate of a response, received on a connection
  # that is already reused for another request.
  Scenario: A duplicate of an earlier response is not used for this request
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server responds to "r1" and then to "r2"
    Then request "r2" gets the response to "r2"
    And the connection is not used again

  # Guards against a duplicate refusal of an earlier attempt that is mistaken
  # for a refusal of the current attempt: the request would be reported as not
  # run although it runs.
  Scenario: A request does not return to the connection of its last attempt
    Given a connection to a server that has refused request "r1"
    When request "r1" is sent again
    Then it is sent on another connection

  # Guards against duplicates without a request id, which cannot be
  # distinguished from the next response.
  Scenario: A connection whose refusal had no request id is closed
    Given a connection to a server that has refused a request without its id
    When request "r2" is sent again
    Then it is sent on another connection

  # Guards against a duplicate without a request id that is returned to the
  # caller of another request.
  Scenario: A success without a request id is not returned
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server sends a signed success without a request id
    Then request "r2" may have run

  # Guards against a duplicate response that arrives together with the first
  # one.
  Scenario: A connection with two responses to one request is closed
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server responds to "r2" and then to "r2"
    Then request "r2" gets the response to "r2"
    And the connection is not used again

  # Guards against a wait until the deadline when no valid response can follow.
  Scenario Outline: <response> ends the request at once
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server sends <response>
    Then request "r2" may have run
    And the connection is not used again

    Examples:
      | response                                             |
      | a close-delimited response to another request        |
      | a success without a signature                        |
      | a success with a content encoding                    |
      | 140000 bytes of a head                               |
      | 140000 bytes of interim responses                    |
      | 140000 bytes of a chunk extension                    |
      | 140000 bytes of trailers                             |
      | 300000 bytes of a response to another request        |
      | 300000 bytes of an unsigned error                    |
      | 300000 bytes of responses to other requests          |

  # Guards against losing the proof in the head of a response that the request
  # has not run, only because its body is too large.
  Scenario: A refusal whose body does not end has not run the request
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server sends 300000 bytes of a refusal
    Then request "r2" has not run

  # Guards against limits that reject valid responses.
  Scenario: A valid response of any size is passed on
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server sends 3000000 bytes of a signed success
    Then request "r2" gets 3000000 streamed bytes

  # Guards against passing on a 503, which promises that the request has not
  # run, without such a proof of the server: it may have run the request.
  Scenario: A large refusal without proof is not passed on
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server sends 3000000 bytes of a signed 503
    Then request "r2" may have run

  # Guards against a second copy of a refusal of an earlier attempt, sent after
  # another request on the same connection: a request that runs would be
  # reported as not run, or run at a second server.
  Scenario: A request does not return to a connection of an earlier attempt
    Given a connection to a server that has refused request "r1"
    When request "r2" is sent on it
    And the server sends a response to "r2"
    And request "r1" is sent again
    Then it is sent on another connection

  # Guards against a second copy of an earlier refusal that does not name its
  # request, which is no proof for the request that is running.
  Scenario Outline: A reused connection, <bytes>
    Given a connection to a server that has answered request "r1"
    When request "r2" is sent on it
    And the server sends <bytes> in parts of <size> bytes
    Then request "r2" may have run
    And the connection is not used again

    Examples: A response that does not name its request is no proof
      | bytes                                        | size  |
      | a refusal without a request id               | 65536 |
      | a refusal without a request id               | 1     |
      | a 421 without a request id                   | 65536 |
      | an unnamed refusal, then the response        | 65536 |
      | an unnamed refusal, then the response        | 1     |
      | a part of an unnamed refusal                 | 65536 |

    Examples: A head of two responses is no proof
      | bytes                                        | size  |
      | a part of a refusal, then the response       | 65536 |
      | a part of a refusal, then the response       | 1     |
      | a part of a 421 line, then the response      | 65536 |
      | a part of a 421 line, then the response      | 1     |

  # Guards against rejecting a proof: a response on a connection that carried
  # no other request belongs to this one.
  Scenario Outline: A new connection, <bytes>
    Given a connection to a server
    When request "r2" is sent on it
    And the server sends <bytes> in parts of 1 bytes
    Then request "r2" has not run

    Examples:
      | bytes                          |
      | a refusal without a request id |
      | a 421 without a request id     |
      | a refusal of "r2"              |

  # Guards against a refusal before the request is sent that counts as the
  # response to it.
  Scenario: A refusal before the request is sent ends the connection
    Given a connection to a server
    When request "r2" waits for it to settle
    And the server sends a refusal of "r2" in parts of 65536 bytes
    Then request "r2" has not run
    And request "r2" was not sent

  # Guards against a second copy of a refusal in the same packet as the
  # response: the request that is sent next, when this response arrives, would
  # get it.
  Scenario Outline: A packet with a response and <bytes> ends the connection
    Given a connection to a server that has answered request "r1"
    And request "r3" is sent as soon as "r2" is answered
    When request "r2" is sent on it
    And the server sends a response to "r2" and <bytes>
    Then request "r2" gets the response to "r2"
    And request "r3" is sent on another connection

    Examples:
      | bytes                          |
      | a refusal without a request id |
      | a refusal of "r1"              |
      | a part of a refusal of "r1"    |
      | bytes that are no response     |

  # Guards against a server that seems slow because a response to it, or from
  # it, was held up while the links of this host were lost.
  Scenario: A response that was held up is no sample of the server's speed
    Given a connection to a server
    When a request is answered after the links of the host were lost meanwhile
    Then its time does not count as the speed of the server
    When a request is answered after the links have returned
    Then its time counts as the speed of the server

  # Guards against an error that reaches the connection of the caller and ends
  # all requests on it, and against blaming the server for it.
  Scenario: A connection that finds no descriptor is no failure of the server
    When a request is sent while the host has no descriptor left
    Then the request has not run, since the host is exhausted
    And the server has no failures

  # Guards against an entry of another writer, or of a server that is gone, to
  # which each request is sent first: the server at its address refuses it.
  Scenario Outline: A server that names itself as <who> gets <what>
    When a request is answered 421 by a server that names itself as <who>
    Then it gets <what>

    Examples:
      | who     | what                   |
      | another | no requests for 0.35 s |
      | itself  | further requests       |
      | nothing | further requests       |

  # Guards against a server that reads the next request on a connection as the
  # missing part of the body before it, whatever made the host send too little.
  Scenario Outline: A connection with <sent> of 10 bytes of a body is <reused>
    Given a connection to a server
    When request "r2" is sent with <sent> of the 10 bytes of its body
    And the server sends a response to "r2"
    Then request "r2" gets the response to "r2"
    And the connection is <reused>

    Examples:
      | sent | reused         |
      | 0    | not used again |
      | 9    | not used again |
      | 10   | kept for reuse |

  # Guards against memory that counts as used for good, and against an error,
  # when room for a response is made by ending the very caller that it is for.
  Scenario: A response whose caller is ended for it leaves nothing behind
    Given a connection to a server of a host whose memory is used up
    When the caller of "r2" is ended to make room for its response
    Then the connection is closed, and nothing is held for the response
