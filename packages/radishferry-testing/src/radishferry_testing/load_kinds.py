"""Define the requests of a load generator and records of the responses."""

from __future__ import annotations

import dataclasses

import xxhash

#: Outcomes that the load generator adds to those of the router.
NOT_SENT = 'not-sent'
LOST = 'lost'
NO_OUTCOME = 'none'


@dataclasses.dataclass(frozen=True)
class LoadKind:
    """Define a kind of request.

    :ivar path: Path, in which ``{key}`` stands for the key.
    :ivar weight: Share of the arrivals.
    :ivar body: Request body.
    :ivar idempotent: Whether the request may run more than once.
    :ivar headers: Pairs of name and value to add.
    """

    name: str
    method: str
    path: str
    weight: float = 1.0
    body: bytes = b''
    idempotent: bool = True
    headers: tuple[tuple[str, str], ...] = ()


def parse_kind(text: str) -> LoadKind:
    """Parse ``NAME:METHOD:PATH:WEIGHT[:BODY_BYTES[:FLAG[,FLAG]]]``.

    The flags are ``once`` (not idempotent) and ``caller=NAME``.

    :raises ValueError: A part is missing or not valid.
    """
    name, method, path, weight, *rest = text.split(':')
    size = int(rest[0]) if rest and rest[0] else 0
    flags = rest[1].split(',') if len(rest) > 1 else []
    callers = [f[7:] for f in flags if f.startswith('caller=')]
    if len(flags) - len(callers) - flags.count('once'):
        raise ValueError(f'kind {text!r} has an unknown flag')
    return LoadKind(
        name,
        method,
        path,
        float(weight),
        b'x' * size,
        'once' not in flags,
        tuple(('Radishferry-Caller', caller) for caller in callers),
    )


@dataclasses.dataclass(frozen=True)
class ResendPolicy:
    """Define when a caller resends a request, through another host.

    :ivar times: Maximum number of resends of one request.
    :ivar wait_s: Wait before a resend without ``Retry-After``, in seconds.
    :ivar outcomes: Outcomes after which a request is resent.
    """

    times: int = 0
    wait_s: float = 0.1
    outcomes: tuple[str, ...] = ('unknown', 'not-run', LOST, NOT_SENT)


@dataclasses.dataclass
class Record:
    """Hold one attempt of a request; times are monotonic, in ns.

    :ivar attempt: 0 for the first attempt of a request id.
    :ivar outcome: Header ``Radishferry-Outcome``, or ``lost`` without a
        response, ``not-sent`` without a connection, ``none`` without header.
    :ivar body: ``complete``, ``broken`` (truncated) or ``none``.
    :ivar body_hash: xxh64 of the received body, 16 hex digits.
    """

    id: str
    kind: str
    key: str
    idempotent: bool
    attempt: int
    intended_ns: int
    send_ns: int = 0
    end_ns: int = 0
    host: str = ''
    status: int = 0
    outcome: str = LOST
    reason: str = ''
    retry_after_s: float | None = None
    body: str = 'none'
    body_bytes: int = 0
    body_hash: str = ''
    error: str = ''

    @property
    def known_outcome(self) -> str:
        """Return the outcome; ``unknown`` when lost or with a broken body."""
        if self.outcome == LOST or self.body == 'broken':
            return 'unknown'
        return self.outcome

    async def receive(self, response):
        """Fill in the fields of a response while it is received.

        :raises BodyAbortedError: The body was truncated.
        """
        headers = response.headers
        self.status = response.status
        self.outcome = headers.get('radishferry-outcome', NO_OUTCOME)
        self.reason = headers.get('radishferry-reason', '')
        retry_after = headers.get('retry-after')
        if retry_after is not None:
            self.retry_after_s = float(retry_after)
        self.body = 'broken'
        state = xxhash.xxh64()
        async for chunk in response.body.chunks():
            state.update(chunk)
            self.body_bytes += len(chunk)
        self.body = 'complete'
        self.body_hash = state.hexdigest()
