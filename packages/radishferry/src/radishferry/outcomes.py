"""Define the outcomes of a request and the reasons of refusals."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """State whether a request was executed, as far as is known."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """State why the router answered a request in place of the server."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_PATH = 'unknown-path'
    MISSING_KEY = 'missing-key'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    NOT_READY = 'not-ready'
    NO_OWNER = 'no-owner'
    STALE_ROUTE = 'stale-route'
    UNREACHABLE = 'unreachable'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    SHED = 'shed'
    POISON = 'poison'
    DUPLICATE = 'duplicate'
    POSSIBLY_RUN = 'possibly-run'
    STOPPING = 'stopping'
    SERVER_LOST = 'server-lost'
    CANCELLED = 'cancelled'


#: HTTP status of the answer for each reason.
STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_PATH: 404,
    Reason.MISSING_KEY: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NOT_READY: 503,
    Reason.NO_OWNER: 503,
    Reason.STALE_ROUTE: 503,
    Reason.UNREACHABLE: 503,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE: 504,
    Reason.SHED: 503,
    Reason.POISON: 422,
    Reason.DUPLICATE: 409,
    Reason.POSSIBLY_RUN: 409,
    Reason.STOPPING: 503,
    Reason.SERVER_LOST: 502,
    Reason.CANCELLED: 499,
}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Describe an answer that the router gives in place of the server.

    :ivar outcome: ``NOT_RUN`` or ``UNKNOWN``.
    :ivar reason: Why there is no answer from the server.
    :ivar retry_after_s: Seconds after which to retry; None when a retry
        cannot help.
    :ivar detail: One sentence for the caller.
    """

    outcome: Outcome
    reason: Reason
    retry_after_s: float | None = None
    detail: str = ''

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer."""
        return STATUS_BY_REASON[self.reason]
