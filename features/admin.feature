Feature: Operators reach the administration listener

  Guards against requests that are served without the token, against malformed
  input or failing operations that end the process or leak memory, and against
  submissions that never get a response.

  Background:
    Given an administration listener

  Scenario Outline: Routes answer with and without the token
    When the admin listener gets "<method>" "<path>" with <token> token
    Then the admin status is <status>

    Examples:
      | method | path            | token     | status |
      | GET    | /ready          | no        | 200    |
      | GET    | /health         | no        | 200    |
      | GET    | /metrics        | no        | 200    |
      | GET    | /v1/status      | the right | 200    |
      | GET    | /v1/status?x=1  | the right | 200    |
      | GET    | /v1/dump        | the right | 200    |
      | GET    | /v1/poison      | the right | 200    |
      | GET    | /v1/manifest    | the right | 404    |
      | POST   | /v1/stop        | the right | 202    |
      | GET    | /v1/status      | no        | 401    |
      | GET    | /v1/dump        | a wrong   | 401    |
      | GET    | /v1/poison      | no        | 401    |
      | GET    | /v1/manifest    | no        | 401    |
      | POST   | /v1/manifest    | a wrong   | 401    |
      | POST   | /v1/stop        | no        | 401    |
      | POST   | /v1/stop        | a wrong   | 401    |
      | GET    | /v1/stop        | the right | 405    |
      | POST   | /ready          | no        | 405    |
      | HEAD   | /ready          | no        | 405    |
      | GET    | /               | the right | 404    |
      | GET    | /v1/status/     | the right | 404    |
      | GET    | /v1//status     | the right | 404    |

  Scenario: A refused stop does not stop the process
    When the admin listener gets "POST" "/v1/stop" with a wrong token
    Then the process was asked to stop 0 times

  Scenario: A host that is not ready reports this
    Given the host is not ready
    When the admin listener gets "GET" "/ready" with no token
    Then the admin status is 503

  Scenario: The manifest in force is returned unchanged
    Given the document in force is {"version":  3}
    When the admin listener gets "GET" "/v1/manifest" with the right token
    Then the admin body is {"version":  3}

  Scenario Outline: Malformed requests are answered and the listener keeps serving
    When the admin listener receives <bytes>
    Then the raw admin status is <status>
    And the admin listener still serves and keeps no connection state

    Examples:
      | bytes                                                                  | status |
      | b'\x00\xff\r\n\r\n'                                                    | 400    |
      | b'\x16\x03\x01\x02\x00'                                                | 400    |
      | b'GET /ready HTTP/9.9\r\n\r\n'                                         | 400    |
      | b'GET /ready HTTP/1.1\r\nHost: a:b\r\n\r\n'                            | 200    |
      | b'GET /ready HTTP/1.1\r\nX: \\x\r\n\r\n'                               | 200    |
      | b'GET /ready HTTP/1.1\r\nCookie: =;=\r\n\r\n'                          | 200    |
      | b'HEAD /ready HTTP/1.1\r\n\r\n'                                        | 405    |
      | b'GET //[ HTTP/1.1\r\n\r\n'                                            | 404    |
      | b'GET /\xff HTTP/1.1\r\n\r\n'                                          | 400    |
      | b'GET /v1/status HTTP/1.1\r\nAuthorization: Bearer \xff\r\n\r\n'       | 401    |
      | b'GET /ready HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n'              | 200    |
      | b'GET /ready HTTP/1.1\r\nX: ' + b'a' * 20000 + b'\r\n\r\n'             | 431    |
      | b'GET /' + b'a' * 100000                                               | 431    |
      | b'POST /v1/manifest HTTP/1.1\r\nContent-Length: -1\r\n\r\n'            | 400    |
      | b'POST /v1/manifest HTTP/1.1\r\nContent-Length: 1e9\r\n\r\n'           | 400    |

  Scenario Outline: A body over the limit is refused after the client has sent it
    When a body of <bytes> bytes is submitted <form>
    Then the admin status is <status>
    And <count> manifests were submitted
    And the admin listener still serves and keeps no connection state

    Examples:
      | bytes   | form        | status | count |
      | 4194304 | with length | 200    | 1     |
      | 4194305 | with length | 413    | 0     |
      | 4194304 | in chunks   | 200    | 1     |
      | 4194305 | in chunks   | 413    | 0     |
      | 9000000 | in chunks   | 413    | 0     |

  Scenario: An endless body is cut off
    When an endless body is submitted in chunks
    Then the admin connection is closed
    And the admin listener still serves and keeps no connection state

  Scenario: A client that stalls is cut off while others are served
    Given admin connections may last 0.2 s
    When a client sends half of a request to the admin listener
    Then the admin connection is closed
    And the admin listener still serves and keeps no connection state

  Scenario: A client that resets during a large response leaves no state
    Given the state of the host has 20 MB
    When a client requests the state, reads nothing and resets
    Then the admin listener still serves and keeps no connection state

  Scenario: Bytes for a connection that has closed are dropped
    When a response is written to a closed admin connection
    Then the admin listener still serves and keeps no connection state

  Scenario: Connections over the limit are refused
    When 80 connections to the admin listener are open
    Then at least 16 of them are closed by the admin listener
    And after closing them the admin listener still serves and keeps no connection state

  Scenario Outline: A failing operation is answered and logged
    Given operations fail with "disk on fire"
    When the admin listener gets "<method>" "<path>" with the right token
    Then the admin status is 500
    And the admin body does not contain "disk on fire"
    And the log has one error with "disk on fire"

    Examples:
      | method | path         |
      | GET    | /v1/status   |
      | GET    | /metrics     |
      | POST   | /v1/manifest |

  Scenario: An exception in another component does not affect the listener
    When another component of the event loop fails with "disk on fire"
    Then the log has one error with "disk on fire"
    And the admin listener still serves and keeps no connection state

  Scenario Outline: Each result of a submission has a status
    Given submissions return <result>
    When the admin listener gets "POST" "/v1/manifest" with the right token
    Then the admin status is <status>
    And the admin body contains "<text>"

    Examples:
      | result                                     | status | text                     |
      | Accepted(7)                                | 200    | "version":7              |
      | Rejected((Finding('version', 'missing'),)) | 422    | "place":"version"        |
      | Conflict(9)                                | 409    | "version":9              |
      | Conflict(9, 'too low')                     | 409    | too low                  |
      | Unavailable('the table is down')           | 503    | the table is down        |
      | Unavailable('no response', True)           | 504    | "unknown":true           |

  Scenario: A submission is answered when its result arrives
    When a manifest is submitted and its result is pending
    And its result is Accepted(8)
    Then the pending submission gets 200

  Scenario: A submission without a result is answered as unknown
    Given submissions may take 0.2 s
    When a manifest is submitted and its result is pending
    Then the pending submission gets 504
    And a late result changes nothing
    And the admin listener still serves and keeps no connection state

  Scenario: A client that disconnects before the result leaves no state
    When a client submits a manifest and disconnects
    And its result is Accepted(8)
    Then the admin listener still serves and keeps no connection state
