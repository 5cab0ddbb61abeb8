Feature: The server of a request is chosen by load, speed and health

  Background:
    Given servers a1, a2 and b1 in data centres a, a and b

  # Guards against sending to slow servers while faster ones have free slots.
  Scenario: A slow server gets little
    Given a2 takes 5 times as long as the others
    When 100 requests are sent one after the other from data centre a
    Then a2 gets at most 10 of them

  # Guards against sending on to servers that fail a part of their requests
  # although their health checks succeed.
  Scenario: A server that fails half of its requests is avoided
    Given a2 fails every second request
    When 100 requests are sent one after the other from data centre a
    Then a2 gets at most 25 of them

  # Guards against large answers from another data centre while the servers of
  # the own one have free slots.
  Scenario: Large answers stay in the data centre
    When 100 requests with answers of 90000 bytes are sent from data centre a
    Then b1 gets at most 3 of them

  # Guards against requests that queue in the own data centre when a burst has
  # filled its servers, while other data centres have free slots.
  Scenario: A burst spills over to the other data centre
    When 60 requests are sent at once from data centre a
    Then b1 gets at least 12 of them

  # Guards against requests that wait for a dead server, and against a server
  # that is never tried again.
  Scenario: An unreachable server is tried again by one request at a time
    Given a1 and b1 are unreachable
    When 0.1 seconds go by
    Then a2 is chosen
    When 2 seconds go by
    Then a1 and b1 can be chosen
    When a request is sent to a1
    Then a1 cannot be chosen

  # Guards against servers that get no requests because one connection broke.
  Scenario: A broken connection is no reason for a pause
    Given a request to a1 lost its connection
    Then a1 can be chosen

  # Guards against servers that join while the load is low and get no requests.
  Scenario: A server that has just joined is tried early
    Given a1 has answered 50 requests
    And b1 has answered 50 requests
    When 3 requests are sent one after the other from data centre a
    Then a2 gets at least 1 of them

  # Guards against a full server that is taken for an idle one, when the load
  # comes through many hosts: each of them gets a report of a server's queue
  # only now and then, and took it for empty in between.
  Scenario: A queue that was long in all reports is expected between them
    Given a1 reports 18 queued requests every 0.6 seconds for 3 seconds
    When 0.5 seconds go by
    Then a request to a1 is expected to take at least 0.3 seconds

  # Guards against a server that is avoided because of an outdated report.
  Scenario: The queue of a server without new reports is forgotten
    Given a1 reports 18 queued requests every 0.6 seconds for 3 seconds
    When 10 seconds go by
    Then a request to a1 is expected to take at most 0.11 seconds

  # Guards against a queue that is expected after a report of an empty one.
  Scenario: One report of an empty queue counts at once
    Given a1 reports 18 queued requests every 0.6 seconds for 3 seconds
    And a1 reports 0 queued requests
    Then a request to a1 is expected to take at most 0.11 seconds

  # Guards against a new connection for nearly every request, when hundreds of
  # hosts send to servers whose requests take a second. With a random choice of
  # one of the 19 servers in the data centre, the same host has used it in the
  # last 2.5 seconds for 17 in 100 requests.
  Scenario: Hundreds of hosts use few near servers each and share them evenly
    Given 195 hosts and 95 servers with 6 slots in 5 data centres
    When 255 requests a second of 0.95 seconds come for 30 seconds
    Then at most 3 in 100 requests go to another data centre
    And at least 25 in 100 requests find a connection of the last 2.5 seconds
    And at most 10 in 100 requests wait for a slot

  # Guards against requests that wait in a data centre that gets a third more
  # of them than its own servers can run, while others have free slots: each
  # host got a report of one server every few seconds, and took the queues of
  # all others for empty.
  Scenario: Hundreds of hosts use other data centres when near servers are full
    Given 195 hosts and 95 servers with 6 slots in 5 data centres
    When 160 requests a second of 0.95 seconds come to one of them for 10 seconds
    Then at least 20 in 100 requests go to another data centre
    And at most 70 in 100 requests wait for a slot
