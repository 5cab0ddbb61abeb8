Feature: Requests at hosts that have lost their links to the servers

  Background:
    Given 3 hosts, 4 servers that own keys and 2 that do not

  # Guards against callers that are refused or fail because their host has lost
  # its own links, although other hosts reach the servers.
  Scenario Outline: Callers of a host without links are served by other hosts
    When lookups and payments have come to host 1 for 2 seconds
    And the links of host 1 <fail>
    And lookups and payments come to host 1 for 3 seconds
    And lookups and payments come to host 1 for 5 seconds
    Then each request of the last 5 seconds is answered by a server
    And each request has run at most once

    Examples:
      | fail    |
      | hang    |
      | reset   |

  # Guards against refusals where connections work on and new ones are refused.
  Scenario: Callers are served while only new connections are refused
    When lookups and payments have come to host 1 for 2 seconds
    And the links of host 1 refuse
    And servers take 0.4 seconds for a request
    And lookups and payments come to host 1 for 3 seconds
    And lookups and payments come to host 1 for 5 seconds
    Then each request of the last 5 seconds is answered by a server
    And each request has run at most once

  # Guards against hosts that ask only each other when all hosts of a data
  # centre cannot open connections: one that has not noticed its own loss says
  # that it does not reach a server.
  Scenario: Callers are served through the host whose connections work
    When lookups and payments have come to hosts 1 and 2 for 2 seconds
    And the links of host 1 refuse
    And the links of host 2 refuse
    And servers take 0.25 seconds for a request
    And lookups and payments come to hosts 1 and 2 for 3 seconds
    And lookups and payments come to hosts 1 and 2 for 5 seconds
    Then each request of the last 5 seconds is answered by a server
    And each request has run at most once

  # Guards against a host that goes on relaying, or backs off from servers,
  # after its links have returned.
  Scenario: A host sends to the servers itself soon after its links return
    Given host 1 has been isolated for 3 seconds
    When the links of host 1 return
    And 1 seconds pass at all hosts
    And lookups and payments come to host 1 for 2 seconds
    Then each request of the last 2 seconds is answered by a server
    And host 1 relayed none of them

  # Guards against backoffs from single servers that outlast the return of the
  # links that were their cause.
  Scenario: A host does not back off from servers after its links return
    Given host 1 has been isolated for 0 seconds
    When the links of host 1 return
    And a server accepts a connection of host 1
    And lookups and payments come to host 1 for 1 seconds
    Then each request of the last 1 seconds is answered by a server
    And host 1 relayed none of them

  # Guards against requests that pass from host to host.
  Scenario: A request is not relayed twice
    Given host 1 has been isolated for 3 seconds
    And host 2 has been isolated for 3 seconds
    And host 3 has been isolated for 3 seconds
    When a lookup comes to host 1
    Then its caller is refused within 0.1 seconds and may retry
    And at most 2 requests were relayed to other hosts for it

  # Guards against requests that wait for connections that cannot be opened.
  Scenario: A request is refused at once when no other host can be reached
    Given host 1 has been isolated for 3 seconds
    And host 2 has stopped
    And host 3 has stopped
    When a lookup comes to host 1
    Then its caller is refused within 0.1 seconds and may retry

  # Guards against a server that works on after its caller has left.
  Scenario: A caller that leaves cancels its relayed lookup at the server
    Given host 1 has been isolated for 3 seconds
    And servers take 2 seconds for a request
    When a lookup comes to host 1
    And 0.5 seconds pass at all hosts
    And its caller leaves
    And 0.2 seconds pass at all hosts
    Then a server has cancelled the lookup

  # Guards against servers that work longer than the caller waits.
  Scenario: The server is given the time that is left
    Given host 1 has been isolated for 3 seconds
    When a lookup with a deadline of 900 ms comes to host 1
    And 1 seconds pass at all hosts
    Then the server was given 800 to 900 ms

  # Guards against a changed request: path, body and id must arrive unchanged.
  Scenario: A payment arrives as its caller sent it
    Given host 1 has been isolated for 3 seconds
    When a payment with the body "amount=17" comes to host 1
    And 1 seconds pass at all hosts
    Then a server has run it once with the same path, body and id
    And the server got no header of the hosts

  # Guards against large responses that are cut or held back.
  Scenario: A response that is too large to buffer is relayed whole
    Given host 1 has been isolated for 3 seconds
    And servers answer with 3000000 bytes
    When a lookup comes to host 1
    And 2 seconds pass at all hosts
    Then its caller gets 3000000 bytes from a server

  # Guards against a second run when the relaying connection is lost.
  Scenario: A payment whose relaying host is lost is not sent again
    Given host 1 has been isolated for 3 seconds
    And servers take 1 second for a request
    When a payment with the body "amount=17" comes to host 1
    And 0.5 seconds pass at all hosts
    And the connections between the hosts are reset
    And 2 seconds pass at all hosts
    Then its caller is told that it may have run
    And each request has run at most once

  # Guards against more servers for a request than its route allows, when the
  # host that it was relayed to is lost.
  Scenario: A lost relayed download counts as an attempt
    Given host 1 has been isolated for 3 seconds
    And servers take 1 second for a request
    And routes allow 1 attempt
    When a download comes to host 1
    And 0.5 seconds pass at all hosts
    And the connections between the hosts are reset
    And 2 seconds pass at all hosts
    Then its caller is told that it may have run
    And servers have got the download once

  # Guards against servers that died being tried through other hosts again and
  # again, and against hosts that relay because of them.
  Scenario: Requests for the keys of a server that died are refused at once
    When lookups and payments have come to host 1 for 2 seconds
    And all servers that own keys die
    And lookups and payments come to host 1 for 3 seconds
    And lookups and payments come to host 1 for 3 seconds
    Then host 1 is not isolated
    And each lookup of the last 3 seconds is refused within 0.4 seconds
    And host 1 relayed at most a fifth of them

  # Guards against a host that relays because one of its servers cannot be
  # reached while the others answer.
  Scenario: A host that lost a part of its servers does not relay the rest
    When lookups and payments have come to host 1 for 2 seconds
    And server 0 dies
    And lookups and payments come to host 1 for 3 seconds
    Then host 1 is not isolated
    And host 1 relayed none of them

  # Guards against hosts that take more relayed requests than they can handle.
  Scenario: A host refuses relayed requests above its limit
    Given host 1 has been isolated for 3 seconds
    And the other hosts have reached their limit of relayed requests
    When a lookup comes to host 1
    Then its caller is refused within 0.1 seconds and may retry

  # Guards against an older configuration that is applied to a request after a
  # newer one.
  Scenario: A host with an older configuration does not take a request
    Given host 1 has been isolated for 3 seconds
    And host 1 has a newer configuration than the other hosts
    When a lookup comes to host 1
    Then its caller is refused within 0.1 seconds and may retry

  # Guards against a host that handles requests by a newer configuration while
  # it relays them, and by its older one when its links have returned.
  Scenario: A host does not return to its older configuration after relaying
    Given host 1 has been isolated for 3 seconds
    And the other hosts have a newer configuration than host 1
    When lookups and payments come to host 1 for 1 seconds
    Then each request of the last 1 seconds is answered by a server
    When the links of host 1 return
    And lookups and payments come to host 1 for 2 seconds
    Then each request of the last 2 seconds is answered by a server
    And host 1 relayed all of them
    When host 1 gets the newer configuration
    And lookups and payments come to host 1 for 2 seconds
    Then each request of the last 2 seconds is answered by a server
    And host 1 relayed none of them

  # Guards against the same through a third host: what a host without the newer
  # configuration relays must not be handled by another outdated host.
  Scenario: A host that knows of a newer configuration takes no relayed request
    Given host 1 has been isolated for 3 seconds
    And host 2 knows that there is a newer configuration
    And host 3 has stopped
    When a lookup comes to host 1
    Then its caller is refused within 0.1 seconds and may retry

  # Guards against the same through a host that does not know the newer one.
  Scenario: An outdated host has no request handled by an outdated one
    Given host 1 has been isolated for 3 seconds
    And host 1 knows that there is a newer configuration
    When a lookup comes to host 1
    Then its caller is refused within 0.1 seconds and may retry

  # Guards against hosts of an older version, which name no configuration.
  Scenario Outline: A host that names <what> as its version changes nothing
    Given host 1 has been isolated for 3 seconds
    And another host names <what> as its version
    When the links of host 1 return
    And lookups and payments come to host 1 for 2 seconds
    Then host 1 relayed at most a fifth of them

    Examples:
      | what                 |
      | nothing              |
      | x                    |
      | 3                    |
      | 99999999999999999999 |

  # Guards against retries beyond the budget: relayed requests count once.
  Scenario: A relayed request counts at one host in the retry budgets
    Given host 1 has been isolated for 12 seconds
    When lookups and payments come to host 1 for 2 seconds
    Then the retry budgets of all hosts count each of them once

  # Guards against requests that are refused as crashing servers because their
  # host lost its links while they were at servers.
  Scenario: Lost links do not count as crashes of servers
    When lookups and payments have come to host 1 for 2 seconds
    And servers take 1 second for a request
    And the same lookup comes to host 1 during 3 losses of its links
    Then no request counts as crashing servers

  # Guards against requests that crash servers and are not recognised.
  Scenario: Crashes of servers are counted while others answer
    When lookups and payments have come to host 1 for 2 seconds
    And servers take 1 second for a request
    And lookups and payments come to host 1 for 1 seconds
    And server 0 dies
    And lookups and payments come to host 1 for 2 seconds
    Then requests at server 0 count as crashing it
