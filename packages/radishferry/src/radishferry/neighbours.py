"""Choose which hosts exchange heartbeats."""

from __future__ import annotations

import xxhash

#: Maximum number of hosts of a data centre in which all hosts exchange
#: heartbeats with each other.
FULL_MESH_HOSTS = 16
#: Number of first hosts in relay order that all hosts of a large data centre
#: watch.
RELAY_CANDIDATES = 3
#: Number of neighbours that a host watches on each side in the ring of a large
#: data centre.
RING_REACH = 2


def relay_order(names) -> list[str]:
    """Return hosts in the order in which they are chosen as relay.

    :param names: Names of the hosts of one data centre.
    """
    return sorted(names, key=_relay_key)


def is_candidate(order, name) -> bool:
    """Return whether a host is watched as a candidate for the relay.

    :param order: Result of :func:`relay_order`.
    """
    return name in order[:RELAY_CANDIDATES]


def watched_in_data_centre(order, self_name, shared) -> set[str]:
    """Return the hosts that a host watches in its own data centre.

    :param order: Result of :func:`relay_order`, including the host itself.
    :param self_name: Name of the host.
    :param shared: Hosts that share a coordinator assignment with it.
    """
    if len(order) <= FULL_MESH_HOSTS:
        return set(order) | shared
    position = order.index(self_name)
    offsets = range(position - RING_REACH, position + RING_REACH + 1)
    ring_neighbours = {order[i % len(order)] for i in offsets}
    return set(order[:RELAY_CANDIDATES]) | ring_neighbours | shared


def _relay_key(name):
    return xxhash.xxh64_intdigest(name.encode()), name
