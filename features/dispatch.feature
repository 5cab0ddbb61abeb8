Feature: A coordinator tells truthfully what became of a request

  Guards against a request that is reported as not run although the server may
  have run it, that is sent twice, or that gets no answer.

  Scenario Outline: The outcome follows from how the server fails
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server <failure>
    And the wait for a crash report passes
    Then the job is refused as <outcome> because of <reason>
    And the dispatcher is idle

    Examples:
      | failure                     | outcome | reason      |
      | cannot be connected to      | not-run | unreachable |
      | breaks the connection       | unknown | server-lost |
      | breaks off its answer       | unknown | server-lost |
      | is silent past the deadline | unknown | deadline    |
      | refuses with shed           | not-run | shed        |
      | refuses with stale-term     | not-run | stale-route |
      | refuses with range-not-held | not-run | stale-route |

  Scenario: A broken connection is not reported before a crash can be known
    Guards against a retry that crashes the next server before the request is
    a suspect.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server breaks the connection
    Then the job has no answer yet
    When the dispatcher learns of a crash
    Then the job is refused as unknown because of server-lost

  Scenario: A job without a free connection is not run
    Given a dispatcher with 1 slot
    And the dispatcher has no connections left
    When a job arrives for range 1
    Then the job is refused as not-run because of overloaded

  Scenario: Nothing is sent without permission to send work
    Guards against work on a server whose lease may have lapsed.
    Given a dispatcher with 1 slot
    And the dispatcher may not send work
    When a job arrives for range 1
    And the job's deadline passes
    Then the job is refused as not-run because of deadline
    And the dispatcher has sent 0 requests

  Scenario: A range that is not held here is refused at once
    Given a dispatcher with 1 slot
    When a job arrives for range 7
    Then the job is refused as not-run because of stale-route
    And the dispatcher has sent 0 requests

  Scenario: Waiting jobs are refused when the coordinator stands down
    Given a dispatcher with 1 slot
    When 3 jobs arrive for range 1
    And the dispatcher gives up
    Then 2 jobs are refused as not-run because of stale-route
    And the dispatcher has sent 1 request

  Scenario: A thousand jobs that wait for a range that moves are all answered
    Guards against a recursion through the start of the next job, which left
    callers without an answer.
    Given a dispatcher with 1 slot
    When 1000 patient jobs arrive for range 1
    And range 1 moves away from the dispatcher
    And the first job ends
    Then 999 jobs are refused as not-run because of stale-route
    And the dispatcher is idle

  Scenario: A job that waits is cancelled without being sent
    Given a dispatcher with 1 slot
    When 2 jobs arrive for range 1
    And the last job is cancelled
    And the first job ends
    Then the dispatcher has sent 1 request
    And the dispatcher is idle

  Scenario: A job that runs is cancelled by closing its connection
    Guards against the answer to one request being read as that to the next.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the last job is cancelled
    Then the job's connection is aborted
    And the job ended as unknown for its observer

  Scenario: A server that sends too fast is paused at the credit window
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server sends 262144 bytes of its answer
    Then the job's connection is paused
    When the job is granted 65536 bytes
    Then the job's connection is read

  Scenario: The end comes with the last bytes of a declared length
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server answers with 10 declared bytes in 2 parts
    Then the job's sink gets 2 chunks, the last with 5 bytes

  Scenario: An answer without its end is never passed on as complete
    Guards against a truncated answer that looks whole.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server answers with 10 declared bytes but no end
    And the wait for a crash report passes
    Then the job is refused as unknown because of server-lost

  Scenario: The deadline of a long kind is for the answer to begin
    Given a dispatcher with 1 slot
    When a long job arrives for range 1
    And the job's server sends 100 bytes of its answer
    And the job's deadline passes
    Then the job has no refusal

  Scenario: A caller cannot set the headers of the router
    Guards against work under a term that the coordinator does not hold.
    Given a dispatcher with 1 slot
    When a job arrives for range 1 with the header radishferry-term
    Then the request at the server has term 3, range 1 and epoch 5

  Scenario: Waiting long work that proves longer does not refuse short work
    Guards against short requests that are given up at once because the
    estimate of long ones grew.
    Given a dispatcher with 3 slots
    When a job arrives for range 1
    And the job in connection 0 takes 0.01 seconds
    And 4 long jobs arrive for range 1
    And the job in connection 1 takes 3 seconds
    And 3 jobs arrive for range 1
    And 0.05 seconds pass at the dispatcher
    Then 0 jobs are refused as not-run because of overloaded

  Scenario: Work given up before its deadline is not called late
    Guards against callers that take an overload for their own deadline.
    Given a dispatcher with 1 slot
    When 10 jobs with 1 second arrive for range 1
    And the job in connection 0 takes 0.4 seconds
    And 0.05 seconds pass at the dispatcher
    Then every refused job was told overloaded before its deadline

  Scenario Outline: A crash that is learned late names what was in flight
    Guards against a request that crashes every server, because each crash is
    learned only when the server has been started again.
    Given a dispatcher with 1 slot
    And the dispatcher follows crashes
    When a job arrives for range 1
    And the job's server breaks the connection
    And <seconds> seconds pass at the dispatcher
    And the dispatcher learns of a crash
    Then 1 request is a suspect

    Examples:
      | seconds |
      | 0.01    |
      | 1       |
