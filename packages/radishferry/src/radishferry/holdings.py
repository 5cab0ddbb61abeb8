"""Keep the set of ranges that one server holds or will hold."""

from __future__ import annotations

import dataclasses
import typing

from radishferry import actions

if typing.TYPE_CHECKING:
    from radishferry import assignment as assignment_module

#: Time between repeated requests to other coordinators, in seconds.
REPEAT_INTERVAL_S = 0.1


@dataclasses.dataclass
class _Pending:
    assignment: assignment_module.RangeAssignment
    unreleased: list[str]
    asked_at: float = float('-inf')


@dataclasses.dataclass(frozen=True)
class _Release:
    host: str
    epoch: int
    after_seq: int
    floors: dict[int, int]

    def is_met(self, held, answered_seq):
        return answered_seq > self.after_seq and all(
            held.get(range_id, epoch) >= epoch
            for range_id, epoch in self.floors.items()
        )


class Holdings:
    """Decide which ranges a server may be granted.

    ``desired`` is the set that the server is to hold, ``held`` what it says
    it holds, ``announced`` what is open for work.  Methods named after an
    event change these; the others return :mod:`radishferry.actions`.
    """

    def __init__(self, server, ranges):
        """Begin without ranges.

        :param server: Name of the server.
        :param int ranges: Number of hash ranges of the service.
        """
        self._server = server
        self._ranges = ranges
        self._rows = {}
        self.forget()

    def forget(self):
        """Drop everything but the rows of the table."""
        self._baseline = None
        self._desired = {}
        self._sent_ranges = None
        self._held = {}
        self._announced = {}
        self._pending = {}
        self._floors = {}
        self._releases = {}
        self._promotions = {}

    @property
    def desired(self) -> dict[int, int]:
        """Return range id to epoch of the set to hold."""
        return self._desired

    @property
    def announced(self) -> dict[int, int]:
        """Return range id to epoch of the ranges open for work."""
        return self._announced

    @property
    def has_baseline(self) -> bool:
        """Tell whether the rows were read since this host acts."""
        return self._baseline is not None

    @property
    def has_changed(self) -> bool:
        """Tell whether the server has not been told the desired set."""
        return self._desired != self._sent_ranges

    @property
    def is_within_desired(self) -> bool:
        """Tell whether the server holds nothing but the desired set."""
        return self._held.items() <= self._desired.items()

    @property
    def is_empty(self) -> bool:
        """Tell whether the server holds no range and will get none."""
        owns = any(row.owner == self._server for row in self._rows.values())
        return not (self._held or self._desired or owns)

    @property
    def orphans(self) -> dict[int, int]:
        """Return ranges assigned to the server that need a new epoch."""
        if self._baseline is None:
            return {}
        return {
            range_id: row.epoch
            for range_id, row in self._rows.items()
            if row.owner == self._server
            and self._desired.get(range_id, 0) < row.epoch
            and range_id not in self._pending
            and row.epoch <= self._epoch_floor(range_id)
        }

    # Rows of the table.

    def read_baseline(self, rows):
        """Take the rows read after take-over.

        Epochs up to these were known before this host acted, and may have
        been used and lost; they are not granted anew.
        """
        if self._baseline is None:
            # The last coordinator may have been asked to promote the server.
            self._baseline = {
                range_id: row.standby_epoch
                if row.standby == self._server
                else row.epoch
                for range_id, row in rows.items()
            }

    def take_rows(self, rows):
        """Take rows that are newer than those known."""
        for range_id, row in rows.items():
            known = self._rows.get(range_id)
            if known is not None and known.epoch >= row.epoch:
                if known.epoch > row.epoch or known.owner != row.owner:
                    continue
            self._rows[range_id] = row
            if row.owner != self._server:
                self._pending.pop(range_id, None)
                self._promotions.pop(range_id, None)

    def plan(self, rows=None):
        """Wait for the releases that rows of this server need.

        :param rows: Those to look at, by default all known.
        """
        if self._baseline is None:
            return
        for range_id in self._rows if rows is None else rows:
            row = self._rows[range_id]
            if row.owner != self._server:
                continue
            if row.epoch <= self._epoch_floor(range_id):
                continue
            if self._desired.get(range_id, 0) >= row.epoch:
                continue
            known = self._pending.get(range_id)
            if known is None or known.assignment.epoch < row.epoch:
                # The former owner comes before its standby, which it could
                # still promote until it has released the range.
                self._pending[range_id] = _Pending(row, list(row.previous))

    def advance(self, now):
        """Ask for releases and desire ranges that have all of them."""
        result = []
        for range_id, pending in list(self._pending.items()):
            row = pending.assignment
            if not pending.unreleased:
                del self._pending[range_id]
                self._desired[range_id] = row.epoch
                continue
            if now >= pending.asked_at + REPEAT_INTERVAL_S:
                pending.asked_at = now
                result.append(
                    actions.RequestRelease(
                        pending.unreleased[0], range_id, row.epoch
                    )
                )
        return result

    # Releases.

    def revoke(self, range_id, epoch) -> dict[int, int] | None:
        """Give up a range below an epoch.

        :returns: Range id to the epoch below which it must not be held for
            the release, None when the row of the range is not known.
        """
        floors = self._release_floors(range_id, epoch)
        if floors is None:
            return None
        self._floors[range_id] = max(epoch, self._floors.get(range_id, 0))
        for floored, floor in floors.items():
            if self._desired.get(floored, floor) < floor:
                del self._desired[floored]
                self._announced.pop(floored, None)
        pending = self._pending.get(range_id)
        if pending and pending.assignment.epoch < epoch:
            del self._pending[range_id]
        self._promotions.pop(range_id, None)
        return floors

    def owe_release(self, host, range_id, epoch, after_seq, floors):
        """Remember to confirm a release.

        :param after_seq: Only the answer to a later request proves it.
        :param floors: Result of :meth:`revoke`.
        """
        self._releases[range_id, host] = _Release(
            host, epoch, after_seq, floors
        )

    def released(self, server, range_id, epoch):
        """Take the release of a range by another server."""
        pending = self._pending.get(range_id)
        if pending is None or pending.assignment.epoch > epoch:
            return
        if pending.unreleased and pending.unreleased[0] == server:
            pending.unreleased.pop(0)
            pending.asked_at = float('-inf')

    def reply_releases(self, answered_seq):
        """Confirm the releases that an answer of the server proves."""
        ready = [
            (key, release)
            for key, release in self._releases.items()
            if release.is_met(self._held, answered_seq)
        ]
        for key, _ in ready:
            del self._releases[key]
        return [
            actions.ReplyReleased(release.host, key[0], release.epoch)
            for key, release in ready
        ]

    def reply_all_releases(self):
        """Confirm all releases, because the server holds nothing."""
        waiting, self._releases = self._releases, {}
        return [
            actions.ReplyReleased(release.host, range_id, release.epoch)
            for (range_id, _), release in waiting.items()
        ]

    # What the server holds.

    def fenced(self, ranges, *, keeps):
        """Take what the server holds after the fence.

        :param bool keeps: Whether it may go on holding it.
        """
        self._held = dict(ranges)
        self._sent_ranges = dict(ranges)
        self._desired = dict(ranges) if keeps else {}

    def answered(self, ranges, sent_ranges):
        """Take what the server holds after a renewal.

        :param sent_ranges: The set that the renewal asked for, None when it
            asked to keep the present one.
        """
        self._held = dict(ranges)
        if sent_ranges is not None:
            self._sent_ranges = sent_ranges
        dropped = [
            range_id
            for range_id, epoch in self._desired.items()
            if (self._sent_ranges or {}).get(range_id) == epoch
            and self._held.get(range_id) != epoch
        ]
        for range_id in dropped:
            # The server's lease lapsed, or it refused the epoch.
            del self._desired[range_id]
            self._announced.pop(range_id, None)
            self._raise_floor(range_id)

    def promote(self, epochs):
        """Desire ranges for which the server is the standby."""
        for range_id, epoch in epochs.items():
            row = self._rows.get(range_id)
            if row is None or row.standby != self._server:
                continue
            if row.standby_epoch != epoch:
                continue
            if epoch < self._floors.get(range_id, 0):
                continue
            if self._desired.get(range_id, 0) < epoch:
                self._desired[range_id] = epoch

    def announce(self, again=()):
        """Announce the ranges that have become active.

        :param again: Ranges to announce once more.
        """
        fresh = {
            range_id: epoch
            for range_id, epoch in self._desired.items()
            if self._held.get(range_id) == epoch
            and self._announced.get(range_id) != epoch
            and self._is_in_table(range_id, epoch)
        }
        self._announced.update(fresh)
        repeated = {
            range_id: self._announced[range_id]
            for range_id in again
            if range_id in self._announced
        }
        if not fresh and not repeated:
            return []
        result = [actions.AnnounceRoutes({**repeated, **fresh})]
        if fresh:
            result.append(actions.RangesTaken(tuple(fresh)))
        return result

    # Loss of the server.

    def restarted(self):
        """Take the restart of the server, which forgets what it held."""
        self._pending = {}
        self._baseline = None
        return self.lose()

    def lose(self):
        """Promote the standbys of all ranges."""
        lost, self._desired = self._desired, {}
        self._held = {}
        self._announced = {}
        self._sent_ranges = {}
        for range_id, epoch in lost.items():
            self._raise_floor(range_id)
            row = self._rows.get(range_id)
            if row is None or row.owner != self._server:
                continue
            if row.epoch == epoch and row.standby:
                self._promotions[range_id] = (row.standby, row.standby_epoch)
        return self.repeat_promotions()

    def repeat_promotions(self):
        """Ask again for promotions that were not seen to succeed."""
        by_server = {}
        for range_id, (server, epoch) in self._promotions.items():
            by_server.setdefault(server, {})[range_id] = epoch
        return [
            actions.PromoteStandby(server, epochs)
            for server, epochs in by_server.items()
        ]

    def route_seen(self, range_id, epoch):
        """Note that a range is active elsewhere under an epoch."""
        promotion = self._promotions.get(range_id)
        if promotion is not None and epoch >= promotion[1]:
            del self._promotions[range_id]

    def _release_floors(self, range_id, epoch):
        if range_id < self._ranges:
            return {range_id: epoch}
        # A hot key was part of its hash range, which must be released too,
        # below the epoch it got when the key was split out.
        row = self._rows.get(range_id)
        if row is None or row.epoch < epoch or row.key_hash is None:
            return None
        home = row.key_hash % self._ranges
        if home not in self._rows:
            return None
        return {range_id: epoch, home: self._rows[home].epoch}

    def _is_in_table(self, range_id, epoch):
        # A host that missed the row with this epoch may also have missed
        # that a hot key was split out of the range.
        row = self._rows.get(range_id)
        if row is None:
            return False
        if row.epoch == epoch:
            return row.owner == self._server
        return row.standby_epoch == epoch and row.standby == self._server

    def _epoch_floor(self, range_id):
        # A floor that was set by a release of epoch e still allows e.
        return max(
            (self._baseline or {}).get(range_id, 0),
            self._floors.get(range_id, 0) - 1,
        )

    def _raise_floor(self, range_id):
        row = self._rows.get(range_id)
        if row is not None and row.owner == self._server:
            floor = row.epoch + 1
            self._floors[range_id] = max(floor, self._floors.get(range_id, 0))
