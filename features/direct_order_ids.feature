Feature: Answers to orders are matched by their ids

  Background:
    Given a client for the orders to a server

  # Guards against two holders of a key: a late second copy of the answer to a
  # grant, or to another release, counted as the answer to a release, and the
  # keys were granted to the next owner while the former one was at work.
  Scenario Outline: A second copy of an earlier answer is not that to a release
    Given a <former> that was answered
    When a release is sent
    And a second copy of the earlier answer arrives
    Then the outcome of the release is unknown
    And the connection is closed, but not as one that the server has lost

    Examples:
      | former  |
      | grant   |
      | release |

  # Guards against orders that fail beside the check.
  Scenario: Each order has an id of its own, and its answer counts
    Given a grant that was answered
    When a release is sent
    And its answer arrives
    Then the release is done
    And the connection is used again
    And all orders had different ids

  # Guards against the same at servers that repeat no ids of orders: an answer
  # without one can be told from a late copy on a new connection only.
  Scenario: A release to a server that repeats no ids has its own connection
    Given a grant that was answered without an id
    When a release is sent
    Then it is sent on a new connection
    When an answer without an id arrives
    Then the release is done
    And the connection is closed, but not as one that the server has lost

  # Guards against more connections than the server is to get.
  Scenario: A new connection takes the place of an idle one
    Given 3 grants at a time that were answered without an id
    When a release is sent
    Then it is sent on a new connection
    And 3 connections are open

  # Guards against an answer without an id of a server that repeats ids.
  Scenario: An answer without an id counts for nothing on a used connection
    Given a grant that was answered
    When a release is sent
    And an answer without an id arrives
    Then the outcome of the release is unknown
