Feature: Planned stops of hosts that send directly

  Background:
    Given two direct hosts before a store, 2 keyed and 2 plain servers
    And routes with a timeout of 20 seconds

  # Guards against the loss of a complete response that waits on a pipelined
  # connection behind one that its server does not give before the host exits.
  Scenario: A complete response behind an unfinished one outlives a stop
    When lookups with 10 and 0.1 seconds of work are sent on one connection
    And host 1 is stopped
    Then the lookups on the connection get statuses 504 and 200
    And host 1 exits within 6 seconds

  # Guards against requests that are sent to a server late in the grace period
  # and are cut off without a response at its end.
  Scenario Outline: A stopping host refuses a <kind> at once
    When host 1 is stopped
    And a <kind> begins 2.4 seconds later, ends 0.6 seconds after that and has 10 seconds of work
    Then it gets a 503 within 0.5 seconds and the connection is closed
    And no server has run it

    Examples:
      | kind    |
      | lookup  |
      | payment |

  # Guards against a lookup that a server runs although its connection closes
  # before its response: the response before it had announced the close, and
  # waited for its turn when the lookup was read.
  Scenario: Nothing is sent on behind a response that closes the connection
    When lookups with 3 and 0.6 seconds of work are sent on one connection
    And host 1 is stopped
    And 1.2 seconds pass
    And a further lookup is sent on the connection
    Then the lookups on the connection get statuses 200 and 200
    And each lookup that a server has run has got a response
