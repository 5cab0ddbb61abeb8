"""Serve requests that other hosts relay."""

from __future__ import annotations

import dataclasses

from radishferry.direct import admission
from radishferryd.router import relay_headers
from radishferryd.router import results

#: Relayed requests in progress above which further ones are refused, so that
#: the callers of this host are still served.
MAX_OPEN_REQUESTS = 256
#: Bytes that the headers of a relaying host add to the head of a request.
EXTRA_HEADER_BYTES = 1024
#: Shortest idle timeout of a connection of another host, in seconds. That host
#: reuses it for up to :data:`radishferry.direct.idle_limit.MAX_IDLE_S`, and a
#: payment must not be sent on a connection that is just being closed.
MIN_IDLE_TIMEOUT_S = 15.0


class RelayGateway:
    """Start relayed requests; they are not relayed again.

    Offers what :class:`~radishferryd.router.callers.CallerConnection` needs.
    """

    def __init__(self, gateway):
        """Create the gateway.

        :param gateway: The :class:`~radishferryd.router.gateway.Gateway`,
            which handles the requests of callers.
        """
        self._gateway = gateway
        self.scheduler = gateway.scheduler
        self.memory = gateway.memory
        self.connections = gateway.connections
        self.now = gateway.now
        self.refused = gateway.refused
        self.stop_refusal = gateway.stop_refusal

    @property
    def limits(self):
        """Return the limits for callers, adapted to connections of hosts."""
        limits = self._gateway.limits
        return dataclasses.replace(
            limits,
            max_header_bytes=limits.max_header_bytes + EXTRA_HEADER_BYTES,
            idle_timeout_s=max(limits.idle_timeout_s, MIN_IDLE_TIMEOUT_S),
        )

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force."""
        return self._gateway.configuration_version

    @property
    def is_stopping(self) -> bool:
        """Return whether connections close after their next response."""
        return self._gateway.is_stopping

    @property
    def accepts_requests(self) -> bool:
        """Return whether further requests are sent to servers."""
        return self._gateway.accepts_requests

    def begin(self, slot):
        """Route a relayed request and start it.

        :returns: The request, None if it was refused.
        """
        text = slot.head.header(relay_headers.RELAY)
        try:
            origin = relay_headers.parse_origin(text)
        except ValueError as exc:
            self._gateway.refuse(
                slot,
                results.Refusal(
                    400,
                    results.Reason.BAD_REQUEST,
                    f'No valid {relay_headers.RELAY} header: {exc}.',
                ),
            )
            return None
        refusal = self._refusal(origin)
        if refusal is not None:
            self._gateway.refuse(slot, refusal)
            return None
        return self._gateway.begin(slot, origin)

    def _refusal(self, origin):
        gateway = self._gateway
        if not gateway.links.reaches_servers:
            return results.Refusal(
                503,
                results.Reason.LINKS_LOST,
                'This host has lost its links to the servers too.',
                admission.retry_after_s(0.5),
            )
        if gateway.open_relayed_requests >= MAX_OPEN_REQUESTS:
            return results.Refusal(
                503,
                results.Reason.RELAY_LIMIT,
                'This host handles too many requests of other hosts.',
                admission.retry_after_s(0.3),
            )
        if gateway.is_outdated or (
            gateway.configuration_version < origin.configuration_version
        ):
            return results.Refusal(
                503,
                results.Reason.NO_CONFIGURATION,
                'This host has an older configuration.',
                admission.retry_after_s(0.3),
            )
        return None
