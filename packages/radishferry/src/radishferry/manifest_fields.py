"""Declare the fields of a manifest document and their bounds."""

from __future__ import annotations

import dataclasses
import typing

from radishferry import field_checks
from radishferry import manifest

#: Maximum size of a manifest document, in bytes; 12,000 servers take 1.3 MB.
MAX_DOCUMENT_BYTES = 4194304
#: Largest version; other JSON parsers lose precision above it.
MAX_VERSION = 2**53 - 1
#: Methods that a request kind may declare.
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
#: States that a server may have.
STATES = ('live', 'leaving', 'lost')


class _Required:
    def __repr__(self):
        return 'required'


#: Marks a field that has no default and must be given.
REQUIRED: typing.Final = _Required()


@dataclasses.dataclass(frozen=True)
class Field:
    """Declare one field.

    :ivar name: Name in the document and in the data class.
    :ivar type_name: JSON type as it is shown to operators.
    :ivar check: Function that takes the value and returns what is expected
        when the value is not valid, else None.
    :ivar description: One sentence for the reference page.
    :ivar default: Value used when the field is missing, or :data:`REQUIRED`.
    """

    name: str
    type_name: str
    check: typing.Callable[[typing.Any], str | None]
    description: str
    default: typing.Any = REQUIRED


MANIFEST_FIELDS = (
    Field(
        'version',
        'integer',
        field_checks.integer(1, MAX_VERSION),
        'Higher than the version in force.',
    ),
    Field('services', 'list', field_checks.list_of(1, 256), 'The services.'),
)

SERVICE_FIELDS = (
    Field(
        'name',
        'string',
        field_checks.check_name,
        'Unique within the manifest.',
    ),
    Field(
        'keyed',
        'boolean',
        field_checks.check_boolean,
        'Whether the key space is divided between the servers.',
    ),
    Field(
        'servers',
        'list',
        field_checks.list_of(1, 20000),
        'The backend servers of the service.',
    ),
    Field(
        'kinds', 'list', field_checks.list_of(1, 256), 'The kinds of requests.'
    ),
    Field(
        'ranges',
        'integer',
        field_checks.integer(1, 65536),
        'Number of hash ranges; it cannot change later.',
        manifest.DEFAULT_RANGES,
    ),
    Field(
        'slots',
        'integer',
        field_checks.integer(1, 1024),
        'Requests that one server runs at the same time.',
        6,
    ),
    Field(
        'connections',
        'integer',
        field_checks.integer(2, 65536),
        'Connections that one server takes; more than slots, because lease '
        'renewals need a connection while every slot is busy.',
        130,
    ),
    Field(
        'checks_term',
        'boolean',
        field_checks.check_boolean,
        'Whether the servers check the term of each request.',
        True,
    ),
    Field(
        'suppresses_duplicates',
        'boolean',
        field_checks.check_boolean,
        'Whether the servers run a request id at most once.',
        False,
    ),
    Field(
        'lost_after_s',
        'number or null',
        field_checks.check_lost_after,
        'Seconds of silence after which ranges may be taken from a silent '
        'coordinator and server; null for never.',
        None,
    ),
    Field(
        'reservations',
        'list',
        field_checks.list_of(0, 1024),
        'Shares of the capacity reserved for callers.',
        (),
    ),
)

SERVER_FIELDS = (
    Field(
        'name',
        'string',
        field_checks.check_name,
        'Unique within the manifest.',
    ),
    Field(
        'address',
        'string',
        field_checks.check_address,
        'Numeric IPv4 address and port; unique within the manifest.',
    ),
    Field(
        'data_centre',
        'string',
        field_checks.check_name,
        'Where the server is.',
    ),
    Field(
        'state',
        'string',
        field_checks.one_of(*STATES),
        '``live``; ``leaving`` takes it out gracefully; ``lost`` states that '
        'it has stopped for good and its ranges may be taken at once.',
        'live',
    ),
)

KIND_FIELDS = (
    Field(
        'name', 'string', field_checks.check_name, 'Unique within the service.'
    ),
    Field('method', 'string', field_checks.one_of(*METHODS), 'HTTP method.'),
    Field(
        'path',
        'string',
        field_checks.check_text,
        'Path template: ``{key}`` matches one segment and is the key, '
        '``{name}`` matches one segment, ``{rest...}`` the rest of the path. '
        'No two templates of a method may match the same path.',
    ),
    Field(
        'idempotent',
        'boolean',
        field_checks.check_boolean,
        'Whether the request may run more than once.',
    ),
    Field(
        'long',
        'boolean',
        field_checks.check_boolean,
        'Whether it runs many times longer than other kinds.',
        False,
    ),
    Field(
        'deadline_ms',
        'integer',
        field_checks.integer(1, 600000),
        'Time for the whole request, in milliseconds.',
        manifest.DEFAULT_DEADLINE_MS,
    ),
    Field(
        'max_body_bytes',
        'integer',
        field_checks.integer(0, 2**30),
        'Largest request body, in bytes.',
        manifest.DEFAULT_MAX_BODY_BYTES,
    ),
)

RESERVATION_FIELDS = (
    Field(
        'caller',
        'string',
        field_checks.check_caller,
        'Value of the ``Radishferry-Caller`` header; unique within the '
        'service.',
    ),
    Field(
        'share',
        'number',
        field_checks.check_share,
        'Part of the capacity, above 0 and at most 1.',
    ),
)
