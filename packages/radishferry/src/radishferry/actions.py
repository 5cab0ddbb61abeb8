"""Declare what a coordinator asks its host to do."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class SendLease:
    """Send a lease request to the server.

    :ivar term: Term of the coordinator.
    :ivar seq: Sequence number within the term.
    :ivar expires_at_ms: Expiry on the server's clock, 0 extends nothing.
    :ivar ranges: Range id to epoch of the whole set, None to keep it.
    :ivar boot_id: Process whose clock the expiry is read from; another
        process ignores the expiry and the ranges.  Empty in a fence.
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
    """Tell all hosts who coordinates the server."""

    term: int


@dataclasses.dataclass(frozen=True)
class AnnounceRoutes:
    """Tell all hosts which ranges are active at the server.

    :ivar epochs: Range id to epoch.
    """

    epochs: dict[int, int]


@dataclasses.dataclass(frozen=True)
class AnnounceOrphans:
    """Tell the placement writer which ranges need a new epoch.

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
class ReplyReleased:
    """Tell a host that the server does not hold a range below an epoch."""

    host: str
    range_id: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class QuerySuccessors:
    """Ask later hosts of the list whether they have fenced the server.

    :ivar hosts: Names of the hosts.
    :ivar query_id: Returned in the reply.
    :ivar term: Term that the server accepted last.
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
    """Send no work to the server.

    :ivar give_up: Whether work in the queue is refused as ``not-run``,
        because this host no longer coordinates the server.
    :ivar is_lost: Whether the server is lost, so that what it runs will not
        be answered.
    """

    give_up: bool
    is_lost: bool = False


@dataclasses.dataclass(frozen=True)
class StartWork:
    """Send work to the server."""


@dataclasses.dataclass(frozen=True)
class RangesTaken:
    """Note that ranges became active here.

    :ivar range_ids: The ranges.
    """

    range_ids: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Hand the server over to another host once its work has ended.

    :ivar host: Name of the host.
    """

    host: str
