"""Check, submit and follow manifests, and stop hosts."""

from __future__ import annotations

import pathlib
import time

from radishferry import findings
from radishferry import manifest_diff
from radishferry import manifest_parser
from radishferryctl import client as client_module
from radishferryctl import commands
from radishferryctl import errors
from radishferryctl import input_file
from radishferryctl import output

ExitCode = errors.ExitCode

#: Interval between polls of the hosts in ``follow``, in seconds.
_POLL_INTERVAL_S = 0.1
#: Timeout of one poll of a host, in seconds. It is short so that a host that
#: does not answer does not delay the polls of the others.
_POLL_TIMEOUT_S = 2.0
_MAX_TIMEOUT_S = 86400


def check(file: pathlib.Path, *, json: bool = False):
    """Check a manifest without any host.

    :param file: The manifest document.
    :param json: Print JSON.
    """
    _, manifest = _read(file)
    if json:
        output.print_json({'version': manifest.version, 'findings': []})
    else:
        print(f'{file}: valid, version {manifest.version}')


def submit(
    file: pathlib.Path,
    *,
    host: list[str] = (),
    token: str = '',
    json: bool = False,
):
    """Check a manifest and put it in force.

    :param file: The manifest document.
    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    text, _ = _read(file)
    client = commands.make_client(host, token)
    response = client.request_any('POST', '/v1/manifest', text)
    value = response.json()
    if response.status != 200:
        raise _submit_error(response, value)
    if json:
        output.print_json(value)
    else:
        print('accepted, version {}'.format(value.get('version')))


def diff(
    file: pathlib.Path,
    *,
    host: list[str] = (),
    token: str = '',
    json: bool = False,
):
    """Compare a manifest with the one in force.

    :param file: The manifest document.
    :param host: Administration address as ip:port, by default
        127.0.0.1:7903; the first that can be reached is asked.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    _, new = _read(file)
    response = commands.make_client(host, token).request_any(
        'GET', '/v1/manifest'
    )
    commands.expect(response, 200, 404)
    old = (
        _parse_manifest_in_force(response) if response.status == 200 else None
    )
    changes = manifest_diff.diff(old, new)
    found = manifest_diff.transition_findings(old, new)
    if json:
        rows = [{'place': c.place, 'text': c.text} for c in changes]
        output.print_json(
            {'changes': rows, 'findings': input_file.findings_to_json(found)}
        )
    else:
        for change in changes:
            print(change)
        if not changes:
            print('no changes')
    if found:
        raise errors.CommandError(
            ExitCode.REFUSED,
            input_file.format_findings(
                'the manifest would be refused:', found
            ),
        )


def follow(
    version: int,
    *,
    hosts: list[str],
    token: str = '',
    timeout: float = 10.0,
    json: bool = False,
):
    """Wait until a manifest version, or a later one, is in force.

    :param version: The version.
    :param hosts: Administration addresses as ip:port.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param timeout: Seconds to wait.
    :param json: Print JSON.
    """
    if not hosts:
        raise errors.CommandError(
            ExitCode.BAD_INPUT, 'give the addresses of all hosts with --hosts'
        )
    if not 0 < timeout < _MAX_TIMEOUT_S:
        raise errors.CommandError(
            ExitCode.BAD_INPUT,
            f'expected a timeout above 0 and below {_MAX_TIMEOUT_S} s',
        )
    client = commands.make_client(hosts, token, _POLL_TIMEOUT_S)
    versions = _wait_for_version(client, version, time.monotonic() + timeout)
    behind = [h for h, v in versions.items() if (v or 0) < version]
    if json:
        output.print_json({'version': version, 'hosts': versions})
    else:
        rows = [{'address': h, 'version': v} for h, v in versions.items()]
        output.print_rows(rows, 'no hosts')
    if behind:
        names = ', '.join(behind)
        raise errors.CommandError(
            ExitCode.TIMEOUT,
            f'version {version} is not in force after {timeout:g} s at: '
            f'{names}',
            'look at "radishferryctl status" and the log of these hosts',
        )


def stop(*, host: list[str] = (), token: str = '', json: bool = False):
    """Stop one host gracefully: its requests in flight are finished.

    :param host: Administration address as ip:port, by default
        127.0.0.1:7903.
    :param token: Administration token, by default RADISHFERRY_TOKEN.
    :param json: Print JSON.
    """
    if len(host) > 1:
        raise errors.CommandError(
            ExitCode.BAD_INPUT, 'give only one --host to stop'
        )
    response = commands.make_client(host, token).request_any(
        'POST', '/v1/stop'
    )
    value = commands.expect(response, 200, 202).json()
    if json:
        output.print_json(value)
    else:
        print(f'{response.host} stops')


def _read(file):
    text = input_file.read(file)
    try:
        return text, manifest_parser.parse(text)
    except findings.FindingsError as exc:
        raise input_file.invalid_file_error(file, exc.findings) from exc


def _parse_manifest_in_force(response):
    try:
        return manifest_parser.parse(response.body)
    except findings.FindingsError as exc:
        raise errors.CommandError(
            ExitCode.REFUSED,
            input_file.format_findings(
                f'this program cannot read the manifest in force at '
                f'{response.host}:',
                exc.findings,
            ),
            'use the radishferryctl of the version that the host runs',
        ) from exc


def _submit_error(response, value):
    detail = value.get('error', f'status {response.status}')
    if response.status == 409:
        version = value.get('version')
        return errors.CommandError(
            ExitCode.REFUSED,
            f'{detail}; version {version} is in force',
            'compare with "radishferryctl diff" and submit a higher version',
        )
    if response.status == 422:
        found = [
            findings.Finding(f['place'], f['message'])
            for f in value.get('findings', ())
        ]
        return errors.CommandError(
            ExitCode.REFUSED,
            input_file.format_findings(detail, found),
            'correct these places',
        )
    if response.status == 503:
        return errors.CommandError(
            ExitCode.UNREACHABLE, detail, 'submit it again later'
        )
    if response.status == 504:
        return errors.CommandError(
            ExitCode.TIMEOUT,
            detail,
            'it may be in force all the same: look at "radishferryctl '
            'status" before a repeat',
        )
    return errors.CommandError(ExitCode.REFUSED, detail)


def _wait_for_version(client, version, deadline):
    versions = dict.fromkeys(client.hosts)
    while True:
        for host in client.hosts:
            if (versions[host] or 0) < version:
                versions[host] = _fetch_version(client, host)
            if time.monotonic() >= deadline:
                return versions
        if all((v or 0) >= version for v in versions.values()):
            return versions
        time.sleep(_POLL_INTERVAL_S)


def _fetch_version(client, host):
    try:
        response = client.request(host, 'GET', '/v1/status')
    except client_module.UnreachableError:
        return None
    if response.status != 200:
        return None
    version = response.json().get('manifest_version')
    return version if isinstance(version, int) else None
