Feature: Links between data centres can be partitioned

  Background:
    Given a server stand-in behind the link "a>b"

  Scenario: An open link forwards
    Guards against a forwarder that breaks connections without a fault.

    Then a request over the link is answered

  Scenario: A dropping link discards bytes and keeps connections open
    Guards against a simulated network partition that the router detects by a
    closed connection.

    When a connection over the link has been used
    And a request waits in the socket buffer of the paused server
    And the link "a>b" is set to "drop"
    And the server behind the link is killed
    Then the existing connection stays open without an answer
    And a request over the link gets no answer

  Scenario: A connection with a gap ends when the link opens
    Guards against a TCP stream that continues with bytes missing.

    When a connection over the link has been used
    And the link "a>b" is set to "drop"
    And a request is sent over the existing connection
    And the link "a>b" is set to "open"
    Then the existing connection is closed
    And a request over the link is answered

  Scenario: A resetting link ends connections
    Guards against a reset that leaves existing connections working.

    When a connection over the link has been used
    And the link "a>b" is set to "reset"
    Then the existing connection is closed
    And a request over the link gets no answer

  Scenario: A link that does not exist cannot be partitioned
    Guards against a test whose fault is never injected.

    Then setting the link "b>a" to "drop" gives status 400

  Scenario: A restarted process has its old port and a new boot id
    Guards against a restarted process that cannot be reached.

    When the server behind the link is restarted
    Then a request over the link is answered
    And the server behind the link has been started 2 times

  Scenario: All processes are stopped, including paused and killed ones
    Guards against processes that outlive their test.

    When the server behind the link is paused
    And the processes of the test are closed
    Then none of the processes of the test exist

  Scenario: A process that fails to start is reported with its output
    Guards against waiting for a process that has exited.

    Then starting a server with an invalid kind reports "PREFIX"
