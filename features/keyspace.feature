Feature: Keys map to ranges

  Guards against two hosts that map the same key to different ranges.

  Scenario: A key has one range
    Given a service with 256 ranges
    When the range of key "lot-1" is taken twice
    Then both are the same and below 256

  Scenario: A hot key has a range of its own
    Given a service with 256 ranges
    And key "lot-1" is hot with range 256
    Then the range of key "lot-1" is 256
    And the range of key "lot-2" is below 256
