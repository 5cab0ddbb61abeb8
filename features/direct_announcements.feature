Feature: What servers announce in their answers

  # Guards against a value that stops all requests to a server or is taken for
  # zero.
  Scenario Outline: A server that turns a request away says when to return
    When a server answers <status> with "<text>" to come back
    Then it wants a pause of <pause>

    Examples:
      | status | text                          | pause |
      | 503    | 4                             | 4     |
      | 503    | 0.25                          | 0.25  |
      | 503    | 1e3                           | 1000  |
      | 503    | Fri, 04 Dec 2026 12:00:07 GMT | 7     |
      | 503    | Fri, 04 Dec 2026 11:00:00 GMT | 0     |
      | 500    | 4                             | none  |

  Scenario Outline: A malformed time to return is counted and ignored
    When a server answers 503 with "<text>" to come back
    Then its announcement is malformed

    Examples:
      | text       |
      | soon       |
      | -1         |
      | nan        |
      | inf        |
      | Fri, 04 De |

  # Guards against a server that is lost for a day by one wrong value.
  Scenario: A pause of a day ends after a minute
    Given a server that has asked for a pause of 86400 seconds
    Then it is left alone after 59 seconds
    And it is not left alone after 61 seconds

  # Guards against a pause that ends with the answer to an earlier request.
  Scenario: An answer to an earlier request does not end a pause
    Given a server that has asked for a pause of 4 seconds
    When it answers an earlier request
    Then it is left alone after 3.9 seconds

  # Guards against requests to a server that leaves without telling the store,
  # whatever the store says of it afterwards.
  Scenario: A server that says that it leaves is out for the rest of its life
    Given a host that knows servers a and b
    When an answer of server a says that it leaves
    Then only server b takes requests
    When the list of servers is read again
    Then only server b takes requests
    When the entry of server a is away for one reading
    Then only server b takes requests

  # Guards against news that arrive before the server is known.
  Scenario: A server that is not known yet stays out when it is listed
    Given a host that knows no servers
    When another host reports that server a leaves
    And the list of servers is read again
    Then only server b takes requests

  # Guards against news of one life that are taken for news of the next one.
  Scenario Outline: What takes the place of a leaving server is used
    Given a host that knows servers a and b
    When an answer of server a says that it leaves
    And server a is replaced by <what>
    Then the new server takes requests

    Examples:
      | what                             |
      | its next life under the same id  |
      | another server at its address    |

  # Guards against a host that begins to grant and knows nothing of what other
  # hosts were told before.
  Scenario: What was announced is reported once, and again to a new host
    Given a host that was told of a pause of 5 seconds by server a
    And it was told that server b leaves
    Then its report names "a paused, b leaving"
    And its report names ""
    When it finds a new granting host 2 seconds later
    Then its report names "a paused, b leaving"
    And the pause of server a is reported with 3 seconds left, 2 seconds old

  # Guards against memory that many lives of servers take.
  Scenario: The announcements of thousands of servers are bounded
    Given a host that was told that 5000 servers leave
    Then its report names at most 1024 servers

  # Answers the pattern of a server that wants a pause from some of hundreds of
  # hosts: keys move away from it as far as it wants none.
  Scenario: A server wants nothing from the hosts that it has told
    Given 200 hosts of which 50 were told of a pause of 4 seconds by server a
    Then server a wants nothing from 25 in 100 hosts
    When 2 seconds pass and 100 hosts are told of a pause of 6 seconds
    Then server a wants nothing from 50 in 100 hosts
    When 3 seconds pass and 0 hosts are told of a pause of 1 seconds
    Then server a wants nothing from 50 in 100 hosts
    When 4 seconds pass and 0 hosts are told of a pause of 1 seconds
    Then server a wants nothing from 0 in 100 hosts

  # Answers the pattern of one server of many that turns requests away and asks
  # for pauses: its keys move to others as far as it wants none.
  Scenario Outline: A server that wants a pause counts as smaller
    Given 12 hosts of which <told> were told of a pause of 4 seconds by server a
    Then server a is counted with <capacity> in 100 of its capacity

    Examples:
      | told | capacity |
      | 0    | 100      |
      | 6    | 50       |
      | 12   | 5        |

  # Guards against keys that stay with a server that tells only its orders.
  Scenario: An answer to an order says that the server leaves
    Given a server whose answers to orders say that it leaves
    Then the granting host is told that it leaves

  # Guards against a report of another version of the program.
  Scenario: A report without announcements is taken
    Given a report of load without announcements
    Then the granting host takes it
