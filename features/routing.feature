Feature: Route tables agree whatever the order of messages

  Scenario: Merges commute
    Guards against hosts with different routes after the same messages arrived
    in another order, twice, or through a snapshot.
    Then 300 random sets of route messages merge to the same routes

  Scenario: Messages change the route of a key
    Guards against delayed announcements that restore a former owner or
    coordinator, against requests sent to an owner that is not active yet, and
    against requests of a hot key sent to the range it was split out of.

    The messages are "coordinator SERVER HOST TERM", "active RANGE EPOCH
    SERVER" and "assignment RANGE EPOCH OWNER", followed by the key hash if
    the range is a hot key.

    Then key hash 11 has these routes after each route message
      | message                  | range | epoch | server | host |
      | coordinator s2 h2 1      |       |       |        |      |
      | assignment 3 1 s1        | 3     | 1     | s1     |      |
      | coordinator s1 h1 1      | 3     | 1     | s1     | h1   |
      | active 3 2 s2            | 3     | 2     | s2     | h2   |
      | active 3 1 s1            | 3     | 2     | s2     | h2   |
      | assignment 3 4 s1        | 3     | 2     | s2     | h2   |
      | active 3 4 s1            | 3     | 4     | s1     | h1   |
      | coordinator s1 h3 2      | 3     | 4     | s1     | h3   |
      | coordinator s1 h1 1      | 3     | 4     | s1     | h3   |
      | assignment 8 1 s2 11     | 8     | 1     | s2     | h2   |
      | assignment 8 3 nobody 11 | 3     | 4     | s1     | h3   |
