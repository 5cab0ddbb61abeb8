"""Hold the body of a request once, from its first byte to its last use."""

from __future__ import annotations

import mmap

from radishferryd.router import memory_account

#: Bytes of a block of a large body. A block is mapped by itself, so that its
#: memory returns to the system as soon as nothing refers to it.
BLOCK_BYTES = 262144
#: Bytes that a body of unknown length takes at a time.
STEP_BYTES = 1048576


class ReleasedError(RuntimeError):
    """A body was to be used after its last user had released it."""


class Body:
    """Collect the parts of a body, and give them to those that send it.

    Each user of the body calls :meth:`hold`, except the one that created it,
    and :meth:`release`. Blocks that wait to be written stay in memory until
    then, also after the last user has released the body. Nobody else can use
    it from then on: it would be sent as an empty one, or with a length that
    nothing follows.
    """

    def __init__(self, lease=None):
        """Create an empty body.

        :param lease: A :class:`~radishferryd.router.memory_account.Lease`
            that pays for the bytes; None for a body that stays empty.
        """
        self._lease = lease
        self._start = bytearray()
        self._blocks = []
        self._room = 0
        self._users = 1
        self._size = 0
        self._is_released = False

    @property
    def size(self) -> int:
        """Return the number of bytes received.

        :raises ReleasedError: The last user has released the body.
        """
        self._check()
        return self._size

    @property
    def lease(self):
        """Return the lease that pays for the bytes."""
        return self._lease

    @property
    def is_small(self) -> bool:
        """Return whether the body may be copied."""
        return not self._blocks

    def append(self, data):
        """Add received bytes, however few they are at a time."""
        self._size += len(data)
        if not self._blocks:
            if self._size <= memory_account.SMALL_BYTES:
                self._start += data
                return
            data = self._start + data
            self._start = bytearray()
        self._fill(memoryview(data))

    def _fill(self, data):
        while data:
            if not self._room:
                self._blocks.append(
                    mmap.mmap(
                        -1,
                        BLOCK_BYTES,
                        flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS,
                    )
                )
                self._room = BLOCK_BYTES
            part = data[: self._room]
            start = BLOCK_BYTES - self._room
            self._blocks[-1][start : start + len(part)] = part
            self._room -= len(part)
            data = data[len(part) :]

    def parts(self):
        """Return the bytes in parts that refer to the body.

        :raises ReleasedError: The last user has released the body.
        """
        self._check()
        if not self._blocks:
            return [bytes(self._start)] if self._start else []
        found = [memoryview(block) for block in self._blocks]
        found[-1] = found[-1][: BLOCK_BYTES - self._room]
        return found

    def hold(self):
        """Return the body for another user.

        :raises ReleasedError: The last user has released the body.
        """
        self._check()
        self._users += 1
        return self

    def release(self):
        """End the use of the body; the last user frees it."""
        self._users -= 1
        if self._users or self._lease is None:
            return
        self._is_released = True
        self._start, self._blocks = bytearray(), []
        self._lease.release()

    def _check(self):
        if self._is_released:
            raise ReleasedError('the last user has released the body')


#: Body of requests without one.
EMPTY = Body()
