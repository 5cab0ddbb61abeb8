Feature: Coordinator of one server

  Background:
    Given host h1 coordinates server a with range 3 at epoch 4, standby b

  # Guards against a server that returns from a freeze being granted ranges
  # that its standby may hold by now.
  Scenario: A lapsed lease is never renewed
    When server a is silent to h1 for 0.4 s and lapses
    And server a answers h1 for 0.5 s
    Then coordinator h1 is serving
    And h1 grants range 3 no more below epoch 6
    And h1 reports range 3 at epoch 4 as an orphan

  # Guards against ranges that stop being served when a host is lost.
  Scenario: A successor of the same list keeps the ranges
    When h2 takes server a over
    Then coordinator h2 is serving
    And coordinator h2 has range 3 active at epoch 4

  # Guards against two hosts that both send work to a server.
  Scenario: A host whose term is refused stands down
    When h2 takes server a over
    And server a answers h1 for 0.2 s
    Then coordinator h1 is waiting
    And h1 may not send work
    And h1 gave its work up

  # Guards against a standby promoted while the server holds the range.
  Scenario: A loss is not declared before the lease has lapsed
    When server a is silent to h1 for 0.55 s
    Then coordinator h1 is lapsing
    And h1 has asked no successor
    And h1 has promoted nobody

  # Guards against a loss declared by a host that a successor has replaced.
  Scenario: A loss needs the replies of all successors
    When server a is silent to h1 for 1.0 s
    And successor h2 replies that it has not fenced
    Then coordinator h1 is lapsing
    And h1 has promoted nobody
    When successor h3 replies that it has not fenced
    Then coordinator h1 is lost
    And h1 has promoted b for range 3 at epoch 5

  # Guards against a paused coordinator that takes its own silence for the
  # loss of a server that a successor keeps.
  Scenario: A coordinator returning from a pause promotes nobody after a fence
    When h2 takes server a over
    And h1 is paused for 5.0 s and then cut from server a
    And successor h3 replies that it has not fenced
    And successor h2 replies that it has fenced
    Then coordinator h1 is waiting
    And h1 has promoted nobody

  # Guards against a successor of an older list whose fence is unknown to the
  # successors asked.
  Scenario: A successor that knows a newer list stops the declaration
    When server a is silent to h1 for 1.0 s
    And successor h2 replies that it knows base term 20
    Then coordinator h1 is waiting
    And h1 has promoted nobody

  # Guards against a release by an answer that was under way, or by a host
  # that no longer acts.
  Scenario: A release needs the answer to a request sent after it was asked
    Given a request of h1 is under way to server a
    When h9 asks h1 to release range 6 below epoch 6
    And the request under way is answered
    Then h1 has released nothing
    When the next request of h1 is answered
    Then h1 has released range 6 below epoch 6 to h9

  # Guards against a release while work on the range still runs.
  Scenario: A release waits for the work on the range
    Given server a runs work on range 3
    When h9 asks h1 to release range 3 below epoch 6
    And server a answers h1 for 0.5 s
    Then h1 has released nothing
    When the work on range 3 ends at server a
    And server a answers h1 for 0.2 s
    Then h1 has released range 3 below epoch 6 to h9

  # Guards against a release on old knowledge, after a successor has taken the
  # restarted server over and granted it further epochs.
  Scenario: A release for a lost server asks the successors again
    When server a is silent to h1 for 1.0 s
    And successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    And h9 asks h1 to release range 3 below epoch 8
    Then coordinator h1 is lost
    And h1 has released nothing
    When successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    Then h1 has released range 3 below epoch 8 to h9

  # Guards against the same, told by the successor.
  Scenario: A lost server that a successor fenced is not released
    When server a is silent to h1 for 1.0 s
    And successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    And h9 asks h1 to release range 3 below epoch 8
    And successor h3 replies that it has not fenced
    And successor h2 replies that it has fenced
    Then h1 has released nothing
    And coordinator h1 is waiting

  # Guards against a grant of a lower epoch after a release.
  Scenario: A released range is not granted again below its floor
    When h9 asks h1 to release range 3 below epoch 8
    And server a answers h1 for 0.2 s
    And the table gives range 3 to a at epoch 6 without previous servers
    And server a answers h1 for 0.2 s
    Then h1 grants range 3 no more below epoch 8

  # Guards against a standby that is promoted by the former owner after it
  # has released the range.
  Scenario: The former owner releases before its standby
    When the table gives range 5 to a at epoch 7, previously of b and c
    And c releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then h1 has asked only b to release range 5
    And coordinator h1 has range 5 not active
    When b releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 not active
    When c releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 active at epoch 7

  # Guards against a promotion sent to a coordinator that was replaced since.
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

  # Guards against a grant of an epoch that a former coordinator has used
  # and lost.
  Scenario: Epochs of the baseline are announced as orphans
    Given host h1 coordinates server a with range 5 at epoch 7 in its baseline
    When server a answers h1 for 0.5 s
    Then h1 reports range 5 at epoch 7 as an orphan
    And h1 grants range 5 no more below epoch 8
    When the table gives range 5 to a at epoch 9 without previous servers
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 active at epoch 9

  # Guards against waiting for a lease that a new process cannot hold, and
  # against granting it the epochs of the former process.
  Scenario: A restarted server has lost its ranges
    When server a restarts
    And server a answers h1 for 0.2 s
    Then h1 has promoted b for range 3 at epoch 5
    And coordinator h1 has range 3 not active
    And server a holds nothing

  # Guards against a superseded coordinator that is accepted by a new process
  # and grants an epoch that its successor has used and lost.
  Scenario: Epochs known before a restart are not granted afterwards
    When the table gives range 5 to a at epoch 7, previously of b and c
    And server a restarts
    And server a answers h1 for 0.2 s
    And host h1 reads its baseline again, with range 5 at epoch 7
    And b releases range 5 at epoch 7 to h1
    And c releases range 5 at epoch 7 to h1
    And server a answers h1 for 0.2 s
    Then coordinator h1 has range 5 not active
    And h1 grants range 5 no more below epoch 8

  # Guards against a new process that takes the renewal meant for the former
  # one, with an expiry far ahead on its own clock.
  Scenario: A renewal for the former process grants the new one nothing
    When server a restarts with its clock set back
    And server a answers h1 for 0.5 s
    And host h1 reads its baseline again, with range 5 at epoch 7
    And the table gives range 5 to a at epoch 9 without previous servers
    And server a answers h1 for 0.5 s
    Then coordinator h1 has range 5 active at epoch 9
    When server a is silent to h1 for 1.0 s
    Then coordinator h1 is lapsing
    And server a holds nothing

  # Guards against a promotion by a coordinator of an older list that asks
  # other hosts for their fences.
  Scenario: A coordinator of another list revokes what the server holds
    When h4 of a newer list takes server a over without a hand-over
    Then coordinator h4 is serving
    And server a holds nothing

  # Guards against work on a revoked range that outlives the bound of a
  # coordinator which does not ask this host.
  Scenario: A coordinator of another list extends no lease over running work
    Given server a runs work on range 3
    When h4 of a newer list takes server a over without a hand-over
    And server a answers h4 for 0.7 s
    Then server a holds nothing

  # Guards against a late hand-over, of a host that others have followed.
  Scenario: A hand-over under an old term keeps no ranges
    When h4 of a newer list takes server a over late by a hand-over
    Then coordinator h4 is serving
    And server a holds nothing

  # Guards against ranges unserved by a planned change of coordinators.
  Scenario: A coordinator of another list keeps the ranges handed over
    When h4 of a newer list takes server a over by a hand-over
    Then coordinator h4 is serving
    And server a holds range 3 at epoch 4

  # Guards against a loss declared after the host asked to take over has
  # fenced, because that host is in no list known here.
  Scenario: The host asked to take over is asked about its fence
    When h1 hands server a over to h4
    And server a is silent to h1 for 1.0 s
    And successor h2 replies that it has not fenced
    And successor h3 replies that it has not fenced
    Then coordinator h1 is lapsing
    When successor h4 replies that it has fenced
    Then coordinator h1 is waiting
    And h1 has promoted nobody

  # Guards against a list adopted without an answer of the server: the host
  # asked the successors of the new list only, under its new term.
  Scenario: Successors of the list accepted last are asked after a new list
    When server a is silent to h1 for 0.3 s
    And h1 adopts a list of h4 and h1 at base term 20
    And server a is silent to h1 for 1.0 s
    Then h1 has asked h2, h3 under term 10
    When successor h2 replies that it has fenced
    Then coordinator h1 is waiting
    And h1 has promoted nobody

  # Guards against a host that goes on with its own set of ranges although
  # another one has acted under a term in between.
  Scenario: A raised term that follows another host's starts anew
    When h2 takes server a over
    And h1 adopts a list of h4 and h1 at base term 20
    And server a answers h1 for 0.3 s
    Then coordinator h1 is serving
    And server a holds nothing

  # Guards against a term raised twice before the server has answered: the
  # first answer under it would hide a host that acted in between.
  Scenario: A term is raised only from one that the server accepted
    When server a is silent to h1 for 0.1 s
    And h1 adopts a list of h4 and h1 at base term 20
    And h1 adopts a list of h4 and h1 at base term 30
    Then h1 acts under term 21
    When server a answers h1 for 0.2 s
    Then h1 acts under term 31

  # Guards against a range that is neither announced nor given a new epoch,
  # because the row was rewritten before the takeover.
  Scenario: A range held below the epoch of its row is an orphan
    When h2 takes server a over while the row of range 3 has epoch 6
    Then h2 reports range 3 at epoch 6 as an orphan

  # Guards against a hot key served at its new owner while the former owner
  # still serves it as part of its hash range.
  Scenario: A hot key is released together with its hash range
    When hot key 8 of range 3 is split out at epoch 1 and range 3 moves to epoch 6
    And h9 asks h1 to release range 8 below epoch 1
    Then h1 has released range 8 below epoch 1 to h9
    And server a holds no epoch below 6 of range 3

  # Guards against a release by a host that does not know of the split.
  Scenario: A hot key that is unknown is not released
    When h9 asks h1 to release range 8 below epoch 1
    And server a answers h1 for 0.5 s
    Then h1 has released nothing
