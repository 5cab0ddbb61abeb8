"""Define the assignments of ranges and of coordinators."""

from __future__ import annotations

import dataclasses

#: Number of range assignments stored in one row of the table.
RANGES_PER_ROW = 64


@dataclasses.dataclass(frozen=True)
class RangeAssignment:
    """Describe which servers may own a range.

    ``holdings`` and the modules that plan assignments call one a row.  A row
    of the table packs up to :data:`RANGES_PER_ROW` of them.

    :ivar owner: Name of the owning server.
    :ivar epoch: Epoch under which it owns the range.
    :ivar standby: Server that may be promoted under ``epoch + 1`` without a
        write to the table; empty when there is none.
    :ivar previous: Servers that may hold a lower epoch and must release the
        range before the owner becomes active.
    :ivar key_hash: Hash of the hot key that forms this range, None for a hash
        range.
    """

    owner: str
    epoch: int
    standby: str = ''
    previous: tuple[str, ...] = ()
    key_hash: int | None = None

    @property
    def standby_epoch(self) -> int:
        """Return the epoch reserved for the standby."""
        return self.epoch + 1

    @property
    def next_epoch(self) -> int:
        """Return the lowest epoch that a new assignment may use."""
        return self.epoch + 2


@dataclasses.dataclass(frozen=True)
class CoordinatorAssignment:
    """Describe which hosts may coordinate a server.

    :ivar hosts: Names of hosts in order of preference; each may take over
        when those before it fail.
    :ivar base_term: Term of the first host.
    """

    hosts: tuple[str, ...]
    base_term: int

    def term_of(self, host) -> int | None:
        """Return the term reserved for a host, None when it is not listed."""
        if host not in self.hosts:
            return None
        return self.base_term + self.hosts.index(host)

    @property
    def next_base_term(self) -> int:
        """Return the lowest base term that a new assignment may use."""
        return self.base_term + len(self.hosts)


def pack_ranges(assignments) -> dict:
    """Return the JSON value of a block of range assignments.

    :param assignments: Mapping of range id to :class:`RangeAssignment`.
    """
    return {
        str(range_id): [
            a.owner,
            a.epoch,
            a.standby,
            list(a.previous),
            None if a.key_hash is None else f'{a.key_hash:016x}',
        ]
        for range_id, a in sorted(assignments.items())
    }


def unpack_ranges(value) -> dict[int, RangeAssignment]:
    """Return the range assignments of a row of the table.

    :param value: Result of :func:`pack_ranges`.
    """
    return {
        int(range_id): RangeAssignment(
            owner,
            epoch,
            standby,
            tuple(previous),
            None if hot is None else int(hot, 16),
        )
        for range_id, (owner, epoch, standby, previous, hot) in value.items()
    }


def pack_coordinators(assignments) -> dict:
    """Return the JSON value of the coordinators of a data centre.

    :param assignments: Mapping of server name to
        :class:`CoordinatorAssignment`.
    """
    return {
        server: [list(a.hosts), a.base_term]
        for server, a in sorted(assignments.items())
    }


def unpack_coordinators(value) -> dict[str, CoordinatorAssignment]:
    """Return the coordinators of a row of the table.

    :param value: Result of :func:`pack_coordinators`.
    """
    return {
        server: CoordinatorAssignment(tuple(hosts), base_term)
        for server, (hosts, base_term) in value.items()
    }


def ranges_row(service, range_id) -> str:
    """Return the name of the row of the table that holds a range."""
    return f'ranges/{service}/{range_id // RANGES_PER_ROW}'


def coordinators_row(service, data_centre) -> str:
    """Return the name of the row that holds the coordinators of servers."""
    return f'coordinators/{service}/{data_centre}'
