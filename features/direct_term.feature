Feature: The right to grant keys

  # Guards against a host that goes on with old owners after it has lost the
  # granting host, also when its list of servers was old before that.
  Scenario: A host without the granting host learns the owners with the term
    Given a host whose store names another granting host, with owners
    When the host looks for the granting host
    Then it has adopted the owners
    And it has read its own table once

  # Answers the pattern of a granting host behind 10 Mbit/s, which cannot
  # renew its right while it sends its 66 followers what it knows.
  Scenario: A host with a slow link leaves the right to grant to others
    Given 20 times 5 hosts with a slow and 1 with a fast link, and no granter
    When they look for the granting host
    Then each time the host with the fast link grants

  # Answers the pattern of a store that takes a hundred times as long for some
  # seconds: its late answers counted as failures, and nobody held the right.
  Scenario: A store that answers writes after half a second costs no right
    Given a granting host whose store takes 0.5 seconds for a write
    When it renews its right for 20 seconds
    Then it has never lost the right

  # Guards against a deployment without a granting host where no link is fast.
  Scenario: A host with a slow link grants where no other does
    Given 20 times 5 hosts with a slow and 0 with a fast link, and no granter
    When they look for the granting host
    Then each time one host grants

  # Guards against two granting hosts at once: a host found the right free,
  # waited, read the row again meanwhile, and then wrote over the new holder.
  Scenario: A right that another host takes during the pause stays with it
    Given 200 times 6 hosts with a slow and 2 with a fast link, and no granter
    When they look for the granting host again and again
    Then each time one host grants and none has lost the right
