"""Assign key ranges to servers while this host holds leadership."""

from __future__ import annotations

import collections
import functools
import itertools
import logging

from radishferry.direct import capacities
from radishferry.direct import eras
from radishferry.direct import granting
from radishferry.direct import hot_groups
from radishferry.direct import key_rows
from radishferry.direct import long_holds
from radishferry.direct import managed_range
from radishferry.direct import placement
from radishferryd.platform import store as store_module
from radishferryd.router import orders
from radishferryd.router import owned_service
from radishferryd.router import restored_rows
from radishferryd.router import store_reader

LOG = logging.getLogger(__name__)

#: Seconds between checks for orders and plans that are due.
TICK_S = 0.1
#: Seconds after this host started granting before it makes the first
#: assignment of a service; servers that start together register within about
#: a second.
REGISTRATION_WAIT_S = 1.0
#: Seconds for which answers to orders are collected before the next step of
#: the moves is taken for all of them.
STEP_S = 0.004
#: Share of the longest accepted lease that grants get while the store does not
#: answer.
OUTAGE_HOLD_SHARE = 0.95
#: Seconds without a successful renewal of leadership after which the store
#: counts as unavailable: the renewal due after 0.6 s has not succeeded for
#: half a second, and half a second is left until the granting host stops,
#: 0.4 s before the end of its term of 2 s.
STORE_SILENT_S = 1.1
#: Seconds without a successful renewal after which the other hosts are asked
#: for their consent to long holds: the renewal due after 0.6 s is still
#: unanswered, though an answer normally takes a few milliseconds.
ASK_CONSENT_S = 0.65
#: Maximum number of servers that one log line names.
MAX_LOGGED_OWNERS = 8


class Ownership:
    """Plan which server owns which keys, store it and order it."""

    def __init__(
        self,
        poller,
        scheduler,
        routing_state,
        term,
        hold_max_s,
        name,
        hosts,
        links,
        spreads_groups=False,
    ):
        """Create an inactive instance; :meth:`begin` activates it.

        :param term: A :class:`~radishferryd.router.term.LeaderElector`.
        :param hold_max_s: Longest lease that a server accepts, in seconds.
        :param name: Name of this host, part of the ids of writes.
        :param hosts: Callable that returns the number of hosts in the
            deployment.
        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor` of this
            host.
        :param spreads_groups: See :mod:`radishferry.direct.hot_groups`.
        """
        self._scheduler = scheduler
        self._links = links
        self._spreads_groups = spreads_groups
        self._routing_state = routing_state
        self._term = term
        self._hold_max_s = hold_max_s
        self._name = name
        self._services = self._former = {}
        self._capacities = capacities.Capacities()
        self._is_active = False
        self._active_at = 0.0
        #: Whether the store may have lost the rows of services without one.
        self._may_lack_rows = False
        self._known_servers = {}
        self._write_ids = itertools.count(1)
        self._ended_checked_at = {}
        self._is_step_scheduled = False
        self._grants_long_holds = False
        self._wants_long_holds = False
        self._long_holds_after_s = STORE_SILENT_S
        #: Consent of the other hosts to long holds.
        self.consent = long_holds.Consent()
        #: Called when the other hosts have to be asked for that consent.
        self.on_long_holds_wanted = []
        self.order_sender = orders.OrderSender(
            poller,
            scheduler,
            routing_state.registry,
            self._may_order,
            self._schedule_step,
            self._on_server_leaving,
            links,
        )
        #: Called with the name of a service and its changed segments.
        self.on_segments = []
        #: Returns the number of hosts.
        self._count_hosts = hosts

    @property
    def is_active(self) -> bool:
        """Return whether this host grants keys."""
        return self._is_active

    @property
    def services(self):
        """Return the granters by service."""
        return {name: s.granter for name, s in self._services.items()}

    @property
    def has_usual_holds(self) -> bool:
        """Return whether no server may have a lease longer than usual.

        Usual leases last :data:`~radishferry.direct.managed_range.HOLD_S`.
        Longer ones are granted only while the store does not answer. See
        :mod:`radishferry.direct.long_holds`.
        """
        now = self._scheduler.now()
        return all(
            service.granter.has_usual_holds(now)
            for service in self._services.values()
        )

    @property
    def wants_long_holds(self) -> bool:
        """Return whether this host wants to grant long holds."""
        return self._wants_long_holds

    @property
    def term_version(self) -> int:
        """Return the version of the leadership row."""
        return self._term.version

    def begin(self, rows, has_usual_holds=False):
        """Start granting keys, based on the rows of the store.

        :param rows: Rows of the table :data:`store_reader.OWN_TABLE`.
        :param has_usual_holds: Whether the previous granting host is known to
            have granted no leases longer than usual.
        """
        self._is_active = True
        self._active_at = self._scheduler.now()
        self._services = {}
        self._may_lack_rows = self._term.may_lack_rows
        for service, row, version in store_reader.key_rows_of(rows):
            found = self._service(service)
            if self._term.is_lost(row.era):
                found = self._services[service] = restored_rows.take_over(
                    found,
                    self._former.get(service),
                    row,
                    self._routing_state.key_maps.get(service),
                    self._active_at,
                )
            else:
                passed_at = self._term.clock.passed_at
                found.granter.load(
                    row.segments,
                    row.stamp,
                    self._active_at,
                    ordered_until=self._term.previous_ended_at,
                    ends=tuple(
                        tuple(map(passed_at, ends))
                        for ends in row.held_until_s
                    ),
                    has_usual_holds=has_usual_holds,
                )
            found.row_version = version
            self._publish(found)
            LOG.info(
                'ownership: Took over %d ranges of %s.',
                len(row.segments),
                service,
                extra={'row_version': version, 'usual_holds': has_usual_holds},
            )

    def rows_restored(self, rows):
        """Write the owners again after a restore during the own term.

        :param rows: Rows of the table :data:`store_reader.OWN_TABLE`.
        """
        versions = {row.key: row.version for row in rows}
        for name, service in self._services.items():
            key = f'{store_reader.KEYS_PREFIX}{name}'
            service.note_restored(versions.get(key, 0))

    def extend_grants(self) -> bool:
        """Grant long holds before a stop, if the store does not answer.

        No other host can take over while the store does not answer, and
        usual leases would expire in the meantime.

        :returns: Whether the other hosts are now asked for their consent, so
            that grants can follow.
        """
        if not self._is_active or self._term.silent_s <= ASK_CONSENT_S:
            return False
        self._long_holds_after_s = ASK_CONSENT_S
        self.tick()
        return True

    def end(self):
        """Stop granting keys and discard orders that were not sent."""
        self._is_active = False
        self._grants_long_holds = self._wants_long_holds = False
        self._former, self._services = self._services or self._former, {}
        self._ended_checked_at = {}
        self.order_sender.close()

    def note_load(self, keys, speeds):
        """Record the load that a host reports.

        :param keys: Keys of requests by service.
        :param speeds: Tuples of server id, total seconds of processing and
            number of answers.
        """
        for service, found in keys.items():
            if service in self._services:
                self._services[service].rates.note(found)
        for server_id, total_s, answers in speeds:
            self._capacities.note_service_time(server_id, total_s, answers)

    def note_pause(self, incarnation, host, pause_s):
        """Record that a server asked a host to pause its requests.

        :param incarnation: Pair of the id and the start time of the server.
        :param host: Name of the host.
        :param pause_s: Seconds from now.
        """
        self._capacities.note_pause(
            incarnation, host, pause_s, self._scheduler.now()
        )

    def note_limit(self, incarnation, limit_per_s, age_s):
        """Record the limit that a server named in a response to a host.

        :param limit_per_s: Requests a second from all hosts together, None if
            the limit has ended.
        :param age_s: Seconds since the response.
        """
        self._capacities.note_limit(
            incarnation, limit_per_s, self._scheduler.now() - age_s
        )

    def _on_server_leaving(self, server):
        self._routing_state.note_leaving(
            server.incarnation, 0.0, 'an answer to an order'
        )

    def servers_changed(self, change):
        """Keep the addresses of servers, also after they left the registry.

        Orders still have to reach servers that are no longer listed.
        """
        for server in self._routing_state.registry.all():
            self._known_servers[server.incarnation] = server

    def segments(self, service):
        """Return all segments of a service, for a newly connected host."""
        return tuple(self._services[service].published.values())

    def tick(self):
        """Send orders, write and plan assignments that are due."""
        if not self._is_active or not self._term.holds:
            return
        now = self._scheduler.now()
        configuration = self._routing_state.configuration
        if configuration is None or not self._routing_state.registry.read_at:
            return
        for name, service in configuration.services.items():
            if service.is_keyed:
                self._tick_service(self._service(name), now)

    def _schedule_step(self):
        """Schedule the orders and updates that follow from an answer."""
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self._scheduler.call_later(STEP_S, self._step)

    def _step(self):
        self._is_step_scheduled = False
        if not self._is_active or not self._term.holds:
            return
        now = self._scheduler.now()
        for service in self._services.values():
            for order in service.granter.due(now, self._hold_s()):
                self._send_order(order, service.granter, now)
            self._publish(service)

    def _hold_s(self):
        """Return the duration of new leases in seconds.

        While the store does not answer, no other host can move keys, and
        this host stops renewing leases when its term ends. Before that, all
        leases are extended, if the other hosts consent.
        """
        self.consent.note_renewed(self._term.version)
        wants_long_holds = self._term.silent_s > ASK_CONSENT_S
        if wants_long_holds and not self._wants_long_holds:
            self._wants_long_holds = True
            for callback in self.on_long_holds_wanted:
                callback()
        self._wants_long_holds = wants_long_holds
        grants_long_holds = (
            self._term.silent_s > self._long_holds_after_s
            and self.consent.is_given
        )
        if grants_long_holds and not self._grants_long_holds:
            LOG.warning(
                'ownership: Granting long holds, since the store does not '
                'answer.',
                extra={'silent_s': round(self._term.silent_s, 2)},
            )
            for service in self._services.values():
                service.granter.renew_all(self._scheduler.now())
        self._grants_long_holds = grants_long_holds
        if grants_long_holds:
            return self._hold_max_s * OUTAGE_HOLD_SHARE
        return managed_range.HOLD_S

    def _may_order(self, order):
        """Return whether an order that may have been queued may be sent.

        If leadership was renewed while a grant of a long hold was queued, the
        other hosts may have been told since then that all holds are usual.
        """
        if not self._term.holds:
            return False
        is_long = (
            isinstance(order, granting.Grant)
            and order.hold_s > managed_range.HOLD_S
        )
        self.consent.note_renewed(self._term.version)
        return not is_long or (
            self._grants_long_holds and self.consent.is_given
        )

    def _service(self, name):
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = owned_service.OwnedService(
                name, self._hold_max_s
            )
            if self._may_lack_rows:
                found.granter.note_lost_rows(self._active_at)
        return found

    def _tick_service(self, service, now):
        granter = service.granter
        self._drop_ended(granter)
        for order in granter.due(now, self._hold_s()):
            self._send_order(order, granter, now)
        self._log_expired(granter, now)
        self._publish(service)
        if service.pending is not None:
            self._write(service)
            return
        if service.is_row_lost:
            layout = placement.layout_of(granter.ranges)
        else:
            layout = self._plan(service, now)
        if layout is not None:
            self._propose(service, layout)

    def _drop_ended(self, granter):
        registry = self._routing_state.registry
        if registry.read_at == self._ended_checked_at.get(granter.service):
            return
        self._ended_checked_at[granter.service] = registry.read_at
        for incarnation in granter.holders:
            known = self._known_servers.get(incarnation)
            if registry.has_ended(incarnation, known and known.address):
                successor = registry.successor(incarnation)
                granter.note_ended(incarnation, successor)
                self.order_sender.drop(incarnation)
                LOG.info(
                    'ownership: %s has ended; its keys are free.',
                    incarnation[0],
                    extra={
                        'born_ms': incarnation[1],
                        'born_again_ms': successor[1] if successor else None,
                    },
                )

    def _log_expired(self, granter, now):
        """Log leases that have expired at servers that should have them."""
        expired = granter.take_expired(now)
        if not expired:
            return
        owners = collections.Counter(found.owner for found in expired)
        unreachable = [
            owner
            for owner in owners
            if self.order_sender.is_unreachable(owner)
        ]
        LOG.warning(
            'ownership: Leases of %d ranges of %s have expired; they were not '
            'renewed in time.',
            len(expired),
            granter.service,
            extra={
                'owners': ' '.join(
                    f'{owner[0]}:{count}'
                    for owner, count in owners.most_common(MAX_LOGGED_OWNERS)
                ),
                'owner_count': len(owners),
                'unreachable_count': len(unreachable),
                'is_isolated': self._links.is_isolated,
                'store_silent_s': round(self._term.silent_s, 3),
                'registry_age_s': round(
                    self._routing_state.registry.age(now), 3
                ),
            },
        )

    def _send_order(self, order, granter, now):
        is_grant = isinstance(order, granting.Grant)
        incarnation = order.segment.owner if is_grant else order.incarnation
        server = self._known_servers.get(incarnation)
        if server is None:
            # Without an address no order can be sent, so the server keeps the
            # keys until its lease expires.
            note_failed = (
                granter.note_grant_failed
                if is_grant
                else granter.note_release_failed
            )
            note_failed(order, now, was_sent=False)
            return
        self.order_sender.send(order, server, granter)

    # Plans.

    def _plan(self, service, now):
        """Return a new layout, or None to keep the current one."""
        if not self._links.reaches_servers:
            # Failed orders say nothing about the servers now.
            return None
        granter = service.granter
        servers = self._candidates(granter.service)
        if not servers:
            return None
        if not granter.ranges:
            if now - self._active_at < REGISTRATION_WAIT_S:
                return None
            return placement.initial_layout(
                [server.incarnation for server in servers]
            )
        is_small = self._spreads_groups and all(
            s.slots <= hot_groups.MAX_SLOTS for s in servers
        )
        service.rates.advance(now, is_fast=is_small)
        to_evacuate = self._owners_to_evacuate(service, now)
        loads = service.rates.load_map
        server_capacities = self._capacities.estimate(
            servers, self._count_hosts(), now
        )
        may_assign = functools.partial(granter.may_assign, now=now)
        if to_evacuate:
            layout = placement.evacuate(
                granter.ranges,
                to_evacuate,
                server_capacities,
                loads,
                may_assign,
            )
            if layout != placement.layout_of(granter.ranges):
                return layout
        if granter.rejected_ranges():
            return placement.layout_of(granter.ranges)
        if not service.plan_pacing.is_due(
            now, granter.unsettled, service.rates if is_small else None
        ):
            return None
        plan = placement.rebalance(
            granter.ranges,
            server_capacities,
            loads,
            may_assign,
            now,
            spreads_groups=is_small,
        )
        if not plan.moves:
            return None
        LOG.info(
            'ownership: Moving ranges to balance load.',
            extra={
                'service': granter.service,
                **plan.facts,
                'rate_per_s': round(service.rates.total(), 1),
            },
        )
        return plan.layout

    def _candidates(self, service):
        return [
            server
            for server in self._routing_state.availability.candidates(service)
            if not self.order_sender.is_unreachable(server.incarnation)
        ]

    def _owners_to_evacuate(self, service, now):
        """Return the owners that all ranges have to be moved away from."""
        granter = service.granter
        candidates = self._routing_state.availability.candidates
        usable_incarnations = {
            server.incarnation
            for server in candidates(granter.service)
            if not self.order_sender.is_replaced(server.incarnation)
        }
        owners = {found.owner for found in granter.ranges}
        expired = {
            found.owner
            for found in granter.expired_ranges(now)
            if self.order_sender.is_unreachable(found.owner)
        }
        return (owners - usable_incarnations) | expired

    # Writes.

    def _propose(self, service, layout):
        granter = service.granter
        write_id = f'{self._name}-{self._active_at}-{next(self._write_ids)}'
        segments, ends = granter.propose(layout, self._scheduler.now())
        latest = self._term.clock.latest
        held_until_s = tuple(tuple(map(latest, found)) for found in ends)
        try:
            value = key_rows.encode(
                key_rows.KeyRow(
                    segments, write_id, held_until_s, self._term.era
                )
            )
        except key_rows.RowError as exc:
            LOG.error('ownership: Cannot encode the new owners: %s.', exc)
            return
        service.pending = owned_service.PendingWrite(
            tuple(layout), value, write_id
        )
        self._write(service)

    def _write(self, service):
        pending = service.pending
        name = service.granter.service
        key = f'{store_reader.KEYS_PREFIX}{name}'

        def done(answer):
            if service.pending is not pending or not self._is_active:
                return
            if isinstance(answer, store_module.Written):
                stamp = eras.stamp(answer.era, answer.version)
                self._commit(service, stamp, answer.version)
            elif isinstance(answer, store_module.Conflict):
                self._resolve(service, answer.rows, key)

        self._term.write_rows(
            (
                store_module.Condition(
                    store_reader.OWN_TABLE,
                    key,
                    service.row_version,
                    self._term.era,
                ),
            ),
            ((store_reader.OWN_TABLE, key, pending.value),),
            done,
        )

    def _resolve(self, service, rows, key):
        """Check whether an earlier attempt to write this plan succeeded."""
        row = next((r for r in rows if r.key == key), None)
        if row is None or row.version == service.row_version:
            return
        try:
            stamp = service.resolve(row)
        except key_rows.RowError as exc:
            LOG.error('ownership: Row %s cannot be used: %s.', key, exc)
            return
        if stamp is not None:
            self._commit(service, stamp, row.version)

    def _commit(self, service, stamp, version):
        pending, service.pending = service.pending, None
        granter = service.granter
        now = self._scheduler.now()
        before = {found.segment() for found in granter.ranges}
        granter.commit(pending.layout, stamp, now)
        service.row_version, service.is_row_lost = version, False
        moved = [s for s in granter.segments if s not in before]
        LOG.info(
            'ownership: Wrote version %d of the owners of %s.',
            version,
            granter.service,
            extra={
                'ranges': len(granter.ranges),
                'changed': len(moved),
                'rate_per_s': round(service.rates.total(), 1),
                'examples': ' '.join(
                    f'{s.start}-{s.end}:{s.owner[0]}' for s in moved[:4]
                ),
            },
        )
        for order in granter.due(now):
            self._send_order(order, granter, now)
        self._publish(service)

    def _publish(self, service):
        """Send the changed segments of a service to all hosts."""
        if service.revision == service.granter.revision:
            return
        service.revision = service.granter.revision
        changed, current = service.changed_segments()
        if not changed:
            return
        service.published = current
        name = service.granter.service
        self._routing_state.apply_segments(name, changed)
        for callback in self.on_segments:
            callback(name, changed)
