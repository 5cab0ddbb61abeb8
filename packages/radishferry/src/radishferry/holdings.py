"""Manage the set of ranges that one server holds or is to hold."""

from __future__ import annotations

import dataclasses
import typing

from radishferry import actions

if typing.TYPE_CHECKING:
    from radishferry import assignment as assignment_module

#: Interval at which requests to other coordinators are resent, in seconds.
REPEAT_INTERVAL_S = 0.1


@dataclasses.dataclass
class _PendingGrant:
    assignment: assignment_module.RangeAssignment
    unreleased: list[str]
    requested_at: float = float('-inf')


@dataclasses.dataclass(frozen=True)
class _PendingRelease:
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

    ``desired`` is the set that the server is to hold, ``held`` the set that
    it last reported, ``announced`` the set that accepts work.
    """

    def __init__(self, server, ranges):
        """Initialise with no ranges.

        :param server: Name of the server.
        :param int ranges: Number of hash ranges of the service.
        """
        self._server = server
        self._ranges = ranges
        self._rows = {}
        self.reset()

    def reset(self):
        """Reset all state except the known range assignments."""
        self._baseline = None
        self._desired = {}
        self._sent_ranges = None
        self._held = {}
        self._announced = {}
        self._pending = {}
        # Range id to the lowest epoch that may be granted.
        self._floors = {}
        self._releases = {}
        self._promotions = {}

    @property
    def desired(self) -> dict[int, int]:
        """Return range id to epoch of the ranges to be held."""
        return self._desired

    @property
    def announced(self) -> dict[int, int]:
        """Return range id to epoch of the ranges that accept work."""
        return self._announced

    @property
    def has_baseline(self) -> bool:
        """Return whether the rows were read since this host took over."""
        return self._baseline is not None

    @property
    def has_changed(self) -> bool:
        """Return whether the desired set differs from the set last sent."""
        return self._desired != self._sent_ranges

    @property
    def is_within_desired(self) -> bool:
        """Return whether the server holds nothing outside the desired set."""
        return self._held.items() <= self._desired.items()

    @property
    def is_empty(self) -> bool:
        """Return whether the server holds no range and is to get none."""
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
            and row.epoch <= self._highest_unusable_epoch(range_id)
        }

    # Range assignments.

    def set_baseline(self, rows):
        """Set the baseline to the rows read after a takeover.

        Epochs up to these existed before this host took over.  A former
        coordinator may have used and lost them, so they are not granted
        again.
        """
        if self._baseline is None:
            # The former coordinator may have been asked to promote the server
            # as standby, under the reserved epoch.
            self._baseline = {
                range_id: row.standby_epoch
                if row.standby == self._server
                else row.epoch
                for range_id, row in rows.items()
            }

    def take_rows(self, rows):
        """Merge rows that are newer than the known ones."""
        for range_id, row in rows.items():
            known = self._rows.get(range_id)
            if known is not None and known.epoch >= row.epoch:
                if known.epoch > row.epoch or known.owner != row.owner:
                    continue
            self._rows[range_id] = row
            if row.owner != self._server:
                self._pending.pop(range_id, None)
                self._promotions.pop(range_id, None)

    def add_pending_grants(self, rows=None):
        """Register the releases needed before this server gets its ranges.

        :param rows: Ids of the rows to examine, by default all known rows.
        """
        if self._baseline is None:
            return
        for range_id in self._rows if rows is None else rows:
            row = self._rows[range_id]
            if row.owner != self._server:
                continue
            if row.epoch <= self._highest_unusable_epoch(range_id):
                continue
            if self._desired.get(range_id, 0) >= row.epoch:
                continue
            known = self._pending.get(range_id)
            if known is None or known.assignment.epoch < row.epoch:
                # The former owner is asked before its standby, because it
                # could still promote the standby until it has released the
                # range.
                self._pending[range_id] = _PendingGrant(
                    row, list(row.previous)
                )

    def advance(self, now):
        """Request missing releases; add fully released ranges to the set."""
        result = []
        for range_id, pending in list(self._pending.items()):
            row = pending.assignment
            if not pending.unreleased:
                del self._pending[range_id]
                self._desired[range_id] = row.epoch
                continue
            if now >= pending.requested_at + REPEAT_INTERVAL_S:
                pending.requested_at = now
                result.append(
                    actions.RequestRelease(
                        pending.unreleased[0], range_id, row.epoch
                    )
                )
        return result

    # Releases.

    def revoke(self, range_id, epoch) -> dict[int, int] | None:
        """Revoke the epochs of a range below the given one.

        :returns: Range id to the lowest epoch that may still be held when
            the release is confirmed, None when the row of the range is
            unknown.
        """
        floors = self._floors_for_release(range_id, epoch)
        if floors is None:
            return None
        self._floors[range_id] = max(epoch, self._floors.get(range_id, 0))
        for floored_id, floor in floors.items():
            if self._desired.get(floored_id, floor) < floor:
                del self._desired[floored_id]
                self._announced.pop(floored_id, None)
        pending = self._pending.get(range_id)
        if pending and pending.assignment.epoch < epoch:
            del self._pending[range_id]
        self._promotions.pop(range_id, None)
        return floors

    def queue_release(self, host, range_id, epoch, after_seq, floors):
        """Queue the confirmation of a release.

        :param after_seq: Only the response to a request with a higher
            sequence number proves the release.
        :param floors: Result of :meth:`revoke`.
        """
        self._releases[range_id, host] = _PendingRelease(
            host, epoch, after_seq, floors
        )

    def released(self, server, range_id, epoch):
        """Process the release of a range by another server."""
        pending = self._pending.get(range_id)
        if pending is None or pending.assignment.epoch > epoch:
            return
        if pending.unreleased and pending.unreleased[0] == server:
            pending.unreleased.pop(0)
            pending.requested_at = float('-inf')

    def reply_releases(self, answered_seq):
        """Confirm the releases that a response of the server proves."""
        ready = [
            (key, release)
            for key, release in self._releases.items()
            if release.is_met(self._held, answered_seq)
        ]
        for key, _ in ready:
            del self._releases[key]
        return [
            actions.ConfirmRelease(release.host, key[0], release.epoch)
            for key, release in ready
        ]

    def reply_all_releases(self):
        """Confirm all releases, because the server holds nothing."""
        waiting, self._releases = self._releases, {}
        return [
            actions.ConfirmRelease(release.host, range_id, release.epoch)
            for (range_id, _), release in waiting.items()
        ]

    # What the server holds.

    def fenced(self, ranges, *, keeps):
        """Process the ranges that the server holds after the fence.

        :param bool keeps: Whether the server may keep them.
        """
        self._held = dict(ranges)
        self._sent_ranges = dict(ranges)
        self._desired = dict(ranges) if keeps else {}

    def answered(self, ranges, sent_ranges):
        """Process the ranges that the server holds after a renewal.

        :param sent_ranges: The set in the renewal, None when the renewal
            left the set unchanged.
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
            # The server's lease expired, or it refused the epoch.
            del self._desired[range_id]
            self._announced.pop(range_id, None)
            self._raise_floor(range_id)

    def promote(self, epochs):
        """Add ranges for which the server is the standby to the desired set.

        :param epochs: Range id to the epoch reserved for the standby.
        """
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

        :param again: Ids of ranges to announce again if they are active.
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
            result.append(actions.RangesActivated(tuple(fresh)))
        return result

    # Loss of the server.

    def restarted(self):
        """Process a restart of the server, which loses all its ranges."""
        self._pending = {}
        self._baseline = None
        return self.declare_lost()

    def declare_lost(self):
        """Promote the standbys of all ranges of the lost server."""
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
        """Resend the promotions whose success has not been observed."""
        by_server = {}
        for range_id, (server, epoch) in self._promotions.items():
            by_server.setdefault(server, {})[range_id] = epoch
        return [
            actions.PromoteStandby(server, epochs)
            for server, epochs in by_server.items()
        ]

    def route_seen(self, range_id, epoch):
        """Record that a range is active on another server under an epoch."""
        promotion = self._promotions.get(range_id)
        if promotion is not None and epoch >= promotion[1]:
            del self._promotions[range_id]

    def _floors_for_release(self, range_id, epoch):
        if range_id < self._ranges:
            return {range_id: epoch}
        # A hot key was part of its hash range, so the hash range must be
        # released too, below the epoch that it got in the split.
        row = self._rows.get(range_id)
        if row is None or row.epoch < epoch or row.key_hash is None:
            return None
        hash_range = row.key_hash % self._ranges
        if hash_range not in self._rows:
            return None
        return {range_id: epoch, hash_range: self._rows[hash_range].epoch}

    def _is_in_table(self, range_id, epoch):
        # A host that has not seen the row with this epoch may also have
        # missed that a hot key was split out of the range.
        row = self._rows.get(range_id)
        if row is None:
            return False
        if row.epoch == epoch:
            return row.owner == self._server
        return row.standby_epoch == epoch and row.standby == self._server

    def _highest_unusable_epoch(self, range_id):
        # A release below epoch e sets the floor to e, which may be granted.
        return max(
            (self._baseline or {}).get(range_id, 0),
            self._floors.get(range_id, 0) - 1,
        )

    def _raise_floor(self, range_id):
        row = self._rows.get(range_id)
        if row is not None and row.owner == self._server:
            # The epoch of the row was used and lost, so only higher ones may
            # be granted.
            floor = row.epoch + 1
            self._floors[range_id] = max(floor, self._floors.get(range_id, 0))
