Feature: Servers that never answer a request that they cannot queue

  # Guards against callers that wait for their whole timeout, and against
  # breaking off work: a slow server and a long request look alike at first.
  Scenario Outline: <kind> that was overtaken counts as hung <when>
    Given a server that usually takes 0.2 seconds
    And <kind> is sent to it
    When a request that is sent 0.5 seconds later is answered after 0.2 seconds
    And the next <seconds> seconds pass
    Then <found> of them hangs

    Examples:
      | kind                      | when       | seconds | found |
      | an idempotent request     | in time    | 1.1     | 1     |
      | an idempotent request     | not early  | 0.8     | 0     |
      | a request that runs once  | not at all | 3.0     | 0     |

  # Guards against breaking off a request that may run only once while its
  # server works on it, and against proof from a response that is on its way.
  Scenario Outline: Reports of <total> requests for <seconds> seconds
    Given a server that usually takes 0.2 seconds
    And an idempotent request is sent to it
    And a request that runs once is sent to it
    When the server reports <total> other requests for <seconds> seconds
    Then <found> of them hangs

    Examples:
      | total | seconds | found |
      | 0     | 1.5     | 2     |
      | 1     | 1.5     | 1     |
      | 2     | 1.5     | 0     |
      | 0     | 1.0     | 0     |

  # Guards against connections that stay open for ever: nobody waits any more
  # for a request that runs once and whose caller has left.
  Scenario: A request that is never answered is given up after its time
    Given a server that usually takes 0.2 seconds
    And a request that runs once is sent to it
    When the next 4.1 seconds pass
    Then 1 of them hangs

  # Guards against a bound for services whose servers do not hang.
  Scenario Outline: <count> unanswered requests at <servers> servers
    Given servers with 3 slots that report up to 12 queued requests
    When <count> requests at <servers> servers are left unanswered
    Then the service <state>

    Examples:
      | count | servers | state                       |
      | 2     | 2       | has no bound                |
      | 6     | 1       | has no bound                |
      | 3     | 2       | has a bound of 15 requests  |

  # Guards against requests to full servers, and against refusing what a
  # server has room for.
  Scenario Outline: A request for a key whose owner has <load> of 15 requests
    Given servers with 3 slots that report up to 12 queued requests
    And the service is known to hang
    When its owner reports <load> requests
    Then a request for the key is <outcome>

    Examples:
      | load | outcome                                      |
      | 14   | sent                                         |
      | 15   | refused as full, to return within 0.9 seconds |

  # Guards against hosts that do not hear of a server, and all send to it.
  Scenario: A host without a report has few requests at a server
    Given servers with 3 slots that report up to 12 queued requests
    And the service is known to hang
    When the last report is 3 seconds old and 2 requests of this host are there
    Then a request for the key is refused as full, to return within 0.9 seconds

  # Guards against a bound that is above what the servers hold, and against
  # one that a burst of hangs, or a single one long ago, makes useless.
  Scenario: The bound follows what hangs
    Given servers with 3 slots that report up to 12 queued requests
    And the service is known to hang
    When 5 requests hang 3 seconds later
    Then the bound is 12.84 requests
    When 40 requests hang in 80 seconds
    Then the bound is 9 requests
    When 200 seconds pass without a hang
    Then the bound is 18 requests

  # Guards, with processes, against callers that wait for their timeout while
  # the server has room again. The server takes 4 requests, and neither host
  # knows what the other one sends. Those that are sent again at the same time
  # may hang once more.
  Scenario: Lookups that hang are sent again before their timeout
    Given two direct hosts before a store, 2 keyed and 2 plain servers
    And keyed servers do not answer what they cannot queue
    And 40 lookups at each host have been answered one after another
    When 4 lookups with 0.3 seconds of work are sent to each host at once, followed by others
    Then 6 of them or more are answered, none after more than 2.2 seconds
    And requests hung at the servers
