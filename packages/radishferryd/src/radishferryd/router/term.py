"""Acquire, renew and release leadership.

Leadership is a row of the store. It names the granting host: the only host
that may grant keys to servers until its term ends.
"""

from __future__ import annotations

import itertools
import logging
import random

from radishferry.direct import eras as eras_module
from radishferry.direct import leadership
from radishferryd.platform import store as store_module
from radishferryd.router import store_reader

LOG = logging.getLogger(__name__)

#: Maximum random delay in seconds before a host tries to acquire leadership or
#: reads its row, so that not all hosts call the store at the same moment.
MAX_JITTER_S = 0.25
#: Bandwidth in Mbit/s below which a host lets other hosts acquire leadership
#: first. After a change of the granting host, the new one sends its whole
#: state to all other hosts at once: about 50 kB each, or 15 kB compressed.
FAST_LINK_MBPS = 100.0
#: Additional delay in seconds before a host with a slow link tries to acquire
#: leadership: the maximum delay of the other hosts and their call to the
#: store.
SLOW_LINK_WAIT_S = 0.4
#: Additional delay in seconds before a host that reaches no server tries to
#: acquire leadership: another host should be the granting host. It still
#: tries, since the servers of all hosts may have failed.
ISOLATED_WAIT_S = 1.0
#: Seconds between reads of the row while there is no link to the granting
#: host.
POLL_INTERVAL_S = 1.0
#: Timeout of a write in seconds; leaves time for a second renewal before the
#: term ends. A write normally takes 5 ms, and up to a hundred times as
#: long when the store is slow.
WRITE_TIMEOUT_S = 0.7
#: Delay in seconds before a failed renewal is repeated.
RENEW_RETRY_S = 0.15
#: Seconds after the expected end of another host's term at which the row is
#: read again.
END_MARGIN_S = 0.15
#: Additional delay in seconds before a host takes over after a restore if it
#: has not granted lately: the one that has knows who holds keys. Longer than
#: two random delays.
RESTORED_WAIT_S = 0.6
#: Seconds after the last renewal of a host for which it has granted lately;
#: the longest leases have ended by then.
RECENT_TERM_S = 12.0
#: Start of the keys of rows that exist once leadership was written in the era
#: whose number follows. A write of an earlier era requires that its successor
#: has no such row, since a version may be given out again in a later era.
ERA_PREFIX = 'era/'
#: Number of eras that are marked so at once; leadership may not have been
#: written in the last ones. An unanswered write is executed seconds later at
#: most, and a restore takes longer.
MARKED_ERAS = 4


class LeaderElector:
    """Watch the leadership row, and acquire leadership when it is free."""

    def __init__(
        self,
        store,
        scheduler,
        owner,
        name,
        address,
        incarnation,
        link_mbps,
        eras=None,
        is_first_start=True,
    ):
        """Create an elector that does not hold leadership.

        :param owner: Offers ``term_taken()``, ``term_lost()``,
            ``granter_found(term)``, ``needs_granter()``,
            ``owners_read(rows)``, ``rows_restored(rows)``,
            ``note_store_answer(answer)`` and ``reaches_servers()``.
        :param name: Name of this host.
        :param address: Address of this host for links, as ``ip:port``.
        :param incarnation: Distinguishes restarts of this host.
        :param link_mbps: Bandwidth of this host in Mbit/s.
        :param eras: The :class:`~radishferry.direct.eras.Eras` of the store.
        :param is_first_start: Whether all hosts of the deployment start
            together for the first time.
        """
        self._store = store
        self._scheduler = scheduler
        self._owner = owner
        self._name = name
        self._address = address
        self._incarnation = incarnation
        self._slow_link_wait_s = (
            SLOW_LINK_WAIT_S if link_mbps < FAST_LINK_MBPS else 0.0
        )
        self._eras = eras or eras_module.Eras()
        self._is_first_start = is_first_start
        self._clock = leadership.StoreClock()
        self._clock_era = None
        self._nonces = itertools.count(1)
        #: Version of the row and the era in which the store gave it.
        self._version = 0
        self._era = None
        self._marked_era = None
        self._valid_until = 0.0
        self._renew_at = 0.0
        self._holds = False
        self._is_call_in_flight = False
        self._is_stopping = False
        self._is_resigning = False
        self._poll_timer = None
        self._renewed_at = 0.0
        self._observed_term = None
        self._observed_version = 0
        self._is_observed_restored = False
        self._has_usual_holds = False

    @property
    def holds(self) -> bool:
        """Return whether this host holds leadership now."""
        return self._holds and self._scheduler.now() < self._valid_until

    @property
    def version(self) -> int:
        """Return the version of the row as a number that orders all eras."""
        return eras_module.stamp(self._era, self._version)

    @property
    def era(self) -> int | None:
        """Return the era of the store for which rows are written."""
        return self._era

    @property
    def is_previous_restored(self) -> bool:
        """Return whether the previous row is from before a restore.

        Another host may then have held leadership later, and its rows are
        lost.
        """
        return self._is_observed_restored

    @property
    def may_lack_rows(self) -> bool:
        """Return whether services without a row may have had one.

        The host that had leadership before may have written it before a
        restore. Only where there was none, all services are new.
        """
        return bool(self._era) and (
            self._is_observed_restored or self._observed_term is not None
        )

    def is_lost(self, era) -> bool:
        """Return whether later rows than one of an era may be lost.

        :param era: Era for which the row was written, None if it names none.
        """
        if era is None:
            return self._is_observed_restored
        return self._era is not None and era < self._era

    @property
    def clock(self) -> leadership.StoreClock:
        """Return the estimate of the store's clock."""
        return self._clock

    @property
    def previous_ended_at(self) -> float | None:
        """Return the latest time at which the previous term can have ended.

        :returns: Seconds on the local clock, None if the end is not known.
        """
        if (
            self._observed_term is None
            or self._is_observed_restored
            or not self._observed_term.until_store_s
        ):
            return None
        return self._clock.passed_at(self._observed_term.until_store_s)

    @property
    def previous_version(self) -> int:
        """Return the last row version of the previous host's term.

        :returns: A number that orders all eras, -1 if it is lost.
        """
        if self._is_observed_restored:
            return -1
        return eras_module.stamp(self._era, self._observed_version)

    @property
    def previous_had_usual_holds(self) -> bool:
        """Return whether the previous host left usual holds only.

        Only a host that released leadership records this in the row.
        """
        term = self._observed_term
        return (
            term is not None
            and not self._is_observed_restored
            and not term.host
            and term.has_usual_holds
        )

    @property
    def silent_s(self) -> float:
        """Return the seconds since the last successful renewal."""
        return self._scheduler.now() - self._renewed_at

    def poll_soon(self, delay_s=0.0):
        """Schedule a read of the row, unless one is scheduled already."""
        if self._holds or self._is_stopping or self._poll_timer is not None:
            return
        self._poll_timer = self._scheduler.call_later(delay_s, self._poll)

    def tick(self):
        """Renew leadership when due, and detect the end of the term."""
        if not self._holds:
            return
        now = self._scheduler.now()
        if now >= self._valid_until:
            self._lose('it was not renewed in time')
        elif self._is_call_in_flight:
            return
        elif self._is_outdated:
            self._check_write(now)
        elif now >= self._renew_at:
            self._write(self._name, leadership.TERM_S, ())

    def write_rows(self, conditions, writes, done):
        """Write rows on condition that this host still holds leadership.

        The same transaction renews leadership.

        :param conditions: Further conditions of the transaction.
        :param writes: Tuples of table, key and value.
        :param done: Called with the answer of the store, or with None if
            another call is in flight or this host does not hold leadership.
        """
        if self._is_call_in_flight or self._is_outdated or not self.holds:
            done(None)
            return
        self._write(
            self._name, leadership.TERM_S, writes, conditions, done=done
        )

    def release(self, has_usual_holds):
        """Release leadership, so that another host can acquire it at once.

        :param bool has_usual_holds: Whether no server has a lease longer than
            usual.
        """
        self._is_stopping = True
        self._release(has_usual_holds)

    def resign(self, has_usual_holds):
        """Release leadership, and look for the host that acquires it.

        :param bool has_usual_holds: See :meth:`release`.
        """
        self._is_resigning = self.holds
        self._release(has_usual_holds)

    def _release(self, has_usual_holds):
        self._has_usual_holds = has_usual_holds
        if not self.holds:
            return
        self._holds = False
        if not self._is_call_in_flight:
            self._write('', 0.0, ())
        LOG.info('term: Released leadership.')

    # Another host's term.

    def _poll(self):
        self._poll_timer = None
        if self._holds or self._is_stopping:
            return
        if not self._owner.needs_granter():
            return

        def handle(answer):
            if not self._owner.note_store_answer(answer):
                self._schedule_poll(POLL_INTERVAL_S)
                return
            self._note_clock(answer, answer.sent_at)
            # The same table holds the key owners; without a granting host
            # there is no other source for them.
            self._owner.owners_read(answer.rows)
            self._handle_rows(answer)

        self._store.read(store_reader.OWN_TABLE, handle)

    def _handle_rows(self, answer):
        row, term = _term_row(answer.rows)
        self._version = row.version if row is not None else 0
        self._era = answer.era
        self._observed_term, self._observed_version = term, self._version
        self._is_observed_restored = self._is_restored(term)
        now = self._scheduler.now()
        store_clock_s = self._clock.earliest(now)
        unsettled_s = self._eras.seen_at + leadership.TERM_S - now
        if self._is_observed_restored and unsettled_s > 0:
            # A term that was renewed in the lost seconds may last until
            # then. The host that has it claims it again.
            if term is not None and term.host not in ('', self._name):
                self._owner.granter_found(term)
            self._schedule_poll(min(POLL_INTERVAL_S, unsettled_s))
            return
        if (
            term is None
            or term.has_ended(store_clock_s)
            or self._is_of_earlier_process(term)
        ):
            delay_s = self._slow_link_wait_s + random.uniform(0, MAX_JITTER_S)
            if not self._owner.reaches_servers():
                delay_s += ISOLATED_WAIT_S
            if self._is_observed_restored and self.silent_s > RECENT_TERM_S:
                delay_s += RESTORED_WAIT_S
            observed = self._era, self._version
            self._scheduler.call_later(
                delay_s, lambda: self._acquire(observed)
            )
            return
        if not self._is_own(term):
            self._owner.granter_found(term)
        remaining_s = term.until_store_s - store_clock_s + END_MARGIN_S
        self._schedule_poll(min(POLL_INTERVAL_S, remaining_s))

    def _is_restored(self, term):
        """Return whether the store may have lost later rows than this one.

        :param term: The decoded row, None without one.
        """
        if not self._era:
            return False
        if term is None:
            return bool(self._eras.changes) or not self._is_first_start
        if term.era is None:
            # Written by a host that runs an older version.
            return bool(self._eras.changes)
        return term.era < self._era

    @property
    def _is_outdated(self):
        """Return whether the known row is from before a restore."""
        return self._eras.current is not None and (
            self._eras.current != self._era
        )

    def _note_clock(self, answer, sent_at):
        if answer.era != self._clock_era:
            # The clock of another store, for all that is known.
            self._clock, self._clock_era = leadership.StoreClock(), answer.era
        self._clock.note(answer.store_clock_s, sent_at, self._scheduler.now())

    def _is_of_earlier_process(self, term):
        # This process runs, so an earlier process of this host has ended.
        return term.host == self._name and (
            term.incarnation != self._incarnation
        )

    def _schedule_poll(self, delay_s):
        self.poll_soon(delay_s + random.uniform(0, MAX_JITTER_S))

    def _acquire(self, observed):
        if self._holds or self._is_call_in_flight or self._is_stopping:
            return
        if (self._era, self._version) != observed:
            # The row has changed during the delay, so another host may have
            # acquired leadership. A write on condition of the newer version
            # would overwrite its row before its term ends.
            return
        if not self._owner.needs_granter():
            return
        if self._is_outdated:
            self._schedule_poll(0.0)
            return
        self._write(self._name, leadership.TERM_S, ())

    # Writes.

    def _write(self, host, term_s, writes, conditions=(), done=None):
        now = self._scheduler.now()
        term = leadership.Term(
            host,
            self._address,
            self._incarnation,
            # A released term has ended by now: its end is the latest time
            # that the store's clock may show.
            self._clock.earliest(now) + term_s
            if host
            else self._clock.latest(now),
            next(self._nonces),
            not host and self._has_usual_holds,
            self._era,
        )
        guards, marks = self._era_guards()
        self._is_call_in_flight = True
        self._store.transact(
            (
                store_module.Condition(
                    store_reader.OWN_TABLE,
                    store_reader.TERM_KEY,
                    self._version,
                    self._era,
                ),
                *guards,
                *conditions,
            ),
            (
                (
                    store_reader.OWN_TABLE,
                    store_reader.TERM_KEY,
                    term.encode(),
                ),
                *marks,
                *writes,
            ),
            lambda answer: self._handle_answer(term, now, answer, done),
            WRITE_TIMEOUT_S,
        )

    def _era_guards(self):
        """Return conditions and writes that make writes fail in a later era.

        A write without an answer may be executed after a restore, when its
        other conditions may hold by chance.
        """
        if self._era is None:
            return (), ()
        guard = store_module.Condition(
            store_reader.OWN_TABLE, f'{ERA_PREFIX}{self._era + 1}', 0
        )
        marked = range(max(1, self._era - MARKED_ERAS + 1), self._era + 1)
        if self._marked_era == self._era:
            marked = ()
        return (guard,), tuple(
            (store_reader.OWN_TABLE, f'{ERA_PREFIX}{era}', b'{}')
            for era in marked
        )

    def _handle_answer(self, term, sent_at, answer, done):
        self._is_call_in_flight = False
        is_resigning, self._is_resigning = self._is_resigning, False
        usable = self._owner.note_store_answer(answer)
        now = self._scheduler.now()
        if isinstance(answer, store_module.Written):
            self._note_clock(answer, sent_at)
            self._marked_era = answer.era
            self._handle_success(term, answer.version, sent_at, is_resigning)
        elif isinstance(answer, store_module.Conflict):
            self._note_clock(answer, sent_at)
            self._handle_conflict(answer)
        elif self._holds:
            self._renew_at = now + RENEW_RETRY_S
            if answer.may_have_run:
                self._check_write(sent_at)
        elif not usable:
            self._schedule_poll(RENEW_RETRY_S)
        if done is not None:
            done(answer)

    def _check_write(self, sent_at):
        """Read the row after a write whose result is unknown, or a restore."""

        def handle(answer):
            self._is_call_in_flight = False
            if self._owner.note_store_answer(answer) and self._holds:
                self._note_clock(answer, answer.sent_at)
                self._handle_check(answer, sent_at)

        self._is_call_in_flight = True
        self._store.read(store_reader.OWN_TABLE, handle)

    def _handle_check(self, answer, sent_at):
        row, term = _term_row(answer.rows)
        if answer.era != self._era:
            self._handle_restored(answer, row, term)
            return
        if term is not None and self._is_own(term):
            if row.version == self._version:
                pass
            elif term.era == self._era:
                self._handle_success(term, row.version, sent_at)
            else:
                # A write from before a restore, executed late. Others do not
                # take it for a renewal.
                self._version = row.version
            self._renew_at = self._scheduler.now()
        else:
            self._lose('another host holds it')

    def _handle_restored(self, answer, row, term):
        """Claim leadership again after the store was restored.

        The row is one of those before the lost ones, so it proves neither
        that a renewal succeeded nor that another host holds leadership. The
        term does not get longer, but no other host acts before its end: they
        wait for the longest term after they have seen the new era. Until
        then this host may write its row over the restored one.
        """
        if term is not None and term.era == answer.era:
            self._lose('another host acquired it after a restore of the store')
            return
        self._version = row.version if row is not None else 0
        self._era = answer.era
        self._is_observed_restored = True
        self._renew_at = self._scheduler.now()
        self._owner.rows_restored(answer.rows)

    def _is_own(self, term):
        return (
            term.host == self._name and term.incarnation == self._incarnation
        )

    def _handle_conflict(self, answer):
        row, term = _term_row(answer.rows)
        if self._holds:
            if term is not None and self._is_own(term):
                # An earlier write of this host had succeeded unnoticed.
                self._version = row.version
                self._renew_at = self._scheduler.now()
            else:
                self._lose('another host holds it')
        elif term is not None and not self._is_stopping:
            self._version, self._era = row.version, answer.era
            self._owner.granter_found(term)
            self._schedule_poll(POLL_INTERVAL_S)

    def _handle_success(self, term, version, sent_at, is_resigning=False):
        self._version = version
        if not term.host:
            self._schedule_poll(0.0)
            return
        if self._is_stopping or is_resigning:
            # A renewal was in flight when leadership was released.
            self._write('', 0.0, ())
            return
        self._valid_until = sent_at + leadership.TERM_S - leadership.SAFETY_S
        self._renew_at = sent_at + leadership.RENEW_S
        self._renewed_at = self._scheduler.now()
        if self._holds:
            return
        self._holds = True
        LOG.info(
            'term: Acquired leadership.',
            extra={'version': version, 'until_store_s': term.until_store_s},
        )
        self._owner.term_taken()

    def _lose(self, reason):
        self._holds = False
        LOG.warning('term: Lost leadership: %s.', reason)
        self._owner.term_lost()
        self._schedule_poll(0.0)


def _term_row(rows):
    """Return the row of leadership and its term, each None without one."""
    row = next((r for r in rows if r.key == store_reader.TERM_KEY), None)
    return row, leadership.decode(row.value) if row is not None else None
