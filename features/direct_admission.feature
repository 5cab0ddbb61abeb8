Feature: Admission of requests by rank and by the time already spent

  45 hosts send to one service, each with its own view of the servers: the
  loads in the answers that it got itself. Times are in seconds. "Before" is
  the rule that knows only the target of a request's own route.

  # Guards against a less urgent route that bursts to 2.6 times its load at a
  # keyed service, and whose longer target lets it fill the queues in which
  # more urgent requests then are late.
  Scenario: A burst of a less urgent route at a keyed service
    Given 154 servers of 3 slots, keyed, that get for 13 s:
      | route   | rank | target | deadline | per_s | rate   | work  | spread | tail | repeats |
      | reading | 1    | 0.62   | 5.1      | 700   | steady | 0.241 | 0.3    | 0    | 0       |
      | order   | 2    | 1.52   | 6.1      | 360   | burst  | 0.311 | 0.8    | 0    | 0       |
    Then 5 more in 100 reading requests are in time than before
    And reading requests are refused no more often than order
    And data centres differ by at most 10 in 100

  # Guards against a rule of ranks that refuses where there is room.
  Scenario: A burst that the servers can bear refuses nearly nothing
    Given 154 servers of 3 slots, keyed, that get for 13 s:
      | route   | rank | target | deadline | per_s | rate   | work  | spread | tail | repeats |
      | reading | 1    | 0.62   | 5.1      | 523   | steady | 0.241 | 0.3    | 0    | 0       |
      | order   | 2    | 1.52   | 6.1      | 267   | burst  | 0.311 | 0.8    | 0    | 0       |
    Then at most 1 in 100 reading requests are refused
    And at most 1 in 100 order requests are refused

  # Guards against a less urgent route that is limited without competition.
  Scenario: A burst of the only route of a service
    Given 100 servers of 3 slots, keyed, that get for 13 s:
      | route | rank | target | deadline | per_s | rate  | work  | spread | tail | repeats |
      | order | 2    | 1.52   | 6.1      | 267   | burst | 0.311 | 0.8    | 0    | 0       |
    Then at most 1 in 100 order requests are refused

  # Guards against the same burst at a service without keys, whose queues all
  # routes share.
  Scenario: A burst of a less urgent route at a service without keys
    Given 35 servers of 3 slots, without keys, that get for 13 s:
      | route   | rank | target | deadline | per_s | rate   | work  | spread | tail | repeats |
      | history | 0    | 0.41   | 2.6      | 300   | steady | 0.096 | 0.3    | 0    | 0       |
      | change  | 1    | 0.61   | 3.1      | 300   | burst  | 0.17  | 0.3    | 0    | 0       |
    Then 20 more in 100 history requests are in time than before
    And 10 more in 100 change requests are in time than before
    And history requests are refused no more often than change
    And data centres differ by at most 10 in 100

  # Guards against queues in which nearly all requests are late at the crest of
  # a wave, and against refusals of all hosts together that swing.
  Scenario: A wave of demand that exceeds the room
    Given 39 servers of 2 slots, without keys, that get for 13 s:
      | route  | rank | target | deadline | per_s | rate | work | spread | tail | repeats |
      | lookup | 1    | 0.4    | 2.5      | 440   | wave | 0.12 | 0.3    | 0.03 | 0       |
    Then 15 more in 100 lookup requests are in time than before
    And at least 40 in 100 are in time in each 3 seconds
    And data centres differ by at most 10 in 100

  # Guards against refusals while the crest of a wave fits.
  Scenario: A wave of demand that fits
    Given 39 servers of 2 slots, without keys, that get for 13 s:
      | route  | rank | target | deadline | per_s | rate | work | spread | tail | repeats |
      | lookup | 1    | 0.4    | 2.5      | 246   | wave | 0.12 | 0.3    | 0.03 | 0       |
    Then at most 1 in 100 lookup requests are refused

  # Guards against new callers that are taken for returning ones.
  Scenario: The time that a caller has spent is known from its deadline
    When callers wait 2.5, 2.3, 1.6 seconds from their attempts
    Then a caller that waits 2.5 seconds has spent 0
    And a caller that waits 2.0 seconds has spent 0.5

  # Guards against callers with short deadlines of their own that are refused
  # as if they had been waiting for long.
  Scenario: Callers choose their own deadlines
    When callers wait 9, 2, 1, 5, 4, 3, 2.5 seconds from their attempts
    Then a caller that waits 2 seconds has spent 0

  # Guards against a line of the log for each refusal.
  Scenario: Refusals of a service at its limit are one period
    When requests are refused at these seconds, others not: 1 4 4.5 5 7 8 9.5
    Then refusals begin at second 5 and end at second 13

  # Guards against a less urgent route that takes the room of a more urgent one
  # at a hot key, since its own target allows more requests there.
  Scenario: A hot key of routes of two ranks
    Then a less urgent route may have no more requests for a hot key
