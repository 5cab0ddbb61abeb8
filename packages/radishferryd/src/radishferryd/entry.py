"""Forward the requests of callers to the coordinators of the servers."""

from __future__ import annotations

import dataclasses
import logging
import typing

from radishferry import keyspace
from radishferry import outcomes
from radishferry import poison
from radishferry import retries
from radishferryd import job
from radishferryd import streams

if typing.TYPE_CHECKING:
    from radishferry import manifest

LOG = logging.getLogger(__name__)

#: Maximum size of a request body that is kept for retries, in bytes.
MAX_REPLAY_BODY_BYTES = 65536
#: Seconds after the deadline in which the coordinator may still report the
#: outcome. Longer than :data:`radishferryd.job.DEADLINE_GRACE_S`, so that the
#: coordinator normally reports first.
COORDINATOR_GRACE_S = 0.1
#: Seconds to wait for a new route while a server is being moved, and seconds
#: between checks for one.
ROUTE_WAIT_S = 0.1
ROUTE_POLL_S = 0.01
#: ``Retry-After`` of a refusal because there is no owner, in seconds.
NO_OWNER_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """Represent a request as the caller sent it.

    :ivar service: The :class:`~radishferry.manifest.Service`.
    :ivar kind: The :class:`~radishferry.manifest.RequestKind`.
    :ivar key: The key, empty when the kind has none.
    :ivar headers: Pairs of name and value that are forwarded.
    :ivar is_new_id: Whether the caller sent no request id.
    """

    service: manifest.Service
    kind: manifest.RequestKind
    key: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    request_id: str
    caller: str
    has_body: bool
    is_new_id: bool


class Answer(typing.Protocol):
    """Write the answer to the caller."""

    def on_head(self, status: int, headers) -> None:
        """Write the head of the server's answer."""

    def on_chunk(self, data: bytes, is_last: bool) -> None:
        """Write a part of the server's answer."""

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Write the refusal, or break off the server's answer if it began."""

    def on_credit(self, size: int) -> None:
        """Read more of the request body."""


class Route(typing.Protocol):
    """Describe the route to the owner of a key.

    :ivar server: Name of the server.
    :ivar range_id: Range of the key, -1 when none is needed.
    :ivar epoch: Epoch of the range.
    :ivar host: Name of the coordinator.
    """

    server: str
    range_id: int
    epoch: int
    host: str


class Router(typing.Protocol):
    """Route requests to coordinators."""

    def route(self, request: CallerRequest) -> Route | None:
        """Return the route to the current owner, None without an owner."""

    def connect(
        self, request: streams.Request, sink: streams.Sink
    ) -> streams.Source | outcomes.Refusal | None:
        """Open a stream, see :class:`radishferryd.streams.Dispatcher`."""

    def ended(
        self, request: streams.Request, elapsed_s: float, failed: bool | None
    ) -> None:
        """Record the end of a stream that was opened.

        :param failed: Whether the server failed to serve the request; None if
            the caller cancelled it.
        """


class EntryRequest:
    """Manage one request of a caller across its attempts."""

    def __init__(self, router, scheduler, budget, request, answer):
        """Initialise; :meth:`start` makes the first attempt.

        :param router: A :class:`Router`.
        :param budget: A :class:`~radishferry.retries.RetryBudget`.
        :param request: A :class:`CallerRequest`.
        :param answer: An :class:`Answer`.
        """
        self._router = router
        self._scheduler = scheduler
        self._budget = budget
        self._request = request
        self._answer = answer
        self._deadline = scheduler.now() + request.kind.deadline_ms / 1000
        self._attempt = 0
        self._source = None
        self._sink = None
        self._body = []
        self._body_size = 0
        self._body_done = not request.has_body
        self._can_replay = True
        self._has_head = False
        self._may_have_run = False
        self._is_done = False
        self._timer = None
        self._crashes = 0
        self.started_at = scheduler.now()
        self.route = None
        self._next_route = None
        self._running = None
        self._attempt_at = 0.0
        self._status = 0

    @property
    def request(self) -> CallerRequest:
        """Return the request."""
        return self._request

    @property
    def is_done(self) -> bool:
        """Return whether the answer to the caller is complete."""
        return self._is_done

    def is_current(self, sink) -> bool:
        """Return whether a sink belongs to the current attempt."""
        return self._sink is sink

    def start(self):
        """Send the request to the coordinator of the current owner."""
        if self._timer is None:
            self._timer = self._scheduler.call_later(
                self._remaining_s() + COORDINATOR_GRACE_S, self._on_deadline
            )
        self._attempt += 1
        route = self._next_route or self._router.route(self._request)
        self._next_route = None
        self.route = route
        if route is None:
            self._refuse_unsent(
                outcomes.Reason.NO_OWNER, 'No server owns the key just now.'
            )
            return
        request = self._stream_request(route)
        sink = _AttemptSink(self)
        self._sink = sink
        self._running = request
        self._attempt_at = self._scheduler.now()
        source = self._router.connect(request, sink)
        if isinstance(source, outcomes.Refusal):
            self._end_attempt(failed=True)
            self._finish(source)
            return
        if source is None or sink is not self._sink:
            return
        self._source = source
        body = self._body
        if not self._can_replay:
            self._body = []
        for index, data in enumerate(body):
            is_last = self._body_done and index == len(body) - 1
            source.send(data, is_last)

    def send(self, data, is_last):
        """Forward a part of the request body."""
        self._body_done = is_last
        self._body_size += len(data)
        if self._body_size > MAX_REPLAY_BODY_BYTES:
            self._can_replay = False
        if self._source is not None:
            if self._can_replay:
                self._body.append(data)
            self._source.send(data, is_last)
            return
        self._body.append(data)
        if self._attempt == 0 and (is_last or not self._can_replay):
            self.start()

    def add_credit(self, size):
        """Grant credit for more bytes of the answer."""
        if self._source is not None:
            self._source.add_credit(size)

    def cancel(self):
        """Cancel the request, because the caller has disconnected."""
        self._end_attempt(failed=None)
        self._mark_done()
        if self._source is not None:
            self._source.cancel()

    def attempt_head(self, status, headers):
        """Forward the head of the answer."""
        self._has_head = True
        self._status = status
        if self._request.kind.long:
            self._timer.cancel()
        self._answer.on_head(status, headers)

    def attempt_chunk(self, data, is_last):
        """Forward a part of the answer."""
        if is_last:
            self._end_attempt(failed=self._status >= 500)
            self._mark_done()
            self._budget.record_success(self._scheduler.now())
        self._answer.on_chunk(data, is_last)

    def attempt_refused(self, refusal):
        """Retry the request, or forward the refusal."""
        self._source = None
        self._end_attempt(failed=True)
        if refusal.outcome is not outcomes.Outcome.NOT_RUN:
            self._may_have_run = True
        if refusal.reason is outcomes.Reason.SERVER_LOST:
            self._crashes += 1
        if self._has_head:
            self._finish(refusal)
            return
        wait_until = self._scheduler.now()
        if refusal.reason is outcomes.Reason.STALE_ROUTE:
            wait_until += ROUTE_WAIT_S
        self._retry_or_finish(refusal, wait_until)

    def _retry_or_finish(self, refusal, wait_until):
        if self._is_done:
            return
        if self._may_retry(refusal):
            self.start()
        elif (
            self._scheduler.now() < wait_until
            and self._can_replay
            and not self._has_new_route()
        ):
            # The new coordinator announces itself within milliseconds.
            self._scheduler.call_later(
                ROUTE_POLL_S,
                lambda: self._retry_or_finish(refusal, wait_until),
            )
        else:
            self._finish(refusal)

    def attempt_credit(self, size):
        """Read more of the request body."""
        self._answer.on_credit(size)

    def _may_retry(self, refusal):
        if self._is_done or not self._can_replay:
            return False
        if refusal.reason not in _RETRYABLE or self._remaining_s() <= 0:
            return False
        if self._crashes > 1 or not self._has_new_route():
            return False
        if refusal.reason is outcomes.Reason.STALE_ROUTE:
            # No server ran the request, so the retry adds no load and needs
            # no retry budget.
            return self._attempt <= retries.MAX_RETRIES
        return retries.may_retry(
            refusal.outcome,
            self._request.kind.idempotent,
            self._attempt,
            self._budget,
            self._scheduler.now(),
        )

    def _stream_request(self, route):
        request = self._request
        return streams.Request(
            request.service.name,
            request.kind.name,
            route.server,
            route.range_id,
            route.epoch,
            request.method,
            request.target,
            request.headers,
            self._remaining_s(),
            request.request_id,
            request.caller,
            request.key,
            request.has_body,
            request.is_new_id and self._attempt == 1,
            self._body_hash(),
            self._crashes,
        )

    def _has_new_route(self):
        # A retry at the same owner under the same epoch would fail in the
        # same way.
        route = self._router.route(self._request)
        self._next_route = route
        if route is None:
            return False
        old = self.route
        return (route.server, route.epoch, route.host) != (
            old.server,
            old.epoch,
            old.host,
        )

    def _body_hash(self):
        if not self._request.has_body or not self._can_replay:
            return 0
        return poison.hash_body(b''.join(self._body))

    def _refuse_unsent(self, reason, detail):
        self._finish(
            outcomes.Refusal(
                outcomes.Outcome.NOT_RUN, reason, NO_OWNER_RETRY_S, detail
            )
        )

    def _end_attempt(self, failed):
        running, self._running = self._running, None
        if running is not None:
            elapsed_s = self._scheduler.now() - self._attempt_at
            self._router.ended(running, elapsed_s, failed)

    def _on_deadline(self):
        self._end_attempt(failed=True)
        if self._source is not None:
            self._source.cancel()
        self._finish(
            outcomes.Refusal(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.DEADLINE,
                None,
                'The coordinator did not answer before the deadline.',
            )
        )

    def _remaining_s(self):
        return max(0.0, self._deadline - self._scheduler.now())

    def _finish(self, refusal):
        if self._is_done:
            return
        self._mark_done()
        if self._may_have_run:
            # The refusal of the last attempt does not prove that earlier
            # attempts did not run.
            refusal = dataclasses.replace(
                refusal, outcome=outcomes.Outcome.UNKNOWN
            )
        self._answer.on_refused(refusal)

    def _mark_done(self):
        self._is_done = True
        self._sink = None
        if self._timer is not None:
            self._timer.cancel()


#: Reasons after which a retry may reach another owner.
_RETRYABLE = frozenset(
    (
        outcomes.Reason.STALE_ROUTE,
        outcomes.Reason.UNREACHABLE,
        outcomes.Reason.SERVER_LOST,
        outcomes.Reason.STOPPING,
    )
)


#: Headers of callers that the coordinator sets itself.
_SET_BY_COORDINATOR = frozenset(('idempotency-key',))


class _AttemptSink:
    """Forward events of an attempt, dropping those of abandoned attempts."""

    def __init__(self, entry):
        self._entry = entry

    def on_head(self, status, headers):
        if self._is_current:
            self._entry.attempt_head(status, headers)

    def on_chunk(self, data, is_last):
        if self._is_current:
            self._entry.attempt_chunk(data, is_last)

    def on_refused(self, refusal):
        if self._is_current:
            self._entry.attempt_refused(refusal)

    def on_credit(self, size):
        if self._is_current:
            self._entry.attempt_credit(size)

    @property
    def _is_current(self):
        return self._entry.is_current(self)


def key_hash_of(request: CallerRequest) -> int | None:
    """Return the hash that determines the range of a request.

    :returns: None when any server of the service may run it.
    """
    if request.service.keyed:
        return keyspace.key_hash(request.key)
    if not request.kind.idempotent:
        # A repeated request id must reach the same server, because only its
        # coordinator has recorded the id.
        return keyspace.key_hash(request.request_id)
    return None


def forwarded_headers(headers):
    """Return the caller's headers that are forwarded to the server."""
    return job.forwardable_headers(headers, _SET_BY_COORDINATOR)
