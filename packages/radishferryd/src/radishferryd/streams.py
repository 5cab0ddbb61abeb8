"""Multiplex requests between the entry host and the coordinator."""

from __future__ import annotations

import dataclasses
import itertools
import typing

from radishferry import outcomes
from radishferryd.gen import ttypes

#: Flow control window: unacknowledged bytes of a stream in one direction.
WINDOW_BYTES = 262144
#: Maximum size of a chunk sent in one frame, in bytes.
CHUNK_BYTES = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Represent a request that is forwarded to a server.

    :ivar service: Name of the service.
    :ivar kind: Name of the request kind.
    :ivar server: Name of the server.
    :ivar range_id: Range of the key, -1 when none is needed.
    :ivar epoch: Epoch of the range in the routing table of the entry host.
    :ivar headers: Pairs of name and value.
    :ivar deadline_s: Remaining time of the request in seconds.
    :ivar request_id: Value of ``Idempotency-Key``.
    :ivar caller: Value of ``Radishferry-Caller``.
    :ivar key: The key, empty when the kind has none.
    :ivar has_body: Whether body chunks follow.
    :ivar is_first: Whether the entry host generated the request ID and sends
        the request for the first time.
    :ivar body_hash: 64-bit hash of the body; 0 for no body or a long one.
    :ivar crashes: Number of servers lost while they ran this request.
    """

    service: str
    kind: str
    server: str
    range_id: int
    epoch: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    deadline_s: float
    request_id: str
    caller: str
    key: str
    has_body: bool
    is_first: bool = False
    body_hash: int = 0
    crashes: int = 0


class Sink(typing.Protocol):
    """Receive the response to a request at the entry host."""

    def on_head(self, status: int, headers) -> None:
        """Handle the status and the headers of the response."""

    def on_chunk(self, data: bytes, is_last: bool) -> None:
        """Handle a part of the body."""

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Handle a stream that ended without a complete response."""

    def on_credit(self, size: int) -> None:
        """Handle credit for more bytes of the request body."""


class Source(typing.Protocol):
    """Control a request on behalf of the entry host."""

    def send(self, data: bytes, is_last: bool) -> None:
        """Send a part of the request body."""

    def add_credit(self, size: int) -> None:
        """Give credit for more bytes of the response."""

    def cancel(self) -> None:
        """Cancel the request."""


class Dispatcher(typing.Protocol):
    """Run requests on the servers that this host coordinates."""

    def begin(self, request: Request, sink: Sink) -> Source | None:
        """Start a request.

        :returns: Controls the request; None when the sink has already
            received the end of the response.
        """


class OutboundStreams:
    """Manage the streams that this host opened on one link."""

    def __init__(self, link):
        self._link = link
        self._ids = itertools.count(1)
        self._sinks = {}

    @property
    def count(self) -> int:
        """Return the number of open streams."""
        return len(self._sinks)

    def begin(self, request, sink) -> Source:
        """Send a request over the link."""
        stream = next(self._ids)
        self._sinks[stream] = sink
        self._link.send(
            'request_head',
            ttypes.RequestHead(
                stream,
                request.service,
                request.kind,
                request.server,
                request.range_id,
                request.epoch,
                request.method,
                request.target,
                [ttypes.Header(*pair) for pair in request.headers],
                max(0, int(request.deadline_s * 1000)),
                request.request_id,
                request.caller,
                request.key,
                request.has_body,
                request.is_first,
                to_signed64(request.body_hash),
                request.crashes,
            ),
        )
        return _OutboundSource(self, self._link, stream)

    def forget(self, stream):
        """Ignore further messages for a stream."""
        self._sinks.pop(stream, None)

    def message(self, name, message):
        """Handle a message of the coordinator."""
        sink = self._sinks.get(message.stream)
        if sink is None:
            return
        if name == 'response_head':
            headers = tuple((h.name, h.value) for h in message.headers)
            sink.on_head(message.status, headers)
        elif name == 'response_chunk':
            if message.is_last:
                del self._sinks[message.stream]
            sink.on_chunk(message.data, message.is_last)
        elif name == 'credit':
            sink.on_credit(message.size)
        elif name == 'refused':
            del self._sinks[message.stream]
            sink.on_refused(decode_refusal(message))

    def fail(self, detail):
        """End all streams because the link is lost."""
        sinks, self._sinks = list(self._sinks.values()), {}
        refusal = outcomes.Refusal(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.UNREACHABLE,
            None,
            detail,
        )
        for sink in sinks:
            sink.on_refused(refusal)


class _OutboundSource:
    def __init__(self, streams, link, stream):
        self._streams = streams
        self._link = link
        self._stream = stream

    def send(self, data, is_last):
        self._link.send(
            'request_chunk', ttypes.RequestChunk(self._stream, data, is_last)
        )

    def add_credit(self, size):
        self._link.send('credit', ttypes.Credit(self._stream, size))

    def cancel(self):
        self._streams.forget(self._stream)
        self._link.send('cancel', ttypes.Cancel(self._stream))


class InboundStreams:
    """Manage the streams that a peer opened on one link."""

    def __init__(self, link, dispatcher):
        self._link = link
        self._dispatcher = dispatcher
        self._sources = {}

    def message(self, name, message):
        """Handle a message of the entry host."""
        if name == 'request_head':
            self._begin(message)
            return
        source = self._sources.get(message.stream)
        if source is None:
            return
        if name == 'request_chunk':
            source.send(message.data, message.is_last)
        elif name == 'credit':
            source.add_credit(message.size)
        elif name == 'cancel':
            del self._sources[message.stream]
            source.cancel()

    def forget(self, stream):
        """Ignore further messages for a stream."""
        self._sources.pop(stream, None)

    def fail(self):
        """Cancel all streams because the link is lost."""
        sources, self._sources = list(self._sources.values()), {}
        for source in sources:
            source.cancel()

    def _begin(self, head):
        request = Request(
            head.service_name,
            head.kind,
            head.server,
            head.range_id,
            head.epoch,
            head.method,
            head.target,
            tuple((h.name, h.value) for h in head.headers),
            head.deadline_ms / 1000,
            head.request_id,
            head.caller,
            head.key,
            head.has_body,
            head.is_first,
            to_unsigned64(head.body_hash),
            head.crashes,
        )
        sink = _InboundSink(self, self._link, head.stream)
        source = self._dispatcher.begin(request, sink)
        if source is not None and not sink.is_ended:
            self._sources[head.stream] = source


class _InboundSink:
    def __init__(self, streams, link, stream):
        self._streams = streams
        self._link = link
        self._stream = stream
        self._is_ended = False

    @property
    def is_ended(self):
        return self._is_ended

    def on_head(self, status, headers):
        listed = [ttypes.Header(*pair) for pair in headers]
        self._link.send(
            'response_head',
            ttypes.ResponseHead(self._stream, status, listed),
        )

    def on_chunk(self, data, is_last):
        if is_last:
            self._end()
        parts = [
            data[start : start + CHUNK_BYTES]
            for start in range(0, len(data), CHUNK_BYTES)
        ] or [b'']
        for index, part in enumerate(parts, 1):
            self._link.send(
                'response_chunk',
                ttypes.ResponseChunk(
                    self._stream, part, is_last and index == len(parts)
                ),
            )

    def on_refused(self, refusal):
        self._end()
        retry_after_ms = -1
        if refusal.retry_after_s is not None:
            retry_after_ms = int(refusal.retry_after_s * 1000)
        self._link.send(
            'refused',
            ttypes.Refused(
                self._stream,
                refusal.outcome.value,
                refusal.reason.value,
                retry_after_ms,
                refusal.detail,
            ),
        )

    def on_credit(self, size):
        self._link.send('credit', ttypes.Credit(self._stream, size))

    def _end(self):
        self._is_ended = True
        self._streams.forget(self._stream)


def to_signed64(value) -> int:
    """Return a 64-bit hash as the signed integer that thrift carries."""
    return value - (1 << 64) if value >= 1 << 63 else value


def to_unsigned64(value) -> int:
    """Return the 64-bit hash of a signed integer."""
    return value % (1 << 64)


def decode_refusal(message) -> outcomes.Refusal:
    """Return the refusal in a ``Refused`` message.

    Values that this version does not know are treated as an unknown outcome.
    """
    try:
        outcome = outcomes.Outcome(message.outcome)
        reason = outcomes.Reason(message.reason)
    except ValueError:
        outcome = outcomes.Outcome.UNKNOWN
        reason = outcomes.Reason.SERVER_LOST
    retry_after_s = None
    if message.retry_after_ms >= 0:
        retry_after_s = message.retry_after_ms / 1000
    return outcomes.Refusal(outcome, reason, retry_after_s, message.detail)
