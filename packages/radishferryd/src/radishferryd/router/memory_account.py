"""Account for the memory that callers make this host hold.

The account only counts; whoever holds bytes takes them with a
:class:`Lease` and gives them back. What a process may hold is divided into
budgets, so that no use of memory takes the place of another one: many large
bodies, for example, never keep a small request from being served.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import typing

#: Bytes in a megabyte of the setting; the smaller of the two meanings.
MEGABYTE = 1_000_000
#: Bytes that a process takes without callers. It idles at 37 to 60 MB, and
#: buffers of the interpreter and of links to other hosts come on top.
BASE_BYTES = 64 * MEGABYTE
#: Bytes for callers even on a machine that seems too small for the process.
MIN_TOTAL_BYTES = 16 * MEGABYTE
#: Descriptors of the machine that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Share of the other descriptors that connections of callers may take. The
#: rest is for servers, other hosts and the store.
CALLER_SHARE = 0.6

#: Bytes charged for the connection of a caller: its objects and its parser.
CONNECTION_BYTES = 8192
#: Bytes charged for a request beside those of its head.
REQUEST_BYTES = 4096
#: Bytes charged for a header beside its text: a tuple and two strings.
HEADER_BYTES = 200
#: Largest cost of a head, body or response that counts as small. Bodies have
#: 300 bytes on average, and heads of usual requests below 2 KB.
SMALL_BYTES = 24576
#: Receive buffer that is asked for each connection of a caller, in bytes.
RECEIVE_BYTES = 131072
#: Bytes that the system may hold for a connection that is not read; Linux
#: doubles what it is asked for.
UNREAD_BYTES = 2 * RECEIVE_BYTES

#: Seconds without :data:`STEP_BYTES` after which a holder counts as stalled.
STALL_S = 1.0
#: Bytes in :data:`STALL_S` below which a holder makes no progress, in calm
#: or not; a slower caller is ended only if its memory is needed.
STEP_BYTES = 32768
#: Seconds for which a request waits for room before it is refused.
WAIT_S = 2.0
#: Seconds after which a caller that was refused for lack of memory may retry:
#: stalled callers have been ended by then.
RETRY_AFTER_S = 1.0
#: Seconds between two searches for stalled holders that find none; each looks
#: at all holders of a budget.
SEARCH_INTERVAL_S = 0.05
#: Part of the budget for connections that is made free at a time, so that not
#: every new connection searches all others.
SPARE_SHARE = 1 / 32


class Budget(enum.Enum):
    """Name what a part of the memory is for."""

    CONNECTIONS = 'connections'
    SMALL = 'small-requests'
    LARGE = 'large-requests'
    RESPONSES = 'responses'
    UNREAD = 'unread'


class Kind(enum.Enum):
    """Name what bytes are held as, for the metrics."""

    CONNECTION = 'connection'
    HEAD = 'head'
    RECEIVING = 'receiving'
    KEPT = 'kept'
    RELAYED = 'relayed'
    RESPONSE = 'response'
    UNREAD = 'unread'


#: Parts of the whole. On a machine of 160 MB the one for large requests is
#: 68 MB, so that one body of 64 MiB fits.
_SHARES = {
    Budget.CONNECTIONS: 0.06,
    Budget.SMALL: 0.06,
    Budget.LARGE: 0.71,
    Budget.RESPONSES: 0.13,
    Budget.UNREAD: 0.04,
}


def budget_for(size) -> Budget:
    """Return the budget of a request that holds some bytes."""
    return Budget.SMALL if size <= SMALL_BYTES else Budget.LARGE


def head_bytes(size, header_count) -> int:
    """Return the cost of a head in bytes.

    :param size: Bytes received of it.
    :param header_count: Headers among them; short ones take many times their
        size in memory.
    """
    return size + HEADER_BYTES * header_count


def caller_limit(max_fds) -> float:
    """Return how many connections of callers a process may have.

    :param max_fds: Descriptors of the process, files included.
    """
    return max(16, (max_fds - FILE_DESCRIPTORS) * CALLER_SHARE)


class Reclaim(typing.Protocol):
    """End a holder that makes no progress."""

    def __call__(self) -> None:
        """Give back the bytes; keep them if the holder is of use."""


class Lease:
    """Hold bytes of a budget until they are given back."""

    __slots__ = (
        '_account',
        '_budget',
        '_kind',
        '_held',
        '_reclaim',
        '_step_bytes',
        '_progress_bytes',
        '_progressed_at',
    )

    def __init__(self, account, budget, kind, reclaim, now):
        self._account = account
        self._budget = budget
        self._kind = kind
        self._held = 0
        self._reclaim = reclaim
        self._step_bytes = STEP_BYTES
        self._progress_bytes = 0
        self._progressed_at = now

    @property
    def held(self) -> int:
        """Return the number of bytes held."""
        return self._held

    @property
    def budget(self) -> Budget:
        """Return the budget that the bytes are taken from."""
        return self._budget

    def require_pace(self, size, limit_s):
        """Set the progress that ends a body within its time limit.

        :param size: Bytes of the whole body.
        :param limit_s: Seconds in which it has to come.
        """
        self._step_bytes = max(
            STEP_BYTES, int(size * STALL_S / max(STALL_S, limit_s))
        )

    def grow(self, size) -> bool:
        """Take bytes if they fit, after stalled holders have been ended."""
        if not self._account.has_room(self._budget, size, self):
            return False
        self._add(size)
        return True

    def force(self, size):
        """Take bytes that are in memory already."""
        self._add(size)

    def set(self, size):
        """Change the number of bytes held, which are in memory already."""
        if not self._held:
            self.mark()
        self._add(size - self._held)

    def note_progress(self, size):
        """Record bytes that came from or went to the holder."""
        self._progress_bytes += size
        if self._progress_bytes >= self._step_bytes:
            self.mark()

    def mark(self):
        """Record that the holder makes progress now."""
        self._progress_bytes = 0
        self._progressed_at = self._account.now()

    def stalled_s(self, now) -> float:
        """Return the seconds since the last progress."""
        return now - self._progressed_at

    def move(self, budget=None, kind=None):
        """Hold the bytes in another budget or as another kind."""
        before = self._budget, self._kind
        self._account._forget(self)
        self._budget = budget or self._budget
        self._kind = kind or self._kind
        self._account._move(self, *before, self._reclaim is not None)

    def keep(self):
        """Hold the bytes until the end, with or without progress."""
        self._account._forget(self)
        self._reclaim = None

    def release(self):
        """Give back all bytes; may be called repeatedly."""
        self._add(-self._held)
        self._account._forget(self)

    def reclaim(self):
        """Ask the holder to give back the bytes."""
        if self._reclaim is not None:
            self._reclaim()

    def _add(self, size):
        if size:
            self._held += size
            self._account._add(self, size, self._reclaim is not None)


@dataclasses.dataclass(frozen=True)
class _Waiter:
    """Represent a holder that waits for room."""

    lease: Lease
    size: int
    granted: typing.Callable[[], None]


class MemoryAccount:
    """Divide the memory of a process among the uses of its callers."""

    def __init__(self, memory_mb, max_connections, now):
        """Create an account without holders.

        :param memory_mb: What the process may use, in megabytes; infinite for
            no limit.
        :param max_connections: Connections of callers that it may have.
        :param now: Returns the time in seconds.
        """
        total = max(MIN_TOTAL_BYTES, memory_mb * MEGABYTE - BASE_BYTES)
        self._limits = {b: total * share for b, share in _SHARES.items()}
        self._limits[Budget.CONNECTIONS] = min(
            self._limits[Budget.CONNECTIONS],
            max_connections * CONNECTION_BYTES,
        )
        self.now = now
        self._held = collections.Counter()
        self._held_by_kind = collections.Counter()
        #: Leases that may be reclaimed, by budget.
        self._leases = {budget: set() for budget in Budget}
        self._searched_at = dict.fromkeys(Budget, -math.inf)
        self._waiters = []

    def lease(self, budget, kind, reclaim=None) -> Lease:
        """Return a lease without bytes.

        :param reclaim: A :class:`Reclaim`, or None if the holder must not be
            ended.
        """
        return Lease(self, budget, kind, reclaim, self.now())

    def held(self, kind) -> int:
        """Return the bytes held as a kind."""
        return self._held_by_kind[kind]

    def limit(self, budget) -> float:
        """Return the bytes of a budget."""
        return self._limits[budget]

    def is_overdrawn(self, budget) -> bool:
        """Return whether more is held than a budget has."""
        return self._held[budget] > self._limits[budget]

    def has_room(self, budget, size, asking=None) -> bool:
        """Return whether bytes fit, after stalled holders have been ended.

        :param asking: The lease that is not ended, since it asks.
        """
        if self._fits(budget, size):
            return True
        if budget is Budget.CONNECTIONS:
            spare = size + self._limits[budget] * SPARE_SHARE
        else:
            spare = size
        self._reclaim(budget, lambda: self._fits(budget, spare), asking)
        return self._fits(budget, size)

    def wait(self, lease, size, granted):
        """Take bytes for a lease as soon as they fit.

        :param granted: Called without arguments when they have been taken.
        """
        self._waiters.append(_Waiter(lease, size, granted))

    def cancel_wait(self, lease):
        """Take no bytes for a lease any more."""
        self._waiters = [w for w in self._waiters if w.lease is not lease]

    def end_stalled(self, budget, min_held, stall_s) -> int:
        """End all holders of at least some bytes without progress.

        :param stall_s: Seconds without progress.
        :returns: Their number.
        """
        now = self.now()
        stalled = [
            lease
            for lease in self._leases[budget]
            if lease.held >= min_held and lease.stalled_s(now) >= stall_s
        ]
        for lease in stalled:
            lease.reclaim()
        return len(stalled)

    def check(self):
        """End stalled holders of budgets in which others need room."""
        for waiter in list(self._waiters):
            # It is served as soon as there is room, which is taken then.
            self._reclaim(
                waiter.lease.budget,
                lambda waiter=waiter: waiter not in self._waiters,
            )
        for budget in Budget:
            self._reclaim(budget, lambda b=budget: not self.is_overdrawn(b))

    def _fits(self, budget, size):
        return self._held[budget] + size <= self._limits[budget]

    def _reclaim(self, budget, is_enough, asking=None):
        """End the stalled holders with the most bytes and least progress.

        :param is_enough: Returns whether no further one has to be ended.
        :param asking: A lease that is not ended.
        """
        now = self.now()
        if is_enough() or (
            now - self._searched_at[budget] < SEARCH_INTERVAL_S
        ):
            return
        stalled = sorted(
            (
                lease
                for lease in self._leases[budget]
                if lease is not asking and lease.stalled_s(now) >= STALL_S
            ),
            key=lambda lease: lease.held * lease.stalled_s(now),
            reverse=True,
        )
        for lease in stalled:
            if is_enough():
                return
            lease.reclaim()
        self._searched_at[budget] = now

    def _serve_waiters(self):
        for waiter in list(self._waiters):
            # A waiter that is granted gives back other bytes, which serves
            # the rest of them in between.
            if waiter in self._waiters and self._fits(
                waiter.lease.budget, waiter.size
            ):
                self._waiters.remove(waiter)
                waiter.lease.force(waiter.size)
                waiter.lease.mark()
                waiter.granted()

    # Called by leases.

    def _add(self, lease, size, is_reclaimable):
        self._held[lease.budget] += size
        self._held_by_kind[lease._kind] += size
        if is_reclaimable and lease.held:
            self._leases[lease.budget].add(lease)
        elif is_reclaimable:
            self._leases[lease.budget].discard(lease)
        if size < 0 and self._waiters:
            self._serve_waiters()

    def _move(self, lease, budget, kind, is_reclaimable):
        self._held[budget] -= lease.held
        self._held_by_kind[kind] -= lease.held
        self._add(lease, lease.held, is_reclaimable)
        if lease.budget is not budget and self._waiters:
            self._serve_waiters()

    def _forget(self, lease):
        self._leases[lease.budget].discard(lease)


def unlimited(now) -> MemoryAccount:
    """Return an account in which everything fits."""
    return MemoryAccount(math.inf, math.inf, now)
