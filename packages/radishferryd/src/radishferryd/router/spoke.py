"""Keep a link to the granting host."""

from __future__ import annotations

import dataclasses
import logging

from radishferry import field_checks
from radishferry.direct import key_map
from radishferry.direct import long_holds
from radishferry.direct import pacing
from radishferry.direct import registry as registry_module
from radishferryd.gen.router import ttypes
from radishferryd.router import knowledge
from radishferryd.router import links
from radishferryd.router import store_reader

LOG = logging.getLogger(__name__)

#: Age in seconds of the granting host's list of servers above which this host
#: polls the store itself. The granting host reads the list every 0.7 s.
STALE_SERVERS_S = 1.35
#: The same for the age of its configuration. The granting host confirms it
#: with each answer of the feed, at most 1.3 s apart while the store is slow,
#: and heartbeats follow every 0.4 s.
STALE_CONFIGURATION_S = 2.0
#: Seconds between checks of the age of the list of servers and of whether a
#: load report is due.
TICK_S = pacing.MIN_REPORT_S
#: Seconds by which a load report may be sent early, so that a slightly early
#: tick does not delay it until the next one.
MAX_EARLY_S = 0.01
#: Seconds after the link to the granting host was lost or established before
#: a host starts to poll the store.
LINK_GRACE_S = 0.5


class Spoke:
    """Hold the link to the granting host, and poll the store without one."""

    def __init__(self, poller, scheduler, routing_state, reader, host, owner):
        """Create a spoke without a link.

        :param reader: A
            :class:`~radishferryd.router.store_reader.StoreReader`.
        :param host: Name and data centre of this host, and its address for
            relayed requests as ``ip:port``.
        :param owner: Offers ``granter_lost()``, ``set_host_count(count)``,
            ``adopt_crash_counts(counts)``, ``take_load()``,
            ``repeat_announcements()``, ``reaches_servers()``,
            ``set_relay_hosts(hosts)`` and ``apply_loads(loads)``.
        """
        self._poller = poller
        self._scheduler = scheduler
        self._routing_state = routing_state
        self._reader = reader
        self._host = host
        self._owner = owner
        self._link = None
        self._has_heartbeat = False
        self._address = None
        #: Servers by id as pushed over the current link, None before the
        #: first push.
        self._pushed_servers = None
        #: Data centres that the granting host has pushed over the current
        #: link as evacuated, None before the first push.
        self._pushed_evacuated = None
        #: Whether the current link has brought the configuration.
        self._has_configuration = False
        self._granter_read_at = scheduler.now()
        self._granter_configuration_read_at = scheduler.now()
        self._link_changed_at = scheduler.now()
        self._is_granter = False
        self._reported_at = scheduler.now()
        #: What the granting host has announced about its leases.
        self.announced_holds = long_holds.AnnouncedHolds()

    @property
    def is_linked(self) -> bool:
        """Return whether heartbeats arrive from the granting host."""
        link = self._link
        return (
            self._has_heartbeat
            and link is not None
            and not link.is_silent(self._scheduler.now())
        )

    def set_granter(self, is_granter):
        """Set whether this host is the granting host."""
        self._is_granter = is_granter
        if is_granter:
            self._drop()
        self._link_changed_at = self._scheduler.now()
        self.tick()

    def wait_for_granter(self, timeout_s):
        """Poll the store unless a heartbeat arrives in time.

        :param timeout_s: Seconds from now.
        """
        # Makes the grace period end at the timeout.
        self._link_changed_at = (
            self._scheduler.now() + timeout_s - LINK_GRACE_S
        )
        self._scheduler.call_later(timeout_s, self.tick)

    def connect(self, address):
        """Open a link to the granting host.

        :param address: ``ip:port``.
        """
        if self._is_granter:
            return
        if self._link is not None:
            if self._address == address and not self._link.is_silent(
                self._scheduler.now()
            ):
                return
            self._drop()
        self._address = address
        self._has_heartbeat = False
        self._pushed_servers = None
        self._pushed_evacuated = None
        self._has_configuration = False
        ip, _, port = address.rpartition(':')
        self._link = links.Link(self._scheduler, self)
        self._link.connect(self._poller, (ip, int(port)))

    def report(self, hosts):
        """Send the load seen by this host, when a report is due.

        :param hosts: Number of hosts in the deployment.
        """
        now = self._scheduler.now()
        due_at = self._reported_at + pacing.report_interval_s(hosts)
        if (
            self._is_granter
            or not self.is_linked
            or now < due_at - MAX_EARLY_S
        ):
            return
        self._reported_at = now
        load = self._owner.take_load()
        crashes = load.crashes.crashes
        self._link.send(
            'load_report',
            ttypes.LoadReport(
                load.keys,
                [ttypes.ServerSpeed(*speed) for speed in load.speeds],
                [crash.fingerprint for crash in crashes],
                [
                    ttypes.ServerNotice(
                        *notice.incarnation,
                        notice.is_leaving,
                        notice.pause_s,
                        notice.age_s,
                        notice.has_named_limit,
                        notice.limit_per_s,
                    )
                    for notice in load.notices
                ],
                self._owner.reaches_servers(),
                [
                    ttypes.Crash(
                        crash.fingerprint,
                        now - crash.sent_at,
                        now - crash.lost_at,
                    )
                    for crash in crashes
                ],
                load.crashes.completed,
                links.to_server_loads(load.loads),
            ),
        )

    def tick(self):
        """Close a link without recent messages, and poll if necessary."""
        now = self._scheduler.now()
        if self._is_granter:
            self._reader.set_polling(True, store_reader.GRANTER_INTERVAL_S)
            return
        if self._link is not None and self._link.is_silent(now):
            LOG.warning('spoke: The granting host is silent.')
            self._drop()
            # The silence was longer than the grace period.
            self._link_changed_at = now - LINK_GRACE_S
        is_grace_over = now - self._link_changed_at >= LINK_GRACE_S
        if self.is_linked and not self._is_granter_stale(now):
            self._reader.set_polling(False)
        elif is_grace_over:
            self._reader.set_polling(True)

    def _is_granter_stale(self, now):
        """Return whether the granting host has no recent data of the store.

        Uses the ages at the granting host. The data of this host becomes
        fresh with its own first read, so polling would stop and start again
        and again, with a read of the configuration each time.
        """
        return (
            now - self._granter_read_at > STALE_SERVERS_S
            or now - self._granter_configuration_read_at
            > STALE_CONFIGURATION_S
        )

    def _drop(self):
        link, self._link = self._link, None
        if link is not None:
            link.close()
        self._handle_loss()

    def _handle_loss(self):
        if self._has_heartbeat:
            self._has_heartbeat = False
            self._link_changed_at = self._scheduler.now()
        if not self._is_granter:
            self._owner.granter_lost()

    # Called by the link.

    def link_opened(self, link):
        """See :class:`radishferryd.router.links.Link`."""
        if link is self._link:
            link.send('hello', ttypes.Hello(*self._host))
            self._owner.repeat_announcements()

    def link_closed(self, link, detail):
        """See :class:`radishferryd.router.links.Link`."""
        if link is not self._link:
            return
        self._link = None
        LOG.info(
            'spoke: The link to the granting host has ended.',
            extra={'detail': detail, 'address': self._address},
        )
        self._handle_loss()

    def link_message(self, link, name, message):
        """See :class:`radishferryd.router.links.Link`."""
        if link is not self._link:
            return
        getattr(self, f'_on_{name}')(message)

    def _on_beat(self, message):
        now = self._scheduler.now()
        registry = self._routing_state.registry
        if not self._has_heartbeat:
            self._has_heartbeat = True
            self._link_changed_at = now
            LOG.info(
                'spoke: The granting host answers.',
                extra={
                    'address': self._address,
                    'hosts': message.hosts,
                    'registry_age_s': round(
                        min(registry.age(now), knowledge.MAX_AGE_S), 3
                    ),
                    'granter_registry_age_s': round(message.registry_age_s, 3),
                },
            )
        self._note_holds(message)
        self._owner.set_host_count(message.hosts)
        if message.loads is not None:
            self._owner.apply_loads(links.from_server_loads(message.loads))
        read_at = now - message.registry_age_s
        self._granter_read_at = read_at
        # A granting host of an older version does not send the age of its
        # configuration.
        configuration_age_s = message.configuration_age_s or 0.0
        self._granter_configuration_read_at = now - configuration_age_s
        # Pushes and heartbeats arrive in order on the link, so what has been
        # pushed over it has not changed up to these times.
        if self._has_configuration:
            self._routing_state.note_configuration_read(
                self._granter_configuration_read_at
            )
        if self._pushed_servers is not None:
            self._routing_state.confirm_pushed(self._pushed_servers, read_at)
        self._apply_evacuated()
        if message.is_stopping:
            self._drop()

    def _note_holds(self, message):
        version = message.term_version
        # A granting host of an older version announces nothing about leases.
        has_usual_holds = bool(version and message.has_usual_holds)
        self.announced_holds.note(version, has_usual_holds=has_usual_holds)
        if version and message.wants_long_holds:
            self.announced_holds.note_agreed(version)
            self._link.send(
                'long_hold_consent', ttypes.LongHoldConsent(version)
            )

    def _on_configuration_push(self, message):
        self._has_configuration = True
        self._routing_state.apply_document(message.document, 'granting host')

    def _on_servers_push(self, message):
        read_at = self._scheduler.now() - message.age_s
        # The first push of a granting host that had no list when the link was
        # opened is not marked as full.
        has_base = not message.is_full and self._pushed_servers is not None
        # The warm-ups of earlier messages are counted from their arrival.
        servers = {
            server_id: dataclasses.replace(server, warmup_s=0.0)
            for server_id, server in (
                self._pushed_servers.items() if has_base else ()
            )
        }
        for server_id in message.gone:
            servers.pop(server_id, None)
        servers.update(
            (entry.server_id, server)
            for entry in message.changed
            if (server := self._usable_server(entry)) is not None
        )
        self._pushed_servers = servers
        if message.evacuated is not None:
            # A granting host of an older version sends none.
            self._pushed_evacuated = frozenset(message.evacuated)
            self._apply_evacuated()
        self._routing_state.apply_pushed(servers, read_at)

    def _apply_evacuated(self):
        """Apply the evacuations that the granting host has pushed.

        They are as old as its configuration, since it reads both from the
        same table. If this host has read the table later itself, they are
        applied with the next heartbeat that shows a later read.
        """
        if self._pushed_evacuated is not None:
            self._routing_state.apply_evacuations(
                self._pushed_evacuated, self._granter_configuration_read_at
            )

    def _usable_server(self, entry):
        """Return the server of an entry, None if it cannot be used."""
        server = _server(entry)
        problem = registry_module.find_problem(server)
        if problem is None:
            return server
        # One line a push at most; a granting host of this version sends none.
        LOG.warning(
            'spoke: Skipped server %.80r of the granting host: %s.',
            entry.server_id,
            problem,
        )
        return None

    def _on_key_map_push(self, message):
        self._routing_state.apply_segments(
            message.service_name,
            tuple(_segments(message)),
        )

    def _on_relay_hosts(self, message):
        self._owner.set_relay_hosts(
            [
                (host.host, host.data_centre, (host.ip, host.port))
                for host in message.hosts
                if not field_checks.check_address(f'{host.ip}:{host.port}')
            ]
        )

    def _on_poison_push(self, message):
        self._owner.adopt_crash_counts(message.crashes)


def _server(entry):
    return registry_module.Server(
        entry.server_id,
        entry.born_ms,
        entry.service_name,
        (entry.ip, entry.port),
        entry.data_centre,
        entry.slots,
        entry.is_leaving,
        entry.warmup_s,
    )


def _segments(message):
    owners = [(owner.server_id, owner.born_ms) for owner in message.owners]
    unsettled = set(message.unsettled)
    columns = zip(
        message.owner_numbers,
        message.start_keys,
        message.end_keys,
        message.fences,
        strict=True,
    )
    for number, (owner_number, start, end, fence) in enumerate(columns):
        owner = owners[owner_number]
        previous = (owner,) if number in unsettled else ()
        yield key_map.Segment(start, end, owner, fence, previous)
