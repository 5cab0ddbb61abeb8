"""Call functions later on the circuits loop."""

from __future__ import annotations

import heapq
import itertools
import logging
import time

from circuits.core import BaseComponent
from circuits.core.handlers import handler

LOG = logging.getLogger(__name__)


class Handle:
    """Allow a planned call to be cancelled."""

    __slots__ = ('callback',)

    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        """Prevent the call."""
        self.callback = None


class Scheduler(BaseComponent):
    """Run callbacks at their time.

    ``circuits.core.timers.Timer`` is one component a timer and counts by the
    wall clock; a deadline a request needs something cheaper, and a clock
    that is never set back.
    """

    channel = 'scheduler'

    def __init__(self):
        super().__init__(channel=self.channel)
        self._heap = []
        self._order = itertools.count()

    @staticmethod
    def now() -> float:
        """Return the time in seconds of a clock that is never set back.

        The clock counts the time for which the machine was suspended, which
        leases have to count too and ``time.monotonic`` leaves out.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay_s, callback) -> Handle:
        """Plan a call.

        :param float delay_s: Seconds from now.
        :param callback: Called without arguments.
        """
        handle = Handle(callback)
        due = self.now() + delay_s
        heapq.heappush(self._heap, (due, next(self._order), handle))
        return handle

    def call_every(self, interval_s, callback) -> Handle:
        """Call again and again, at least ``interval_s`` seconds apart."""
        handle = Handle(callback)

        def repeat():
            if handle.callback is None:
                return
            try:
                handle.callback()
            finally:
                self.call_later(interval_s, repeat)

        self.call_later(interval_s, repeat)
        return handle

    @handler('generate_events')
    def _on_generate_events(self, event):
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            _, _, handle = heapq.heappop(self._heap)
            if handle.callback is None:
                continue
            try:
                handle.callback()
            except Exception:
                LOG.exception('scheduler: A planned call failed.')
        self._drop_cancelled()
        if self._heap:
            left = max(0.0, self._heap[0][0] - self.now())
            event.reduce_time_left(left)

    def _drop_cancelled(self):
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
