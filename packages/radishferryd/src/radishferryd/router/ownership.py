"""Own the keys' assignment while this host has the right to grant."""

from __future__ import annotations

import dataclasses
import itertools
import logging

from radishferry.direct import capacities
from radishferry.direct import granting
from radishferry.direct import key_rates
from radishferry.direct import key_rows
from radishferry.direct import long_holds
from radishferry.direct import managed_range
from radishferry.direct import placement
from radishferryd.platform import store as store_module
from radishferryd.router import orders
from radishferryd.router import store_reader

LOG = logging.getLogger(__name__)

#: Seconds between looks at what is due.
TICK_S = 0.1
#: Seconds between plans that balance load.
BALANCE_S = 0.4
#: Seconds between the first plan and the list of servers; servers that
#: start together register within about a second.
GATHER_S = 1.0
#: Ranges that may be on their way to another server while load is balanced.
MAX_UNSETTLED = 12
#: Seconds for which answers are gathered before the next step of a move.
STEP_S = 0.004
#: Part of the longest hold that grants get when the store is silent.
OUTAGE_HOLD_SHARE = 0.95
#: Seconds without an accepted renewal after which the store counts as
#: silent: a renewal has failed, and half a second of the right is left.
SILENT_S = 1.1
#: Seconds without an accepted renewal after which the other hosts are asked
#: for their consent to long holds: the renewal that was due after 0.6 s has
#: no answer yet, which comes within some milliseconds.
ASK_S = 0.65


class _Service:
    """Hold the granter of one service with what it needs to plan."""

    def __init__(self, name, hold_max_s):
        self.granter = granting.KeyGranter(name, hold_max_s)
        self.rates = key_rates.KeyRates()
        self.row_version = 0
        self.revision = 0
        self.known = {}
        self.planned_at = 0.0
        self.pending = None


@dataclasses.dataclass(frozen=True)
class _Pending:
    """Hold a write whose answer has not been settled."""

    layout: tuple
    value: bytes
    write_id: str


class Ownership:
    """Plan, write and order who owns which keys."""

    def __init__(
        self, poller, scheduler, knowledge, term, hold_max_s, name, hosts
    ):
        """Begin without the right to grant.

        :param term: A :class:`~radishferryd.router.term.TermKeeper`.
        :param hold_max_s: Longest hold that a server accepts.
        :param name: Name of this host, for ids of writes.
        :param hosts: Returns the number of hosts of the deployment.
        """
        self._scheduler = scheduler
        self._knowledge = knowledge
        self._term = term
        self._hold_max_s = hold_max_s
        self._name = name
        self._services = {}
        self._capacities = capacities.Capacities()
        self._is_active = False
        self._active_at = 0.0
        self._known_servers = {}
        self._write_ids = itertools.count(1)
        self._ended_checked = {}
        self._will_step = False
        self._is_silent = False
        self._wants_long_holds = False
        self._silent_limit_s = SILENT_S
        #: Consent of the other hosts to long holds.
        self.consent = long_holds.Consent()
        #: Called when the other hosts are to be asked for it.
        self.on_wish = []
        self.desk = orders.OrderDesk(
            poller,
            scheduler,
            knowledge.registry,
            self._may_order,
            self._step_soon,
            self._server_leaves,
        )
        #: Called with a service and the segments that changed.
        self.on_segments = []
        #: Returns the number of hosts.
        self._hosts = hosts

    @property
    def is_active(self) -> bool:
        """Tell whether this host orders grants."""
        return self._is_active

    @property
    def services(self):
        """Return the granters by service."""
        return {name: s.granter for name, s in self._services.items()}

    @property
    def has_usual_holds(self) -> bool:
        """Tell whether no server holds keys for longer than usual."""
        now = self._scheduler.now()
        return all(
            service.granter.is_usual(now)
            for service in self._services.values()
        )

    @property
    def wants_long_holds(self) -> bool:
        """Tell whether keys are to be granted for long."""
        return self._wants_long_holds

    @property
    def term_version(self) -> int:
        """Return the version of this host's right to grant."""
        return self._term.version

    def begin(self, rows, is_usual=False):
        """Take over with the rows of the store.

        :param is_usual: Whether the host that granted before is known to have
            given no longer holds than usual.
        """
        self._is_active = True
        self._active_at = self._scheduler.now()
        self._services = {}
        for service, row, version in store_reader.key_rows_of(rows):
            found = self._service(service)
            passed_at = self._term.clock.passed_at
            found.granter.load(
                row.segments,
                version,
                self._active_at,
                ordered_until=self._term.previous_ended_at,
                ends=tuple(
                    tuple(map(passed_at, ends)) for ends in row.held_until_s
                ),
                is_usual=is_usual,
            )
            found.row_version = version
            self._publish(found)
            LOG.info(
                'ownership: Took over %d ranges of %s.',
                len(row.segments),
                service,
                extra={'row_version': version, 'usual_holds': is_usual},
            )

    def prolong(self) -> bool:
        """Grant for long before this host stops, if the store is silent.

        Nobody can take over while the store is away, and the usual holds
        would run out meanwhile.

        :returns: Whether orders are about to be given.
        """
        if not self._is_active or self._term.silent_s <= ASK_S:
            return False
        self._silent_limit_s = ASK_S
        self.tick()
        return True

    def end(self):
        """Give no more orders."""
        self._is_active = False
        self._is_silent = self._wants_long_holds = False
        self._services = {}
        self._ended_checked = {}
        self.desk.close()

    def note_load(self, keys, speeds):
        """Take what a host has seen.

        :param keys: Keys of requests by service.
        :param speeds: Tuples of server id, seconds and number of answers.
        """
        for service, found in keys.items():
            if service in self._services:
                self._services[service].rates.note(found)
        for server_id, total_s, answers in speeds:
            self._capacities.note_speed(server_id, total_s, answers)

    def note_pause(self, life, host, pause_s):
        """Note that a server wants no request from a host.

        :param pause_s: Seconds from now.
        """
        self._capacities.note_pause(life, host, pause_s, self._scheduler.now())

    def _server_leaves(self, server):
        self._knowledge.note_leaving(server.life, 0.0, 'an answer to an order')

    def servers_changed(self, change):
        """Remember servers, so that orders reach those that have left."""
        for server in self._knowledge.registry.all():
            self._known_servers[server.life] = server

    def segments(self, service):
        """Return all segments of a service, for a host that connects."""
        return tuple(self._services[service].known.values())

    def tick(self):
        """Do what is due."""
        if not self._is_active or not self._term.holds:
            return
        now = self._scheduler.now()
        configuration = self._knowledge.configuration
        if configuration is None or not self._knowledge.registry.read_at:
            return
        for name, service in configuration.services.items():
            if service.is_keyed:
                self._tick_service(self._service(name), now)

    def _step_soon(self):
        """Order and publish what an answer has made possible."""
        if not self._will_step:
            self._will_step = True
            self._scheduler.call_later(STEP_S, self._step)

    def _step(self):
        self._will_step = False
        if not self._is_active or not self._term.holds:
            return
        now = self._scheduler.now()
        for service in self._services.values():
            for order in service.granter.due(now, self._hold_s()):
                self._give(order, service.granter, now)
            self._publish(service)

    def _hold_s(self):
        """Return how long new grants hold.

        While the store is silent nobody else can move keys, and renewals
        end with the right to grant, so all grants are made longer before.
        """
        self.consent.renewed(self._term.version)
        wishes = self._term.silent_s > ASK_S
        if wishes and not self._wants_long_holds:
            self._wants_long_holds = True
            for callback in self.on_wish:
                callback()
        self._wants_long_holds = wishes
        is_silent = (
            self._term.silent_s > self._silent_limit_s
            and self.consent.is_given
        )
        if is_silent and not self._is_silent:
            LOG.warning(
                'ownership: Grants are renewed for long, since the store is '
                'silent.',
                extra={'silent_s': round(self._term.silent_s, 2)},
            )
            for service in self._services.values():
                service.granter.renew_all(self._scheduler.now())
        self._is_silent = is_silent
        if is_silent:
            return self._hold_max_s * OUTAGE_HOLD_SHARE
        return managed_range.HOLD_S

    def _may_order(self, order):
        """Tell whether an order may be sent that may have waited.

        A long grant that waited until the right was renewed would follow the
        news that all holds are usual.
        """
        if not self._term.holds:
            return False
        is_long = (
            isinstance(order, granting.Grant)
            and order.hold_s > managed_range.HOLD_S
        )
        self.consent.renewed(self._term.version)
        return not is_long or (self._is_silent and self.consent.is_given)

    def _service(self, name):
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = _Service(name, self._hold_max_s)
        return found

    def _tick_service(self, service, now):
        granter = service.granter
        self._drop_ended(granter)
        for order in granter.due(now, self._hold_s()):
            self._give(order, granter, now)
        self._publish(service)
        if service.pending is not None:
            self._write(service)
            return
        layout = self._plan(service, now)
        if layout is not None:
            self._propose(service, layout)

    def _drop_ended(self, granter):
        registry = self._knowledge.registry
        if registry.read_at == self._ended_checked.get(granter.service):
            return
        self._ended_checked[granter.service] = registry.read_at
        lives = set(
            itertools.chain.from_iterable(
                found.exposures for found in granter.ranges
            )
        )
        for life in lives:
            known = self._known_servers.get(life)
            address = known.address if known is not None else None
            if registry.has_ended(life, address):
                successor = registry.successor(life)
                granter.note_ended(life, successor)
                self.desk.drop(life)
                LOG.info(
                    'ownership: %s is over; its keys are free.',
                    life[0],
                    extra={
                        'born_ms': life[1],
                        'born_again_ms': successor[1] if successor else None,
                    },
                )

    def _give(self, order, granter, now):
        is_grant = isinstance(order, granting.Grant)
        life = order.segment.owner if is_grant else order.life
        server = self._known_servers.get(life)
        if server is None:
            # Nobody knows its address, so the keys stay until they lapse.
            granter_failed = (
                granter.note_grant_failed
                if is_grant
                else granter.note_release_failed
            )
            granter_failed(order, now, was_sent=False)
            return
        self.desk.give(order, server, granter)

    # Plans.

    def _plan(self, service, now):
        """Return a new layout, or None to leave all keys where they are."""
        granter = service.granter
        servers = self._candidates(granter.service)
        if not servers:
            return None
        if not granter.ranges:
            if now - self._active_at < GATHER_S:
                return None
            return placement.initial([server.life for server in servers])
        service.rates.advance(now)
        losing = self._losing(service, now)
        loads = key_rates.LoadMap(service.rates.rates)
        found = self._capacities.of(servers, self._hosts(), now)

        def may_give(life, start, end):
            return granter.may_give(life, start, end, now)

        if losing:
            layout = placement.evacuate(
                granter.ranges, losing, found, loads, may_give
            )
            if layout != placement.layout_of(granter.ranges):
                return layout
        if granter.refused():
            return placement.layout_of(granter.ranges)
        if now - service.planned_at < BALANCE_S:
            return None
        service.planned_at = now
        if granter.unsettled > MAX_UNSETTLED:
            return None
        plan = placement.rebalance(granter.ranges, found, loads, may_give, now)
        if not plan.moves:
            return None
        LOG.info(
            'ownership: Load is to be balanced.',
            extra={
                'service': granter.service,
                'moves': plan.moves,
                'busiest_use': round(plan.busiest_use, 3),
                'mean_use': round(plan.mean_use, 3),
                'rate_per_s': round(service.rates.total(), 1),
            },
        )
        return plan.layout

    def _candidates(self, service):
        return [
            server
            for server in self._knowledge.registry.usable(service)
            if not self.desk.is_unreachable(server.life)
        ]

    def _losing(self, service, now):
        """Return the owners that are to lose all their keys."""
        granter = service.granter
        registry = self._knowledge.registry
        staying = {server.life for server in registry.usable(granter.service)}
        owners = {found.owner for found in granter.ranges}
        lapsed = {
            found.owner
            for found in granter.lapsed(now)
            if self.desk.is_unreachable(found.owner)
        }
        return (owners - staying) | lapsed

    # Writes.

    def _propose(self, service, layout):
        granter = service.granter
        write_id = f'{self._name}-{self._active_at}-{next(self._write_ids)}'
        segments, ends = granter.propose(layout, self._scheduler.now())
        latest = self._term.clock.latest
        held_until_s = tuple(tuple(map(latest, found)) for found in ends)
        try:
            value = key_rows.encode(
                key_rows.KeyRow(segments, write_id, held_until_s)
            )
        except key_rows.RowError as exc:
            LOG.error('ownership: The plan cannot be written: %s.', exc)
            return
        service.pending = _Pending(tuple(layout), value, write_id)
        self._write(service)

    def _write(self, service):
        pending = service.pending
        name = service.granter.service
        key = f'{store_reader.KEYS_PREFIX}{name}'

        def done(answer):
            if service.pending is not pending or not self._is_active:
                return
            if isinstance(answer, store_module.Written):
                self._commit(service, answer.version)
            elif isinstance(answer, store_module.Conflict):
                self._resolve(service, answer.rows, key)

        self._term.write_rows(
            (
                store_module.Condition(
                    store_reader.OWN_TABLE, key, service.row_version
                ),
            ),
            ((store_reader.OWN_TABLE, key, pending.value),),
            done,
        )

    def _resolve(self, service, rows, key):
        """Find out whether an earlier write of this plan was applied."""
        row = next((r for r in rows if r.key == key), None)
        if row is None or row.version == service.row_version:
            return
        try:
            found = key_rows.decode(row.value, row.version)
        except key_rows.RowError as exc:
            LOG.error('ownership: Row %s cannot be used: %s.', key, exc)
            return
        if found.write_id == service.pending.write_id:
            self._commit(service, row.version)

    def _commit(self, service, version):
        pending, service.pending = service.pending, None
        granter = service.granter
        now = self._scheduler.now()
        before = {found.segment() for found in granter.ranges}
        granter.commit(pending.layout, version, now)
        service.row_version = version
        moved = [s for s in granter.segments if s not in before]
        LOG.info(
            'ownership: Version %d of the owners of %s is written.',
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
            self._give(order, granter, now)
        self._publish(service)

    def _publish(self, service):
        """Tell the hosts what has changed about the owners."""
        if service.revision == service.granter.revision:
            return
        service.revision = service.granter.revision
        current = {}
        for found in service.granter.ranges:
            segment = found.segment()
            # A range that nobody holds yet cannot serve requests.
            if not segment.previous and not found.confirmed_until:
                segment = dataclasses.replace(
                    segment, previous=(segment.owner,)
                )
            current[segment.start] = segment
        changed = tuple(
            segment
            for start, segment in current.items()
            if service.known.get(start) != segment
        )
        if not changed:
            return
        service.known = current
        name = service.granter.service
        self._knowledge.apply_segments(name, changed)
        for callback in self.on_segments:
            callback(name, changed)
