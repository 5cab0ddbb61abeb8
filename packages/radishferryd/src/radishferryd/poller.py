"""Poll sockets for the circuits event loop."""

from __future__ import annotations

import dataclasses
import errno
import logging
import select
import typing

from circuits.core import pollers
from circuits.core.handlers import handler

LOG = logging.getLogger(__name__)

_HANGUP = select.EPOLLHUP | select.EPOLLERR


@dataclasses.dataclass
class _Target:
    """Represent a socket that a circuits component polls."""

    sock: typing.Any
    fd: int
    channel: typing.Any
    reading: bool = False
    writing: bool = False

    @property
    def mask(self):
        return (select.EPOLLIN if self.reading else 0) | (
            select.EPOLLOUT if self.writing else 0
        )


class SocketPoller(pollers.BasePoller):
    """Call the registered callback of each ready socket.

    ``circuits.core.pollers.EPoll`` keeps its sockets in lists, registers a
    socket again for every change of interest and fires one event for each
    ready socket. With hundreds of connections this costs more than the
    requests themselves, so this poller keeps a dictionary and calls the
    callbacks directly.

    Components of ``circuits.net`` use the same poller through the interface
    of ``EPoll`` (``addReader`` to ``getTarget``) and receive its events.
    """

    channel = 'poller'

    def __init__(self):
        super().__init__(channel=self.channel)
        self._epoll = select.epoll()
        self._callbacks = {}
        # Sockets whose peers' ends are reported although they are not read.
        self._watched = set()
        self._calls_before_wait = []
        self._calls_after_remove = []
        # Keyed by socket object, as components pass it: a closed socket has no
        # file descriptor any more.
        self._components = {}
        self._epoll.register(self._ctrl_recv, select.EPOLLIN)

    def add(self, fd, callback, *, reports_end=False):
        """Register a socket for reading.

        :param int fd: File descriptor.
        :param callback: Called with the epoll event mask of the socket.
        :param bool reports_end: Whether to report ``EPOLLRDHUP`` as well, when
            the peer has closed its direction.
        """
        self._callbacks[fd] = callback
        mask = select.EPOLLIN
        if reports_end:
            self._watched.add(fd)
            mask |= select.EPOLLRDHUP
        self._epoll.register(fd, mask)

    def modify(self, fd, *, read, write):
        """Change the events for which a registered socket is polled.

        :param int fd: File descriptor.
        :param bool read: Whether to poll for input.
        :param bool write: Whether to poll for writability.
        """
        mask = (select.EPOLLIN if read else 0) | (
            select.EPOLLOUT if write else 0
        )
        if fd in self._watched:
            mask |= select.EPOLLRDHUP
        self._epoll.modify(fd, mask)

    def call_before_wait(self, callback):
        """Call a function once before the next wait for sockets."""
        self._calls_before_wait.append(callback)

    def call_after_remove(self, callback):
        """Call a function once, when another socket is not polled any more.

        Sockets are removed when they are closed, so that their descriptors
        can be used again.
        """
        self._calls_after_remove.append(callback)

    def remove(self, fd):
        """Stop polling a socket.

        :param int fd: File descriptor.
        """
        removed = self._callbacks.pop(fd, None)
        self._watched.discard(fd)
        if removed is not None and not self._epoll.closed:
            self._epoll.unregister(fd)
        self._calls_before_wait.extend(self._calls_after_remove)
        self._calls_after_remove.clear()

    def addReader(self, source, fd):  # noqa: N802
        """Poll the socket of a component for input.

        :param source: The component, whose channel receives the events.
        :param fd: Socket or file descriptor.
        """
        self._change(fd, source, reading=True)

    def addWriter(self, source, fd):  # noqa: N802
        """Poll the socket of a component for writability."""
        self._change(fd, source, writing=True)

    def removeReader(self, fd):  # noqa: N802
        """Stop polling the socket of a component for input."""
        self._change(fd, reading=False)

    def removeWriter(self, fd):  # noqa: N802
        """Stop polling the socket of a component for writability."""
        self._change(fd, writing=False)

    def isReading(self, fd):  # noqa: N802
        """Return whether a component socket is polled for input."""
        target = self._components.get(fd)
        return target is not None and target.reading

    def isWriting(self, fd):  # noqa: N802
        """Return whether a component socket is polled for writability."""
        target = self._components.get(fd)
        return target is not None and target.writing

    def discard(self, fd):
        """Stop polling the socket of a component."""
        target = self._components.pop(fd, None)
        if target is not None:
            self.remove(target.fd)

    def getTarget(self, fd):  # noqa: N802
        """Return the channel that receives the events of a socket."""
        target = self._components.get(fd)
        return self.parent if target is None else target.channel

    def _change(self, sock, source=None, **interests):
        target = self._components.get(sock)
        if target is None:
            if source is None or self._epoll.closed:
                return
            fd = sock if isinstance(sock, int) else sock.fileno()
            if fd < 0:
                # A component may still write to a socket that it has closed.
                return
            target = _Target(sock, fd, getattr(source, 'channel', '*'))
            self._components[sock] = target
            self.add(fd, lambda mask: self._fire_ready(target, mask))
        for name, value in interests.items():
            setattr(target, name, value)
        if not target.mask:
            self.discard(sock)
        elif not self._epoll.closed:
            self._epoll.modify(target.fd, target.mask)

    def _fire_ready(self, target, mask):
        if mask & _HANGUP and not mask & select.EPOLLIN:
            self.discard(target.sock)
            self.fire(pollers._disconnect(target.sock), target.channel)
            return
        if mask & select.EPOLLIN and target.reading:
            self.fire(pollers._read(target.sock), target.channel)
        if mask & select.EPOLLOUT and target.writing:
            self.fire(pollers._write(target.sock), target.channel)

    @handler('stopped', channel='*')
    def _on_stopped(self, *args):
        self._epoll.close()

    def _generate_events(self, event):
        self._run_calls_before_wait()
        timeout = event.time_left
        try:
            ready = self._epoll.poll(timeout if timeout >= 0 else None)
        except OSError as exc:
            if exc.errno == errno.EINTR:
                return
            raise
        for fd, mask in ready:
            if fd == self._ctrl_recv:
                self._read_ctrl()
                continue
            # An earlier callback of this iteration may have closed the socket.
            callback = self._callbacks.get(fd)
            if callback is not None:
                callback(mask)
        self._run_calls_before_wait()

    def _run_calls_before_wait(self):
        while self._calls_before_wait:
            callbacks, self._calls_before_wait = self._calls_before_wait, []
            for callback in callbacks:
                try:
                    callback()
                except Exception:
                    # Without the remaining calls, other connections would
                    # never be flushed.
                    LOG.exception('poller: A call before the wait failed.')
