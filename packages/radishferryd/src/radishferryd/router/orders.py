"""Send grants and releases of keys to the servers."""

from __future__ import annotations

import collections
import logging
import math

from radishferry.direct import granting
from radishferryd import http_client
from radishferryd.platform import orders as wire
from radishferryd.router import link_monitor

LOG = logging.getLogger(__name__)

#: Timeout of a grant in seconds.
GRANT_TIMEOUT_S = 0.8
#: Timeout of a release in seconds; a server answers it only when its work on
#: the keys has ended.
RELEASE_TIMEOUT_S = 2.0
#: Consecutive failed orders after which a server counts as unreachable.
UNREACHABLE_FAILURES = 2
#: Seconds between attempts to connect to an unreachable server for which no
#: order is queued. One without keys gets no orders that could succeed.
PROBE_INTERVAL_S = 1.0
#: Seconds for which a server gets no keys after another one has answered at
#: its address. Its entry is out of date, or was left by another writer, and
#: each range that it is given has no owner until the next plan.
REPLACED_S = 10.0
#: Maximum orders in flight to one server, each on its own connection.
MAX_PARALLEL = 3
#: Largest body of an answer to an order, in bytes. Headers carry all that it
#: tells; a faulty server may send endless data, on each of its connections.
MAX_ANSWER_BYTES = 65536
#: A server whose connection broke gets no grant until a list of servers that
#: was read at least this many seconds later shows that the same process still
#: runs. A restarted server registers within about a second of its start.
REREGISTRATION_S = 1.2


class OrderSender:
    """Send orders to servers, with a limit of orders in flight to each."""

    def __init__(
        self,
        poller,
        scheduler,
        registry,
        may_order,
        on_step_possible,
        on_leaving,
        links,
    ):
        """Create a sender without connections.

        :param registry: Registry with the current incarnation of each server.
        :param may_order: Returns whether this host may still send an order.
        :param on_step_possible: Called after a release or the first grant of
            a range, when the next step of a move can follow.
        :param on_leaving: Called with a server whose answer says that it is
            about to stop.
        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor` of this
            host.
        """
        self.links = links
        self.on_leaving = on_leaving
        self.on_step_possible = on_step_possible
        self._poller = poller
        self._scheduler = scheduler
        self._registry = registry
        self._may_order = may_order
        self._servers = {}
        links.on_restored.append(self._forget_failures)
        self.counts = collections.Counter()

    def send(self, order, server, granter):
        """Queue an order; its result is reported to the granter.

        :param order: A :class:`~radishferry.direct.granting.Grant` or
            :class:`~radishferry.direct.granting.Release`.
        :param server: The server with its last known address.
        :param granter: A :class:`~radishferry.direct.granting.KeyGranter`.
        """
        found = self._servers.get(server.incarnation)
        if found is None:
            found = self._servers[server.incarnation] = _ServerOrders(
                self, server
            )
        found.add(order, granter)

    def is_unreachable(self, incarnation) -> bool:
        """Return whether the last orders to a server have failed."""
        found = self._servers.get(incarnation)
        return found is not None and found.is_unreachable

    def is_replaced(self, incarnation) -> bool:
        """Return whether another server has just answered at the address."""
        found = self._servers.get(incarnation)
        return found is not None and found.is_replaced

    def _forget_failures(self):
        """Count all servers as reachable, since the links were the cause."""
        for found in self._servers.values():
            found.failures = 0

    def drop(self, incarnation):
        """Discard the queue and the connections of a server that has ended."""
        found = self._servers.pop(incarnation, None)
        if found is not None:
            found.close()

    def close(self):
        """Discard all queued orders and close all connections."""
        for incarnation in list(self._servers):
            self.drop(incarnation)


class _ServerOrders:
    """Hold the queued orders and the connections of one server."""

    def __init__(self, sender, server):
        self._sender = sender
        self._server = server
        self._queue = collections.deque()
        self._in_flight = 0
        self._connection_lost_at = None
        self._is_withheld = False
        self._is_dropped = False
        self._probe_timer = None
        self._replaced_until = -math.inf
        self.failures = 0
        self._client = http_client.JsonClient(
            sender._poller,
            sender._scheduler,
            server.address,
            limit=MAX_PARALLEL,
            headers=wire.expected_server_headers(server.server_id),
            on_lost=self._on_lost,
            max_bytes=MAX_ANSWER_BYTES,
            id_header=wire.ORDER_ID,
        )

    def add(self, order, granter):
        granter.note_pending(order, self._sender._scheduler.now())
        self._queue.append((order, granter))
        self._send_queued()

    def close(self):
        self._is_dropped = True
        self._queue.clear()
        self._client.close()
        if self._probe_timer is not None:
            self._probe_timer.cancel()

    @property
    def is_replaced(self):
        return self._sender._scheduler.now() < self._replaced_until

    @property
    def is_unreachable(self):
        return self.failures >= UNREACHABLE_FAILURES or self.is_replaced

    def _schedule_probe(self):
        if self._probe_timer is None and not self._is_dropped:
            self._probe_timer = self._sender._scheduler.call_later(
                PROBE_INTERVAL_S, self._probe
            )

    def _probe(self):
        """Try to connect, unless orders show whether that is possible."""
        self._probe_timer = None
        if self._is_dropped or not self.is_unreachable:
            return
        if self._queue or self._in_flight:
            self._schedule_probe()
            return
        link_monitor.probe(
            self._sender._poller,
            self._sender._scheduler,
            self._server,
            self._on_probed,
        )

    def _on_probed(self, result):
        is_reached = result is link_monitor.ProbeResult.REACHED
        if self.is_replaced:
            # Accepting connections tells nothing, since another server does.
            self._schedule_probe()
        elif is_reached and self.is_unreachable:
            # The next failed order makes it unreachable again.
            self.failures = UNREACHABLE_FAILURES - 1
            self._sender.links.note_connected()
            LOG.info(
                'orders: %s accepts connections again.',
                self._server.server_id,
                extra={'born_ms': self._server.born_ms},
            )
        elif not is_reached:
            self._schedule_probe()

    def _on_lost(self):
        self._connection_lost_at = self._sender._scheduler.now()

    def _may_be_another_process(self):
        """Return whether another process may now listen on the address."""
        if self._connection_lost_at is None:
            return False
        read_at = self._sender._registry.read_at or 0.0
        if read_at < self._connection_lost_at + REREGISTRATION_S:
            return True
        current = self._sender._registry.get(self._server.server_id)
        if (
            current is not None
            and current.incarnation == self._server.incarnation
        ):
            self._connection_lost_at = None
            self._is_withheld = False
            return False
        return True

    def _send_queued(self):
        sender = self._sender
        while self._queue and self._in_flight < MAX_PARALLEL:
            order, granter = self._queue.popleft()
            now = sender._scheduler.now()
            is_grant = isinstance(order, granting.Grant)
            may_send = sender._may_order(order) and granter.is_current(
                order, now
            )
            if may_send and is_grant and self._may_be_another_process():
                may_send = False
                self._log_withheld(now)
            if not may_send:
                self._report_failure(order, granter, False)
                continue
            self._in_flight += 1
            granter.note_sent(order, now)
            sender.counts['grant' if is_grant else 'release'] += 1
            self._send(order, granter, now, is_grant)

    def _log_withheld(self, now):
        """Log once that the server gets no grants for now."""
        if self._is_withheld:
            return
        self._is_withheld = True
        current = self._sender._registry.get(self._server.server_id)
        LOG.warning(
            'orders: %s gets no grants until a newer list of servers shows '
            'that it still runs; a connection to it was lost.',
            self._server.server_id,
            extra={
                'lost_ago_s': round(now - self._connection_lost_at, 3),
                'born_ms': self._server.born_ms,
                'listed_born_ms': current.born_ms if current else None,
                'registry_age_s': round(
                    min(self._sender._registry.age(now), 1e6), 3
                ),
            },
        )

    def _send(self, order, granter, sent_at, is_grant):
        def done(result):
            self._in_flight -= 1
            self._handle_result(order, granter, sent_at, result)
            # The client reuses the connection only after this callback has
            # returned.
            self._sender._scheduler.call_later(0.0, self._send_queued)

        if is_grant:
            wire.grant(
                self._client,
                self._server.server_id,
                order.segment,
                order.hold_s,
                order.handover,
                GRANT_TIMEOUT_S,
                done,
            )
        else:
            wire.release(
                self._client,
                self._server.server_id,
                order.segment,
                RELEASE_TIMEOUT_S,
                done,
            )

    def _handle_result(self, order, granter, sent_at, result):
        now = self._sender._scheduler.now()
        status = result.status
        if status is wire.OrderStatus.NOT_SENT:
            self._sender.links.note_connect_failed(self._server)
        elif result.is_answered:
            self._sender.links.note_answered(sent_at)
        if result.is_leaving:
            self._sender.on_leaving(self._server)
        if status is wire.OrderStatus.DONE:
            self.failures = 0
            if isinstance(order, granting.Grant):
                is_first = granter.note_granted(order, sent_at, now)
                if is_first:
                    self._sender.on_step_possible()
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
                self._sender.on_step_possible()
                LOG.info(
                    'orders: %s released keys %d to %d.',
                    order.incarnation[0],
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
            self._replaced_until = now + REPLACED_S
            was_holder = granter.note_ended(self._server.incarnation)
            LOG.warning(
                'orders: Another server answers at the address of %s.',
                self._server.server_id,
                extra={
                    'answering': result.detail,
                    'born_ms': self._server.born_ms,
                    'frees_keys': was_holder,
                },
            )
        if status is not wire.OrderStatus.STALE:
            self.failures += 1
            if self.failures == UNREACHABLE_FAILURES:
                LOG.warning(
                    'orders: %s counts as unreachable.',
                    self._server.server_id,
                    extra={'born_ms': self._server.born_ms},
                )
            if self.is_unreachable:
                self._schedule_probe()
        LOG.warning(
            'orders: %s did not confirm %s of keys %d to %d.',
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
        self._report_failure(
            order,
            granter,
            status is wire.OrderStatus.UNKNOWN,
            status is wire.OrderStatus.STALE,
        )

    def _report_failure(self, order, granter, was_sent, is_stale=False):
        now = self._sender._scheduler.now()
        if isinstance(order, granting.Grant):
            granter.note_grant_failed(
                order, now, was_sent=was_sent, is_stale=is_stale
            )
        else:
            granter.note_release_failed(order, now, was_sent=was_sent)
