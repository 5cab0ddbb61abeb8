Feature: Connections of callers

  # Guards against callers that occupy memory and connections indefinitely
  # with a slow or endless request.
  Scenario Outline: A caller that sends <what> is refused with <status>
    Given a connection of a caller
    When the caller sends <what>
    Then the caller gets status <status> and no request has begun

    Examples:
      | what                                      | status |
      | a head one byte a second                  | 408    |
      | a body one byte a second                  | 408    |
      | 40000 bytes of a head                     | 431    |
      | 40000 bytes of a chunk extension          | 431    |
      | 40000 bytes of trailers                   | 431    |
      | 40000 bytes of empty lines                | 431    |

  # Guards against limits that reject valid requests.
  Scenario: A long body in many small chunks is taken
    Given a connection of a caller
    When the caller sends a body of 20000 chunks of a byte
    Then a request with a body of 20000 bytes has begun

  # Guards against unbounded buffering on a pipelined connection: the response
  # to the second request streams while the first one is still pending.
  Scenario: A response that cannot be written yet is read no further
    Given a connection of a caller with two requests in progress
    When the response to the second request streams 2000000 bytes
    Then the second request is paused
    When the first request is answered
    Then the second request is resumed

  # Guards against a request that a server runs although its connection closes
  # before its response: that of the request before it announces the close.
  Scenario: Nothing is begun behind a response that closes the connection
    Given a connection of a caller with two requests in progress
    When the host stops
    And the second request is answered
    And the caller sends another request
    Then 2 requests have begun
    When the first request is answered
    Then the caller gets statuses 200, 200

  # Guards against the loss of a complete response behind an unfinished one.
  Scenario: A stopping host sends the responses behind an unfinished one
    Given a connection of a caller with two requests in progress
    When the host stops
    And the second request is answered
    And the host answers the open requests
    Then the caller gets statuses 504, 200

  # Guards against requests that reach a server too late in a planned stop.
  Scenario: A stopping host refuses further requests on a connection
    Given a connection of a caller with two requests in progress
    When the host stops
    And the host refuses requests
    And the caller sends another request
    And the caller sends another request
    Then 2 requests have begun
    When the first request is answered
    And the second request is answered
    Then the caller gets statuses 200, 200, 503

  # Guards against a body that ends so late in a planned stop that no server
  # can answer the request any more.
  Scenario: A stopping host refuses a request whose body is incomplete
    Given a connection of a caller
    When the host stops
    And the caller sends a part of a body
    And the host refuses requests
    Then 0 requests have begun
    And the caller gets statuses 503
    And the connection closes once the caller has closed it

  # Guards against a last response that is lost in a reset: a connection that
  # is closed while a request is on its way is reset.
  Scenario: A caller that sends a further request gets the last response
    Given a connection of a caller with two requests in progress
    When the host stops
    And the first request is answered
    And the second request is answered
    Then the caller gets statuses 200, 200
    And the connection closes once the caller has closed it
