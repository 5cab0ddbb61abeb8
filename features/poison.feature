Feature: A request that crashes servers is refused, an innocent one is not

  Background:
    Given a poison detector for 8 fingerprints

  Scenario: Guards against a request that crashes one server after another, or is refused permanently
    When server s1 crashes with P in flight at 0 s
    Then fingerprint P is suspect on s2 at 1 s
    When server s2 crashes with P in flight at 1 s
    Then fingerprint P is refused on s3 at 600 s
    And fingerprint P is clear on s3 at 602 s

  Scenario: Guards against innocent requests of a busy server that are refused
    When server s1 crashes with A, B, P, C in flight at 0 s
    Then of the suspects A, B, P, C sent again all complete except P

  Scenario: Guards against a second crash that does not identify the request that caused it
    When server s1 crashes with A, B in flight at 0 s
    And fingerprint A starts on s2 at 1 s
    Then fingerprint B is wait on s2 at 1 s
    And fingerprint A is wait on s2 at 1 s
    And fingerprint B is suspect on s3 at 1 s
    And fingerprint D is clear on s2 at 1 s
    When fingerprint A ends on s2 at 2 s
    Then fingerprint B is suspect on s2 at 2 s

  Scenario: Guards against a frequent request refused after unrelated crashes
    When server s1 crashes with A in flight at 0 s
    And fingerprint A starts on s2 at 1 s
    And fingerprint A ends on s2 at 2 s
    Then fingerprint A is clear on s2 at 3 s
    When server s2 crashes with A in flight at 4 s
    Then fingerprint A is suspect on s3 at 5 s

  Scenario Outline: Guards against poison cleared by a run that began before its crash, or did not complete
    When fingerprint P starts on s2 at <start> s
    And server s1 crashes with P in flight at 1 s
    And server s3 crashes with <others> in flight at 1 s
    And fingerprint P <ends> on s2 at 3 s
    Then fingerprint P is <verdict> on s2 at 4 s

    Examples:
      | start | others | ends  | verdict |
      | 0     | A      | ends  | suspect |
      | 1     | A      | fails | suspect |
      | 1     | P      | ends  | refused |

  Scenario: Guards against crashes counted once for each host, or not at all
    When server s1 crashes with P in flight at 0 s
    And the records of the crash are merged 2 times at 1 s
    Then fingerprint P is suspect on s2 at 2 s
    When another host pushes a crash with P at 3 s
    Then fingerprint P is refused on s3 at 4 s
    And operators see 1 records and P with 2 crashes at 4 s

  Scenario: Guards against unbounded memory, and poison evicted to bound it
    When server s1 crashes with P in flight at 0 s
    And server s2 crashes with P in flight at 1 s
    And server s3 crashes with A, B, C, D, E, F, G, H, I, J in flight at 2 s
    Then fingerprint P is refused on s4 at 3 s
    And operators see 8 records and P with 2 crashes at 3 s
