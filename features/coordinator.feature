Feature: Coordinator of one server

  Background:
    Given host h1 coordinates server a with range 3 at epoch 4, standby b

  # Guards against granting ranges to a server that resumes after a freeze,
  # when its standby may already hold them.
  Scenario: An expired lease is never renewed
    When server a does not answer h1 for 0.4 s and its lease expires
    And server a answers h1 for 0.5 s
    Then coordinator h1 is serving
    And h1 no longer grants range 3 below epoch 6
    And h1 reports range 3 at epoch 4 as an orphan

  # Guards against ranges that are no longer served after their coordinator
  # is lost.
  Scenario: A successor of the same assignment keeps the ranges
    When h2 takes over server a
    Then coordinator h2 is serving
    And coordinator h2 has range 3 active at epoch 4

  # Guards against two hosts sending work to the same server.
  Scenario: A host whose term is refused stands down
    When h2 takes over server a
    And server a answers h1 for 0.2 s
    Then coordinator h1 is waiting
    And h1 may not send work
    And h1 refuses its queued work

  # Guards against promoting a standby while the server still holds the range.
  Scenario: A loss is not declared before the lease has expired
    When server a does not answer h1 for 0.55 s
    Then coordinator h1 is lapsing
    And h1 has queried no successor
    And h1 has promoted no standby

  # Guards against a server declared lost by a host that a successor has
  # already replaced.
  Scenario: A loss needs the replies of all successors
    When server a does not answer h1 for 1.0 s
    And successor h2 replies that it has not fenced
    Then coordinator h1 is lapsing
    And h1 has promoted no standby
    When successor h3 replies that it has not fenced
    Then coordinator h1 is lost
    And h1 has promoted b for range 3 at epoch 5

  # Guards against a coordinator that was paused itself and declares the server
  # lost, although a successor has taken it over.
  Scenario: A coordinator returning from a pause promotes nobody after a fence
    When h2 takes over server a
    And h1 is paused for 5.0 s and then cannot reach server a
    And successor h3 replies that it has not fenced
    And successor h2 replies that it has fenced
    Then coordinator h1 is waiting
    And h1 has promoted no standby

  # Guards against declaring the server lost although a successor of an older
  # coordinator assignment has fenced it, if this fence is unknown to the
  # successors that are queried.
  Scenario: A successor that knows a newer assignment stops the declaration
    When server a does not answer h1 for 1.0 s
    And successor h2 replies that it knows base term 20
    Then coordinator h1 is waiting
    And h1 has promoted no standby

  # Guards against confirming a release by a response that was already in
  # flight, or by a host that no longer coordinates the server.
  Scenario: A release needs the answer to a request sent after it was requested
    Given a request of h1 to server a is in flight
    When h9 asks h1 to release range 6 below epoch 6
    And the request in flight is answered
    Then h1 has released nothing
    When the next request of h1 is answered
    Then h1 has released range 6 below epoch 6 to h9

  # Guards against confirming a release while work on the range still runs.
  Scenario: A release waits for the work on the range
    Given server a runs work on range 3
    When h9 asks h1 to release range 3 below epoch 6
    And server a answers h1 for 0.5 s
    Then h1 has released nothing
    When the work on range 3 ends at server a
    And server a answers h1 for 0.2 s
    Then h1 has released range 3 below epoch 6 to h9

  # Guards against confirming a release from stale state, after a successor
  # has taken over the restarted server and granted it further epochs.
  Scenario: A release for a lost server queries the successors again
    When server a does not answer h1 for 1.0 s
    And successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    And h9 asks h1 to release range 3 below epoch 8
    Then coordinator h1 is lost
    And h1 has released nothing
    When successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    Then h1 has released range 3 below epoch 8 to h9

  # Guards against the same fault when the successor reports its fence.
  Scenario: A range of a lost server that a successor fenced is not released
    When server a does not answer h1 for 1.0 s
    And successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    And h9 asks h1 to release range 3 below epoch 8
    And successor h3 replies that it has not fenced
    And successor h2 replies that it has fenced
    Then h1 has released nothing
    And coordinator h1 is waiting

  # Guards against granting a lower epoch after a release.
  Scenario: A released range is not granted again below its floor
    When h9 asks h1 to release range 3 below epoch 8
    And server a answers h1 for 0.2 s
    And the table gives range 3 to a at epoch 6 without previous servers
    And server a answers h1 for 0.2 s
    Then h1 no longer grants range 3 below epoch 8

  # Guards against a former owner promoting its standby after the standby has
  # released the range.
  Scenario: The former owner releases before its standby
    When the table gives range 5 to a at epoch 7, previously of b and c
    And c releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then h1 has requested only b to release range 5
    And coordinator h1 has range 5 not active
    When b releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 not active
    When c releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 active at epoch 7

  # Guards against a promotion addressed to a coordinator that has since been
  # replaced.
  Scenario Outline: A promotion counts under the present term only
    When the table gives range 5 to b at epoch 7 with standby a
    And h1 is asked under term <term> to promote range 5 at epoch 8
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 <result>

    Examples:
      | term | result            |
      | 9    | not active        |
      | 11   | not active        |
      | 10   | active at epoch 8 |

  # Guards against granting an epoch that a former coordinator has used and
  # lost.
  Scenario: Epochs of the baseline are announced as orphans
    Given host h1 coordinates server a with range 5 at epoch 7 in its baseline
    When server a answers h1 for 0.5 s
    Then h1 reports range 5 at epoch 7 as an orphan
    And h1 no longer grants range 5 below epoch 8
    When the table gives range 5 to a at epoch 9 without previous servers
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 active at epoch 9

  # Guards against waiting for the expiry of a lease that the new process does
  # not hold, and against granting it the epochs of the former process.
  Scenario: A restarted server has lost its ranges
    When server a restarts
    And server a answers h1 for 0.2 s
    Then h1 has promoted b for range 3 at epoch 5
    And coordinator h1 has range 3 not active
    And server a holds nothing

  # Guards against a superseded coordinator that the new process accepts and
  # that then grants an epoch which its successor has used and lost.
  Scenario: Epochs known before a restart are not granted afterwards
    When the table gives range 5 to a at epoch 7, previously of b and c
    And server a restarts
    And server a answers h1 for 0.2 s
    And host h1 reads its baseline again, with range 5 at epoch 7
    And b releases range 5 at epoch 7 to h1
    And c releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 not active
    And h1 no longer grants range 5 below epoch 8

  # Guards against a new process applying a renewal meant for the former one,
  # whose expiry lies far in the future on the clock of the new process.
  Scenario: A renewal for the former process grants the new one nothing
    When server a restarts with its clock set back
    And server a answers h1 for 0.5 s
    And host h1 reads its baseline again, with range 5 at epoch 7
    And the table gives range 5 to a at epoch 9 without previous servers
    And server a answers h1 for 0.5 s
    Then coordinator h1 has range 5 active at epoch 9
    When server a does not answer h1 for 1.0 s
    Then coordinator h1 is lapsing
    And server a holds nothing

  # Guards against a promotion by a coordinator of an older assignment, which
  # asks only the hosts of its own assignment whether they fenced the server.
  Scenario: A coordinator of another assignment revokes what the server holds
    When h4 of a newer coordinator assignment takes over server a without a hand-over
    Then coordinator h4 is serving
    And server a holds nothing

  # Guards against work on a revoked range that runs beyond the expiry computed
  # by the former coordinator, which does not ask this host.
  Scenario: A coordinator of another assignment extends no lease over running work
    Given server a runs work on range 3
    When h4 of a newer coordinator assignment takes over server a without a hand-over
    And server a answers h4 for 0.7 s
    Then server a holds nothing

  # Guards against a delayed hand-over by a host that has since been replaced
  # by others.
  Scenario: A hand-over under an old term keeps no ranges
    When h4 of a newer coordinator assignment takes over server a late by a hand-over
    Then coordinator h4 is serving
    And server a holds nothing

  # Guards against ranges not being served after a planned change of
  # coordinators.
  Scenario: A coordinator of another assignment keeps the ranges handed over
    When h4 of a newer coordinator assignment takes over server a by a hand-over
    Then coordinator h4 is serving
    And server a holds range 3 at epoch 4

  # Guards against a server declared lost after the hand-over target has fenced
  # it, because that host is in no coordinator assignment known here.
  Scenario: The hand-over target is queried about its fence
    When h1 hands server a over to h4
    And server a does not answer h1 for 1.0 s
    And successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    Then coordinator h1 is lapsing
    When successor h4 replies that it has fenced
    Then coordinator h1 is waiting
    And h1 has promoted no standby

  # Guards against a host that adopts a new coordinator assignment before the
  # server has accepted the new term and then queries only the successors of
  # the new assignment.
  Scenario: Successors of the assignment accepted last are queried after a new one
    When server a does not answer h1 for 0.3 s
    And h1 adopts a coordinator assignment of h4 and h1 at base term 20
    And server a does not answer h1 for 1.0 s
    Then h1 has queried h2, h3 under term 10
    When successor h2 replies that it has fenced
    Then coordinator h1 is waiting
    And h1 has promoted no standby

  # Guards against a host that continues with its own set of ranges although
  # another host coordinated the server under a term in between.
  Scenario: A term raised after another host has coordinated keeps no ranges
    When h2 takes over server a
    And h1 adopts a coordinator assignment of h4 and h1 at base term 20
    And server a answers h1 for 0.3 s
    Then coordinator h1 is serving
    And server a holds nothing

  # Guards against raising the term twice before the server has answered: the
  # first answer would hide a host that coordinated the server in between.
  Scenario: A term is raised only from one that the server accepted
    When server a does not answer h1 for 0.1 s
    And h1 adopts a coordinator assignment of h4 and h1 at base term 20
    And h1 adopts a coordinator assignment of h4 and h1 at base term 30
    Then h1 coordinates under term 21
    When server a answers h1 for 0.2 s
    Then h1 coordinates under term 31

  # Guards against a range that is neither announced nor given a new epoch
  # because its row was rewritten before the takeover.
  Scenario: A range held below the epoch of its row is an orphan
    When h2 takes over server a while the row of range 3 has epoch 6
    Then h2 reports range 3 at epoch 6 as an orphan

  # Guards against a hot key served by its new owner while the former owner
  # still serves it as part of its hash range.
  Scenario: A hot key is released together with its hash range
    When hot key 8 of range 3 is split out at epoch 1 and range 3 moves to epoch 6
    And h9 asks h1 to release range 8 below epoch 1
    Then h1 has released range 8 below epoch 1 to h9
    And server a holds no epoch below 6 of range 3

  # Guards against a release confirmed by a host that has not seen the split.
  Scenario: A hot key that is unknown is not released
    When h9 asks h1 to release range 8 below epoch 1
    And server a answers h1 for 0.5 s
    Then h1 has released nothing
