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

  # Guards against memory that a few received bytes can take.
  Scenario Outline: A compressed frame that is <problem> is refused
    Given a compressed frame that is <problem>
    Then decoding it fails with a clear error

    Examples:
      | problem   |
      | too large |
      | cut       |
      | no zlib   |
