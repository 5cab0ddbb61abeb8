"""Plan which hosts coordinate the servers of a data centre."""

from __future__ import annotations

import collections

import xxhash

from radishferry import assignment

#: Hosts that may coordinate a server: a coordinator and its successors.
HOSTS_PER_SERVER = 3
#: Difference between the most and the fewest servers that hosts coordinate
#: at which servers move.  A host that comes back after a restart mostly
#: causes a smaller one, which moves nothing.
START_DIFFERENCE = 3
#: Difference at which moves end.
END_DIFFERENCE = 1


def plan_coordinators(service, data_centre, hosts, current, may_move=True):
    """Return the coordinator assignments that should change.

    Lost servers keep what they have, and servers that are not in the manifest
    are not considered.  A host that is gone stays last in a list while no
    other host can take its place, so that its return changes nothing.

    :param service: ``manifest.Service``.
    :param str data_centre: Data centre of servers and hosts.
    :param hosts: Names of its hosts that are live and not leaving.
    :param current: Mapping of server name to ``CoordinatorAssignment``.
    :param bool may_move: Whether servers may move for balance; False while
        one of the hosts is silent, which would be given servers.
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
    plan.replace_gone()
    if may_move:
        plan.even_out()
    return plan.changes()


class _Plan:
    """Collect the decisions of one plan."""

    def __init__(self, servers, hosts, current):
        self._hosts = frozenset(hosts)
        self._current = current
        self._lists = {
            server: current[server].hosts if server in current else ()
            for server in sorted(servers)
        }
        self._listed = collections.Counter()
        self._firsts = collections.Counter()
        self._pairs = collections.Counter()
        for listed in self._lists.values():
            self._count(listed, 1)

    def replace_gone(self):
        """Fill each list with live hosts."""
        for server, listed in self._lists.items():
            self._replace(server, self._filled(server, listed))

    def even_out(self):
        """Move servers from hosts that coordinate too many."""
        if self._difference() < START_DIFFERENCE:
            return
        while self._difference() > END_DIFFERENCE:
            most, fewest = self._extremes()
            server, listed = next(
                (server, listed)
                for server, listed in self._lists.items()
                if listed[0] == most
            )
            rest = tuple(host for host in listed if host != fewest)
            self._replace(server, (fewest, *rest)[:HOSTS_PER_SERVER])

    def changes(self):
        """Return the lists that differ from the present ones."""
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

    def _filled(self, server, listed):
        live = [host for host in listed if host in self._hosts]
        gone = [host for host in listed if host not in self._hosts]
        others = self._hosts.difference(listed)
        if len(listed) == HOSTS_PER_SERVER and live[:1] == [listed[0]]:
            if not gone or not others:
                return listed
        self._count(listed, -1)
        while len(live) < HOSTS_PER_SERVER and others:
            host = min(others, key=lambda h: self._rank(server, live, h))
            others -= {host}
            live.append(host)
        self._count(listed, 1)
        return tuple((live + gone)[:HOSTS_PER_SERVER])

    def _rank(self, server, live, host):
        tie = xxhash.xxh64_intdigest(f'{server}/{host}'.encode())
        if not live:
            return self._firsts[host], self._listed[host], tie
        pairs = self._pairs[live[0], host] if len(live) == 1 else 0
        return pairs, self._listed[host], tie

    def _replace(self, server, listed):
        self._count(self._lists[server], -1)
        self._count(listed, 1)
        self._lists[server] = listed

    def _count(self, listed, sign):
        for host in listed:
            self._listed[host] += sign
        if listed:
            self._firsts[listed[0]] += sign
            self._pairs[listed[:2]] += sign

    def _extremes(self):
        order = sorted(self._hosts, key=lambda h: (self._firsts[h], h))
        return order[-1], order[0]

    def _difference(self):
        most, fewest = self._extremes()
        return self._firsts[most] - self._firsts[fewest]
