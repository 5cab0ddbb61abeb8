"""Declare the results of attempts and the refusals sent to callers."""

from __future__ import annotations

import dataclasses
import enum

from radishferryd import http_message


@dataclasses.dataclass(frozen=True)
class Answered:
    """Hold the complete response of a server.

    :ivar is_streamed: Whether the body was streamed to the caller. ``body`` is
        empty then.
    """

    head: http_message.Head
    body: bytes
    is_streamed: bool = False

    def allows_retry(self, is_idempotent) -> bool:
        """Return whether another attempt may follow this result."""
        return True


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Report that the server has not run the request and never will.

    :ivar is_misdirected: Whether the server does not hold the key or is not
        the server that the request names.
    :ivar is_another_server: Whether the server at the address has named itself
        as another one.
    :ivar is_unreachable: Whether no connection could be opened.
    :ivar is_server_dead: Whether nothing listens at the server's address.
    :ivar is_host_exhausted: Whether this host had no descriptor for another
        connection, which says nothing about the server.
    """

    detail: str
    is_misdirected: bool = False
    is_unreachable: bool = False
    is_server_dead: bool = False
    is_host_exhausted: bool = False
    is_another_server: bool = False

    def allows_retry(self, is_idempotent) -> bool:
        """See :meth:`Answered.allows_retry`."""
        return not self.is_host_exhausted

    @property
    def is_not_run(self) -> bool:
        """Return whether the request has certainly not run."""
        return True


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Report that the server may have run the request.

    :ivar is_connection_lost: Whether the connection was lost.
    :ivar is_unacknowledged: Whether it was lost because the server
        acknowledged none of the sent bytes.
    :ivar has_response_started: Whether a part of the response has been sent
        to the caller, so that no other response is possible.
    """

    detail: str
    is_connection_lost: bool = False
    has_response_started: bool = False
    is_unacknowledged: bool = False

    def allows_retry(self, is_idempotent) -> bool:
        """See :meth:`Answered.allows_retry`."""
        return is_idempotent

    @property
    def is_not_run(self) -> bool:
        """Return whether the request has certainly not run."""
        return False


class Reason(enum.Enum):
    """Name why the host refused a request."""

    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    BAD_REQUEST = 'bad-request'
    BAD_KEY = 'bad-key'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    HEADER_TIMEOUT = 'header-timeout'
    BODY_TIMEOUT = 'body-timeout'
    NO_OWNER = 'no-owner'
    OWNER_UNREACHABLE = 'owner-unreachable'
    NO_SERVER = 'no-server'
    LINKS_LOST = 'links-lost'
    RELAY_LIMIT = 'relay-limit'
    SERVER_PAUSED = 'server-paused'
    RATE_LIMITED = 'rate-limited'
    OVERLOADED = 'overloaded'
    OUTRANKED = 'outranked'
    TOO_LATE = 'too-late'
    FULL = 'full'
    HOT_KEY = 'hot-key'
    POISON = 'poison'
    NOT_RUN = 'not-run'
    BAD_ANSWER = 'bad-answer'
    TIMEOUT = 'timeout'
    STOPPING = 'stopping'
    MEMORY = 'memory'
    #: A reason that another host gave and this version does not know.
    OTHER = 'other'

    @classmethod
    def of(cls, name):
        """Return the reason with a name, :attr:`OTHER` if it is unknown."""
        try:
            return cls(name)
        except ValueError:
            return cls.OTHER


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Describe the response to a request that the host refuses.

    The statuses 408, 421, 429 and 503 promise that the request has not run
    and never will.

    :ivar retry_after_s: Seconds after which the caller may retry, None if it
        should not.
    """

    status: int
    reason: Reason
    detail: str
    retry_after_s: float | None = None


#: Reasons for which a further host may still take a relayed request: the host
#: that gave them has lost its links too, or has no capacity for it.
_UNABLE = frozenset(
    (
        Reason.LINKS_LOST,
        Reason.NO_CONFIGURATION,
        Reason.RELAY_LIMIT,
        Reason.STOPPING,
    )
)
#: Reasons that show that another host does not reach a server either. It may
#: have lost its links too without knowing it yet.
_UNREACHABLE = frozenset((Reason.NO_SERVER, Reason.OWNER_UNREACHABLE))


@dataclasses.dataclass(frozen=True)
class HostRefused:
    """Report that another host has refused a relayed request.

    :ivar is_not_run: Whether the request has certainly not run.
    """

    status: int
    reason: Reason
    detail: str
    retry_after_s: float | None
    is_not_run: bool

    @property
    def is_host_unable(self) -> bool:
        """Return whether a further host may be able to serve the request."""
        return self.reason in _UNABLE

    @property
    def is_unreachable(self) -> bool:
        """Return whether the other host did not reach a server."""
        return self.reason in _UNREACHABLE
