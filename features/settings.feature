Feature: Settings are read with all findings

  Guards against a host that starts with settings that the operator did not
  intend, and against secrets that appear in messages.

  Scenario: A complete file is read with defaults
    Given a settings file with all required options
    When the settings are loaded
    Then setting "listen_callers" is ["0.0.0.0", 7901]
    And setting "listen_admin" is ["127.0.0.1", 7903]
    And setting "peers_shared_key" is "key_%(x)s_16_characters"
    And setting "log_level" is "info"

  Scenario Outline: One wrong option is named by file, section and option
    Given a settings file with all required options
    And its setting "<option>" is "<value>"
    When the settings are loaded
    Then the only finding is at "<place>" and says "<message>"

    Examples:
      | option               | value          | place                  | message                       |
      | host.name            | a/b            | [host] name            | expected 1 to 63 letters      |
      | listen.callers       | localhost:80   | [listen] callers       | expected a numeric IPv4       |
      | listen.peers         | 127.0.0.1:0    | [listen] peers         | expected a port from 1        |
      | listen.peers         | 0.0.0.0:7901   | [listen] peers         | already used by callers       |
      | listen.admin         | 10.0.0.1:7903  | [listen] admin         | expected a loopback address   |
      | platform.timeout_ms  | 1e3            | [platform] timeout_ms  | expected an integer from 10   |
      | platform.timeout_ms  | 9              | [platform] timeout_ms  | expected an integer from 10   |
      | peers.shared_key     | fifteen_charact| [peers] shared_key     | expected at least 16          |
      | admin.token          | sixteen plus spaces | [admin] token     | without spaces                |
      | admin.allow_remote   | true           | [admin] allow_remote   | expected yes or no            |
      | log.level            | loud           | [log] level            | expected one of debug         |
      | log.format           | xml            | [log] format           | expected one of key-value     |
      | host.colour          | red            | [host] colour          | unknown option                |
      | host.Name            | h1             | [host] Name            | unknown option                |
      | DEFAULT.name         | h1             | [DEFAULT]              | unknown section               |
      | extra.name           | h1             | [extra]                | unknown section               |

  Scenario: A remote administration address is allowed on request
    Given a settings file with all required options
    And its setting "listen.admin" is "10.0.0.1:7903"
    And its setting "admin.allow_remote" is "yes"
    When the settings are loaded
    Then setting "listen_admin" is ["10.0.0.1", 7903]

  Scenario: Every missing option is reported
    Given a settings file with the content ""
    When the settings are loaded
    Then findings are at "[host] name, [host] data_centre, [listen] callers, [listen] peers, [platform] address, [peers] shared_key, [admin] token"

  Scenario Outline: A file that is not an INI file is refused
    Given a settings file with the content "<content>"
    When the settings are loaded
    Then the only finding is at "<place>" and says "<message>"

    Examples:
      | content                        | place       | message              |
      | name = h1                      | line 1      | expected a section   |
      | [host]\nname                   | line 2      | option = value       |
      | [host]\nname = a\nname = b     | [host] name | duplicate option in line 3 |
      | [host]\nname = a\n[host]       | [host]      | duplicate section in line 3 |
      | \xff                           | byte 0      | expected UTF-8       |

  Scenario: A missing file is refused
    Given a settings file that does not exist
    When the settings are loaded
    Then the only settings message is "cannot be read: No such file or directory"

  Scenario: Secrets stay out of messages
    Given a settings file with all required options
    And its setting "admin.token" is "hunter2"
    When the settings are loaded
    Then no settings finding contains "hunter2"

  Scenario: Secrets stay out of the representation of settings
    Given a settings file with all required options
    When the settings are loaded
    Then the representation of the settings has no secret

  Scenario: The program checks a valid file
    Given a settings file with all required options
    When radishferryd runs with "--check"
    Then radishferryd exits with 0 and prints "valid"

  Scenario: The program prints all findings of a wrong file
    Given a settings file with all required options
    And its setting "log.level" is "loud"
    And its setting "host.name" is "a/b"
    When radishferryd runs with "--check"
    Then radishferryd exits with 2 and prints "[host] name"
    And radishferryd prints "[log] level"

  Scenario: The program does not start with a wrong file
    Given a settings file with the content ""
    When radishferryd runs with ""
    Then radishferryd exits with 2 and prints "[admin] token: missing"

  Scenario Outline: Log lines keep their fields whatever the message contains
    When a log line "net: line one\nline two" with field peer "1.2.3.4:5" is written as <format>
    Then one line is written and its field "<field>" is "<value>"

    Examples:
      | format    | field  | value                   |
      | json      | event  | net: line one\nline two |
      | json      | peer   | 1.2.3.4:5               |
      | json      | level  | warning                 |
      | key-value | event  | net: line one\nline two |
      | key-value | logger | radishferryd.net        |
