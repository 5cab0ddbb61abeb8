Feature: The planner writes assignments of ranges

  Scenario: The first plan waits for the servers
    Guards against a plan that leaves out servers whose coordinators report
    slightly later than the others.
    Given a planner of 4 servers with 64 ranges
    When 3 servers are reported
    Then nothing is planned
    When all servers are reported
    Then each server owns 16 ranges

  Scenario: With few requests, the number of ranges is balanced
    Guards against a server that stays nearly empty after it was lost and has
    returned.
    Given a planner of 4 servers with 64 ranges
    And 2 of its servers own all ranges, each active
    When 20 requests/s are measured, all on range 0
    Then after 10 plans each server owns 12 to 20 ranges

  Scenario: Nothing moves for balance while many ranges are moving
    Guards against ranges that are moved repeatedly before any move ends, and
    against an empty server that is filled with the few movable ranges.
    Given a planner of 4 servers with 64 ranges
    And 2 of its servers own all ranges, 10 not active
    When 20 requests/s are measured, all on range 0
    Then nothing is planned

  Scenario: A key that was split out is not merged back
    Guards against a key that is served by its own range and its hash range at
    the same time.
    Given a planner of 4 servers with 64 ranges
    And its servers own 16 ranges each, and one of them a hot key
    When 40000 requests/s are measured, spread evenly
    Then the hot key keeps its range
