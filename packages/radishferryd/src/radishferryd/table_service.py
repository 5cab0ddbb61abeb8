"""Access the platform's table service and host list in coordinator mode."""

from __future__ import annotations

import dataclasses
import typing
import urllib.parse
import uuid

from radishferryd import http_client


@dataclasses.dataclass(frozen=True)
class Row:
    """Represent one row of the table.

    :ivar name: Name of the row.
    :ivar version: Positive number that grows with each write.
    :ivar write_id: Id of the transaction that wrote it.
    :ivar value: JSON value.
    """

    name: str
    version: int
    write_id: str
    value: typing.Any


@dataclasses.dataclass(frozen=True)
class Written:
    """Report that a transaction was committed.

    :ivar versions: New version by row name.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Report that a condition failed and nothing was written.

    :ivar versions: Current version by row name.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Report that the platform gave no usable answer.

    :ivar detail: What happened.
    """

    detail: str


class Table(typing.Protocol):
    """Provide a transactional table."""

    def read(self, prefix: str, done) -> None:
        """Read the rows whose names begin with a prefix.

        :param done: Called with a list of :class:`Row` or
            :class:`Unavailable`.
        """

    def transact(self, conditions, writes, done) -> None:
        """Write rows if all conditions hold.

        :param conditions: Row name to expected version, 0 for no row.
        :param writes: Row name to JSON value, None deletes the row.
        :param done: Called with :class:`Written`, :class:`Conflict` or
            :class:`Unavailable`.  After ``Unavailable`` the rows may have been
            written; reading them back gave no proof.
        """


class HostList(typing.Protocol):
    """Provide the platform's list of hosts."""

    def read_hosts(self, done) -> None:
        """Read the host list.

        :param done: Called with a list of dicts with ``name``,
            ``data_centre``, ``address`` and ``state``, or
            :class:`Unavailable`.
        """


class HttpPlatform:
    """Access the platform over HTTP."""

    def __init__(self, poller, scheduler, address, timeout_s, host):
        """Initialise without a connection.

        :param address: Pair of IP and port.
        :param float timeout_s: Timeout of each call, in seconds.
        :param host: Name of this host, sent with each call.
        """
        self._timeout_s = timeout_s
        self._client = http_client.JsonClient(
            poller, scheduler, address, [('Radishferry-Host', host)]
        )
        self._errors = 0

    @property
    def errors(self) -> int:
        """Return the number of calls without a usable answer."""
        return self._errors

    def read(self, prefix, done):
        """See :class:`Table`."""
        query = urllib.parse.urlencode({'prefix': prefix})

        def answered(result):
            if not _is_success(result):
                done(self._unavailable(result))
                return
            done([_row(row) for row in result.body['rows']])

        self._call('GET', f'/table/rows?{query}', None, answered)

    def transact(self, conditions, writes, done):
        """See :class:`Table`."""
        write_id = uuid.uuid4().hex
        body = {
            'write_id': write_id,
            'conditions': [
                {'row': row, 'version': version}
                for row, version in conditions.items()
            ],
            'writes': [
                {'row': row, 'value': value} for row, value in writes.items()
            ],
        }

        def answered(result):
            if _is_success(result):
                done(Written(result.body['versions']))
            elif _has_status(result, 409):
                done(Conflict(_versions(result.body['conflicts'])))
            elif getattr(result, 'was_sent', True):
                self._unavailable(result)
                self._resolve(write_id, conditions, writes, done)
            else:
                done(self._unavailable(result))

        self._call('POST', '/table/transact', body, answered)

    def read_hosts(self, done):
        """See :class:`HostList`."""

        def answered(result):
            if _is_success(result):
                done(result.body['hosts'])
            else:
                done(self._unavailable(result))

        self._call('GET', '/hosts', None, answered)

    def _resolve(self, write_id, conditions, writes, done):
        # The write may have been committed, which a row with its write id
        # proves.  Repeating it blindly could overwrite a later write of
        # another host.
        name = next((r for r, v in writes.items() if v is not None), None)
        if name is None:
            done(Unavailable('the answer to a deletion was lost'))
            return

        def read_back(result):
            if isinstance(result, Unavailable):
                done(result)
                return
            rows = {row.name: row for row in result}
            row = rows.get(name)
            if row is not None and row.write_id == write_id:
                written = {n: rows[n].version for n in writes if n in rows}
                done(Written(written))
            elif row is not None and row.version != conditions.get(name):
                done(Conflict({name: row.version}))
            else:
                done(Unavailable('the answer to a write was lost'))

        self.read(name, read_back)

    def _call(self, method, target, body, done):
        self._client.call(method, target, body, self._timeout_s, done)

    def _unavailable(self, result):
        self._errors += 1
        if isinstance(result, http_client.JsonFailure):
            return Unavailable(result.detail)
        return Unavailable(f'status {result.status}')


def _is_success(result):
    return _has_status(result, 200)


def _has_status(result, status):
    return (
        isinstance(result, http_client.JsonResponse)
        and result.status == status
        and isinstance(result.body, dict)
    )


def _row(value):
    return Row(
        value['row'], value['version'], value['write_id'], value['value']
    )


def _versions(conflicts):
    return {c['row']: c['version'] for c in conflicts}
