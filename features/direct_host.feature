Feature: Hosts that send to servers directly

  Background:
    Given two direct hosts before a store, 2 keyed and 2 plain servers

  # Covers the whole path: configuration, servers and grants from the store,
  # one hop to the owner, and its signed response.
  Scenario: Requests of all kinds are answered by their servers
    When keys 5, 30000 and 65535 are looked up at both hosts
    Then each answer is 200 with a signature
    And both hosts name the same owner for each key
    When a payment "p1" is sent to host 1
    Then the answer is 200 with a signature
    And "p1" has run once

  # Guards against operators who cannot see which host grants and which server
  # owns a key.
  Scenario: The command line shows what the store holds
    When an operator asks the store for its status
    Then it names a granting host and 2 servers of each service
    When an operator asks the store for its ranges
    Then the ranges hold all keys without a gap

  # Guards against reordered responses on a pipelined connection.
  Scenario: Pipelined requests are answered in order
    When 6 lookups are sent to host 1 on one connection at once
    Then 6 answers come in the order of the requests

  # Guards against a host that does not notice the close of a connection whose
  # requests in progress keep it from reading: servers worked on for clients
  # that had left, and began further requests of theirs.
  Scenario Outline: A client with many requests that leaves is noticed
    When 24 guides with 3 seconds of work are sent to host 1 on one connection at once
    And the client <leaves> after 0.5 seconds
    And 0.6 seconds pass
    Then servers have broken off all of its guides that they had begun
    And no further one has begun after 2 seconds

    Examples:
      | leaves |
      | closes |
      | resets |

  # Guards against a second run of a request that may run only once.
  Scenario: A payment whose server resets the connection is not sent again
    Given plain servers reset connections after they began to run a request
    When a payment "p2" is sent to host 1
    Then the answer is 502 without a signature
    And "p2" has run once

  # Guards against refusing a request that another server could run.
  Scenario: A payment that a server has not run is sent to another one
    Given plain server 0 rejects requests
    When 8 payments are sent to host 1
    Then each answer is 200 with a signature

  # Guards against payments that end with an unknown outcome because they were
  # sent to a server at its connection limit, which accepts connections and
  # resets them at once. They must be sent to another server.
  Scenario: A payment is not sent on a connection that is reset at once
    Given a plain server that resets each new connection
    When 12 payments are sent to host 1
    Then each answer is 200 with a signature
    And the resetting server has accepted a connection and read nothing

  # Guards against a duplicate response that is mistaken for the response to a
  # later request.
  Scenario: A response to another request is not returned
    Given plain servers send responses to another request
    When a payment "p3" is sent to host 1
    Then the answer is 504 without a signature

  # Guards against requests to a server that is leaving.
  Scenario: A leaving server gets no requests after two seconds
    When plain server 0 announces to the store that it is leaving
    And 2 seconds pass
    And 10 payments are sent to host 2
    Then plain server 0 has run none of them

  # Guards against keys that stay at a server that is leaving.
  Scenario: The keys of a leaving server move to the other one
    When keyed server 0 announces to the store that it is leaving
    And 2 seconds pass
    Then keys 5, 30000 and 65535 are served by keyed server 1

  # Guards against requests to a leaving server that announces it only in its
  # responses and not in the store.
  Scenario: A server that announces its leave in responses gets no requests
    When plain server 0 announces in its responses that it is leaving
    And 6 payments are sent to host 1
    And 1 seconds pass
    And 10 payments are sent to host 1
    And 10 payments are sent to host 2
    Then plain server 0 has run none of them
    And no response contains the server-leaving header

  # Guards against keys that stay at a leaving server that announces it only in
  # its responses, here those to orders of the granting host.
  Scenario: The keys of a server that announces its leave in responses move
    When keyed server 0 announces in its responses that it is leaving
    And 4 seconds pass
    Then keys 5, 30000 and 65535 are served by keyed server 1

  # Guards against requests to a server that has asked for a pause.
  Scenario: A server that asks for a pause gets no requests until its end
    Given plain server 0 rejects requests with a Retry-After of "3" seconds
    When 8 payments are sent to host 1
    Then each answer is 200 with a signature
    When 1 seconds pass
    And 12 payments are sent to host 1
    Then each answer is 200 with a signature
    And plain server 0 has rejected 1 requests

  # Guards against callers that retry before a server accepts requests.
  Scenario: Callers are told when paused servers accept requests again
    Given plain server 0 rejects requests with a Retry-After of "3" seconds
    And plain server 1 rejects requests with a Retry-After of "3" seconds
    When 3 payments are sent to host 1
    Then each answer is 503 with a Retry-After of 2.5 to 4 seconds
    And plain server 0 has rejected 1 requests

  # Guards against an older configuration that replaces a newer one, and
  # against a slow update.
  Scenario: A newer configuration is in force at both hosts within 2 seconds
    When configuration 9 is published and then configuration 4
    And 2 seconds pass
    Then both hosts have configuration 9 in force

  # Guards against an outage of the store that interrupts service.
  Scenario: Keys are served while the store is away
    When the store is unavailable
    And 7 seconds pass
    And keys 5, 30000 and 65535 are looked up at both hosts
    Then each answer is 200 with a signature

  # Guards against keys without an owner after the loss of the granting host.
  Scenario: Another host grants after the granting host is killed
    When the granting host is killed
    And 6 seconds pass
    Then the other host is the granting host
    And keys 5, 30000 and 65535 are served at the other host

  # Guards against requests that a planned stop aborts.
  Scenario: A stopping host completes the requests that it has read
    When host 1 is stopped while a slow payment "p4" is in flight
    Then the answer is 200 with a signature
    And host 1 is not ready
    And host 1 exits within 6 seconds

  # Guards against request smuggling and other invalid requests.
  Scenario Outline: A request with <problem> is refused
    When host 1 gets a request with <problem>
    Then the answer is <status> without a signature
    And no server has run anything

    Examples:
      | problem               | status |
      | two framing headers   | 400    |
      | no Host header        | 400    |
      | an invalid key        | 400    |
      | an unknown path       | 404    |
      | an unknown host       | 404    |
      | a head of 20000 bytes | 431    |

  # Guards against importing libraries that only the command line needs: they
  # took 10 MB of memory in each host and 0.16 s of each start.
  Scenario: A host is started without the libraries of the command line
    When the modules of the host are imported
    Then none of "defopt, docutils, pkg_resources, circuits.web" is loaded
    And none of "radishferryd.gen.ttypes" is loaded

  # Guards against a traceback in place of the usage when the path of the
  # settings is missing: the host parses its arguments without a library.
  Scenario: A host that is started without settings prints its usage
    When the host is started without an argument
    Then it exits with 2 and prints its usage

  # Guards against a planned stop under load that aborts requests which have
  # just been accepted.
  Scenario: Requests that are sent just before a stop are answered
    When 10 payments are sent to host 1 and it is stopped at once
    Then each answer is 200 with a signature
    And host 1 exits within 6 seconds

  # Guards against a restart that brings back a deregistered server, or the
  # previous owner of a key after its ownership was withdrawn.
  Scenario: Restarted hosts use neither former servers nor former owners
    When keyed server 0 announces to the store that it is leaving
    And plain server 0 is deregistered
    And 2 seconds pass
    And both hosts are killed and restarted
    And 10 payments are sent to host 2
    Then plain server 0 has run none of them
    And keys 5, 30000 and 65535 are served by keyed server 1

  # Covers the whole path of a limit: the response that names it, the shares of
  # both hosts, the report to the granting host and the move of the keys.
  Scenario: Two hosts together respect the limit of a server and move its keys
    When keyed server 0 names a limit of 2 requests a second
    And random keys are looked up at both hosts for 10 seconds, 40 a second
    Then no response contains the server-limit header
    And keyed server 0 has run at most 17 lookups in each 4 seconds after the first 3
    And 80 in 100 lookups of the last 3 seconds have been answered
