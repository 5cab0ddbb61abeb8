"""Define the data classes of a manifest."""

from __future__ import annotations

import dataclasses
import functools

#: Number of ranges of a service that does not set it.
DEFAULT_RANGES = 256
#: Deadline of a request kind that does not set one, in milliseconds.
DEFAULT_DEADLINE_MS = 2000
#: Body limit of a request kind that does not set one, in bytes.
DEFAULT_MAX_BODY_BYTES = 1048576
#: Maximum number of hot keys split out of the ranges of one service.
MAX_HOT_KEYS = 1024


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Describe one kind of request.

    :ivar name: Unique within the service.
    :ivar method: HTTP method.
    :ivar path: Path template; ``{key}`` matches one segment and is the key,
        ``{name}`` matches any one segment, ``{rest...}`` the rest of the path.
    :ivar idempotent: Whether the request may run more than once.
    :ivar long: Whether it runs many times longer than other kinds.
    :ivar deadline_ms: Time for the whole request, in milliseconds.
    :ivar max_body_bytes: Largest request body.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    long: bool = False
    deadline_ms: int = DEFAULT_DEADLINE_MS
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


@dataclasses.dataclass(frozen=True)
class Server:
    """Describe one backend server.

    :ivar name: Unique within the manifest.
    :ivar address: ``ip:port``.
    :ivar data_centre: Data centre of the server.
    :ivar state: ``live``, ``leaving`` or ``lost``.
    """

    name: str
    address: str
    data_centre: str
    state: str = 'live'

    @functools.cached_property
    def socket_address(self) -> tuple[str, int]:
        """Return IP and port."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Reserve a share of a service for a caller.

    :ivar caller: Value of the ``Radishferry-Caller`` header.
    :ivar share: Part of the capacity, above 0 and at most 1; the sum over
        all callers may exceed 1.
    """

    caller: str
    share: float


@dataclasses.dataclass(frozen=True)
class Service:
    """Describe one service.

    :ivar name: Unique within the manifest.
    :ivar keyed: Whether the key space is divided between the servers.
    :ivar ranges: Number of hash ranges.
    :ivar slots: Requests that one server runs at the same time.
    :ivar connections: Connections that one server takes; its dispatcher opens
        at most this many.  Lease requests use further ones.
    :ivar checks_term: Whether its servers check the term of each request.
    :ivar suppresses_duplicates: Whether its servers run a request id at most
        once.
    :ivar lost_after_s: Seconds without a response from a server and its
        coordinator after which its ranges may be taken; None for never.
    """

    name: str
    keyed: bool
    servers: tuple[Server, ...]
    kinds: tuple[RequestKind, ...]
    ranges: int = DEFAULT_RANGES
    slots: int = 6
    connections: int = 130
    checks_term: bool = True
    suppresses_duplicates: bool = False
    lost_after_s: float | None = None
    reservations: tuple[Reservation, ...] = ()

    def kind(self, name) -> RequestKind:
        """Return a request kind.

        :raises KeyError: The service has no such kind.
        """
        return self._kinds[name]

    def server(self, name) -> Server | None:
        """Return a server, or None when the service does not have it."""
        return self._servers.get(name)

    @functools.cached_property
    def _kinds(self):
        return {kind.name: kind for kind in self.kinds}

    @functools.cached_property
    def _servers(self):
        return {server.name: server for server in self.servers}


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Hold the services that operators declare.

    :ivar version: Positive; each accepted manifest has a higher one.
    :ivar services: The services in the order of declaration.
    """

    version: int
    services: tuple[Service, ...]

    def service(self, name) -> Service | None:
        """Return a service, or None when the manifest does not have it."""
        return self._services.get(name)

    @functools.cached_property
    def _services(self):
        return {service.name: service for service in self.services}
