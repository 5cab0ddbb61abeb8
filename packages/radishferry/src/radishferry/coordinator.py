"""Decide for the coordinator of one server."""

from __future__ import annotations

import dataclasses
import itertools

from radishferry import actions
from radishferry import chart
from radishferry import holdings
from radishferry import lease


#: Time between attempts to reach a server that does not answer, in seconds.
RETRY_INTERVAL_S = 0.05
#: Time between repeated requests to other coordinators, in seconds.
REPEAT_INTERVAL_S = holdings.REPEAT_INTERVAL_S


@dataclasses.dataclass(frozen=True)
class LeaseAnswer:
    """Hold what a server answered to a lease request.

    :ivar reading: The server's clock.
    :ivar boot_id: Changes when the server process was restarted.
    :ivar seq: Sequence number of the request that was answered.
    :ivar previous_term: Highest term that the server had seen before the
        first request under the term of this one.
    :ivar ranges: Range id to epoch held, including revoked ranges that
        still run work.
    """

    reading: lease.ClockReading
    boot_id: str
    seq: int
    previous_term: int
    ranges: dict[int, int]


class Coordinator:
    """Keep the lease of one server and the set of ranges it may hold.

    Every method returns a list of :mod:`radishferry.actions`.  See "Lease"
    in ``docs/design.md`` for the rules.
    """

    def __init__(self, server: str, host: str, ranges: int, first_seq: int):
        """Begin without a term.

        :param server: Name of the server.
        :param host: Name of this host.
        :param ranges: Number of hash ranges of the service.
        :param first_seq: Above every sequence number that an earlier process
            of this host used; the wall clock in milliseconds will do.
        """
        self._server = server
        self._host = host
        self._seq = first_seq
        self._chart = chart.Chart('coordinator')
        self._assignment = None
        self._term = 0
        self._list = None
        self._takeovers = 0
        self._accepted_term = 0
        self._successors = set()
        self._refused_term = 0
        self._fenced_term = 0
        self._earlier_fence = 0
        self._timer = lease.LeaseTimer()
        self._boot_id = None
        self._outstanding = None
        self._next_send_at = 0.0
        self._handover_term = 0
        self._is_confirming = False
        self._must_lapse = False
        self._holdings = holdings.Holdings(server, ranges)
        self._query_id = 0
        self._query_waits_for = set()
        self._handed_to = set()
        self._query_sent_at = float('-inf')
        self._next_repeat_at = 0.0

    @property
    def state(self) -> str:
        """Return the state of the chart ``coordinator``."""
        return self._chart.state

    @property
    def term(self) -> int:
        """Return the term under which this host acts, 0 for none."""
        return self._term if self.state != 'waiting' else 0

    @property
    def takeovers(self) -> int:
        """Return how often this host took the server over."""
        return self._takeovers

    @property
    def lapsed_at(self) -> float:
        """Return from when the server's lease has surely lapsed."""
        return self._timer.lapsed_at

    @property
    def can_take_over(self) -> bool:
        """Tell whether the reserved term was not refused before."""
        if self._assignment is None:
            return False
        term = self._assignment.term_of(self._host)
        return term is not None and term > self._refused_term

    @property
    def boot_id(self) -> str | None:
        """Return the boot id of the server, None before it answered."""
        return self._boot_id

    @property
    def fenced_term(self) -> int:
        """Return the highest term sent to the server."""
        return self._fenced_term

    @property
    def base_term(self) -> int:
        """Return the base term of the assignment known."""
        return self._assignment.base_term if self._assignment else 0

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of the assignment known."""
        return self._assignment.hosts if self._assignment else ()

    @property
    def active(self) -> dict[int, int]:
        """Return range id to epoch of the ranges open for work."""
        if self.state != 'serving':
            return {}
        return self._holdings.announced

    @property
    def orphans(self) -> dict[int, int]:
        """Return ranges assigned here that need a new epoch."""
        if self.state not in ('serving', 'lost'):
            return {}
        return self._holdings.orphans

    @property
    def holds_nothing(self) -> bool:
        """Tell whether the server holds no range and will get none."""
        known = self.state == 'lost' or (
            self.state == 'serving' and self._holdings.has_baseline
        )
        return known and self._holdings.is_empty

    def may_work(self, now) -> bool:
        """Tell whether work may be sent to the server.

        :param now: Time in seconds.
        """
        return self.state == 'serving' and now < self._timer.valid_until

    def lease_margin(self, now) -> float:
        """Return for how long work may still be sent, in seconds."""
        return max(0.0, self._timer.valid_until - now)

    # Who acts.

    def assigned(self, assignment, now, *, is_other_live=False):
        """Take over a coordinator assignment from the table.

        :param assignment: A
            :class:`~radishferry.assignment.CoordinatorAssignment`.
        :param bool is_other_live: Whether another live host acts now; it
            will hand over.
        """
        if assignment.base_term <= self.base_term:
            return []
        self._assignment = assignment
        if self._host not in assignment.hosts:
            return self._stand_down()
        if self.state != 'waiting':
            return self._adopt(assignment, now)
        if assignment.hosts[0] == self._host and not is_other_live:
            return self.take_over(now)
        return []

    def _adopt(self, assignment, now):
        first = assignment.hosts[0]
        if first == self._host:
            return self.confirm_term(now)
        # The present term is below that of the first host, which can thus
        # take over.
        return [actions.HandOver(first)]

    def confirm_term(self, now):
        """Go on acting under the term of the newest assignment."""
        term = self._assignment.term_of(self._host)
        if self.state == 'waiting' or term is None or term <= self._term:
            return []
        if self._term != self._accepted_term:
            # Only the answer to the first request under a term tells whether
            # another host acted in between.
            self._is_confirming = True
            return []
        self._is_confirming = False
        self._set_term(term)
        self._next_send_at = now
        return [actions.AnnounceCoordinator(term)]

    def take_over(self, now, *, handover_term=0):
        """Become the coordinator under the reserved term.

        :param int handover_term: Term of the coordinator that asked for it,
            0 without one.
        """
        if self._assignment is None or self.state != 'waiting':
            return []
        term = self._assignment.term_of(self._host)
        if term is None or term <= self._refused_term:
            return []
        self._handover_term = handover_term
        self._forget()
        self._takeovers += 1
        self._set_term(term)
        self._chart.fire('take_over')
        self._next_send_at = now
        return self.tick(now)

    def _set_term(self, term):
        self._term = term
        self._list = self._assignment
        # Successors of the list accepted last remain: they may have fenced
        # the server before this term reached it.
        self._successors |= self._later_hosts()

    def _later_hosts(self):
        later = itertools.dropwhile(
            lambda host: host != self._host, self._list.hosts
        )
        return {*tuple(later)[1:]}

    def _accept_term(self, now):
        if self._accepted_term == self._term:
            return []
        self._accepted_term = self._term
        self._successors = self._later_hosts()
        return self.confirm_term(now) if self._is_confirming else []

    def hand_over(self, host):
        """Note that a host was asked to take over.

        This host acts until the server refuses its term; a hand-over that
        gets lost so leaves nobody without a coordinator.  The other host is
        asked about its fence before the server is declared lost.
        """
        self._handed_to.add(host)

    def stand_down(self):
        """Stop acting."""
        return self._stand_down()

    # Answers of the server.

    def lease_answered(self, answer: LeaseAnswer, now):
        """Take the answer to the last lease request."""
        if self._outstanding is None or answer.seq != self._outstanding[0]:
            return []
        _, sent_ranges, sent_term = self._outstanding
        self._outstanding = None
        if sent_term != self._term or self.state == 'waiting':
            return []
        if 0 < self._accepted_term < min(answer.previous_term, sent_term):
            # Another host acted since, and this one missed its releases.
            return self._stand_down('superseded') + self.take_over(now)
        result = []
        if self._boot_id not in (None, answer.boot_id):
            result += self._restarted()
            # The new process ignored them.
            sent_ranges = None
        self._boot_id = answer.boot_id
        self._timer.answered(answer.reading)
        was_state = self.state
        if was_state == 'fencing':
            result += self._fenced(answer, now)
        else:
            self._holdings.answered(answer.ranges, sent_ranges)
        if self._must_lapse:
            self._must_lapse = not self._holdings.is_within_desired
        if was_state == 'lapsing':
            self._timer.discard_expired(now)
        if self._chart.fire('answered'):
            # A renewal is sent at once: no work is sent before it is
            # answered.
            self._next_send_at = now
            result.append(actions.StartWork())
            if was_state == 'fencing':
                result.append(actions.AnnounceCoordinator(self._term))
                # Until now the last coordinator could use further epochs.
                result.append(actions.ReadBaseline())
        result += self._accept_term(now)
        result += self._announce()
        result += self._holdings.reply_releases(answer.seq)
        return result + self.tick(now)

    def lease_refused(self, seq, term, now):
        """Take a refusal of the server.

        :param seq: Sequence number of the refused request.
        :param term: Highest term that the server has seen.
        """
        if self._outstanding is None or seq != self._outstanding[0]:
            return []
        self._outstanding = None
        if term > self._term:
            self._refused_term = max(self._refused_term, term)
            return self._stand_down('superseded')
        # The sequence number was too low.
        self._seq += 1000
        self._next_send_at = now
        return []

    def lease_failed(self, now, *, refused=False):
        """Note that a lease request got no answer.

        :param bool refused: Whether the connection was refused, which a
            running server does not do.
        """
        if refused and self._outstanding is not None:
            # The fence never reached the server.
            self._fenced_term = self._earlier_fence
        self._outstanding = None
        self._next_send_at = now + RETRY_INTERVAL_S
        if self.state != 'serving':
            return []
        if not refused and now < self._timer.valid_until:
            return []
        return self._unreachable()

    def probe(self, now):
        """Renew at once, to learn whether the server still runs."""
        if self.state != 'serving':
            return []
        self._next_send_at = now
        return self.tick(now)

    # Ranges.

    def baseline_read(self, rows, now):
        """Take the range assignments read from the table after take-over.

        Epochs up to these were known before this host acted, and may have
        been used and lost; they are not granted anew.

        :param rows: Range id to
            :class:`~radishferry.assignment.RangeAssignment`.
        """
        self._holdings.read_baseline(rows)
        return self.ranges_assigned(rows, now)

    def ranges_assigned(self, rows, now):
        """Take range assignments of the service, new or known.

        :param rows: Range id to
            :class:`~radishferry.assignment.RangeAssignment`.
        """
        self._holdings.take_rows(rows)
        if self.state == 'waiting':
            return []
        self._holdings.plan(rows)
        return self._announce() + self.tick(now)

    def release_requested(self, host, range_id, epoch, now):
        """Give up a range below an epoch and confirm it later.

        :param host: Host that asks.
        :param range_id: The range.
        :param epoch: The epoch that the new owner will use.
        """
        if self.state not in ('serving', 'lapsing', 'lost'):
            return []
        floors = self._holdings.revoke(range_id, epoch)
        if floors is None:
            return []
        # Only an answer to a request sent from now on proves that this host
        # still acts and that the server does not hold the range.
        self._holdings.owe_release(host, range_id, epoch, self._seq, floors)
        if self.state == 'lost':
            return self._ask_again()
        self._next_send_at = min(self._next_send_at, now)
        return self.tick(now)

    def released(self, server, range_id, epoch, now):
        """Take the release of a range by another server."""
        self._holdings.released(server, range_id, epoch)
        return self.tick(now)

    def promoted(self, term, epochs, now):
        """Activate ranges for which the server is the standby.

        :param term: Term of the coordinator that the sender addressed.
        :param epochs: Range id to epoch.
        """
        if self.state != 'serving' or term != self._term:
            return []
        self._holdings.promote(epochs)
        self._next_send_at = min(self._next_send_at, now)
        return self.tick(now) + self._announce(tuple(epochs))

    def route_seen(self, range_id, epoch):
        """Note that a range is active elsewhere under an epoch."""
        self._holdings.route_seen(range_id, epoch)

    def successor_replied(self, host, query_id, has_fenced, base_term, now):
        """Take the reply to :class:`~radishferry.actions.QuerySuccessors`.

        :param bool has_fenced: Whether the host has sent a fence under a
            term above the one in the query.
        :param base_term: Base term of the newest assignment it knows.
        """
        if query_id != self._query_id:
            return []
        if self.state not in ('lapsing', 'lost'):
            return []
        if has_fenced or base_term > self.base_term:
            return self._stand_down('superseded')
        self._query_waits_for.discard(host)
        if self.state == 'lost':
            return self._reply_lost()
        return self._confirm_loss(now)

    # Time.

    def tick(self, now):
        """Do what is due.

        :param now: Time in seconds.
        """
        if self.state == 'waiting':
            return []
        result = []
        if self.state == 'serving' and now >= self._timer.valid_until:
            if self._timer.valid_until:
                result += self._unreachable()
        if self.state == 'lapsing' and now >= self._timer.lapsed_at:
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
        if self._outstanding is not None:
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
            if not self._must_lapse:
                expires_at_ms = self._timer.expires_at_ms
                self._timer.sent()
        self._outstanding = (self._seq, ranges, self._term)
        self._earlier_fence = self._fenced_term
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

    def _fenced(self, answer, now):
        # Only a host of the same list as the last coordinator, or one to
        # which that one handed over, may keep the ranges: a coordinator that
        # finds its server lost asks just these hosts for their fences.
        same_list = answer.previous_term >= self._list.base_term
        # The term shows that nobody acted since it asked.
        handed_over = answer.previous_term == self._handover_term > 0
        keeps = same_list or handed_over
        # Work on revoked ranges may not outlive the bound of the last
        # coordinator, which does not ask this host.
        self._must_lapse = not keeps
        self._holdings.fenced(answer.ranges, keeps=keeps)
        self._holdings.plan()
        taken = tuple(self._holdings.desired)
        return [actions.RangesTaken(taken)] if taken else []

    def _restarted(self):
        # The new process has forgotten the terms it saw, so that a host that
        # was superseded unnoticed is accepted again.  Epochs known by now may
        # have been used by the host that superseded it.
        self._timer.forget_clock()
        self._takeovers += 1
        return [*self._holdings.restarted(), actions.ReadBaseline()]

    def _announce(self, again=()):
        if self.state != 'serving':
            return []
        return self._holdings.announce(again)

    # Loss of the server.

    def _unreachable(self):
        self._chart.fire('unreachable')
        self._query_waits_for = set()
        self._query_id += 1
        self._query_sent_at = float('-inf')
        return [actions.StopWork(give_up=False)]

    def _query_successors(self, now):
        if now < self._query_sent_at + REPEAT_INTERVAL_S:
            return []
        if self._query_sent_at == float('-inf'):
            self._query_waits_for = self._successors | self._handed_to
        self._query_sent_at = now
        if not self._query_waits_for:
            return self._confirm_loss(now)
        waiting = tuple(sorted(self._query_waits_for))
        return [
            actions.QuerySuccessors(
                waiting, self._query_id, self._accepted_term
            )
        ]

    def _confirm_loss(self, now):
        if self._query_waits_for or now < self._timer.lapsed_at:
            return []
        self._chart.fire('loss_confirmed')
        self._timer.forget_clock()
        result = self._holdings.lose()
        result.append(actions.StopWork(give_up=True, is_lost=True))
        return result + self._reply_lost()

    def _ask_again(self):
        # A successor may have taken the server over since it was lost, and
        # have granted it further epochs.
        self._query_id += 1
        self._query_waits_for = self._successors | self._handed_to
        if not self._query_waits_for:
            return self._reply_lost()
        return [
            actions.QuerySuccessors(
                tuple(sorted(self._query_waits_for)),
                self._query_id,
                self._accepted_term,
            )
        ]

    def _reply_lost(self):
        if self._query_waits_for:
            return []
        return self._holdings.reply_all_releases()

    # End of the term.

    def _stand_down(self, event='stand_down'):
        if not self._chart.fire(event):
            return []
        self._forget()
        return [actions.StopWork(give_up=True)]

    def _forget(self):
        self._outstanding = None
        self._accepted_term = 0
        self._successors = set()
        self._is_confirming = False
        self._must_lapse = False
        self._timer = lease.LeaseTimer()
        self._boot_id = None
        self._holdings.forget()
        self._query_waits_for = set()
        self._handed_to = set()
