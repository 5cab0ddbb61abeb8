"""Know the servers that have registered themselves."""

from __future__ import annotations

import dataclasses

#: Seconds after the return of the platform's store for which servers that
#: are missing from its list are kept. Entries that lapsed in an outage are
#: written again by their servers within two seconds of its end.
RETURN_HOLD_S = 2.2
#: Most lives remembered as leaving by their own word; the oldest give way.
MAX_ANNOUNCED = 1024


@dataclasses.dataclass(frozen=True)
class Server:
    """Describe one life of a server.

    :ivar born_ms: Start of this life in Unix milliseconds; 0 if unknown.
    :ivar address: Pair of IP and port.
    :ivar is_leaving: Whether the server has announced that it stops.
    :ivar warmup_s: Seconds for which it is still slow after its start.
    """

    server_id: str
    born_ms: int
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_leaving: bool
    warmup_s: float = 0.0

    @property
    def life(self) -> tuple[str, int]:
        """Identify the process: a restart may keep the id."""
        return self.server_id, self.born_ms


@dataclasses.dataclass(frozen=True)
class Change:
    """Say how the known servers differ from the ones known before."""

    added: tuple[Server, ...] = ()
    leaving: tuple[Server, ...] = ()
    gone: tuple[Server, ...] = ()

    def __bool__(self):
        return bool(self.added or self.leaving or self.gone)


class Registry:
    """Hold the servers of all services.

    A server that is missing from a list is gone, unless the store was away
    shortly before: its entry may have lapsed although it lives.
    """

    def __init__(self):
        self._servers = {}
        self._by_service = {}
        self._lives_by_address = {}
        # Lives that have said themselves that they leave. A dict, since it
        # keeps the order in which they were added.
        self._announced = {}
        self._read_at = None
        self._hold_until = 0.0

    @property
    def read_at(self) -> float | None:
        """Return when the newest list was read, in seconds."""
        return self._read_at

    def age(self, now: float) -> float:
        """Return the age of the newest list in seconds."""
        return float('inf') if self._read_at is None else now - self._read_at

    def get(self, server_id: str) -> Server | None:
        """Return a server by its id."""
        return self._servers.get(server_id)

    def all(self):
        """Return every known server."""
        return self._servers.values()

    def of(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service, leaving ones included."""
        return self._by_service.get(service, ())

    def usable(self, service: str) -> list[Server]:
        """Return the servers of a service that take new requests."""
        return [s for s in self.of(service) if not s.is_leaving]

    def has_ended(self, life: tuple[str, int], address) -> bool:
        """Tell whether a life of a server is known to be over.

        The proof is a younger life under the same id, or another server at
        the same address. A missing entry or a refused connection is none.
        """
        server_id, born = life
        current = self._servers.get(server_id)
        if current is not None and current.born_ms > born > 0:
            return True
        newest = self._lives_by_address.get(address)
        return newest is not None and newest[1] > born > 0

    def successor(self, life: tuple[str, int]) -> tuple[str, int] | None:
        """Return the younger life under the same id, None if there is none."""
        server_id, born = life
        current = self._servers.get(server_id)
        if current is None or current.born_ms <= born:
            return None
        return current.life

    def note_outage(self, now: float):
        """Note that the store did not answer."""
        self._hold_until = now + RETURN_HOLD_S

    def note_answer(self, now: float):
        """Note that the store answers; holds run from its return."""
        if self._hold_until > now + RETURN_HOLD_S:
            self._hold_until = now + RETURN_HOLD_S

    def note_leaving(self, life: tuple[str, int]) -> Change:
        """Note that a server has said itself that it leaves.

        It stays so for the rest of this life, whatever its entry says, also
        when the entry is not known yet or comes back after an outage.
        """
        self._announced[life] = None
        if len(self._announced) > MAX_ANNOUNCED:
            del self._announced[next(iter(self._announced))]
        known = self._servers.get(life[0])
        if known is None or known.life != life or known.is_leaving:
            return Change()
        leaving = dataclasses.replace(known, is_leaving=True)
        self._servers[life[0]] = leaving
        self._index(self._servers.values())
        return Change(leaving=(leaving,))

    def confirm(self, read_at: float):
        """Note that a later reading has brought nothing new."""
        self._read_at = max(self._read_at, read_at)

    def apply(self, servers, read_at: float, *, is_own=True) -> Change:
        """Replace the known servers by a list of the store.

        :param servers: Every :class:`Server` of the list.
        :param read_at: When the list was requested, in seconds.
        :param is_own: Whether this host has read the list, and not another
            one that knows of outages of its own.
        """
        fresh = {
            server.server_id: self._with_announcement(server)
            for server in servers
        }
        holds = is_own and read_at < self._hold_until
        for server_id, known in self._servers.items():
            if server_id not in fresh and holds:
                # A leaving server that vanishes has left.
                if not known.is_leaving:
                    fresh[server_id] = known
        change = Change(
            tuple(
                s
                for s in fresh.values()
                if s.server_id not in self._servers
                or self._servers[s.server_id].life != s.life
            ),
            tuple(
                s
                for s in fresh.values()
                if s.is_leaving
                and s.server_id in self._servers
                and not self._servers[s.server_id].is_leaving
            ),
            tuple(
                s for s in self._servers.values() if s.server_id not in fresh
            ),
        )
        self._servers = fresh
        self._read_at = read_at
        self._index(fresh.values())
        return change

    def _with_announcement(self, server):
        if server.is_leaving or server.life not in self._announced:
            return server
        return dataclasses.replace(server, is_leaving=True)

    def _index(self, servers):
        by_service = {}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
            newest = self._lives_by_address.get(server.address, ('', -1))
            if server.born_ms > newest[1]:
                self._lives_by_address[server.address] = server.life
        self._by_service = {k: tuple(v) for k, v in by_service.items()}
