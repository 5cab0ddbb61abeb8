Feature: Bounds of a lease

  # Guards against a renewal that is buffered on its way and outlives the
  # time for which the coordinator waits.
  Scenario: A renewal delayed by 0.35 s does not outlive its bound
    Given a lease timer that read the clock at 1.0 s and at 1.1 s
    When a renewal leaves at 1.2 s and arrives at 1.55 s unanswered
    Then the server's lease expires no later than lapsed_at

  # Guards against work that runs on after the lease it was sent under.
  Scenario: Work stops before the lease expires however slow the answers are
    Given a lease timer that read the clock at 1.0 s and at 1.1 s
    When a renewal leaves at 1.2 s and its answer takes 0.3 s
    Then work is sent no later than the lease of the server expires

  # Guards against a loss declared while the last renewal of the former
  # coordinator still holds.
  Scenario: The answer to a fence bounds the lease of the predecessor
    Given a lease timer that read the clock at 1.0 s only
    Then lapsed_at is 1.65 s and no work may be sent

  # Guards against asking a new process for an expiry on the clock of the
  # one that ended.
  Scenario: A restart forgets the clock
    Given a lease timer that read the clock at 1.0 s and at 1.1 s
    When the lease timer forgets the clock
    Then the next renewal extends nothing
