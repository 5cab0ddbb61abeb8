"""Stand in for the clock and for the taker of an answer."""

from __future__ import annotations

import heapq
import itertools
import types


class Scheduler:
    """Run planned calls when the test advances the time."""

    def __init__(self):
        self._now = 100.0
        self._calls = []
        self._order = itertools.count()

    def now(self):
        """Return the time in seconds."""
        return self._now

    def call_later(self, delay_s, callback):
        """Plan a call; the returned handle can cancel it."""
        handle = types.SimpleNamespace(callback=callback)
        handle.cancel = lambda: setattr(handle, 'callback', None)
        due = self._now + delay_s
        heapq.heappush(self._calls, (due, next(self._order), handle))
        return handle

    def advance(self, seconds):
        """Let time pass and run what is due."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            self._now, _, handle = heapq.heappop(self._calls)
            if handle.callback is not None:
                handle.callback()
        self._now = end


class Sink:
    """Keep what arrives for a request."""

    def __init__(self):
        self.heads = []
        self.chunks = []
        self.refusals = []
        self.credit = 0

    def on_head(self, status, headers):
        """Keep the head."""
        self.heads.append(status)

    def on_chunk(self, data, is_last):
        """Keep a chunk."""
        self.chunks.append((data, is_last))

    def on_refused(self, refusal):
        """Keep a refusal."""
        self.refusals.append(refusal)

    def on_credit(self, size):
        """Count credit."""
        self.credit += size
