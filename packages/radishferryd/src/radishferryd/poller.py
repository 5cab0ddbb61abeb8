"""Poll sockets for a circuits loop."""

from __future__ import annotations

import errno
import select

from circuits.core.handlers import handler
from circuits.core.pollers import BasePoller


class SocketPoller(BasePoller):
    """Call the registered callback of each ready socket.

    ``circuits.core.pollers.EPoll`` keeps its sockets in lists, registers a
    socket anew for every change of interest and fires one event for each
    ready socket.  With hundreds of connections these costs exceed those of
    the requests themselves, so this poller keeps a dictionary and calls the
    owner directly.
    """

    channel = 'poller'

    def __init__(self):
        super().__init__(channel=self.channel)
        self._epoll = select.epoll()
        self._callbacks = {}
        self._epoll.register(self._ctrl_recv, select.EPOLLIN)

    def add(self, fd, callback):
        """Register a socket for reading.

        :param int fd: File descriptor.
        :param callback: Called with the epoll event mask of the socket.
        """
        self._callbacks[fd] = callback
        self._epoll.register(fd, select.EPOLLIN)

    def modify(self, fd, *, read, write):
        """Change what a registered socket is polled for.

        :param int fd: File descriptor.
        :param bool read: Whether to poll for input.
        :param bool write: Whether to poll for room to write.
        """
        mask = (select.EPOLLIN if read else 0) | (
            select.EPOLLOUT if write else 0
        )
        self._epoll.modify(fd, mask)

    def remove(self, fd):
        """Stop polling a socket.

        :param int fd: File descriptor.
        """
        if self._callbacks.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    @handler('stopped', channel='*')
    def _on_stopped(self, *args):
        self._epoll.close()

    def _generate_events(self, event):
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
            # A callback run earlier in this round may have closed the socket.
            callback = self._callbacks.get(fd)
            if callback is not None:
                callback(mask)
