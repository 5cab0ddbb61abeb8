"""Call the platform's store."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import itertools
import logging
import math
import typing
import urllib.parse

from radishferry.direct import eras
from radishferryd import http_client

LOG = logging.getLogger(__name__)

#: Seconds after which a write without a response has failed, and seconds
#: without received bytes after which a read has. A call takes about 4 ms, and
#: up to 0.3 s when the store is slow.
CALL_TIMEOUT_S = 0.9
#: Seconds after which a read has failed although bytes still arrive. A
#: configuration of 1,600 routes has 350 kB, which take 0.6 s on a free link of
#: 5 Mbit/s and several times as long beside the traffic of callers.
READ_TIMEOUT_S = 6.0
#: Seconds after the longest wait of a feed call at which the call has failed,
#: unless bytes arrive.
FEED_MARGIN_S = 0.5
#: Maximum number of rows that the store returns for one call.
PAGE_ROWS = 500
#: Maximum number of rows without valid base64 that are logged only once. Rows
#: are read again about every second.
MAX_REPORTED_ROWS = 256

#: Header of all answers that names the era of the store: it rises by one each
#: time the store is restored from an older copy. Older stores send none.
ERA = 'store-era'

_reported_rows = set()


@dataclasses.dataclass(frozen=True)
class Row:
    """Represent one row of a table.

    :ivar version: Version of the transaction that wrote the row; 0 if the row
        does not exist.
    :ivar is_deleted: Whether the row has been deleted.
    """

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Rows:
    """Represent the result of a read.

    :ivar version: Newest version of the whole store.
    :ivar store_clock_s: Monotonic clock of the store in seconds.
    :ivar sent_at: When the call was sent, in seconds of the local clock.
    :ivar era: Era of all versions, None if the store names none.
    """

    rows: tuple[Row, ...]
    version: int
    store_clock_s: float
    sent_at: float
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class Written:
    """Represent the result of a transaction that was applied.

    :ivar version: Version of the rows that the transaction wrote.
    :ivar era: Era of that version, None if the store names none.
    """

    version: int
    store_clock_s: float
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Represent a transaction whose preconditions did not hold.

    :ivar rows: Current rows of the preconditions.
    :ivar era: Era of their versions, None if the store names none.
    """

    rows: tuple[Row, ...]
    store_clock_s: float
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """Report that the store no longer has the changes since a version."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Report that there is no usable response.

    :ivar may_have_run: Whether the call may have been executed, or may
        still be.
    """

    detail: str
    may_have_run: bool


@dataclasses.dataclass(frozen=True)
class Condition:
    """Require a version of a row; 0 requires that it does not exist.

    :ivar era: Era in which the version was read. None if the store names
        none, or if the condition holds for any era.
    """

    table: str
    key: str
    version: int
    era: int | None = None


Answer = typing.Union[Rows, Written, Conflict, HistoryLost, Unavailable]


class Store:
    """Read and write rows; every result is passed to a callback."""

    def __init__(self, poller, scheduler, address):
        """Create the client; connections open on the first call.

        :param address: Pair of IP and port.
        """
        self._scheduler = scheduler
        self._client = http_client.JsonClient(poller, scheduler, address)
        self.calls = 0
        #: The era of the store as this host sees it.
        self.eras = eras.Eras()
        #: Called without arguments when the store has been restored, before
        #: the callback of the answer that tells so.
        self.on_restored = []

    def read(self, table, done, start='', limit=PAGE_ROWS):
        """Read all rows of a table, page by page.

        :param done: Called with :class:`Rows` or :class:`Unavailable`.
        """
        pages = []
        sent_at = self._scheduler.now()

        def on_response(response):
            rows = self._decode_read(response, sent_at)
            if isinstance(rows, Unavailable):
                done(rows)
                return
            pages.append(rows)
            if rows.era != pages[0].era:
                done(Unavailable('restored between two pages', False))
                return
            if response.body.get('has_more') and rows.rows:
                # The next page starts after the last key of this one.
                request_page(rows.rows[-1].key + '\0')
                return
            all_rows = tuple(
                itertools.chain.from_iterable(page.rows for page in pages)
            )
            done(dataclasses.replace(pages[0], rows=all_rows))

        def request_page(start_key):
            query = {'table': table, 'part': '', 'limit': limit}
            if start_key:
                query['start_key'] = start_key
            self._read(
                'rows-get', query, READ_TIMEOUT_S, CALL_TIMEOUT_S, on_response
            )

        request_page(start)

    def watch(self, table, after, wait_s, done, era=None):
        """Wait for changes to a table.

        :param after: Version after which changes are wanted.
        :param wait_s: Longest time that the store waits, in seconds.
        :param done: Called with :class:`Rows`, :class:`HistoryLost` or
            :class:`Unavailable`.
        :param era: Era of that version, None if the store names none.
        """
        sent_at = self._scheduler.now()

        def on_response(response):
            if getattr(response, 'status', 0) == 410:
                done(HistoryLost())
                return
            answer = self._decode_read(response, sent_at)
            if isinstance(answer, Rows) and answer.era not in (None, era):
                # The restored store has given the version out again, and
                # changes up to it would be skipped.
                answer = HistoryLost()
            done(answer)

        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        silence_s = wait_s + FEED_MARGIN_S
        timeout_s = wait_s + READ_TIMEOUT_S
        self._read('rows-feed', query, timeout_s, silence_s, on_response)

    def transact(self, conditions, writes, done, timeout_s=CALL_TIMEOUT_S):
        """Write rows if the preconditions hold.

        :param conditions: :class:`Condition` entries.
        :param writes: Tuples of table, key and value in bytes.
        :param done: Called with :class:`Written`, :class:`Conflict` or
            :class:`Unavailable`.
        :param timeout_s: Seconds after which the write has failed.
        """
        sent_era = self.eras.current
        if any(c.era not in (None, sent_era) for c in conditions):
            failure = Unavailable('a condition of an earlier era', False)
            self._scheduler.call_later(0.0, lambda: done(failure))
            return

        def on_response(response):
            answer = _decode_transaction(response)
            if getattr(answer, 'era', None) not in (None, sent_era):
                # The conditions were compared with versions of another era,
                # and may have held by chance.
                answer = Unavailable('the store was restored', True)
            done(answer)

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
            '/api/rows-tx',
            body,
            timeout_s,
            on_response,
        )

    def _read(self, name, query, timeout_s, silence_s, done):
        target = f'/api/{name}?' + urllib.parse.urlencode(query)
        self._call('GET', target, None, timeout_s, done, silence_s)

    def _call(self, method, target, body, timeout_s, done, silence_s=math.inf):
        def on_response(response):
            if isinstance(response, http_client.JsonFailure):
                # The idle connections may be dead for the same reason.
                self._client.close()
                done(response)
                return
            era = _decode_era(response)
            if self.eras.is_past(era):
                # What it reports may have been lost since then.
                done(http_client.JsonFailure('of an earlier era', True))
                return
            if self.eras.note(era, self._scheduler.now()):
                for callback in self.on_restored:
                    callback()
            done(response)

        self.calls += 1
        self._client.call(
            method, target, body, timeout_s, on_response, silence_s
        )

    def _decode_read(self, response, sent_at):
        failure = _find_failure(response)
        if failure:
            return failure
        try:
            return Rows(
                _decode_rows(response.body['rows']),
                int(response.body['api_version']),
                float(response.body['now_s']),
                sent_at,
                _decode_era(response),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return Unavailable(f'malformed response: {exc!r}', True)


def _find_failure(response, accepted_statuses=(200,)):
    if isinstance(response, http_client.JsonFailure):
        return Unavailable(response.detail, response.was_sent)
    if response.status not in accepted_statuses:
        # An error status (503, 429, 403) means that nothing was executed.
        return Unavailable(f'status {response.status}', False)
    if not isinstance(response.body, dict):
        return Unavailable('response without a JSON object', True)
    return None


def _decode_transaction(response):
    failure = _find_failure(response, (200, 412))
    if failure:
        return failure
    try:
        store_clock_s = float(response.body.get('now_s') or 0.0)
        if response.status == 412:
            return Conflict(
                _decode_rows(response.body.get('rows') or ()),
                store_clock_s,
                _decode_era(response),
            )
        return Written(
            int(response.body['api_version']),
            store_clock_s,
            _decode_era(response),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Unavailable(f'malformed response: {exc!r}', True)


def _decode_era(response):
    """Return the era that an answer names, None if it names none."""
    text = response.header(ERA).strip()
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        return None
    return min(int(text), eras.MAX_ERA)


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
        row_id = row['table'], row['key']
        if row_id in _reported_rows:
            return b''
        if len(_reported_rows) < MAX_REPORTED_ROWS:
            _reported_rows.add(row_id)
        LOG.warning(
            'platform: Row %s of table %s does not hold valid base64.',
            row['key'],
            row['table'],
        )
        return b''
