Feature: Responses of servers that are cut short, repeated or malformed

  # Guards against a head or a body that a server cut short before it closed:
  # the caller would get a short body that is framed as whole.
  Scenario Outline: A response with <framing> is cut short at any byte
    When <client> receives each part of a response with <framing>
    Then only a whole response is complete

    Examples: Direct mode
      | client            | framing             |
      | a direct host     | a length            |
      | a direct host     | a length of 0       |
      | a direct host     | chunks and trailers |
      | a direct host     | no content          |
      | a direct host     | interim responses   |

    Examples: Coordinators, and the clients of the store and of orders
      | client            | framing             |
      | a coordinator     | a length            |
      | a coordinator     | a length of 0       |
      | a coordinator     | chunks and trailers |
      | a coordinator     | no content          |
      | a coordinator     | interim responses   |
      | a coordinator     | no length           |

  # Guards against the same for any body, chunk size and split into packets.
  Scenario: Responses of any size are cut short at any byte
    When both clients receive each part of random responses
    Then only a whole response is complete

  # Guards against a response that ends with its connection and is cut short in
  # its head, or by a reset: only an orderly close is its end.
  Scenario: A response without a length ends with its connection
    When a direct host receives each part of a response without a length
    Then no response with a part of a head is complete
    When a direct host receives parts of it before a reset
    Then no response is complete

  # Guards against a second copy of a response, or a part of one, in one packet
  # with the response: the next request would get it.
  Scenario Outline: A coordinator receives a response and <bytes>
    Given a connection of a coordinator
    When it receives a response and <bytes> in one packet
    Then the request has a complete response
    And the connection is not in the pool

    Examples:
      | bytes                      |
      | the same response          |
      | a part of the same         |
      | bytes that are no response |

  # Guards against a caller that gets a malformed response, or waits until its
  # deadline for a response that was skipped as an interim one.
  Scenario Outline: A response with <part> is malformed
    When <client> receives a response with <part>
    Then one failure and no response is reported at once
    And the connection is closed

    Examples: Direct mode
      | client        | part                              |
      | a direct host | status 000                        |
      | a direct host | status 001                        |
      | a direct host | status 099                        |
      | a direct host | status 600                        |
      | a direct host | status 999                        |
      | a direct host | status OK                         |
      | a direct host | status 20                         |
      | a direct host | status 2000                       |
      | a direct host | status 101                        |
      | a direct host | status 199                        |
      | a direct host | version HTTP/0.9                  |
      | a direct host | version HTTP/2.0                  |
      | a direct host | version RTSP/1.0                  |
      | a direct host | two lengths                       |
      | a direct host | status 000 after an interim one   |

    Examples: Coordinators, and the clients of the store and of orders
      | client        | part                              |
      | a coordinator | status 000                        |
      | a coordinator | status 001                        |
      | a coordinator | status 099                        |
      | a coordinator | status 600                        |
      | a coordinator | status 999                        |
      | a coordinator | status OK                         |
      | a coordinator | status 20                         |
      | a coordinator | status 2000                       |
      | a coordinator | status 101                        |
      | a coordinator | status 199                        |
      | a coordinator | version HTTP/0.9                  |
      | a coordinator | version HTTP/2.0                  |
      | a coordinator | version RTSP/1.0                  |
      | a coordinator | two lengths                       |
      | a coordinator | status 000 after an interim one   |

  # Guards against a check that rejects valid responses as well.
  Scenario Outline: A response with <part> is valid
    When <client> receives a response with <part>
    Then it has a complete response

    Examples:
      | client        | part             |
      | a direct host | status 200       |
      | a direct host | status 599       |
      | a direct host | version HTTP/1.0 |
      | a coordinator | status 200       |
      | a coordinator | status 599       |
      | a coordinator | version HTTP/1.0 |
