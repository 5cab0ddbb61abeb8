"""Define hosts and the changes of their state."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostInfo:
    """Describe a host in the platform's host list.

    :ivar name: Unique name.
    :ivar data_centre: Data centre of the host.
    :ivar address: ``ip:port`` at which other hosts reach it.
    :ivar state: ``live`` or ``leaving``.
    """

    name: str
    data_centre: str
    address: str
    state: str = 'live'


@dataclasses.dataclass(frozen=True)
class HostDown:
    """Report a host that is no longer live or has restarted.

    :ivar incarnation: Last incarnation in a heartbeat of the host; None when
        none was received.
    """

    name: str
    incarnation: int | None


@dataclasses.dataclass(frozen=True)
class HostUp:
    """Report a host that is live.

    :ivar incarnation: Incarnation in the heartbeats of the host; None when
        none was received yet.
    """

    name: str
    incarnation: int | None


@dataclasses.dataclass(frozen=True)
class RelayChanged:
    """Report a change of the relay of a data centre.

    :ivar name: Name of the relay; None when no host there is live.
    """

    data_centre: str
    name: str | None
