Feature: Granting hosts that reach no server

  # Guards against keys that nobody owns: a granting host without links to the
  # servers kept leadership at the store and could not renew any lease.
  Scenario: A granting host that reaches no server leaves leadership to another
    Given a granting host and another host that reaches servers
    When the granting host has reached no server for 0.5 seconds
    Then it releases leadership
    And the other host has leadership within 0.6 seconds

  # Guards against a change of the granting host because of a disturbance that
  # is over within moments.
  Scenario: A granting host keeps leadership during a short disturbance
    Given a granting host and another host that reaches servers
    When the granting host has reached no server for 0.2 seconds
    Then it keeps leadership

  # Guards against a deployment without a granting host when all servers failed.
  Scenario: A granting host keeps leadership if no host reaches servers
    Given a granting host and another host that reaches no server
    When the granting host has reached no server for 5 seconds
    Then it keeps leadership

  # Guards against leadership that nobody can acquire during an outage.
  Scenario: A granting host keeps leadership while the store does not answer
    Given a granting host and another host that reaches servers
    And the store has not answered for 0.8 seconds
    When the granting host has reached no server for 0.5 seconds
    Then it keeps leadership

  # Guards against a granting host that is replaced by one that is no better.
  Scenario: A host that reaches no server leaves free leadership to another
    Given 20 times 5 hosts that reach no server and 1 that does
    When they look for the granting host
    Then each time the last host grants

  # Guards against a deployment without a granting host when all servers failed.
  Scenario: A host that reaches no server grants where no host reaches any
    Given 20 times 5 hosts that reach no server and 0 that do
    When they look for the granting host
    Then each time one host grants

  # Guards against a host that never grants again after it has resigned.
  Scenario: A host that has resigned acquires leadership again later
    Given a granting host and no other host
    When it resigns and 2 seconds pass
    Then it has leadership again

  # Guards against a host that gives leadership away as soon as it acquires it.
  Scenario: A host that resigns without leadership acquires it later
    Given a granting host and no other host
    When it resigns and 0.1 seconds pass
    And it resigns and 2 seconds pass
    Then it has leadership again
    And it has released leadership once

  # Guards against leadership that is lost when it is released during a renewal.
  Scenario: A host that resigns during a renewal releases leadership
    Given a granting host and no other host
    When it resigns while a renewal is in progress
    Then the row of the store names no granting host
