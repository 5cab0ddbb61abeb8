Feature: Soak tests of the real programs under random faults

  # Guards against a failed run that its seed does not reproduce.
  Scenario: A seed always generates the same faults and a fault-free end
    When the faults of seeds 1 to 50 are generated for 40 seconds
    Then each seed generates the same faults again
    And no fault is active in the last 14 seconds of a run
    And every kind of fault is generated

  # Guards against checks that never fail: each violation is recorded in a run
  # without faults and must be found.
  Scenario Outline: A soak test finds <what>
    Given a run of a soak test without faults
    Then the checks find nothing
    When <what> is seen
    Then a violation of "<guarantee>" is found

    Examples:
      | what                                   | guarantee           |
      | a payment that ran twice               | at most once        |
      | a refused payment that had run         | refusal without run |
      | the answer of another request          | matching answer     |
      | a success that no server ran           | matching answer     |
      | a valid request that is answered 404   | valid requests      |
      | a second holder of a key               | one owner           |
      | work at a server that has left         | drained server      |
      | many requests at a server with a limit | server limit        |
      | a request cut off by a planned stop    | planned stop        |
      | a stop that exceeds its grace period   | planned stop        |
      | an older configuration                 | configuration       |
      | a late configuration                   | configuration       |
      | a host of 200 MB                       | resource limits     |
      | an unexpected error in a log           | errors              |
      | a service that does not recover        | recovery            |

  # Checks the guarantees in one short run; other seeds are run by hand.
  Scenario: A short soak test violates no guarantee
    When a soak test of 26 seconds is run with seed 4
    Then the soak test has no findings
