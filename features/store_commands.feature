Feature: Operators check the configuration of hosts in direct mode

  # Guards against a check that stops at the first finding, so that the others
  # show only after the configuration is in force.
  Scenario: A configuration is checked with all findings
    Given a configuration of the platform
    And route "lookup" of the configuration has "kind" as "bogus"
    And service "stock" of the configuration has "max_connections" as "many"
    When the configuration is checked
    Then the findings are at "services.stock, routes.lookup"

  # Guards against routes that can never receive a request or reach a server.
  Scenario Outline: Inconsistent entries are found
    Given a configuration of the platform
    And route "<route>" of the configuration has "<field>" as "<value>"
    When the configuration is checked
    Then the findings are at "<places>"

    Examples:
      | route  | field   | value       | places      |
      | lookup | service | nobody      | routes.lookup |
      | pay    | prefix  | /k          | routes.pay  |

  # Guards against a valid configuration that is refused.
  Scenario: A valid configuration has no finding
    Given a configuration of the platform
    When the configuration is checked
    Then there is no finding

  # Guards against an unclear error for a file that is no configuration.
  Scenario Outline: A file that is no configuration is reported as such
    Given a configuration file with <text>
    When the configuration is checked
    Then the findings are at "<places>"

    Examples:
      | text   | places                     |
      | {      | document                   |
      | []     | document                   |
      | {}     | version, services, routes  |
