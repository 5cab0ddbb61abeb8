"""Generate an open-loop load on entry hosts and measure the responses."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time

import orjson

from radishferry_testing import arguments
from radishferry_testing import arrivals
from radishferry_testing import http_client
from radishferry_testing import load_kinds
from radishferry_testing import load_report
from radishferry_testing import request_ids

#: Requests in flight at which further arrivals are skipped; the run then
#: counts as limited by the generator.
MAX_IN_FLIGHT = 4000

#: Longest wait for a response, in seconds.
TIMEOUT_S = 30.0


class LoadGenerator:
    """Send requests to entry hosts in round-robin order.

    :param hosts: List of ``ip:port``.
    :param kinds: List of :class:`load_kinds.LoadKind`.
    :param keys: :class:`arrivals.Keys`.
    :param resend: :class:`load_kinds.ResendPolicy`; None never resends.
    :param records: Binary file for one JSON line per sent request, or None.
    :param seed: Seed of arrivals, kinds and keys.
    :ivar report: :class:`load_report.LoadReport`.
    """

    def __init__(
        self,
        hosts,
        kinds,
        keys,
        *,
        resend=None,
        records=None,
        seed=None,
        timeout_s=TIMEOUT_S,
        max_in_flight=MAX_IN_FLIGHT,
    ):
        self._clients = {host: http_client.Client(host) for host in hosts}
        self._host_cycle = itertools.cycle(hosts)
        self._kinds = list(kinds)
        self._weights = list(
            itertools.accumulate(kind.weight for kind in kinds)
        )
        self._keys = keys
        self._resend = resend or load_kinds.ResendPolicy()
        self._records = records
        self._rng = random.Random(seed)
        self._timeout_s = timeout_s
        self._max_in_flight = max_in_flight
        self._in_flight = set()
        self._failure = None
        self.report = load_report.LoadReport()

    async def run(self, schedule, duration_s):
        """Send the arrivals of a schedule and wait for all responses.

        :param schedule: :class:`arrivals.RateSchedule`.
        :param duration_s: Seconds in which requests arrive.
        :returns: :class:`load_report.LoadReport`.
        """
        start_ns = time.monotonic_ns()
        for offset_s in arrivals.poisson(schedule, duration_s, self._rng):
            intended_ns = start_ns + int(offset_s * 1e9)
            wait_s = (intended_ns - time.monotonic_ns()) / 1e9
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._start_request(intended_ns)
            if wait_s <= 0:
                await asyncio.sleep(0)
        self.report.duration_s += (time.monotonic_ns() - start_ns) / 1e9
        if self._in_flight:
            await asyncio.wait(self._in_flight)
        if self._failure is not None:
            raise self._failure
        return self.report

    async def drain(self):
        """Wait for outstanding responses after :meth:`run` was cancelled."""
        if self._in_flight:
            await asyncio.wait(self._in_flight)

    async def send(
        self, kind, key, *, request_id=None, intended_ns=None, body=None
    ):
        """Send one request and resend it as the policy demands.

        :returns: :class:`load_kinds.Record` of the last attempt.
        """
        if intended_ns is None:
            intended_ns = time.monotonic_ns()
        request_id = request_id or request_ids.uuid7()
        for attempt in itertools.count():
            record = load_kinds.Record(
                request_id,
                kind.name,
                key,
                kind.idempotent,
                attempt,
                intended_ns,
            )
            await self._attempt(
                record, kind, kind.body if body is None else body
            )
            if self._is_final(record):
                break
            wait_s = record.retry_after_s
            await asyncio.sleep(
                self._resend.wait_s if wait_s is None else wait_s
            )
        self.report.add_final(record)
        return record

    def close(self):
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _start_request(self, intended_ns):
        self.report.add_lag((time.monotonic_ns() - intended_ns) / 1e9)
        kind = self._rng.choices(self._kinds, cum_weights=self._weights)[0]
        key = self._keys.draw(self._rng)
        if len(self._in_flight) >= self._max_in_flight:
            self.report.skipped += 1
            return
        task = asyncio.ensure_future(
            self.send(kind, key, intended_ns=intended_ns)
        )
        self._in_flight.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task):
        self._in_flight.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()

    def _is_final(self, record):
        resend = self._resend
        return (
            record.attempt >= resend.times
            or record.known_outcome not in resend.outcomes
        )

    async def _attempt(self, record, kind, body):
        record.send_ns = time.monotonic_ns()
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._exchange(record, kind, body)
        except TimeoutError:
            record.error = 'timeout'
        except ConnectionError as exc:
            record.error = type(exc).__name__
        record.end_ns = time.monotonic_ns()
        self.report.add_attempt(record)
        if self._records is not None:
            self._records.write(orjson.dumps(record) + b'\n')

    async def _exchange(self, record, kind, body):
        response = await self._request(record, kind, body)
        if response is None:
            record.outcome = load_kinds.NOT_SENT
            return
        try:
            await record.receive(response)
        finally:
            response.close()

    async def _request(self, record, kind, body):
        """Send through the next host that accepts a connection."""
        target = kind.path.replace('{key}', record.key)
        headers = (('Idempotency-Key', record.id), *kind.headers)
        for _ in self._clients:
            record.host = next(self._host_cycle)
            with contextlib.suppress(http_client.ConnectError):
                return await self._clients[record.host].request(
                    kind.method, target, headers, body
                )
        record.error = 'no host accepts connections'
        return None


def main(
    *,
    host: list[str],
    kind: list[str],
    rate: str = 'constant:100',
    duration_s: float = 10.0,
    keys: int = 1_000_000,
    zipf: float = 1.0,
    resend: int = 0,
    records: str = '',
    seed: int | None = None,
):
    """Generate a load and print a report as JSON.

    :param host: Entry host as ip:port; may be repeated.
    :param kind: NAME:METHOD:PATH:WEIGHT[:BODY_BYTES[:FLAG,...]] with the flags
        once and caller=NAME; may be repeated.
    :param rate: constant:RATE, step:RATE:NEW_RATE:AT_S or
        ramp:RATE:NEW_RATE:DURATION_S, in requests per second.
    :param duration_s: Seconds in which requests arrive.
    :param keys: Number of keys.
    :param zipf: Exponent of the distribution of keys.
    :param resend: Maximum number of times that a caller resends a request.
    :param records: File for one JSON line per sent request.
    :param seed: Seed of arrivals, kinds and keys.
    """
    kinds = [load_kinds.parse_kind(text) for text in kind]
    schedule = arrivals.parse_schedule(rate)

    async def run(file):
        generator = LoadGenerator(
            host,
            kinds,
            arrivals.Keys(keys, zipf),
            resend=load_kinds.ResendPolicy(resend),
            records=file,
            seed=seed,
        )
        try:
            return await generator.run(schedule, duration_s)
        finally:
            generator.close()

    with contextlib.ExitStack() as stack:
        file = stack.enter_context(open(records, 'wb')) if records else None
        report = asyncio.run(run(file))
    print(orjson.dumps(report.report(), option=orjson.OPT_INDENT_2).decode())


if __name__ == '__main__':
    arguments.run(main, '--host', '--kind')
