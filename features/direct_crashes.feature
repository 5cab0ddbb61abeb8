Feature: Requests that crash the servers that run them

  # Answers the pattern of one request, repeated by its caller, that kills
  # each server that runs it.
  Scenario: Equal requests are refused after three crashes
    Given a count of crashes
    When request 7 is in flight at 3 servers that die
    Then request 7 is refused as poison
    And request 8 is not refused as poison

  # Guards against a refusal of requests whose servers only broke connections.
  Scenario: A connection that breaks is no crash
    Given a count of crashes
    When the connection of request 7 breaks at 5 servers that live
    Then request 7 is not refused as poison

  # Guards against a crash that is put down to a request of long before.
  Scenario: A server that dies later has not been crashed by the request
    Given a count of crashes
    When the connection of request 7 breaks at 3 servers that die 2 seconds later
    Then request 7 is not refused as poison

  # Guards against hosts that each wait for three crashes of their own.
  Scenario: The crashes that other hosts saw count as well
    Given a count of crashes
    And another host that saw request 7 at 2 servers that died
    When request 7 is in flight at 1 server that dies
    Then request 7 is refused as poison

  # Guards against a request that is refused for ever.
  Scenario: The refusal ends a minute after the last crash
    Given a count of crashes
    When request 7 is in flight at 3 servers that die
    And 61 seconds of calm pass
    Then request 7 is not refused as poison
