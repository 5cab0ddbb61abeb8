Feature: Hosts agree on who is live and who relays

  Scenario Outline: A host judges others by heartbeats
    Guards against a dead coordinator that keeps its servers, a live one that
    loses them, a lagging host list that overrides heartbeats, and a
    coordinator that counts as unchanged after a restart lost its state.

    Each event has its time in seconds. "beat" is a heartbeat with the
    incarnation of the host, "broken" or "opened" the loss or opening of the
    link to a host, "list" a host list of the platform. "look" reports hosts
    that went down (-) or up (+), "sends" the hosts to send heartbeats to (to).

    Given host a1 that gets a heartbeat of a2 every 0.1 s until second 2
    When host a1 processes "<events>"
    Then host a1 reports "<changes>"

    Examples:
      | events                                     | changes                |
      | 2.29 look                                  |                        |
      | 2.31 look, 3 beat a2 1, 3 look             | 2.31 -a2, 3 +a2        |
      | 2 broken a2, 2.05 beat a2 1, 2.1 look      | 2.1 -a2                |
      | 2 broken a2, 2 look, 2.1 opened a2, 2.1 look, 2.2 beat a2 1, 2.2 look | 2 -a2, 2.2 +a2 |
      | 2.1 beat a2 2, 2.2 beat a2 1, 2.3 look     | 2.3 -a2, 2.3 +a2       |
      | 2.1 list a1, 2.2 look, 2.2 sends, 2.31 look | 2.2 to a2, 2.31 -a2   |
      | 2.31 look, 2.4 list a1, 2.5 list a1, 2.6 list a1 a2, 2.6 look | 2.31 -a2 |
      | 2.31 list a1 a2 b1, 2.31 look, 2.4 beat b1 1, 2.5 beat a2 1, 2.5 look, 2.75 look | 2.31 -a2, 2.31 +b1, 2.5 +a2 |
      | 2 list a1 a2 a3, 2 look, 2.2 beat a2 1, 2.4 beat a2 1, 2.6 beat a2 1, 2.8 beat a2 1, 2.9 look, 3.01 look | 2 +a3, 3.01 -a3 |

  Scenario Outline: Live hosts agree on the relays
    Guards against relays that consider each other down, also after another
    host was relay, and against heartbeats between all hosts.
    Given <hosts> hosts in each of 3 data centres
    When <dead> hosts of each data centre freeze for 3 s
    Then live hosts agree on their relay and relays on all relays
    And hosts other than relay candidates have at most <most> neighbours
    When 0 hosts of each data centre freeze for 3 s
    Then live hosts agree on their relay and relays on all relays

    Examples:
      | hosts | dead | most |
      | 4     | 1    | 3    |
      | 4     | 2    | 3    |
      | 20    | 2    | 7    |
