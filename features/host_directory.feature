Feature: Links are judged by their heartbeats

  Scenario Outline: A silent host loses its link
    Guards against requests that wait for their deadline at a paused host,
    also after its servers have been taken over by others.
    Given a host directory with a link to a host that coordinates <servers>
    When the link is silent for <seconds> s
    Then the link is <state>

    Examples:
      | servers   | seconds | state   |
      | a server  | 0.2     | kept    |
      | a server  | 0.5     | dropped |
      | no server | 0.5     | dropped |
