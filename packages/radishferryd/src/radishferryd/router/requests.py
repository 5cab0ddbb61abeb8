"""Handle one request: choose a server, send, retry, answer."""

from __future__ import annotations

import logging
import random

import xxhash

from radishferry.direct import admission
from radishferry.direct import key_map
from radishferry.direct import selection
from radishferryd import http_message
from radishferryd.platform import headers
from radishferryd.router import connections
from radishferryd.router import results

LOG = logging.getLogger(__name__)

#: Seconds that a request waits when its caller names no deadline.
DEFAULT_DEADLINE_S = 60.0
#: Seconds kept back from the caller's deadline for the way of the answer.
ANSWER_MARGIN_S = 0.01
#: Seconds after the route's timeout at which the host answers itself; a
#: server that stops at the same moment answers first.
TIMEOUT_SLACK_S = 0.08
#: Seconds left below which another attempt has no prospect.
MIN_ATTEMPT_S = 0.03
#: Most servers that a request tries to connect to in vain.
MAX_UNREACHABLE = 3
#: Longest wait for an owner whose keys are being moved, in seconds.
OWNER_WAIT_S = 0.6
#: Mean pause before a request goes again to the server that has just turned
#: it away and alone may run it, in seconds; doubled with each attempt. With 3
#: to 8 slots and 200 to 400 ms of work a slot becomes free about as often.
TURNED_AWAY_PAUSE_S = 0.06


class Request:
    """Be one request of a caller."""

    def __init__(self, gateway, slot, route, service, configuration):
        self._gateway = gateway
        self._slot = slot
        self.route = route
        self.service = service
        self._head = slot.head
        self.request_id = slot.head.header(headers.REQUEST_ID)
        self.body = b''.join(slot.body)
        self.arrived_at = slot.arrived_at
        now = gateway.now()
        remaining = headers.parse_remaining_s(
            slot.head.header(headers.REMAINING_MS)
        )
        if remaining is None:
            remaining = DEFAULT_DEADLINE_S
        self._caller_until = self.arrived_at + remaining
        self._until = min(
            self._caller_until, self.arrived_at + route.timeout_s
        )
        self.key = None
        self._attempt = None
        self._tried = []
        self._unreachable = 0
        self._attempts = 0
        self._choice = {}
        self._was_sent = False
        self._is_waiting = False
        self._wait_timer = None
        #: Life of the server that has turned the request away and is asked
        #: again after a pause.
        self._turned_away_by = None
        self._is_done = False
        self._has_begun_answer = False
        self._last = None
        self._timer = gateway.scheduler.call_later(
            max(0.0, self._until + TIMEOUT_SLACK_S - now), self._on_timeout
        )
        service_config = configuration.services.get(service)
        self.is_keyed = bool(service_config and service_config.is_keyed)

    @property
    def is_idempotent(self):
        """Tell whether the request may run more than once."""
        return self.route.kind.is_idempotent

    @property
    def decision(self):
        """Return what decided the last choice of a server, for the log."""
        return {'attempts': self._attempts, **self._choice}

    @property
    def fingerprint(self):
        """Identify equal requests."""
        head = self._head
        parts = (head.method, head.header('host'), head.target)
        digest = xxhash.xxh64(' '.join(parts).encode())
        digest.update(self.body)
        # One bit less, since messages carry signed integers.
        return digest.intdigest() >> 1

    def start(self):
        """Send the request, or refuse it."""
        if self.is_keyed:
            text = self._head.header(headers.KEY)
            self.key = key_map.parse_key(text)
            if self.key is None:
                self._refuse(
                    400, results.Reason.BAD_KEY, f'No key: "{text[:20]}".'
                )
                return
            self._gateway.note_key(self.service, self.key)
        self._next()

    def cancel(self):
        """Give up, since the caller has gone."""
        if self._is_done:
            return
        self._end()
        attempt, self._attempt = self._attempt, None
        # What may run only once is left to end: its effect counts also
        # without a caller, and breaking it off would not undo it.
        if attempt is not None and self.is_idempotent:
            attempt.cancel()
        self._gateway.finished(self, 0, 'cancelled', 'the caller left')

    def pause(self):
        """Take no more of the answer for now."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self):
        """Take more of the answer."""
        if self._attempt is not None:
            self._attempt.resume()

    def owner_changed(self):
        """Try again after a change of the key map."""
        if self._turned_away_by is not None:
            _, server = self._gateway.owner(self.service, self.key)
            if server is not None and server.life == self._turned_away_by:
                return
        self._resume_next()

    def _resume_next(self):
        self._stop_waiting()
        self._next()

    def _wait(self, delay_s):
        """Go on after a delay, or earlier when the owner changes."""
        gateway = self._gateway
        self._is_waiting = True
        gateway.wait_for_owner(self)
        self._wait_timer = gateway.scheduler.call_later(
            delay_s, self._resume_next
        )

    def _stop_waiting(self):
        if self._is_waiting:
            self._is_waiting = False
            self._turned_away_by = None
            self._wait_timer.cancel()
            self._gateway.stop_waiting(self)

    # From the attempt.

    def on_stream_head(self, attempt, head):
        """See :class:`radishferryd.router.connections.Sink`."""
        if not self._is_done:
            self._has_begun_answer = True
            self._slot.begin_stream(head)

    def on_stream_body(self, attempt, data):
        """See :class:`radishferryd.router.connections.Sink`."""
        if not self._is_done:
            self._slot.stream(data)

    def on_result(self, attempt, result):
        """See :class:`radishferryd.router.connections.Sink`."""
        if self._is_done:
            return
        self._attempt = None
        self._last = result
        if isinstance(result, results.Answered):
            self._answer(attempt, result)
            return
        if isinstance(result, results.Unknown):
            self._was_sent = True
            self._gateway.attempt_lost(self, attempt, result)
            if result.has_begun_answer:
                self._break_off(result.detail)
                return
        else:
            self._unreachable += result.is_unreachable
            self._gateway.attempt_refused(self, attempt, result)
        if not self._may_retry(result):
            self._give_up(result)
        elif (
            self.is_keyed
            and isinstance(result, results.NotRun)
            and not result.is_unreachable
            and not attempt.backend.stats.asked_pause_s(self._gateway.now())
        ):
            self._next_after_pause(attempt.server)
        else:
            self._next()

    def _next_after_pause(self, server):
        """Ask a server again when it may have room or the keys.

        Another server gets the request at once when the keys move to it.
        """
        gateway = self._gateway
        pause_s = TURNED_AWAY_PAUSE_S * 2 ** (self._attempts - 1)
        pause_s *= random.uniform(0.5, 1.5)
        if self._until - gateway.now() < pause_s + MIN_ATTEMPT_S:
            self._give_up(self._last)
            return
        self._turned_away_by = server.life
        self._wait(pause_s)

    def _answer(self, attempt, result):
        status = result.head.status
        if headers.promises_not_run(result.head):
            # The server may have run the request: nothing says that it has
            # not, and callers would take the status for that.
            unknown = results.Unknown(f'the server answered {status}')
            self._was_sent = True
            if self.is_idempotent and self._may_retry(unknown):
                self._next()
            else:
                self._give_up(unknown)
            return
        if (
            status in (500, 502)
            and self.is_idempotent
            and self._may_retry(result)
        ):
            self._was_sent = True
            self._gateway.attempt_lost(self, attempt, result)
            self._next()
            return
        elapsed = self._gateway.now() - attempt.sent_at
        self._gateway.route_stats(self).note(
            len(result.body), elapsed, attempt.backend.last_waiting
        )
        self._end()
        self._gateway.finished(self, status, 'answered', '')
        if result.is_streamed:
            self._slot.end_stream()
        else:
            self._slot.answer(result.head, result.body)

    # Choice of the server.

    def _next(self):
        now = self._gateway.now()
        if self._until - now < MIN_ATTEMPT_S:
            self._give_up(self._last)
            return
        if self._gateway.is_poison(self):
            self._refuse(
                503, results.Reason.POISON, 'Equal requests crashed servers.'
            )
        elif self.is_keyed:
            self._next_owner(now)
        else:
            self._next_server(now)

    def _next_owner(self, now):
        gateway = self._gateway
        segment, server = gateway.owner(self.service, self.key)
        if server is None:
            self._wait_for_owner(
                results.Reason.NO_OWNER, 'The key has no owner now.'
            )
            return
        backend = gateway.backends.get(server)
        stats = backend.stats
        if asked_pause_s := stats.asked_pause_s(now):
            self._wait_for_owner(
                results.Reason.SERVER_PAUSED,
                f'{server.server_id} wants no request now.',
                admission.retry_after_pause_s(asked_pause_s),
            )
            return
        if stats.is_paused(now):
            self._wait_for_owner(
                results.Reason.OWNER_UNREACHABLE,
                f'{server.server_id} cannot be reached.',
            )
            return
        usual = gateway.route_stats(self).service_s
        expected = stats.expected_s(usual, now)
        if server.warmup_s > 0:
            expected *= selection.WARMUP_FACTOR
        self._note_choice(server, stats, expected, now, segment.fence)
        if stats.load(now) >= stats.slots and backend.key_counts[
            self.key
        ] >= admission.key_limit(self.route, stats, usual, gateway.host_count):
            self._refuse_busy(
                results.Reason.HOT_KEY, expected, 'The key is overloaded.'
            )
            return
        if not self._is_admitted(stats, expected, now):
            self._refuse_busy(
                results.Reason.OVERLOADED,
                expected,
                f'{server.server_id} has too much work.',
            )
            return
        self._send(backend, now)

    def _next_server(self, now):
        gateway = self._gateway
        stats = gateway.route_stats(self)
        choice = selection.choose(
            gateway.registry.usable(self.service),
            gateway.backends.stats,
            usual_s=stats.service_s,
            data_centre=gateway.data_centre,
            answer_bytes=stats.answer_bytes,
            now=now,
            hosts=gateway.host_count,
            skip=self._tried,
        )
        if choice is None:
            paused_for_s = self._paused_for_s()
            if paused_for_s and not self._was_sent:
                self._refuse(
                    503,
                    results.Reason.SERVER_PAUSED,
                    f'All servers of {self.service} want a pause.',
                    admission.retry_after_pause_s(paused_for_s),
                )
                return
            if self._last is not None:
                self._give_up(self._last)
                return
            self._refuse(
                503,
                results.Reason.NO_SERVER,
                f'No server of {self.service} can be reached.',
                admission.retry_after_s(0.5),
            )
            return
        chosen = gateway.backends.stats(choice.server)
        self._note_choice(choice.server, chosen, choice.expected_s, now)
        if not self._is_admitted(chosen, choice.expected_s, now):
            self._refuse_busy(
                results.Reason.OVERLOADED,
                choice.expected_s,
                f'{self.service} has too much work.',
            )
            return
        self._send(gateway.backends.get(choice.server), now)

    def _note_choice(self, server, stats, expected_s, now, fence=None):
        self._choice = {
            'server': server.server_id,
            'load': round(stats.load(now), 1),
            'slots': stats.slots,
            'expected_s': round(expected_s, 3),
            'left_s': round(self._until - now, 3),
            'fence': fence,
        }

    def _is_admitted(self, stats, expected_s, now):
        return admission.is_admitted(
            self.route,
            stats,
            self._gateway.route_stats(self).service_s,
            expected_s=expected_s,
            left_s=self._until - now,
            now=now,
        )

    def _send(self, backend, now):
        gateway = self._gateway
        if self._attempts:
            gateway.budget.note_resend(self.service, now)
        server = backend.server
        attempt = connections.Attempt(
            backend,
            self.request_id,
            self._head.method,
            self,
            self._format(server, now),
            self.key,
        )
        self._attempt = attempt
        if not backend.send(attempt, self.is_idempotent):
            self._attempt = None
            self._refuse_busy(
                results.Reason.OVERLOADED,
                0.3,
                f'All connections to {server.server_id} are in use.',
            )
            return
        self._attempts += 1
        if server.life not in self._tried:
            self._tried.append(server.life)

    def _format(self, server, now):
        hop = {
            name.strip().lower()
            for name in self._head.header('connection').split(',')
        }
        kept = [
            (name, value)
            for name, value in self._head.headers
            if name not in http_message.HOP_HEADERS
            and name not in hop
            and name != 'content-length'
        ]
        lines = headers.forwarded(
            kept,
            max(0.001, self._until - now - ANSWER_MARGIN_S),
            server.server_id,
        )
        if self.body or self._head.method not in ('GET', 'HEAD', 'DELETE'):
            lines.append(('Content-Length', str(len(self.body))))
        head = http_message.format_request(
            self._head.method, self._head.target, lines
        )
        return head + self.body

    def _wait_for_owner(self, reason, detail, retry_after_s=None):
        """Wait for a move that is under way, but not past its prospect.

        :param retry_after_s: When the caller may come back, None for the
            usual time of a move.
        """
        gateway = self._gateway
        now = gateway.now()
        patience = self.arrived_at + min(
            OWNER_WAIT_S, self.route.target_latency_s * 0.6
        )
        if (
            now < patience
            and gateway.is_moving(self.service, self.key)
            and not self._is_waiting
        ):
            self._wait(patience - now)
            return
        if retry_after_s is None:
            retry_after_s = admission.retry_after_s(0.45)
        self._refuse(503, reason, detail, retry_after_s)

    # End of the request.

    def _may_retry(self, result):
        gateway = self._gateway
        now = gateway.now()
        if isinstance(result, results.Unknown) and not self.is_idempotent:
            return False
        if self._until - now < MIN_ATTEMPT_S:
            return False
        # A server that could not be reached has not had the request.
        reached = len(self._tried) - self._unreachable
        if not self.is_keyed and reached >= self.route.max_attempts:
            return False
        if self._attempts - self._unreachable > self.route.max_attempts:
            return False
        if isinstance(result, results.NotRun) and result.is_unreachable:
            return self._unreachable <= MAX_UNREACHABLE
        return gateway.budget.allows(self.service, now)

    def _give_up(self, result):
        if self._was_sent and not self.is_idempotent:
            self._refuse(
                502,
                results.Reason.BAD_ANSWER,
                'The server may have run the request.',
            )
        elif isinstance(result, results.Answered):
            self._end()
            self._gateway.finished(self, result.head.status, 'answered', '')
            self._slot.answer(result.head, result.body)
        elif isinstance(result, results.Unknown):
            self._refuse(502, results.Reason.BAD_ANSWER, result.detail)
        else:
            detail = result.detail if result else 'no time is left'
            paused_for_s = self._paused_for_s()
            self._refuse(
                503,
                results.Reason.NOT_RUN,
                detail,
                admission.retry_after_pause_s(paused_for_s)
                if paused_for_s
                else admission.retry_after_s(0.3),
            )

    def _paused_for_s(self):
        """Return for how long all servers of the request want no request."""
        gateway = self._gateway
        if not self.is_keyed:
            return gateway.paused_for_s(self.service)
        _, server = gateway.owner(self.service, self.key)
        if server is None:
            return 0.0
        return gateway.backends.get(server).stats.asked_pause_s(gateway.now())

    def _on_timeout(self):
        if self._is_done:
            return
        attempt, self._attempt = self._attempt, None
        was_sent = attempt is not None or self._was_sent
        if attempt is not None:
            attempt.cancel()
            attempt.backend.stats.note_failure(self._gateway.now())
        if self._has_begun_answer:
            self._break_off('The server took too long.')
        elif was_sent:
            self._refuse(
                504, results.Reason.TIMEOUT, 'The server took too long.'
            )
        else:
            self._refuse(
                503, results.Reason.TIMEOUT, 'No server became free in time.'
            )

    def _break_off(self, detail):
        """End an answer that has begun so that it does not look whole."""
        self._end()
        self._gateway.finished(self, 0, 'broken', detail)
        self._slot.break_off()

    def _refuse_busy(self, reason, expected_s, detail):
        if self._was_sent and not self.is_idempotent:
            self._give_up(self._last)
            return
        self._refuse(503, reason, detail, admission.retry_after_s(expected_s))

    def _refuse(self, status, reason, detail, retry_after_s=None):
        self._end()
        if status == 503 and self._was_sent:
            # 503 promises that the request has not run.
            status, retry_after_s = 502, None
        refusal = results.Refusal(status, reason, detail, retry_after_s)
        self._gateway.finished(self, status, reason.value, detail)
        self._slot.refuse(refusal)

    def _end(self):
        self._is_done = True
        self._timer.cancel()
        self._stop_waiting()
