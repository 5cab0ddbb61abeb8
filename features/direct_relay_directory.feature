Feature: Hosts that take relayed requests

  # Guards against a host that loses its links and knows no other host.
  Scenario: Hosts learn which others reach servers
    Given a granting host in data centre "x" with hosts "a b" in "x" and "c d" in "y"
    When all hosts report that they reach servers
    Then host "a" knows hosts "granter a b c d"

  # Guards against requests that are relayed to a host without links.
  Scenario: A host that reaches no server is left out
    Given a granting host in data centre "x" with hosts "a b" in "x" and "c d" in "y"
    When all hosts report that they reach servers
    And hosts "b c" report that they reach no server
    Then host "a" knows hosts "granter a d"
    And host "b" knows hosts "granter a d"
    When the granting host reaches no server
    Then host "a" knows hosts "a d"
    And the granting host knows hosts "a d"

  # Guards against a list that is empty for long after a change of the granting
  # host: an isolated host that connects causes no other change.
  Scenario: A host that connects while it is isolated gets the list
    Given a granting host in data centre "x" with hosts "a" in "x" and "" in "y"
    When hosts "a" report that they reach no server
    Then host "a" knows hosts "granter"

  # Guards against a host that has left and stays in the list.
  Scenario: A host whose link has ended is left out
    Given a granting host in data centre "x" with hosts "a b" in "x" and "" in "y"
    When all hosts report that they reach servers
    And the link of host "b" ends
    Then host "a" knows hosts "granter a"

  # Guards against a message that a host of an older version cannot decode.
  Scenario: A host that names no address for relays gets no list
    Given a granting host in data centre "x" with hosts "a" in "x" and "" in "y"
    And a host "old" that names no address
    When all hosts report that they reach servers
    Then host "old" has got no list
    And host "a" knows hosts "granter a"

  # Guards against the size of messages on large deployments, and against data
  # centres that all choose the same few hosts of another one.
  Scenario: Large deployments send a part of the hosts, the nearest first
    Given a granting host in data centre "x" with 40 hosts in "x" and 100 in "y"
    When all hosts report that they reach servers
    Then a host in "x" knows 64 hosts, 41 of them in "x"
    And a host in "y" knows 64 hosts, 64 of them in "y"
