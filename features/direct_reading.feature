Feature: Reading the store by a host that sends directly

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
