Feature: Requests that crash servers, among usual ones

  # Guards against a request that goes on crashing servers: a crash counted
  # only if the host that had lost the request tried the same server again
  # within 1.5 seconds, and requests mostly go to servers that have not failed.
  Scenario Outline: A payment that crashes its servers is refused
    Given 1 hosts, 1 servers that own keys and 6 that do not
    And payment "/p/7" crashes its server, which <closes> its connections and is back after <down> seconds
    When usual payments come for 60 seconds, and payment "/p/7" every 4 seconds
    Then payment "/p/7" has crashed 3 servers and is refused at once
    And all usual payments are served but those at a crash

    Examples:
      | closes | down |
      | closes | 3    |
      | resets | 3    |
      | closes | 2    |
      | resets | 0.5  |

  # Guards against the same where the requests come to several hosts.
  Scenario: The hosts together refuse it after three crashes
    Given 8 hosts, 1 servers that own keys and 12 that do not
    And payment "/p/7" crashes its server, which closes its connections and is back after 2 seconds
    When usual payments come for 60 seconds, and payment "/p/7" every 4 seconds
    Then payment "/p/7" has crashed 3 servers and is refused at once
    And all usual payments are served but those at a crash

  # Guards against crashes that are not counted because the caller has left.
  Scenario: A payment whose callers leave is refused
    Given 1 hosts, 1 servers that own keys and 6 that do not
    And payment "/p/7" crashes its server, which closes its connections and is back after 3 seconds
    And the server crashes 0.4 seconds after it began to run the payment
    And callers of payment "/p/7" leave after 0.2 seconds
    When usual payments come for 40 seconds, and payment "/p/7" every 4 seconds
    Then payment "/p/7" has crashed 3 servers

  # Guards against usual requests that are refused because servers crash by
  # themselves while they are in flight.
  Scenario Outline: Payments that return often are served while servers crash
    Given 3 hosts, 1 servers that own keys and 12 that do not
    And 12 servers that crash by themselves <order>
    When 12 payments return 60 times a second for 40 seconds
    Then no payment is refused because of the crashes

    Examples:
      | order                    |
      | one every 0.5 seconds    |
      | one every 3 seconds      |
      | all at the same time     |

  # Guards against a request that is refused because its host lost connections
  # to servers that live on.
  Scenario: Lost connections to servers that live on are no crashes
    Given 1 hosts, 1 servers that own keys and 6 that do not
    And payment "/p/7" ends the connection at each server, which lives on
    When usual payments come for 40 seconds, and payment "/p/7" every 4 seconds
    Then payment "/p/7" was sent each time
