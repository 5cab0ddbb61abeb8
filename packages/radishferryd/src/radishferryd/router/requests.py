"""Handle one request: select a server, send, retry and respond."""

from __future__ import annotations

import functools
import logging
import random

from radishferry.direct import admission
from radishferry.direct import key_map
from radishferryd.platform import headers
from radishferryd.router import connections
from radishferryd.router import crashes
from radishferryd.router import relay_headers
from radishferryd.router import relays
from radishferryd.router import request_format
from radishferryd.router import results
from radishferryd.router import server_choice

LOG = logging.getLogger(__name__)

#: Deadline in seconds of a request without a deadline header.
DEFAULT_DEADLINE_S = 60.0
#: Seconds subtracted from the deadline that a server is given, to leave time
#: for the response to reach the caller.
RESPONSE_MARGIN_S = 0.01
#: Seconds that the host waits past the deadline before it responds itself, so
#: that a server that gives up at its own deadline can still respond first.
TIMEOUT_SLACK_S = 0.08
#: Remaining time in seconds below which no further attempt is made.
MIN_ATTEMPT_S = 0.03
#: Maximum failed connects after which a request is still retried.
MAX_CONNECT_FAILURES = 3
#: Maximum wait in seconds for the new owner of a key that is being moved.
OWNER_WAIT_S = 0.6
#: Mean backoff in seconds before a keyed request is sent again to an owner
#: that rejected it, since no other server may run it; doubled with each
#: attempt. A server with 3 to 8 slots and 200 to 400 ms of work per request
#: frees a slot about this often.
RETRY_BACKOFF_S = 0.06


class Request:
    """Track one request of a caller from its arrival to its response."""

    def __init__(
        self, gateway, slot, route, service, configuration, origin=None
    ):
        """Create a request; :meth:`start` sends it.

        :param origin: The :class:`~radishferryd.router.relay_headers.Origin`
            of a request that another host has relayed, else None.
        """
        self._gateway = gateway
        self._origin = origin
        self._slot = slot
        self.route = route
        self.service = service
        self._head = slot.head
        self.request_id = slot.head.header(headers.REQUEST_ID)
        self.body = slot.body.hold()
        self.arrived_at = slot.arrived_at
        now = gateway.now()
        remaining = headers.parse_remaining_s(
            slot.head.header(headers.REMAINING_MS)
        )
        if remaining is None:
            remaining = DEFAULT_DEADLINE_S
        self._caller_deadline = self.arrived_at + remaining
        self._deadline = min(
            self._caller_deadline, self.arrived_at + route.timeout_s
        )
        self.key = None
        self._attempt = None
        self._tried = []
        self._used_connections = []
        self._connect_failures = 0
        #: Attempts that the relaying host has made, and all attempts.
        self._earlier_attempts = origin.attempts if origin else 0
        self._attempts = self._earlier_attempts
        #: Names of the hosts that the request was relayed to.
        self._relays = []
        self._relay_target = None
        #: How often a relayed request was lost that may have run.
        self._lost_relays = 0
        self._selection = {}
        self._may_have_run = False
        self._is_waiting = False
        self._wait_timer = None
        #: Incarnation of the server that rejected the request and is retried
        #: after a backoff.
        self._rejected_by = None
        self._is_done = False
        self._has_response_started = False
        self._last_result = None
        self._timer = gateway.scheduler.call_later(
            max(0.0, self._deadline + TIMEOUT_SLACK_S - now), self._on_timeout
        )
        service_config = configuration.services.get(service)
        self.is_keyed = bool(service_config and service_config.is_keyed)

    @property
    def is_idempotent(self):
        """Return whether the request may run more than once."""
        return self.route.kind.is_idempotent

    @property
    def is_relayed(self) -> bool:
        """Return whether another host has relayed the request to this one."""
        return self._origin is not None

    @property
    def relays(self):
        """Return the names of the hosts that the request was relayed to."""
        return tuple(self._relays)

    @property
    def selection_fields(self):
        """Return the log fields that describe the last server selection."""
        return {
            'attempts': self._attempts,
            'relayed_to': ' '.join(self._relays),
            **self._selection,
        }

    @functools.cached_property
    def fingerprint(self):
        """Return a hash that is the same for identical requests."""
        key = self.key if self.is_keyed else None
        return crashes.fingerprint(self._head, key, self.body.parts())

    def start(self):
        """Send the request to a server, or refuse it."""
        if self.is_keyed:
            text = self._head.header(headers.KEY)
            self.key = key_map.parse_key(text)
            if self.key is None:
                self._refuse(
                    400, results.Reason.BAD_KEY, f'No key: "{text[:20]}".'
                )
                return
            if not self.is_relayed:
                self._gateway.note_key(self.service, self.key)
        self._start_attempt()

    def cancel(self, detail):
        """Cancel the request, since its caller cannot get a response.

        :param detail: The reason, for the log.
        """
        if self._is_done:
            return
        if not self.is_idempotent:
            # The attempt goes on, and the body of the fingerprint is freed.
            _ = self.fingerprint
        self._end()
        attempt, self._attempt = self._attempt, None
        # A request that may run only once is left to complete: its effect
        # matters without a caller too, and cancelling would not undo it. It
        # has run when its response has begun.
        if attempt is not None:
            if self.is_idempotent or attempt.is_answered:
                attempt.cancel()
            else:
                attempt.resume()
        self._gateway.finished(self, 0, 'cancelled', detail)

    def stop(self):
        """Respond because the host stops, unless a response has begun."""
        if not self._is_done and not self._has_response_started:
            self._abandon(
                results.Reason.STOPPING,
                'The host stops.',
                admission.retry_after_s(0.0),
            )

    def pause(self):
        """Pause reading the response from the server."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self):
        """Resume reading the response from the server."""
        if self._attempt is not None:
            self._attempt.resume()

    def owner_changed(self):
        """Retry after a key map change, unless the rejecting owner stays."""
        if not self._is_waiting:
            # An earlier request that was notified has ended this one.
            return
        if self._rejected_by is not None:
            _, server = self._gateway.owner(self.service, self.key)
            if server is not None and server.incarnation == self._rejected_by:
                return
        self._retry_now()

    def _retry_now(self):
        self._stop_waiting()
        self._start_attempt()

    def _schedule_retry(self, delay_s):
        """Retry after a delay, or earlier when the owner changes."""
        gateway = self._gateway
        self._is_waiting = True
        gateway.wait_for_owner(self)
        self._wait_timer = gateway.scheduler.call_later(
            delay_s, self._retry_now
        )

    def _stop_waiting(self):
        if self._is_waiting:
            self._is_waiting = False
            self._rejected_by = None
            self._wait_timer.cancel()
            self._gateway.stop_waiting(self)

    # Callbacks of the attempt, see connections.Sink.

    def on_stream_head(self, attempt, head):
        """See :class:`radishferryd.router.connections.Sink`."""
        if not self._is_done:
            self._has_response_started = True
            self._slot.begin_stream(head)

    def on_stream_body(self, attempt, data):
        """See :class:`radishferryd.router.connections.Sink`."""
        if not self._is_done:
            self._slot.stream(data)

    def on_result(self, attempt, result):
        """See :class:`radishferryd.router.connections.Sink`."""
        if not attempt.backend.is_relay:
            self._gateway.attempt_ended(self, attempt, result)
        if self._is_done:
            return
        self._attempt = None
        if attempt.backend.is_relay:
            self._handle_relay_result(attempt, result)
            return
        self._last_result = result
        if isinstance(result, results.Answered):
            self._answer(attempt, result)
            return
        if isinstance(result, results.Unknown):
            self._may_have_run = True
            self._gateway.attempt_lost(self, attempt, result)
            if result.has_response_started:
                self._abort_response(result.detail)
                return
        else:
            self._connect_failures += result.is_unreachable
            self._gateway.attempt_refused(self, attempt, result)
        if not self._may_retry(result):
            if not self._relay_after(attempt, result):
                self._give_up(result)
        elif (
            self.is_keyed
            and isinstance(result, results.NotRun)
            and not result.is_unreachable
            and not attempt.backend.stats.requested_pause_s(
                self._gateway.now()
            )
        ):
            self._retry_after_backoff(attempt.server)
        else:
            self._start_attempt()

    # Relaying, see radishferryd.router.relays.

    def _relay(self, now, target=None):
        """Send the request to a host that may reach the servers.

        :param target: Incarnation of the server, or name of the service, that
            this host does not reach; None if it reaches no server.
        :returns: Whether it has been sent.
        """
        gateway = self._gateway
        if self.is_relayed or len(self._relays) >= relays.MAX_RELAYS:
            return False
        if self._left_s(now) < MIN_ATTEMPT_S:
            return False
        backend = gateway.relays.choose(self._relays)
        if backend is None:
            return False
        origin = relay_headers.Origin(
            gateway.newest_configuration_version,
            self._attempts - self._connect_failures + len(self._relays),
            self.service,
        )
        attempt = connections.Attempt(
            backend,
            self.request_id,
            self._head.method,
            self,
            self._format_head(now, origin=origin),
            None,
            self._used_connections,
            self.body,
        )
        self._attempt = attempt
        if not backend.send(attempt, self.is_idempotent):
            self._attempt = None
            attempt.release_body()
            return False
        if not origin.attempts:
            gateway.budget.forget_request(self.service)
        self._relay_target = target
        self._relays.append(backend.server.server_id)
        self._used_connections.append(attempt.connection)
        return True

    def _relay_around(self, target, now):
        """Relay the request if only this host may fail to reach a target."""
        return self._gateway.relays.may_be_reached_elsewhere(
            target
        ) and self._relay(now, target)

    def _relay_after(self, attempt, result):
        """Relay the request after its last attempt to connect failed."""
        if not (isinstance(result, results.NotRun) and result.is_unreachable):
            return False
        target = attempt.server.incarnation if self.is_keyed else self.service
        return self._relay_around(target, self._gateway.now())

    def _handle_relay_result(self, attempt, result):
        """Handle the response or the failure of a host it was relayed to."""
        result = relays.interpret(result)
        if isinstance(result, results.Answered):
            # The time includes that of the other host's queue, so only the
            # size is a sample.
            self._gateway.route_stats(self).note(len(result.body), 0.0, 1)
            self._finish_answer(result)
            return
        LOG.info(
            'request: Another host returned no answer of a server.',
            extra={
                'request_id': self.request_id,
                'host': attempt.server.server_id,
                'detail': result.detail,
                'may_have_run': not result.is_not_run,
            },
        )
        if isinstance(result, results.HostRefused):
            self._handle_relay_refusal(attempt, result)
            return
        self._last_result = result
        if isinstance(result, results.Unknown):
            self._may_have_run = True
            self._lost_relays += 1
            if result.has_response_started:
                self._abort_response(result.detail)
                return
            if not self._may_retry(result):
                self._give_up(result)
                return
        self._start_attempt()

    def _handle_relay_refusal(self, attempt, result):
        """Try another host, or pass on the refusal of the other host."""
        if not result.is_not_run:
            self._may_have_run = True
        elif result.is_host_unable or result.is_unreachable:
            if result.is_host_unable:
                attempt.backend.note_refused()
            if self._relay(self._gateway.now(), self._relay_target):
                return
            if self._relay_target is not None:
                self._gateway.relays.note_unreachable_elsewhere(
                    self._relay_target
                )
            elif not self._gateway.relays.is_needed:
                self._last_result = results.NotRun(result.detail)
                self._start_attempt()
                return
        self._refuse(
            result.status, result.reason, result.detail, result.retry_after_s
        )

    def _retry_after_backoff(self, server):
        """Retry a server after a backoff, when it may accept the request.

        If the key moves to another server first, the request is sent there
        at once.
        """
        gateway = self._gateway
        pause_s = RETRY_BACKOFF_S * 2 ** (self._attempts - 1)
        pause_s *= random.uniform(0.5, 1.5)
        if self._left_s(gateway.now()) < pause_s + MIN_ATTEMPT_S:
            self._give_up(self._last_result)
            return
        self._rejected_by = server.incarnation
        self._schedule_retry(pause_s)

    def _answer(self, attempt, result):
        status = result.head.status
        if headers.implies_not_run(result.head):
            # Callers take this status as a promise that the request has not
            # run, but the server has given no proof of that.
            unknown = results.Unknown(f'the server answered {status}')
            self._may_have_run = True
            self._last_result = unknown
            if self.is_idempotent and self._may_retry(unknown):
                self._start_attempt()
            else:
                self._give_up(unknown)
            return
        if (
            status in (500, 502)
            and self.is_idempotent
            and self._may_retry(result)
        ):
            self._may_have_run = True
            self._gateway.attempt_lost(self, attempt, result)
            self._start_attempt()
            return
        self._gateway.note_answer(self, attempt, result)
        self._finish_answer(result)

    def _finish_answer(self, result):
        """Return the complete response of a server."""
        self._end()
        self._gateway.finished(self, result.head.status, 'answered', '')
        if result.is_streamed:
            self._slot.end_stream()
        else:
            self._slot.answer(result.head, result.body)

    # Server selection.

    def _start_attempt(self):
        if self._is_done:
            # Its body has been released.
            return
        now = self._gateway.now()
        if self._left_s(now) < MIN_ATTEMPT_S:
            self._give_up(self._last_result)
            return
        if self._gateway.is_poison(self):
            self._refuse(
                503,
                results.Reason.POISON,
                f'Equal requests ({self.fingerprint:x}) crashed servers.',
            )
        elif self._gateway.relays.is_needed and self._relay(now):
            return
        elif (
            self._gateway.relays.is_needed and self._gateway.relays.host_count
        ):
            self._refuse(
                503,
                results.Reason.NO_SERVER,
                'No server and no further host can be reached.',
                admission.retry_after_s(0.5),
            )
        else:
            self._choose_server(now)

    def _choose_server(self, now):
        """Send the request to the chosen server, or end or hold it."""
        gateway = self._gateway
        query = server_choice.Query(
            self.route,
            self.service,
            self.key,
            gateway.route_stats(self),
            self._left_s(now),
            tuple(self._tried),
            self._caller_deadline - now,
        )
        decision = server_choice.choose(gateway, query, now)
        if isinstance(decision, server_choice.NoServer):
            self._handle_no_server(decision, now)
        elif isinstance(decision, server_choice.NoOwner):
            if decision.unreachable is None or not self._relay_around(
                decision.unreachable, now
            ):
                self._wait_for_owner(
                    decision.reason, decision.detail, decision.retry_after_s
                )
        else:
            if decision.facts:
                self._selection = decision.facts
            if isinstance(decision, server_choice.Send):
                self._send(decision.backend, now)
            else:
                self._refuse_overloaded(
                    decision.reason, decision.retry_after_s, decision.detail
                )

    def _handle_no_server(self, decision, now):
        if decision.paused_for_s and not self._may_have_run:
            self._refuse(
                503,
                results.Reason.SERVER_PAUSED,
                f'All servers of {self.service} want a pause.',
                admission.retry_after_pause_s(decision.paused_for_s),
            )
        elif self._relay_around(self.service, now):
            return
        elif self._last_result is not None:
            self._give_up(self._last_result)
        elif decision.permit_wait_s:
            self._refuse_overloaded(
                results.Reason.RATE_LIMITED,
                admission.retry_after_s(decision.permit_wait_s),
                f'The servers of {self.service} have a limit.',
            )
        else:
            self._refuse(
                503,
                results.Reason.NO_SERVER,
                f'No server of {self.service} can be reached.',
                admission.retry_after_s(0.5),
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
            self._format_head(now, server.server_id),
            self.key,
            self._used_connections,
            self.body,
        )
        attempt.expect(
            now + self._left_s(now), gateway.route_stats(self).service_s
        )
        self._attempt = attempt
        if not backend.send(attempt, self.is_idempotent):
            self._attempt = None
            attempt.release_body()
            may_retry = gateway.end_stalled_callers()
            if self._is_done:
                # The caller of this request was one of them.
                return
            if may_retry:
                self._schedule_retry(RETRY_BACKOFF_S)
                return
            self._refuse_overloaded(
                results.Reason.OVERLOADED,
                admission.retry_after_s(0.3),
                f'All connections to {server.server_id} are in use.',
            )
            return
        self._attempts += 1
        self._used_connections.append(attempt.connection)
        if server.incarnation not in self._tried:
            self._tried.append(server.incarnation)

    def _format_head(self, now, server_id=None, origin=None):
        """Return the head of the request to a server or another host."""
        left_s = self._left_s(now) - RESPONSE_MARGIN_S
        return request_format.format_head(
            self._head, self.body.size, left_s, server_id, origin
        )

    def _wait_for_owner(self, reason, detail, retry_after_s=None):
        """Wait while the key is being moved, or refuse the request.

        The wait is limited to :data:`OWNER_WAIT_S` and to a part of the
        route's target latency.

        :param retry_after_s: Seconds after which the caller may retry, None
            for the usual duration of a move.
        """
        gateway = self._gateway
        now = gateway.now()
        wait_until = self.arrived_at + min(
            OWNER_WAIT_S, self.route.target_latency_s * 0.6
        )
        if (
            now < wait_until
            and gateway.is_moving(self.service, self.key)
            and not self._is_waiting
        ):
            self._schedule_retry(wait_until - now)
            return
        if retry_after_s is None:
            retry_after_s = admission.retry_after_s(0.45)
        self._refuse(503, reason, detail, retry_after_s)

    # End of the request.

    def _left_s(self, now):
        """Return the seconds that are left for a response of a server."""
        return min(self._deadline, self._gateway.ends_at) - now

    def _may_retry(self, result):
        gateway = self._gateway
        now = gateway.now()
        if not result.allows_retry(self.is_idempotent):
            return False
        if self._left_s(now) < MIN_ATTEMPT_S:
            return False
        # The route limits the number of servers that the request is sent to.
        # An unreachable server has not received it. A keyed request may be
        # sent to one server repeatedly; its attempts are limited below.
        reached = (
            self._earlier_attempts
            + len(self._tried)
            + self._lost_relays
            - self._connect_failures
        )
        if not self.is_keyed and reached >= self.route.max_attempts:
            return False
        attempts = self._attempts + self._lost_relays - self._connect_failures
        if attempts > self.route.max_attempts:
            return False
        if isinstance(result, results.NotRun) and result.is_unreachable:
            return self._connect_failures <= MAX_CONNECT_FAILURES
        return gateway.budget.allows(self.service, now)

    def _give_up(self, result):
        if self._may_have_run and not self.is_idempotent:
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
            reason = results.Reason.NOT_RUN
            if self.is_relayed and result and result.is_unreachable:
                # The relaying host may try another host.
                reason = results.Reason.OWNER_UNREACHABLE
            self._refuse(
                503,
                reason,
                detail,
                admission.retry_after_pause_s(paused_for_s)
                if paused_for_s
                else admission.retry_after_s(0.3),
            )

    def _paused_for_s(self):
        """Return for how many seconds all candidate servers are paused.

        Only pauses that the servers have asked for count.
        """
        gateway = self._gateway
        if not self.is_keyed:
            return gateway.paused_for_s(self.service)
        _, server = gateway.owner(self.service, self.key)
        if server is None:
            return 0.0
        return gateway.backends.get(server).stats.requested_pause_s(
            gateway.now()
        )

    def _on_timeout(self):
        if self._is_done:
            return
        if self._attempt is not None:
            self._attempt.backend.stats.note_failure(self._gateway.now())
        if self._attempt is not None or self._may_have_run:
            detail = 'The server took too long.'
        else:
            detail = 'No server became free in time.'
        self._abandon(results.Reason.TIMEOUT, detail)

    def _abandon(self, reason, detail, retry_after_s=None):
        """Respond without waiting for the server any longer.

        :param retry_after_s: Seconds after which the caller may retry if the
            request was not sent to a server.
        """
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
        if self._has_response_started:
            self._abort_response(detail)
        elif attempt is not None or self._may_have_run:
            self._refuse(504, reason, detail)
        else:
            self._refuse(503, reason, detail, retry_after_s)

    def _abort_response(self, detail):
        """Abort a response in progress, so that it looks incomplete."""
        self._end()
        self._gateway.finished(self, 0, 'broken', detail)
        self._slot.break_off(
            results.Refusal(502, results.Reason.BAD_ANSWER, detail)
        )

    def _refuse_overloaded(self, reason, retry_after_s, detail):
        if self._may_have_run and not self.is_idempotent:
            self._give_up(self._last_result)
            return
        self._refuse(503, reason, detail, retry_after_s)

    def _refuse(self, status, reason, detail, retry_after_s=None):
        self._end()
        if status == 503 and self._may_have_run:
            # A 503 promises that the request has not run, which is unknown
            # here.
            status, retry_after_s = 502, None
        refusal = results.Refusal(status, reason, detail, retry_after_s)
        self._gateway.finished(self, status, reason.value, detail)
        self._slot.refuse(refusal)

    def _end(self):
        if not self._is_done:
            self.body.release()
        self._is_done = True
        self._timer.cancel()
        self._stop_waiting()
