Feature: The queue of a server admits what it can serve, in fair order

  Scenario Outline: Guards against <failure>
    A load lists caller, kind, rate, service time in ms (~ means exponentially
    distributed), time to the deadline in ms and, optionally, its start in s.

    Given a queue of <slots> slots with reservations <shares>
    And 20 requests of report take 900 ms each
    And 20 requests of read take 10 ms each
    When the queue runs for <seconds> s under <load>
    Then <result>
    And no admitted work timed out and at most <shed>% was shed

    Examples:
      | failure | slots | shares | seconds | load | result | shed |
      | congestion collapse | 6 | none | 5 | a read 3000/s 10~ 100 | 90% of the slot time went to answers in time | 2 |
      | congestion collapse | 6 | none | 5 | a read 1500/s 20~ 2000 | 90% of the slot time went to answers in time | 2 |
      | congestion collapse | 3 | none | 5 | a read 750/s 20~ 200 | 90% of the slot time went to answers in time | 2 |
      | permanent refusals because of an outdated estimate | 1 | none | 5 | a read 200/s 10 300; b report 20/s 20 500 | 50% of the requests of b were answered | 100 |
      | a caller that gets more by sending more | 6 | a=0.8 b=0.4 c=0.4 | 3 | a read 1000/s 10~ 500; b read 2000/s 10~ 500; d read 3000/s 10~ 500 | from 0 s to 3 s the shares were a=0.62 b=0.31 d=0.08 | 2 |
      | idle reserved slots | 6 | a=0.9 b=0.9 | 1 | b read 3000/s 10 1000 | from 0.2 s to 1 s the shares were b=1.0 | 2 |
      | an owner that waits for callers that use its idle share | 6 | a=0.9 b=0.9 | 2 | b read 3000/s 10 1000; a read 1000/s 10 200 1 | from 1 s to 1.3 s the shares were a=0.5 b=0.5 | 100 |
      | admitted work that waits too long after its share shrank | 6 | a=0.95 | 3 | b read 3000/s 10 1000; a read 2000/s 10 200 1 | from 1 s to 1.3 s the shares were a=0.9 b=0.1 | 100 |
      | refusals although the owner leaves slots unused | 6 | a=0.95 | 5 | a read 30/s 10~ 200; b read 510/s 10~ 200 | 98% of the requests of b were answered | 2 |
      | running work that is not charged | 2 | a=0.5 b=0.5 | 0.9 | b report 100/s 900 5000; b read 300/s 10 9000; a read 300/s 10 300 | from 0.2 s on a had 90% of the answers | 100 |
      | admission by a share that running work already uses | 2 | a=0.5 b=0.5 | 0.9 | b report 50/s 900 60000; b read 300/s 10 300 0.1; a read 300/s 10 300 0.1 | 30% of the requests of a were answered | 2 |
      | admission by a share that running work already uses | 2 | a=0.8 b=0.2 | 1.8 | b report 50/s 900 60000; b read 300/s 10 300 0.1; a read 300/s 10 300 0.1 | 30% of the requests of a were answered | 2 |

  Scenario: Guards against a caller shut out because one request hung
    Given a queue of 2 slots with reservations a=0.5 b=0.5
    And 20 requests of read take 10 ms each
    When 1 read of b are queued with 90000 ms
    And the newest running request ends after 60000 ms, 1 times
    And the queue runs for 2 s under b read 300/s 10 500; a read 900/s 10 500
    Then from 1 s to 2 s the shares were a=0.5 b=0.5

  Scenario: Guards against admission of work that cannot finish in time, and a wrong retry_after_s
    Given a queue of 1 slots with reservations none
    And 20 requests of read take 100 ms each
    When 3 read of a are queued with 2000 ms
    Then a read of a with 450 ms is refused
    And it is admitted after the announced delay

  Scenario Outline: Guards against an outdated estimate, or one distorted by a few requests
    Given a queue of 1 slots with reservations none
    And 20 requests of read take <before> ms each
    And <count> requests of read take <after> ms each
    Then read is expected to take <least> to <most> ms

    Examples:
      | before | after | count | least | most |
      | 10     | 200   | 8     | 140   | 260  |
      | 200    | 10    | 12    | 7     | 13   |
      | 10     | 20    | 16    | 14    | 26   |
      | 10     | 30000 | 2     | 5     | 20   |

  Scenario: Guards against work shed during a short pause, or admitted to a frozen server
    Given a queue of 6 slots with reservations none
    And 20 requests of read take 10 ms each
    When 80 read of a are queued with 1000 ms
    And 100 ms pass without an answer
    Then no waiting work is shed
    When 1000 ms pass without an answer
    Then a read of b with 500 ms is refused

  Scenario Outline: Guards against counting slots as usable that slow requests occupy
    Given a queue of <slots> slots with reservations none
    And 20 requests of read take 10 ms each
    When 40 read of a are queued with 60000 ms
    And the <which> running request ends after <ms> ms, <times> times
    Then a read of b with 1900 ms is admitted
    And a read of a with <ms_left> ms is refused

    Examples: Requests that hang, and a server that became slow
      | slots | which  | ms  | times | ms_left |
      | 6     | newest | 10  | 12    | 500     |
      | 1     | oldest | 200 | 6     | 9000    |

  Scenario Outline: Guards against short work blocked behind long work
    Given a queue of <slots> slots with reservations none
    When 9 long of a are queued with 60000 ms
    Then <held> requests run
    When 1 read of a are queued with 500 ms
    Then <all> requests run

    Examples:
      | slots | held | all |
      | 1     | 1    | 1   |
      | 2     | 1    | 2   |
      | 3     | 2    | 3   |
      | 6     | 4    | 5   |
      | 9     | 6    | 7   |

  Scenario Outline: Guards against long kinds that are not declared as long, and flapping between classes
    Given a queue of 3 slots with reservations none
    And 20 requests of read take 10 ms each
    And <first> requests of export take 100 ms each
    And <count> requests of export take <ms> ms each
    When 2 export of a are queued with 60000 ms
    And <pause> ms pass without an answer
    And 5 export of a are queued with 60000 ms
    Then <held> requests run

    Examples: Measured as long, shorter, short again, and classified while it runs
      | first | count | ms | pause | held |
      | 20    | 0     | 0  | 1     | 2    |
      | 20    | 40    | 60 | 1     | 2    |
      | 20    | 40    | 20 | 1     | 3    |
      | 0     | 0     | 0  | 500   | 2    |

  Scenario: Guards against memory that grows with caller names
    Given a queue of 6 slots with reservations none
    Then the work of 2000 callers is kept in at most 256 flows

  Scenario: Guards against work answered twice, or sent after it was removed
    Given a queue of 1 slots with reservations none
    When 4 read of a are queued with 1000 ms
    Then waiting work is cancelled, expired and drained once
