Feature: Leadership

  # Guards against a host that keeps using stale owners after it has lost the
  # granting host, even if its list of servers was stale before that.
  Scenario: A host without a granting host reads the owners with the leadership row
    Given a host whose store names another granting host and key owners
    When the host looks for the granting host
    Then it has read the owners
    And it has read the table of the leadership row once

  # Guards against a granting host behind a link of 10 Mbit/s, which cannot
  # renew leadership while it sends its state to 66 other hosts.
  Scenario: A host with a slow link leaves leadership to other hosts
    Given 20 times 5 hosts with a slow and 1 with a fast link, and free leadership
    When they look for the granting host
    Then each time the host with the fast link grants

  # Guards against a deployment without a granting host while the store answers
  # a hundred times slower for some seconds. Its late answers were treated as
  # failures, so no host held leadership.
  Scenario: Leadership survives a store that takes half a second for a write
    Given a granting host whose store takes 0.5 seconds for a write
    When it renews leadership for 20 seconds
    Then it has never lost leadership

  # Guards against a deployment without a granting host where no link is fast.
  Scenario: A host with a slow link grants where no other does
    Given 20 times 5 hosts with a slow and 0 with a fast link, and free leadership
    When they look for the granting host
    Then each time one host grants

  # Guards against two granting hosts at once. A host found leadership free,
  # read the row again during its random delay, and then overwrote the row
  # with which another host had acquired leadership in the meantime.
  Scenario: Leadership that another host acquires during the delay is kept
    Given 200 times 6 hosts with a slow and 2 with a fast link, and free leadership
    When they look for the granting host repeatedly
    Then each time one host grants and none has lost leadership
