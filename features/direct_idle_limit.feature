Feature: Reuse of idle connections to servers

  # Covers servers that drop connections after 0.3 idle seconds without closing
  # them, so that the next request on them is reset. A payment that is lost
  # that way can only be answered as one that may have run.
  Scenario: Payments avoid connections as old as those that were lost
    Given connections to servers that are dropped after 0.3 idle seconds
    When lookups and payments come 0.05 to 3 seconds apart for 20 seconds
    Then at most 2 payments are lost
    And at most 6 lookups are lost

  # Guards against a limit that stays lowered, so that connections are not
  # reused any more.
  Scenario: The usual limit returns after the fault
    Given a connection that was lost after 1 idle second
    When 7 seconds pass without a loss
    Then connections of 2 idle seconds are reused for payments

  # Guards against lowering the limit because a server crashed while it ran a
  # request, which says nothing about idle connections.
  Scenario: A reset long after the send does not lower the limit
    Given a connection of 1 idle second that broke 0.3 seconds after a send
    Then connections of 2 idle seconds are reused for payments
