"""Grant keys to servers and take them back."""

from __future__ import annotations

import dataclasses
import enum

from radishferryd import http_client
from radishferryd.platform import headers


class OrderStatus(enum.Enum):
    """Tell how a server took an order."""

    DONE = 'done'
    #: The server has seen a higher fencing token for some of the keys.
    STALE = 'stale'
    #: Another server has the address; nothing was carried out.
    ANOTHER_SERVER = 'another-server'
    #: Nothing reached the server.
    NOT_SENT = 'not-sent'
    #: The order may be carried out, now or later.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """Hold the answer to an order.

    :ivar handover: Token of the state that a release left, empty if none.
    :ivar is_leaving: Whether the server said that it is about to stop.
    """

    status: OrderStatus
    handover: str = ''
    detail: str = ''
    is_leaving: bool = False


def addressed(server_id):
    """Return headers by which another server refuses an order."""
    return ((headers.EXPECTED_SERVER, server_id),)


def grant(client, segment, hold_s, handover, timeout_s, done):
    """Grant a range of keys, or renew its grant.

    :param client: A :class:`radishferryd.http_client.JsonClient`.
    :param segment: A :class:`radishferry.direct.key_map.Segment`.
    :param hold_s: Seconds for which the grant holds from its arrival.
    :param handover: Token of the previous owner, empty if none.
    :param done: Called with :class:`OrderResult`.
    """
    body = {
        'start_key': segment.start,
        # The wire's name hides that this is the last key of the range.
        'target': segment.end,
        'fence': segment.fence,
        'hold_s': hold_s,
    }
    if handover:
        body['handover'] = handover
    client.call(
        'POST',
        '/api/grant',
        body,
        timeout_s,
        lambda answer: done(_result(answer)),
    )


def release(client, segment, timeout_s, done):
    """Take a range of keys back; ends when its work has ended.

    :param segment: The range with the fencing token of its next owner, so
        that the server accepts no older grant from then on.
    :param done: Called with :class:`OrderResult`.
    """
    body = {
        'start_key': segment.start,
        'target': segment.end,
        'fence': segment.fence,
    }
    client.call(
        'POST',
        '/api/release',
        body,
        timeout_s,
        lambda answer: done(_result(answer)),
    )


def _result(answer):
    if isinstance(answer, http_client.JsonFailure):
        status = (
            OrderStatus.UNKNOWN if answer.was_sent else OrderStatus.NOT_SENT
        )
        return OrderResult(status, detail=answer.detail)
    is_leaving = headers.is_leaving(answer)
    if answer.status == 200:
        return OrderResult(
            OrderStatus.DONE,
            answer.header(headers.HANDOVER),
            is_leaving=is_leaving,
        )
    if answer.status == 409:
        return OrderResult(OrderStatus.STALE, is_leaving=is_leaving)
    if answer.status == headers.MISDIRECTED:
        answering = answer.header(headers.SERVER_ID)
        if answering:
            return OrderResult(OrderStatus.ANOTHER_SERVER, detail=answering)
    # Any other status: this was not the server, or it failed.
    return OrderResult(OrderStatus.UNKNOWN, detail=f'status {answer.status}')
