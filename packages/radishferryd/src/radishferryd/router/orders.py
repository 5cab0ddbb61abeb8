"""Carry orders about keys out at the servers."""

from __future__ import annotations

import collections
import logging

from radishferry.direct import granting
from radishferryd import http_client
from radishferryd.platform import orders as wire

LOG = logging.getLogger(__name__)

#: Seconds after which a grant without an answer has failed.
GRANT_TIMEOUT_S = 0.8
#: The same for a release, which answers when the work on the keys has ended.
RELEASE_TIMEOUT_S = 2.0
#: Orders in a row that failed after which a server counts as unreachable.
UNREACHABLE_FAILURES = 2
#: Orders under way at one server, each on a connection of its own.
MAX_PARALLEL = 3
#: Seconds for which a server whose connection broke gets no grant, unless
#: a newer list of servers shows that it is still the same process. Servers
#: register within about a second of their start.
DOUBT_S = 1.2


class OrderDesk:
    """Send orders to servers, a few at a time to each one."""

    def __init__(
        self, poller, scheduler, registry, may_order, on_freed, on_leaving
    ):
        """Begin without a connection.

        :param registry: Tells the present life of a server.
        :param may_order: Tells whether this host may still give an order.
        :param on_freed: Called after a release or a first grant, which let
            the next step of a move begin.
        :param on_leaving: Called with a server whose answer says that it is
            about to stop.
        """
        self.on_leaving = on_leaving
        self.on_freed = on_freed
        self._poller = poller
        self._scheduler = scheduler
        self._registry = registry
        self._may_order = may_order
        self._servers = {}
        self.counts = collections.Counter()

    def give(self, order, server, granter):
        """Carry an order out and report the result to its granter.

        :param server: The server, as it was last known.
        :param granter: A :class:`~radishferry.direct.granting.KeyGranter`.
        """
        found = self._servers.get(server.life)
        if found is None:
            found = self._servers[server.life] = _ServerOrders(self, server)
        found.add(order, granter)

    def is_unreachable(self, life) -> bool:
        """Tell whether the last orders to a server have failed."""
        found = self._servers.get(life)
        return found is not None and found.failures >= UNREACHABLE_FAILURES

    def drop(self, life):
        """Forget a server that is over."""
        found = self._servers.pop(life, None)
        if found is not None:
            found.close()

    def close(self):
        """Forget all orders that have not been sent."""
        for life in list(self._servers):
            self.drop(life)


class _ServerOrders:
    def __init__(self, desk, server):
        self._desk = desk
        self._server = server
        self._waiting = collections.deque()
        self._active = 0
        self._lost_at = None
        self.failures = 0
        self._client = http_client.JsonClient(
            desk._poller,
            desk._scheduler,
            server.address,
            limit=MAX_PARALLEL,
            headers=wire.addressed(server.server_id),
            on_lost=self._on_lost,
        )

    def add(self, order, granter):
        granter.note_pending(order, self._desk._scheduler.now())
        self._waiting.append((order, granter))
        self._next()

    def close(self):
        self._waiting.clear()
        self._client.close()

    def _on_lost(self):
        self._lost_at = self._desk._scheduler.now()

    def _is_doubtful(self):
        """Tell whether another process may answer at the address by now."""
        if self._lost_at is None:
            return False
        read_at = self._desk._registry.read_at or 0.0
        if read_at < self._lost_at + DOUBT_S:
            return True
        current = self._desk._registry.get(self._server.server_id)
        if current is not None and current.life == self._server.life:
            self._lost_at = None
            return False
        return True

    def _next(self):
        desk = self._desk
        while self._waiting and self._active < MAX_PARALLEL:
            order, granter = self._waiting.popleft()
            now = desk._scheduler.now()
            is_grant = isinstance(order, granting.Grant)
            may_send = (
                desk._may_order(order)
                and granter.is_current(order, now)
                and not (is_grant and self._is_doubtful())
            )
            if not may_send:
                self._failed(order, granter, False)
                continue
            self._active += 1
            granter.note_sent(order, now)
            desk.counts['grant' if is_grant else 'release'] += 1
            self._send(order, granter, now, is_grant)

    def _send(self, order, granter, sent_at, is_grant):
        def done(result):
            self._active -= 1
            self._finish(order, granter, sent_at, result)
            # The connection is free only after this answer has been taken.
            self._desk._scheduler.call_later(0.0, self._next)

        if is_grant:
            wire.grant(
                self._client,
                order.segment,
                order.hold_s,
                order.handover,
                GRANT_TIMEOUT_S,
                done,
            )
        else:
            wire.release(self._client, order.segment, RELEASE_TIMEOUT_S, done)

    def _finish(self, order, granter, sent_at, result):
        now = self._desk._scheduler.now()
        status = result.status
        if result.is_leaving:
            self._desk.on_leaving(self._server)
        if status is wire.OrderStatus.DONE:
            self.failures = 0
            if isinstance(order, granting.Grant):
                is_first = granter.note_granted(order, sent_at, now)
                if is_first:
                    self._desk.on_freed()
                    LOG.info(
                        'orders: %s holds keys %d to %d.',
                        order.segment.owner[0],
                        order.segment.start,
                        order.segment.end,
                        extra={
                            'fence': order.segment.fence,
                            'with_state': bool(order.handover),
                            'hold_s': order.hold_s,
                            'routine': True,
                        },
                    )
            else:
                granter.note_released(order, result.handover)
                self._desk.on_freed()
                LOG.info(
                    'orders: %s released keys %d to %d.',
                    order.life[0],
                    order.segment.start,
                    order.segment.end,
                    extra={
                        'fence': order.segment.fence,
                        'with_state': bool(result.handover),
                        'took_s': round(now - sent_at, 3),
                    },
                )
            return
        if status is wire.OrderStatus.ANOTHER_SERVER:
            LOG.warning(
                'orders: Another server answers at the address of %s.',
                self._server.server_id,
                extra={'answering': result.detail},
            )
            granter.note_ended(self._server.life)
        if status is not wire.OrderStatus.STALE:
            self.failures += 1
        LOG.warning(
            'orders: %s did not take %s of keys %d to %d.',
            self._server.server_id,
            'a grant' if isinstance(order, granting.Grant) else 'the release',
            order.segment.start,
            order.segment.end,
            extra={
                'fence': order.segment.fence,
                'status': status.value,
                'detail': result.detail,
            },
        )
        self._failed(
            order,
            granter,
            status is wire.OrderStatus.UNKNOWN,
            status is wire.OrderStatus.STALE,
        )

    def _failed(self, order, granter, was_sent, is_stale=False):
        now = self._desk._scheduler.now()
        if isinstance(order, granting.Grant):
            granter.note_grant_failed(
                order, now, was_sent=was_sent, is_stale=is_stale
            )
        else:
            granter.note_release_failed(order, now, was_sent=was_sent)
