"""Decide whether to send a request, and when a refused caller may retry."""

from __future__ import annotations

import math
import random

from radishferry.direct import configuration
from radishferry.direct import work

#: Share of the target latency that a request may be expected to take. A
#: request that is expected to take longer is refused at once, while its caller
#: still has time to retry.
ADMISSION_SHARE = 1.0
#: Decrease of that share for each rank of priority from 2 to 5; ranks 0, the
#: highest, and 1 get the full share.
PRIORITY_STEP = 0.12
#: Share of the target latency that queued requests for one key may take up at
#: its server, so that requests for other keys are still in time there.
HOT_KEY_SHARE = 0.8
#: Shortest and longest delay after which refused callers are told to retry,
#: in seconds, before it is randomised.
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 0.9
#: Weight of a new sample in the moving averages of a route.
ROUTE_WEIGHT = 0.05
#: Service time that is assumed before the first answer, in seconds.
DEFAULT_SERVICE_S = 0.1
#: Size that is assumed for answers of downloads before the first one, in
#: bytes; the guides and certificates of the users have about 90 kB.
DOWNLOAD_BYTES = 90000.0


class RouteStats:
    """Track the typical size and service time of one part of a route."""

    def __init__(self, kind):
        """Start with the defaults for a kind of request."""
        is_download = kind is configuration.Kind.DOWNLOAD
        self.answer_bytes = DOWNLOAD_BYTES if is_download else 0.0
        self.service_s = DEFAULT_SERVICE_S
        #: Work of the requests, for services whose loads are shared.
        self.work = work.WorkEstimate()

    def note(self, size, elapsed_s, waiting):
        """Record one answer.

        :param size: Size of the answer in bytes.
        :param elapsed_s: Seconds from the send to the answer.
        :param waiting: Number of requests in the queue of the server. The
            time is a sample of the service time only if there are none.
        """
        self.answer_bytes += ROUTE_WEIGHT * (size - self.answer_bytes)
        if not waiting:
            self.service_s += ROUTE_WEIGHT * (elapsed_s - self.service_s)


def is_admitted(route, stats, usual_s, *, expected_s, left_s, now) -> bool:
    """Return whether a server is expected to answer a request in time.

    :param route: A :class:`~radishferry.direct.configuration.Route`.
    :param stats: The :class:`~radishferry.direct.selection.ServerStats` of
        the server.
    :param usual_s: Typical service time of the route in seconds.
    :param expected_s: Expected time of the request in seconds.
    :param left_s: Seconds until the caller's deadline.
    """
    if stats.load(now) < stats.slots:
        # Without a queue a refusal helps no other request, and only an
        # answer can show that a server that was slow has recovered.
        return expected_s <= left_s
    share = ADMISSION_SHARE - PRIORITY_STEP * min(
        4, max(0, route.priority - 1)
    )
    allowed_s = max(route.target_latency_s * share, 1.5 * usual_s)
    return expected_s <= min(allowed_s, left_s)


def key_limit(route, stats, usual_s, hosts) -> int:
    """Return how many requests for one key a host may have at a server.

    :param usual_s: Typical service time of the route in seconds, used while
        that of the server is not known.
    :param hosts: Number of hosts that send to the server.
    """
    service_s = stats.service_s or usual_s
    in_time = HOT_KEY_SHARE * route.target_latency_s / service_s
    return max(1, math.ceil(stats.slots * in_time / hosts))


def retry_after_pause_s(pause_s) -> float:
    """Return a retry delay that ends at a random time after a server's pause.

    :param pause_s: Seconds that remain of the pause.
    :returns: Delay in seconds.
    """
    return pause_s + random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) / 2


def retry_after_s(wait_s) -> float:
    """Return a retry delay in seconds, randomised to spread the callers.

    :param wait_s: Delay before limits and randomisation, in seconds.
    """
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return wait_s * random.uniform(0.7, 1.3)
