"""Tell which hosts are live and which host relays for a data centre.

Hosts that exchange heartbeats with this one are judged by them: a host is
live from a heartbeat until 300 ms without one or until its link breaks.  All
other hosts are taken at the word of the platform's list, which lags.  The
list neither kills a host that heartbeats nor revives a silent one.
"""

from __future__ import annotations

import logging
import math

from radishferry import hosts
from radishferry import neighbours

LOG = logging.getLogger(__name__)

#: Time between heartbeats, in seconds.
HEARTBEAT_S = 0.1
#: Time without a heartbeat after which a host counts as down, in seconds.
SILENT_S = 0.3
#: Time in which a host that was never heard counts as live, in seconds.  It
#: covers the connection and its authentication.
GRACE_S = 1.0
#: Time after which a host that left the list is forgotten, in seconds.  A
#: list that drops a silent host for a moment must not revive it.
FORGET_S = 60.0


HostInfo = hosts.HostInfo
HostDown = hosts.HostDown
HostUp = hosts.HostUp
RelayChanged = hosts.RelayChanged


class Membership:
    """Keep the view that one host has of all hosts.

    :param str self_name: Name of this host.
    :param str data_centre: Data centre of this host.
    """

    def __init__(self, self_name, data_centre):
        self._self = self_name
        self._data_centre = data_centre
        self._infos = {}
        self._listed = frozenset()
        self._list_changed = False
        self._orders = {data_centre: [self_name]}
        self._records = {}
        self._shared = frozenset()
        self._local = frozenset()
        self._required = frozenset()
        self._reported = {}
        self._reported_relays = {}
        self._now = 0.0

    def hosts_listed(self, infos, now):
        """Take a host list of the platform.

        :param infos: List of :class:`HostInfo`.
        """
        kept = {
            name: info
            for name, info in self._infos.items()
            if self._heard_recently(name, now)
        }
        self._infos = kept | {info.name: info for info in infos}
        self._listed = frozenset(info.name for info in infos)
        self._list_changed = True
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in self._infos or now - record.last_at < FORGET_S
        }
        self._orders = self._relay_orders()
        self._choose_local()
        self._refresh(now)

    def heartbeat(self, name, incarnation, now):
        """Take a heartbeat.

        A heartbeat of an earlier incarnation is late and is ignored, as is
        one that was read from a link after it broke.

        :param int incarnation: Grows with each restart of the host.
        """
        self._now = now
        record = self._record(name)
        known = record.incarnation
        if known is not None and incarnation < known:
            return
        if record.broken and incarnation == known:
            return
        record.broken = False
        record.down = False
        record.incarnation = incarnation
        record.heard_at = now
        record.last_at = now

    def link_lost(self, name, now):
        """Take the news that the link to a host broke."""
        self._now = now
        record = self._record(name)
        record.broken = True
        record.down = True
        record.heard_at = -math.inf
        record.last_at = now

    def link_opened(self, name, now):
        """Take the news that an authenticated link to a host opened.

        A host that exchanges heartbeats with this one is live again with its
        next heartbeat; any other one is as the list has it.
        """
        self._now = now
        record = self._record(name)
        record.broken = False
        record.down = name in self._required and record.down

    def set_shared_hosts(self, names):
        """Set the hosts that coordinate servers together with this one.

        :param names: Names of the hosts in the lists of coordinators that
            name this host.
        """
        self._shared = frozenset(names) - {self._self}
        self._choose_local()
        self._refresh(self._now)

    def info(self, name):
        """Return the :class:`HostInfo` of a host, None when unknown."""
        return self._infos.get(name)

    def incarnation(self, name):
        """Return the incarnation last heard of a host, None before."""
        record = self._records.get(name)
        return record and record.incarnation

    def is_live(self, name, now):
        """Tell whether a host counts as live."""
        if name == self._self:
            return True
        record = self._records.get(name)
        if record is None:
            return name in self._listed
        if now - record.heard_at < SILENT_S:
            return True
        if name not in self._required:
            return name in self._listed and not record.down
        if record.down or record.heard_at >= record.expected_at:
            return False
        return now - record.expected_at < GRACE_S

    def relay(self, data_centre, now):
        """Return the relay of a data centre, None when no host is live."""
        order = self._orders.get(data_centre, ())
        return next((n for n in order if self.is_live(n, now)), None)

    def is_relay(self, now):
        """Tell whether this host relays for its data centre."""
        return self.relay(self._data_centre, now) == self._self

    def data_centres(self):
        """Return the known data centres in order of their names."""
        return sorted(self._orders)

    def neighbours(self):
        """Return the hosts to exchange heartbeats with, in order of names.

        Beside the hosts that this one watches, these are hosts that watch
        this one: they would otherwise take it for down.
        """
        answered = {
            name
            for name in self._records
            if self._heard_recently(name, self._now) and self._answers(name)
        }
        return sorted(self._required | answered)

    def changes(self, now):
        """Return what changed since the last call.

        :returns: List of :class:`HostDown`, :class:`HostUp` (both for a host
            that restarted) and :class:`RelayChanged`.
        """
        self._refresh(now)
        names = set(self._records)
        if self._list_changed:
            # Other hosts are judged by the list and change only with it.
            names |= self._infos.keys() | self._reported.keys()
            self._list_changed = False
        names.discard(self._self)
        found = [c for n in sorted(names) for c in self._host_changes(n, now)]
        found.extend(self._relay_changes(now))
        return found

    def _host_changes(self, name, now):
        live = self.is_live(name, now)
        incarnation = self.incarnation(name)
        was_live, old = self._reported.get(name, (False, None))
        restarted = old is not None and incarnation not in (None, old)
        if was_live and (not live or restarted):
            LOG.debug('membership: host %s is down', name)
            yield HostDown(name, old)
        if live and (not was_live or restarted):
            LOG.debug('membership: host %s is up', name)
            yield HostUp(name, incarnation)
        if live or name in self._infos:
            self._reported[name] = (live, incarnation)
        else:
            self._reported.pop(name, None)

    def _relay_changes(self, now):
        centres = self._orders.keys() | self._reported_relays.keys()
        for data_centre in sorted(centres):
            relay = self.relay(data_centre, now)
            if relay != self._reported_relays.get(data_centre):
                self._reported_relays[data_centre] = relay
                LOG.debug('membership: relay of %s is %s', data_centre, relay)
                yield RelayChanged(data_centre, relay)

    def _record(self, name):
        return self._records.setdefault(name, _Record())

    def _heard_recently(self, name, now):
        record = self._records.get(name)
        return record is not None and now - record.heard_at < SILENT_S

    def _relay_orders(self):
        names_by_centre = {self._data_centre: {self._self}}
        for info in self._infos.values():
            names_by_centre.setdefault(info.data_centre, set()).add(info.name)
        return {
            data_centre: neighbours.relay_order(names)
            for data_centre, names in names_by_centre.items()
        }

    def _choose_local(self):
        order = self._orders[self._data_centre]
        self._local = neighbours.in_data_centre(
            order, self._self, self._shared
        )

    def _refresh(self, now):
        self._now = now
        for name in self._required:
            # Remembered because the list would revive the host as soon as it
            # is no longer required, for example when another is now relay.
            if not self.is_live(name, now):
                self._record(name).down = True
        required = set(self._local)
        if self.is_relay(now):
            relays = (self.relay(d, now) for d in self._orders)
            required |= {name for name in relays if name}
        required.discard(self._self)
        for name in required - self._required:
            record = self._record(name)
            record.last_at = now
            if not record.down:
                record.expected_at = now
        self._required = frozenset(required)

    def _answers(self, name):
        info = self._infos.get(name)
        if info is None:
            return False
        order = self._orders[info.data_centre]
        if info.data_centre == self._data_centre:
            return neighbours.is_candidate(order, self._self)
        return neighbours.is_candidate(order, name)


class _Record:
    """Hold what was heard of one host."""

    __slots__ = (
        'broken',
        'down',
        'expected_at',
        'heard_at',
        'incarnation',
        'last_at',
    )

    def __init__(self):
        self.broken = False
        self.down = False
        self.expected_at = -math.inf
        self.heard_at = -math.inf
        self.incarnation = None
        self.last_at = -math.inf
