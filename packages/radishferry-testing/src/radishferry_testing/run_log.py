"""Write and read run logs as JSON lines."""

from __future__ import annotations

import os
import time
import uuid

import orjson

#: Event that a process writes first.
BOOT = 'boot'


class RunLog:
    """Append one line per event, so that SIGKILL loses at most one.

    :param path: File to append to; empty writes nothing.
    :param fields: Fields of every line.
    :ivar boot_id: Name of this life of the process, also in every line.
    """

    def __init__(self, path, **fields):
        self.boot_id = uuid.uuid4().hex
        self._fields = {**fields, 'boot_id': self.boot_id}
        self._descriptor = _open(path) if path else None
        self.write(time_ns=time.monotonic_ns(), event=BOOT)

    def write(self, **fields):
        """Append a line."""
        if self._descriptor is not None:
            line = orjson.dumps({**self._fields, **fields})
            os.write(self._descriptor, line + b'\n')


def _open(path):
    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
    descriptor = os.open(path, flags, 0o644)
    size = os.fstat(descriptor).st_size
    if size and os.pread(descriptor, 1, size - 1) != b'\n':
        os.write(descriptor, b'\n')
    return descriptor


def read(path) -> list:
    """Return pairs of place (``path:line``) and fields.

    A torn line is left out where a killed process can leave one: at the end,
    or before the first line of the next process.

    :raises ValueError: Another line is not JSON.
    """
    with open(path, 'rb') as file:
        lines = [line for line in file.read().split(b'\n') if line]
    found = []
    torn = ''
    for number, line in enumerate(lines, 1):
        place = f'{path}:{number}'
        try:
            fields = orjson.loads(line)
        except orjson.JSONDecodeError as exc:
            if torn:
                raise ValueError(f'{torn} is not JSON') from exc
            torn = place
            continue
        if torn and fields.get('event') != BOOT:
            raise ValueError(f'{torn} is not JSON')
        torn = ''
        found.append((place, fields))
    return found
