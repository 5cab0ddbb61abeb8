Feature: A request that crashes servers is refused, an innocent one is not

  Background:
    Given a poison detector for 8 fingerprints

  Scenario: A request seen at two crashes is refused
    Guards against a request that crashes one server after the other.
    When requests P are in flight at crash 1 of server s1 at 0 s
    Then request P may run on s2 as a suspect at 1 s
    When requests P are in flight at crash 2 of server s2 at 1 s
    Then request P is refused on s3 at 2 s

  Scenario: Innocent requests of a busy server run again
    Guards against refusing all requests in flight at two crashes when only
    one of them crashes servers.
    When requests A, B, P and C are in flight at crash 1 of server s1 at 0 s
    And all suspects among A, B, P and C are sent again to s2, where P crashes
    Then request P is refused on s3 at 9 s
    And requests A, B and C all ran

  Scenario: One suspect runs on a server at a time
    Guards against a second crash that does not tell suspects apart.
    When requests A and B are in flight at crash 1 of server s1 at 0 s
    And request A is sent to s2 at 1 s
    Then request B waits on s2 at 1 s
    And request A waits on s2 at 1 s
    And request B may run on s3 as a suspect at 1 s
    And request D is clear on s2 at 1 s
    When request A ends on s2 at 2 s
    Then request B may run on s2 as a suspect at 2 s

  Scenario: A run to the end clears a request
    Guards against a frequent request refused because it was in flight at
    two unrelated crashes.
    When requests A are in flight at crash 1 of server s1 at 0 s
    And request A is sent to s2 at 1 s
    And request A ends on s2 at 2 s
    Then request A is clear on s2 at 3 s
    When requests A are in flight at crash 2 of server s2 at 4 s
    Then request A may run on s3 as a suspect at 5 s

  Scenario: A run that began before the crash clears nothing
    Guards against poison cleared by a twin that the crash did not meet.
    When request P is sent to s2 at 0 s
    And requests P are in flight at crash 1 of server s1 at 1 s
    And request P ends on s2 at 2 s
    Then request P may run on s2 as a suspect at 3 s

  Scenario: A request that did not run is not cleared
    Guards against poison cleared because the server refused it.
    When requests P are in flight at crash 1 of server s1 at 0 s
    And request P is sent to s2 at 1 s
    And request P ends on s2 without a run at 2 s
    Then request P may run on s2 as a suspect at 3 s

  Scenario: Poison stays refused when an equal request ends
    Guards against poison that runs again because it did no harm once.
    When requests P are in flight at crash 1 of server s1 at 0 s
    And request P is sent to s3 at 1 s
    And requests P are in flight at crash 2 of server s2 at 1 s
    And request P ends on s3 at 2 s
    Then request P is refused on s3 at 3 s

  Scenario: Suspicion ends
    Guards against a request that is refused for good.
    When requests P are in flight at crash 1 of server s1 at 0 s
    And requests P are in flight at crash 2 of server s2 at 1 s
    Then request P is refused on s3 at 600 s
    And request P is clear on s3 at 602 s

  Scenario: A crash reported twice counts once
    Guards against an innocent request refused after one crash that several
    hosts report.
    When requests A are in flight at crash 1 of server s1 at 0 s
    And the records are pushed back and merged twice at 1 s
    Then request A may run on s2 as a suspect at 2 s

  Scenario: Pushes of different hosts add up in any order
    Guards against a host that lets poison run that others have seen crash
    two servers.
    When requests P are in flight at crash 1 of server s1 at 0 s
    And another host pushes crash 2 with request P at 1 s
    Then request P is refused on s3 at 2 s
    And operators see request P with crashes 1 and 2 at 2 s

  Scenario: Memory is bounded and keeps the refused
    Guards against memory that grows with crashes, and against poison that
    runs again because many suspects came after it.
    When requests P are in flight at crash 1 of server s1 at 0 s
    And requests P are in flight at crash 2 of server s2 at 1 s
    And 50 other requests are in flight at crash 3 of server s3 at 2 s
    Then request P is refused on s4 at 3 s
    And 8 records are listed at 3 s
