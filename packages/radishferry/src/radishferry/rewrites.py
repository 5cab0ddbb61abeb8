"""Rewrite the assignment of one range without losing a possible holder.

The row of a range lists the servers that may hold it and their epochs. These
rules keep the list complete:

- A server that a row names as owner or standby may hold the range from then
  on, a standby because it may be promoted without a write.  A rewrite that
  removes or replaces one of them therefore uses an epoch above both and lists
  both in ``previous``, together with everything that is still listed there.
  A server that stays is listed too, because it may hold a lower epoch.
- A standby may be named under the current epoch where there is none, because
  no other server can have been promoted under the epoch reserved for it.  Thus
  an epoch has one owner and never two standbys.
- ``previous`` is emptied only once the owner, or the promoted standby, is
  active under the epoch of the row.  This requires that a coordinator makes a
  server active, by grant or by promotion, only after every server in
  ``previous`` has released the range below its epoch, and that after a
  takeover the new coordinator grants a range that its server does not report
  as held only on the basis of a row read from the table after the takeover.
  The reason is that a release confirmed by the former coordinator for a
  server that never held the range leaves no record at that server.
- A server that an operator declared lost counts as having released the range
  and is not listed.

A hot key that is merged back leaves a retired row: no owner, the key hash,
and in ``previous`` the servers that may still hold it.
"""

from __future__ import annotations

import dataclasses

from radishferry import assignment


def reassign(old, owner, standby, lost=frozenset(), must_release=()):
    """Return an assignment to another owner or standby.

    :param old: Current ``RangeAssignment``.
    :param owner: Name of the owner, which may be the current one.
    :param standby: Name of the standby; empty for none.
    :param lost: Names of servers declared lost.
    :param must_release: Further servers that must release the range first.
    """
    return dataclasses.replace(
        old,
        owner=owner,
        epoch=old.next_epoch,
        standby=standby,
        previous=_unique((*possible_holders(old), *must_release), lost),
    )


def assign_standby(old, standby):
    """Return an assignment with a standby where there was none.

    :raises ValueError: The range has a standby, which may be promoted.
    """
    if old.standby:
        raise ValueError(f'standby {old.standby!r} may already be promoted')
    return dataclasses.replace(old, standby=standby)


def drop_lost(old, lost):
    """Return an assignment whose ``previous`` names no lost server."""
    if not lost.intersection(old.previous):
        return old
    return dataclasses.replace(old, previous=_unique(old.previous, lost))


def record_active(old, epoch, server):
    """Return the row to write once a server is active.

    :param old: Current ``RangeAssignment``.
    :param epoch: Epoch that the coordinator of the server announced.
    :param server: Name of the server.
    :returns: ``old`` itself when the announcement is older than it.
    :raises ValueError: The row does not reserve the epoch for the server.
    """
    if epoch < old.epoch:
        return old
    expected = {old.epoch: old.owner, old.standby_epoch: old.standby}
    if not server or expected.get(epoch) != server:
        raise ValueError(
            f'epoch {epoch} of server {server!r} is not reserved by {old!r}'
        )
    standby = old.standby if epoch == old.epoch else ''
    return dataclasses.replace(
        old, owner=server, epoch=epoch, standby=standby, previous=()
    )


def record_promotion(old, range_epoch, server):
    """Return the row to write once a promoted standby is active.

    The promoted server has no standby.  The next plan names one under the
    same epoch; by then the former owner, when it is the only other server of
    the data centre, can be named again.

    :param old: Current ``RangeAssignment``.
    :param range_epoch: Epoch under which the standby is active.
    :param server: Name of the standby.
    :returns: ``old`` itself when the promotion is older than it.
    :raises ValueError: The row does not reserve the epoch for the server.
    """
    return record_active(old, range_epoch, server)


def split(range_assignment, key_hash, retired=None, lost=frozenset()):
    """Return the first assignment of a key split out of its hash range.

    :param range_assignment: Current assignment of the hash range.
    :param key_hash: Hash of the key.
    :param retired: Retired row of the range id that the key gets, None when
        the id was never used.
    :param lost: Names of servers declared lost.
    """
    # Without a retired row, the next epoch is 1, the first one.
    base = retired or assignment.RangeAssignment('', -1)
    former = (*possible_holders(range_assignment), *base.previous)
    return assignment.RangeAssignment(
        range_assignment.owner,
        base.next_epoch,
        range_assignment.standby,
        _unique(former, lost),
        key_hash,
    )


def retire(old, lost=frozenset()):
    """Return the row of a hot key that is merged back into its hash range."""
    return reassign(old, '', '', lost)


def record_released(old):
    """Return the row of a retired key once all its servers have released it.

    The range id can then be given to another key.

    :raises ValueError: The row is not retired.
    """
    if old.owner:
        raise ValueError(f'{old!r} is not retired')
    return dataclasses.replace(old, previous=(), key_hash=None)


def is_retired(row):
    """Return whether a row belongs to a hot key that was merged back."""
    return not row.owner


def is_free(row):
    """Return whether the range id of a row can be given to another key."""
    return not row.owner and not row.previous


def retired_keys(assignments):
    """Return the keys that must be released before they are served again.

    :param assignments: Mapping of range id to ``RangeAssignment``.
    :returns: Mapping of key hash to the range id of its retired row.
    """
    return {
        row.key_hash: range_id
        for range_id, row in assignments.items()
        if is_retired(row) and row.previous
    }


def possible_holders(row):
    """Return every server that may hold a range, newest first."""
    return _unique((row.owner, row.standby, *row.previous))


def _unique(names, dropped=frozenset()):
    return tuple(n for n in dict.fromkeys(names) if n and n not in dropped)
