Feature: What proves that a server has ended

  Background:
    Given a granting host with servers "a" and "b", where "a" holds all keys

  # Guards against two holders of a key: an entry of another writer that named
  # the address of a live server counted as its successor, and the keys of the
  # live server were granted to others without a release.
  Scenario Outline: An entry with another id frees no keys at its address
    When the list of servers gets an entry "x" at the address of "a" that is <later> ms younger
    And the entry of "a" is <own>
    Then "a" still counts as the holder of all keys
    When all keys are moved to "b"
    Then "a" is asked to release all keys, and "b" is granted none

    Examples:
      | later | own       |
      | 1     | listed    |
      | 10000 | listed    |
      | 1     | missing   |
      | 10000 | missing   |

  # Guards against two holders of a key: the entry at the other address may be
  # that of another writer, and orders to it would not reach the live server.
  Scenario: An entry with the id of a server at another address frees no keys
    When the entry of "a" names a later start and another address
    Then "a" still counts as the holder of all keys

  # Guards against keys that wait for the lease of a server that has restarted.
  Scenario: A later start under the same id and address is found at once
    When the entry of "a" names a later start
    Then the later incarnation of "a" counts as the only holder

  # Guards against keys that wait for the lease of a server whose address has
  # been taken over, and against a live server that is taken for another one.
  Scenario Outline: The server that answers an order tells who it is
    When all keys are moved to "b"
    And a release for "a" is answered 421 by "<who>"
    Then "b" is granted <keys>

    Examples:
      | who     | keys     |
      | x       | all keys |
      | a       | no keys  |
      | unnamed | all keys |

  # Guards against an entry of another writer that gets ranges again and again:
  # they had no owner for 4 s each time, since the server at its address accepts
  # connections.
  Scenario: A server at whose address another one answers gets no keys
    When a renewal for "a" is answered 421 by "x"
    Then "a" loses its keys at once
    And "a" gets no keys for 10 seconds, although it accepts connections
    And "a" may get keys after 11 seconds
