Feature: Key owners known to a host

  # Guards against a push that assigns a key to a wrong owner.
  Scenario: A push replaces exactly the ranges that it names
    Given key maps and pushes of random ranges
    Then after each push every key has the owner that was named last

  # Guards against quadratic work for each push. In a deployment of 200 servers
  # the granting host pushes each step of a change to all hosts, and each host
  # spent its CPU time on comparing all ranges with all changed ones.
  Scenario: The work of a push grows with the ranges and not their product
    Given a key map of 800 ranges
    When a push changes 400 of them
    Then fewer than 20 comparisons per range were made
