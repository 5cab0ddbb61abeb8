"""Inspect the platform's store and the settings of hosts in direct mode."""

from __future__ import annotations

import collections
import pathlib

from radishferry import findings
from radishferry.direct import leadership
from radishferryctl import errors
from radishferryctl import input_file
from radishferryctl import output
from radishferryctl import store_reader
from radishferryd.platform import configuration_check
from radishferryd.platform import documents
from radishferryd.router import settings as settings_module
from radishferryd.router import store_reader as router_store_reader

ExitCode = errors.ExitCode


def check_configuration(file: pathlib.Path, *, json: bool = False):
    """Check a configuration of the platform without any host.

    :param file: The document, as operators write it into the store.
    :param json: Print JSON.
    """
    _report_findings(
        file, configuration_check.check(input_file.read(file)), json
    )


def check_settings(file: pathlib.Path, *, json: bool = False):
    """Check the settings of a host in direct mode.

    :param file: The INI file.
    :param json: Print JSON.
    """
    try:
        settings_module.load(file)
    except findings.FindingsError as exc:
        found = exc.findings
    else:
        found = ()
    _report_findings(file, found, json)


def store_status(store: str, *, json: bool = False):
    """Show the configuration, the granting host, and server and range counts.

    :param store: Address of the store as ip:port.
    :param json: Print JSON.
    """
    tables = store_reader.read(
        store,
        (
            documents.OPERATOR_TABLE,
            documents.SERVER_TABLE,
            router_store_reader.OWN_TABLE,
        ),
    )
    configuration = _decode_configuration(tables[documents.OPERATOR_TABLE])
    servers = _decode_servers(tables[documents.SERVER_TABLE])
    own_table = tables[router_store_reader.OWN_TABLE]
    term = _decode_term(own_table)
    found = {
        'configuration': configuration.version if configuration else None,
        'routes': len(configuration.routes) if configuration else None,
        'granting_host': term.host if term else None,
        'granting_address': term.address if term else None,
        'term_left_s': round(term.until_store_s - own_table.store_clock_s, 2)
        if term
        else None,
        'servers': collections.Counter(s.service for s in servers),
        'leaving': sorted(s.server_id for s in servers if s.is_leaving),
        'ranges': {
            service: len(row.segments)
            for service, row, _ in router_store_reader.key_rows_of(
                own_table.rows
            )
        },
    }
    if json:
        output.print_json(found)
    else:
        output.print_fields(found)


def store_servers(store: str, *, json: bool = False):
    """List the servers that are registered in the store.

    :param store: Address of the store as ip:port.
    :param json: Print JSON.
    """
    tables = store_reader.read(store, (documents.SERVER_TABLE,))
    found = [
        {
            'server': server.server_id,
            'service': server.service,
            'address': '{}:{}'.format(*server.address),
            'data_centre': server.data_centre,
            'slots': server.slots,
            'born_ms': server.born_ms,
            'is_leaving': server.is_leaving,
        }
        for server in _decode_servers(tables[documents.SERVER_TABLE])
    ]
    output.print_list(found, json, 'no servers')


def store_ranges(store: str, *, json: bool = False):
    """List the ranges of keys with their owners.

    The field "previous" names the servers that may still hold the range.

    :param store: Address of the store as ip:port.
    :param json: Print JSON.
    """
    tables = store_reader.read(store, (router_store_reader.OWN_TABLE,))
    found = [
        {
            'service': service,
            'start': segment.start,
            'end': segment.end,
            'owner': segment.owner[0],
            'born_ms': segment.owner[1],
            'fence': segment.fence,
            'previous': ' '.join(
                incarnation[0] for incarnation in segment.previous
            ),
        }
        for service, row, _ in router_store_reader.key_rows_of(
            tables[router_store_reader.OWN_TABLE].rows
        )
        for segment in row.segments
    ]
    output.print_list(found, json, 'no ranges')


def _decode_configuration(rows):
    row = next(
        (r for r in rows.rows if r.key == documents.CONFIGURATION_KEY), None
    )
    if row is None or row.is_deleted:
        return None
    try:
        return documents.decode_configuration(row.value)
    except documents.DocumentError as exc:
        raise errors.CommandError(
            ExitCode.REFUSED,
            str(exc),
            'save the row to a file and check it with '
            '"radishferryctl check-configuration"',
        ) from exc


def _decode_servers(rows):
    return documents.ServerDecoder().decode(rows.rows)


def _decode_term(rows):
    row = next(
        (r for r in rows.rows if r.key == router_store_reader.TERM_KEY), None
    )
    return leadership.decode(row.value) if row is not None else None


def _report_findings(file, found, json):
    if json:
        output.print_json(input_file.findings_to_json(found))
    elif not found:
        print(f'{file}: valid')
    if found:
        raise input_file.invalid_file_error(file, found)
