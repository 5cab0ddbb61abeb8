"""Keep what servers announce in their answers, for reports to other hosts."""

from __future__ import annotations

import dataclasses

#: Highest number of incarnations whose announcements are kept; the oldest are
#: dropped. The largest deployment has about 330 servers.
MAX_INCARNATIONS = 1024


@dataclasses.dataclass(frozen=True)
class Notice:
    """Describe what one incarnation of a server has announced to a host.

    :ivar is_leaving: Whether it is about to stop.
    :ivar pause_s: Seconds for which it still wants no requests from that
        host, 0 if it has not requested a pause.
    :ivar age_s: Seconds since the latest announcement.
    :ivar has_named_limit: Whether it has ever named a limit.
    :ivar limit_per_s: Requests a second that it takes from all hosts together,
        None if it names no limit any more.
    """

    incarnation: tuple[str, int]
    is_leaving: bool
    pause_s: float
    age_s: float
    has_named_limit: bool = False
    limit_per_s: float | None = None


@dataclasses.dataclass(frozen=True)
class _Announced:
    is_leaving: bool = False
    paused_until: float = 0.0
    received_at: float = 0.0
    has_named_limit: bool = False
    limit_per_s: float | None = None


class Announcements:
    """Keep the latest announcements of servers to this host."""

    def __init__(self):
        self._by_incarnation = {}
        self._new = {}

    def note_leaving(self, incarnation, now) -> bool:
        """Record that a server is about to stop.

        :returns: Whether this is new.
        """
        known = self._by_incarnation.get(incarnation)
        if known is not None and known.is_leaving:
            return False
        self._note(incarnation, now, is_leaving=True)
        return True

    def note_pause(self, incarnation, pause_s, now):
        """Record that a server wants no requests for some seconds."""
        self._note(incarnation, now, paused_until=now + pause_s)

    def note_limit(self, incarnation, limit_per_s, now):
        """Record the limit that a server named, None if it has ended."""
        self._note(
            incarnation, now, has_named_limit=True, limit_per_s=limit_per_s
        )

    def take_new(self, now) -> list[Notice]:
        """Return the announcements since the last call."""
        new, self._new = self._new, {}
        return [
            _notice(incarnation, announced, now)
            for incarnation, announced in new.items()
        ]

    def resend_all(self):
        """Return all announcements again in the next call of :meth:`take_new`.

        Used when the report goes to a host that has none of them.
        """
        self._new = dict(self._by_incarnation)

    def _note(self, incarnation, now, **changes):
        known = self._by_incarnation.pop(incarnation, _Announced())
        announced = dataclasses.replace(known, received_at=now, **changes)
        self._by_incarnation[incarnation] = self._new[incarnation] = announced
        if len(self._by_incarnation) > MAX_INCARNATIONS:
            oldest = next(iter(self._by_incarnation))
            del self._by_incarnation[oldest]
            self._new.pop(oldest, None)


def _notice(incarnation, announced, now):
    return Notice(
        incarnation,
        announced.is_leaving,
        max(0.0, announced.paused_until - now),
        now - announced.received_at,
        announced.has_named_limit,
        announced.limit_per_s,
    )
