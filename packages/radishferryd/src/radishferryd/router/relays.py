"""Choose hosts to which requests are relayed that cannot be served here."""

from __future__ import annotations

import logging
import random

from radishferry.direct import registry
from radishferryd.platform import headers
from radishferryd.router import backends
from radishferryd.router import relay_headers
from radishferryd.router import results

LOG = logging.getLogger(__name__)

#: Hosts to which one request is relayed, one after the other, as long as none
#: has passed it on to a server.
MAX_RELAYS = 2
#: Requests in progress by which a host of the same data centre may exceed one
#: of another data centre, since bytes between data centres are costly.
REMOTE_COST = 16
#: Seconds for which a server is not tried through other hosts after those that
#: were asked could not reach it either.
UNREACHABLE_ELSEWHERE_S = 1.5
#: Nominal number of requests that another host handles at a time.
HOST_SLOTS = 64


class RelayBackend(backends.Backend):
    """Hold the connections to a host that takes relayed requests.

    The host handles what servers announce, and refusals say nothing about its
    own load.
    """

    is_relay = True

    def note_announcements(self, head):
        """Record the configuration of the host, and no announcements.

        Those of the server that answered are for the other host.
        """
        text = head.header(relay_headers.CONFIGURATION)
        self._listener.note_configuration_elsewhere(
            relay_headers.parse_configuration(text)
        )

    def note_load(self, head):
        """Ignore the load of the server that answered."""

    def note_refused(self):
        """Back off from a host that cannot serve relayed requests now."""
        self.stats.note_connection_failure(self._scheduler.now())

    def ended(self, attempt, result):
        """See :meth:`radishferryd.router.backends.Backend.ended`."""
        self.stats.in_flight -= 1
        self.watch.note_ended(attempt)
        now = self._scheduler.now()
        if isinstance(result, results.Answered):
            self.stats.note_answer(now - attempt.sent_at, 0, now)
        elif result is not None:
            self.stats.note_connection_failure(now)


class Relays:
    """Hold the hosts that take relayed requests, and choose among them."""

    def __init__(
        self,
        poller,
        scheduler,
        host_name,
        data_centre,
        links,
        routing_state,
        memory=None,
    ):
        """Start without hosts.

        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor` of this
            host.
        :param routing_state: The
            :class:`~radishferryd.router.knowledge.RoutingState`, which learns
            the versions of the configuration at other hosts.
        :param memory: See :class:`~radishferryd.router.backends.Backends`.
        """
        self._routing_state = routing_state
        self._scheduler = scheduler
        self._host_name = host_name
        self._data_centre = data_centre
        self._links = links
        self._hosts = ()
        self._backends = backends.Backends(
            poller,
            scheduler,
            host_name,
            listener=routing_state,
            backend_class=RelayBackend,
            memory=memory,
        )
        self._unreachable_until = {}

    @property
    def is_needed(self) -> bool:
        """Return whether all requests are to be relayed."""
        return self._links.is_isolated or self._routing_state.is_outdated

    @property
    def host_count(self) -> int:
        """Return the number of hosts that take relayed requests."""
        return len(self._hosts)

    def set_hosts(self, hosts):
        """Replace the hosts that take relayed requests.

        :param hosts: Tuples of name, data centre and address. This host is
            left out.
        """
        found = tuple(
            registry.Server(
                name, 0, '', address, data_centre, HOST_SLOTS, False
            )
            for name, data_centre, address in hosts
            if name != self._host_name
        )
        if found == self._hosts:
            return
        self._hosts = found
        self._backends.keep(found)
        LOG.info(
            'relays: %d hosts take requests of this host.',
            len(found),
            extra={
                'near': sum(
                    host.data_centre == self._data_centre for host in found
                ),
                'routine': True,
            },
        )

    def may_be_reached_elsewhere(self, target) -> bool:
        """Return whether another host may reach what this host does not.

        :param target: Incarnation of a server, or name of a service of which
            this host reaches no server.
        """
        if not self._links.fails_to_connect:
            return False
        return self._unreachable_until.get(target, 0.0) < self._scheduler.now()

    def note_unreachable_elsewhere(self, target):
        """Record that no other host that was asked reaches a target."""
        now = self._scheduler.now()
        self._unreachable_until = {
            known: until
            for known, until in self._unreachable_until.items()
            if until > now
        }
        self._unreachable_until[target] = now + UNREACHABLE_ELSEWHERE_S

    def choose(self, skip):
        """Return the backend of the host with the fewest requests.

        :param skip: Names of hosts that the request was relayed to already.
        :returns: None if no host takes the request.
        """
        now = self._scheduler.now()
        candidates = [
            backend
            for host in self._hosts
            if host.server_id not in skip
            and not (backend := self._backends.get(host)).stats.is_paused(now)
        ]
        return min(candidates, key=self._cost, default=None)

    def close_old(self):
        """Close connections that exceed their idle limit."""
        self._backends.close_old()

    def _cost(self, backend):
        cost = backend.stats.in_flight + random.random()
        if backend.server.data_centre != self._data_centre:
            cost += REMOTE_COST
        return cost


def interpret(result):
    """Return what the response of another host means for a request.

    :param result: Result of the attempt, see
        :class:`radishferryd.router.connections.Sink`.
    :returns: :class:`~radishferryd.router.results.Answered` if it is the
        response of a server,
        :class:`~radishferryd.router.results.HostRefused` if it is a refusal of
        the host, or the unchanged failure.
    """
    if not isinstance(result, results.Answered):
        return result
    head = result.head
    reason = head.header(relay_headers.REASON)
    if reason:
        return results.HostRefused(
            head.status,
            results.Reason.of(reason),
            f'another host refused it: {head.status} {reason[:40]}',
            headers.parse_delay_s(head.header(headers.RETRY_AFTER)),
            head.status in headers.NOT_RUN_STATUSES,
        )
    if headers.implies_not_run(head):
        # Without a reason of the other host, nothing proves that the request
        # has not run, as this status promises.
        return results.Unknown(f'another host answered {head.status}')
    return result
