Feature: Odd values that other writers leave

  # Guards against one entry among those of the servers that stops a host from
  # following the list, or that breaks connections of its callers.
  Scenario Outline: An odd entry names no server and the others hold
    Given the entries of servers "a" and "b"
    And an entry whose <field> is <value>
    When the list is read
    Then it names servers "a" and "b"
    And the granting host sends it to another host, which knows the same
    And one log line names the odd entry

    Examples:
      | field         | value                           |
      | address       | "10.0.0.9:70000"                |
      | address       | "10.0.0.9:0"                    |
      | address       | "10.0.0.9:-1"                   |
      | address       | "10.0.0.9:99999999999999999999" |
      | address       | "10.0.0.9: 80"                  |
      | address       | "10.0.0.9:8_0"                  |
      | address       | "10.0.0.9"                      |
      | address       | "10.0.0.256:80"                 |
      | address       | "some.name.of.host:80"          |
      | address       | "10.0.0.9\u0000:80"             |
      | address       | 80                              |
      | address       | ["10.0.0.9", 80]                |
      | slots         | 0                               |
      | slots         | 2147483648                      |
      | slots         | 10001                           |
      | slots         | 123456789012345678901234567890  |
      | slots         | 3.5                             |
      | slots         | true                            |
      | born          | -1                              |
      | born          | 9223372036854775808             |
      | born          | 1e300                           |
      | born          | "12"                            |
      | warmup_left_s | -1e308                          |
      | warmup_left_s | 1e308                           |
      | warmup_left_s | true                            |
      | warmup_left_s | null                            |
      | state         | "gone"                          |
      | state         | ["ready"]                       |
      | state         | {}                              |
      | service       | "other"                         |
      | service       | ["stock"]                       |
      | service       | null                            |
      | zone          | 7                               |
      | zone          | null                            |
      | version       | 1                               |
      | version       | null                            |
      | version       | ["v1"]                          |
      | seq           | "1"                             |
      | seq           | null                            |
      | seq           | 1.5                             |
      | seq           | true                            |
      | seq           | -1                              |

  # Guards against requests and keys for an entry of another writer that lacks
  # what each server writes.
  Scenario Outline: An entry without <field> names no server
    Given the entries of servers "a" and "b"
    And an entry without <field>
    When the list is read
    Then it names servers "a" and "b"
    And one log line names the odd entry

    Examples:
      | field         |
      | service       |
      | address       |
      | zone          |
      | version       |
      | slots         |
      | state         |
      | warmup_left_s |
      | seq           |

  # Guards against the same for whole entries that cannot be decoded.
  Scenario Outline: An entry that is <what> names no server
    Given the entries of servers "a" and "b"
    And an entry that is <what>
    When the list is read
    Then it names servers "a" and "b"
    And one log line names the odd entry

    Examples:
      | what                          |
      | empty                         |
      | no JSON                       |
      | nested 100000 times           |
      | a number                      |
      | a list                        |
      | a number beyond any range     |
      | longer than the log line      |

  # Guards against an id that ends a header and begins another one.
  Scenario: An entry whose id contains a line break names no server
    Given the entries of servers "a" and "b"
    And an entry whose id contains a line break
    When the list is read
    Then it names servers "a" and "b"

  # Guards against a server that is dropped because its entry was written a
  # moment after its warm-up had ended.
  Scenario: A warm-up that has just ended is accepted
    Given the entries of servers "a" and "b"
    And an entry whose warmup_left_s is -0.2
    When the list is read
    Then it names servers "a", "b" and "odd"

  # Guards against log volume: the list is read about every second.
  Scenario: An odd entry is logged once
    Given the entries of servers "a" and "b"
    And an entry whose slots is 0
    When the list is read
    And the list is read
    Then one log line names the odd entry

  # Guards against an error in an attempt to connect that reaches the caller,
  # or the loop, as another kind of error.
  Scenario Outline: A connection to <address> fails like one that is refused
    When a connection to <address> is opened
    Then its handler learns in the next turn of the loop that it failed
    And no name was looked up

    Examples:
      | address                |
      | "127.0.0.1" 70000      |
      | "127.0.0.1" -1         |
      | "some.name.of.host" 80 |
      | "" 80                  |
      | "127.1" 80             |

  # Guards against a server from an older granting host that this host cannot
  # use; the others must be put in force.
  Scenario: A host skips an odd server that the granting host sends
    Given a host that is linked to the granting host
    When the granting host sends a server with port 70000 and another one
    Then the host knows only the other one

  # Guards against responses that end in an error inside the host.
  Scenario Outline: An odd <header> of a server is ignored
    Given a connection to a server
    When a server responds with the header "<header>: <value>"
    Then the request is answered

    Examples:
      | header        | value                |
      | X-Server-Load | 1,2                  |
      | X-Server-Load | -1,0,4               |
      | X-Server-Load | 9999999999999999,0,4 |
      | X-Server-Load | 1,0,x                |
      | Keep-Alive    | timeout=²            |
      | Keep-Alive    | timeout=-1           |
      | Retry-After   | Mon, 99 Foo 99999    |
      | Server-Limit  | 1e999                |

  # Guards against a configuration that takes hosts down or stops them from
  # following it; they keep the one that is in force.
  Scenario Outline: A configuration whose <field> is <value> is not applied
    Given a host with configuration 3 in force
    When configuration 4 is published with <field> as <value>
    Then the host has configuration 3 in force

    Examples:
      | field           | value |
      | timeout_s       | 1e300 |
      | timeout_s       | -1    |
      | weight          | -1    |
      | weight          | "x"   |
      | max_attempts    | 1e300 |
      | max_connections | -4    |
      | prefix          | 7     |
      | service         | []    |
      | idle_timeout_s  | 1e300 |
      | version         | "8000000000000000" |

  # Guards against a row of this system that stops hosts from granting.
  Scenario Outline: A row of owners that is <what> is not used
    When a row of owners that is <what> is decoded
    Then it is reported as unusable

    Examples:
      | what                       |
      | no JSON                    |
      | with a start above the end |
      | with a key out of range    |
      | with a negative owner      |
      | with a fence out of range  |
      | with overlapping segments  |
      | a number                   |

  # Guards against an address in the leadership row that cannot be connected.
  Scenario Outline: A leadership row with the address <address> is not used
    When a leadership row with the address <address> is decoded
    Then it names no granting host

    Examples:
      | address             |
      | "10.0.0.1:70000"    |
      | "some.name.host:80" |
      | 7                   |
