"""Remember which non-idempotent requests ran."""

from __future__ import annotations

import collections
import dataclasses

from radishferry import findings
from radishferry import request_ids

#: How long a request id is remembered, in seconds.
RETENTION_S = 600.0
#: Maximum number of request ids remembered for one server.
MAX_REQUESTS = 50_000
#: Largest response stored for replay, headers and body, in bytes.
MAX_RESPONSE_BYTES = 4096
#: Maximum total size of the responses stored for one server, in bytes.
MAX_STORED_BYTES = 4 * 1024 * 1024
#: How far the timestamp of an id may be ahead of the coordinator's clock, in
#: milliseconds. The next coordinator could take an id with a later timestamp
#: for new although it has run, so such an id is refused.
MAX_AHEAD_MS = 200
#: Maximum difference between the clocks of two hosts, in milliseconds.
MAX_HOST_SKEW_MS = 50


@dataclasses.dataclass(frozen=True)
class New:
    """Report that the request has not run before and is now in progress."""


@dataclasses.dataclass(frozen=True)
class InProgress:
    """Report that the same request is already waiting or running."""


@dataclasses.dataclass(frozen=True)
class Finished:
    """Report that the request has already run.

    :ivar status: HTTP status of its response; None when it is not stored.
    :ivar headers: Pairs of names and values.
    :ivar body: None when it is not stored.
    """

    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@dataclasses.dataclass(frozen=True)
class PossiblyRun:
    """Report that the request may have run and must not run again."""


@dataclasses.dataclass(frozen=True)
class BadId:
    """Report that the id is not valid; the request did not run under it.

    :ivar finding: What is wrong with the id.
    """

    finding: findings.Finding


Verdict = New | InProgress | Finished | PossiblyRun | BadId


class _Record:
    __slots__ = ('fingerprint', 'recorded_at', 'verdict', 'stored_bytes')

    def __init__(self, fingerprint, recorded_at):
        self.fingerprint = fingerprint
        self.recorded_at = recorded_at
        self.verdict = InProgress()
        self.stored_bytes = 0


class RequestMemory:
    """Remember the request ids of one coordinator by range.

    For each range it keeps the time from which on every issued id is
    remembered. An id that was issued earlier and is not remembered may have
    run. When a record is dropped, this time advances past the time at which
    its id was issued.

    :param max_requests: Maximum number of ids remembered.
    :param max_stored_bytes: Maximum total size of the stored responses.
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
        self._responses = collections.OrderedDict()
        self._stored_bytes = 0
        self._complete_since_ms = {}
        self._clock_offset_ms = 0.0

    def start_range(self, range_id: int, now: float, clock_ms: float):
        """Start to remember the ids of a range.

        Call this only when no earlier coordinator can run requests of the
        range any more. Ids issued until then, by any clock within the allowed
        clock skew, count as possibly run.

        :param now: Seconds.
        :param clock_ms: Wall clock at ``now``, in milliseconds since the
            epoch.
        """
        self._clock_offset_ms = clock_ms - now * 1000
        max_skew_ms = MAX_AHEAD_MS + MAX_HOST_SKEW_MS
        self._advance_complete_since(range_id, clock_ms + max_skew_ms + 1)

    def begin(
        self,
        range_id: int,
        request_id: str,
        now: float,
        fingerprint: int = 0,
        *,
        first: bool = False,
    ) -> Verdict:
        """Return whether a request may run, and remember it if it is new.

        :param range_id: A range passed to :meth:`start_range` before.
        :param request_id: Value of the ``Idempotency-Key`` header.
        :param now: Seconds.
        :param fingerprint: Hash of caller, kind, key and body. A known id
            with another fingerprint is a :class:`BadId`, so that no caller
            receives the response of another request.
        :param first: Whether the entry host generated the id and sends it for
            the first time, so that no earlier coordinator has seen it.
        :raises KeyError: The range was not passed to :meth:`start_range`.
        """
        self._expire(now)
        complete_since_ms = self._complete_since_ms[range_id]
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
        oldest_ms = max(complete_since_ms, clock_ms - RETENTION_S * 1000)
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
        :param body: None when the body is not available.
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
        self._drop_response(key)
        record.verdict = Finished(status, tuple(headers), body)
        record.stored_bytes = size
        self._responses[key] = record
        self._stored_bytes += size
        while self._stored_bytes > self._max_stored_bytes:
            self._drop_response(next(iter(self._responses)))

    def forget(self, range_id: int, request_id: str):
        """Forget a request that is known not to have run."""
        key, record = self._find(range_id, request_id)
        if record is not None and isinstance(record.verdict, InProgress):
            del self._records[key]

    def mark_unknown(self, range_id: int, request_id: str):
        """Remember that a request was sent and that its outcome is unknown."""
        _, record = self._find(range_id, request_id)
        if record is not None and isinstance(record.verdict, InProgress):
            record.verdict = PossiblyRun()

    def _find(self, range_id, request_id):
        key = range_id, request_ids.parse(request_id)
        return key, self._records.get(key)

    def _expire(self, now):
        while self._records:
            record = next(iter(self._records.values()))
            if record.recorded_at > now - RETENTION_S:
                return
            self._drop_oldest()

    def _drop_oldest(self):
        key, _ = next(iter(self._records.items()))
        self._drop_response(key)
        del self._records[key]
        range_id, number = key
        self._advance_complete_since(
            range_id, request_ids.issued_ms(number) + 1
        )

    def _drop_response(self, key):
        record = self._responses.pop(key, None)
        if record is not None:
            self._stored_bytes -= record.stored_bytes
            record.verdict = Finished()

    def _advance_complete_since(self, range_id, time_ms):
        known_ms = self._complete_since_ms.get(range_id, time_ms)
        self._complete_since_ms[range_id] = max(known_ms, time_ms)

    def _clock_ms(self, now):
        return now * 1000 + self._clock_offset_ms


def _bad_id(message):
    return BadId(findings.Finding('Idempotency-Key', message))
