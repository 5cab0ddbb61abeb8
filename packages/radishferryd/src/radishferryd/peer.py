"""Maintain authenticated connections (links) between hosts."""

from __future__ import annotations

import hashlib
import hmac
import logging
import secrets
import time
import typing

from radishferryd import frames
from radishferryd import net
from radishferryd import peer_codec
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Seconds within which a new link must complete the handshake.
HANDSHAKE_TIMEOUT_S = 2.0
#: Seconds after which a failed link is opened again.
RECONNECT_INTERVAL_S = 0.2
#: Length of a nonce, in bytes.
NONCE_BYTES = 32


class LinkOwner(typing.Protocol):
    """Receive the events of links."""

    def link_opened(self, link: Link) -> None:
        """Handle a link that has become ready for messages."""

    def link_closed(self, link: Link) -> None:
        """Handle the end of a link.

        Not called for a link from a peer that failed the handshake.
        """

    def key_refused(self, link: Link) -> None:
        """Handle a peer that does not know the shared key."""

    def message(self, link: Link, name: str, message: typing.Any) -> None:
        """Handle a message."""


class Link:
    """Represent one connection to a peer.

    Both sides send a challenge and answer the challenge of the other side with
    an HMAC over both nonces, their own role and their identity.  The role
    prevents reflection attacks.
    """

    def __init__(self, owner, identity, shared_key, *, target=''):
        """Initialise; the handshake begins when the connection is open.

        :param owner: A :class:`LinkOwner`.
        :param identity: A ``Challenge`` without a nonce.
        :param bytes shared_key: Key known to all hosts.
        :param target: Host to which this side opens the connection, empty
            for a connection that the peer opened.
        """
        self._owner = owner
        self._identity = identity
        self._shared_key = shared_key
        self._target = target
        self._is_initiator = bool(target)
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._peer = None
        self._connection = None
        self._buffer = frames.FrameBuffer(peer_codec.CODEC)
        self._is_ready = False
        self._is_closed = False
        self._started_at = time.monotonic()
        self._is_paused = False
        self._sent_bytes = 0

    @property
    def is_ready(self) -> bool:
        """Return whether messages can be sent."""
        return self._is_ready

    @property
    def is_initiator(self) -> bool:
        """Return whether this side opened the link."""
        return self._is_initiator

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes of messages sent."""
        return self._sent_bytes

    @property
    def is_paused(self) -> bool:
        """Return whether the peer reads too slowly and sending is paused."""
        return self._is_paused

    @property
    def is_closed(self) -> bool:
        """Return whether the link has closed."""
        return self._is_closed

    @property
    def is_handshake_overdue(self) -> bool:
        """Return whether the handshake has timed out."""
        age = time.monotonic() - self._started_at
        return not self._is_ready and age > HANDSHAKE_TIMEOUT_S

    @property
    def target(self) -> str:
        """Return the name of the host that this side connected to.

        Empty for a link that the peer opened.
        """
        return self._target

    @property
    def host(self) -> str:
        """Return the name of the peer, empty before the handshake."""
        return self._peer.host if self._peer else ''

    @property
    def data_centre(self) -> str:
        """Return the data centre of the peer, empty before the handshake."""
        return self._peer.data_centre if self._peer else ''

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the peer, 0 before the handshake."""
        return self._peer.incarnation if self._peer else 0

    def send(self, name, message):
        """Send a message; it is dropped when the link is not ready.

        :param name: Field of ``Frame``.
        :param message: The thrift struct.
        """
        if self._is_ready:
            data = peer_codec.encode(name, message)
            self._sent_bytes += len(data)
            self._connection.write(data)

    def close(self):
        """Close immediately."""
        if self._connection is not None:
            self._connection.abort()

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._connection = connection
        challenge = ttypes.Challenge(
            self._identity.host,
            self._identity.data_centre,
            self._identity.incarnation,
            self._nonce,
        )
        connection.write(peer_codec.encode('challenge', challenge))

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        try:
            for name, message in self._buffer.feed(data):
                self._on_message(name, message)
                if not self._connection.is_open:
                    return
        except frames.FrameError as exc:
            LOG.error(
                'peer: Closed the link to %s at %s: %s.',
                self.host or 'an unauthenticated peer',
                self._connection.peer_address,
                exc,
            )
            self._connection.abort()

    def pause_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_paused = True

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_paused = False

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        was_ready, self._is_ready = self._is_ready, False
        self._is_closed = True
        if was_ready or self._is_initiator:
            self._owner.link_closed(self)

    def _on_message(self, name, message):
        if self._is_ready:
            self._owner.message(self, name, message)
        elif name == 'challenge' and self._peer is None:
            self._on_challenge(message)
        elif name == 'proof' and self._peer is not None:
            self._on_proof(message)
        else:
            raise frames.FrameError(f'{name} before the handshake')

    def _on_challenge(self, challenge):
        if not challenge.host or len(challenge.nonce or b'') != NONCE_BYTES:
            raise frames.FrameError('challenge without host or nonce')
        self._peer = challenge
        proof = ttypes.Proof(self._mac(self._is_initiator, by_self=True))
        self._connection.write(peer_codec.encode('proof', proof))

    def _on_proof(self, proof):
        expected = self._mac(not self._is_initiator, by_self=False)
        if not hmac.compare_digest(expected, proof.mac or b''):
            self._owner.key_refused(self)
            raise frames.FrameError('wrong shared key')
        self._buffer.allow_large()
        self._is_ready = True
        self._owner.link_opened(self)

    def _mac(self, by_initiator, *, by_self):
        pair = (self._nonce, self._peer.nonce)
        if not self._is_initiator:
            pair = pair[::-1]
        prover = self._identity if by_self else self._peer
        role = b'initiator' if by_initiator else b'acceptor'
        text = b'|'.join(
            (
                role,
                prover.host.encode(),
                prover.data_centre.encode(),
                str(prover.incarnation).encode(),
                *pair,
            )
        )
        return hmac.digest(self._shared_key, text, hashlib.sha256)


class LinkPool:
    """Manage the links of this host.

    Each host of a pair opens its own link for the messages and streams that it
    initiates.  Answers to a stream are sent on the link of that stream.
    """

    def __init__(self, poller, scheduler, owner, identity, shared_key):
        """Initialise without links.

        :param owner: A :class:`LinkOwner`.
        :param identity: A ``Challenge`` without a nonce.
        """
        self._poller = poller
        self._scheduler = scheduler
        self._owner = owner
        self._identity = identity
        self._shared_key = shared_key
        self._addresses = {}
        self._outbound = {}
        self._inbound = set()
        self._reconnect_at = {}
        self._closed_bytes = 0
        self._key_refused_at = None
        self._was_accepted = False
        self._listener = None
        scheduler.call_every(HANDSHAKE_TIMEOUT_S, self._close_overdue)

    @property
    def outbound(self) -> dict[str, Link]:
        """Return the links that this host opened, by host name."""
        return self._outbound

    @property
    def inbound(self) -> set[Link]:
        """Return the links that peers opened."""
        return self._inbound

    @property
    def has_wrong_key(self) -> bool:
        """Return whether listed hosts refused the key and none accepted it."""
        return self._key_refused_at is not None and not self._was_accepted

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes of messages sent over all links."""
        links = [*self._outbound.values(), *self._inbound]
        return self._closed_bytes + sum(k.sent_bytes for k in links)

    def listen(self, address):
        """Start to accept links.

        :raises OSError: The address cannot be bound.
        """
        self._listener = net.Listener(self._poller, address, self._accept)

    def set_addresses(self, addresses):
        """Replace the known hosts.

        :param addresses: Host name to pair of IP and port.
        """
        for host, address in self._addresses.items():
            if addresses.get(host) != address and host in self._outbound:
                self._outbound.pop(host).close()
        self._addresses = dict(addresses)

    def link(self, host) -> Link | None:
        """Return the link to a host, opening one when there is none.

        :returns: A link, which may not be ready yet; None if the host is
            unknown, cannot be reached, or its last link closed less than
            :data:`RECONNECT_INTERVAL_S` ago.
        """
        link = self._outbound.get(host)
        if link is not None:
            return link
        address = self._addresses.get(host)
        now = self._scheduler.now()
        if address is None or self._reconnect_at.get(host, 0) > now:
            return None
        link = Link(self, self._identity, self._shared_key, target=host)
        self._outbound[host] = link
        net.connect(self._poller, address, link)
        return self._outbound.get(host)

    def send(self, host, name, message) -> bool:
        """Send a message to a host.

        :returns: Whether a link was ready to send it.
        """
        link = self.link(host)
        if link is None or not link.is_ready:
            return False
        link.send(name, message)
        return True

    def drop(self, host):
        """Close all links with a host that does not answer."""
        if link := self._outbound.get(host):
            link.close()
        for link in [k for k in self._inbound if k.host == host]:
            link.close()

    def close(self):
        """Stop accepting and close all links."""
        if self._listener is not None:
            self._listener.close()
        for link in [*self._outbound.values(), *self._inbound]:
            link.close()

    def link_opened(self, link):
        """See :class:`LinkOwner`."""
        if link.is_initiator and link.host != link.target:
            LOG.error(
                'peer: %s answered at the address of %s.',
                link.host,
                link.target,
            )
            link.close()
            return
        self._was_accepted = True
        self._owner.link_opened(link)

    def link_closed(self, link):
        """See :class:`LinkOwner`."""
        self._inbound.discard(link)
        self._closed_bytes += link.sent_bytes
        if link.is_initiator and self._outbound.get(link.target) is link:
            del self._outbound[link.target]
            now = self._scheduler.now()
            self._reconnect_at[link.target] = now + RECONNECT_INTERVAL_S
        self._owner.link_closed(link)

    def key_refused(self, link):
        """See :class:`LinkOwner`."""
        if link.is_initiator:
            self._key_refused_at = self._scheduler.now()

    def message(self, link, name, message):
        """See :class:`LinkOwner`."""
        self._owner.message(link, name, message)

    def _accept(self):
        link = Link(self, self._identity, self._shared_key)
        self._inbound.add(link)
        return link

    def _close_overdue(self):
        for link in [*self._outbound.values(), *self._inbound]:
            if link.is_handshake_overdue:
                link.close()
        self._inbound = {k for k in self._inbound if not k.is_closed}
