"""Take over the owners of keys from a store that lost its newest rows."""

from __future__ import annotations

import dataclasses

from radishferry.direct import key_map


def take_over(service, former, row, known, now):
    """Return the state of a service whose newest rows are lost.

    :param service: An empty
        :class:`~radishferryd.router.owned_service.OwnedService`.
    :param former: The state from the last term of this host, or None.
    :param row: A :class:`~radishferry.direct.key_rows.KeyRow`.
    :param known: The :class:`~radishferry.direct.key_map.KeyMap` of this host,
        or None.
    :param now: Seconds.
    """
    newest = max(row.stamp, known.version if known is not None else 0)
    if former is not None and former.granter.version >= newest:
        former.granter.resume(now)
        former.note_restored(former.row_version)
        return former
    service.granter.load(_newest_segments(row, known), row.stamp, now)
    service.granter.note_lost_rows(now)
    return service


def _newest_segments(row, known) -> tuple[key_map.Segment, ...]:
    """Return the newest owners that this host knows.

    The other hosts got the owners from the granting host, and the store may
    have lost its last rows since. Keys stay with the servers that have them.

    :param row: A :class:`~radishferry.direct.key_rows.KeyRow`.
    :param known: The :class:`~radishferry.direct.key_map.KeyMap` of this host,
        or None.
    """
    if known is None or known.version <= row.stamp or not _is_whole(known):
        return row.segments
    return tuple(
        dataclasses.replace(segment, previous=()) for segment in known.segments
    )


def _is_whole(known):
    next_key = 0
    for segment in known.segments:
        if segment.start != next_key:
            return False
        next_key = segment.end + 1
    return next_key == key_map.KEY_COUNT
