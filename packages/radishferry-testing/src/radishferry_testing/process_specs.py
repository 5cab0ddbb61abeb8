"""Define the processes of a test."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import random
import socket
import sys

from radishferry_testing import http_io

#: Range of the ports to allocate. It is below the ephemeral ports of Linux
#: (from 32768): an outgoing connection could otherwise take the port of a
#: process that is being restarted.
_FIRST_PORT, _LAST_PORT = 12000, 32000


@dataclasses.dataclass(frozen=True)
class ProcessSpec:
    """Define a process.

    :ivar command: Arguments; ``{PORT}`` stands for a port of the process,
        ``{PROCESS.PORT}`` for that of another, ``{settings}`` for the path of
        the settings file and ``{config}`` for that of the JSON file.
    :ivar ports: Names of ports to allocate.
    :ivar settings: INI sections, each a mapping of option to value, with the
        same placeholders; None writes no file.
    :ivar config: JSON value with the same placeholders; None writes no file.
    :ivar ready: ``PORT_NAME/path`` that answers 200 when ready; a name alone
        is ready when it accepts connections.
    """

    name: str
    command: tuple[str, ...]
    ports: tuple[str, ...] = ('port',)
    settings: dict | None = None
    config: dict | None = None
    ready: str = 'port'


def platform(name='platform') -> ProcessSpec:
    """Define a platform stand-in."""
    return ProcessSpec(name, _module('platform', '--port', '{port}'))


def server(name, log, *arguments) -> ProcessSpec:
    """Define a backend server stand-in.

    :param log: Path of its run log.
    :param arguments: Further arguments of the program.
    """
    return ProcessSpec(
        name,
        _module(
            'server',
            *('--name', name, '--port', '{port}', '--log', str(log)),
            *arguments,
        ),
    )


def entry_host(name, settings, ports=('caller', 'peer', 'admin'), policy=()):
    """Define an entry host that is ready when ``/ready`` answers 200.

    :param settings: See :class:`ProcessSpec`.
    :param ports: Names of ports; ``admin`` is polled.
    :param policy: Arguments of the module ``baseline_host``, which then runs
        instead of ``radishferryd``; empty runs ``radishferryd``.
    """
    program = (str(pathlib.Path(sys.executable).with_name('radishferryd')),)
    if policy:
        program = _module('baseline_host', *policy)
    command = (*program, '--settings', '{settings}')
    return ProcessSpec(name, command, ports, settings, ready='admin/ready')


def direct_host(name, store, grace_s=6.0):
    """Define a host that sends requests to servers directly.

    :param store: Placeholder of the port of the store.
    :param float grace_s: Time limit of a planned stop, in seconds.
    """
    address = f'{http_io.LOOPBACK}:{{}}'
    listen = {
        option: address.format('{' + option + '}')
        for option in ('callers', 'ready', 'links', 'relays', 'metrics')
    }
    settings = {
        'host': {'name': name, 'data_centre': 'a'},
        'listen': listen,
        'platform': {'address': address.format(store)},
        'retry': {'ratio': '0.2', 'slack': '64', 'window_s': '10'},
        'grants': {'hold_max_s': '10'},
        'stop': {'grace_s': str(grace_s)},
    }
    command = (sys.executable, '-m', 'radishferryd.router', '{settings}')
    return ProcessSpec(
        name, command, tuple(listen), settings, ready='ready/api/ready'
    )


def links(name, forwarders) -> ProcessSpec:
    """Define link forwarders; the port ``control`` takes ``POST /links``.

    :param forwarders: Tuples of link name, port name and target, which is
        ``ip:port`` or contains placeholders.
    """
    config = {
        'control_port': '{control}',
        'forwarders': [
            {'link': link, 'port': '{' + port + '}', 'target': target}
            for link, port, target in forwarders
        ],
    }
    return ProcessSpec(
        name,
        _module('links', '--config', '{config}'),
        ('control', *(port for _, port, _ in forwarders)),
        config=config,
        ready='control/links',
    )


def free_ports(count) -> list[int]:
    """Return distinct free loopback ports."""
    found = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = random.randint(_FIRST_PORT, _LAST_PORT)
            sock = stack.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((http_io.LOOPBACK, port))
                sock.listen()
            except OSError:
                continue
            found.append(port)
    return found


def _module(name, *arguments):
    module = f'radishferry_testing.{name}'
    return (sys.executable, '-m', module, *arguments)
