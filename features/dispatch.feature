Feature: A coordinator reports the true outcome of a request

  Guards against a request that is reported as not run although the server may
  have run it, that is sent twice, or that is never answered.

  Scenario Outline: The outcome follows from how the server fails
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server <failure>
    And the time to detect a crash passes
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

  # Guards against a second copy of a refusal on a kept connection: it has no
  # id, so the next request would be reported as not run although it runs.
  Scenario: A connection that carried a refusal is closed
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server refuses with shed
    Then the job is refused as not-run because of shed
    And its connection is closed

  Scenario: A broken connection is not reported before a crash can be detected
    Guards against a retry that crashes the next server, because the request
    is not yet a suspect.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server breaks the connection
    Then the job has no answer yet
    When the dispatcher detects a crash
    Then the job is refused as unknown because of server-lost

  Scenario: A job without a free connection is not run
    Given a dispatcher with 1 slot
    And the dispatcher has no connections left
    When a job arrives for range 1
    Then the job is refused as not-run because of overloaded

  Scenario: Nothing is sent without permission to send work
    Guards against work on a server whose lease may have expired.
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
    And the dispatcher's coordinator stands down
    Then 2 jobs are refused as not-run because of stale-route
    And the dispatcher has sent 1 request

  Scenario: A thousand jobs queued for a range that moves are all answered
    Guards against recursion: each refused job starts the next one, which
    exceeded the recursion limit and left callers without an answer.
    Given a dispatcher with 1 slot
    When 1000 jobs with a deadline of 1 hour arrive for range 1
    And range 1 moves away from the dispatcher
    And the first job ends
    Then 999 jobs are refused as not-run because of stale-route
    And the dispatcher is idle

  Scenario: A queued job is cancelled without being sent
    Given a dispatcher with 1 slot
    When 2 jobs arrive for range 1
    And the last job is cancelled
    And the first job ends
    Then the dispatcher has sent 1 request
    And the dispatcher is idle

  Scenario: A running job is cancelled by closing its connection
    Guards against an answer that is taken for that to the next request on the
    same connection.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the last job is cancelled
    Then the job's connection is aborted
    And the job ended as unknown for its observer

  Scenario: A server that sends too fast is paused at the credit window
    Guards against an answer that accumulates in memory because the server
    sends it faster than the caller reads it.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server sends 262144 bytes of its answer
    Then the job's connection is paused
    When the job is granted 65536 bytes
    Then the job's connection is not paused

  Scenario: The end is sent with the last bytes of a declared length
    Guards against a separate empty chunk for the end, which would add
    a message between hosts to each answer.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server answers with 10 declared bytes in 2 parts
    Then the job's sink gets 2 chunks, the last with 5 bytes

  Scenario: A truncated answer is never forwarded as complete
    Guards against a caller that takes a truncated answer for a complete one.
    Given a dispatcher with 1 slot
    When a job arrives for range 1
    And the job's server answers with 10 declared bytes but no end
    And the time to detect a crash passes
    Then the job is refused as unknown because of server-lost

  Scenario: The deadline of a long kind applies to the start of its answer
    Guards against a long answer that is aborted at the deadline although it
    began in time.
    Given a dispatcher with 1 slot
    When a long job arrives for range 1
    And the job's server sends 100 bytes of its answer
    And the job's deadline passes
    Then the job has no refusal

  Scenario: A caller cannot set headers that are reserved to the router
    Guards against work under a term that the coordinator does not hold.
    Given a dispatcher with 1 slot
    When a job arrives for range 1 with the header radishferry-term
    Then the request at the server has term 3, range 1 and epoch 5

  Scenario: Queued long work that runs longer does not refuse short work
    Guards against short requests that are refused at once because the
    estimated duration of long requests has grown.
    Given a dispatcher with 3 slots
    When a job arrives for range 1
    And the job on connection 0 takes 0.01 seconds
    And 4 long jobs arrive for range 1
    And the job on connection 1 takes 3 seconds
    And 3 jobs arrive for range 1
    And 0.05 seconds pass at the dispatcher
    Then 0 jobs are refused as not-run because of overloaded

  Scenario: Work refused before its deadline is reported as overloaded
    Guards against an overload that is reported to callers as a passed
    deadline.
    Given a dispatcher with 1 slot
    When 10 jobs with a deadline of 1 second arrive for range 1
    And the job on connection 0 takes 0.4 seconds
    And 0.05 seconds pass at the dispatcher
    Then every refused job was reported as overloaded before its deadline

  Scenario Outline: A crash that is detected late blames the requests in flight
    Guards against a request that crashes every server, because each crash is
    detected only after the server has restarted.
    Given a dispatcher with 1 slot
    And the dispatcher records crashes
    When a job arrives for range 1
    And the job's server breaks the connection
    And <seconds> seconds pass at the dispatcher
    And the dispatcher detects a crash
    Then 1 request is a suspect

    Examples:
      | seconds |
      | 0.01    |
      | 1       |

  # Guards against jobs that are never sent or refused, since the work that is
  # started with them includes a job that has ended meanwhile.
  Scenario: A job that ends before its turn does not stop the others
    Given a dispatcher with 3 slots
    And the dispatcher may not send work
    When 3 jobs arrive for range 1
    And the dispatcher may send work, and the first job ends the second
    Then 3 jobs have ended
    And the dispatcher is idle
