"""Declare the fields of a manifest document and their bounds."""

from __future__ import annotations

import dataclasses
import ipaddress
import re
import typing

from radishferry import manifest

#: Bytes of a manifest document; 12,000 servers take about 1.5 MB.
MAX_DOCUMENT_BYTES = 4194304
#: JSON numbers above this lose precision in other readers.
MAX_VERSION = 2**53 - 1
#: Methods that a request kind may declare.
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
#: States that a server may have.
STATES = ('live', 'leaving', 'lost')

# Names are parts of row names of the table, so they contain no slash.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_CALLER = re.compile(r'[\x21-\x7e]{1,128}')


class _Required:
    def __repr__(self):
        return 'required'


#: Default of a field that has to be given.
REQUIRED: typing.Final = _Required()


@dataclasses.dataclass(frozen=True)
class Field:
    """Declare one field.

    :ivar name: Name in the document and in the data class.
    :ivar type_name: JSON type as it is shown to operators.
    :ivar check: Takes the value; returns what is expected when the value is
        wrong, else None.
    :ivar description: One sentence for the reference page.
    :ivar default: Value of a missing field, or :data:`REQUIRED`.
    """

    name: str
    type_name: str
    check: typing.Callable[[typing.Any], str | None]
    description: str
    default: typing.Any = REQUIRED


def is_integer(value) -> bool:
    """Tell whether a JSON value is an integer, which a boolean is not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value) -> bool:
    """Tell whether a JSON value is a number."""
    return is_integer(value) or isinstance(value, float)


def check_address(value) -> str | None:
    """Check a numeric IPv4 address with a port.

    :returns: What is expected when the value is wrong, else None.
    """
    expected = 'expected a numeric IPv4 address and a port, as 10.0.0.1:8080'
    if not isinstance(value, str):
        return expected
    ip, _, port = value.rpartition(':')
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return expected
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_port or not 1 <= int(port) <= 65535:
        return 'expected a port from 1 to 65535 after the address'
    return None


def _integer(low, high):
    def check(value):
        if is_integer(value) and low <= value <= high:
            return None
        return f'expected an integer from {low} to {high}'

    return check


def _boolean(value):
    return None if isinstance(value, bool) else 'expected true or false'


def _one_of(*values):
    def check(value):
        if isinstance(value, str) and value in values:
            return None
        return 'expected one of {}'.format(', '.join(values))

    return check


def check_name(value) -> str | None:
    """Check the name of a service, kind, server or data centre.

    :returns: What is expected when the value is wrong, else None.
    """
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        'expected 1 to 63 letters, digits, ".", "_" or "-", '
        'beginning with a letter or digit'
    )


def _caller(value):
    if isinstance(value, str) and _CALLER.fullmatch(value):
        return None
    return 'expected 1 to 128 printable ASCII characters without spaces'


def _share(value):
    if is_number(value) and 0 < value <= 1:
        return None
    return 'expected a number above 0 and at most 1'


# A coordinator that is cut off stops 2 s before the period ends, so a period
# near 2 s would stop it at the first short outage.
_MIN_LOST_AFTER_S = 5
_MAX_LOST_AFTER_S = 86400


def _lost_after(value):
    if value is None:
        return None
    low, high = _MIN_LOST_AFTER_S, _MAX_LOST_AFTER_S
    if is_number(value) and low <= value <= high:
        return None
    return f'expected null or a number of seconds from {low} to {high}'


def _text(value):
    return None if isinstance(value, str) else 'expected a string'


def _list(low, high):
    def check(value):
        if isinstance(value, list) and low <= len(value) <= high:
            return None
        return f'expected a list of {low} to {high} objects'

    return check


MANIFEST_FIELDS = (
    Field(
        'version',
        'integer',
        _integer(1, MAX_VERSION),
        'Higher than the version in force.',
    ),
    Field('services', 'list', _list(1, 256), 'The services.'),
)

SERVICE_FIELDS = (
    Field('name', 'string', check_name, 'Unique within the manifest.'),
    Field(
        'keyed',
        'boolean',
        _boolean,
        'Whether the key space is divided between the servers.',
    ),
    Field(
        'servers',
        'list',
        _list(1, 20000),
        'The backend servers of the service.',
    ),
    Field('kinds', 'list', _list(1, 256), 'The kinds of requests.'),
    Field(
        'ranges',
        'integer',
        _integer(1, 65536),
        'Number of hash ranges; it cannot change later.',
        manifest.DEFAULT_RANGES,
    ),
    Field(
        'slots',
        'integer',
        _integer(1, 1024),
        'Requests that one server runs at the same time.',
        6,
    ),
    Field(
        'connections',
        'integer',
        _integer(2, 65536),
        'Connections that one server takes; more than slots, because lease '
        'renewals need a connection while every slot is busy.',
        130,
    ),
    Field(
        'checks_term',
        'boolean',
        _boolean,
        'Whether the servers check the term of each request.',
        True,
    ),
    Field(
        'suppresses_duplicates',
        'boolean',
        _boolean,
        'Whether the servers run a request id at most once.',
        False,
    ),
    Field(
        'lost_after_s',
        'number or null',
        _lost_after,
        'Seconds of silence after which ranges may be taken from a silent '
        'coordinator and server; null for never.',
        None,
    ),
    Field(
        'reservations',
        'list',
        _list(0, 1024),
        'Shares of the capacity reserved for callers.',
        (),
    ),
)

SERVER_FIELDS = (
    Field('name', 'string', check_name, 'Unique within the manifest.'),
    Field(
        'address',
        'string',
        check_address,
        'Numeric IPv4 address and port; unique within the manifest.',
    ),
    Field('data_centre', 'string', check_name, 'Where the server is.'),
    Field(
        'state',
        'string',
        _one_of(*STATES),
        '``live``; ``leaving`` takes it out gracefully; ``lost`` states that '
        'it has stopped for good and its ranges may be taken at once.',
        'live',
    ),
)

KIND_FIELDS = (
    Field('name', 'string', check_name, 'Unique within the service.'),
    Field('method', 'string', _one_of(*METHODS), 'HTTP method.'),
    Field(
        'path',
        'string',
        _text,
        'Path template: ``{key}`` matches one segment and is the key, '
        '``{name}`` matches one segment, ``{rest...}`` the rest of the path. '
        'No two templates of a method may match the same path.',
    ),
    Field(
        'idempotent',
        'boolean',
        _boolean,
        'Whether the request may run more than once.',
    ),
    Field(
        'long',
        'boolean',
        _boolean,
        'Whether it runs many times longer than other kinds.',
        False,
    ),
    Field(
        'deadline_ms',
        'integer',
        _integer(1, 600000),
        'Time for the whole request, in milliseconds.',
        manifest.DEFAULT_DEADLINE_MS,
    ),
    Field(
        'max_body_bytes',
        'integer',
        _integer(0, 2**30),
        'Largest request body, in bytes.',
        manifest.DEFAULT_MAX_BODY_BYTES,
    ),
)

RESERVATION_FIELDS = (
    Field(
        'caller',
        'string',
        _caller,
        'Value of the ``Radishferry-Caller`` header; unique within the '
        'service.',
    ),
    Field(
        'share',
        'number',
        _share,
        'Part of the capacity, above 0 and at most 1.',
    ),
)
