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
