"""Parse and format HTTP/1.1 messages."""

from __future__ import annotations

import dataclasses
import http
import re

import httptools

#: Maximum size of the first line and the headers of a message, in bytes.
MAX_HEAD_BYTES = 16384

#: Headers that are not forwarded: hop-by-hop headers and ``Expect``, which
#: this process handles itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)


_STATUS_LINE = re.compile(r'HTTP/1\.[01] [1-5]\d\d( |$)')

#: Versions of responses. The parser also takes 0.9 and 2.0, whose messages
#: have another form.
_VERSIONS = frozenset(('1.0', '1.1'))
#: First and last status code of the grammar of HTTP. The parser takes any
#: three digits.
_MIN_STATUS, _MAX_STATUS = 100, 599
#: First status code of a final response; those below are interim.
_MIN_FINAL_STATUS = 200


class HeadTooLargeError(Exception):
    """Report a head, trailer or chunk extension that exceeds the limit."""


class BadMessageError(Exception):
    """Report bytes that are not a valid HTTP message."""


@dataclasses.dataclass(frozen=True)
class Head:
    """Represent the first line and the headers of a message.

    :ivar method: Request method, empty for a response.
    :ivar target: Request target, empty for a response.
    :ivar status: Status code, 0 for a request.
    :ivar headers: Pairs of lower-case name and value.
    :ivar keep_alive: Whether the connection stays open after the message.
    :ivar reason: Reason phrase of a response.
    """

    method: str
    target: str
    status: int
    headers: tuple[tuple[str, str], ...]
    keep_alive: bool
    reason: str = ''

    def header(self, name, default=''):
        """Return the first value of a header.

        :param name: Lower-case name.
        :param default: Returned when the header is missing.
        """
        return next((v for n, v in self.headers if n == name), default)

    def contains_status_line(self) -> bool:
        """Return whether a status line continues the reason or a header.

        When a response is cut short in its head and another response follows
        it, the parser returns one head with the fields of both.
        """
        texts = (self.reason, *(value for _, value in self.headers))
        return any(_STATUS_LINE.search(text) for text in texts)


class MessageParser:
    """Parse bytes into heads, body chunks and ends of messages.

    The handler provides ``on_head(head)``, ``on_body(data)`` and
    ``on_end()``. Interim responses (status 1xx) are skipped.

    A peer may send heads, interim responses, trailers or chunk extensions
    without end. All of these are bytes that neither complete a head nor
    belong to a body, so one counter limits all of them.
    """

    def __init__(self, handler, *, is_request, max_head_bytes=MAX_HEAD_BYTES):
        self._handler = handler
        self._max_head_bytes = max_head_bytes
        self._is_request = is_request
        self._headers = []
        self._target = b''
        self._reason = b''
        self._head_bytes = 0
        #: Bytes since the last head, body part or end of a message.
        self._overhead_bytes = 0
        self._is_in_head = True
        self._is_in_message = False
        self._is_interim = False
        parser_class = (
            httptools.HttpRequestParser
            if is_request
            else httptools.HttpResponseParser
        )
        self._parser = parser_class(self)

    @property
    def is_between_messages(self) -> bool:
        """Return whether no message is partly received."""
        return not self._is_in_message

    @property
    def head_bytes(self) -> int:
        """Return the bytes received of the current or last head."""
        return self._head_bytes

    @property
    def header_count(self) -> int:
        """Return the headers held of an incomplete head."""
        return len(self._headers)

    def feed(self, data: bytes):
        """Parse bytes and call the handler.

        :raises HeadTooLargeError: Bytes outside of bodies exceed the limit.
        :raises BadMessageError: The bytes are not valid HTTP.
        """
        self._overhead_bytes += len(data)
        if not (self._is_request or self._is_in_message):
            _check_protocol(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadMessageError('protocol upgrade') from exc
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            if isinstance(cause, (HeadTooLargeError, BadMessageError)):
                raise cause from exc
            raise
        except httptools.HttpParserError as exc:
            raise BadMessageError(str(exc)) from exc
        if self._overhead_bytes > self._max_head_bytes:
            raise HeadTooLargeError()

    def on_message_begin(self):
        """Reset the state of the previous message."""
        self._headers = []
        self._target = b''
        self._reason = b''
        self._head_bytes = 0
        self._is_in_head = True
        self._is_in_message = True

    def on_url(self, url):
        """Collect the request target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_status(self, reason):
        """Collect the reason phrase."""
        self._reason += reason
        self._count_head_bytes(len(reason))

    def on_header(self, name, value):
        """Collect a header; trailers are dropped."""
        if not self._is_in_head:
            return
        self._count_head_bytes(len(name) + len(value) + 4)
        self._headers.append(
            (
                name.decode('latin-1').lower(),
                value.decode('latin-1'),
            )
        )

    def _count_head_bytes(self, size):
        """Fail as soon as a head exceeds its limit.

        The headers of one received packet can be several thousand, which
        take many times its size in memory.
        """
        self._head_bytes += size
        if self._head_bytes > self._max_head_bytes:
            raise HeadTooLargeError()

    def on_headers_complete(self):
        """Pass the head to the handler."""
        self._is_in_head = False
        parser = self._parser
        if self._is_request and parser.should_upgrade():
            # The parser would report the end of the message without its body.
            raise BadMessageError('protocol upgrade')
        if not self._is_request:
            status = parser.get_status_code()
            _check_status_line(status, parser.get_http_version())
            self._is_interim = status < _MIN_FINAL_STATUS
        if self._is_interim:
            return
        self._overhead_bytes = 0
        found, self._headers = tuple(self._headers), []
        self._handler.on_head(
            Head(
                parser.get_method().decode() if self._is_request else '',
                self._target.decode('latin-1'),
                0 if self._is_request else parser.get_status_code(),
                found,
                parser.should_keep_alive(),
                self._reason.decode('latin-1'),
            )
        )

    def on_body(self, data):
        """Pass a part of the body to the handler."""
        if self._is_interim:
            raise BadMessageError('an interim response with a body')
        self._overhead_bytes = 0
        self._handler.on_body(data)

    def on_message_complete(self):
        """Report the end of the message to the handler."""
        self._is_in_head = True
        self._is_in_message = False
        if self._is_interim:
            return
        self._overhead_bytes = 0
        self._handler.on_end()


def _check_protocol(data):
    """Fail if the first bytes of a response belong to another protocol.

    The parser also takes status lines of RTSP.
    """
    if data.lstrip(b'\r\n')[:1] not in (b'H', b''):
        raise BadMessageError('no status line of HTTP')


def _check_status_line(status, version):
    """Fail if a status line does not match the grammar of HTTP.

    :param int status: Status code.
    :param str version: Version without the name of the protocol.
    """
    if version not in _VERSIONS:
        raise BadMessageError(f'HTTP version {version}')
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise BadMessageError(f'status {status:03d}')
    if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
        # No request of this process asks for an upgrade.
        raise BadMessageError('protocol upgrade')


def format_request(method, target, headers) -> bytes:
    """Return the bytes of a request head."""
    return _format(f'{method} {target} HTTP/1.1', headers)


def format_response(status, headers) -> bytes:
    """Return the bytes of a response head."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return _format(f'HTTP/1.1 {status} {phrase}', headers)


def format_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


#: End of a chunked body.
LAST_CHUNK = b'0\r\n\r\n'


def _format(first_line, headers):
    lines = [first_line]
    lines.extend(f'{name}: {value}' for name, value in headers)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1', 'replace')
