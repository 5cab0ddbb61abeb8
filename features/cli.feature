Feature: Operators use the command line

  Guards against exit codes that let a script take a failure for a success,
  against errors that do not say what to do, and against a change that is sent
  twice.

  Background:
    Given an administration listener
    And the manifest document of two services

  Scenario: A valid manifest passes the check without a host
    When radishferryctl without a host runs "check FILE"
    Then radishferryctl ends with 0 and shows "valid, version 3"

  Scenario: An invalid manifest fails the check with all findings
    Given the manifest has "version" as 0
    And the manifest has "services[0].slots" as "six"
    When radishferryctl without a host runs "check FILE"
    Then radishferryctl ends with 2 and shows "services[0].slots: expected an integer"
    And radishferryctl shows "version: expected an integer"

  Scenario Outline: The exit code of a submission shows its result
    Given submissions return <result>
    When radishferryctl runs "submit FILE"
    Then radishferryctl ends with <code> and shows "<text>"

    Examples:
      | result                                     | code | text                          |
      | Accepted(3)                                | 0    | accepted, version 3           |
      | Rejected((Finding('services', 'empty'),))  | 1    | services: empty               |
      | Conflict(9)                                | 1    | submit a higher version       |
      | Unavailable('the table is down')           | 3    | submit it again later         |
      | Unavailable('no response', True)           | 4    | look at "radishferryctl       |

  Scenario: An invalid manifest is not sent
    Given the manifest has "version" as 0
    When radishferryctl runs "submit FILE"
    Then radishferryctl ends with 2 and shows "version: expected an integer"
    And 0 manifests were submitted

  Scenario: A submission goes to the next host when one cannot be reached
    Given submissions return Accepted(3)
    When radishferryctl runs "submit --host 127.0.0.1:1 FILE"
    Then radishferryctl ends with 0 and shows "accepted, version 3"
    And 1 manifests were submitted

  Scenario: A submission whose response is lost is not sent again
    Given a host that closes the connection without a response
    When radishferryctl runs "submit --host SILENT FILE"
    Then radishferryctl ends with 3 and shows "before a repeat"
    And 0 manifests were submitted

  Scenario: A diff lists the changes and why the manifest would be refused
    Given the manifest document is in force
    And the manifest has "services[0].slots" as 3
    When radishferryctl runs "diff FILE"
    Then radishferryctl ends with 1 and shows "inventory.slots: 6 -> 3"
    And radishferryctl shows "version: expected more than the version in force, 3"

  Scenario: Without a manifest in force a diff lists additions
    When radishferryctl runs "diff FILE"
    Then radishferryctl ends with 0 and shows "inventory: added"

  Scenario: A manifest in force that cannot be read is an error
    Given the document in force is {"version": 1, "colour": 2}
    When radishferryctl runs "diff FILE"
    Then radishferryctl ends with 1 and shows "cannot read the manifest in force"

  Scenario Outline: Commands show the state of a host
    Given the host has servers, ranges, hot keys and poison requests
    When radishferryctl runs "<command>"
    Then radishferryctl ends with 0 and shows "<text>"

    Examples:
      | command                    | text                 |
      | status                     | manifest_version: 3  |
      | status --json              | "manifest_version": 3 |
      | servers                    | inventory-1          |
      | servers --json             | "name": "inventory-1" |
      | ranges inventory           | 255                  |
      | hot-keys inventory         | 00000000000000ff     |
      | poison                     | lookup               |
      | dump                       | "hot_keys"           |

  Scenario: Control characters of a host do not reach the terminal
    Given the host has a status with an escape character
    When radishferryctl runs "status"
    Then radishferryctl ends with 0 without an escape character

  Scenario: An unknown service is reported with the known ones
    Given the host has servers, ranges, hot keys and poison requests
    When radishferryctl runs "ranges treasury"
    Then radishferryctl ends with 2 and shows "the host knows: inventory"

  Scenario: Status shows the hosts that answer and reports the others
    When radishferryctl runs "status --host 127.0.0.1:1"
    Then radishferryctl ends with 3 and shows "127.0.0.1:1 cannot be reached"
    And radishferryctl shows "manifest_version: 3"

  Scenario: Following ends when the version is in force
    When radishferryctl without a host runs "follow 3 --hosts HOST"
    Then radishferryctl ends with 0 and shows "HOST"

  Scenario: Following times out when a host keeps an older version
    When radishferryctl without a host runs "follow 4 --hosts HOST 127.0.0.1:1 --timeout 0.3"
    Then radishferryctl ends with 4 and shows "not in force after 0.3 s at: HOST, 127.0.0.1:1"

  Scenario: A stop is sent to one host
    When radishferryctl runs "stop"
    Then radishferryctl ends with 0 and shows "HOST stops"
    And the process was asked to stop 1 times

  Scenario: A stop of several hosts is refused
    When radishferryctl runs "stop --host 127.0.0.1:1"
    Then radishferryctl ends with 2 and shows "give only one --host"
    And the process was asked to stop 0 times

  Scenario Outline: Usage errors say what to do
    When radishferryctl without a host runs "<command>"
    Then radishferryctl ends with 2 and shows "<text>"

    Examples:
      | command                                    | text                        |
      |                                            | too few arguments           |
      | explode                                    | invalid choice              |
      | check                                      | required: file              |
      | check /no/such/file                        | No such file                |
      | status --host localhost:1                  | expected a numeric IPv4     |
      | status --host                              | expected a numeric IPv4     |
      | follow x --hosts HOST                      | invalid int value           |
      | follow 3 --hosts                           | addresses of all hosts      |
      | follow 3 --hosts HOST --hosts HOST         | give --hosts once           |
      | follow 3 --hosts HOST --timeout nan        | expected a timeout above 0  |

  Scenario: A missing token is a usage error
    When radishferryctl with token "" runs "status"
    Then radishferryctl ends with 2 and shows "set RADISHFERRY_TOKEN"

  Scenario: A wrong token is a usage error
    When radishferryctl with token "wrong" runs "status"
    Then radishferryctl ends with 2 and shows "does not accept the token"

  Scenario: An internal error of a host is reported
    Given operations fail with "disk on fire"
    When radishferryctl runs "dump"
    Then radishferryctl ends with 1 and shows "answered 500: internal error"

  Scenario: An answer that is not from a host is reported
    Given a server that answers with a web page
    When radishferryctl runs "servers --host PAGE"
    Then radishferryctl ends with 1 and shows "check that the address is the [listen] admin"

  Scenario: The program runs as a process
    When radishferryctl as a process runs "check /no/such/file"
    Then radishferryctl ends with 2 and shows "radishferryctl: /no/such/file cannot be read"
