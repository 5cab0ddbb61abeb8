"""Encode the key map of a service as one row of the store."""

from __future__ import annotations

import dataclasses
import itertools
import math

import orjson

from radishferry.direct import key_map

#: Longest value of a row in bytes; the store takes 64 KiB.
MAX_ROW_BYTES = 65536


class RowError(Exception):
    """Report a row that is no key map."""


@dataclasses.dataclass(frozen=True)
class KeyRow:
    """Hold a key map as it is written.

    :ivar write_id: Identifies the write, so that one whose answer was lost
        is recognised.
    :ivar held_until_s: For each segment, until when its previous lives hold
        keys at the latest, on the store's clock; shorter where it is not
        known.
    """

    segments: tuple[key_map.Segment, ...]
    write_id: str
    held_until_s: tuple[tuple[float, ...], ...] = ()


def encode(row: KeyRow) -> bytes:
    """Return the value of the row.

    :raises RowError: It would be longer than :data:`MAX_ROW_BYTES`.
    """
    lives = {}
    for segment in row.segments:
        for life in (segment.owner, *segment.previous):
            lives.setdefault(life, len(lives))
    value = orjson.dumps(
        {
            'write_id': row.write_id,
            'lives': list(lives),
            'segments': [
                [
                    s.start,
                    s.end,
                    lives[s.owner],
                    s.fence,
                    [lives[life] for life in s.previous],
                    # Rounded up, so that no hold ends earlier than it may.
                    [math.ceil(until_s * 10) / 10 for until_s in ends],
                ]
                for s, ends in itertools.zip_longest(
                    row.segments, row.held_until_s, fillvalue=()
                )
            ],
        }
    )
    if len(value) > MAX_ROW_BYTES:
        raise RowError(f'{len(value)} bytes are too long')
    return value


def decode(value: bytes, version: int) -> KeyRow:
    """Return the key map of a row.

    :param version: Version of the row, which is the fencing token of the
        segments that it changed.
    :raises RowError: The row cannot be read.
    """
    try:
        document = orjson.loads(value)
        lives = [(str(name), int(born)) for name, born in document['lives']]
        return KeyRow(
            tuple(
                key_map.Segment(
                    int(start),
                    int(end),
                    lives[owner],
                    int(fence) or version,
                    tuple(lives[index] for index in previous),
                )
                for start, end, owner, fence, previous, *_ in document[
                    'segments'
                ]
            ),
            str(document['write_id']),
            tuple(
                # A host of an older version writes no ends.
                tuple(map(float, itertools.chain.from_iterable(ends)))
                for _, _, _, _, _, *ends in document['segments']
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError) as exc:
        raise RowError(f'no key map: {exc!r}') from exc
