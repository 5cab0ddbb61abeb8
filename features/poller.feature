Feature: One poller serves callbacks and circuits components

  Guards against connections with callbacks and connections of circuits
  components that starve, break or leak each other on the same event loop.

  Scenario: Both kinds of connections echo at the same time
    Given a loop with a callback echo server and a component echo server
    When 3 MB are sent to both at the same time
    Then both return what was sent

  Scenario: Connections that end leave nothing in the poller
    Given a loop with a callback echo server and a component echo server
    When connections to both are opened and reset
    Then both servers still echo
    And the poller polls only the listening sockets

  Scenario: A component that uses a closed socket does not break the poller
    Given a loop with a callback echo server and a component echo server
    When a component polls a socket that is closed
    Then both servers still echo

  Scenario: Data written before a connection closes arrives completely
    Guards against data that is lost or reordered, because small writes are
    joined while large ones exceed the socket buffer.
    Given a loop with a callback echo server and a component echo server
    When a server writes parts of 10, 0, 70000, 5, 9000000, 7 bytes and closes
    Then all parts arrive in order

  # Guards against a refusal that its caller never receives: closing a socket
  # with unread bytes resets the connection, which looks like a crash.
  Scenario: A response reaches a peer that is still sending
    Given a loop with a callback echo server and a component echo server
    When a server answers the first bytes of 8 MB and ends the connection
    Then the peer has read the answer

  # Guards against connections that peers keep open forever.
  Scenario: A peer that never closes is closed
    Given a loop with a callback echo server and a component echo server
    When a server ends a connection whose peer goes on sending
    Then the connection is closed within 5 seconds

  # Guards against a malformed message or an unexpected error that ends the
  # whole process, or prevents the responses of other connections.
  Scenario: An error in the handler of a connection ends only that connection
    Given a loop with a callback echo server and a component echo server
    When the handler of a connection fails on received data
    Then that connection is reset
    And its handler is told of the error
    And both servers still echo

  Scenario: An error before the wait for sockets does not prevent other writes
    Given a loop with a callback echo server and a component echo server
    When a callback before the wait fails while a write is queued
    Then the written data arrives

  # Guards against a planned stop that resets connections which the system has
  # established but the process has not yet accepted.
  Scenario: A closing listener accepts the connections in its backlog
    Given a loop with a callback echo server and a component echo server
    When a listener closes while a connection is in its backlog
    Then data sent on the connection is echoed

  # Guards against a host that uses its processor to fail to accept while it
  # has no descriptor left, so that the requests that it has taken are late.
  Scenario: A listener without free descriptors waits for one
    Given a loop with a callback echo server and a component echo server
    When a listener finds no descriptor for a connection
    Then it has tried to accept it 1 time after 0.3 seconds
    When another connection is closed
    Then data sent on the connection is echoed
