"""Define the simulated work of a backend server and execute it."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import typing

import orjson

from radishferry_testing import bodies

if typing.TYPE_CHECKING:
    from radishferry_testing import http_io

#: Target number of pieces of a long response.
LONG_PIECES = 10

#: Exit status of a process that a poison request crashed.
CRASH_STATUS = 70

CRASH_HEADER = 'x-test-crash'
CRASH_BODY = b'X-Test-Crash: 1'

JSON = (('Content-Type', 'application/json'),)


@dataclasses.dataclass(frozen=True)
class WorkKind:
    """Define the cost of requests whose path starts with a prefix.

    :ivar mean_ms: Mean service time, in ms.
    :ivar body_bytes: Bytes of the response.
    :ivar is_long: The response body is streamed over the service time.
    :ivar is_fixed: Every service time is the mean; otherwise service times
        are distributed exponentially.
    """

    prefix: str
    mean_ms: float = 5.0
    body_bytes: int = 64
    is_long: bool = False
    is_fixed: bool = False

    def service_s(self) -> float:
        """Draw a service time in seconds."""
        mean_s = self.mean_ms / 1000
        if self.is_fixed or not mean_s:
            return mean_s
        return random.expovariate(1 / mean_s)


def parse_kind(text: str) -> WorkKind:
    """Parse ``PREFIX:MEAN_MS[:BYTES[:FLAG[,FLAG]]]``.

    :raises ValueError: A number or flag is not valid.
    """
    prefix, *rest = text.split(':')
    if not 1 <= len(rest) <= 3:
        raise ValueError(
            f'kind {text!r} is not PREFIX:MEAN_MS[:BYTES[:FLAG,...]]'
        )
    mean_ms, *rest = rest
    size = int(rest[0]) if rest and rest[0] else WorkKind.body_bytes
    flags = set(rest[1].split(',')) if len(rest) > 1 else set()
    if flags - {'long', 'fixed', 'exponential'}:
        raise ValueError(f'kind {text!r} has an unknown flag')
    return WorkKind(
        prefix, float(mean_ms), size, 'long' in flags, 'fixed' in flags
    )


@dataclasses.dataclass
class Controls:
    """Configure the faults that the server injects.

    :ivar health: Answer of ``/health`` and ``/load`` instead of the actual
        state.
    :ivar health_status: Status code of these answers.
    :ivar error_rate: Fraction of requests that fail with 500 uncommitted.
    :ivar slow_factor: Factor of service times.
    :ivar extra_ms: Added to service times, in ms.
    """

    health: dict | None = None
    health_status: int = 200
    error_rate: float = 0.0
    slow_factor: float = 1.0
    extra_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Work:
    """Hold the work that a request asks for.

    :ivar range_id: Range id as text, None for work without a range.
    :ivar deadline_at: Event loop time at which the caller gives up, or None.
    """

    request: http_io.Request
    request_id: str
    kind: WorkKind
    range_id: str | None
    epoch: int
    term: int | None
    deadline_at: float | None

    def fields(self):
        """Return the fields of its log lines."""
        return {
            'id': self.request_id,
            'kind': self.kind.prefix,
            'path': self.request.path,
            'key': self.request.headers.get('radishferry-key'),
            'range': self.range_id,
            'epoch': self.epoch,
            'term': self.term,
        }


def parse_work(request, kinds) -> Work:
    """Parse the work of a request.

    :param kinds: List of :class:`WorkKind`; the first that matches is used.
    :raises ValueError: A numeric header is not a number.
    """
    headers = request.headers
    deadline = headers.get('radishferry-deadline-ms')
    term = headers.get('radishferry-term')
    kind = next(
        (k for k in kinds if request.path.startswith(k.prefix)),
        WorkKind(request.path),
    )
    now = asyncio.get_running_loop().time()
    return Work(
        request,
        headers.get('idempotency-key', ''),
        kind,
        headers.get('radishferry-range'),
        int(headers.get('radishferry-epoch', 0)),
        None if term is None else int(term),
        None if deadline is None else now + float(deadline) / 1000,
    )


class Execution:
    """Execute one piece of work.

    :param controls: :class:`Controls` of the server.
    :param commit: Function that checks the lease, logs the commit and returns
        whether the work may take effect.
    """

    def __init__(self, work, controls, commit):
        self._work = work
        self._controls = controls
        self._commit = commit
        self.committed = False

    async def run(self) -> str:
        """Execute the work; return why it was not committed, or ''.

        :raises ConnectionError: The caller closed the connection.
        :raises TimeoutError: The deadline passed before the commit.
        """
        work = self._work
        async with asyncio.timeout_at(work.deadline_at):
            data = await work.request.body.read()
            crash = work.request.headers.get(CRASH_HEADER) == '1'
            if crash or CRASH_BODY in data:
                os._exit(CRASH_STATUS)
            if random.random() < self._controls.error_rate:
                return 'error'
            if work.kind.is_long:
                return await self._stream()
            await asyncio.sleep(self._service_s())
        if not self._try_commit():
            return 'lease-lapsed'
        await self._respond()
        return ''

    def _service_s(self):
        drawn_s = self._work.kind.service_s() * self._controls.slow_factor
        return drawn_s + self._controls.extra_ms / 1000

    def _try_commit(self):
        self.committed = self._commit()
        return self.committed

    async def _respond(self):
        work = self._work
        size = work.kind.body_bytes
        await work.request.start(200, length=size)
        for part in bodies.parts(work.request_id, size):
            await work.request.write(part)
        await work.request.end()

    async def _stream(self):
        """Stream the body over the service time; commit before its end."""
        work = self._work
        size = work.kind.body_bytes
        part_bytes = min(bodies.PART_BYTES, size // LONG_PIECES + 1)
        pieces = list(bodies.parts(work.request_id, size, part_bytes))
        pause_s = self._service_s() / max(1, len(pieces))
        await work.request.start(200)
        for number, piece in enumerate(pieces, 1):
            await asyncio.sleep(pause_s)
            if number == len(pieces) and not self._try_commit():
                return 'lease-lapsed'
            await work.request.write(piece)
        if not pieces and not self._try_commit():
            return 'lease-lapsed'
        await work.request.end()
        return ''


async def fail(work, status, reason):
    """Report failed work without claiming that it did not run."""
    if work.request.started:
        work.request.abort()
    else:
        body = orjson.dumps({'failed': reason})
        await work.request.respond(status, body, JSON)
