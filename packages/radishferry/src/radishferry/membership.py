"""Track which hosts are live and which host is the relay of a data centre.

The state of hosts that exchange heartbeats with this one follows from the
heartbeats: a host is live until 300 ms pass without a heartbeat or until its
link breaks.  The state of all other hosts follows from the platform's host
list, which lags.  The host list never overrides heartbeats: it neither marks a
host down that sends them nor marks a host live that stopped sending them.
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
HEARTBEAT_TIMEOUT_S = 0.3
#: Time in which a host that should send heartbeats but has not sent any counts
#: as live, in seconds.  It covers connecting and authentication.
GRACE_S = 1.0
#: Time after which a host that left the host list is forgotten, in seconds.  A
#: host that is down must not become live because the host list omits it for a
#: moment.
FORGET_AFTER_S = 60.0


HostInfo = hosts.HostInfo
HostDown = hosts.HostDown
HostUp = hosts.HostUp
RelayChanged = hosts.RelayChanged


class Membership:
    """Maintain the state of all hosts as seen from one host.

    :param str self_name: Name of this host.
    :param str data_centre: Data centre of this host.
    """

    def __init__(self, self_name, data_centre):
        self._self = self_name
        self._data_centre = data_centre
        self._infos = {}
        self._listed = frozenset()
        self._list_changed = False
        self._relay_order_by_centre = {data_centre: [self_name]}
        self._records = {}
        self._shared = frozenset()
        self._watched_locally = frozenset()
        self._watched = frozenset()
        self._reported = {}
        self._reported_relays = {}
        self._now = 0.0

    def hosts_listed(self, infos, now):
        """Process a host list of the platform.

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
            if name in self._infos or now - record.updated_at < FORGET_AFTER_S
        }
        self._relay_order_by_centre = self._compute_relay_orders()
        self._update_watched_locally()
        self._update_watched(now)

    def heartbeat(self, name, incarnation, now):
        """Process a heartbeat.

        Heartbeats of an earlier incarnation and those read from a link after
        it broke are outdated and ignored.

        :param int incarnation: Number that increases with each restart of the
            host.
        """
        self._now = now
        record = self._record(name)
        known = record.incarnation
        if known is not None and incarnation < known:
            return
        if record.is_link_broken and incarnation == known:
            return
        record.is_link_broken = False
        record.is_down = False
        record.incarnation = incarnation
        record.heard_at = now
        record.updated_at = now

    def link_lost(self, name, now):
        """Process the loss of the link to a host."""
        self._now = now
        record = self._record(name)
        record.is_link_broken = True
        record.is_down = True
        record.heard_at = -math.inf
        record.updated_at = now

    def link_opened(self, name, now):
        """Process the opening of an authenticated link to a host.

        A host that exchanges heartbeats with this one is live again from its
        next heartbeat; the state of any other host follows from the
        host list.
        """
        self._now = now
        record = self._record(name)
        record.is_link_broken = False
        record.is_down = name in self._watched and record.is_down

    def set_shared_hosts(self, names):
        """Set the hosts that share a coordinator assignment with this one.

        :param names: Names of the hosts in the coordinator assignments that
            name this host.
        """
        self._shared = frozenset(names) - {self._self}
        self._update_watched_locally()
        self._update_watched(self._now)

    def info(self, name):
        """Return the :class:`HostInfo` of a host, None when unknown."""
        return self._infos.get(name)

    def incarnation(self, name):
        """Return the last incarnation received from a host, None if none."""
        record = self._records.get(name)
        return record and record.incarnation

    def is_live(self, name, now):
        """Return whether a host counts as live."""
        if name == self._self:
            return True
        record = self._records.get(name)
        if record is None:
            return name in self._listed
        if now - record.heard_at < HEARTBEAT_TIMEOUT_S:
            return True
        if name not in self._watched:
            return name in self._listed and not record.is_down
        if record.is_down or record.heard_at >= record.expected_at:
            return False
        return now - record.expected_at < GRACE_S

    def relay(self, data_centre, now):
        """Return the relay of a data centre, None when no host is live."""
        order = self._relay_order_by_centre.get(data_centre, ())
        return next((n for n in order if self.is_live(n, now)), None)

    def is_relay(self, now):
        """Return whether this host is the relay of its data centre."""
        return self.relay(self._data_centre, now) == self._self

    def data_centres(self):
        """Return the names of the known data centres, sorted."""
        return sorted(self._relay_order_by_centre)

    def neighbours(self):
        """Return the names of the hosts to exchange heartbeats with, sorted.

        Besides the hosts that this one watches, these are the hosts that
        watch this one, as they would otherwise consider it down.
        """
        watchers = {
            name
            for name in self._records
            if self._heard_recently(name, self._now)
            and self._is_watched_by(name)
        }
        return sorted(self._watched | watchers)

    def changes(self, now):
        """Return what changed since the last call.

        :returns: List of :class:`HostDown`, :class:`HostUp` (both for a host
            that restarted) and :class:`RelayChanged`.
        """
        self._update_watched(now)
        names = set(self._records)
        if self._list_changed:
            # The state of the other hosts follows from the host list and
            # changes only with it.
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
        centres = (
            self._relay_order_by_centre.keys() | self._reported_relays.keys()
        )
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
        return (
            record is not None and now - record.heard_at < HEARTBEAT_TIMEOUT_S
        )

    def _compute_relay_orders(self):
        names_by_centre = {self._data_centre: {self._self}}
        for info in self._infos.values():
            names_by_centre.setdefault(info.data_centre, set()).add(info.name)
        return {
            data_centre: neighbours.relay_order(names)
            for data_centre, names in names_by_centre.items()
        }

    def _update_watched_locally(self):
        order = self._relay_order_by_centre[self._data_centre]
        self._watched_locally = neighbours.watched_in_data_centre(
            order, self._self, self._shared
        )

    def _update_watched(self, now):
        self._now = now
        for name in self._watched:
            # Stored because the host list would make the host live again as
            # soon as it is no longer watched, for example after a change of
            # relay.
            if not self.is_live(name, now):
                self._record(name).is_down = True
        watched = set(self._watched_locally)
        if self.is_relay(now):
            relays = (self.relay(d, now) for d in self._relay_order_by_centre)
            watched |= {name for name in relays if name}
        watched.discard(self._self)
        for name in watched - self._watched:
            record = self._record(name)
            record.updated_at = now
            if not record.is_down:
                record.expected_at = now
        self._watched = frozenset(watched)

    def _is_watched_by(self, name):
        info = self._infos.get(name)
        if info is None:
            return False
        order = self._relay_order_by_centre[info.data_centre]
        # All hosts of a data centre watch its relay candidates.  A host of
        # another data centre watches this one only as the relay of that data
        # centre, so it must be a candidate there.
        if info.data_centre == self._data_centre:
            return neighbours.is_candidate(order, self._self)
        return neighbours.is_candidate(order, name)


class _Record:
    """Store what is known of one host from its links and heartbeats."""

    __slots__ = (
        'is_link_broken',
        'is_down',
        'expected_at',
        'heard_at',
        'incarnation',
        'updated_at',
    )

    def __init__(self):
        self.is_link_broken = False
        self.is_down = False
        self.expected_at = -math.inf
        self.heard_at = -math.inf
        self.incarnation = None
        self.updated_at = -math.inf
