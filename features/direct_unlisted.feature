Feature: Servers whose entries vanish and return

  # Guards against requests to a server that has asked for a pause, or for few
  # requests a second, from hosts that forget this while its entry is missing.
  Scenario Outline: <request> outlives a missing entry
    Given a host with a server that has asked for <request>
    When the entry of the server is missing for 5 seconds
    Then the server is known to have asked for <left>

    Examples:
      | request             | left                |
      | a pause of 20 s     | a pause of 15 s     |
      | a pause of 4 s      | a single probe      |
      | a limit of 3 a s    | a limit of 3 a s    |
      | a warm-up of 9 s    | a warm-up of 4 s    |

  # Guards against a restarted server that is held to what the process before
  # it had asked for.
  Scenario: The next incarnation of a server has asked for nothing
    Given a host with a server that has asked for a pause of 20 s
    When the server restarts under its id
    Then it may get requests

  # Guards against twice the connections that a server accepts, when those with
  # requests in progress cease to count.
  Scenario: Requests in progress still count when the entry returns
    Given a host with a server that handles a request
    When the entry of the server is missing for 5 seconds
    Then the request and its connection count
    When the entry of the server is missing until the request has ended
    Then nothing is kept of the server

  # Guards against unbounded memory for servers that have left for good.
  Scenario: Little is kept of servers without an entry, and not for long
    Given a host with 3000 servers that have asked for limits
    When the entries of all servers are missing for 5 seconds
    Then the limits of 1024 servers are kept
    When 600 seconds pass and idle connections are closed
    Then nothing is kept of the servers
