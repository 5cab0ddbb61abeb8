"""Write log lines without ever waiting for their reader."""

from __future__ import annotations

import collections
import logging
import os

#: Lines a second that a process writes in the long run.
LINES_PER_S = 120.0
#: Lines that may be written at once after a quiet time.
BURST_LINES = 600.0
#: Part of the burst that routine lines leave for the others.
ROUTINE_RESERVE = 0.5
#: Bytes that wait for a slow reader; lines beyond are dropped.
MAX_WAITING_BYTES = 262144


class BoundedStream:
    """Be the stream of a log handler; drop and count what is too much.

    Warnings and errors are written also when the rate is used up, and lines
    with a true attribute ``routine`` only while much of it is left.
    """

    def __init__(self, fd, now):
        """Begin with a full allowance.

        :param int fd: File descriptor, set to non-blocking.
        :param now: Returns the time in seconds.
        """
        os.set_blocking(fd, False)
        self._fd = fd
        self._now = now
        self._allowance = BURST_LINES
        self._at = now()
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self.dropped = 0
        self._unreported = 0

    def admits(self, record) -> bool:
        """Tell whether a line may be written; used as a log filter."""
        now = self._now()
        self._allowance = min(
            BURST_LINES, self._allowance + (now - self._at) * LINES_PER_S
        )
        self._at = now
        needed = 1.0
        if getattr(record, 'routine', False):
            needed = BURST_LINES * ROUTINE_RESERVE
        if self._allowance < needed and record.levelno < logging.WARNING:
            self.dropped += 1
            self._unreported += 1
            return False
        self._allowance = max(0.0, self._allowance - 1)
        return True

    def write(self, text):
        """Queue text and write what the reader takes."""
        if self._unreported and self._allowance >= 1:
            count, self._unreported = self._unreported, 0
            self._queue(f'{{"event": "log: Left out {count} lines."}}\n')
        self._queue(text)

    def flush(self):
        """Write what the reader takes."""
        while self._waiting:
            data = self._waiting[0]
            try:
                sent = os.write(self._fd, data)
            except (BlockingIOError, BrokenPipeError):
                return
            self._waiting_bytes -= sent
            if sent < len(data):
                self._waiting[0] = data[sent:]
                return
            self._waiting.popleft()

    def _queue(self, text):
        data = text.encode()
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
