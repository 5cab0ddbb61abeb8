Feature: The granting lease

  # Guards against a host that keeps using stale owners after it has lost the
  # granting host, even if its list of servers was stale before that.
  Scenario: A host without a granting host reads the owners with the lease
    Given a host whose store names another granting host and key owners
    When the host looks for the granting host
    Then it has read the owners
    And it has read the table of the lease once

  # Guards against a granting host behind a link of 10 Mbit/s, which cannot
  # renew its lease while it sends its state to 66 other hosts.
  Scenario: A host with a slow link leaves the lease to other hosts
    Given 20 times 5 hosts with a slow and 1 with a fast link, and a free lease
    When they look for the granting host
    Then each time the host with the fast link grants

  # Guards against a deployment without a granting host while the store answers
  # a hundred times slower for some seconds. Its late answers were treated as
  # failures, so no host held the lease.
  Scenario: A store that takes half a second for a write costs no lease
    Given a granting host whose store takes 0.5 seconds for a write
    When it renews its lease for 20 seconds
    Then it has never lost the lease

  # Guards against a deployment without a granting host where no link is fast.
  Scenario: A host with a slow link grants where no other does
    Given 20 times 5 hosts with a slow and 0 with a fast link, and a free lease
    When they look for the granting host
    Then each time one host grants

  # Guards against two granting hosts at once. A host found the lease free,
  # read the row again during its random delay, and then overwrote the lease
  # that another host had acquired in the meantime.
  Scenario: A lease that another host acquires during the delay is kept
    Given 200 times 6 hosts with a slow and 2 with a fast link, and a free lease
    When they look for the granting host repeatedly
    Then each time one host grants and none has lost the lease
