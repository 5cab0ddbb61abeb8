Feature: Bounds of a lease

  # Guards against a renewal that is buffered in the network and extends the
  # lease beyond the time for which the coordinator waits.
  Scenario: A renewal delayed by 0.35 s does not outlive its bound
    Given a lease timer that read the clock at 1.0 s and at 1.1 s
    When a renewal is sent at 1.2 s and arrives at 1.55 s unanswered
    Then the server's lease expires no later than its upper bound

  # Guards against work that still runs after the lease under which it was
  # sent has expired.
  Scenario: Work stops before the lease expires however slow the answers are
    Given a lease timer that read the clock at 1.0 s and at 1.1 s
    When a renewal is sent at 1.2 s and its response takes 0.3 s
    Then work is sent no later than the lease of the server expires

  # Guards against a server declared lost while the lease that the former
  # coordinator renewed last has not expired.
  Scenario: The answer to a fence bounds the lease of the former coordinator
    Given a lease timer that read the clock at 1.0 s only
    Then the upper bound of the expiry is 1.65 s and no work may be sent

  # Guards against requesting an expiry from a new server process on the clock
  # of the process that ended.
  Scenario: A restart forgets the clock
    Given a lease timer that read the clock at 1.0 s and at 1.1 s
    When the lease timer forgets the clock
    Then the next renewal does not extend the lease
