"""Remember which non-idempotent requests ran."""

from __future__ import annotations

import collections
import dataclasses

from radishferry import findings
from radishferry import request_ids

#: How long a request id is remembered, in seconds.
MEMORY_S = 600.0
#: Most request ids remembered for one server.
MAX_REQUESTS = 50_000
#: Largest response kept for a repeated request, headers and body, in bytes.
MAX_RESPONSE_BYTES = 4096
#: Most bytes of responses kept for one server.
MAX_STORED_BYTES = 4 * 1024 * 1024
#: How far ahead of the coordinator's clock an id may be issued, in
#: milliseconds. An id of a later time could pass for new at the next
#: coordinator, so it is refused.
MAX_AHEAD_MS = 200
#: Most difference between the clocks of two hosts, in milliseconds.
MAX_HOST_SKEW_MS = 50


@dataclasses.dataclass(frozen=True)
class New:
    """Say that the request has not run and is now in progress."""


@dataclasses.dataclass(frozen=True)
class InProgress:
    """Say that the same request waits or runs."""


@dataclasses.dataclass(frozen=True)
class Finished:
    """Say that the request ran.

    :ivar status: HTTP status of its response; None when it is not stored.
    :ivar headers: Pairs of names and values.
    :ivar body: None when it is not stored.
    """

    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@dataclasses.dataclass(frozen=True)
class PossiblyRun:
    """Say that the request may have run and must not run again."""


@dataclasses.dataclass(frozen=True)
class BadId:
    """Say that the id cannot be used; the request did not run under it.

    :ivar finding: What the caller did wrong.
    """

    finding: findings.Finding


Verdict = New | InProgress | Finished | PossiblyRun | BadId


class _Record:
    __slots__ = ('fingerprint', 'noted_at', 'verdict', 'stored')

    def __init__(self, fingerprint, noted_at):
        self.fingerprint = fingerprint
        self.noted_at = noted_at
        self.verdict = InProgress()
        self.stored = 0


class RequestMemory:
    """Remember the request ids of one coordinator by range.

    Of each range it is known since when all ids are remembered. An id that
    is older and not remembered may have run. Whenever a record is dropped,
    this time moves past the time of issue of its id.

    :param max_requests: Most ids remembered.
    :param max_stored_bytes: Most bytes of responses kept.
    """

    def __init__(
        self,
        *,
        max_requests: int = MAX_REQUESTS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ):
        self._max_requests = max_requests
        self._max_stored_bytes = max_stored_bytes
        self._records = collections.OrderedDict()
        self._stored = collections.OrderedDict()
        self._stored_bytes = 0
        self._begins_ms = {}
        self._clock_offset_ms = 0.0

    def start_range(self, range_id: int, now: float, clock_ms: float):
        """Begin to remember the ids of a range.

        Call this only when no earlier coordinator can run requests of the
        range any more. Ids issued until then, by any clock within the
        allowed differences, count as possibly run.

        :param now: Seconds.
        :param clock_ms: Wall clock at ``now``, in milliseconds since the
            epoch.
        """
        self._clock_offset_ms = clock_ms - now * 1000
        allowance = MAX_AHEAD_MS + MAX_HOST_SKEW_MS
        self._move_begin(range_id, clock_ms + allowance + 1)

    def begin(
        self,
        range_id: int,
        request_id: str,
        now: float,
        fingerprint: int = 0,
        *,
        first: bool = False,
    ) -> Verdict:
        """Decide whether a request may run.

        :param range_id: A range that was started.
        :param request_id: Value of the ``Idempotency-Key`` header.
        :param now: Seconds.
        :param fingerprint: Hash of caller, kind, key and body. A known id
            with another fingerprint is a :class:`BadId`, so that no caller
            receives the response of another request.
        :param first: Whether the entry host made the id and sends it for
            the first time, so that no earlier coordinator has seen it.
        :raises KeyError: The range was not started.
        """
        self._expire(now)
        begin_ms = self._begins_ms[range_id]
        number = request_ids.parse(request_id)
        if isinstance(number, findings.Finding):
            return BadId(number)
        record = self._records.get((range_id, number))
        if record is not None:
            if record.fingerprint != fingerprint:
                return _bad_id('was used for another request')
            return record.verdict
        issued_ms = request_ids.issued_ms(number)
        clock_ms = self._clock_ms(now)
        if issued_ms > clock_ms + MAX_AHEAD_MS:
            ahead_ms = issued_ms - clock_ms
            return _bad_id(f'was issued {ahead_ms:.0f} ms in the future')
        oldest_ms = max(begin_ms, clock_ms - MEMORY_S * 1000)
        if issued_ms < oldest_ms and not first:
            return PossiblyRun()
        self._records[range_id, number] = _Record(fingerprint, now)
        if len(self._records) > self._max_requests:
            self._drop_oldest()
        return New()

    def finish(
        self,
        range_id: int,
        request_id: str,
        status: int | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes | None = None,
    ):
        """Remember that a request ran, and its response if it is small.

        :param status: None when the response is not known.
        :param body: None when the body was not kept.
        """
        key, record = self._find(range_id, request_id)
        if record is None:
            return
        record.verdict = Finished()
        if status is None or body is None:
            return
        size = len(body) + sum(len(n) + len(v) for n, v in headers)
        if size > MAX_RESPONSE_BYTES:
            return
        self._forget_response(key)
        record.verdict = Finished(status, tuple(headers), body)
        record.stored = size
        self._stored[key] = record
        self._stored_bytes += size
        while self._stored_bytes > self._max_stored_bytes:
            self._forget_response(next(iter(self._stored)))

    def forget(self, range_id: int, request_id: str):
        """Forget a request with proof that it did not run."""
        key, record = self._find(range_id, request_id)
        if record is not None and isinstance(record.verdict, InProgress):
            del self._records[key]

    def lose(self, range_id: int, request_id: str):
        """Remember that a request was sent and its end is not known."""
        _, record = self._find(range_id, request_id)
        if record is not None and isinstance(record.verdict, InProgress):
            record.verdict = PossiblyRun()

    def _find(self, range_id, request_id):
        key = range_id, request_ids.parse(request_id)
        return key, self._records.get(key)

    def _expire(self, now):
        while self._records:
            record = next(iter(self._records.values()))
            if record.noted_at > now - MEMORY_S:
                return
            self._drop_oldest()

    def _drop_oldest(self):
        key, _ = next(iter(self._records.items()))
        self._forget_response(key)
        del self._records[key]
        range_id, number = key
        self._move_begin(range_id, request_ids.issued_ms(number) + 1)

    def _forget_response(self, key):
        record = self._stored.pop(key, None)
        if record is not None:
            self._stored_bytes -= record.stored
            record.verdict = Finished()

    def _move_begin(self, range_id, begin_ms):
        known_ms = self._begins_ms.get(range_id, begin_ms)
        self._begins_ms[range_id] = max(known_ms, begin_ms)

    def _clock_ms(self, now):
        return now * 1000 + self._clock_offset_ms


def _bad_id(message):
    return BadId(findings.Finding('Idempotency-Key', message))
