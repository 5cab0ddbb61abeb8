"""Stand in for the scheduler and for the receiver of a response."""

from __future__ import annotations

import heapq
import itertools
import types


class Scheduler:
    """Run scheduled calls when the test advances the time."""

    def __init__(self):
        self._now = 100.0
        self._calls = []
        self._order = itertools.count()

    def now(self):
        """Return the time in seconds."""
        return self._now

    def call_later(self, delay_s, callback):
        """Schedule a call; the returned handle can cancel it."""
        handle = types.SimpleNamespace(callback=callback)
        handle.cancel = lambda: setattr(handle, 'callback', None)
        due = self._now + delay_s
        heapq.heappush(self._calls, (due, next(self._order), handle))
        return handle

    def advance(self, seconds):
        """Advance the time and run the calls that are due."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, handle = heapq.heappop(self._calls)
            if handle.callback is not None:
                handle.callback()
        self._now = end


class Sink:
    """Record the response to a request."""

    def __init__(self):
        self.heads = []
        self.chunks = []
        self.refusals = []
        self.credit = 0

    def on_head(self, status, headers):
        """Record the status."""
        self.heads.append(status)

    def on_chunk(self, data, is_last):
        """Record a chunk."""
        self.chunks.append((data, is_last))

    def on_refused(self, refusal):
        """Record a refusal."""
        self.refusals.append(refusal)

    def on_credit(self, size):
        """Add up the granted credit."""
        self.credit += size
