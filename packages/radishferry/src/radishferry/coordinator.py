"""Implement the decisions of the coordinator of one server."""

from __future__ import annotations

import dataclasses
import itertools

from radishferry import actions
from radishferry import chart
from radishferry import holdings
from radishferry import lease


#: Interval between requests to a server that does not answer, in seconds.
RETRY_INTERVAL_S = 0.05
#: Interval at which requests to other coordinators are resent, in seconds.
REPEAT_INTERVAL_S = holdings.REPEAT_INTERVAL_S


@dataclasses.dataclass(frozen=True)
class LeaseAnswer:
    """Describe the response of a server to a lease request.

    :ivar reading: Reading of the server's clock.
    :ivar boot_id: Id of the server process; changes with each restart.
    :ivar seq: Sequence number of the request that was answered.
    :ivar previous_term: Highest term that the server had seen before the
        first request under the term of the answered request.
    :ivar ranges: Range id to epoch held, including revoked ranges on
        which work still runs.
    """

    reading: lease.ClockReading
    boot_id: str
    seq: int
    previous_term: int
    ranges: dict[int, int]


class Coordinator:
    """Manage the lease of one server and the set of ranges it may hold.

    Methods that process an event or a timer return a list of
    :mod:`radishferry.actions`, unless they only record it.  See "Lease" in
    ``docs/design.md`` for the rules.
    """

    def __init__(self, server: str, host: str, ranges: int, first_seq: int):
        """Initialise without a term.

        :param server: Name of the server.
        :param host: Name of this host.
        :param ranges: Number of hash ranges of the service.
        :param first_seq: A number above every sequence number used by an
            earlier process of this host, such as the wall clock in
            milliseconds.
        """
        self._server = server
        self._host = host
        self._seq = first_seq
        self._chart = chart.Chart('coordinator')
        self._assignment = None
        self._term = 0
        self._term_assignment = None
        self._takeovers = 0
        self._accepted_term = 0
        self._successors = set()
        self._refused_term = 0
        self._fenced_term = 0
        self._previous_fenced_term = 0
        self._timer = lease.LeaseTimer()
        self._boot_id = None
        self._in_flight = None
        self._next_send_at = 0.0
        self._handover_term = 0
        self._is_term_pending = False
        self._must_expire = False
        self._holdings = holdings.Holdings(server, ranges)
        self._query_id = 0
        self._awaited_replies = set()
        self._handover_targets = set()
        self._query_sent_at = float('-inf')
        self._next_repeat_at = 0.0

    @property
    def state(self) -> str:
        """Return the state of the state chart ``coordinator``."""
        return self._chart.state

    @property
    def term(self) -> int:
        """Return the term under which this host coordinates, 0 for none."""
        return self._term if self.state != 'waiting' else 0

    @property
    def takeovers(self) -> int:
        """Return the number of takeovers and server restarts handled here."""
        return self._takeovers

    @property
    def latest_expiry(self) -> float:
        """Return the time by which the server's lease has expired."""
        return self._timer.latest_expiry

    @property
    def can_take_over(self) -> bool:
        """Return whether this host has a reserved term not yet refused."""
        if self._assignment is None:
            return False
        term = self._assignment.term_of(self._host)
        return term is not None and term > self._refused_term

    @property
    def boot_id(self) -> str | None:
        """Return the boot id of the server, None before its first answer."""
        return self._boot_id

    @property
    def fenced_term(self) -> int:
        """Return the highest term sent to the server."""
        return self._fenced_term

    @property
    def base_term(self) -> int:
        """Return the base term of the latest known assignment."""
        return self._assignment.base_term if self._assignment else 0

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of the latest known assignment."""
        return self._assignment.hosts if self._assignment else ()

    @property
    def active(self) -> dict[int, int]:
        """Return range id to epoch of the ranges that accept work."""
        if self.state != 'serving':
            return {}
        return self._holdings.announced

    @property
    def orphans(self) -> dict[int, int]:
        """Return the ranges of the server that need a new epoch.

        :returns: Mapping of range id to the epoch in the table.
        """
        if self.state not in ('serving', 'lost'):
            return {}
        return self._holdings.orphans

    @property
    def holds_nothing(self) -> bool:
        """Return whether the server holds no range and is to get none."""
        known = self.state == 'lost' or (
            self.state == 'serving' and self._holdings.has_baseline
        )
        return known and self._holdings.is_empty

    def can_send_work(self, now) -> bool:
        """Return whether work may be sent to the server.

        :param now: Time in seconds.
        """
        return self.state == 'serving' and now < self._timer.valid_until

    def lease_margin(self, now) -> float:
        """Return the remaining time in which work may be sent, in seconds."""
        return max(0.0, self._timer.valid_until - now)

    # Terms and takeover.

    def assigned(self, assignment, now, *, is_other_live=False):
        """Process a coordinator assignment read from the table.

        :param assignment: A
            :class:`~radishferry.assignment.CoordinatorAssignment`.
        :param bool is_other_live: Whether another live host coordinates the
            server now; that host will hand it over.
        """
        if assignment.base_term <= self.base_term:
            return []
        self._assignment = assignment
        if self._host not in assignment.hosts:
            return self._stand_down()
        if self.state != 'waiting':
            return self._update_assignment(assignment, now)
        if assignment.hosts[0] == self._host and not is_other_live:
            return self.take_over(now)
        return []

    def _update_assignment(self, assignment, now):
        first = assignment.hosts[0]
        if first == self._host:
            return self.adopt_reserved_term(now)
        # The current term is lower than that of the first host, so that host
        # can take over.
        return [actions.HandOver(first)]

    def adopt_reserved_term(self, now):
        """Continue under the term reserved by the newest assignment."""
        term = self._assignment.term_of(self._host)
        if self.state == 'waiting' or term is None or term <= self._term:
            return []
        if self._term != self._accepted_term:
            # Only the answer to the first request under a term shows whether
            # another host coordinated the server in between.
            self._is_term_pending = True
            return []
        self._is_term_pending = False
        self._set_term(term)
        self._next_send_at = now
        return [actions.AnnounceCoordinator(term)]

    def take_over(self, now, *, handover_term=0):
        """Become the coordinator under the reserved term.

        :param int handover_term: Term of the coordinator that requested the
            takeover, 0 when none did.
        """
        if self._assignment is None or self.state != 'waiting':
            return []
        term = self._assignment.term_of(self._host)
        if term is None or term <= self._refused_term:
            return []
        self._handover_term = handover_term
        self._reset()
        self._takeovers += 1
        self._set_term(term)
        self._chart.fire('take_over')
        self._next_send_at = now
        return self.tick(now)

    def _set_term(self, term):
        self._term = term
        self._term_assignment = self._assignment
        # The successors of the last accepted assignment are kept: they may
        # have fenced the server before this term reached it.
        self._successors |= self._hosts_after_this()

    def _hosts_after_this(self):
        later = itertools.dropwhile(
            lambda host: host != self._host, self._term_assignment.hosts
        )
        return {*tuple(later)[1:]}

    def _accept_term(self, now):
        if self._accepted_term == self._term:
            return []
        self._accepted_term = self._term
        self._successors = self._hosts_after_this()
        return self.adopt_reserved_term(now) if self._is_term_pending else []

    def hand_over(self, host):
        """Record that a host was asked to take over.

        This host keeps coordinating until the server refuses its term, so a
        lost hand-over message does not leave the server without a
        coordinator.  The other host is asked whether it fenced the server
        before the server is declared lost.
        """
        self._handover_targets.add(host)

    def stand_down(self):
        """Stop coordinating the server."""
        return self._stand_down()

    # Responses of the server.

    def lease_answered(self, answer: LeaseAnswer, now):
        """Process the response to the last lease request."""
        if self._in_flight is None or answer.seq != self._in_flight[0]:
            return []
        _, sent_ranges, sent_term = self._in_flight
        self._in_flight = None
        if sent_term != self._term or self.state == 'waiting':
            return []
        if 0 < self._accepted_term < min(answer.previous_term, sent_term):
            # Another host has coordinated the server since then, and this
            # host has not seen the releases that it confirmed.
            return self._stand_down('superseded') + self.take_over(now)
        result = []
        if self._boot_id not in (None, answer.boot_id):
            result += self._handle_restart()
            # The new process ignored the ranges in the request.
            sent_ranges = None
        self._boot_id = answer.boot_id
        self._timer.answered(answer.reading)
        was_state = self.state
        if was_state == 'fencing':
            result += self._handle_fence_answer(answer, now)
        else:
            self._holdings.answered(answer.ranges, sent_ranges)
        if self._must_expire:
            self._must_expire = not self._holdings.is_within_desired
        if was_state == 'lapsing':
            self._timer.discard_expired(now)
        if self._chart.fire('answered'):
            # A renewal is sent immediately, because no work is sent before
            # the renewal is answered.
            self._next_send_at = now
            result.append(actions.StartWork())
            if was_state == 'fencing':
                result.append(actions.AnnounceCoordinator(self._term))
                # Until the fence the former coordinator could use further
                # epochs, so the rows are read only now.
                result.append(actions.ReadBaseline())
        result += self._accept_term(now)
        result += self._announce_routes()
        result += self._holdings.reply_releases(answer.seq)
        return result + self.tick(now)

    def lease_refused(self, seq, term, now):
        """Process a refusal of the server.

        :param seq: Sequence number of the refused request.
        :param term: Highest term that the server has seen.
        """
        if self._in_flight is None or seq != self._in_flight[0]:
            return []
        self._in_flight = None
        if term > self._term:
            self._refused_term = max(self._refused_term, term)
            return self._stand_down('superseded')
        # The sequence number was too low.
        self._seq += 1000
        self._next_send_at = now
        return []

    def lease_failed(self, now, *, connection_refused=False):
        """Process the failure of a lease request.

        :param bool connection_refused: Whether the connection was refused,
            which a running server does not do.
        """
        if connection_refused and self._in_flight is not None:
            # The request did not reach the server.
            self._fenced_term = self._previous_fenced_term
        self._in_flight = None
        self._next_send_at = now + RETRY_INTERVAL_S
        if self.state != 'serving':
            return []
        if not connection_refused and now < self._timer.valid_until:
            return []
        return self._start_loss_check()

    def probe(self, now):
        """Renew immediately to find out whether the server still runs."""
        if self.state != 'serving':
            return []
        self._next_send_at = now
        return self.tick(now)

    # Ranges.

    def baseline_read(self, rows, now):
        """Process the range assignments read from the table after a takeover.

        Epochs up to these existed before this host took over.  A former
        coordinator may have used and lost them, so they are not granted
        again.

        :param rows: Range id to
            :class:`~radishferry.assignment.RangeAssignment`.
        """
        self._holdings.set_baseline(rows)
        return self.ranges_assigned(rows, now)

    def ranges_assigned(self, rows, now):
        """Process range assignments of the service, new or already known.

        :param rows: Range id to
            :class:`~radishferry.assignment.RangeAssignment`.
        """
        self._holdings.take_rows(rows)
        if self.state == 'waiting':
            return []
        self._holdings.add_pending_grants(rows)
        return self._announce_routes() + self.tick(now)

    def release_requested(self, host, range_id, epoch, now):
        """Revoke a range below an epoch and confirm the release later.

        :param host: Host that requests the release.
        :param range_id: The range.
        :param epoch: The epoch that the new owner will use.
        """
        if self.state not in ('serving', 'lapsing', 'lost'):
            return []
        floors = self._holdings.revoke(range_id, epoch)
        if floors is None:
            return []
        # Only the answer to a request sent from now on proves that this host
        # still coordinates the server and that the server does not hold the
        # range.
        self._holdings.queue_release(host, range_id, epoch, self._seq, floors)
        if self.state == 'lost':
            return self._requery_successors()
        self._next_send_at = min(self._next_send_at, now)
        return self.tick(now)

    def released(self, server, range_id, epoch, now):
        """Process the release of a range by another server."""
        self._holdings.released(server, range_id, epoch)
        return self.tick(now)

    def promotion_requested(self, term, epochs, now):
        """Activate ranges for which the server is the standby.

        :param term: Term of the coordinator to which the request was sent;
            any other term than the current one is ignored.
        :param epochs: Range id to epoch.
        """
        if self.state != 'serving' or term != self._term:
            return []
        self._holdings.promote(epochs)
        self._next_send_at = min(self._next_send_at, now)
        return self.tick(now) + self._announce_routes(tuple(epochs))

    def route_seen(self, range_id, epoch):
        """Record that a range is active on another server under an epoch."""
        self._holdings.route_seen(range_id, epoch)

    def successor_replied(self, host, query_id, has_fenced, base_term, now):
        """Process a reply to :class:`~radishferry.actions.QuerySuccessors`.

        :param bool has_fenced: Whether the host has sent a fence under a
            term above the one in the query.
        :param base_term: Base term of the newest assignment that the host
            knows.
        """
        if query_id != self._query_id:
            return []
        if self.state not in ('lapsing', 'lost'):
            return []
        if has_fenced or base_term > self.base_term:
            return self._stand_down('superseded')
        self._awaited_replies.discard(host)
        if self.state == 'lost':
            return self._reply_releases_when_confirmed()
        return self._confirm_loss(now)

    # Timer.

    def tick(self, now):
        """Perform the actions that are due.

        :param now: Time in seconds.
        """
        if self.state == 'waiting':
            return []
        result = []
        if self.state == 'serving' and now >= self._timer.valid_until:
            if self._timer.valid_until:
                result += self._start_loss_check()
        if self.state == 'lapsing' and now >= self._timer.latest_expiry:
            result += self._query_successors(now)
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + REPEAT_INTERVAL_S
            result += self._holdings.repeat_promotions()
            if orphans := self.orphans:
                result.append(actions.AnnounceOrphans(orphans))
        if self.state == 'serving':
            result += self._holdings.advance(now)
        result += self._send_lease(now)
        return result

    def _send_lease(self, now):
        if self._in_flight is not None:
            return []
        changed = self._holdings.has_changed
        is_due = now >= self._next_send_at
        if not is_due and not (changed and self.state == 'serving'):
            return []
        self._seq += 1
        ranges = None
        expires_at_ms = 0.0
        if self.state != 'fencing':
            if changed or self.state != 'serving':
                ranges = dict(self._holdings.desired)
            if not self._must_expire:
                expires_at_ms = self._timer.expires_at_ms
                self._timer.sent()
        self._in_flight = (self._seq, ranges, self._term)
        self._previous_fenced_term = self._fenced_term
        self._fenced_term = max(self._fenced_term, self._term)
        self._next_send_at = now + lease.RENEW_INTERVAL_S
        return [
            actions.SendLease(
                self._term,
                self._seq,
                expires_at_ms,
                ranges,
                self._boot_id or '',
            )
        ]

    def _handle_fence_answer(self, answer, now):
        # The server may keep its ranges only if this host is in the
        # coordinator assignment of the former coordinator or was handed the
        # server by it.  A coordinator that finds its server lost asks only
        # these hosts whether they fenced it.
        same_assignment = (
            answer.previous_term >= self._term_assignment.base_term
        )
        # An equal term shows that no other host has coordinated the server
        # since the hand-over was requested.
        handed_over = answer.previous_term == self._handover_term > 0
        keeps = same_assignment or handed_over
        # Otherwise the lease is not extended until the server holds no
        # revoked ranges, because the former coordinator does not ask this
        # host before it declares the server lost at the expiry that it
        # computed.
        self._must_expire = not keeps
        self._holdings.fenced(answer.ranges, keeps=keeps)
        self._holdings.add_pending_grants()
        kept = tuple(self._holdings.desired)
        return [actions.RangesActivated(kept)] if kept else []

    def _handle_restart(self):
        # The new process has lost the highest term that it had seen, so it
        # accepts a host that was superseded without noticing.  The epochs
        # known so far may have been used by the superseding host.
        self._timer.forget_clock()
        self._takeovers += 1
        return [*self._holdings.restarted(), actions.ReadBaseline()]

    def _announce_routes(self, again=()):
        if self.state != 'serving':
            return []
        return self._holdings.announce(again)

    # Loss of the server.

    def _start_loss_check(self):
        self._chart.fire('unreachable')
        self._awaited_replies = set()
        self._query_id += 1
        self._query_sent_at = float('-inf')
        return [actions.StopWork(refuse_queued=False)]

    def _query_successors(self, now):
        if now < self._query_sent_at + REPEAT_INTERVAL_S:
            return []
        if self._query_sent_at == float('-inf'):
            self._awaited_replies = self._successors | self._handover_targets
        self._query_sent_at = now
        if not self._awaited_replies:
            return self._confirm_loss(now)
        waiting = tuple(sorted(self._awaited_replies))
        return [
            actions.QuerySuccessors(
                waiting, self._query_id, self._accepted_term
            )
        ]

    def _confirm_loss(self, now):
        if self._awaited_replies or now < self._timer.latest_expiry:
            return []
        self._chart.fire('loss_confirmed')
        self._timer.forget_clock()
        result = self._holdings.declare_lost()
        result.append(actions.StopWork(refuse_queued=True, is_lost=True))
        return result + self._reply_releases_when_confirmed()

    def _requery_successors(self):
        # A successor may have taken over the server since it was declared
        # lost, and may have granted it further epochs.
        self._query_id += 1
        self._awaited_replies = self._successors | self._handover_targets
        if not self._awaited_replies:
            return self._reply_releases_when_confirmed()
        return [
            actions.QuerySuccessors(
                tuple(sorted(self._awaited_replies)),
                self._query_id,
                self._accepted_term,
            )
        ]

    def _reply_releases_when_confirmed(self):
        if self._awaited_replies:
            return []
        return self._holdings.reply_all_releases()

    # End of the term.

    def _stand_down(self, event='stand_down'):
        if not self._chart.fire(event):
            return []
        self._reset()
        return [actions.StopWork(refuse_queued=True)]

    def _reset(self):
        self._in_flight = None
        self._accepted_term = 0
        self._successors = set()
        self._is_term_pending = False
        self._must_expire = False
        self._timer = lease.LeaseTimer()
        self._boot_id = None
        self._holdings.reset()
        self._awaited_replies = set()
        self._handover_targets = set()
