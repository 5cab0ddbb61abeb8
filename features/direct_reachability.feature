Feature: Hosts that lose their links to the servers

  # Guards against callers that are refused because a host takes the loss of
  # its own links for the failure of each single server.
  Scenario: A host that no server answers counts as isolated
    Given a host that servers "a b c d" answered 0.5 seconds ago
    When connections to servers "a b c" fail
    Then the host counts as isolated

  # Guards against a host that stops serving because some servers crashed.
  Scenario: A host that another server answers is not isolated
    Given a host that servers "a b c d" answered 0.5 seconds ago
    When connections to servers "a b" fail
    And server "d" answers
    And a connection to server "c" fails
    Then the host does not count as isolated

  # Guards against the same for servers that crash at the same moment.
  Scenario: A host that was answered a moment ago is not isolated
    Given a host that servers "a b c d" answered 0.1 seconds ago
    When connections to servers "a b c" fail
    Then the host does not count as isolated

  # Guards against waiting for a third server where there are only two.
  Scenario: A host isolated from all of two servers counts as isolated
    Given a host that servers "a b" answered 0.5 seconds ago
    When connections to servers "a b" fail
    Then the host counts as isolated

  # Guards against requests on connections that hang until their deadlines.
  Scenario: Unacknowledged requests count as failures of the links
    Given a host that servers "a b c d" answered 0.5 seconds ago
    When servers "a b c" acknowledge no bytes
    Then the host counts as isolated

  # Guards against a host that stays isolated after its links have returned.
  Scenario: A host notices within a second that a server accepts connections
    Given an isolated host
    When servers accept connections again
    And 0.6 seconds pass at the isolated host
    Then the host does not count as isolated

  # Guards against an answer that was held up and seems to end an isolation.
  Scenario: An answer to a request from before the isolation proves nothing
    Given an isolated host
    When an answer arrives to a request that was sent before the isolation
    Then the host counts as isolated

  # Guards against open connections that hide that new ones are refused.
  Scenario: Refused connections are noticed while open ones still work
    Given a host that servers "a b c d" answered 0.5 seconds ago
    When connections to servers "a b c" fail
    And server "d" answers
    Then the host does not count as isolated
    And new connections count as failing
    When server "d" accepts a connection
    Then new connections do not count as failing
