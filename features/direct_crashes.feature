Feature: Requests that crash the servers that run them

  # Guards against a request that crashes each server that runs it while its
  # caller repeats it.
  Scenario: Identical requests are refused after three crashes
    Given an empty crash count
    When request 7 is in flight at 3 servers that die
    Then request 7 is refused as poison
    And request 8 is not refused as poison

  # Guards against refusing requests whose servers only reset connections.
  Scenario: A lost connection alone is no crash
    Given an empty crash count
    When request 7 loses its connection to 5 servers that stay up
    Then request 7 is not refused as poison

  # Guards against attributing a crash to a request that lost its connection
  # long before.
  Scenario: A server that dies later has not been crashed by the request
    Given an empty crash count
    When request 7 loses its connection to 3 servers that die 2 seconds later
    Then request 7 is not refused as poison

  # Guards against hosts that each count only the crashes of their own
  # requests.
  Scenario: The crashes that other hosts observed count as well
    Given an empty crash count
    And another host that saw request 7 in flight at 2 servers that died
    When request 7 is in flight at 1 server that dies
    Then request 7 is refused as poison

  # Guards against a request that is refused indefinitely.
  Scenario: The refusal ends a minute after the last crash
    Given an empty crash count
    When request 7 is in flight at 3 servers that die
    And 61 seconds pass without a crash
    Then request 7 is not refused as poison
