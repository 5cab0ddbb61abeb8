Feature: Hosts that send to servers directly

  Background:
    Given two direct hosts before a store, 2 keyed and 2 plain servers

  # Guards the whole path: configuration, servers and grants from the store,
  # one hop to the owner, the answer with its signature.
  Scenario: Requests of all kinds are answered by their servers
    When keys 5, 30000 and 65535 are looked up at both hosts
    Then each answer is 200 with a signature
    And both hosts name the same owner for each key
    When a payment "p1" is sent to host 1
    Then the answer is 200 with a signature
    And "p1" has run once

  # Guards against operators who cannot see who may grant and who owns a key.
  Scenario: The command line shows what the store holds
    When an operator asks the store for its status
    Then it names a granting host and 2 servers of each service
    When an operator asks the store for its ranges
    Then the ranges hold all keys without a gap

  # Guards against answers that change places on a pipelined connection.
  Scenario: Pipelined requests are answered in order
    When 6 lookups are sent to host 1 on one connection at once
    Then 6 answers come in the order of the requests

  # Guards against a second run of what may run only once.
  Scenario: A payment whose server breaks off is not sent again
    Given plain servers break off requests after they began
    When a payment "p2" is sent to host 1
    Then the answer is 502 without a signature
    And "p2" has run once

  # Guards against a refusal that hides where the request can be served.
  Scenario: A payment that a server has not run is sent to another one
    Given plain server 0 turns requests away
    When 8 payments are sent to host 1
    Then each answer is 200 with a signature

  # Answers the pattern of servers at their limit of connections, which accept
  # further ones and reset them at once: payments must go elsewhere, and not
  # end as ones that may have run.
  Scenario: A payment is not sent on a connection that is reset at once
    Given a plain server that resets each new connection
    When 12 payments are sent to host 1
    Then each answer is 200 with a signature
    And the resetting server has accepted a connection and read nothing

  # Guards against a second answer that is taken for that of a later request.
  Scenario: An answer to another request is not returned
    Given plain servers answer another request
    When a payment "p3" is sent to host 1
    Then the answer is 504 without a signature

  # Guards against work for a server that leaves.
  Scenario: A server that leaves gets nothing after two seconds
    When plain server 0 announces that it leaves
    And 2 seconds pass
    And 10 payments are sent to host 2
    Then plain server 0 has run none of them

  # Guards against keys that stay with a server that leaves.
  Scenario: The keys of a leaving server move to the other one
    When keyed server 0 announces that it leaves
    And 2 seconds pass
    Then keys 5, 30000 and 65535 are served by keyed server 1

  # Guards against work for a server that leaves and tells only its callers.
  Scenario: A server that says in its answers that it leaves gets nothing more
    When plain server 0 says in its answers that it leaves
    And 6 payments are sent to host 1
    And 1 seconds pass
    And 10 payments are sent to host 1
    And 10 payments are sent to host 2
    Then plain server 0 has run none of them
    And no answer names what concerns only the server

  # Guards against keys that stay with a server that tells only its orders.
  Scenario: The keys of a server that says that it leaves move to the other one
    When keyed server 0 says in its answers that it leaves
    And 4 seconds pass
    Then keys 5, 30000 and 65535 are served by keyed server 1

  # Guards against requests to a server that has asked for a pause.
  Scenario: A server that wants a pause gets nothing until it is over
    Given plain server 0 turns requests away for "3" seconds
    When 8 payments are sent to host 1
    Then each answer is 200 with a signature
    When 1 seconds pass
    And 12 payments are sent to host 1
    Then each answer is 200 with a signature
    And plain server 0 has turned 1 requests away

  # Guards against callers that return before a server takes requests.
  Scenario: Callers learn when servers that want a pause take requests again
    Given plain server 0 turns requests away for "3" seconds
    And plain server 1 turns requests away for "3" seconds
    When 3 payments are sent to host 1
    Then each answer is 503 and tells to return after 2.5 to 4 seconds
    And plain server 0 has turned 1 requests away

  # Guards against an older configuration after a newer one, and a slow one.
  Scenario: A newer configuration is in force at both hosts within 2 seconds
    When configuration 9 is put and then configuration 4
    And 2 seconds pass
    Then both hosts have configuration 9 in force

  # Guards against an outage of the store that stops service.
  Scenario: Keys are served while the store is away
    When the store is away
    And 7 seconds pass
    And keys 5, 30000 and 65535 are looked up at both hosts
    Then each answer is 200 with a signature

  # Guards against keys without owner after the loss of the granting host.
  Scenario: Another host grants after the granting host is killed
    When the granting host is killed
    And 6 seconds pass
    Then the other host grants
    And keys 5, 30000 and 65535 are served at the other host

  # Guards against requests that a planned stop cuts off.
  Scenario: A stopping host finishes what it has read
    When a slow payment "p4" is under way at host 1 and it is stopped
    Then the answer is 200 with a signature
    And host 1 is not ready
    And host 1 ends within 6 seconds

  # Guards against requests that are hidden inside others.
  Scenario Outline: A request with <problem> is refused
    When host 1 gets a request with <problem>
    Then the answer is <status> without a signature
    And no server has run anything

    Examples:
      | problem               | status |
      | two framings          | 400    |
      | no host               | 400    |
      | a key that is no key  | 400    |
      | an unknown path       | 404    |
      | an unknown host       | 404    |
      | a head of 20000 bytes | 431    |

  # Guards against libraries that only the command line needs: they made up
  # 10 MB of each host and 0.16 s of each start.
  Scenario: A host is started without the libraries of the command line
    When the modules of the host's start are imported
    Then none of "defopt, docutils, pkg_resources, circuits.web" is loaded
    And none of "radishferryd.gen.ttypes" is loaded

  Scenario: A host that is started without settings says what it needs
    When the host is started without an argument
    Then it ends with 2 and prints how it is used

  # Guards against a planned stop under load that cuts off requests which had
  # just been accepted.
  Scenario: Requests that are sent just before a stop are answered
    When 10 payments are sent to host 1 and it is stopped at once
    Then each answer is 200 with a signature
    And host 1 ends within 6 seconds

  # Guards against a restart that brings back a server that has left, or the
  # owner that a key had before it was withdrawn.
  Scenario: Hosts that start again use neither servers nor owners of before
    When keyed server 0 announces that it leaves
    And plain server 0 has left
    And 2 seconds pass
    And both hosts are killed and start again
    And 10 payments are sent to host 2
    Then plain server 0 has run none of them
    And keys 5, 30000 and 65535 are served by keyed server 1
