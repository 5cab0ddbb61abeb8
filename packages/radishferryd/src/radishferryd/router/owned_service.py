"""Hold what the granting host knows of the keys of one service."""

from __future__ import annotations

import dataclasses

from radishferry.direct import granting
from radishferry.direct import key_rates
from radishferry.direct import key_rows
from radishferry.direct import plan_pacing


@dataclasses.dataclass(frozen=True)
class PendingWrite:
    """Hold a write of a new layout whose result is not known yet."""

    layout: tuple
    value: bytes
    write_id: str


class OwnedService:
    """Hold the granter of one service and the state for planning."""

    def __init__(self, name, hold_max_s):
        """Initialise without a row.

        :param hold_max_s: Longest lease that a server accepts, in seconds.
        """
        self.granter = granting.KeyGranter(name, hold_max_s)
        self.rates = key_rates.KeyRates()
        #: Version of the row in the store, 0 without one.
        self.row_version = 0
        #: Whether the row has to be written again after a restore.
        self.is_row_lost = False
        self.revision = 0
        self.published = {}
        self.plan_pacing = plan_pacing.PlanPacing()
        self.pending = None

    def note_restored(self, row_version):
        """Record that the store was restored from an older copy.

        A write whose result is unknown is forgotten: its keys have not been
        granted yet, and the row is written again in any case.

        :param row_version: Version that the row has now, 0 without one.
        """
        self.row_version = row_version
        self.pending = None
        self.is_row_lost = bool(self.granter.ranges)

    def changed_segments(self):
        """Return the segments that other hosts have to learn, and all."""
        current = {}
        for found in self.granter.ranges:
            segment = found.segment()
            previous = tuple(
                incarnation
                for incarnation in segment.previous
                if incarnation != granting.UNKNOWN_HOLDER
            )
            if not segment.previous and not found.confirmed_until:
                # Until the owner has confirmed its lease, the range is
                # published as unsettled, so that no host sends it requests.
                previous = (segment.owner,)
            # While only servers of lost rows may hold the range, requests
            # still go to the owner, which rejects them if it does not.
            current[segment.start] = dataclasses.replace(
                segment, previous=previous
            )
        changed = tuple(
            segment
            for start, segment in current.items()
            if self.published.get(start) != segment
        )
        return changed, current

    def resolve(self, row):
        """Take the row of a conflict over as the condition of later writes.

        This host holds leadership, so a row that it does not know was written
        by a call from before, which was executed late.

        :param row: The current row of the store.
        :returns: Its stamp if it is the pending write, else None.
        :raises key_rows.RowError: The row cannot be decoded.
        """
        found = key_rows.decode(row.value, row.version)
        if found.write_id == self.pending.write_id:
            return found.stamp
        self.row_version = row.version
        return None
