Feature: Messages between hosts that send directly

  # Answers the pattern of a granting host behind a slow link that welcomes
  # all other hosts at once.
  Scenario: A large message takes less than half of its bytes
    Given the owners of 352 ranges at 88 servers as a message
    When the message is encoded for a link
    Then it takes less than half of its bytes
    And it is decoded to the same message

  # Guards against work for nothing on each beat.
  Scenario: A small message is not compressed
    Given a beat as a message
    When the message is encoded for a link
    Then it is decoded to the same message
    And it is not compressed

  # Answers the pattern of a change of the granting host under load: the first
  # hosts that found the new one were told that there are two, and opened half
  # of the connections of each server.
  Scenario: A new granting host counts the hosts that it knew before
    Given a host that knows 12 hosts and begins to grant
    Then it tells that there are 12 hosts
    When nobody connects for 4 seconds
    Then it tells that there are 1 hosts

  # Guards against memory that a few received bytes can take.
  Scenario Outline: A compressed frame that is <problem> is refused
    Given a compressed frame that is <problem>
    Then decoding it fails with a clear error

    Examples:
      | problem   |
      | too large |
      | cut       |
      | no zlib   |
