Feature: Manifests are parsed and all their errors are reported

  Guards against accepting an invalid manifest, and against reports that show
  one error at a time or not its place.

  Scenario: A valid manifest is parsed with defaults
    Given the manifest document of two services
    When the manifest is parsed
    Then the parsed manifest has version 3 and 2 services
    And service "inventory" of it has 256 ranges and kind "lookup"

  Scenario Outline: An invalid value is reported with its place
    Given the manifest document of two services
    And the manifest has "<place>" as <value>
    When the manifest is parsed
    Then the only finding is at "<place>" and says "<message>"

    Examples:
      | place                               | value                 | message                       |
      | version                             | 0                     | expected an integer from 1    |
      | version                             | true                  | expected an integer from 1    |
      | version                             | 9007199254740992      | expected an integer from 1    |
      | services[0].name                    | "a/b"                 | expected 1 to 63 letters      |
      | services[0].keyed                   | "yes"                 | expected true or false        |
      | services[0].ranges                  | 0                     | expected an integer from 1    |
      | services[0].slots                   | 2.5                   | expected an integer from 1    |
      | services[0].connections             | 6                     | expected more than slots (6)  |
      | services[0].lost_after_s            | 1                     | expected null or a number     |
      | services[0].lost_after_s            | "never"               | expected null or a number     |
      | services[0].servers                 | []                    | expected a list of 1          |
      | services[0].servers                 | {}                    | expected a list of 1          |
      | services[0].servers[0]              | "inventory-1"         | expected an object            |
      | services[0].servers[0].address      | "localhost:80"        | expected a numeric IPv4       |
      | services[0].servers[0].address      | "10.0.0.1"            | expected a numeric IPv4       |
      | services[0].servers[0].address      | "[::1]:80"            | expected a numeric IPv4       |
      | services[0].servers[0].address      | "10.0.0.1:0"          | expected a port from 1        |
      | services[0].servers[0].address      | "10.0.0.1:65536"      | expected a port from 1        |
      | services[0].servers[0].address      | 80                    | expected a numeric IPv4       |
      | services[0].servers[0].state        | "dead"                | expected one of live          |
      | services[0].servers[0].data_centre  | ""                    | expected 1 to 63 letters      |
      | services[0].servers[1].name         | "inventory-1"         | is already used at            |
      | services[0].servers[1].address      | "127.0.0.1:9001"      | is already used at            |
      | services[1].servers[0].name         | "inventory-1"         | is already used at            |
      | services[1].name                    | "inventory"           | is already used at            |
      | services[0].kinds[0].method         | "get"                 | expected one of GET           |
      | services[0].kinds[0].path           | "lots/{key}"          | begins with                   |
      | services[0].kinds[0].path           | "/lots/all"           | since the service is keyed    |
      | services[0].kinds[0].path           | "/lots//{key}"        | neither literal text nor      |
      | services[0].kinds[0].path           | "/lots/a{key}"        | neither literal text nor      |
      | services[0].kinds[0].path           | "/lots/../{key}"      | neither literal text nor      |
      | services[0].kinds[0].path           | "/{a}/{a}/{key}"      | each parameter name only once |
      | services[0].kinds[0].path           | "/{rest...}/{key}"    | only at the end               |
      | services[0].kinds[0].path           | "/lots/{key...}"      | to take one segment           |
      | services[0].kinds[0].path           | "/lots/{key}?x=1"     | neither literal text nor      |
      | services[0].kinds[0].idempotent     | null                  | expected true or false        |
      | services[0].kinds[0].deadline_ms    | 600001                | expected an integer from 1    |
      | services[0].kinds[0].max_body_bytes | -1                    | expected an integer from 0    |
      | services[0].kinds[1].name           | "lookup"              | is already used at            |
      | services[1].kinds[0].path           | "/{any}/{other}"      | can match the same path as    |
      | services[1].kinds[0].path           | "/lots/search"        | can match the same path as    |
      | services[1].kinds[0].path           | "/{rest...}"          | can match the same path as    |
      | services[0].reservations[0].share   | 0                     | above 0 and at most 1         |
      | services[0].reservations[0].share   | 1.5                   | above 0 and at most 1         |
      | services[0].reservations[0].caller  | "two words"           | expected 1 to 128 printable   |
      | services[0].reservations[1].caller  | "web"                 | is already used at            |

  Scenario Outline: Missing and unknown fields are reported
    Given the manifest document of two services
    And the manifest <change>
    When the manifest is parsed
    Then the only finding is at "<finding>" and says "<message>"

    Examples:
      | change                                    | finding                         | message       |
      | lacks "version"                           | version                         | missing       |
      | lacks "services"                          | services                        | missing       |
      | lacks "services[0].kinds[0].idempotent"   | services[0].kinds[0].idempotent | missing       |
      | has "services[0].kinds[0].retries" as 3   | services[0].kinds[0]            | unknown field |
      | has "servces" as []                       | manifest                        | unknown field |

  Scenario: Findings of all levels are reported together
    Given the manifest document of two services
    And the manifest has "version" as "three"
    And the manifest has "services[0].slots" as 0
    And the manifest has "services[0].kinds[0].path" as "/lots"
    And the manifest has "services[1].servers[0].name" as "inventory-1"
    When the manifest is parsed
    Then findings are at "version, services[0].slots, services[0].kinds[0].path, services[1].servers[0].name"

  Scenario Outline: A document that is not a JSON object is refused
    Given the manifest bytes <bytes>
    When the manifest is parsed
    Then the only finding is at "<place>" and says "<message>"

    Examples:
      | bytes                         | place           | message                |
      | b''                           | line 1 column 1 | not valid JSON         |
      | b'{"version": 1,\n "a" 2}'    | line 2 column 6 | not valid JSON         |
      | b'[]'                         | manifest        | expected an object     |
      | b'null'                       | manifest        | expected an object     |
      | b'{"version": NaN}'           | manifest        | NaN is not a JSON      |
      | b'\xff{}'                     | byte 0          | expected UTF-8         |
      | b'[' * 200000                 | manifest        | nested too deeply      |
      | b'9' * 5000                   | manifest        | not valid JSON         |
      | b' ' * 4194305                | manifest        | exceeds 4194304 bytes  |

  Scenario: A name given twice is a finding
    Given the manifest bytes b'{"version": 1, "version": 2, "services": [null]}'
    When the manifest is parsed
    Then findings are at "version, services[0]"

  Scenario: The number of reported findings is bounded
    Guards against a report with a finding for each of thousands of servers.

    Given the manifest document of two services
    And manifest service 0 has 500 servers without a name
    When the manifest is parsed
    Then 101 manifest findings are reported, the last for 400 more

  Scenario: No JSON value crashes the parser
    Guards against unexpected exceptions, and against a refusal that states no
    place or no message.

    Then every JSON value is either parsed or refused with findings

  Scenario: Changes between two manifests are listed by name
    Guards against a diff that omits a change, or that shows it by the index
    of a list element.

    Given the manifest document of two services
    And the same manifest with changes
      | place                          | value            |
      | version                        | 4                |
      | services[0].slots              | 3                |
      | services[0].servers[1].state   | "leaving"        |
      | services[1].name               | "papers"         |
      | services[0].reservations[0].share | 0.25          |
    Then the manifest changes are
      | place                               | text                  |
      | certificates                        | removed               |
      | papers                              | added                 |
      | inventory.reservations.web.share    | 0.5 -> 0.25           |
      | inventory.servers.inventory-2.state | "live" -> "leaving"   |
      | inventory.slots                     | 6 -> 3                |
      | version                             | 3 -> 4                |

  Scenario Outline: A change that could give a key two owners is refused
    Guards against changes of the key space or of the identity of a server
    while ranges are held, and against a version that does not increase.

    Given the manifest document of two services
    And the same manifest with changes
      | place    | value   |
      | version  | 4       |
      | <place>  | <value> |
    Then the manifest transition is refused at "<finding>"

    Examples:
      | place                              | value           | finding                            |
      | version                            | 3               | version                            |
      | services[0].ranges                 | 128             | services[0].ranges                 |
      | services[0].keyed                  | false           | services[0].keyed                  |
      | services[0].servers[0].address     | "127.0.0.1:1"   | services[0].servers[0].address     |
      | services[0].servers[0].data_centre | "c"             | services[0].servers[0].data_centre |
