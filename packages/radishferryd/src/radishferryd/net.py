"""Open, accept, read and write TCP connections on the poller."""

from __future__ import annotations

import collections
import errno
import logging
import select
import socket
import typing

if typing.TYPE_CHECKING:
    from radishferryd import poller as poller_module

LOG = logging.getLogger(__name__)

#: Bytes read from a socket at a time.
READ_BYTES = 65536
#: Queued bytes at which a connection is flushed without waiting for the
#: poller, and the maximum size of joined writes.
FLUSH_BYTES = 65536
#: Seconds for which a lingering connection waits for its peer to close: enough
#: for some round trips and the rest of a body on a slow link.
LINGER_S = 2.0
#: Bytes queued for writing above which the producer is paused.
HIGH_WATER_BYTES = 262144
#: Bytes queued for writing below which the producer is resumed.
LOW_WATER_BYTES = 65536
#: Maximum number of connections waiting to be accepted.
BACKLOG = 1024

_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class Handler(typing.Protocol):
    """Receive the events of one connection."""

    def connected(self, connection: Connection) -> None:
        """Handle an established connection."""

    def received(self, data: bytes) -> None:
        """Handle received bytes."""

    def pause_producing(self) -> None:
        """Stop writing because the peer reads too slowly."""

    def resume_producing(self) -> None:
        """Continue writing."""

    def closed(self, error: OSError | None) -> None:
        """Handle the end of the connection.

        :param error: Error that broke the connection, None when either side
            closed it.
        """


class Connection:
    """Read from and write to a non-blocking TCP connection."""

    def __init__(self, poller: poller_module.SocketPoller, sock, handler):
        self._poller = poller
        self._sock = sock
        self._fd = sock.fileno()
        self._handler = handler
        self._queue = collections.deque()
        self._queued_bytes = 0
        self._is_connecting = False
        self._is_reading = True
        self._is_writing = False
        self._is_flush_scheduled = False
        self._is_producer_paused = False
        self._is_closing = False
        self._is_lingering = False
        self._is_open = True

    @property
    def is_open(self) -> bool:
        """Return whether the connection has not been closed."""
        return self._is_open

    @property
    def is_connecting(self) -> bool:
        """Return whether the connect is still in progress."""
        return self._is_connecting

    @property
    def queued_bytes(self) -> int:
        """Return the number of bytes queued for writing."""
        return self._queued_bytes

    @property
    def peer_address(self) -> str:
        """Return the address of the peer as ``ip:port``."""
        try:
            return '{}:{}'.format(*self._sock.getpeername()[:2])
        except OSError:
            return 'unknown'

    def start(self, *, connecting=False, reports_end=False):
        """Start polling the socket.

        :param bool connecting: Whether the connect is still in progress.
        :param bool reports_end: Whether the connection ends as soon as the
            peer has closed while reading is paused.
        """
        self._is_connecting = connecting
        self._is_writing = connecting
        self._poller.add(self._fd, self._on_ready, reports_end=reports_end)
        if connecting:
            self._poller.modify(self._fd, read=False, write=True)
        else:
            self._handler.connected(self)

    def fail_soon(self, error):
        """Close a connection that cannot be opened, from the event loop.

        :param OSError error: Passed to the handler.
        """
        self._poller.call_before_wait(lambda: self._close(error))

    def write(self, data: bytes):
        """Queue bytes, which are sent before the poller waits again.

        Parts written in succession, such as the head and the body of a
        response, are thereby sent in one system call.

        :param data: Bytes to send; dropped when the connection is closed.
        """
        if (
            not self._is_open
            or self._is_closing
            or self._is_lingering
            or not data
        ):
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        # A connection that polls for writability is flushed by the poller.
        if not self._is_writing:
            if self._queued_bytes >= FLUSH_BYTES:
                self._flush()
            elif not self._is_flush_scheduled:
                self._is_flush_scheduled = True
                self._poller.call_before_wait(self._run_scheduled_flush)
        if (
            self._queued_bytes > HIGH_WATER_BYTES
            and not self._is_producer_paused
        ):
            self._is_producer_paused = True
            self._handler.pause_producing()

    def pause_reading(self):
        """Stop reading, which slows the peer down."""
        self._set_interest(reading=False)

    def resume_reading(self):
        """Continue reading."""
        self._set_interest(reading=True)

    def close(self):
        """Close after the queued bytes have been sent."""
        if not self._queue:
            self._close(None)
        self._is_closing = True

    def linger_close(self, call_later):
        """Send the queued bytes, then close once the peer has closed.

        Closing a socket with unread bytes resets the connection, and a peer
        that is still sending may lose the response. Received bytes are
        therefore read and dropped until the peer closes, for at most
        :data:`LINGER_S` seconds.

        :param call_later: Schedules the close if the peer keeps sending.
        """
        if not self._is_open or self._is_lingering:
            return
        self._is_lingering = True
        call_later(LINGER_S, lambda: self._close(None))
        self.resume_reading()
        if not self._queue:
            self._shut_down()

    def _shut_down(self):
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            self._close(exc)

    def abort(self):
        """Close immediately with a reset, dropping the queued bytes."""
        self._reset(None)

    def _reset(self, error):
        if self._is_open:
            linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._close(error)

    def _set_interest(self, *, reading=None, writing=None):
        if not self._is_open:
            return
        reading = self._is_reading if reading is None else reading
        writing = self._is_writing if writing is None else writing
        if (reading, writing) == (self._is_reading, self._is_writing):
            return
        self._is_reading, self._is_writing = reading, writing
        if not self._is_connecting:
            self._poller.modify(self._fd, read=reading, write=writing)

    def _on_ready(self, mask):
        try:
            self._handle(mask)
        except Exception as exc:
            # The state of this connection is not known; others are unaffected.
            LOG.exception('net: Closed a connection after an error.')
            self._reset(exc)

    def _handle(self, mask):
        if self._is_connecting:
            self._finish_connect()
            return
        if mask & select.EPOLLOUT:
            self._flush()
        if self._is_open and mask & select.EPOLLIN and self._is_reading:
            self._read()
        elif self._is_open and mask & (select.EPOLLHUP | select.EPOLLERR):
            self._read()
        elif self._is_open and mask & select.EPOLLRDHUP:
            # The peer has closed while reading was paused. What it had sent
            # before is not read, so that nothing of it is begun any more.
            self._close(None)

    def _finish_connect(self):
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._close(OSError(error, errno.errorcode.get(error, 'unknown')))
            return
        self._is_connecting = False
        self._is_writing = bool(self._queue)
        self._poller.modify(
            self._fd, read=self._is_reading, write=self._is_writing
        )
        self._handler.connected(self)

    def _read(self):
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._close(exc)
            return
        if not data:
            self._close(None)
        elif not self._is_lingering:
            self._handler.received(data)

    def _send(self, data):
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            self._close(exc)
            return 0

    def _run_scheduled_flush(self):
        self._is_flush_scheduled = False
        if self._is_open and not self._is_writing:
            self._flush()

    def _pop_batch(self):
        queue = self._queue
        data = queue.popleft()
        if not queue or len(data) >= FLUSH_BYTES:
            return data
        parts = [data]
        size = len(data)
        while queue and size + len(queue[0]) <= FLUSH_BYTES:
            parts.append(queue.popleft())
            size += len(parts[-1])
        return b''.join(parts)

    def _flush(self):
        while self._queue:
            data = self._pop_batch()
            sent = self._send(data)
            if not self._is_open:
                return
            self._queued_bytes -= sent
            if sent < len(data):
                self._queue.appendleft(memoryview(data)[sent:])
                break
        if self._is_producer_paused and self._queued_bytes < LOW_WATER_BYTES:
            self._is_producer_paused = False
            self._handler.resume_producing()
        if not self._is_open:
            return
        if self._queue:
            self._set_interest(writing=True)
        elif self._is_closing:
            self._close(None)
        else:
            self._set_interest(writing=False)
            if self._is_lingering:
                self._shut_down()

    def _close(self, error):
        if not self._is_open:
            return
        self._is_open = False
        self._poller.remove(self._fd)
        self._sock.close()
        self._queue.clear()
        self._queued_bytes = 0
        self._handler.closed(error)


class Listener:
    """Accept TCP connections."""

    def __init__(
        self,
        poller,
        address,
        handler_factory,
        reports_end=False,
        receive_bytes=None,
    ):
        """Bind and listen.

        :param poller: The poller of the loop.
        :param address: Pair of IP and port.
        :param handler_factory: Called without arguments for the
            :class:`Handler` of each accepted connection.
        :param reports_end: See :meth:`Connection.start`.
        :param receive_bytes: Receive buffer that is asked for each
            connection, None for one that the system adapts. It would hold up
            to 6 MB of a connection that is not read.
        :raises OSError: The address cannot be bound.
        """
        self._poller = poller
        self._handler_factory = handler_factory
        self._reports_end = reports_end
        self._sock = socket.create_server(address, backlog=BACKLOG)
        self._sock.setblocking(False)
        if receive_bytes is not None:
            # Accepted sockets inherit it.
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        poller.add(self._sock.fileno(), self._on_ready)

    @property
    def address(self) -> tuple[str, int]:
        """Return the bound IP and port."""
        return self._sock.getsockname()[:2]

    def close(self):
        """Accept the established connections, then stop listening.

        When a listening socket closes, the system resets the connections in
        its backlog, and requests that were sent on them are lost.
        """
        if self._sock.fileno() >= 0:
            self._on_ready(select.EPOLLIN)
            self._poller.remove(self._sock.fileno())
            self._sock.close()

    def _on_ready(self, mask):
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                LOG.warning('net: Cannot accept a connection: %s.', exc)
                if is_out_of_descriptors(exc):
                    self._pause()
                return
            _set_options(sock)
            connection = Connection(
                self._poller, sock, self._handler_factory()
            )
            connection.start(reports_end=self._reports_end)

    def _pause(self):
        """Accept no connection until another one has been closed.

        Until then each wait for sockets would return at once, and take the
        processor from the connections that are open.
        """
        self._poller.modify(self._sock.fileno(), read=False, write=False)
        self._poller.call_after_remove(self._resume)

    def _resume(self):
        if self._sock.fileno() >= 0:
            self._poller.modify(self._sock.fileno(), read=True, write=False)


class _NoSocket:
    """Stand for a socket that the system could not provide."""

    def fileno(self):
        return -1

    def getpeername(self):
        raise OSError(errno.EBADF, 'no socket')

    def close(self):
        """Do nothing."""


def is_out_of_descriptors(error) -> bool:
    """Return whether a connection failed for want of a descriptor."""
    return getattr(error, 'errno', None) in (errno.EMFILE, errno.ENFILE)


def connect(poller, address, handler, unacked_limit_s=None) -> Connection:
    """Open a connection without waiting for it.

    :param poller: The poller of the loop.
    :param address: Pair of IP and port.
    :param handler: Its method ``connected`` or ``closed`` reports the result.
    :param unacked_limit_s: Seconds after which the connection fails when the
        peer acknowledges none of the sent bytes; None for the system's
        limit.
    :returns: The connection; bytes written before it is open are queued.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as exc:
        # Raised here, it would end the connection of the caller whose request
        # opens this one, and all requests on that connection.
        LOG.warning('net: Cannot open a socket: %s.', exc)
        connection = Connection(poller, _NoSocket(), handler)
        connection.fail_soon(exc)
        return connection
    _set_options(sock)
    if unacked_limit_s is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(unacked_limit_s * 1000),
        )
    connection = Connection(poller, sock, handler)
    try:
        error = _connect(sock, address)
    except (OSError, OverflowError, TypeError, ValueError) as exc:
        LOG.warning('net: Cannot connect to %.80r: %s.', address, exc)
        connection.fail_soon(
            exc
            if isinstance(exc, OSError)
            else OSError(errno.EINVAL, f'not a usable address: {exc}')
        )
        return connection
    # Any error other than "in progress" is reported again by SO_ERROR or the
    # first write, so the handler is always called from the event loop.
    connection.start(connecting=True)
    if error and error not in _IN_PROGRESS:
        LOG.debug('net: Connecting to %s:%d failed immediately.', *address)
    return connection


def _connect(sock, address):
    """Begin to connect and return the error number.

    :raises ValueError: The IP is not numeric. Looking up a name would block
        the loop.
    :raises OverflowError: The port is out of range.
    """
    ip, port = address
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except OSError as exc:
        raise ValueError(f'{ip!r:.80} is not a numeric IPv4 address') from exc
    return sock.connect_ex((ip, port))


def _set_options(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
