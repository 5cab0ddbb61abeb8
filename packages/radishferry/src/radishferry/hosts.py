"""Declare hosts and what may happen to them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostInfo:
    """Describe a host of the platform's list.

    :ivar name: Unique name.
    :ivar data_centre: Where the host is.
    :ivar address: ``ip:port`` for other hosts.
    :ivar state: ``live`` or ``leaving``.
    """

    name: str
    data_centre: str
    address: str
    state: str = 'live'


@dataclasses.dataclass(frozen=True)
class HostDown:
    """Report a host that is no longer live or has restarted.

    :ivar incarnation: The last one heard; None when it was never heard.
    """

    name: str
    incarnation: int | None


@dataclasses.dataclass(frozen=True)
class HostUp:
    """Report a host that is live.

    :ivar incarnation: The one heard; None when it has not been heard yet.
    """

    name: str
    incarnation: int | None


@dataclasses.dataclass(frozen=True)
class RelayChanged:
    """Report the relay of a data centre.

    :ivar name: Name of the relay; None when no host there is live.
    """

    data_centre: str
    name: str | None
