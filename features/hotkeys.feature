Feature: The keys and ranges with the most requests are measured

  Scenario: Rates of hot keys are right among many others
    Guards against hot keys that are missed, rare keys reported as hot when
    the sketch is full, and memory that grows with the number of keys.
    Given 30 s of 100000 Zipf keys at 2000 per s in a sketch
    When key 99999 has 40 additional requests per s for 10 s
    Then the rates of 10 keys are at most 2 percent too low, none is too high
    And the loads of the ranges sum to those of all keys
    And the sketch holds at most 1024 keys

  Scenario: A key that turns hot is found beside keys that were hot
    Guards against counts of former hot keys that hide a new hot key.
    Given 10 s of 512 even keys at 2000 per s in a sketch
    When key 99999 has 40 of 2000 requests per s for 5 s
    Then the rates of 1 keys are at most 20 percent too low, none is too high

  Scenario: Rates are right after the start and fade
    Guards against servers that seem idle after their host has started, and
    against keys that stay split out after they became cold.
    Given 1 s of 1 Zipf keys at 2000 per s in a sketch
    Then the rates of 1 keys are at most 2 percent too low, none is too high
    When the sketch records no requests for 40 s
    Then the rates of 1 keys are at most 2 percent too low, none is too high
    When the sketch records no requests for 200 s
    Then the sketch holds at most 0 keys

  Scenario: Reports of coordinators add up
    Guards against a key that has moved and is counted at one server only.
    Then merged reports add the rates of a key and keep the highest
