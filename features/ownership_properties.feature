Feature: Ownership under random faults

  # Guards against two servers that hold the same range, against epochs that
  # go backwards, and against ranges that stay unserved after all faults ended.
  Scenario: Random faults of hosts, servers, network and table
    Then 300 random sequences of faults keep the invariants

  # Guards against regressions: each of these sequences has found a fault.
  Scenario Outline: Sequence <seed> of <faults> faults
    Then sequence <seed> of <faults> faults keeps the invariants

    Examples: Found before
      | seed | faults  |
      | 52   | session |
      | 60   | session |
      | 12   | session |
      | 29   | session |
      | 33   | session |
      | 206  | session |
      | 45   | all     |
      | 73   | all     |
      | 24   | all     |
      | 121  | all     |
      | 253  | all     |
      | 478  | all     |
      | 672  | all     |
      | 860  | all     |
      | 1293 | all     |
      | 1581 | all     |
      | 1823 | all     |
      | 1973 | all     |
      | 7423 | all     |
