"""Write and read run logs as JSON lines."""

from __future__ import annotations

import os

import orjson


class RunLog:
    """Append one line per event, so that SIGKILL loses at most one.

    :param path: File to append to; empty writes nothing.
    :param fields: Fields of every line.
    """

    def __init__(self, path, **fields):
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o644) if path else None
        self._fields = fields

    def write(self, **fields):
        """Append a line."""
        if self._descriptor is not None:
            line = orjson.dumps({**self._fields, **fields})
            os.write(self._descriptor, line + b'\n')


def read(path) -> list:
    """Return pairs of place and fields; a torn last line is left out.

    :raises ValueError: A line other than the last is not JSON.
    """
    with open(path, 'rb') as file:
        lines = file.read().split(b'\n')
    return [
        (f'{path}:{number}', orjson.loads(line))
        for number, line in enumerate(lines[:-1], 1)
        if line
    ]
