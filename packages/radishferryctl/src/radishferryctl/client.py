"""Send requests to the administration listeners of hosts."""

from __future__ import annotations

import dataclasses
import http.client
import json

from radishferry import field_checks
from radishferryctl import errors

#: Timeout of a request, in seconds. A host answers a submission within 15 s.
REQUEST_TIMEOUT_S = 20.0
#: Maximum number of bytes read of a response body.
MAX_RESPONSE_BYTES = 67108864
#: Default administration address of a host on the same machine.
DEFAULT_HOST = '127.0.0.1:7903'

ExitCode = errors.ExitCode


class UnreachableError(Exception):
    """Report that a host gave no complete response.

    :ivar is_sent: Whether the request may have reached the host.
    """

    def __init__(self, message, *, is_sent):
        super().__init__(message)
        self.is_sent = is_sent


@dataclasses.dataclass(frozen=True)
class Response:
    """Represent the response of a host.

    :ivar host: Address of the host.
    :ivar status: HTTP status.
    :ivar body: Complete body.
    """

    host: str
    status: int
    body: bytes

    def json(self) -> dict:
        """Return the JSON object of the body.

        :raises CommandError: The body is not a JSON object.
        """
        try:
            value = json.loads(self.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise errors.CommandError(
                ExitCode.REFUSED,
                f'{self.host} answered {self.status} without a JSON object',
                'check that the address is the [listen] admin address',
            )
        return value


class Client:
    """Send requests to hosts, with the token of the operator."""

    def __init__(self, hosts, token, timeout_s=REQUEST_TIMEOUT_S):
        """Check the arguments.

        :param hosts: Addresses as ``ip:port``; empty for
            :data:`DEFAULT_HOST`.
        :param token: Administration token.
        :param timeout_s: Timeout of each request, in seconds.
        :raises CommandError: An argument is not valid.
        """
        self.hosts = tuple(hosts) or (DEFAULT_HOST,)
        self._timeout_s = timeout_s
        for host in self.hosts:
            problem = field_checks.check_address(host)
            if problem:
                raise errors.CommandError(
                    ExitCode.BAD_INPUT, f'--host "{host}": {problem}'
                )
        is_printable = all('!' <= character <= '~' for character in token)
        if not token or not is_printable:
            raise errors.CommandError(
                ExitCode.BAD_INPUT,
                'the administration token is missing or not printable ASCII',
                'give --token or set RADISHFERRY_TOKEN to [admin] token of '
                'the settings of the host',
            )
        self._token = token

    def request_any(self, method, path, body=None) -> Response:
        """Return the response of the first reachable host.

        A change that may have reached a host is not sent to another one.

        :raises CommandError: No host answered, or the token is wrong.
        """
        failures = []
        for host in self.hosts:
            try:
                return self.request(host, method, path, body)
            except UnreachableError as exc:
                failures.append(str(exc))
                if exc.is_sent and method != 'GET':
                    break
        raise errors.CommandError(
            ExitCode.UNREACHABLE,
            '; '.join(failures),
            'check the address and that radishferryd runs; before a repeat '
            'of a change look at "radishferryctl status"',
        )

    def request(self, host, method, path, body=None) -> Response:
        """Return the response of a host.

        :raises UnreachableError: The host gave no complete response.
        :raises CommandError: The token is wrong.
        """
        ip, _, port = host.rpartition(':')
        connection = http.client.HTTPConnection(
            ip, int(port), timeout=self._timeout_s
        )
        is_sent = False
        try:
            connection.connect()
            is_sent = True
            headers = {'Authorization': f'Bearer {self._token}'}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read(MAX_RESPONSE_BYTES)
        except (OSError, http.client.HTTPException) as exc:
            reason = str(exc) or type(exc).__name__
            message = f'{host} cannot be reached: {reason}'
            raise UnreachableError(message, is_sent=is_sent) from exc
        finally:
            connection.close()
        if response.status == http.HTTPStatus.UNAUTHORIZED:
            raise errors.CommandError(
                ExitCode.BAD_INPUT,
                f'{host} does not accept the token',
                'give the [admin] token of the settings of this host',
            )
        return Response(host, response.status, content)
