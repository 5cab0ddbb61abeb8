"""Define the actions that a coordinator asks its host to perform."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class SendLease:
    """Send a lease request to the server.

    The first request after a takeover is the fence: it carries a new term,
    names no ranges, does not extend the lease, and makes the server refuse
    lower terms.

    :ivar term: Term of the coordinator.
    :ivar seq: Sequence number within the term.
    :ivar expires_at_ms: Expiry on the server's clock, in milliseconds; 0 does
        not extend the lease.
    :ivar ranges: Range id to epoch of the whole set, None to leave the set
        unchanged.
    :ivar boot_id: Server process on whose clock the expiry is given; any
        other process ignores the expiry and the ranges.  Empty in a fence.
    """

    term: int
    seq: int
    expires_at_ms: float
    ranges: dict[int, int] | None
    boot_id: str = ''


@dataclasses.dataclass(frozen=True)
class ReadBaseline:
    """Read the range assignments from the table."""


@dataclasses.dataclass(frozen=True)
class AnnounceCoordinator:
    """Announce to all hosts that this host coordinates the server."""

    term: int


@dataclasses.dataclass(frozen=True)
class AnnounceRoutes:
    """Announce to all hosts which ranges are active on the server.

    :ivar epochs: Range id to epoch.
    """

    epochs: dict[int, int]


@dataclasses.dataclass(frozen=True)
class AnnounceOrphans:
    """Report the ranges that need a new epoch to the placement writer.

    :ivar epochs: Range id to the epoch in the table.
    """

    epochs: dict[int, int]


@dataclasses.dataclass(frozen=True)
class RequestRelease:
    """Ask the coordinator of another server to release a range.

    :ivar server: Server that may hold the range.
    :ivar range_id: The range.
    :ivar epoch: Epoch below which it must be released.
    """

    server: str
    range_id: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class ConfirmRelease:
    """Confirm to a host that the server holds no lower epoch of a range."""

    host: str
    range_id: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class QuerySuccessors:
    """Ask later hosts of the assignment whether they fenced the server.

    :ivar hosts: Names of the hosts.
    :ivar query_id: Returned in the reply.
    :ivar term: Last term that the server accepted.
    """

    hosts: tuple[str, ...]
    query_id: int
    term: int


@dataclasses.dataclass(frozen=True)
class PromoteStandby:
    """Ask the coordinator of a standby to activate ranges.

    :ivar server: The standby.
    :ivar epochs: Range id to the epoch reserved for the standby.
    """

    server: str
    epochs: dict[int, int]


@dataclasses.dataclass(frozen=True)
class StopWork:
    """Stop sending work to the server.

    :ivar refuse_queued: Whether queued work is refused as ``not-run``,
        because this host no longer coordinates the server.
    :ivar is_lost: Whether the server is lost, so that the requests it runs
        will not be answered.
    """

    refuse_queued: bool
    is_lost: bool = False


@dataclasses.dataclass(frozen=True)
class StartWork:
    """Start sending work to the server."""


@dataclasses.dataclass(frozen=True)
class RangesActivated:
    """Report that ranges became active on the server of this host.

    :ivar range_ids: The ranges.
    """

    range_ids: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Hand the server over to another host once its work has drained.

    :ivar host: Name of the host.
    """

    host: str
