"""Grant key ranges to servers and release them."""

from __future__ import annotations

import dataclasses
import enum

from radishferryd import http_client
from radishferryd.platform import headers


#: Header that gives each order an id, which servers may repeat in their
#: answers.
ORDER_ID = headers.REQUEST_ID


class OrderStatus(enum.Enum):
    """Classify the response of a server to an order."""

    DONE = 'done'
    #: The server has seen a higher fencing token for some of the keys.
    STALE = 'stale'
    #: A server with another id uses the address; nothing was executed.
    ANOTHER_SERVER = 'another-server'
    #: Nothing reached the server.
    NOT_SENT = 'not-sent'
    #: The order may have been executed, or may still be.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """Represent the result of an order.

    :ivar handover: Token of the state handed over by a release, empty if none.
    :ivar is_leaving: Whether the server announced that it is about to stop.
    :ivar is_answered: Whether a response arrived, whatever its status.
    """

    status: OrderStatus
    handover: str = ''
    detail: str = ''
    is_leaving: bool = False
    is_answered: bool = True


def expected_server_headers(server_id):
    """Return headers that make any other server refuse an order."""
    return ((headers.EXPECTED_SERVER, server_id),)


def grant(client, server_id, segment, hold_s, handover, timeout_s, done):
    """Grant a range of keys, or renew its grant.

    :param client: A :class:`radishferryd.http_client.JsonClient`.
    :param server_id: The server that the client's headers expect.
    :param segment: A :class:`radishferry.direct.key_map.Segment`.
    :param hold_s: Seconds for which the grant is valid from its arrival.
    :param handover: Handover token of the previous owner, empty if none.
    :param done: Called with :class:`OrderResult`.
    """
    body = {
        'start_key': segment.start,
        # Despite its name, this field is the last key of the range.
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
        lambda response: done(_decode_result(response, server_id)),
    )


def release(client, server_id, segment, timeout_s, done):
    """Release a range of keys; completes when its requests have ended.

    :param server_id: The server that the client's headers expect.
    :param segment: The range with the fencing token of its next owner, which
        makes the server reject older grants from then on.
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
        lambda response: done(_decode_result(response, server_id)),
        # The keys are granted to another server then.
        needs_proof=True,
    )


def _decode_result(response, server_id):
    if isinstance(response, http_client.JsonFailure):
        status = (
            OrderStatus.UNKNOWN if response.was_sent else OrderStatus.NOT_SENT
        )
        return OrderResult(status, detail=response.detail, is_answered=False)
    is_leaving = headers.is_leaving(response)
    if response.status == 200:
        return OrderResult(
            OrderStatus.DONE,
            response.header(headers.HANDOVER),
            is_leaving=is_leaving,
        )
    if response.status == 409:
        return OrderResult(OrderStatus.STALE, is_leaving=is_leaving)
    if response.status == headers.MISDIRECTED:
        # The expected server never rejects an order like this. Another one
        # does not always name itself.
        responding_id = response.header(headers.SERVER_ID)
        if responding_id != server_id:
            return OrderResult(
                OrderStatus.ANOTHER_SERVER, detail=responding_id or 'unnamed'
            )
    # Any other status: another program responded, or the server failed.
    return OrderResult(OrderStatus.UNKNOWN, detail=f'status {response.status}')
