Feature: Messages between direct-mode hosts

  # Guards against a granting host behind a slow link that needs too long to
  # send its state to all other hosts at once.
  Scenario: A large message takes less than half of its bytes
    Given the owners of 352 ranges at 88 servers as a message
    When the message is encoded for a link
    Then it takes less than half of its bytes
    And it is decoded to the same message

  # Guards against useless compression of each heartbeat.
  Scenario: A small message is not compressed
    Given a heartbeat as a message
    When the message is encoded for a link
    Then it is decoded to the same message
    And it is not compressed

  # Guards against too many connections to servers after a change of the
  # granting host under load. The new one reported a total of two hosts to the
  # first hosts that connected, and each of them opened half of the connections
  # of each server.
  Scenario: A new granting host counts the hosts that it knew before
    Given a host that knows 12 hosts and becomes the granting host
    Then it reports 12 hosts as the total
    When no host connects for 4 seconds
    Then it reports 1 hosts as the total

  # Guards against a small compressed frame that takes a lot of memory.
  Scenario Outline: A compressed frame that is <problem> is refused
    Given a compressed frame that is <problem>
    Then decoding it fails with a clear error

    Examples:
      | problem   |
      | too large |
      | cut       |
      | no zlib   |
