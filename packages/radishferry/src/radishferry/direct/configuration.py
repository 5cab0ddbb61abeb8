"""Hold the operators' configuration and select the routes of requests."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random


#: Number of positions at which a split may start: at least its period, which
#: is at most 100 for weights in percent.
START_POSITIONS = 100


class Kind(enum.Enum):
    """Classify the requests of a route by whether they may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    #: Requests with large responses, which may run more than once.
    DOWNLOAD = 'download'

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self is not Kind.UNSAFE


@dataclasses.dataclass(frozen=True)
class Part:
    """Assign a share of the requests of a route to a service.

    :ivar weight: Share relative to the weights of the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Describe how requests below one prefix of a virtual host are handled.

    :ivar timeout_s: Longest time that a caller is kept waiting.
    :ivar target_latency_s: Time within which an answer has its full value.
    :ivar max_attempts: Highest number of servers to which one request is sent.
    :ivar priority: Rank of the request; 0 is the highest.
    """

    name: str
    virtual_host: str
    prefix: str
    kind: Kind
    parts: tuple[Part, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int


@dataclasses.dataclass(frozen=True)
class Service:
    """Describe the servers of one service.

    :ivar health_path: Path of the health check of a server.
    :ivar max_connections: Connections that a server accepts from all hosts
        together.
    :ivar is_keyed: Whether each key is owned by one server.
    :ivar warm_s: Seconds for which requests for a key are slow after it
        changed its owner without the state of the previous one.
    :ivar cold_s: Seconds for which a server is cold after its start; 0 if the
        service does not limit requests to cold servers.
    :ivar cold_per_s: Requests a second that a cold server tolerates from all
        hosts together.
    """

    name: str
    health_path: str
    max_connections: int
    is_keyed: bool
    warm_s: float
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limit what callers may send and how long they may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Hold one version of the operators' configuration.

    :ivar version: Increases with each change, not always by one.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


class RouteTable:
    """Find the route of a request."""

    def __init__(self, configuration: Configuration):
        self._by_host = collections.defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.virtual_host][route.prefix] = route

    def select(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: Value of the ``Host`` header; a port is ignored.
        :param target: Request target with its query.
        """
        routes = self._by_host.get(host.partition(':')[0].lower())
        if not routes:
            return None
        path = target.partition('?')[0]
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class WeightedChoice:
    """Distribute requests over parts in proportion to their weights.

    Smooth weighted round robin keeps the proportion also over few requests,
    where independent random choices would deviate from it. It starts at a
    random position: hundreds of hosts that each get one request would
    otherwise all send it to the heaviest part.
    """

    def __init__(self, parts: tuple[Part, ...]):
        self._parts = parts
        self._total = sum(part.weight for part in parts)
        self._credit = [0.0] * len(parts)
        if len(parts) > 1:
            for _ in range(random.randrange(START_POSITIONS)):
                self.next()

    def next(self) -> str:
        """Return the service of the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
        best = max(range(len(self._parts)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self._parts[best].service
