"""Implement the commands that show the state of hosts."""

from __future__ import annotations

import os

from radishferryctl import client as client_module
from radishferryctl import errors
from radishferryctl import output

ExitCode = errors.ExitCode
#: Environment variable that holds the administration token.
TOKEN_VARIABLE = 'RADISHFERRY_TOKEN'


def make_client(
    host, token, timeout_s=client_module.REQUEST_TIMEOUT_S
) -> client_module.Client:
    """Return a client for the options of a command."""
    token = token or os.environ.get(TOKEN_VARIABLE, '')
    return client_module.Client(host, token, timeout_s)


def expect(response, *statuses) -> client_module.Response:
    """Return the response if it has one of the expected statuses.

    :raises CommandError: It has another status.
    """
    if response.status in statuses:
        return response
    detail = response.json().get('error')
    raise errors.CommandError(
        ExitCode.REFUSED,
        f'{response.host} answered {response.status}: {detail}',
    )


def status(*, host: list[str] = (), token: str = '', json: bool = False):
    """Show a summary of the state of hosts.

    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; may be given more than once.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    client = make_client(host, token)
    found, failures = {}, []
    for address in client.hosts:
        try:
            response = client.request(address, 'GET', '/v1/status')
            found[address] = expect(response, 200).json()
        except client_module.UnreachableError as exc:
            failures.append(str(exc))
    if json:
        output.print_json(found)
    else:
        rows = [{'address': a, **value} for a, value in found.items()]
        if len(rows) == 1:
            output.print_fields(rows[0])
        else:
            output.print_rows(rows, 'no host answered')
    if failures:
        raise errors.CommandError(
            ExitCode.UNREACHABLE,
            '; '.join(failures),
            'check the address and that radishferryd runs',
        )


def servers(*, host: list[str] = (), token: str = '', json: bool = False):
    """List the backend servers and their coordinators.

    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    found = _dump(host, token).get('servers', [])
    output.print_list(found, json, 'no servers')


def ranges(
    service: str,
    *,
    host: list[str] = (),
    token: str = '',
    json: bool = False,
):
    """List the ranges of a service and their owners.

    :param service: Name of the service.
    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    found = _entries_of_service(_dump(host, token), 'ranges', service)
    output.print_list(found, json, 'no ranges')


def hot_keys(
    service: str,
    *,
    host: list[str] = (),
    token: str = '',
    json: bool = False,
):
    """List the hot keys of a service, which have assignments of their own.

    :param service: Name of the service.
    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    found = _entries_of_service(_dump(host, token), 'hot_keys', service)
    output.print_list(found, json, 'no hot keys')


def dump(*, host: list[str] = (), token: str = ''):
    """Print the state of a host as JSON.

    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    """
    output.print_json(_dump(host, token))


def poison(*, host: list[str] = (), token: str = '', json: bool = False):
    """List requests that are refused because they crashed servers.

    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    response = make_client(host, token).request_any('GET', '/v1/poison')
    found = expect(response, 200).json().get('poison', [])
    output.print_list(found, json, 'no poison requests')


def _dump(host, token):
    response = make_client(host, token).request_any('GET', '/v1/dump')
    return expect(response, 200).json()


def _entries_of_service(state, part, service):
    by_service = state.get(part, {})
    if service not in by_service:
        known = ', '.join(sorted(by_service)) or 'none'
        raise errors.CommandError(
            ExitCode.BAD_INPUT,
            f'there is no service "{service}"; the host knows: {known}',
        )
    return by_service[service]
