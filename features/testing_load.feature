Feature: The load generator measures what a caller sees

  Scenario Outline: Zipf keys have their shares
    Guards against a load that is less skewed than configured.

    When 20000 ranks of Zipf(1.0) over <count> keys are drawn with seed 1
    Then rank 1 has a share within 0.01 of <share>
    And all ranks lie between 1 and <count>

    Examples:
      | count     | share  |
      | 1000      | 0.1336 |
      | 100000000 | 0.0526 |

  Scenario: Every rank of a Zipf distribution has its share
    Guards against a rejection sampler that never rejects candidates.

    When 100000 ranks of Zipf(1.0) over 5 keys are drawn with seed 1
    Then each of 5 ranks has its share within four standard deviations

  Scenario: The hottest keys change
    Guards against tests of changing hot keys in which no key changes.

    Then the 370 hottest of 100000000 keys differ after a shift by 1000000

  Scenario Outline: Arrivals follow the schedule
    Guards against a peak load that is never generated.

    When arrivals of "<rate>" over 20 s are drawn with seed 1
    Then about <first> arrive in the first half and <second> in the second

    Examples:
      | rate             | first | second |
      | constant:100     | 1000  | 1000   |
      | step:100:500:10  | 1000  | 5000   |
      | ramp:100:300:20  | 1500  | 2500   |

  Scenario: Request ids carry their time of issue
    Guards against ids that a coordinator rejects as too old.

    Then a request id of 1700000000123 ms is a UUIDv7 of that time

  Scenario: The load is open-loop
    Guards against coordinated omission: a generator that waits for responses
    leaves the requests it did not send out of the latencies.

    Given a fake host for 20 requests that answers once all have arrived
    When a load of 200 requests/s is sent until 20 have arrived
    Then all requests of the load got "ran"
    And the load counted latencies from the intended send time

  Scenario: A generator at its limit reports it
    Guards against a slow generator that is mistaken for a slow system.

    Given a fake host that never answers
    When a load of 1000 requests/s is sent with at most 1 open
    Then the load report says that the generator was the limit

  Scenario: An exception in the generator ends the run
    Guards against requests that are missing from the report.

    Given a fake host that answers "ran"
    When a load is sent whose records cannot be written
    Then the load ends with the error of the records

  Scenario: After a refused connection the next host is used
    Guards against failures that a load balancer in front of the hosts would
    have hidden from callers.

    Given a fake host that answers "ran"
    And a fake host that refuses connections
    When 4 single requests are sent
    Then all requests of the load got "ran"

  Scenario: A request without an available host is not lost
    Guards against counting requests that were never sent as unknown.

    Given a fake host that refuses connections
    When 1 single requests are sent
    Then all requests of the load got "not-sent"

  Scenario: A cut-off body is recorded as broken
    Guards against truncated responses that are recorded as complete.

    Given a fake host that cuts its bodies off
    When 1 single requests are sent
    Then all requests of the load got "unknown"
    And the records of the load show a "broken" body

  Scenario: A caller resends with the same id through another host
    Guards against resent requests that duplicate suppression cannot detect.

    Given a fake host that closes without an answer
    And a fake host that answers "ran"
    When 1 single requests are sent with 1 repeats
    Then the records of the load show one id at two hosts
    And all requests of the load got "ran"

  Scenario: Large bodies pass both ways
    Guards against an HTTP layer that loses bytes under backpressure.

    Given a fake host that echoes bodies
    When a body of 3000000 bytes is sent in chunks
    Then the same body comes back
