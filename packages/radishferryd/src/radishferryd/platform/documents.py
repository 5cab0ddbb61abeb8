"""Decode the documents that operators and servers keep in the store."""

from __future__ import annotations

import logging

import orjson

from radishferry import field_checks
from radishferry.direct import configuration
from radishferry.direct import registry

LOG = logging.getLogger(__name__)

#: Table of the operators' documents; read-only for this system.
OPERATOR_TABLE = 'op'
#: Key of the configuration in force.
CONFIGURATION_KEY = 'config'
#: Start of the keys of rows that ask for the evacuation of a data centre, as
#: long as they exist; the name of the data centre follows.
EVACUATION_PREFIX = 'evacuate/'
#: Table in which servers register themselves; read-only for this system.
SERVER_TABLE = 'servers'

#: Maximum number of malformed entries that are logged, one line each.
MAX_REPORTED_ENTRIES = 256
#: Seconds by which a warm-up may lie in the past and still counts as ended.
MAX_LATE_WARMUP_S = 60.0
#: Longest version of a server's software, in characters.
MAX_SOFTWARE_VERSION_CHARACTERS = 200
#: Highest version, priority and number of attempts or connections that a
#: configuration may contain. Larger ones do not fit into messages or sockets.
MAX_VERSION = 2**63 - 1
MAX_COUNT = 1000000
#: Longest time in seconds that a configuration may contain.
MAX_TIME_S = 86400.0
#: Highest weight of a part of a route.
MAX_WEIGHT = 1e9
#: Highest limit in bytes that a configuration may contain.
MAX_BYTES = 2**40

_IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}


class DocumentError(Exception):
    """Report a document that cannot be used, and where it is invalid."""


def decode_configuration(value: bytes) -> configuration.Configuration:
    """Return the configuration stored in a row.

    :raises DocumentError: The document is malformed.
    """
    try:
        document = orjson.loads(value)
        return configuration.Configuration(
            version=_integer(int(document['version'], 16), 0, MAX_VERSION),
            routes=tuple(
                _decode_route(name, fields)
                for name, fields in document['routes'].items()
            ),
            services={
                name: _decode_service(name, fields)
                for name, fields in document['services'].items()
            },
            limits=_decode_limits(document.get('limits') or {}),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as exc:
        raise DocumentError(f'configuration: {exc!r:.200}') from exc


def apply_evacuations(data_centres, rows) -> frozenset[str]:
    """Return the evacuated data centres after some rows were written.

    :param data_centres: Data centres that were evacuated before.
    :param rows: Rows of :data:`OPERATOR_TABLE` in the order of their writes.
    """
    evacuated = set(data_centres)
    for row in rows:
        if not row.key.startswith(EVACUATION_PREFIX):
            continue
        data_centre = row.key[len(EVACUATION_PREFIX) :]
        if row.is_deleted:
            evacuated.discard(data_centre)
        else:
            evacuated.add(data_centre)
    return frozenset(evacuated)


def _text(value):
    if not isinstance(value, str):
        raise ValueError(f'expected a string, found {value!r:.40}')
    return value


def _number(value, low, high):
    number = float(value)
    if not low <= number <= high:
        raise ValueError(
            f'expected a number from {low:g} to {high:g}, found {value!r:.40}'
        )
    return number


def _integer(value, low, high):
    number = int(value)
    if not low <= number <= high:
        raise ValueError(
            f'expected an integer from {low} to {high}, found {value!r:.40}'
        )
    return number


def _decode_route(name, fields):
    split = fields.get('traffic_split')
    # A route names either one service or a list of weighted services.
    parts = (
        tuple(
            configuration.Part(
                _text(part['service']), _number(part['weight'], 0, MAX_WEIGHT)
            )
            for part in split
        )
        if split
        else (configuration.Part(_text(fields['service']), 1.0),)
    )
    timeout_s = _number(fields.get('timeout_s') or 60.0, 0, MAX_TIME_S)
    return configuration.Route(
        name=name,
        virtual_host=fields['host'].lower(),
        prefix=_text(fields['prefix']),
        kind=configuration.Kind(fields['kind']),
        parts=parts,
        timeout_s=timeout_s,
        target_latency_s=_number(
            fields.get('target_latency_s') or timeout_s, 0, MAX_TIME_S
        ),
        max_attempts=_integer(fields.get('max_attempts') or 1, 1, MAX_COUNT),
        priority=_integer(fields.get('priority') or 0, 0, MAX_COUNT),
    )


def _decode_service(name, fields):
    return configuration.Service(
        name=name,
        health_path=_text(fields.get('health_path') or '/health'),
        max_connections=_integer(
            fields.get('max_connections') or 64, 1, MAX_COUNT
        ),
        is_keyed=bool(fields.get('sharded')),
        warm_s=_number(fields.get('warm_s') or 0.0, 0, MAX_TIME_S),
        cold_s=_number(fields.get('warmup_s') or 0.0, 0, MAX_TIME_S),
        cold_per_s=_number(fields.get('warmup_per_s') or 0.0, 0, MAX_COUNT),
    )


def _decode_limits(fields):
    default = configuration.Limits()
    return configuration.Limits(
        max_header_bytes=_integer(
            fields.get('max_header_bytes') or default.max_header_bytes,
            1,
            MAX_BYTES,
        ),
        max_body_bytes=_integer(
            fields.get('max_body_bytes') or default.max_body_bytes,
            1,
            MAX_BYTES,
        ),
        header_timeout_s=_number(
            fields.get('header_timeout_s') or default.header_timeout_s,
            0,
            MAX_TIME_S,
        ),
        idle_timeout_s=_number(
            fields.get('idle_timeout_s') or default.idle_timeout_s,
            0,
            MAX_TIME_S,
        ),
    )


class ServerDecoder:
    """Decode server entries and log each malformed one once."""

    def __init__(self):
        self._reported_keys = set()

    def decode(self, rows, services=None) -> list[registry.Server]:
        """Return the servers that the rows describe.

        :param rows: Rows of :data:`SERVER_TABLE`.
        :param services: Names of the known services, None to accept any.
        """
        return [
            server
            for row in rows
            if (server := self._decode_row(row, services)) is not None
        ]

    def _decode_row(self, row, services):
        try:
            return _decode_server(row.key, orjson.loads(row.value), services)
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
        ) as exc:
            self._report(row.key, exc)
            return None

    def _report(self, key, exc):
        if (
            key in self._reported_keys
            or len(self._reported_keys) >= MAX_REPORTED_ENTRIES
        ):
            return
        self._reported_keys.add(key)
        LOG.warning(
            'platform: Skipped the malformed entry of server %.80s: %.200s.',
            key,
            repr(exc),
        )


def _decode_server(server_id, entry, services):
    ip, _, port = entry['address'].rpartition(':')
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f'expected IP:PORT, found {entry["address"]!r:.80}')
    service = entry['service']
    _check_unused_fields(entry)
    warmup_s = entry['warmup_left_s']
    if field_checks.is_number(warmup_s) and -MAX_LATE_WARMUP_S <= warmup_s < 0:
        # The server wrote the entry just after its warm-up had ended.
        warmup_s = 0
    server = registry.Server(
        server_id=server_id,
        born_ms=entry.get('born', 0),
        service=service,
        address=(ip, int(port)),
        data_centre=entry['zone'],
        slots=entry['slots'],
        is_leaving=_IS_LEAVING_BY_STATE[entry['state']],
        warmup_s=warmup_s,
    )
    problem = registry.find_problem(server)
    if problem is None and services is not None and service not in services:
        problem = f'unknown service {service!r}'
    if problem is not None:
        raise ValueError(problem)
    return server


def _check_unused_fields(entry):
    """Check the fields of an entry that are not part of the server.

    An entry that lacks them or has them of another type was not written by
    a server, whatever address it names.

    :raises KeyError: A field is missing.
    :raises ValueError: A field is of another type.
    """
    if len(_text(entry['version'])) > MAX_SOFTWARE_VERSION_CHARACTERS:
        raise ValueError('expected a shorter version')
    # The number of the entry, counted from the server's start.
    if not field_checks.is_integer(entry['seq']) or entry['seq'] < 0:
        raise ValueError(f'expected a counter, found {entry["seq"]!r:.40}')
