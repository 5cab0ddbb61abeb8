Feature: Reading the store by a host that sends directly

  # Guards against a host that goes on with old owners after it has lost the
  # granting host, also when its list of servers was old before that.
  Scenario: A host without the granting host learns the owners with the term
    Given a host whose store names another granting host, with owners
    When the host looks for the granting host
    Then it has adopted the owners
    And it has read its own table once

  # Guards against a granting host that hears of leaving servers too late to
  # pass it on: before, it read for itself alone, at longer intervals.
  Scenario: A host that becomes the granting one reads the servers at once
    Given a reader of the store
    When it is told to read for itself
    And 0.5 seconds of reading pass
    And it is told to read for all hosts
    And 0.1 seconds of reading pass
    Then it has read the servers 2 times
    When 7 seconds of reading pass
    Then it has read the servers 11 to 13 times

  # Guards against two series of reads after a quick end and beginning, which
  # doubles the calls to the store.
  Scenario: An answer to an ended series of reads begins no other one
    Given a reader of the store that answers after 0.3 seconds
    When it is told to read for itself
    And it is told to stop reading
    And it is told to read for itself
    And 5 seconds of reading pass
    Then it has read the servers 4 to 6 times

  # Answers the pattern of a store that turns the granting host away for some
  # seconds: its 66 followers read for themselves meanwhile, and each of them
  # began and ended that again and again.
  Scenario: A host reads on until the news of the granting host are fresh
    Given a host that hears the granting host
    When the news of the granting host grow old for 7 seconds
    Then the host has begun to read once
    When the news of the granting host are fresh again
    Then the host has stopped reading

  # Answers the pattern of a loss of power that takes all hosts: each of them
  # is up again and refused its callers for half a second, since it waited for
  # news of a granting host that was gone as well.
  Scenario: A host that starts again reads the store almost at once
    Given a host that waits 0.08 seconds for the granting host
    When 0.1 seconds of reading pass
    Then the host has begun to read once

  # Answers the pattern of a granting host behind 10 Mbit/s, which cannot
  # renew its right while it sends its 66 followers what it knows.
  Scenario: A host with a slow link leaves the right to grant to others
    Given 20 times 5 hosts with a slow and 1 with a fast link, and no granter
    When they look for the granting host
    Then each time the host with the fast link grants

  # Answers the pattern of a store that takes a hundred times as long for some
  # seconds: its late answers counted as failures, and nobody held the right.
  Scenario: A store that answers writes after half a second costs no right
    Given a granting host whose store takes 0.5 seconds for a write
    When it renews its right for 20 seconds
    Then it has never lost the right

  # Guards against a deployment without a granting host where no link is fast.
  Scenario: A host with a slow link grants where no other does
    Given 20 times 5 hosts with a slow and 0 with a fast link, and no granter
    When they look for the granting host
    Then each time one host grants

  # Guards against two granting hosts at once: a host found the right free,
  # waited, read the row again meanwhile, and then wrote over the new holder.
  Scenario: A right that another host takes during the pause stays with it
    Given 200 times 6 hosts with a slow and 2 with a fast link, and no granter
    When they look for the granting host again and again
    Then each time one host grants and none has lost the right
