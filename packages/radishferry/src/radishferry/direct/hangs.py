"""Decide which requests hang at a server that will never answer them.

Servers of some services accept a request that they cannot queue and never
answer it, nor any other request on the same connection. Slowness alone proves
nothing: the work of one request may take several times the mean, and a
server may be slow for some time. A request that may run only once is given up
only if the server itself reports that it has no request at all.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

#: Seconds after which a request that was sent has certainly reached a server
#: whose connection is still open: unacknowledged bytes close it after 0.7 s.
ARRIVED_S = 0.75
#: Seconds between two reports that must agree that a request is not at its
#: server. A response that is on its way while the first one is made arrives in
#: between, also if its packets have to be sent once more.
REPORT_INTERVAL_S = 0.5
#: Shortest time by which a request is sent later than another one for its
#: answer to say something about the other one, in seconds; the order of
#: arrival may differ by a new connection and a lost packet.
MIN_LATER_S = 0.1
#: Service times after which a request that began its work counts as hung.
#: Servers begin requests in the order of their arrival, so a request that was
#: overtaken is being worked on, or hangs. One in hundred takes 3 to 5 times
#: the mean.
OVERTAKEN_FACTOR = 5.0
#: Least time for the same, in seconds, for services with short requests.
MIN_OVERTAKEN_S = 0.5
#: Seconds past the end of the time that a server was given after which a
#: request without an answer is given up, whoever still waits for it. Servers
#: stop work at that time.
UNANSWERED_S = 1.0


class Evidence(enum.Enum):
    """Name what shows that a request hangs."""

    #: A request that was sent later was answered long ago.
    OVERTAKEN = 'overtaken'
    #: The server has fewer requests than this host alone has sent it.
    REPORT = 'report'
    #: The time that the server was given is over.
    UNANSWERED = 'unanswered'


class Pending(typing.Protocol):
    """Describe a request that was sent to a server.

    :ivar sent_at: When it was sent, in seconds.
    :ivar answer_by: When the time ends that the server was given, in seconds.
    :ivar usual_s: Usual time of such a request on a free slot, in seconds.
    :ivar is_idempotent: Whether it may run more than once.
    :ivar is_silent: Whether the server accepted the connection and has sent
        no byte of a response.
    """

    sent_at: float
    answer_by: float
    usual_s: float
    is_idempotent: bool
    is_silent: bool


@dataclasses.dataclass(frozen=True)
class Hung:
    """Report that a request hangs.

    :ivar pending: A :class:`Pending`.
    """

    pending: Pending
    evidence: Evidence


class Watch:
    """Compare the requests of this host at one server with its answers."""

    def __init__(self):
        """Start without requests."""
        #: When a request sent later was answered, or None, by request, in the
        #: order of sending.
        self._overtaken_at = {}
        #: Time of the first of several reports in a row that miss requests,
        #: and the requests of that time, None without one.
        self._first_short = None
        self._missed = []

    def __bool__(self):
        """Return whether there are requests to watch."""
        return bool(self._overtaken_at)

    def note_sent(self, pending):
        """Record that a request is sent."""
        self._overtaken_at[pending] = None

    def note_ended(self, pending):
        """Record that a request has ended, whatever its outcome."""
        self._overtaken_at.pop(pending, None)

    def note_answered(self, answered, now):
        """Record that the server has run a request.

        :param answered: The :class:`Pending`, already ended.
        """
        later_s = max(MIN_LATER_S, answered.usual_s)
        for pending, overtaken_at in self._overtaken_at.items():
            if pending.sent_at + later_s >= answered.sent_at:
                break
            if overtaken_at is None:
                self._overtaken_at[pending] = now

    def note_report(self, total, now):
        """Record how many requests the server says it has.

        :param total: Requests that run and wait there, without the one whose
            answer brought the report.
        """
        arrived = [
            pending
            for pending in self._overtaken_at
            if pending.is_silent and now - pending.sent_at >= ARRIVED_S
        ]
        if len(arrived) <= total:
            self._first_short = None
            return
        if self._first_short is None:
            self._first_short = now, arrived
            return
        first_at, suspects = self._first_short
        if now - first_at < REPORT_INTERVAL_S:
            return
        still = [p for p in suspects if p in arrived]
        if total:
            # Some of them hang, and it is not known which: the oldest ones
            # are assumed, and only if they may run again.
            oldest = still[: len(arrived) - total]
            still = [p for p in oldest if p.is_idempotent]
        self._missed = still

    def find(self, service_s, now) -> list[Hung]:
        """Return the requests that hang.

        :param service_s: Usual time of a request on a free slot of this
            server, in seconds, 0 if it is not known.
        """
        missed, self._missed = self._missed, []
        found = []
        for pending, overtaken_at in self._overtaken_at.items():
            if not pending.is_silent:
                continue
            if pending in missed:
                found.append(Hung(pending, Evidence.REPORT))
            elif now - pending.answer_by >= UNANSWERED_S:
                found.append(Hung(pending, Evidence.UNANSWERED))
            elif (
                overtaken_at is not None
                and pending.is_idempotent
                and now - overtaken_at
                >= max(
                    MIN_OVERTAKEN_S,
                    OVERTAKEN_FACTOR * max(service_s, pending.usual_s),
                )
            ):
                found.append(Hung(pending, Evidence.OVERTAKEN))
        return found
