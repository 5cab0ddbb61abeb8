Feature: An entry host as a process

  Real processes on loopback: a simulated platform, two entry hosts and two
  backend servers in one data centre.

  Background:
    Given a running deployment

  Scenario Outline: Invalid requests of callers are refused with a reason
    Guards against an invalid request that is run, hangs or terminates the
    process.
    When a caller sends "<request>"
    Then the caller is told <status>, outcome "not-run" and reason "<reason>"
    And both hosts still serve

    Examples:
      | request              | status | reason          |
      | unknown path         | 404    | unknown-path    |
      | empty key            | 400    | missing-key     |
      | head of 20000 bytes  | 431    | head-too-large  |
      | body of 2000000      | 413    | body-too-large  |
      | not HTTP             | 400    | bad-request     |
      | id of version 4      | 400    | bad-request     |

  Scenario Outline: Invalid input of a peer closes only its link
    Guards against an unauthenticated peer that joins, and against a frame that
    exhausts memory.
    When a peer connects with "<input>"
    Then its connection is closed and the log of the host says "<log>"
    And both hosts still serve

    Examples:
      | input                   | log                  |
      | wrong key               | wrong shared key     |
      | oversized frame         | at most 1024         |
      | malformed frame         | malformed frame      |
      | unauthenticated request | before the handshake |

  Scenario: A manifest that is not valid changes nothing
    Guards against a manifest that is applied in part.
    When a manifest without services[0].name is submitted
    Then it is refused with status 422 and place "services[0].name"
    And both hosts still serve

  Scenario: Of two manifests with the same version only one is accepted
    Guards against two operators who submit at the same time and are both told
    that their manifest was accepted.
    When two manifests of the next version are submitted at once
    Then one is accepted and the other is told that version
    And both hosts have the manifest that was accepted

  Scenario: A manifest is accepted although the table's answer is lost
    Guards against a committed write that is reported as failed or is written
    again.
    Given the next answer of the table is lost
    When a manifest of the next version is submitted
    Then it is accepted
    And both hosts have the manifest that was accepted

  Scenario: A manifest is not accepted while the table is down
    Guards against a manifest that only one host knows.
    Given the table is down
    When a manifest of the next version is submitted
    Then it is refused with status 503 or 504
    And both hosts still serve

  Scenario: A duplicate of a request is not run again
    Guards against a fee that is charged twice.
    When a caller sends the same reservation to both hosts
    Then both are told "ran" with the same body
    And the servers have committed it once

  Scenario: The keys of a killed server are served by the standby
    Guards against keys that stay without an owner or get two owners, even
    while the table is down.
    Given the table is down
    When the server of a key is killed
    Then the key is served again by the other server
    And no key was run by two servers at the same time

  Scenario: A paused host that returns is refused
    Guards against a host that sends work under a term that it has lost.
    When the coordinator of a key is paused and the key is served again
    And the coordinator is resumed and sends work
    Then the key is served by both hosts
    And no key was run by two servers at the same time

  Scenario: A planned stop hands the servers over and ends
    Guards against requests that are aborted by a planned stop.
    When a host is stopped while requests are in flight
    Then every request has a complete answer
    And the host has ended with status 0

  Scenario: A server that is removed from the manifest releases its ranges
    Guards against ranges that are never released, because their coordinator
    was removed together with the server.
    When a manifest without the server of a key is submitted
    Then the key is served again by the other server
    And no key was run by two servers at the same time

  Scenario: A host with a wrong key takes over no servers
    Guards against a host that considers itself the only live one, because no
    peer accepts its links, and takes over all servers.
    When a host is started again with another shared key
    Then it logs that its key is refused and is not ready
    And the other host still serves
