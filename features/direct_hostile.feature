Feature: Hosts with servers that send endless data

  # Guards against servers that send endless data in any part of a response: a
  # host with 200 MB of memory must neither buffer nor read all of it, and must
  # report that the request may have run.
  Scenario: Endless data takes little memory and its connection is reset
    Given two direct hosts before a store, 2 keyed and 2 plain servers
    And a plain server that sends endless data
    When payments receive each of these from that server
      | bytes                         |
      | a head                        |
      | interim responses             |
      | a chunk extension             |
      | trailers                      |
      | an unsigned body              |
      | an error response             |
      | a response to another request |
      | responses to other requests   |
    Then each of these payments is answered 502 within a second
    And the server could send at most 8 MB each time
    And the memory of host 1 has grown by less than 30 MB
    And lookups at host 1 are answered as before

  # Guards against callers that wait until their deadline for a response with
  # status 000, or get a malformed response as it is.
  Scenario: A malformed response is reported at once
    Given two direct hosts before a store, 2 keyed and 2 plain servers
    And a plain server that sends endless data
    When the other plain servers accept requests
    Then a guide that receives one response with status 000 is answered by another server within a second
    When the other plain servers reject requests
    And payments receive each of these from that server
      | bytes                        |
      | one response with status 000 |
      | one response with status 600 |
    Then each of these payments is answered 502 within a second

  # Guards against endless data in the answers to orders: a granting host kept up
  # to 16 MB of each, from three connections to each faulty server.
  Scenario Outline: Endless answers to orders take little memory
    Given two direct hosts before a store, 2 keyed and 2 plain servers
    And 4 keyed servers that answer orders with <bytes> without end
    When the other keyed servers leave
    And 4 seconds pass
    Then each of the 4 servers has got an order
    And each of them could send at most 8 MB in an answer
    And the memory of both hosts has never grown by more than 20 MB

    Examples:
      | bytes              |
      | a head             |
      | interim responses  |
      | trailers           |
      | a chunk extension  |
      | an unsigned body   |
      | chunks             |
