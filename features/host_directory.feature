Feature: Links without heartbeats are closed

  Scenario Outline: The link to a silent host is dropped
    Guards against requests that wait for their deadline at a paused host,
    even after other hosts have taken over its servers.
    Given a host directory with a link to a host that coordinates <servers>
    When the link is silent for <seconds> s
    Then the link is <state>

    Examples:
      | servers   | seconds | state   |
      | a server  | 0.2     | kept    |
      | a server  | 0.5     | dropped |
      | no server | 0.5     | dropped |
