"""Send updates to all other hosts while this host is the granting host."""

from __future__ import annotations

import collections
import dataclasses
import logging

from radishferry import field_checks
from radishferry.direct import announcements
from radishferry.direct import pacing
from radishferry.direct import server_loads
from radishferryd.gen.router import ttypes
from radishferryd.router import crashes as crashes_module
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import links
from radishferryd.router import relay_directory as relay_directory_module

LOG = logging.getLogger(__name__)

#: Seconds for which a new granting host reports at least the number of hosts
#: known before. The other hosts connect within about a second, and each host
#: uses this number to compute its share of the connections of a server.
KEEP_HOST_COUNT_S = 3.0
#: Number of hosts up to which each renewal of leadership is announced at once
#: instead of with the next heartbeat. Leadership is renewed every 0.6 s
#: (:data:`radishferry.direct.leadership.RENEW_S`), and extra messages to
#: hundreds of hosts would take a granting host with half a core too much time.
MAX_PROMPT_HOSTS = 32
#: Seconds for which the encoded snapshot for a new link is reused for others.
#: All hosts connect to a new granting host within about a second, and the age
#: of the list of servers in the snapshot may be off by this much.
SNAPSHOT_CACHE_S = 0.1


class Hub:
    """Serve the links of the other hosts to the granting host."""

    def __init__(
        self,
        scheduler,
        routing_state,
        ownership,
        crashes,
        link_mbps,
        relay_directory,
        on_loads=None,
    ):
        """Create a hub without links.

        :param ownership: A :class:`~radishferryd.router.ownership.Ownership`.
        :param crashes: The
            :class:`~radishferryd.router.crashes.CrashCounts` of this host.
        :param link_mbps: Bandwidth of this host in Mbit/s.
        :param relay_directory: A
            :class:`~radishferryd.router.relay_directory.RelayDirectory`.
        :param on_loads: Called with the loads of servers that are told to
            the other hosts.
        """
        self._loads = server_loads.MergedLoads()
        self._on_loads = on_loads
        self._relay_directory = relay_directory
        self._scheduler = scheduler
        self._routing_state = routing_state
        self._ownership = ownership
        self._crashes = crashes
        self._link_mbps = link_mbps
        self._links = set()
        self._configuration_sent_until = 0.0
        self._is_configuration_push_scheduled = False
        self._is_active = False
        self._known_hosts = 1
        self._keeps_host_count_until = 0.0
        self._pending_segments = {}
        self._pushed_at = 0.0
        self._is_push_scheduled = False
        self._snapshot_cache = None
        self._announced_version = 0
        routing_state.on_configuration.append(self._on_configuration)
        routing_state.on_servers.append(self._on_servers)
        routing_state.on_evacuations.append(self._on_evacuations)
        ownership.on_segments.append(self._on_segments)
        ownership.on_long_holds_wanted.append(self.tick)
        crashes.on_change.append(self._on_poison)

    @property
    def host_count(self) -> int:
        """Return the number of hosts, including this one."""
        linked = 1 + len(self._links)
        if self._scheduler.now() < self._keeps_host_count_until:
            return max(linked, self._known_hosts)
        return linked

    @property
    def _reported_configuration_age_s(self):
        if not self._can_push_configuration:
            # Makes the other hosts read the store.
            return knowledge_module.MAX_AGE_S
        return self._routing_state.configuration_age_s

    @property
    def _can_push_configuration(self):
        size = len(self._routing_state.document)
        return size <= links.MAX_DOCUMENT_BYTES

    def begin(self, known_hosts):
        """Start accepting links.

        :param known_hosts: Number of hosts that this one knew of before.
        """
        self._is_active = True
        self._known_hosts = known_hosts
        self._keeps_host_count_until = (
            self._scheduler.now() + KEEP_HOST_COUNT_S
        )

    def end(self):
        """Close all links, so that the hosts look up the new granting host."""
        self._is_active = False
        self._pending_segments = {}
        self._loads.clear()
        self._snapshot_cache = None
        for link in list(self._links):
            link.close()
        self._relay_directory.clear()

    def announce_stop(self):
        """Tell all hosts that this one is about to stop."""
        self._send_all('beat', self._heartbeat(True))

    def tick(self):
        """Send heartbeats and close links without recent messages."""
        now = self._scheduler.now()
        for link in list(self._links):
            if link.is_silent(now):
                LOG.warning('hub: The link to %s is silent.', link.host)
                link.close()
        if self._is_active:
            self._send_all(
                'beat', self._heartbeat(False, self._take_loads(now))
            )

    def note_loads(self, loads):
        """Merge the loads of servers that a host has seen.

        :param loads: A :class:`~radishferry.direct.server_loads.Loads`.
        """
        self._loads.note(loads, self._scheduler.now())

    def _take_loads(self, now):
        """Return the loads for a heartbeat, None if there are few hosts."""
        if self.host_count < server_loads.MIN_HOSTS:
            return None
        loads = self._loads.take_changes(
            self._shared_services(),
            pacing.load_entries(
                len(self._links), self._link_mbps, links.HEARTBEAT_S
            ),
            now,
        )
        if self._on_loads is not None:
            self._on_loads(loads)
        return ttypes.ServerLoads(loads.servers, loads.loads, loads.log_times)

    def _shared_services(self):
        by_service = collections.defaultdict(list)
        for server in self._routing_state.registry.all():
            if server.slots <= server_loads.MAX_SLOTS:
                by_service[server.service].append(server.server_id)
        return by_service.values()

    def announce_renewal(self):
        """Announce renewed leadership and the leases under it.

        A host that takes over relies on what it was told with the last
        renewal.
        """
        is_new = self._ownership.term_version != self._announced_version
        if self._is_active and is_new and self.host_count <= MAX_PROMPT_HOSTS:
            self._send_all('beat', self._heartbeat(False))

    def _heartbeat(self, is_stopping, loads=None):
        age = self._routing_state.registry.age(self._scheduler.now())
        ownership = self._ownership
        ownership.consent.note_renewed(ownership.term_version)
        self._announced_version = ownership.term_version
        return ttypes.Beat(
            self.host_count,
            min(age, 1e6),
            is_stopping,
            ownership.term_version,
            ownership.has_usual_holds and ownership.is_active,
            ownership.wants_long_holds,
            self._reported_configuration_age_s,
            loads,
        )

    # Called by links.

    def link_opened(self, link):
        """See :class:`radishferryd.router.links.Link`."""
        if not self._is_active:
            link.close()

    def link_message(self, link, name, message):
        """See :class:`radishferryd.router.links.Link`."""
        if name == 'hello':
            link.host = message.host
            link.data_centre = message.data_centre
            self._relay_directory.note_hello(link, _relay_host(message))
            self._accept(link)
        elif name == 'load_report':
            self._relay_directory.note_report(link, message.reaches_servers)
            self._ownership.note_load(
                message.keys,
                [(s.server_id, s.total_s, s.answers) for s in message.speeds],
            )
            self._note_crashes(message)
            if message.loads is not None:
                self.note_loads(links.from_server_loads(message.loads))
            # A host of an older version sends no notices.
            self.note_notices(link.host, map(_notice, message.notices or ()))
        elif name == 'long_hold_consent':
            self._ownership.consent.note_agreed(link, message.term_version)

    def _note_crashes(self, message):
        """Apply what a host has observed of requests and crashes."""
        now = self._scheduler.now()
        found = message.crashes
        if found is None:
            # A host of an older version does not tell when they happened.
            found = [ttypes.Crash(f, 0.0, 0.0) for f in message.suspects or ()]
        if found:
            self._crashes.merge(
                [
                    crashes_module.Crash(
                        crash.fingerprint,
                        now - crash.sent_ago_s,
                        now - crash.lost_ago_s,
                    )
                    for crash in found
                ],
                now,
            )
        if message.completed:
            self._crashes.forget(message.completed)

    def note_notices(self, host, notices):
        """Apply the announcements that servers made to a host."""
        for notice in notices:
            if notice.is_leaving:
                self._routing_state.note_leaving(
                    notice.incarnation, notice.age_s, host
                )
            if notice.pause_s:
                self._ownership.note_pause(
                    notice.incarnation, host, notice.pause_s
                )
            if notice.has_named_limit:
                self._ownership.note_limit(
                    notice.incarnation, notice.limit_per_s, notice.age_s
                )

    def link_closed(self, link, detail):
        """See :class:`radishferryd.router.links.Link`."""
        if link in self._links:
            self._links.discard(link)
            self._relay_directory.note_closed(link)
            self._ownership.consent.note_lost(link)
            LOG.info(
                'hub: The link to %s has ended.',
                link.host,
                extra={'detail': detail, 'hosts': self.host_count},
            )

    def _accept(self, link):
        self._links.add(link)
        LOG.info(
            'hub: %s has connected.',
            link.host,
            extra={'hosts': self.host_count},
        )
        link.send('beat', self._heartbeat(False))
        self._ownership.consent.note_told(link)
        link.write(self._snapshot_bytes())

    def _snapshot_bytes(self):
        """Return the encoded messages that a newly connected host needs."""
        now = self._scheduler.now()
        if self._snapshot_cache is not None:
            encoded_at, data = self._snapshot_cache
            if now - encoded_at < SNAPSHOT_CACHE_S:
                return data
        data = b''.join(
            links.encode(name, message)
            for name, message in self._snapshot_messages()
        )
        self._snapshot_cache = now, data
        return data

    def _snapshot_messages(self):
        routing_state = self._routing_state
        if routing_state.document and self._can_push_configuration:
            yield (
                'configuration_push',
                ttypes.ConfigurationPush(routing_state.document),
            )
        if routing_state.registry.read_at is not None:
            yield 'servers_push', self._all_servers()
        for service in self._ownership.services:
            segments = self._ownership.segments(service)
            yield 'key_map_push', _key_map_push(service, segments)
        if self._crashes.shared_counts:
            yield (
                'poison_push',
                ttypes.PoisonPush(self._crashes.shared_counts),
            )

    def _all_servers(self):
        servers = list(self._routing_state.registry.all())
        return ttypes.ServersPush(
            True,
            [self._server_entry(server) for server in servers],
            [],
            self._routing_state.registry.age(self._scheduler.now()),
            self._evacuated,
        )

    @property
    def _evacuated(self):
        return sorted(self._routing_state.availability.evacuated)

    def _server_entry(self, server):
        """Return the entry of a server with the rest of its warm-up."""
        cold_s = self._routing_state.availability.cold_s(server)
        return _server_entry(dataclasses.replace(server, warmup_s=cold_s))

    # Updates.

    def _on_configuration(self, configuration):
        """Push the configuration when the previous push has been sent.

        Versions that come in between are left out. Otherwise large ones in
        quick succession would queue up on all links.
        """
        self._snapshot_cache = None
        if not self._is_active or self._is_configuration_push_scheduled:
            return
        self._is_configuration_push_scheduled = True
        delay_s = self._configuration_sent_until - self._scheduler.now()
        if delay_s > 0:
            self._scheduler.call_later(delay_s, self._push_configuration)
        else:
            self._push_configuration()

    def _push_configuration(self):
        self._is_configuration_push_scheduled = False
        if not self._is_active:
            return
        if not self._can_push_configuration:
            LOG.warning(
                'hub: The configuration of %d bytes is too large for a '
                'message; each host reads it from the store.',
                len(self._routing_state.document),
            )
            return
        size = self._send_all(
            'configuration_push',
            ttypes.ConfigurationPush(self._routing_state.document),
        )
        self._configuration_sent_until = (
            self._scheduler.now()
            + pacing.transfer_s(size, len(self._links), self._link_mbps)
        )

    def _on_servers(self, change):
        if not self._is_active:
            return
        registry = self._routing_state.registry
        changed = {
            server.server_id: registry.get(server.server_id)
            for server in (*change.added, *change.leaving, *change.cold)
        }
        self._send_all(
            'servers_push',
            ttypes.ServersPush(
                False,
                list(map(self._server_entry, changed.values())),
                [server.server_id for server in change.gone],
                registry.age(self._scheduler.now()),
                self._evacuated,
            ),
        )

    def _on_evacuations(self):
        if not self._is_active:
            return
        age_s = self._routing_state.registry.age(self._scheduler.now())
        self._send_all(
            'servers_push',
            ttypes.ServersPush(False, [], [], age_s, self._evacuated),
        )

    def _on_segments(self, service, segments):
        self._snapshot_cache = None
        known = self._pending_segments.get(service, ())
        self._pending_segments[service] = knowledge_module.overlay(
            known, segments
        )
        if self._is_push_scheduled:
            return
        self._is_push_scheduled = True
        due_at = self._pushed_at + pacing.push_interval_s(len(self._links))
        self._scheduler.call_later(
            max(0.0, due_at - self._scheduler.now()), self._push_segments
        )

    def _push_segments(self):
        """Send the owners that have changed since the last push."""
        self._is_push_scheduled = False
        self._pushed_at = self._scheduler.now()
        pending, self._pending_segments = self._pending_segments, {}
        for service, segments in pending.items():
            self._send_all('key_map_push', _key_map_push(service, segments))

    def _on_poison(self, counts):
        if self._is_active:
            self._send_all('poison_push', ttypes.PoisonPush(counts))

    def _send_all(self, name, message) -> int:
        """Send a message on all links and return its size in bytes."""
        if name != 'beat':
            self._snapshot_cache = None
        if not self._links:
            return 0
        data = links.encode(name, message)
        for link in self._links:
            link.write(data)
            if name == 'beat':
                self._ownership.consent.note_told(link)
        return len(data)


def _relay_host(message):
    """Return where a host takes relayed requests, None if it takes none."""
    address = message.relay_address
    if address is None:
        return None
    problem = field_checks.check_address(address)
    if problem:
        LOG.warning(
            'hub: %s takes no relayed requests: %s.', message.host, problem
        )
        return None
    ip, _, port = address.rpartition(':')
    return relay_directory_module.RelayHost(
        message.host, message.data_centre, (ip, int(port))
    )


def _server_entry(server):
    ip, port = server.address
    return ttypes.ServerEntry(
        server.server_id,
        server.born_ms,
        server.service,
        ip,
        port,
        server.data_centre,
        server.slots,
        server.is_leaving,
        server.warmup_s,
    )


def _notice(message):
    return announcements.Notice(
        (message.server_id, message.born_ms),
        message.is_leaving,
        message.pause_s,
        message.age_s,
        bool(message.has_named_limit),
        message.limit_per_s,
    )


def _key_map_push(service, segments):
    numbers = {}
    for segment in segments:
        numbers.setdefault(segment.owner, len(numbers))
    return ttypes.KeyMapPush(
        service,
        [ttypes.Owner(*owner) for owner in numbers],
        [numbers[segment.owner] for segment in segments],
        [segment.start for segment in segments],
        [segment.end for segment in segments],
        [segment.fence for segment in segments],
        [
            number
            for number, segment in enumerate(segments)
            if not segment.is_settled
        ],
    )
