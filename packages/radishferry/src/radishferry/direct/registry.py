"""Keep the servers that have registered themselves."""

from __future__ import annotations

import dataclasses
import re

from radishferry import field_checks

#: Seconds after an outage of the platform's store during which servers that
#: are missing from its list are kept. Servers write entries that expired in
#: the outage again within two seconds of its end.
OUTAGE_GRACE_S = 2.2
#: Highest number of incarnations that are remembered as leaving because they
#: announced it; the oldest are dropped.
MAX_ANNOUNCED_LEAVING = 1024
#: Seconds for which a server whose entry was removed counts as gone although a
#: restored store names it again. Copies of the store are some seconds old.
RESTORED_GONE_S = 30.0
#: Seconds after a restore for which it does. The store removes an entry that
#: is not written again after three heartbeat intervals.
DOUBTFUL_S = 10.0


#: Highest number of slots that is accepted. Servers have a few; one with a
#: much higher number would seem to have room for all requests.
MAX_SLOTS = 10000
#: Longest warm-up that is accepted, in seconds.
MAX_WARMUP_S = 86400.0
#: Latest start that is accepted, in Unix milliseconds: the highest number that
#: messages between hosts carry.
MAX_BORN_MS = 2**63 - 1
#: Longest names of services and data centres, in characters.
MAX_NAME_CHARACTERS = 200

# IDs are sent in headers, where other characters would end the header.
_ID = re.compile(r'[\x21-\x7e]{1,200}')


@dataclasses.dataclass(frozen=True)
class Server:
    """Describe one incarnation of a server.

    :ivar born_ms: Start of this incarnation in Unix milliseconds; 0 if
        unknown.
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
    def incarnation(self) -> tuple[str, int]:
        """Identify the incarnation, since a restart may keep the id."""
        return self.server_id, self.born_ms


def find_problem(server: Server) -> str | None:
    """Return why the fields of a server cannot be used, None if they can.

    What is accepted fits into messages between hosts, headers and socket
    addresses.
    """
    if not (
        isinstance(server.server_id, str) and _ID.fullmatch(server.server_id)
    ):
        return 'expected an id of 1 to 200 printable ASCII characters'
    for name, value in (
        ('service', server.service),
        ('data centre', server.data_centre),
    ):
        if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
            return (
                f'expected a {name} of at most {MAX_NAME_CHARACTERS} '
                f'characters'
            )
    if not (
        isinstance(server.address, tuple)
        and len(server.address) == 2
        and isinstance(server.address[0], str)
    ):
        return 'expected an address'
    problem = field_checks.check_address('{}:{}'.format(*server.address))
    if problem:
        return problem
    if not _is_integer(server.slots, 1, MAX_SLOTS):
        return f'expected 1 to {MAX_SLOTS} slots, found {server.slots!r:.40}'
    if not _is_integer(server.born_ms, 0, MAX_BORN_MS):
        return f'expected a start in ms, found {server.born_ms!r:.40}'
    is_number = field_checks.is_number(server.warmup_s)
    if not is_number or not 0 <= server.warmup_s <= MAX_WARMUP_S:
        return (
            f'expected a warm-up of 0 to {MAX_WARMUP_S:.0f} s, '
            f'found {server.warmup_s!r:.40}'
        )
    return None


def _is_integer(value, low, high):
    return field_checks.is_integer(value) and low <= value <= high


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe how the known servers differ from those known before.

    :ivar cold: Servers that have become cold; they may be new too.
    """

    added: tuple[Server, ...] = ()
    leaving: tuple[Server, ...] = ()
    gone: tuple[Server, ...] = ()
    cold: tuple[Server, ...] = ()

    def __bool__(self):
        return bool(self.added or self.leaving or self.gone or self.cold)


class Registry:
    """Hold the known servers of all services.

    A server that is missing from a list is removed, unless the store was
    unavailable shortly before: its entry may have expired although the server
    is still running.
    """

    def __init__(self):
        self._servers = {}
        self._by_service = {}
        # Incarnations that have announced that they leave. A dict, since it
        # keeps the order of insertion.
        self._announced_leaving = {}
        #: When the list ceased to name incarnations, in seconds.
        self._gone_at = {}
        #: Incarnations that count as leaving if a restored store names them
        #: again, and until when, in seconds.
        self._doubtful_until = {}
        self._read_at = None
        self._keep_missing_until = 0.0
        #: Incremented by each change of the servers.
        self.revision = 0

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

    def servers_of(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service, including leaving ones."""
        return self._by_service.get(service, ())

    def usable(self, service: str) -> list[Server]:
        """Return the servers of a service that accept new requests."""
        return [s for s in self.servers_of(service) if not s.is_leaving]

    def has_ended(self, incarnation: tuple[str, int], address) -> bool:
        """Return whether an incarnation of a server is known to have ended.

        The proof is a later incarnation with the same id and address. An
        entry with another id proves nothing, whatever address it names, since
        other writers may leave entries: the server that listens at an address
        tells by its answers who it is. A missing entry or a refused
        connection proves nothing either.

        :param address: Last known address of the server, None if unknown.
        """
        server_id, _ = incarnation
        return self.successor(incarnation) is not None and (
            address is None or self._servers[server_id].address == address
        )

    def successor(
        self, incarnation: tuple[str, int]
    ) -> tuple[str, int] | None:
        """Return the later incarnation with the same id, None without one."""
        server_id, born_ms = incarnation
        current = self._servers.get(server_id)
        if current is None or not current.born_ms > born_ms > 0:
            return None
        return current.incarnation

    def note_outage(self, now: float):
        """Record that the store did not answer."""
        self._keep_missing_until = now + OUTAGE_GRACE_S

    def note_restored(self, now: float):
        """Record that the store was restored from an older copy.

        The list may lack servers that run, like after an outage. It may also
        name servers again, or as ready, that have left in the lost seconds.
        Those known to have left get no further requests.
        """
        self.note_outage(now)
        for server in list(self._servers.values()):
            if server.is_leaving:
                self.note_leaving(server.incarnation)
        self._doubtful_until = {
            incarnation: now + DOUBTFUL_S
            for incarnation, gone_at in self._gone_at.items()
            if now - gone_at <= RESTORED_GONE_S
        }

    def note_answer(self, now: float):
        """Record that the store answers.

        The grace period for missing servers ends at the latest
        :data:`OUTAGE_GRACE_S` seconds from now.
        """
        if self._keep_missing_until > now + OUTAGE_GRACE_S:
            self._keep_missing_until = now + OUTAGE_GRACE_S

    def note_leaving(self, incarnation: tuple[str, int]) -> Change:
        """Record that a server has announced that it leaves.

        It counts as leaving until this incarnation ends, whatever its entry
        says, also if the entry is not known yet or returns after an outage.
        """
        self._announced_leaving[incarnation] = None
        if len(self._announced_leaving) > MAX_ANNOUNCED_LEAVING:
            del self._announced_leaving[next(iter(self._announced_leaving))]
        known = self._servers.get(incarnation[0])
        if (
            known is None
            or known.incarnation != incarnation
            or known.is_leaving
        ):
            return Change()
        leaving = dataclasses.replace(known, is_leaving=True)
        self._servers[incarnation[0]] = leaving
        self._index(self._servers.values())
        return Change(leaving=(leaving,))

    def note_unchanged(self, read_at: float):
        """Record that a later read of the list found no changes.

        :param read_at: When that list was requested, in seconds.
        """
        self._read_at = max(self._read_at, read_at)

    def apply(self, servers, read_at: float, *, is_own=True) -> Change:
        """Replace the known servers by a list of the store.

        :param servers: Every :class:`Server` of the list.
        :param read_at: When the list was requested, in seconds.
        :param is_own: Whether this host has read the list itself. A list of
            another host replaces all servers at once, since that host has
            taken the outages that it saw into account.
        """
        updated = {
            server.server_id: self._with_announcement(server, read_at)
            for server in servers
        }
        keeps_missing = is_own and read_at < self._keep_missing_until
        for server_id, known in self._servers.items():
            if server_id not in updated and keeps_missing:
                # The entry of a leaving server is missing because it left.
                if not known.is_leaving:
                    updated[server_id] = known
        change = Change(
            tuple(
                s
                for s in updated.values()
                if s.server_id not in self._servers
                or self._servers[s.server_id].incarnation != s.incarnation
            ),
            tuple(
                s
                for s in updated.values()
                if s.is_leaving
                and s.server_id in self._servers
                and not self._servers[s.server_id].is_leaving
            ),
            tuple(
                s for s in self._servers.values() if s.server_id not in updated
            ),
        )
        for server in change.added:
            self._gone_at.pop(server.incarnation, None)
        for server in change.gone:
            self._gone_at.pop(server.incarnation, None)
            self._gone_at[server.incarnation] = read_at
            if len(self._gone_at) > MAX_ANNOUNCED_LEAVING:
                del self._gone_at[next(iter(self._gone_at))]
        self._servers = updated
        self._read_at = read_at
        self._index(updated.values())
        return change

    def _with_announcement(self, server, read_at):
        has_left = server.incarnation in self._announced_leaving or (
            read_at < self._doubtful_until.get(server.incarnation, 0.0)
        )
        if server.is_leaving or not has_left:
            return server
        return dataclasses.replace(server, is_leaving=True)

    def _index(self, servers):
        by_service = {}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        self._by_service = {k: tuple(v) for k, v in by_service.items()}
        self.revision += 1
