"""Encode the key map of a service as one row of the store."""

from __future__ import annotations

import dataclasses
import itertools
import math

import orjson

from radishferry import field_checks
from radishferry.direct import eras
from radishferry.direct import key_map

#: Longest value of a row in bytes; the store accepts up to 64 KiB.
MAX_ROW_BYTES = 65536
#: Highest start time and fencing token that messages between hosts carry.
MAX_NUMBER = 2**63 - 1


class RowError(Exception):
    """Raised when a row cannot be encoded or decoded."""


@dataclasses.dataclass(frozen=True)
class KeyRow:
    """Hold a key map as it is written to the store.

    :ivar write_id: Identifies the write, so that a write whose answer was
        lost is recognised when the row is read.
    :ivar held_until_s: For each segment, until when its former holders may
        hold keys at the latest, in seconds on the store's clock; has fewer
        items where that is not known.
    :ivar era: Era of the store for which the row was written, None if the
        store names none or the host runs an older version.
    :ivar stamp: Number that orders the rows of all eras, which is the fencing
        token of the segments that the row changed; 0 before it is written.
    """

    segments: tuple[key_map.Segment, ...]
    write_id: str
    held_until_s: tuple[tuple[float, ...], ...] = ()
    era: int | None = None
    stamp: int = 0


def encode(row: KeyRow) -> bytes:
    """Return the value of the row.

    :raises RowError: The value would be longer than :data:`MAX_ROW_BYTES`.
    """
    incarnations = {}
    for segment in row.segments:
        for incarnation in (segment.owner, *segment.previous):
            incarnations.setdefault(incarnation, len(incarnations))
    value = orjson.dumps(
        {
            'write_id': row.write_id,
            **({} if row.era is None else {'era': row.era}),
            # 'lives' is the stored name of the incarnations.
            'lives': list(incarnations),
            'segments': [
                [
                    s.start,
                    s.end,
                    incarnations[s.owner],
                    s.fence,
                    [incarnations[incarnation] for incarnation in s.previous],
                    # Rounded up, so that no lease seems to end too early.
                    [math.ceil(until_s * 10) / 10 for until_s in ends],
                ]
                for s, ends in itertools.zip_longest(
                    row.segments, row.held_until_s, fillvalue=()
                )
            ],
        }
    )
    if len(value) > MAX_ROW_BYTES:
        raise RowError(f'{len(value)} bytes exceed the limit of a row')
    return value


def decode(value: bytes, version: int) -> KeyRow:
    """Return the key map in a row.

    :param version: Version that the store gave to the row.
    :raises RowError: The value is not a key map.
    """
    try:
        document = orjson.loads(value)
        era = document.get('era')
        if era is not None:
            era = _integer(era, 0, eras.MAX_ERA)
        row_stamp = eras.stamp(era, version)
        incarnations = {
            index: (str(name), _integer(born, 0, MAX_NUMBER))
            for index, (name, born) in enumerate(document['lives'])
        }
        row = KeyRow(
            tuple(
                key_map.Segment(
                    _integer(start, 0, key_map.KEY_COUNT - 1),
                    _integer(end, start, key_map.KEY_COUNT - 1),
                    incarnations[owner],
                    _integer(fence, 0, MAX_NUMBER) or row_stamp,
                    tuple(incarnations[index] for index in previous),
                )
                for start, end, owner, fence, previous, *_ in document[
                    'segments'
                ]
            ),
            str(document['write_id']),
            tuple(
                # Hosts that run an older version write no lease ends.
                tuple(map(float, itertools.chain.from_iterable(ends)))
                for _, _, _, _, _, *ends in document['segments']
            ),
            era,
            row_stamp,
        )
        _check_order(row.segments)
        return row
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as exc:
        raise RowError(f'not a key map: {exc!r:.200}') from exc


def _check_order(segments):
    for before, after in itertools.pairwise(segments):
        if after.start <= before.end:
            raise ValueError(f'{after.start} follows {before.end}')


def _integer(value, low, high):
    if not field_checks.is_integer(value) or not low <= value <= high:
        raise ValueError(f'not an integer from {low} to {high}: {value!r:.40}')
    return value
