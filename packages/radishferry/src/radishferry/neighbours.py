"""Choose which hosts exchange heartbeats."""

from __future__ import annotations

import xxhash

#: Largest data centre in which every host heartbeats with every other.
FULL_MESH_HOSTS = 16
#: First hosts in relay order that all hosts of a large data centre watch.
RELAY_CANDIDATES = 3
#: Neighbours on either side of a host in the ring of a large data centre.
RING_REACH = 2


def relay_order(names) -> list[str]:
    """Return the order in which hosts are taken as relay.

    :param names: Names of the hosts of one data centre.
    """
    return sorted(names, key=_relay_key)


def is_candidate(order, name) -> bool:
    """Tell whether other hosts watch a host because it may become relay.

    :param order: Result of :func:`relay_order`.
    """
    return name in order[:RELAY_CANDIDATES]


def in_data_centre(order, self_name, shared) -> set[str]:
    """Return the hosts that a host watches in its own data centre.

    :param order: Result of :func:`relay_order`, including the host itself.
    :param self_name: Name of the host.
    :param shared: Hosts that coordinate servers together with it.
    """
    if len(order) <= FULL_MESH_HOSTS:
        return set(order) | shared
    at = order.index(self_name)
    reach = range(at - RING_REACH, at + RING_REACH + 1)
    ring = {order[i % len(order)] for i in reach}
    return set(order[:RELAY_CANDIDATES]) | ring | shared


def _relay_key(name):
    return xxhash.xxh64_intdigest(name.encode()), name
