"""Keep what servers announce in their answers, for reports to other hosts."""

from __future__ import annotations

import dataclasses

#: Most lives whose announcements are kept; the oldest give way. The largest
#: deployment has about 330 servers.
MAX_LIVES = 1024


@dataclasses.dataclass(frozen=True)
class Notice:
    """Say what one life of a server has announced.

    :ivar is_leaving: Whether it is about to stop.
    :ivar pause_s: Seconds for which it still wants no request from the host
        that was told, 0 if it has not asked for that.
    :ivar age_s: Seconds since the host was told.
    """

    life: tuple[str, int]
    is_leaving: bool
    pause_s: float
    age_s: float


@dataclasses.dataclass(frozen=True)
class _Announced:
    is_leaving: bool
    paused_until: float
    heard_at: float


class Announcements:
    """Remember what servers have told this host."""

    def __init__(self):
        self._by_life = {}
        self._new = {}

    def note_leaving(self, life, now) -> bool:
        """Note that a server is about to stop.

        :returns: Whether this was not known.
        """
        known = self._by_life.get(life)
        if known is not None and known.is_leaving:
            return False
        until = known.paused_until if known is not None else 0.0
        self._note(life, _Announced(True, until, now))
        return True

    def note_pause(self, life, pause_s, now):
        """Note that a server wants no request for some seconds."""
        known = self._by_life.get(life)
        is_leaving = known is not None and known.is_leaving
        self._note(life, _Announced(is_leaving, now + pause_s, now))

    def take_new(self, now) -> list[Notice]:
        """Return what has been announced since the last call."""
        found, self._new = self._new, {}
        return [_notice(life, said, now) for life, said in found.items()]

    def repeat_all(self):
        """Return all of it at the next call, for a host that knows nothing."""
        self._new = dict(self._by_life)

    def _note(self, life, said):
        self._by_life.pop(life, None)
        self._by_life[life] = self._new[life] = said
        if len(self._by_life) > MAX_LIVES:
            oldest = next(iter(self._by_life))
            del self._by_life[oldest]
            self._new.pop(oldest, None)


def _notice(life, said, now):
    return Notice(
        life,
        said.is_leaving,
        max(0.0, said.paused_until - now),
        now - said.heard_at,
    )
