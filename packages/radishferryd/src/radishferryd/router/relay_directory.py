"""Tell all hosts which other hosts take relayed requests."""

from __future__ import annotations

import dataclasses
import itertools
import zlib

from radishferryd.gen.router import ttypes
from radishferryd.router import links as links_module

#: Seconds after a change until the hosts are told, so that hosts whose links
#: are lost or return together cause one message.
PUSH_DELAY_S = 0.1
#: Maximum number of hosts in a message. A list of all hosts of a large
#: deployment would be sent to each of them.
MAX_HOSTS = 64


@dataclasses.dataclass(frozen=True)
class RelayHost:
    """Describe a host that takes relayed requests.

    :ivar address: Pair of IP and port.
    """

    name: str
    data_centre: str
    address: tuple[str, int]


class RelayDirectory:
    """Send the hosts that reach servers to all hosts, for the granting host.

    A host counts as reaching servers as long as its load reports say so.
    """

    def __init__(self, scheduler, own, reaches_servers, on_hosts):
        """Create a directory without hosts.

        :param own: The :class:`RelayHost` of this host.
        :param reaches_servers: Returns whether this host reaches servers.
        :param on_hosts: Called with the hosts to which this host may relay.
        """
        self._scheduler = scheduler
        self._own = own
        self._reaches_servers = reaches_servers
        self._on_hosts = on_hosts
        self._hosts_by_link = {}
        self._reaching = set()
        self._sent = {}
        self._is_push_scheduled = False

    @property
    def has_reaching_host(self) -> bool:
        """Return whether any other host reaches servers."""
        return bool(self._reaching)

    def note_hello(self, link, host):
        """Record that a host has connected.

        :param host: Its :class:`RelayHost`, None if it takes no relayed
            requests.
        """
        if host is not None:
            self._hosts_by_link[link] = host
            self.schedule_push()

    def note_report(self, link, reaches_servers):
        """Record what the load report of a host says.

        :param reaches_servers: None if the host has an older version.
        """
        if bool(reaches_servers) != (link in self._reaching):
            if reaches_servers:
                self._reaching.add(link)
            else:
                self._reaching.discard(link)
            self.schedule_push()

    def note_closed(self, link):
        """Record that the link of a host has ended."""
        self._hosts_by_link.pop(link, None)
        self._sent.pop(link, None)
        self._reaching.discard(link)
        self.schedule_push()

    def schedule_push(self):
        """Send the hosts soon to all hosts whose list has changed."""
        if not self._is_push_scheduled:
            self._is_push_scheduled = True
            self._scheduler.call_later(PUSH_DELAY_S, self._push)

    def clear(self):
        """Forget all hosts, when this host stops being the granting host."""
        self._hosts_by_link = {}
        self._reaching = set()
        self._sent = {}

    def _push(self):
        self._is_push_scheduled = False
        hosts = [
            host
            for link, host in self._hosts_by_link.items()
            if link in self._reaching
        ]
        if self._reaches_servers():
            hosts.append(self._own)
        encoded = {}
        for link, host in self._hosts_by_link.items():
            data_centre = host.data_centre
            if data_centre not in encoded:
                encoded[data_centre] = _encode(_select(hosts, data_centre))
            if self._sent.get(link) != encoded[data_centre]:
                self._sent[link] = encoded[data_centre]
                link.write(encoded[data_centre])
        if self._hosts_by_link:
            self._on_hosts(_select(hosts, self._own.data_centre))


def _select(hosts, data_centre):
    """Return the hosts for a data centre, its own ones first.

    Hosts of other data centres come in an order that differs between data
    centres, so that not all of them choose the same few.
    """

    def rank(host):
        seed = f'{data_centre} {host.name}'.encode()
        return host.data_centre != data_centre, zlib.crc32(seed)

    return list(itertools.islice(sorted(hosts, key=rank), MAX_HOSTS))


def _encode(hosts):
    return links_module.encode(
        'relay_hosts',
        ttypes.RelayHosts(
            [
                ttypes.RelayHost(host.name, host.data_centre, *host.address)
                for host in hosts
            ]
        ),
    )
