"""Pace the messages between the granting host and all others.

The granting host has a link to every other host, so its work for each round
of messages grows with their number. The intervals grow with it, up to the age
at which other hosts treat their information as stale.
"""

from __future__ import annotations

#: Load reports that the granting host is to process a second. 195 hosts that
#: report four times a second exceeded it: the granting host had to process 780
#: reports a second on 0.43 cores.
MAX_REPORTS_PER_S = 300.0
#: Shortest time between two reports of a host, in seconds.
MIN_REPORT_S = 0.25
#: Longest time between two reports of a host, in seconds: a link counts as
#: silent after 1.2 s, in which two reports have to fit.
MAX_REPORT_S = 0.6
#: Seconds between two pushes of changed owners, for each linked host. A move
#: of many ranges takes hundreds of steps, and each push is sent on each link.
PUSH_S_PER_LINK = 0.00025
#: Share of the link of the granting host that the loads of servers may take.
LOADS_LINK_SHARE = 0.1
#: Bytes a second that they may take at each of the other hosts.
MAX_LOADS_BYTES_PER_S = 2000.0
#: Bytes of the loads in a heartbeat: of one server, and of the list itself.
LOAD_ENTRY_BYTES, LOADS_HEADER_BYTES = 6, 32


def report_interval_s(hosts: int) -> float:
    """Return the seconds between two load reports of one host.

    :param hosts: Number of hosts of the deployment.
    """
    return min(MAX_REPORT_S, max(MIN_REPORT_S, hosts / MAX_REPORTS_PER_S))


def push_interval_s(links: int) -> float:
    """Return the minimum seconds between two pushes of changed owners.

    :param links: Number of hosts that a push is sent to.
    """
    return links * PUSH_S_PER_LINK


def load_entries(links: int, link_mbps: float, interval_s: float) -> int:
    """Return how many loads of servers a heartbeat may carry.

    :param links: Number of hosts that it is sent to.
    :param link_mbps: Bandwidth of the granting host in Mbit/s.
    :param interval_s: Seconds between two heartbeats.
    """
    share = LOADS_LINK_SHARE * link_mbps * 1e6 / 8 / max(1, links)
    bytes_per_s = min(MAX_LOADS_BYTES_PER_S, share)
    entries = (
        bytes_per_s * interval_s - LOADS_HEADER_BYTES
    ) / LOAD_ENTRY_BYTES
    return max(0, int(entries))


def transfer_s(size: int, links: int, link_mbps: float) -> float:
    """Return the seconds in which a host can send a message on all links.

    :param size: Size of the message in bytes.
    :param links: Number of hosts that it is sent to.
    :param link_mbps: Bandwidth of the host in Mbit/s.
    """
    return size * 8 * links / (link_mbps * 1e6)
