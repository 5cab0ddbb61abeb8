Feature: Calls of a direct-mode host to the platform's store

  # Guards against hosts that keep an old configuration for seconds. Behind a
  # link of 5 Mbit/s a configuration of 1,600 routes takes longer than the
  # timeout of a call beside the traffic of callers, so the host dropped most
  # of it and began again.
  Scenario: A large row that arrives slowly is read in one call
    Given a store client
    When a read of the configuration starts
    And 350 kB arrive at 250 kB a second
    Then the read has returned the row after one call

  # Guards against a host that waits for a store whose connection is dead.
  Scenario: A read ends when no more bytes arrive
    Given a store client
    When a read of the configuration starts
    And 100 kB arrive at 250 kB a second
    And 1 second passes at the store client
    Then the read has failed

  # Guards against a read that never ends.
  Scenario: A read ends although bytes still arrive
    Given a store client
    When a read of the configuration starts
    And 100 kB arrive at 10 kB a second
    Then the read has failed

  # Guards against calls that wait one after the other for connections that
  # have all gone silent at the same moment.
  Scenario: No idle connection is reused after one was silent
    Given a store client with two idle connections
    When a read of the configuration starts on an idle connection
    And 1 second passes at the store client
    Then the read has failed
    And the next read opens a connection
