"""Write and read run logs as JSON lines."""

from __future__ import annotations

import os
import time
import uuid

import orjson

#: First event that a process writes.
BOOT = 'boot'


class RunLog:
    """Append events, each with one write, so that SIGKILL loses at most one.

    :param path: File to append to; empty writes nothing.
    :param fields: Fields of every line.
    :ivar boot_id: Unique id of this process start, also in every line.
    """

    def __init__(self, path, **fields):
        self.boot_id = uuid.uuid4().hex
        self._fields = {**fields, 'boot_id': self.boot_id}
        self._descriptor = _open(path) if path else None
        self.write(time_ns=time.monotonic_ns(), event=BOOT)

    def write(self, **fields):
        """Append an event."""
        if self._descriptor is not None:
            line = orjson.dumps({**self._fields, **fields})
            os.write(self._descriptor, line + b'\n')


def _open(path):
    """Open a file for appending; end a last line that is incomplete."""
    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
    descriptor = os.open(path, flags, 0o644)
    size = os.fstat(descriptor).st_size
    if size and os.pread(descriptor, 1, size - 1) != b'\n':
        os.write(descriptor, b'\n')
    return descriptor


def read(path) -> list:
    """Return pairs of place (``path:line``) and fields.

    An incomplete line is skipped where a killed process can leave one: at the
    end, or before the first line of the next process.

    :raises ValueError: A line elsewhere is not JSON.
    """
    with open(path, 'rb') as file:
        lines = [line for line in file.read().split(b'\n') if line]
    entries = []
    incomplete = ''
    for number, line in enumerate(lines, 1):
        place = f'{path}:{number}'
        try:
            fields = orjson.loads(line)
        except orjson.JSONDecodeError as exc:
            if incomplete:
                raise ValueError(f'{incomplete} is not JSON') from exc
            incomplete = place
            continue
        if incomplete and fields.get('event') != BOOT:
            raise ValueError(f'{incomplete} is not JSON')
        incomplete = ''
        entries.append((place, fields))
    return entries
