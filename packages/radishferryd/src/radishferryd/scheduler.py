"""Schedule calls on the circuits event loop."""

from __future__ import annotations

import heapq
import itertools
import logging
import time

from circuits.core import BaseComponent
from circuits.core.handlers import handler

LOG = logging.getLogger(__name__)


class ScheduledCall:
    """Represent a scheduled call that can be cancelled."""

    __slots__ = ('callback',)

    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        """Cancel the call."""
        self.callback = None


class Scheduler(BaseComponent):
    """Run callbacks at scheduled times.

    ``circuits.core.timers.Timer`` needs a component for each timer and uses
    the wall clock. A timer for the deadline of each request has to be cheaper
    and needs a monotonic clock.
    """

    channel = 'scheduler'

    def __init__(self):
        super().__init__(channel=self.channel)
        self._heap = []
        self._sequence_numbers = itertools.count()

    @staticmethod
    def now() -> float:
        """Return the time of a monotonic clock in seconds.

        The clock includes the time for which the machine was suspended, which
        leases have to include and ``time.monotonic`` does not.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay_s, callback) -> ScheduledCall:
        """Schedule a call.

        :param float delay_s: Seconds from now.
        :param callback: Called without arguments.
        """
        call = ScheduledCall(callback)
        due_at = self.now() + delay_s
        heapq.heappush(
            self._heap, (due_at, next(self._sequence_numbers), call)
        )
        return call

    def call_every(self, interval_s, callback) -> ScheduledCall:
        """Schedule repeated calls, at least ``interval_s`` seconds apart."""
        call = ScheduledCall(callback)

        def repeat():
            if call.callback is None:
                return
            try:
                call.callback()
            finally:
                self.call_later(interval_s, repeat)

        self.call_later(interval_s, repeat)
        return call

    @handler('generate_events')
    def _on_generate_events(self, event):
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            _, _, call = heapq.heappop(self._heap)
            if call.callback is None:
                continue
            try:
                call.callback()
            except Exception:
                LOG.exception('scheduler: A scheduled call failed.')
        self._drop_cancelled()
        if self._heap:
            time_left_s = max(0.0, self._heap[0][0] - self.now())
            event.reduce_time_left(time_left_s)

    def _drop_cancelled(self):
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
