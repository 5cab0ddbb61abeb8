"""Receive the bodies of a caller's requests as far as memory is free."""

from __future__ import annotations

from radishferry.direct import admission
from radishferryd.router import bodies
from radishferryd.router import memory_account
from radishferryd.router import results


def memory_refusal(budget) -> results.Refusal:
    """Return the refusal of a request for which no memory is left.

    :param budget: The :class:`~radishferryd.router.memory_account.Budget`
        that is used up.
    """
    return results.Refusal(
        503,
        results.Reason.MEMORY,
        f'No memory is left for {budget.value}.',
        admission.retry_after_s(memory_account.RETRY_AFTER_S),
    )


class BodyReceiver:
    """Take the body of one request at a time, or let it wait for memory.

    A body of known length takes its memory before it is read, so that it can
    be read to its end once it has begun. One in chunks takes it in steps.
    """

    def __init__(self, memory, is_relayed, refuse, changed):
        """Create the receiver of one connection.

        :param memory: The
            :class:`~radishferryd.router.memory_account.MemoryAccount`.
        :param is_relayed: Whether the bodies come from other hosts.
        :param refuse: Called with a refusal of the request being received.
        :param changed: Called when :attr:`is_waiting` has changed.
        """
        self._memory = memory
        self._is_relayed = is_relayed
        self._refuse = refuse
        self._changed = changed
        self._slot = None
        self._waiting_since = None
        self._unread = memory.lease(
            memory_account.Budget.UNREAD, memory_account.Kind.UNREAD
        )

    @property
    def is_waiting(self) -> bool:
        """Return whether no more may be read until memory is free."""
        return self._waiting_since is not None

    def begin(self, slot):
        """Take the memory of a request's body, if its length is known."""
        self._slot = slot
        size = int(slot.head.header('content-length') or 0)
        if size:
            self._create_body(memory_account.budget_for(size))
            slot.body.lease.require_pace(size, slot.receive_limit_s)
            self._take(size)

    def receive(self, data):
        """Add a part of the body."""
        if self._slot.body is bodies.EMPTY:
            self._create_body(memory_account.Budget.SMALL)
        body, lease = self._slot.body, self._slot.body.lease
        body.append(data)
        lease.note_progress(len(data))
        missing = body.size - lease.held
        if missing <= 0 or self.is_waiting:
            return
        if body.size > memory_account.SMALL_BYTES:
            if lease.budget is memory_account.Budget.SMALL:
                lease.move(memory_account.Budget.LARGE)
            missing = max(missing, bodies.STEP_BYTES)
        self._take(missing)

    def end(self):
        """Keep the complete body for the attempts of its request."""
        slot = self._finish()
        if slot.body is not bodies.EMPTY:
            lease = slot.body.lease
            lease.keep()
            lease.set(slot.body.size)
            if not self._is_relayed:
                lease.move(kind=memory_account.Kind.KEPT)

    def abandon(self):
        """Free what has been received of the body, if any."""
        slot = self._finish()
        if slot is not None:
            slot.body.release()

    def check_time(self, now):
        """Refuse a request that has waited too long for memory."""
        if self.is_waiting and now - self._waiting_since > (
            memory_account.WAIT_S
        ):
            self._refuse_for_memory()

    def _create_body(self, budget):
        kind = (
            memory_account.Kind.RELAYED
            if self._is_relayed
            else memory_account.Kind.RECEIVING
        )
        self._slot.body = bodies.Body(
            self._memory.lease(budget, kind, self._refuse_for_memory)
        )

    def _take(self, size):
        lease = self._slot.body.lease
        if lease.grow(size):
            return
        if self._slot is None:
            # The body itself was the one to be ended for others.
            return
        if lease.budget is memory_account.Budget.LARGE and self._unread.grow(
            memory_account.UNREAD_BYTES
        ):
            self._waiting_since = self._memory.now()
            self._memory.wait(lease, size, self._stop_waiting)
            self._changed()
        else:
            self._refuse_for_memory()

    def _refuse_for_memory(self):
        if self._slot is not None:
            self._refuse(memory_refusal(self._slot.body.lease.budget))

    def _stop_waiting(self):
        self._waiting_since = None
        self._unread.release()
        self._changed()

    def _finish(self):
        slot, self._slot = self._slot, None
        if self.is_waiting:
            self._memory.cancel_wait(slot.body.lease)
            self._stop_waiting()
        return slot
