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

  # Guards against refusing a usual request of which several are in flight when
  # several servers crash at the same time.
  Scenario: Crashes at the same time count once
    Given an empty crash count
    When request 7 is in flight at 5 servers that die at the same time
    Then request 7 is not refused as poison

  # Guards against refusing a usual request that returns often while servers
  # crash by themselves.
  Scenario Outline: A completed request is no suspect
    Given an empty crash count
    When request 7 is in flight at 2 servers that die
    And request 7 is completed <where>
    And request 7 is in flight at 2 servers that die
    Then request 7 is not refused as poison

    Examples:
      | where           |
      | at this host    |
      | at another host |

  # Guards against blaming a request that is completed elsewhere before it is
  # known that the server has crashed.
  Scenario: A request that is completed at once is no suspect
    Given an empty crash count
    When request 7 is in flight at 3 servers that die, and is completed 0.3 seconds later
    Then no request is a suspect

  # Guards against an answer that is lost on a link with packet loss, and then
  # taken for that of a server that lives.
  Scenario: A server that does not answer at first is tried again
    Given an empty crash count
    And servers that do not answer the first attempt to connect
    When request 7 is in flight at 3 servers that die
    Then request 7 is refused as poison

  # Guards against a crash that is put down to the links of the host, because
  # no other server had answered it in the last moment.
  Scenario: A moment of isolation hides no crash
    Given an empty crash count
    When request 7 is in flight at a server that dies while the host is isolated for 0.1 seconds
    Then request 7 is a suspect

  # Guards against connections that are opened in a loop.
  Scenario: A server that does not answer is tried a few times
    Given an empty crash count
    And servers that do not answer the first 100 attempts to connect
    When request 7 is in flight at 1 server that dies
    Then the server has been tried at most 7 times
    And no request is a suspect

  # Guards against a granting host of an older version, which does not learn of
  # completed requests and reports its count again with the next crash.
  Scenario: Crashes from before the completion are left out of later counts
    Given an empty crash count
    And a granting host that reports 2 crashes of request 7
    When request 7 is completed at this host
    And the granting host reports 3 crashes of request 7
    Then request 7 is not refused as poison
    When the granting host reports 5 crashes of request 7
    Then request 7 is refused as poison

  # Guards against messages of one version that hosts of another one cannot use.
  Scenario Outline: Hosts of <sender> version report crashes
    Given a granting host
    When a host of <sender> version reports 2 crashes of request 7 and 1 of request 8
    Then the granting host tells all hosts that request 7 has 2 crashes
    And a host that connects later is told the same
    When a host of the same version reports that request 7 was completed
    Then the granting host tells all hosts that request 7 has 0 crashes

    Examples:
      | sender    |
      | the same  |
      | the older |

  # Guards against a table that one day of crashes fills with requests that
  # never return.
  Scenario: Suspects are forgotten, and those with most crashes are kept
    Given an empty crash count
    When request 7 is in flight at 3 servers that die
    And 600 other requests are in flight at a server that dies
    Then request 7 is refused as poison
    And at most 512 requests are suspects
    When 61 seconds pass without a crash
    Then at most 1 requests are suspects
