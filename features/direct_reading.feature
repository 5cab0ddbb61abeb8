Feature: Reading the store by a host that sends directly

  # Guards against a host that goes on with old owners: its list of servers
  # was old while it still heard the granting host, and then it lost that.
  Scenario: A host that reads servers begins to read owners without its link
    Given a reader of the store
    When it is told to read servers
    And it is told to read servers and owners
    Then it has read the owners
    And it has read the servers once

  # Guards against a granting host that adopts its own rows as news.
  Scenario: A host that becomes the granting one stops reading owners
    Given a reader of the store
    When it is told to read servers and owners
    And it is told to read servers
    And 5 seconds of reading pass
    Then it has read the owners once
    And it goes on reading the servers

  # Guards against two series of reads after a quick end and beginning, which
  # doubles the calls to the store.
  Scenario: An answer to an ended series of reads begins no other one
    Given a reader of the store that answers after 0.3 seconds
    When it is told to read servers
    And it is told to stop reading
    And it is told to read servers
    And 5 seconds of reading pass
    Then it has read the servers at most 7 times
