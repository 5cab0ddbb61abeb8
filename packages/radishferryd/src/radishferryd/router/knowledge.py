"""Hold the configuration, servers and key owners known to this host."""

from __future__ import annotations

import dataclasses
import itertools
import logging
import math

from radishferry.direct import availability as availability_module
from radishferry.direct import configuration as configuration_module
from radishferry.direct import key_map
from radishferry.direct import registry as registry_module
from radishferryd.platform import documents

LOG = logging.getLogger(__name__)

#: Maximum error in seconds of an age that another host reports.
CLOCK_SLACK_S = 0.1
#: Age in seconds that is reported for what has never been read.
MAX_AGE_S = 1e6
#: Maximum number of servers that one log record names.
MAX_LOGGED_SERVERS = 10


class RoutingState:
    """Merge updates from the store and other hosts, and notify listeners.

    A configuration is never replaced by an older version, and a list of
    servers never by one that was read from the store earlier.
    """

    def __init__(self, now, evacuate_within_s=math.inf):
        """Create an empty instance.

        :param now: Returns the time in seconds.
        :param evacuate_within_s: Seconds in which the evacuation of a data
            centre has to be complete.
        """
        self._now = now
        self.configuration = None
        self.document = b''
        #: When the store last answered this host or the granting host with
        #: its newest configuration, in seconds; -inf if never.
        self._configuration_read_at = -math.inf
        #: Highest version that another host has named.
        self._version_elsewhere = 0
        self.routes = None
        self.registry = registry_module.Registry()
        self.availability = availability_module.ServerAvailability(
            now, self.registry, evacuate_within_s
        )
        #: When the evacuations were read from the store, in seconds; -inf if
        #: never.
        self._evacuations_read_at = -math.inf
        #: The list of the granting host that is in force, None if this host
        #: has read the list in force itself.
        self._pushed_servers = None
        self.key_maps = {}
        self.on_configuration = []
        self.on_servers = []
        self.on_owners = []
        self.on_evacuations = []
        self._choices = {}

    @property
    def is_complete(self) -> bool:
        """Return whether requests can be routed."""
        return self.configuration is not None and (
            self.registry.read_at is not None
        )

    @property
    def is_outdated(self) -> bool:
        """Return whether another host has a newer configuration.

        This host may have answered requests through it, and callers must not
        see the older one again.
        """
        return self.newest_version > self._version

    @property
    def newest_version(self) -> int:
        """Return the highest version that is known to be in force."""
        return max(self._version, self._version_elsewhere)

    @property
    def _version(self):
        return self.configuration.version if self.configuration else 0

    def note_configuration_elsewhere(self, version):
        """Record the version of the configuration at another host."""
        was_outdated = self.is_outdated
        self._version_elsewhere = max(self._version_elsewhere, version)
        if self.is_outdated and not was_outdated:
            LOG.warning(
                'knowledge: Another host has configuration version %d; '
                'requests are relayed until this host has it.',
                version,
                extra={'own_version': self._version},
            )

    @property
    def limits(self):
        """Return the configured limits for callers."""
        if self.configuration is None:
            return configuration_module.Limits()
        return self.configuration.limits

    @property
    def configuration_age_s(self) -> float:
        """Return the seconds since the store confirmed the configuration.

        :returns: :data:`MAX_AGE_S` if it never has.
        """
        return min(MAX_AGE_S, self._now() - self._configuration_read_at)

    def note_configuration_read(self, read_at):
        """Record that the store has answered with its newest configuration.

        :param read_at: When the store answered, in seconds.
        """
        self._configuration_read_at = max(self._configuration_read_at, read_at)

    def apply_document(self, document: bytes, source: str):
        """Apply a configuration if it is newer.

        :param document: The encoded configuration.
        :param source: Where it came from, for the log.
        """
        if document == self.document:
            return
        try:
            found = documents.decode_configuration(document)
        except documents.DocumentError as exc:
            LOG.error(
                'knowledge: Kept configuration version %s; the document from '
                '%s is invalid: %s.',
                self.configuration.version if self.configuration else None,
                source,
                exc,
            )
            return
        current = self.configuration
        if current is not None and found.version <= current.version:
            return
        self.configuration = found
        self.document = document
        self.routes = configuration_module.RouteTable(found)
        self._choices = {
            route.name: self._choice_for(route, current)
            for route in found.routes
        }
        self.availability.set_warmup_limits(
            {
                name: availability_module.WarmupLimit(
                    service.cold_s, service.cold_per_s
                )
                for name, service in found.services.items()
                if service.cold_per_s
            }
        )
        LOG.info(
            'knowledge: Configuration version %d is in force.',
            found.version,
            extra={
                'source': source,
                'previous': current.version if current else None,
                'routes': len(found.routes),
            },
        )
        for callback in self.on_configuration:
            callback(found)

    def _choice_for(self, route, current):
        known = self._choices.get(route.name)
        # Keep the position in an unchanged traffic split.
        if known is not None and known[0] == route.parts:
            return known
        return route.parts, configuration_module.WeightedChoice(route.parts)

    def choose_part(self, route) -> str:
        """Return the service that takes the next request of a route."""
        return self._choices[route.name][1].next()

    def apply_servers(self, servers, read_at, source):
        """Apply a list of servers that this host read from the store.

        :param read_at: When the list was read, in seconds.
        :param source: Where it came from, for the log.
        """
        known_at = self.registry.read_at
        if known_at is not None and read_at <= known_at:
            return
        self._pushed_servers = None
        self._apply(servers, read_at, source, is_own=True)

    def apply_pushed(self, servers, read_at):
        """Apply a list of servers pushed by the granting host.

        Pushes are applied in the order in which they arrive. The clocks of
        the hosts differ, so a push may seem slightly older than the one
        before. A host that has read a newer list from the store itself keeps
        that list until :meth:`confirm_pushed` shows that the granting host
        has read the store later.

        :param servers: Every server of the list by id; not modified later.
        :param read_at: When the granting host read the list, in seconds.
        """
        known_at = self.registry.read_at
        if known_at is not None and read_at < known_at - CLOCK_SLACK_S:
            self._log_ignored(servers, read_at)
            return
        self._apply_pushed(servers, max(read_at, known_at or read_at))

    def confirm_pushed(self, servers, read_at):
        """Record that the granting host has read the same list again.

        The list is put in force if it seemed too old when it was pushed.

        :param servers: The mapping that was passed to :meth:`apply_pushed`.
        :param read_at: When the granting host last read the list, in seconds.
        """
        known_at = self.registry.read_at
        if known_at is not None and read_at <= known_at:
            return
        if servers is self._pushed_servers:
            self.registry.note_unchanged(read_at)
        else:
            self._apply_pushed(servers, read_at)

    def _apply_pushed(self, servers, read_at):
        self._pushed_servers = servers
        self._apply(servers.values(), read_at, 'granting host', is_own=False)

    def _log_ignored(self, servers, read_at):
        usable = {s.incarnation for s in servers.values() if not s.is_leaving}
        kept = [
            server.server_id
            for server in self.registry.all()
            if not server.is_leaving and server.incarnation not in usable
        ]
        now = self._now()
        LOG.info(
            'knowledge: Ignored servers that were read before the known ones.',
            extra={
                'age_s': round(now - read_at, 3),
                'known_age_s': round(self.registry.age(now), 3),
                'kept': kept[:MAX_LOGGED_SERVERS],
                'kept_count': len(kept),
            },
        )

    def apply_evacuations(self, data_centres, read_at):
        """Replace the data centres whose servers get no requests.

        :param data_centres: Names of the data centres.
        :param read_at: When the list was read from the store, in seconds; it
            is ignored if an earlier call had a later one.
        """
        if read_at < self._evacuations_read_at:
            return
        self._evacuations_read_at = read_at
        before = self.availability.evacuated
        if before == frozenset(data_centres):
            return
        cold = self.availability.set_evacuated(data_centres)
        if cold:
            self._notify_servers(
                registry_module.Change(cold=cold), read_at, 'evacuation'
            )
        for callback in self.on_evacuations:
            callback()

    def note_leaving(self, incarnation, age_s, source):
        """Mark a server as leaving that announced this itself.

        :param incarnation: Pair of the id and the start time of the server.
        :param age_s: Seconds since the announcement.
        :param source: Who received it, for the log.
        """
        change = self.registry.note_leaving(incarnation)
        if change:
            self._notify_servers(change, self._now() - age_s, source)

    def _apply(self, servers, read_at, source, *, is_own):
        change = self.registry.apply(servers, read_at, is_own=is_own)
        cold = self.availability.note_servers(self.registry.all(), read_at)
        if cold:
            change = dataclasses.replace(change, cold=cold)
        if change:
            self._notify_servers(change, read_at, source)

    def _notify_servers(self, change, known_at, source):
        for event, changed in (
            ('was added', change.added),
            ('is leaving', change.leaving),
            ('was removed', change.gone),
        ):
            for server in changed:
                LOG.info(
                    'knowledge: Server %s %s.',
                    server.server_id,
                    event,
                    extra={
                        'service': server.service,
                        'born_ms': server.born_ms,
                        'source': source,
                        'age_s': round(self._now() - known_at, 3),
                    },
                )
        for callback in self.on_servers:
            callback(change)

    def apply_row(self, service, segments, version):
        """Apply the owners of a service that were read from the store."""
        current = self.key_maps.get(service)
        if current is not None and version <= current.version:
            return
        self.key_maps[service] = key_map.KeyMap(segments, version)
        self._notify_owners(service)

    def apply_segments(self, service, segments):
        """Apply changed owners of ranges, as the granting host sent them."""
        current = self.key_maps.get(service, key_map.KeyMap())
        merged = overlay(current.segments, segments)
        version = max(
            itertools.chain(
                (current.version,), (segment.fence for segment in segments)
            )
        )
        self.key_maps[service] = key_map.KeyMap(merged, version)
        self._notify_owners(service)

    def owner(self, service, key):
        """Return the segment of a key and the server that owns it.

        :returns: Segment or None, and server or None. The server is None if
            none may handle requests for the key now.
        """
        found = self.key_maps.get(service)
        segment = found.find(key) if found is not None else None
        if segment is None or not segment.is_settled:
            return segment, None
        server = self.registry.get(segment.owner[0])
        if server is None or server.incarnation != segment.owner:
            return segment, None
        if not self.availability.may_own(server):
            return segment, None
        return segment, server

    def _notify_owners(self, service):
        for callback in self.on_owners:
            callback(service)


def overlay(segments, changed):
    """Replace ranges of a key map in a single pass.

    Every host does this for each push of the granting host.

    :param segments: Segments in key order without overlaps.
    :param changed: Segments without overlaps; they replace the ranges that
        they cover.
    :returns: All segments in key order.
    """
    merged = []
    remaining = iter(segments)
    current = next(remaining, None)
    for new in sorted(changed, key=lambda segment: segment.start):
        while current is not None and current.end < new.start:
            merged.append(current)
            current = next(remaining, None)
        if current is not None and current.start < new.start:
            merged.append(_clip(current, current.start, new.start - 1))
        merged.append(new)
        while current is not None and current.end <= new.end:
            current = next(remaining, None)
        if current is not None and current.start <= new.end:
            current = _clip(current, new.end + 1, current.end)
    if current is not None:
        merged.append(current)
        merged.extend(remaining)
    return merged


def _clip(segment, start, end):
    return key_map.Segment(
        start, end, segment.owner, segment.fence, segment.previous
    )
