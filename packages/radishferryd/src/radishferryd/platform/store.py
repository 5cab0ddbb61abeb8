"""Call the platform's store."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import itertools
import logging
import typing
import urllib.parse

from radishferryd import http_client

LOG = logging.getLogger(__name__)

#: Seconds after which a call without an answer has failed. A call takes
#: about 4 ms, and up to 0.3 s where the store is slow.
CALL_TIMEOUT_S = 0.9
#: Seconds that an answer of the feed may be late before it has failed.
FEED_MARGIN_S = 0.7
#: Rows that the store returns at most for one call.
PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True)
class Row:
    """Hold one row of a table.

    :ivar version: Version of the transaction that wrote the row; 0 if there
        is no such row.
    :ivar is_deleted: Whether the row has been dropped.
    """

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Rows:
    """Answer a read.

    :ivar version: Newest version of the whole store.
    :ivar store_s: Steady clock of the store in seconds.
    :ivar sent_at: When the call was sent, in local seconds.
    """

    rows: tuple[Row, ...]
    version: int
    store_s: float
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Written:
    """Answer a transaction that was applied.

    :ivar version: Version of the rows that it wrote.
    """

    version: int
    store_s: float


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Answer a transaction whose condition did not hold.

    :ivar rows: Current rows of the condition.
    """

    rows: tuple[Row, ...]
    store_s: float


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """Answer a feed whose starting point the store no longer keeps."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Say that there is no usable answer.

    :ivar may_have_run: Whether the call may have been performed, or may
        still be.
    """

    detail: str
    may_have_run: bool


@dataclasses.dataclass(frozen=True)
class Condition:
    """Require a version of a row; 0 requires that it does not exist."""

    table: str
    key: str
    version: int


Answer = typing.Union[Rows, Written, Conflict, HistoryLost, Unavailable]


class Store:
    """Read and write rows; every answer goes to a callback."""

    def __init__(self, poller, scheduler, address):
        """Begin without a connection.

        :param address: Pair of IP and port.
        """
        self._scheduler = scheduler
        self._client = http_client.JsonClient(poller, scheduler, address)
        self.calls = 0

    def read(self, table, done, start='', limit=PAGE_ROWS):
        """Read all rows of a table, page by page.

        :param done: Called with :class:`Rows` or :class:`Unavailable`.
        """
        pages = []
        sent_at = self._scheduler.now()

        def take(answer):
            rows = self._rows(answer, sent_at)
            if isinstance(rows, Unavailable):
                done(rows)
                return
            pages.append(rows)
            if answer.body.get('has_more') and rows.rows:
                # The next page begins after the last key of this one.
                request(rows.rows[-1].key + '\0')
                return
            joined = tuple(
                itertools.chain.from_iterable(page.rows for page in pages)
            )
            done(dataclasses.replace(pages[0], rows=joined))

        def request(start_key):
            query = {'table': table, 'part': '', 'limit': limit}
            if start_key:
                query['start_key'] = start_key
            self._call('GET', 'rows-get', query, None, CALL_TIMEOUT_S, take)

        request(start)

    def follow(self, table, after, wait_s, done):
        """Wait for changes of a table.

        :param after: Version after which changes are wanted.
        :param wait_s: Longest wait of the store in seconds.
        :param done: Called with :class:`Rows`, :class:`HistoryLost` or
            :class:`Unavailable`.
        """
        sent_at = self._scheduler.now()

        def take(answer):
            if getattr(answer, 'status', 0) == 410:
                done(HistoryLost())
                return
            done(self._rows(answer, sent_at))

        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        timeout_s = wait_s + FEED_MARGIN_S
        self._call('GET', 'rows-feed', query, None, timeout_s, take)

    def transact(self, conditions, writes, done, timeout_s=CALL_TIMEOUT_S):
        """Write rows if their versions are as expected.

        :param conditions: :class:`Condition` entries.
        :param writes: Tuples of table, key and value in bytes.
        :param done: Called with :class:`Written`, :class:`Conflict` or
            :class:`Unavailable`.
        :param timeout_s: Seconds after which the write has failed.
        """
        body = {
            'precondition': [
                {
                    'table': c.table,
                    'part': '',
                    'key': c.key,
                    'api_version': c.version,
                }
                for c in conditions
            ],
            'writes': [
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                }
                for table, key, value in writes
            ],
            'remove': [],
        }
        self._call(
            'POST',
            'rows-tx',
            {},
            body,
            timeout_s,
            lambda answer: done(_written(answer)),
        )

    def _call(self, method, name, query, body, timeout_s, done):
        self.calls += 1
        target = f'/api/{name}'
        if query:
            target += '?' + urllib.parse.urlencode(query)
        self._client.call(method, target, body, timeout_s, done)

    def _rows(self, answer, sent_at):
        problem = _problem(answer)
        if problem:
            return problem
        try:
            return Rows(
                _decode_rows(answer.body['rows']),
                int(answer.body['api_version']),
                float(answer.body['now_s']),
                sent_at,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return Unavailable(f'malformed answer: {exc!r}', True)


def _problem(answer, accepted=(200,)):
    if isinstance(answer, http_client.JsonFailure):
        return Unavailable(answer.detail, answer.was_sent)
    if answer.status not in accepted:
        # A refusal (503, 429, 403) means that nothing was done.
        return Unavailable(f'status {answer.status}', False)
    if not isinstance(answer.body, dict):
        return Unavailable('answer without a JSON object', True)
    return None


def _written(answer):
    problem = _problem(answer, (200, 412))
    if problem:
        return problem
    try:
        store_s = float(answer.body.get('now_s') or 0.0)
        if answer.status == 412:
            return Conflict(
                _decode_rows(answer.body.get('rows') or ()), store_s
            )
        return Written(int(answer.body['api_version']), store_s)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Unavailable(f'malformed answer: {exc!r}', True)


def _decode_rows(rows):
    return tuple(
        Row(
            row['table'],
            row['key'],
            _decode_value(row),
            int(row.get('api_version') or 0),
            bool(row.get('deleted')),
        )
        for row in rows
    )


def _decode_value(row):
    try:
        return base64.b64decode(row.get('value') or '', validate=True)
    except (binascii.Error, TypeError, ValueError):
        LOG.warning(
            'platform: Row %s of table %s holds no base64.',
            row['key'],
            row['table'],
        )
        return b''
