Feature: The server stand-in keeps its lease and its log

  Scenario: A delayed renewal does not extend the lease
    Guards against a server that takes buffered renewals after a freeze.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When the lease under term 5 with an old seq asks for 900 ms
    Then the grant is refused
    And at 700 ms the lease holds nothing

  Scenario: A fenced coordinator is refused
    Guards against a paused coordinator that comes back.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When the lease under term 6 asks for 800 ms
    And the lease under term 5 asks for 2000 ms
    Then the grant is refused
    And at 700 ms the lease holds range "1" at epoch 3
    And at 900 ms the lease holds nothing

  Scenario: A grant never shortens the lease
    Guards against a coordinator that relies on an expiry already given.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When the lease under term 6 asks for 0 ms
    Then at 500 ms the lease holds range "1" at epoch 3

  Scenario Outline: A lapsed range returns only under a higher epoch
    Guards against a renewal that brings a lapsed lease back.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When at 700 ms range "1" is granted at epoch <epoch> until 1300 ms
    Then at 800 ms the lease holds <held>

    Examples:
      | epoch | held                   |
      | 3     | nothing                |
      | 4     | range "1" at epoch 4   |

  Scenario: A grant that has expired takes no range
    Guards against a grant that arrives after its time.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When at 700 ms range "1" is granted at epoch 4 until 650 ms
    Then at 700 ms the lease holds nothing

  Scenario: A revoked range is held until its work ends
    Guards against a release that is acknowledged while work still runs.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When work on range "1" begins
    And range "1" is revoked
    Then at 500 ms the lease holds range "1" at epoch 3
    And at 500 ms work on range "1" at epoch 3 is refused
    And at 500 ms the work may commit
    When the work ends
    Then at 500 ms the lease holds nothing

  Scenario: Work does not commit across a lapse
    Guards against a commit under a lease that lapsed and was given again.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When work on range "1" begins
    And at 700 ms range "1" is granted at epoch 4 until 1300 ms
    Then at 800 ms the work may not commit

  Scenario: A server that was frozen past its lease does not commit
    Guards against stale authority after a pause.

    Given a server stand-in with 1 slots
    When a request under a lease of 2 s has started and waits for its body
    And the server is paused until the lease has lapsed
    And the body of the request is sent
    Then the request to the stand-in gets status 500
    And the run log ends with "abort" because of "lease-lapsed"

  Scenario: A killed server leaves its log
    Guards against a checker that misses what ran before a kill.

    Given a server stand-in with 1 slots
    When a request has started and waits for its body
    And the server is killed
    Then the run log ends with "start"

  Scenario Outline: A poison request ends the server
    Guards against crash tests in which nothing crashes.

    Given a server stand-in with 1 slots
    When a request with the poison in its <place> is sent
    Then the server has ended with status 70

    Examples:
      | place  |
      | header |
      | body   |

  Scenario: A caller that leaves frees its slot
    Guards against slots that stay taken by cancelled work.

    Given a server stand-in with 1 slots
    When a request has started and waits for its body
    And the caller closes the connection
    Then another request to the stand-in gets status 200
    And the run log has "abort" because of "cancelled"

  Scenario: Work of a caller that has left is cancelled
    Guards against slots taken for an hour by work that nobody waits for.

    Given a server stand-in with 1 slots
    When a request that takes an hour has started
    And the caller closes the connection
    Then another request to the stand-in gets status 200
    And the run log has "abort" because of "cancelled"

  Scenario: A request is not worked on after its deadline
    Guards against late work that nobody waits for.

    Given a server stand-in with 1 slots
    When a request with a deadline of 50 ms waits for its body
    Then the request to the stand-in gets status 504
    And the run log ends with "abort" because of "deadline"

  Scenario: An overloaded server sheds
    Guards against a stand-in that queues without end.

    Given a server stand-in with 1 slots
    When 4 requests wait for their bodies
    Then one of them is refused with "shed"

  Scenario Outline: Only a checking server refuses a lower term
    Guards against the two types of server being alike.

    Given a server stand-in with 1 slots and the option "<option>"
    When a request under a lower term is sent
    Then the request to the stand-in gets status <status>

    Examples:
      | option          | status |
      | --slots=1       | 409    |
      | --no-check-term | 200    |

  Scenario: Health can mislead
    Guards against a router that trusts health.

    Given a server stand-in with 1 slots
    When its health is set to 9 slots
    Then its health shows 9 slots
