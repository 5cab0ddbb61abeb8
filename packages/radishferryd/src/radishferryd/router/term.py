"""Take, renew and give up the right to grant keys."""

from __future__ import annotations

import itertools
import logging
import random

from radishferry.direct import leadership
from radishferryd.platform import store as store_module
from radishferryd.router import store_reader

LOG = logging.getLogger(__name__)

#: Longest random pause before a host tries to take the right, in seconds,
#: so that not all of them call the store at the same moment.
SPREAD_S = 0.25
#: Bandwidth below which a host leaves the right to others, in Mbit/s. The
#: granting host sends what it knows to each other host: some 50 kB, or 15 kB
#: compressed, at once to all of them after a change.
FAST_LINK_MBPS = 100.0
#: Seconds for which a host with a slow link waits before it tries to take
#: the right: the longest pause of the others, and their call to the store.
SLOW_LINK_WAIT_S = 0.4
#: Seconds between looks at the row while the granting host cannot be
#: reached.
LOOK_S = 1.0
#: Seconds after which a renewal without an answer has failed, so that
#: another one is sent before the right ends. A write takes 5 ms, and a slow
#: store answers a hundred times as late.
WRITE_TIMEOUT_S = 0.7
#: Pause after a renewal that failed, in seconds.
RENEW_RETRY_S = 0.15
#: Seconds before the end of another host's term is looked at again, beside
#: the rest of the term.
END_MARGIN_S = 0.15


class TermKeeper:
    """Follow the row of the right to grant, and hold it when it is free."""

    def __init__(
        self,
        store,
        scheduler,
        owner,
        name,
        address,
        incarnation,
        link_mbps,
    ):
        """Begin without the right.

        :param owner: Offers ``term_taken()``, ``term_lost()``,
            ``granter_known(term)``, ``needs_granter()``,
            ``owners_read(rows)`` and ``note_store(answer)``.
        :param name: Name of this host.
        :param address: Address of this host for links, as ``ip:port``.
        :param incarnation: Distinguishes restarts of this host.
        :param link_mbps: Bandwidth of this host in Mbit/s.
        """
        self._store = store
        self._scheduler = scheduler
        self._owner = owner
        self._name = name
        self._address = address
        self._incarnation = incarnation
        self._wait_s = SLOW_LINK_WAIT_S if link_mbps < FAST_LINK_MBPS else 0.0
        self._clock = leadership.StoreClock()
        self._nonces = itertools.count(1)
        self._version = 0
        self._valid_until = 0.0
        self._renew_at = 0.0
        self._holds = False
        self._is_busy = False
        self._is_ending = False
        self._look_timer = None
        self._last_success = 0.0
        self._judged = None
        self._judged_version = 0
        self._has_usual_holds = False

    @property
    def holds(self) -> bool:
        """Tell whether this host may grant at this moment."""
        return self._holds and self._scheduler.now() < self._valid_until

    @property
    def version(self) -> int:
        """Return the version of the row, the condition of other writes."""
        return self._version

    @property
    def clock(self) -> leadership.StoreClock:
        """Return the estimate of the store's clock."""
        return self._clock

    @property
    def previous_ended_at(self) -> float | None:
        """Return when the right of the previous host ended at the latest.

        :returns: Local seconds, None if that is not known.
        """
        if self._judged is None or not self._judged.until_store_s:
            return None
        return self._clock.passed_at(self._judged.until_store_s)

    @property
    def previous_version(self) -> int:
        """Return the last version of the right of the previous host."""
        return self._judged_version

    @property
    def previous_had_usual_holds(self) -> bool:
        """Tell whether the previous host has left usual holds only.

        Known of a host that has given its right up.
        """
        judged = self._judged
        return (
            judged is not None and not judged.host and judged.has_usual_holds
        )

    @property
    def silent_s(self) -> float:
        """Return the seconds since the store accepted a renewal."""
        return self._scheduler.now() - self._last_success

    def look_soon(self, delay_s=0.0):
        """Read the row after a pause, unless that is planned already."""
        if self._holds or self._is_ending or self._look_timer is not None:
            return
        self._look_timer = self._scheduler.call_later(delay_s, self._look)

    def tick(self):
        """Renew the right in time, and notice its end."""
        if not self._holds:
            return
        now = self._scheduler.now()
        if now >= self._valid_until:
            self._lose('it could not be renewed in time')
        elif not self._is_busy and now >= self._renew_at:
            self._write(self._name, leadership.TERM_S, ())

    def write_rows(self, conditions, writes, done):
        """Write rows under the condition that this host has the right.

        The same transaction renews the right.

        :param done: Called with the answer of the store, or with None when
            a write is under way.
        """
        if self._is_busy or not self.holds:
            done(None)
            return
        self._write(
            self._name, leadership.TERM_S, writes, conditions, done=done
        )

    def give_up(self, has_usual_holds):
        """Free the right, so that another host takes it at once.

        :param bool has_usual_holds: Whether no server holds keys for longer
            than usual.
        """
        self._is_ending = True
        self._has_usual_holds = has_usual_holds
        if not self.holds:
            return
        self._holds = False
        if not self._is_busy:
            self._write('', 0.0, ())
        LOG.info('term: Gave up the right to grant.')

    # Another host's term.

    def _look(self):
        self._look_timer = None
        if self._holds or self._is_ending:
            return
        if not self._owner.needs_granter():
            return

        def take(answer):
            if not self._owner.note_store(answer):
                self._look_again(LOOK_S)
                return
            now = self._scheduler.now()
            self._clock.note(answer.store_s, answer.sent_at, now)
            # The owners stand in the same table, and nobody else tells them.
            self._owner.owners_read(answer.rows)
            self._judge(answer.rows)

        self._store.read(store_reader.OWN_TABLE, take)

    def _judge(self, rows):
        row = next((r for r in rows if r.key == store_reader.TERM_KEY), None)
        term = leadership.decode(row.value) if row is not None else None
        self._version = row.version if row is not None else 0
        self._judged, self._judged_version = term, self._version
        now = self._scheduler.now()
        store_s = self._clock.estimate(now)
        if term is None or term.has_ended(store_s) or self._is_former(term):
            pause_s = self._wait_s + random.uniform(0, SPREAD_S)
            judged = self._version
            self._scheduler.call_later(pause_s, lambda: self._take(judged))
            return
        self._owner.granter_known(term)
        rest = term.until_store_s - store_s + END_MARGIN_S
        self._look_again(min(LOOK_S, rest))

    def _is_former(self, term):
        # An earlier process of this host has ended, since this one runs.
        return term.host == self._name and (
            term.incarnation != self._incarnation
        )

    def _look_again(self, delay_s):
        self.look_soon(delay_s + random.uniform(0, SPREAD_S))

    def _take(self, judged):
        if self._holds or self._is_busy or self._is_ending:
            return
        if self._version != judged:
            # Another host has taken the right during the pause. A write
            # with the newer version would end that term while it lasts.
            return
        if not self._owner.needs_granter():
            return
        self._write(self._name, leadership.TERM_S, ())

    # Writes.

    def _write(self, host, term_s, writes, conditions=(), done=None):
        now = self._scheduler.now()
        term = leadership.Term(
            host,
            self._address,
            self._incarnation,
            # A right that is given up has ended by now.
            self._clock.estimate(now) + term_s
            if host
            else self._clock.latest(now),
            next(self._nonces),
            not host and self._has_usual_holds,
        )
        self._is_busy = True
        self._store.transact(
            (
                store_module.Condition(
                    store_reader.OWN_TABLE,
                    store_reader.TERM_KEY,
                    self._version,
                ),
                *conditions,
            ),
            (
                (
                    store_reader.OWN_TABLE,
                    store_reader.TERM_KEY,
                    term.encode(),
                ),
                *writes,
            ),
            lambda answer: self._written(term, now, answer, done),
            WRITE_TIMEOUT_S,
        )

    def _written(self, term, sent_at, answer, done):
        self._is_busy = False
        usable = self._owner.note_store(answer)
        now = self._scheduler.now()
        if isinstance(answer, store_module.Written):
            self._clock.note(answer.store_s, sent_at, now)
            self._adopt(term, answer.version, sent_at)
        elif isinstance(answer, store_module.Conflict):
            self._clock.note(answer.store_s, sent_at, now)
            self._conflict(answer, sent_at)
        elif self._holds:
            self._renew_at = now + RENEW_RETRY_S
            if answer.may_have_run:
                self._read_back(sent_at)
        elif not usable:
            self._look_again(RENEW_RETRY_S)
        if done is not None:
            done(answer)

    def _read_back(self, sent_at):
        """Learn the version after a write whose answer was lost."""

        def take(answer):
            self._is_busy = False
            if self._owner.note_store(answer) and self._holds:
                self._settle(answer.rows, sent_at)

        self._is_busy = True
        self._store.read(store_reader.OWN_TABLE, take)

    def _settle(self, rows, sent_at):
        row = next((r for r in rows if r.key == store_reader.TERM_KEY), None)
        term = leadership.decode(row.value) if row is not None else None
        if term is not None and self._is_own(term):
            if row.version != self._version:
                self._adopt(term, row.version, sent_at)
            self._renew_at = self._scheduler.now()
        else:
            self._lose('another host has it')

    def _is_own(self, term):
        return (
            term.host == self._name and term.incarnation == self._incarnation
        )

    def _conflict(self, answer, sent_at):
        row = next(
            (r for r in answer.rows if r.key == store_reader.TERM_KEY), None
        )
        term = leadership.decode(row.value) if row is not None else None
        if self._holds:
            if term is not None and self._is_own(term):
                # An earlier write of this host was applied after all.
                self._version = row.version
                self._renew_at = self._scheduler.now()
            else:
                self._lose('another host has it')
        elif term is not None and not self._is_ending:
            self._version = row.version
            self._owner.granter_known(term)
            self._look_again(LOOK_S)

    def _adopt(self, term, version, sent_at):
        self._version = version
        if not term.host:
            return
        if self._is_ending:
            # A renewal was under way when the right was given up.
            self._write('', 0.0, ())
            return
        self._valid_until = sent_at + leadership.TERM_S - leadership.SAFETY_S
        self._renew_at = sent_at + leadership.RENEW_S
        self._last_success = self._scheduler.now()
        if self._holds:
            return
        self._holds = True
        LOG.info(
            'term: This host may grant keys.',
            extra={'version': version, 'until_store_s': term.until_store_s},
        )
        self._owner.term_taken()

    def _lose(self, reason):
        self._holds = False
        LOG.warning('term: This host may not grant keys any more: %s.', reason)
        self._owner.term_lost()
        self._look_again(0.0)
