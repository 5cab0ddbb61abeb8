"""Plan which hosts coordinate the servers of a data centre."""

from __future__ import annotations

import collections

import xxhash

from radishferry import assignment

#: Hosts listed for each server: its coordinator and the successors.
HOSTS_PER_SERVER = 3
#: Difference between the largest and the smallest number of servers that a
#: host coordinates, from which servers are moved.  A host that restarts
#: usually causes a smaller difference, so its return moves no servers.
START_DIFFERENCE = 3
#: Difference at which moves stop.
END_DIFFERENCE = 1


def plan_coordinators(service, data_centre, hosts, current, may_move=True):
    """Return the coordinator assignments that should change.

    Lost servers keep their assignment, and servers that are not in the
    manifest are ignored.  A host that is no longer live stays at the end
    of an assignment while no other host can replace it, so that its return
    changes nothing.

    :param service: ``manifest.Service``.
    :param str data_centre: Data centre of servers and hosts.
    :param hosts: Names of the hosts of the data centre that are live and not
        leaving.
    :param current: Mapping of server name to ``CoordinatorAssignment``.
    :param bool may_move: Whether servers may move to balance the hosts; False
        while one of the hosts does not respond, as it would get servers.
    :returns: Mapping of server name to ``CoordinatorAssignment``.
    """
    servers = [
        server.name
        for server in service.servers
        if server.data_centre == data_centre and server.state != 'lost'
    ]
    if not hosts:
        return {}
    plan = _Plan(servers, hosts, current)
    plan.fill_lists()
    if may_move:
        plan.balance()
    return plan.changes()


class _Plan:
    """Build the lists of hosts of the changed assignments step by step."""

    def __init__(self, servers, hosts, current):
        self._hosts = frozenset(hosts)
        self._current = current
        self._lists = {
            server: current[server].hosts if server in current else ()
            for server in sorted(servers)
        }
        self._list_counts = collections.Counter()
        self._coordinator_counts = collections.Counter()
        self._pair_counts = collections.Counter()
        for listed in self._lists.values():
            self._count_list(listed, 1)

    def fill_lists(self):
        """Replace the hosts of each list that are no longer live."""
        for server, listed in self._lists.items():
            self._set_list(server, self._with_replacements(server, listed))

    def balance(self):
        """Move servers from hosts that coordinate too many."""
        if self._difference() < START_DIFFERENCE:
            return
        while self._difference() > END_DIFFERENCE:
            most, fewest = self._most_and_fewest()
            server, listed = next(
                (server, listed)
                for server, listed in self._lists.items()
                if listed[0] == most
            )
            rest = tuple(host for host in listed if host != fewest)
            self._set_list(server, (fewest, *rest)[:HOSTS_PER_SERVER])

    def changes(self):
        """Return the assignments that differ from the current ones."""
        found = {}
        for server, listed in self._lists.items():
            old = self._current.get(server)
            if old is None:
                found[server] = assignment.CoordinatorAssignment(listed, 1)
            elif old.hosts != listed:
                found[server] = assignment.CoordinatorAssignment(
                    listed, old.next_base_term
                )
        return found

    def _with_replacements(self, server, listed):
        live = [host for host in listed if host in self._hosts]
        gone = [host for host in listed if host not in self._hosts]
        others = self._hosts.difference(listed)
        if len(listed) == HOSTS_PER_SERVER and live[:1] == [listed[0]]:
            if not gone or not others:
                return listed
        self._count_list(listed, -1)
        while len(live) < HOSTS_PER_SERVER and others:
            host = min(others, key=lambda h: self._rank(server, live, h))
            others -= {host}
            live.append(host)
        self._count_list(listed, 1)
        return tuple((live + gone)[:HOSTS_PER_SERVER])

    def _rank(self, server, live, host):
        tie_breaker = xxhash.xxh64_intdigest(f'{server}/{host}'.encode())
        if not live:
            return (
                self._coordinator_counts[host],
                self._list_counts[host],
                tie_breaker,
            )
        pair_count = self._pair_counts[live[0], host] if len(live) == 1 else 0
        return pair_count, self._list_counts[host], tie_breaker

    def _set_list(self, server, listed):
        self._count_list(self._lists[server], -1)
        self._count_list(listed, 1)
        self._lists[server] = listed

    def _count_list(self, listed, sign):
        for host in listed:
            self._list_counts[host] += sign
        if listed:
            self._coordinator_counts[listed[0]] += sign
            self._pair_counts[listed[:2]] += sign

    def _most_and_fewest(self):
        order = sorted(
            self._hosts, key=lambda h: (self._coordinator_counts[h], h)
        )
        return order[-1], order[0]

    def _difference(self):
        most, fewest = self._most_and_fewest()
        return (
            self._coordinator_counts[most] - self._coordinator_counts[fewest]
        )
