"""Decode the documents that operators and servers keep in the store."""

from __future__ import annotations

import logging

import orjson

from radishferry.direct import configuration
from radishferry.direct import registry

LOG = logging.getLogger(__name__)

#: Table of the operators' documents; read-only for this system.
OPERATOR_TABLE = 'op'
#: Key of the configuration in force.
CONFIGURATION_KEY = 'config'
#: Table in which servers register themselves; read-only for this system.
SERVER_TABLE = 'servers'

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
            version=int(document['version'], 16),
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
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise DocumentError(f'configuration: {exc!r}') from exc


def _decode_route(name, fields):
    split = fields.get('traffic_split')
    # A route names either one service or a list of weighted services.
    parts = (
        tuple(
            configuration.Part(part['service'], float(part['weight']))
            for part in split
        )
        if split
        else (configuration.Part(fields['service'], 1.0),)
    )
    timeout_s = float(fields.get('timeout_s') or 60.0)
    return configuration.Route(
        name=name,
        virtual_host=fields['host'].lower(),
        prefix=fields['prefix'],
        kind=configuration.Kind(fields['kind']),
        parts=parts,
        timeout_s=timeout_s,
        target_latency_s=float(fields.get('target_latency_s') or timeout_s),
        max_attempts=int(fields.get('max_attempts') or 1),
        priority=int(fields.get('priority') or 0),
    )


def _decode_service(name, fields):
    return configuration.Service(
        name=name,
        health_path=fields.get('health_path') or '/health',
        max_connections=int(fields.get('max_connections') or 64),
        is_keyed=bool(fields.get('sharded')),
        warm_s=float(fields.get('warm_s') or 0.0),
    )


def _decode_limits(fields):
    default = configuration.Limits()
    return configuration.Limits(
        max_header_bytes=int(
            fields.get('max_header_bytes') or default.max_header_bytes
        ),
        max_body_bytes=int(
            fields.get('max_body_bytes') or default.max_body_bytes
        ),
        header_timeout_s=float(
            fields.get('header_timeout_s') or default.header_timeout_s
        ),
        idle_timeout_s=float(
            fields.get('idle_timeout_s') or default.idle_timeout_s
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
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            if row.key not in self._reported_keys:
                self._reported_keys.add(row.key)
                LOG.warning(
                    'platform: Skipped the malformed entry of server %s: %r.',
                    row.key,
                    exc,
                )
            return None


def _decode_server(server_id, entry, services):
    ip, _, port = entry['address'].rpartition(':')
    slots = entry['slots']
    born = entry.get('born', 0)
    warmup = entry.get('warmup_left_s', 0)
    service = entry['service']
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
        raise ValueError(
            f'expected slots to be an integer of at least 1, found {slots!r}'
        )
    if not isinstance(born, int) or isinstance(born, bool):
        raise ValueError(f'expected born to be an integer, found {born!r}')
    if not isinstance(service, str) or not isinstance(entry['zone'], str):
        raise ValueError('service and zone must be strings')
    if services is not None and service not in services:
        raise ValueError(f'unknown service {service!r}')
    if not isinstance(warmup, (int, float)):
        raise ValueError(
            f'expected warmup_left_s to be a number, found {warmup!r}'
        )
    if not ip or ip.count('.') != 3:
        raise ValueError('address is not IP:PORT')
    return registry.Server(
        server_id=server_id,
        born_ms=born,
        service=service,
        address=(ip, int(port)),
        data_centre=entry['zone'],
        slots=slots,
        is_leaving=_IS_LEAVING_BY_STATE[entry['state']],
        warmup_s=float(warmup),
    )
