Feature: Links between data centres can be cut

  Background:
    Given a server stand-in behind the link "a>b"

  Scenario: An open link forwards
    Guards against cuts that are seen where there are none.

    Then a request over the link is answered

  Scenario: A dropping link swallows bytes and keeps connections
    Guards against a cut that the router learns of by a closed connection.

    When a connection over the link has been used
    And a request is held in the socket of the frozen server
    And the link "a>b" is set to "drop"
    And the server behind the link is killed
    Then the used connection stays open without an answer
    And a request over the link gets no answer

  Scenario: A connection with a gap ends when the link opens
    Guards against a stream that goes on with bytes missing.

    When a connection over the link has been used
    And the link "a>b" is set to "drop"
    And a request is sent over the used connection
    And the link "a>b" is set to "open"
    Then the used connection is closed
    And a request over the link is answered

  Scenario: A resetting link ends connections
    Guards against a cut that leaves old connections working.

    When a connection over the link has been used
    And the link "a>b" is set to "reset"
    Then the used connection is closed
    And a request over the link gets no answer

  Scenario: A link that does not exist cannot be cut
    Guards against a test whose cut never happens.

    Then setting the link "b>a" to "drop" gives status 400

  Scenario: A restarted process has its old port and a new life
    Guards against a restart that nobody can reach.

    When the server behind the link is restarted
    Then a request over the link is answered
    And the server behind the link has had 2 lives

  Scenario: All processes end, also frozen and killed ones
    Guards against processes that outlive their test.

    When the server behind the link is frozen
    And the processes of the test are closed
    Then none of the processes of the test exist

  Scenario: A process that fails to start is reported with its output
    Guards against a wait for a process that has ended.

    Then starting a server with a wrong kind reports "PREFIX"
