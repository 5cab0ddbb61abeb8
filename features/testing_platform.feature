Feature: The platform stand-in behaves like the platform

  Scenario: One of two competing writes wins
    Guards against two operators whose conflicting writes are both accepted.

    Given a platform stand-in
    When write "w1" sets row "manifest/current" from version 0
    And write "w2" sets row "manifest/current" from version 0
    Then the platform applied the writes "w1"
    And row "manifest/current" has the write id "w1"

  Scenario: A transaction applies all writes or none
    Guards against partially written assignments.

    Given a platform stand-in
    When write "w1" sets row "ranges/a/0" from version 0
    And write "w2" sets row "ranges/a/1" on the condition that "ranges/a/0" has version 0
    Then the platform applied the writes "w1"
    And row "ranges/a/1" does not exist

  Scenario: A recreated row has a new version
    Guards against a late conditional write that matches a row which has been
    deleted and created again in the meantime (ABA).

    Given a platform stand-in
    When write "w1" sets row "r/1" from version 0
    And the version of row "r/1" is noted
    And write "w2" deletes row "r/1"
    And write "w3" sets row "r/1" from version 0
    Then the version of row "r/1" is higher than the noted one

  Scenario: A write takes effect though its answer is lost
    Guards against tests in which a write without an answer was never applied.

    Given a platform stand-in
    When the fault "drop_answers" is 1
    And write "w1" sets row "r/1" from version 0
    And write "w2" sets row "r/2" from version 0
    Then write "w1" got no answer
    And the platform applied the writes "w2"
    And row "r/1" has the write id "w1"

  Scenario Outline: A table that is <mode> applies nothing
    Guards against an outage in which writes still take effect.

    Given a platform stand-in
    When the fault "table" is "<mode>"
    And write "w1" sets row "r/1" from version 0
    And the fault "table" is "up"
    Then write "w1" got no answer
    And row "r/1" does not exist

    Examples:
      | mode |
      | down |
      | hang |

  Scenario: Only the named host is partitioned
    Guards against a fault that also blocks the control requests of the test.

    Given a platform stand-in
    When the fault "refuse_from" is ["h1"]
    And the host list is set to host "h1"
    Then host "h1" cannot read the host list
    And host "h2" reads the host list with host "h1"

  Scenario: The host list lags
    Guards against tests that cover only an up-to-date list.

    Given a platform stand-in
    When the host list is set to host "h1"
    And the fault "host_list_lag_s" is 3600
    Then host "h2" reads an empty host list

  Scenario: Objects are stored unchanged
    Guards against an object store that alters the bytes of objects.

    Given a platform stand-in
    Then an object of all byte values is read back unchanged

  Scenario: Accesses are counted by row prefix
    Guards against load figures that mix tables of different sizes.

    Given a platform stand-in
    When write "w1" sets row "ranges/a/0" from version 0
    And write "w2" sets row "ranges/a/1" from version 0
    And write "w3" sets row "manifest/1" from version 0
    Then the platform counted 2 writes to "ranges" and 1 to "manifest"
