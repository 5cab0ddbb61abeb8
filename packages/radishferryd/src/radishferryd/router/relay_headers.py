"""Define the headers of requests that one host relays to another."""

from __future__ import annotations

import dataclasses
import urllib.parse

#: What the relaying host knows about the request.
RELAY = 'radishferry-relay'
#: Reason of a refusal by the host that received the relayed request. Responses
#: of servers never have it.
REASON = 'radishferry-reason'

#: Configuration version in force at the host that received the request.
CONFIGURATION = 'radishferry-configuration'

#: Headers that neither callers nor servers may set.
OWN_NAMES = frozenset((RELAY, REASON, CONFIGURATION))

#: Highest configuration version and number of attempts that are accepted.
_MAX_VERSION = 2**63 - 1
_MAX_ATTEMPTS = 1000


@dataclasses.dataclass(frozen=True)
class Origin:
    """Describe a relayed request beside its own headers.

    :ivar configuration_version: Version that the relaying host has applied.
    :ivar attempts: How often servers may have received the request already.
    :ivar service: The service that the relaying host has chosen.
    """

    configuration_version: int
    attempts: int
    service: str


def format_origin(origin: Origin) -> str:
    """Return the value of :data:`RELAY`."""
    service = urllib.parse.quote(origin.service, safe='')
    return f'{origin.configuration_version} {origin.attempts} {service}'


def parse_origin(text: str) -> Origin:
    """Return what a value of :data:`RELAY` says.

    :raises ValueError: The value is malformed.
    """
    version, attempts, service = text.split(' ')
    return Origin(
        _parse_count(version, _MAX_VERSION),
        _parse_count(attempts, _MAX_ATTEMPTS),
        urllib.parse.unquote(service, errors='strict'),
    )


def parse_configuration(text: str) -> int:
    """Return the version that a value of :data:`CONFIGURATION` names.

    :returns: 0 for a host of an older version, which names none, and for a
        malformed value.
    """
    try:
        return _parse_count(text, _MAX_VERSION)
    except ValueError:
        return 0


def _parse_count(text, maximum):
    if not (text.isascii() and text.isdigit() and len(text) <= 19):
        raise ValueError(f'not a number: {text[:40]!r}')
    value = int(text)
    if value > maximum:
        raise ValueError(f'{value} exceeds {maximum}')
    return value
