"""Hold what this host knows of configuration, servers and owners."""

from __future__ import annotations

import itertools
import logging

from radishferry.direct import configuration as configuration_module
from radishferry.direct import key_map
from radishferry.direct import registry as registry_module
from radishferryd.platform import documents

LOG = logging.getLogger(__name__)

#: Seconds by which the age of news from another host may be off.
CLOCK_SLACK_S = 0.1


class Knowledge:
    """Adopt news from any source and tell who has to know.

    Configurations never go back to an older version. Lists of servers are
    adopted by the time at which they were read.
    """

    def __init__(self, now):
        """Begin with nothing known.

        :param now: Returns the time in seconds.
        """
        self._now = now
        self.configuration = None
        self.document = b''
        self.routes = None
        self.registry = registry_module.Registry()
        self.key_maps = {}
        self.on_configuration = []
        self.on_servers = []
        self.on_owners = []
        self._choices = {}

    @property
    def is_complete(self) -> bool:
        """Tell whether requests can be routed."""
        return self.configuration is not None and (
            self.registry.read_at is not None
        )

    @property
    def limits(self):
        """Return the limits on callers."""
        if self.configuration is None:
            return configuration_module.Limits()
        return self.configuration.limits

    def apply_document(self, document: bytes, source: str):
        """Adopt a configuration if it is newer.

        :param source: Where it came from, for the log.
        """
        if document == self.document:
            return
        try:
            found = documents.decode_configuration(document)
        except documents.DocumentError as exc:
            LOG.error(
                'knowledge: Kept version %s, the one from %s is invalid: %s.',
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
            route.name: self._choice(route, current) for route in found.routes
        }
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

    def _choice(self, route, current):
        known = self._choices.get(route.name)
        # An unchanged split goes on where it was.
        if known is not None and known[0] == route.parts:
            return known
        return route.parts, configuration_module.WeightedChoice(route.parts)

    def choose_part(self, route) -> str:
        """Return the service that takes the next request of a route."""
        return self._choices[route.name][1].next()

    def apply_servers(self, servers, read_at, source):
        """Adopt a list of servers.

        :param read_at: When the list was read from the store, in seconds.
        """
        known_at = self.registry.read_at
        if known_at is not None and read_at <= known_at:
            return
        self._apply(servers, read_at, source, is_own=True)

    def apply_pushed(self, servers, read_at):
        """Adopt what the granting host knows, in the order of its news.

        Its clock differs, so an age of its news may seem to go back a
        little; a host that has read the store meanwhile keeps its own list.
        """
        known_at = self.registry.read_at
        if known_at is not None and read_at < known_at - CLOCK_SLACK_S:
            return
        read_at = max(read_at, known_at or read_at)
        self._apply(servers, read_at, 'granting host', is_own=False)

    def note_leaving(self, life, age_s, source):
        """Adopt that a server has said itself that it leaves.

        :param age_s: Seconds since it said so.
        :param source: Who was told, for the log.
        """
        change = self.registry.note_leaving(life)
        if change:
            self._changed(change, self._now() - age_s, source)

    def _apply(self, servers, read_at, source, *, is_own):
        change = self.registry.apply(servers, read_at, is_own=is_own)
        if change:
            self._changed(change, read_at, source)

    def _changed(self, change, known_at, source):
        for word, changed in (
            ('came', change.added),
            ('is leaving', change.leaving),
            ('is gone', change.gone),
        ):
            for server in changed:
                LOG.info(
                    'knowledge: Server %s %s.',
                    server.server_id,
                    word,
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
        """Adopt the owners of a service as the store has them."""
        current = self.key_maps.get(service)
        if current is not None and version <= current.version:
            return
        self.key_maps[service] = key_map.KeyMap(segments, version)
        self._owners_changed(service)

    def apply_segments(self, service, segments):
        """Adopt the owners of some ranges from the granting host."""
        current = self.key_maps.get(service, key_map.KeyMap())
        merged = overlay(current.segments, segments)
        version = max(
            itertools.chain(
                (current.version,), (segment.fence for segment in segments)
            )
        )
        self.key_maps[service] = key_map.KeyMap(merged, version)
        self._owners_changed(service)

    def owner(self, service, key):
        """Return the segment and the server that may run a key's requests.

        :returns: Segment or None, and server or None. Without a server the
            key has none now.
        """
        found = self.key_maps.get(service)
        segment = found.find(key) if found is not None else None
        if segment is None or not segment.is_settled:
            return segment, None
        server = self.registry.get(segment.owner[0])
        if server is None or server.life != segment.owner:
            return segment, None
        # A leaving server takes nothing, also before its keys have moved.
        if server.is_leaving:
            return segment, None
        return segment, server

    def _owners_changed(self, service):
        for callback in self.on_owners:
            callback(service)


def overlay(segments, changed):
    """Replace ranges of a key map, in one pass over it.

    Every host does this for each push of the granting host.

    :param segments: Segments in the order of their keys, none overlapping.
    :param changed: Segments that replace what they cover, none overlapping.
    :returns: All segments in order.
    """
    merged = []
    old = iter(segments)
    current = next(old, None)
    for news in sorted(changed, key=lambda segment: segment.start):
        while current is not None and current.end < news.start:
            merged.append(current)
            current = next(old, None)
        if current is not None and current.start < news.start:
            merged.append(_part(current, current.start, news.start - 1))
        merged.append(news)
        while current is not None and current.end <= news.end:
            current = next(old, None)
        if current is not None and current.start <= news.end:
            current = _part(current, news.end + 1, current.end)
    if current is not None:
        merged.append(current)
        merged.extend(old)
    return merged


def _part(segment, start, end):
    return key_map.Segment(
        start, end, segment.owner, segment.fence, segment.previous
    )
