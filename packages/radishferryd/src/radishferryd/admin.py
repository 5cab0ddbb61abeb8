"""Serve requests of operators and the metrics collector."""

from __future__ import annotations

import dataclasses
import hmac
import logging
import time
import typing

from circuits.core import BaseComponent
from circuits.core.handlers import handler
from circuits.web import events as web_events
import orjson

from radishferryd import admin_exchange
from radishferryd import admin_http
from radishferryd import operations as operations_module

if typing.TYPE_CHECKING:
    from radishferryd.operations import Operations

LOG = logging.getLogger(__name__)

#: Seconds after which a submission without a result is answered as unknown;
#: less than :data:`~radishferryd.admin_http.CONNECTION_LIMIT_S`.
SUBMIT_LIMIT_S = 15.0
#: Content type of the Prometheus text format.
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
JSON_TYPE = 'application/json'


@dataclasses.dataclass(frozen=True)
class _Reply:
    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass
class _Submission:
    """Represent a response that waits for the result of a submission."""

    res: typing.Any
    deadline: float
    is_answered: bool = False


class Admin(BaseComponent):
    """Serve the administration routes."""

    channel = admin_http.CHANNEL

    def __init__(self, address, token: str, operations: Operations):
        """Bind and listen.

        :param address: Pair of IP and port.
        :param token: Token that operators send as ``Authorization: Bearer``.
        :param operations: Implements the routes.
        :raises OSError: The address cannot be bound.
        """
        super().__init__(channel=self.channel)
        self._token = token.encode()
        self._operations = operations
        self._submissions = []
        self._routes = {
            '/ready': {'GET': self._ready},
            '/health': {'GET': lambda: _json(200, {'healthy': True})},
            '/metrics': {'GET': self._metrics},
            '/v1/status': {'GET': lambda: _json(200, operations.status())},
            '/v1/dump': {'GET': lambda: _json(200, operations.dump())},
            '/v1/poison': {'GET': self._poison},
            '/v1/manifest': {'GET': self._manifest, 'POST': self._submit},
            '/v1/stop': {'POST': self._stop},
        }
        self._server = admin_http.Server(
            address, self._check_head, self._refuse
        ).register(self)

    @property
    def address(self) -> tuple[str, int]:
        """Return the bound IP and port."""
        return self._server.host, self._server.port

    def _check_head(self, head):
        path = head.target.partition('?')[0]
        route = self._routes.get(path)
        if route is None:
            raise admin_exchange.RequestError(404, 'no such path')
        if path.startswith('/v1/') and not self._is_authorized(head):
            raise admin_exchange.RequestError(
                401, 'expected "Authorization: Bearer" with the admin token'
            )
        if head.method not in route:
            allowed = ', '.join(route)
            raise admin_exchange.RequestError(405, f'expected {allowed}')

    def _is_authorized(self, head):
        scheme, _, token = head.header('authorization').partition(' ')
        given = token.strip().encode('latin-1')
        # Compare in constant time to prevent timing attacks.
        is_equal = hmac.compare_digest(given, self._token)
        return scheme.lower() == 'bearer' and is_equal

    def _refuse(self, res, error):
        headers = ()
        if error.status == 401:
            headers = (('WWW-Authenticate', 'Bearer'),)
        if error.status == 405:
            route = self._routes[res.request.path]
            headers = (('Allow', ', '.join(route)),)
        _fill_response(res, _error(error.status, str(error), headers))

    @handler('request')
    def _on_request(self, req, res):
        action = self._routes[req.path][req.method]
        try:
            if action == self._submit:
                return self._submit(req, res)
            reply = action()
        except Exception:
            LOG.exception('admin: %s %s failed.', req.method, req.path)
            reply = _error(500, 'internal error; see the log of the host')
        return _fill_response(res, reply)

    def _ready(self):
        is_ready = self._operations.is_ready()
        return _json(200 if is_ready else 503, {'ready': is_ready})

    def _metrics(self):
        return _Reply(200, self._operations.metrics(), METRICS_TYPE)

    def _poison(self):
        return _json(200, {'poison': self._operations.poison()})

    def _manifest(self):
        text = self._operations.manifest()
        if text is None:
            return _error(404, 'no manifest is in force')
        return _Reply(200, text)

    def _stop(self):
        LOG.info('admin: An operator requested a stop.')
        self._operations.stop()
        return _json(202, {'stopping': True})

    def _submit(self, req, res):
        submission = _Submission(res, time.monotonic() + SUBMIT_LIMIT_S)
        self._submissions.append(submission)

        def done(result):
            self._finish(submission, _submission_reply(result))

        try:
            self._operations.submit_manifest(req.body.read(), done)
        except Exception:
            LOG.exception('admin: Submitting a manifest failed.')
            detail = 'internal error; see the log of the host'
            self._finish(submission, _error(500, detail))
        # True makes circuits.web wait for the response event.
        return True

    def _finish(self, submission, reply):
        if submission.is_answered:
            return
        submission.is_answered = True
        self._submissions.remove(submission)
        self.fire(web_events.response(_fill_response(submission.res, reply)))

    @handler('generate_events', channel='*')
    def _on_generate_events(self, event):
        if not self._submissions:
            return
        now = time.monotonic()
        for submission in [s for s in self._submissions if s.deadline <= now]:
            self._finish(submission, _unavailable(_TIMED_OUT))
            # Events fired here are handled only after the poller returns.
            event.reduce_time_left(0)
        if self._submissions:
            event.reduce_time_left(self._submissions[0].deadline - now)


_TIMED_OUT = operations_module.Unavailable(
    'no result in time; ask for the manifest in force before a repeat', True
)


def _submission_reply(result):
    if isinstance(result, operations_module.Accepted):
        return _json(200, {'version': result.version})
    if isinstance(result, operations_module.Rejected):
        found = [dataclasses.asdict(f) for f in result.findings]
        body = {'error': 'the manifest is not valid', 'findings': found}
        return _json(422, body)
    if isinstance(result, operations_module.Conflict):
        detail = result.detail or 'another manifest was accepted first'
        return _json(409, {'error': detail, 'version': result.version})
    return _unavailable(result)


def _unavailable(result):
    body = {'error': result.detail, 'unknown': result.is_unknown}
    if result.is_unknown:
        return _json(504, body)
    return _json(503, body, (('Retry-After', '1'),))


def _error(status, message, headers=()):
    return _json(status, {'error': message}, headers)


def _json(status, value, headers=()):
    option = orjson.OPT_NON_STR_KEYS | orjson.OPT_APPEND_NEWLINE
    body = orjson.dumps(value, default=str, option=option)
    return _Reply(status, body, JSON_TYPE, headers)


def _fill_response(res, reply):
    res.status = reply.status
    res.body = reply.body
    res.headers['Content-Type'] = reply.content_type
    for name, value in reply.headers:
        res.headers[name] = value
    return res
