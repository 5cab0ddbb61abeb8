"""Run a stand-in for a backend server that owns ranges under a lease."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time

import orjson

from radishferry_testing import arguments
from radishferry_testing import http_io
from radishferry_testing import run_log
from radishferry_testing import server_lease
from radishferry_testing import server_work

#: Requests that may wait for a slot before the server sheds load.
MAX_WAITING = 2

#: Largest random clock offset of a server, in ms, so that no two servers or
#: boots agree on the time.
MAX_CLOCK_OFFSET_MS = 1e6


class Server:
    """Handle lease requests and work.

    :param slots: Maximum number of requests that run concurrently.
    :param log: :class:`radishferry_testing.run_log.RunLog`.
    :param kinds: List of :class:`server_work.WorkKind`; the longest matching
        prefix wins.
    :param checks_term: Whether work under a lower term, or work for a range
        without a term, is refused.
    """

    def __init__(self, slots, log, kinds, *, checks_term=True):
        self._slots = slots
        self._kinds = sorted(kinds, key=lambda k: -len(k.prefix))
        self._checks_term = checks_term
        self._boot_id = log.boot_id
        self._clock_offset_ms = random.uniform(0, MAX_CLOCK_OFFSET_MS)
        self._lease = server_lease.ServerLease()
        self._slot_semaphore = asyncio.Semaphore(slots)
        self._admitted = 0
        self._busy = 0
        self._draining = False
        self._controls = server_work.Controls()
        self._run_numbers = itertools.count()
        self._log = log

    async def handle(self, request):
        """Handle one request."""
        route = (request.method, request.path)
        if route == ('POST', '/lease'):
            await self._grant(request, orjson.loads(await request.body.read()))
        elif route in (('GET', '/health'), ('GET', '/load')):
            actual = {'slots': self._slots, 'busy': self._busy}
            controls = self._controls
            await _reply(
                request, controls.health or actual, controls.health_status
            )
        elif route == ('POST', '/drain'):
            self._draining = True
            await _reply(request, {})
        elif route == ('POST', '/control'):
            await self._control(request)
        else:
            await self._admit(request)

    def _clock_ms(self, now_ns):
        return now_ns / 1e6 + self._clock_offset_ms

    async def _grant(self, request, values):
        now_ms = self._clock_ms(time.monotonic_ns())
        expires_at_ms, ranges = values['expires_at_ms'], values.get('ranges')
        if values.get('boot_id') not in (None, '', self._boot_id):
            # The expiry is on the clock of a process that has ended.
            expires_at_ms, ranges = 0.0, None
        accepted = self._lease.grant(
            now_ms, values['term'], values['seq'], expires_at_ms, ranges
        )
        answer = {
            'clock_ms': now_ms,
            'boot_id': self._boot_id,
            'term': self._lease.term,
            'previous_term': self._lease.previous_term,
            'ranges': self._lease.held(now_ms),
        }
        await _reply(request, answer, 200 if accepted else 409)

    async def _control(self, request):
        values = orjson.loads(await request.body.read())
        try:
            self._controls = dataclasses.replace(self._controls, **values)
        except TypeError as exc:
            await _reply(request, {'error': str(exc)}, 400)
        else:
            await _reply(request, dataclasses.asdict(self._controls))

    async def _admit(self, request):
        try:
            work = server_work.parse_work(request, self._kinds)
        except ValueError as exc:
            await _reply(request, {'error': str(exc)}, 400)
            return
        limit = self._slots + MAX_WAITING
        if self._draining or self._admitted >= limit:
            await self._refuse(work, 'shed', time.monotonic_ns())
            return
        self._admitted += 1
        try:
            async with self._slot_semaphore:
                await self._start(work)
        finally:
            self._admitted -= 1

    async def _start(self, work):
        now_ns = time.monotonic_ns()
        reason = self._refusal_reason(work, now_ns)
        if reason:
            await self._refuse(work, reason, now_ns)
            return
        generation = self._lease.begin(work.range_id)
        number = next(self._run_numbers)
        self._busy += 1
        self._log_event(work, 'start', now_ns, run=number)
        execution = server_work.Execution(
            work,
            self._controls,
            lambda: self._commit(work, generation, number),
        )
        try:
            await self._run(work, execution, number)
        finally:
            self._busy -= 1
            self._lease.finish(work.range_id)

    async def _run(self, work, execution, number):
        status, reason = 500, ''
        try:
            reason = await execution.run()
        except TimeoutError:
            status, reason = 504, 'deadline'
        except (ConnectionError, asyncio.CancelledError):
            if not execution.committed:
                self._log_event(work, 'abort', run=number, reason='cancelled')
            raise
        if reason:
            if not execution.committed:
                self._log_event(work, 'abort', run=number, reason=reason)
            await server_work.fail(work, status, reason)

    def _commit(self, work, generation, number):
        """Commit if the lease has covered the work until now.

        The lease check and the log line use the same clock reading, so that
        a pause between them cannot date the commit after the lease expired.
        """
        now_ns = time.monotonic_ns()
        now_ms = self._clock_ms(now_ns)
        if not self._lease.may_commit(now_ms, work.range_id, generation):
            return False
        size = work.kind.body_bytes
        self._log_event(work, 'commit', now_ns, run=number, body_bytes=size)
        return True

    def _refusal_reason(self, work, now_ns):
        deadline_at = work.deadline_at
        now = asyncio.get_running_loop().time()
        if deadline_at is not None and now >= deadline_at:
            return 'shed'
        if self._checks_term:
            if work.term is None and work.range_id is not None:
                return 'stale-term'
            if work.term is not None and work.term < self._lease.term:
                return 'stale-term'
        return self._lease.refusal_reason(
            self._clock_ms(now_ns), work.range_id, work.epoch
        )

    async def _refuse(self, work, reason, now_ns):
        self._log_event(work, 'refuse', now_ns, reason=reason)
        await work.request.respond(
            503 if reason == 'shed' else 409,
            orjson.dumps({'refused': reason}),
            (('Radishferry-Refused', reason), *server_work.JSON),
        )

    def _log_event(self, work, event, now_ns=None, **extra):
        if now_ns is None:
            now_ns = time.monotonic_ns()
        self._log.write(time_ns=now_ns, event=event, **work.fields(), **extra)


async def _reply(request, value, status=200):
    await request.respond(status, orjson.dumps(value), server_work.JSON)


def main(
    *,
    name: str,
    port: int,
    slots: int = 6,
    service: str = '',
    log: str = '',
    kind: list[str] = (),
    no_check_term: bool = False,
):
    """Run a backend server stand-in on 127.0.0.1.

    :param name: Name in the run log.
    :param port: Port to listen on.
    :param slots: Maximum number of requests that run concurrently.
    :param service: Service in the run log; range ids and keys belong to it.
    :param log: Run log to append to.
    :param kind: PREFIX:MEAN_MS[:BYTES[:FLAG,...]] with the flags long, fixed
        and exponential; may be repeated.
    :param no_check_term: Run work under any term.
    """
    kinds = [server_work.parse_kind(text) for text in kind]

    async def run():
        events = run_log.RunLog(log, server=name, service=service)
        server = Server(slots, events, kinds, checks_term=not no_check_term)
        await http_io.serve(server.handle, port)

    asyncio.run(run())


if __name__ == '__main__':
    arguments.run(main, '--kind')
