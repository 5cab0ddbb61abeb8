Feature: Messages between the granting host and hundreds of others

  # Guards against more load reports than the granting host can process: in a
  # deployment of 195 hosts on 0.43 cores each it got 780 of them a second.
  Scenario Outline: <hosts> hosts send at most <reports> reports a second
    Given the granting host of <hosts> hosts
    Then all hosts together send at most <reports> reports a second
    And each host reports every <most_s> seconds or more often

    Examples:
      | hosts | reports | most_s |
      | 12    | 48      | 0.25   |
      | 67    | 268     | 0.25   |
      | 195   | 325     | 0.6    |

  # Guards against hosts that spend their CPU time on processing pushes while
  # keys are granted for the first time: each step was pushed to all hosts.
  Scenario: Many steps of a change reach the hosts in few pushes
    Given the granting host of 195 hosts
    When 300 ranges change their owners one after the other in 1.2 seconds
    Then each host has got between 2 and 30 pushes
    And the pushes name the last owner of each range

  # Guards against callers that wait for an owner in a small deployment.
  Scenario: A single change is pushed at once
    Given the granting host of 195 hosts
    When 1 ranges change their owners one after the other in 0.004 seconds
    Then each host has got between 1 and 1 pushes

  # Guards against a new granting host that encodes the owners of all keys for
  # each of the other hosts, which all connect to it within a second.
  Scenario: The first messages to hundreds of hosts are encoded a few times
    Given a host that becomes the granting host with 600 ranges
    When 194 hosts connect to it within 1 second
    Then each host has got the owners of 600 ranges
    And the owners were encoded at most 12 times

  # Guards against a host that gets outdated owners when it connects.
  Scenario: A host that connects after a change gets the change
    Given a host that becomes the granting host with 600 ranges
    When 2 hosts connect to it within 0.01 seconds
    And range 5 moves to another owner
    And 2 hosts connect to it within 0.01 seconds
    Then the last host knows the new owner of range 5

  # Guards against configurations in quick succession that queue up on all
  # links: they arrive ever later, and a link with too many queued bytes is
  # closed, after which its host needs the whole state again.
  Scenario: A storm of large configurations fits through the link of the host
    Given the granting host of 67 hosts with a link of 100 Mbit/s
    When 20 configurations of 3000 routes come in 2 seconds
    Then at most one configuration was queued for the link at a time
    And each host has the last configuration

  # Guards against a delay of every configuration.
  Scenario: A single configuration is pushed at once
    Given the granting host of 67 hosts with a link of 100 Mbit/s
    When 1 configurations of 3000 routes come in 0.001 seconds
    Then each host has the last configuration

  # Guards against a granting host whose links all end: a configuration above
  # the largest frame raised an error for each host that connected, and in the
  # reader of the store, which then read no configuration any more.
  Scenario: A configuration that is too large for a message is read by each host
    Given the granting host of 3 hosts with a link of 100 Mbit/s
    When 1 configurations of 16000 routes come in 0.001 seconds
    And 2 hosts connect to it within 0.01 seconds
    Then no host has got a configuration
    And the heartbeats make all hosts read the store
