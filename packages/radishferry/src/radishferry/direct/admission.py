"""Decide whether a request is worth sending, and when else to return."""

from __future__ import annotations

import math
import random

from radishferry.direct import configuration

#: Part of the target latency that a request may be expected to take; above
#: it is refused while there is time to come back.
ADMISSION_SHARE = 1.0
#: The same for each rank of priority below the highest.
PRIORITY_STEP = 0.12
#: Part of the target latency that the requests of one key may fill at its
#: server, so that the requests of other keys are still in time there.
HOT_KEY_SHARE = 0.8
#: Shortest and longest time after which refused callers may return, in
#: seconds.
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 0.9
#: Weight of a new sample in the moving averages of a route.
ROUTE_WEIGHT = 0.05
#: Service time assumed before the first answer, in seconds.
DEFAULT_SERVICE_S = 0.1
#: Size assumed for the answers of downloads before the first one, in bytes;
#: the users' guides and certificates have about 90 kB.
DOWNLOAD_BYTES = 90000.0


class RouteStats:
    """Follow the answers of one part of a route."""

    def __init__(self, kind):
        """Begin with what is usual for a kind of request."""
        is_download = kind is configuration.Kind.DOWNLOAD
        self.answer_bytes = DOWNLOAD_BYTES if is_download else 0.0
        self.service_s = DEFAULT_SERVICE_S

    def note(self, size, elapsed_s, waiting):
        """Count one answer."""
        self.answer_bytes += ROUTE_WEIGHT * (size - self.answer_bytes)
        if not waiting:
            self.service_s += ROUTE_WEIGHT * (elapsed_s - self.service_s)


def is_admitted(route, stats, usual_s, *, expected_s, left_s, now) -> bool:
    """Tell whether a request has a prospect at a server.

    :param route: A :class:`~radishferry.direct.configuration.Route`.
    :param stats: The :class:`~radishferry.direct.selection.ServerStats` of
        the server.
    :param usual_s: Usual service time of the route in seconds.
    :param expected_s: Expected time of the request in seconds.
    :param left_s: Seconds until the caller's deadline.
    """
    if stats.load(now) < stats.slots:
        # Without a queue a refusal spares nobody, and a server that was
        # slow shows only by an answer that it has recovered.
        return expected_s <= left_s
    share = ADMISSION_SHARE - PRIORITY_STEP * min(
        4, max(0, route.priority - 1)
    )
    allowed_s = max(route.target_latency_s * share, 1.5 * usual_s)
    return expected_s <= min(allowed_s, left_s)


def key_limit(route, stats, usual_s, hosts) -> int:
    """Return how many requests of one key a host may have at a server.

    :param hosts: Hosts that share the server.
    """
    service_s = stats.service_s or usual_s
    in_time = HOT_KEY_SHARE * route.target_latency_s / service_s
    return max(1, math.ceil(stats.slots * in_time / hosts))


def retry_after_pause_s(pause_s) -> float:
    """Return a time to return after a server's pause, spread behind its end.

    :param pause_s: Seconds for which the server still wants no request.
    """
    return pause_s + random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) / 2


def retry_after_s(wait_s) -> float:
    """Return a time to return, spread so that callers come evenly."""
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return wait_s * random.uniform(0.7, 1.3)
