Feature: Hosts with callers that fill their memory

  # Guards against the end of a process that runs out of memory or descriptors:
  # nothing limited the bytes that all callers together make a host hold. The
  # host has the default of 160 MB and at most 600 descriptors.
  Scenario Outline: <count> callers that <do> end no host
    Given a host of 160 MB with 600 descriptors before a plain server
    When <count> callers of the port for <port> <do>
    Then the host runs with less than 160 MB and 400 descriptors
    And what callers were refused with promises that nothing has run
    And an ordinary request is answered
    When these callers leave
    Then the host holds nothing of callers

    Examples:
      | count | port    | do                                               |
      | 4     | callers | send bodies of 64 MiB                            |
      | 8     | callers | stop just short of the end of 40 MB              |
      | 8     | relays  | stop just short of the end of 40 MB              |
      | 8     | callers | stop short of 40 MB in chunks                    |
      | 8     | callers | do not wait for 100 Continue with 40 MB          |
      | 200   | callers | send all but 100 bytes of 1 MB, then one by one  |
      | 12    | callers | send 500000 bytes in chunks of two               |
      | 370   | callers | send heads of many lines without their end       |
      | 25    | callers | never read large responses to pipelined requests |
      | 700   | callers | connect and send nothing                         |

  # Guards against a limit that a single caller inside the limits meets: the
  # host held a body three times.
  Scenario: One body of 64 MiB is served by a host of 160 MB
    Given a host of 160 MB with 600 descriptors before a plain server
    When a body of 67108864 bytes is sent alone
    Then it is answered 200 with the same body
    And the host runs with less than 160 MB and 400 descriptors

  # Guards against stalled bodies that block others, against those with few
  # bytes being ended in their place, and against a waiter that is served twice
  # or never because another one is served in between.
  Scenario: The stalled body with the most bytes is ended for those that wait
    Given a connection of a caller
    And that the host has 160 MB
    And 2 bodies of 34000000 bytes that stop, the last one last
    When two bodies of 17000000 bytes wait for memory
    Then body 0 has been ended and the two have their memory
    And a small request still fits
    And a body of 60000000 bytes gets no memory and holds none

  # Guards against heads that take many times their size in memory and are kept
  # while they wait behind an earlier request, and against bytes that are never
  # given back.
  Scenario: Pipelined heads of many lines are refused when memory is short
    Given a connection of a caller
    And that the host has 160 MB
    When the caller pipelines 200 requests with heads of many lines
    Then fewer than 200 requests have begun
    And a small request still fits
    When the caller has left
    Then the account holds nothing

  # Guards against bodies that are changed where their blocks meet.
  Scenario Outline: A body in pieces of <size> bytes is kept as it is
    Given a connection of a caller
    And that the host has 160 MB
    Then a body that comes in pieces of <size> bytes stays the same

    Examples:
      | size  |
      | 7     |
      | 65536 |

  # Guards against a request whose head declares a body that has been freed: the
  # server reads what comes next on the connection as that body.
  Scenario: A released body cannot be sent
    Given a connection of a caller
    And that the host has 160 MB
    Then a body can be sent until its last user has released it
