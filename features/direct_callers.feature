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
