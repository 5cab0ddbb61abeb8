"""Write log lines without blocking, at a limited rate.

A process must not stop because nobody reads its output.
"""

from __future__ import annotations

import collections
import logging
import os

#: Sustained rate limit in lines per second.
LINES_PER_S = 120.0
#: Burst size of the rate limit in lines.
BURST_LINES = 600.0
#: Share of the burst that is reserved for lines that are not routine.
ROUTINE_RESERVE = 0.5
#: Maximum size in bytes of the queue for a slow reader; further lines are
#: dropped.
MAX_QUEUED_BYTES = 262144


class BoundedStream:
    """Limit the rate of a log stream with a token bucket; never block.

    Dropped lines are counted. Warnings and errors are written even if no
    tokens are left, unless the queue is full. Lines whose attribute
    ``routine`` is true are written only while :data:`ROUTINE_RESERVE` of the
    burst is left.
    """

    def __init__(self, fd, now):
        """Create a stream with a full token bucket.

        :param int fd: File descriptor, set to non-blocking.
        :param now: Returns the time in seconds.
        """
        os.set_blocking(fd, False)
        self._fd = fd
        self._now = now
        self._tokens = BURST_LINES
        self._refilled_at = now()
        self._queued = collections.deque()
        self._queued_bytes = 0
        self.dropped = 0
        self._unreported = 0

    def admits(self, record) -> bool:
        """Return whether a line may be written; used as a log filter."""
        now = self._now()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        min_tokens = 1.0
        if getattr(record, 'routine', False):
            min_tokens = BURST_LINES * ROUTINE_RESERVE
        if self._tokens < min_tokens and record.levelno < logging.WARNING:
            self.dropped += 1
            self._unreported += 1
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True

    def write(self, text):
        """Queue a line, preceded by the number of dropped lines if any."""
        if self._unreported and self._tokens >= 1:
            count, self._unreported = self._unreported, 0
            self._enqueue(f'{{"event": "log: Dropped {count} lines."}}\n')
        self._enqueue(text)

    def flush(self):
        """Write queued lines until the file descriptor would block."""
        while self._queued:
            data = self._queued[0]
            try:
                sent = os.write(self._fd, data)
            except (BlockingIOError, BrokenPipeError):
                return
            self._queued_bytes -= sent
            if sent < len(data):
                self._queued[0] = data[sent:]
                return
            self._queued.popleft()

    def _enqueue(self, text):
        data = text.encode()
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._queued.append(data)
        self._queued_bytes += len(data)
