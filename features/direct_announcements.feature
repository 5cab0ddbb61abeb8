Feature: Announcements of servers in their responses

  # Guards against a Retry-After value that stops all requests to a server, or
  # that is parsed as zero.
  Scenario Outline: A server that rejects a request asks for a pause
    When a server answers <status> with Retry-After "<text>"
    Then it asks for a pause of <pause>

    Examples:
      | status | text                          | pause |
      | 503    | 4                             | 4     |
      | 503    | 0.25                          | 0.25  |
      | 503    | 1e3                           | 1000  |
      | 503    | Fri, 04 Dec 2026 12:00:07 GMT | 7     |
      | 503    | Fri, 04 Dec 2026 11:00:00 GMT | 0     |
      | 500    | 4                             | none  |

  # Guards against a pause of a wrong length: a malformed value has to raise an
  # error, and must not be parsed as a number.
  Scenario Outline: A malformed Retry-After is rejected by the parser
    When a server answers 503 with Retry-After "<text>"
    Then its announcement is malformed

    Examples:
      | text       |
      | soon       |
      | -1         |
      | nan        |
      | inf        |
      | Fri, 04 De |

  # Guards against a server that gets no requests for a day because of one
  # wrong value.
  Scenario: A pause of a day ends after a minute
    Given a server that has asked for a pause of 86400 seconds
    Then it is paused after 59 seconds
    And it is not paused after 61 seconds

  # Guards against a pause that the response to an earlier request ends.
  Scenario: A response to an earlier request does not end a pause
    Given a server that has asked for a pause of 4 seconds
    When it answers an earlier request
    Then it is paused after 3.9 seconds

  # Guards against requests to a server that is leaving but has not told the
  # store, whatever state the store lists afterwards.
  Scenario: A leaving server stays unused until its next incarnation
    Given a host that knows servers a and b
    When a response of server a announces that it is leaving
    Then only server b is usable
    When the list of servers is read again
    Then only server b is usable
    When the entry of server a is missing in one reading
    Then only server b is usable

  # Guards against losing an announcement that arrives before the server is
  # listed.
  Scenario: A leaving server that is not known yet is not used once listed
    Given a host that knows no servers
    When another host reports that server a is leaving
    And the list of servers is read again
    Then only server b is usable

  # Guards against applying the announcement of one incarnation to the next.
  Scenario Outline: The replacement of a leaving server is used
    Given a host that knows servers a and b
    When a response of server a announces that it is leaving
    And server a is replaced by <what>
    Then the new server is usable

    Examples:
      | what                                  |
      | its next incarnation with the same id |
      | another server at its address         |

  # Guards against a new granting host that does not know what was announced to
  # other hosts before.
  Scenario: Announcements are reported once, and again to a new granting host
    Given a host that was told of a pause of 5 seconds by server a
    And it was told that server b is leaving
    Then its report names "a paused, b leaving"
    And its report names ""
    When it finds a new granting host 2 seconds later
    Then its report names "a paused, b leaving"
    And the pause of server a is reported with 3 seconds left, 2 seconds old

  # Guards against unbounded memory for the announcements of many incarnations.
  Scenario: The announcements of thousands of servers are bounded
    Given a host that was told that 5000 servers are leaving
    Then its report names at most 1024 servers

  # Guards against a wrong estimate for which share of the hosts a server is
  # paused, when it has asked only some of hundreds of hosts: keys move away in
  # that proportion.
  Scenario: A server is paused only for the hosts that it has asked
    Given 200 hosts of which 50 were told of a pause of 4 seconds by server a
    Then server a is paused for 25 in 100 hosts
    When 2 seconds pass and 100 hosts are told of a pause of 6 seconds
    Then server a is paused for 50 in 100 hosts
    When 3 seconds pass and 0 hosts are told of a pause of 1 seconds
    Then server a is paused for 50 in 100 hosts
    When 4 seconds pass and 0 hosts are told of a pause of 1 seconds
    Then server a is paused for 0 in 100 hosts

  # Guards against keys that stay at one server of many that rejects requests
  # and asks for pauses: they move away in proportion to the paused hosts.
  Scenario Outline: A pause reduces the estimated capacity of a server
    Given 12 hosts of which <told> were told of a pause of 4 seconds by server a
    Then server a is counted with <capacity> in 100 of its capacity

    Examples:
      | told | capacity |
      | 0    | 100      |
      | 6    | 50       |
      | 12   | 5        |

  # Guards against keys that stay at a leaving server that announces it only in
  # its answers to orders of the granting host.
  Scenario: An answer to an order announces that the server leaves
    Given a server that announces in answers to orders that it is leaving
    Then the granting host is told that it is leaving

  # Guards against rejecting a report of another version of the program.
  Scenario: A report without announcements is accepted
    Given a load report without announcements
    Then the granting host accepts it

  # Guards against unbounded memory at a granting host that keeps what servers
  # have asked for after they have left.
  Scenario: What the granting host keeps of thousands of servers is bounded
    Given a granting host that is told of 5000 servers in turn
    Then it knows the pauses and limits of the last 1024 of them
