Feature: The server stand-in observes its lease and logs its runs

  Scenario: A delayed renewal does not extend the lease
    Guards against a server that accepts buffered renewals after a pause.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When a grant under term 5 with an old seq until 900 ms arrives
    Then the grant is refused
    And at 700 ms the lease holds nothing

  Scenario: A fenced coordinator is refused
    Guards against a paused coordinator that resumes with an old term.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When a grant under term 6 until 800 ms arrives
    And a grant under term 5 until 2000 ms arrives
    Then the grant is refused
    And at 700 ms the lease holds range "1" at epoch 3
    And at 900 ms the lease holds nothing

  Scenario: A grant never shortens the lease
    Guards against shortening a lease on whose expiry a coordinator relies.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When a grant under term 6 until 0 ms arrives
    Then at 500 ms the lease holds range "1" at epoch 3

  Scenario Outline: An expired range returns only under a higher epoch
    Guards against a renewal that revives an expired lease.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When at 700 ms range "1" is granted at epoch <epoch> until 1300 ms
    Then at 800 ms the lease holds <held>

    Examples:
      | epoch | held                   |
      | 3     | nothing                |
      | 4     | range "1" at epoch 4   |

  Scenario: An expired grant adds no range
    Guards against a grant that arrives after its own expiry.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When at 700 ms range "1" is granted at epoch 4 until 650 ms
    Then at 700 ms the lease holds nothing

  Scenario: A revoked range is held until its work ends
    Guards against a release that is acknowledged while work is still running.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When work on range "1" begins
    And range "1" is revoked
    Then at 500 ms the lease holds range "1" at epoch 3
    And at 500 ms work on range "1" at epoch 3 is refused
    And at 500 ms the work may commit
    When the work ends
    Then at 500 ms the lease holds nothing

  Scenario: Work does not commit after its lease has expired
    Guards against a commit under a lease that expired and was granted again.

    Given a server lease under term 5 until 600 ms with range "1" at epoch 3
    When work on range "1" begins
    And at 700 ms range "1" is granted at epoch 4 until 1300 ms
    Then at 800 ms the work may not commit

  Scenario: A server that was paused past its lease does not commit
    Guards against a paused server that still acts as the owner.

    Given a server stand-in with 1 slots
    When a request under a lease of 2 s has started and waits for its body
    And the server is paused until the lease has expired
    And the body of the request is sent
    Then the request to the stand-in gets status 500
    And the run log ends with "abort" because of "lease-lapsed"

  Scenario: A killed server leaves its log
    Guards against a checker that misses runs started before a kill.

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

  Scenario: A caller that disconnects releases its slot
    Guards against slots that stay occupied by cancelled work.

    Given a server stand-in with 1 slots
    When a request has started and waits for its body
    And the caller closes the connection
    Then another request to the stand-in gets status 200
    And the run log has "abort" because of "cancelled"

  Scenario: Work of a caller that has disconnected is cancelled
    Guards against slots that stay occupied for the whole service time although
    nobody waits for the response.

    Given a server stand-in with 1 slots
    When a request that takes an hour has started
    And the caller closes the connection
    Then another request to the stand-in gets status 200
    And the run log has "abort" because of "cancelled"

  Scenario: A request is aborted at its deadline
    Guards against work whose caller has already given up.

    Given a server stand-in with 1 slots
    When a request with a deadline of 50 ms waits for its body
    Then the request to the stand-in gets status 504
    And the run log ends with "abort" because of "deadline"

  Scenario: An overloaded server sheds load
    Guards against a stand-in with an unbounded queue.

    Given a server stand-in with 1 slots
    When 4 requests wait for their bodies
    Then one of them is refused with "shed"

  Scenario Outline: Only a server that checks terms refuses a lower term
    Guards against a stand-in that behaves alike with and without the check.

    Given a server stand-in with 1 slots and the option "<option>"
    When a request under a lower term is sent
    Then the request to the stand-in gets status <status>

    Examples:
      | option          | status |
      | --slots=1       | 409    |
      | --no-check-term | 200    |

  Scenario: Health can be falsified
    Guards against health that is always correct, with which a router that
    trusts health blindly passes the tests.

    Given a server stand-in with 1 slots
    When its health is set to 9 slots
    Then its health shows 9 slots
