"""Convert the state of the process to JSON values of bounded size."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import functools
import itertools
import math
import re
import signal
import sys

from circuits.core import BaseComponent
from circuits.core import events
from circuits.core.handlers import handler
import orjson

#: Maximum nesting depth.
MAX_DEPTH = 12
#: Maximum number of elements of one container.
MAX_ITEMS = 2000
#: Maximum number of values in total. A dump blocks the event loop, and a
#: successor takes over after 300 ms without heartbeats
#: (``radishferry.membership.HEARTBEAT_TIMEOUT_S``).
MAX_VALUES = 20000
#: Maximum number of characters of one string.
MAX_TEXT_CHARACTERS = 500

#: Matches names of attributes that may hold a secret.
_SECRET = re.compile('token|shared_key|secret|password')
_LIST_TYPES = (
    list,
    tuple,
    collections.abc.Set,
    collections.abc.Sequence,
)
#: Largest integer that is shown as a number: the largest signed integer of 64
#: bits. Larger ones are shown as text, because orjson cannot encode integers
#: of more than 64 bits.
_MAX_INTEGER = 2**63 - 1


def to_jsonable(value, *, max_values: int = MAX_VALUES):
    """Return a JSON-compatible value of bounded size.

    Data classes and mappings become objects, other collections become
    lists, and objects of unknown classes are shown by the class name.
    Anything beyond a limit is replaced by a string that begins with ``...``.

    :param value: Any nesting of data classes, collections and plain values.
    :param max_values: Maximum number of values.
    """
    return _Dumper(max_values).convert(value, 0)


def to_json(value, *, max_values: int = MAX_VALUES) -> bytes:
    """Return a value as one line of JSON.

    :param value: As for :func:`to_jsonable`.
    :param max_values: Maximum number of values.
    """
    return orjson.dumps(to_jsonable(value, max_values=max_values))


class _Dumper:
    def __init__(self, max_values):
        self._values_left = max_values

    def convert(self, value, depth):
        self._values_left -= 1
        if self._values_left < 0:
            return '... more values'
        value_type = type(value)
        if (
            value_type is str
            and len(value) <= MAX_TEXT_CHARACTERS
            and value.isascii()
        ):
            return value
        if value_type is bool or value is None:
            return value
        if value_type is int and -_MAX_INTEGER < value < _MAX_INTEGER:
            return value
        return self._convert_other(value, depth)

    def _convert_other(self, value, depth):
        if isinstance(value, enum.Enum):
            return self.convert(value.value, depth)
        if isinstance(value, int):
            exact = abs(value) <= _MAX_INTEGER
            return int(value) if exact else str(value)[:MAX_TEXT_CHARACTERS]
        if isinstance(value, float):
            return float(value) if math.isfinite(value) else str(value)
        if isinstance(value, str):
            return _format_text(value)
        if isinstance(value, (bytes, bytearray, memoryview)):
            return f'{len(value)} bytes'
        return self._convert_nested(value, depth)

    def _convert_nested(self, value, depth):
        if depth >= MAX_DEPTH:
            return '... nested more deeply'
        names = _shown_fields(type(value))
        if names is not None:
            pairs = [(n, getattr(value, n, None)) for n in names]
            return self._object(pairs, len(pairs), depth)
        if isinstance(value, (dict, collections.abc.Mapping)):
            return self._object(value.items(), len(value), depth)
        if isinstance(value, _LIST_TYPES):
            return self._list(value, depth)
        return f'<{type(value).__name__}>'

    def _object(self, pairs, size, depth):
        shown = {}
        for name, item in itertools.islice(pairs, MAX_ITEMS):
            if self._values_left <= 0:
                break
            name = _format_name(name)
            if _SECRET.search(name):
                shown[name] = '(secret)'
            else:
                shown[name] = self.convert(item, depth + 1)
        if len(shown) < size:
            shown['...'] = f'{size - len(shown)} more'
        return shown

    def _list(self, values, depth):
        shown = []
        for item in itertools.islice(values, MAX_ITEMS):
            if self._values_left <= 0:
                break
            shown.append(self.convert(item, depth + 1))
        if len(shown) < len(values):
            shown.append(f'... {len(values) - len(shown)} more')
        return shown


@functools.cache
def _shown_fields(cls):
    if not dataclasses.is_dataclass(cls):
        return None
    return tuple(f.name for f in dataclasses.fields(cls) if f.repr)


def _format_name(name):
    if (
        type(name) is str
        and len(name) <= MAX_TEXT_CHARACTERS
        and name.isascii()
    ):
        return name
    if isinstance(name, enum.Enum):
        name = name.value
    if isinstance(name, tuple):
        name = ':'.join(str(part) for part in name)
    return _format_text(str(name))


def _format_text(text):
    # Replace surrogates, which cannot be encoded.
    text = text.encode('utf-8', 'replace').decode()
    return (
        text
        if len(text) <= MAX_TEXT_CHARACTERS
        else text[:MAX_TEXT_CHARACTERS] + '...'
    )


class dump_requested(events.signal):  # noqa: N801
    """Request a dump.

    Events of class ``signal`` may be fired from a signal handler, because
    they wake the poller.
    """


class DumpOnSignal(BaseComponent):
    """Write a dump to standard error when SIGUSR1 arrives."""

    channel = 'state_dump'

    def __init__(self, dump, stream=None):
        """Install the signal handler; must be called in the main thread.

        :param dump: Returns the state, as for :func:`to_jsonable`.
        :param stream: Output stream, by default standard error.
        """
        super().__init__(channel=self.channel)
        self._dump = dump
        self._stream = stream
        signal.signal(signal.SIGUSR1, self._on_signal)

    def _on_signal(self, signo, frame):
        # The signal may interrupt a change of the state, so the event loop
        # writes the dump.
        self.fire(dump_requested(signo, frame))

    @handler('dump_requested')
    def _on_dump_requested(self, signo, frame):
        stream = self._stream or sys.stderr
        line = to_json({'state': self._dump()}).decode()
        print(line, file=stream, flush=True)
