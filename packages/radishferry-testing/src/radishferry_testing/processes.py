"""Start the processes of a test and stop exactly these."""

from __future__ import annotations

import configparser
import contextlib
import dataclasses
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import time

from radishferry_testing import http_io
from radishferry_testing import process_specs

#: Time limit for a process to become ready, in seconds. It is long because
#: tests must not depend on the speed of the machine.
READY_TIMEOUT_S = 60.0

#: Time limit for a process to exit after SIGTERM, in seconds.
STOP_TIMEOUT_S = 10.0

_POLL_INTERVAL_S = 0.02
_PROBE_TIMEOUT_S = 2.0


class NotReadyError(Exception):
    """Report a process that exited or did not become ready in time."""


@dataclasses.dataclass
class _Process:
    """Hold a process and its allocated ports."""

    spec: process_specs.ProcessSpec
    ports: dict[str, int]
    popen: subprocess.Popen | None = None


class Processes:
    """Manage the processes of a test by name.

    :param directory: Directory for settings and outputs.
    """

    def __init__(self, directory):
        self._directory = pathlib.Path(directory)
        self._processes = {}

    def add(self, *specs):
        """Allocate the ports of processes without starting them.

        All ports are therefore known before any settings are written.
        """
        requested = [(spec, port) for spec in specs for port in spec.ports]
        numbers = process_specs.free_ports(len(requested))
        for spec in specs:
            self._processes[spec.name] = _Process(spec, {})
        for (spec, port), number in zip(requested, numbers, strict=True):
            self._processes[spec.name].ports[port] = number

    def port(self, name, port='port') -> int:
        """Return an allocated port."""
        return self._processes[name].ports[port]

    def address(self, name, port='port') -> str:
        """Return an allocated address as ``ip:port``."""
        return f'{http_io.LOOPBACK}:{self.port(name, port)}'

    def pid(self, name) -> int:
        """Return the process id of a started process."""
        return self._processes[name].popen.pid

    def output(self, name) -> str:
        """Return what a process has written to stdout and stderr."""
        path = self._directory / f'{name}.out'
        return path.read_text(errors='replace') if path.exists() else ''

    def is_running(self, name) -> bool:
        """Return whether a process was started and has not exited."""
        popen = self._processes[name].popen
        return popen is not None and popen.poll() is None

    def start(self, *names, settings=None):
        """Start processes, or restart them on the same ports.

        :param settings: New INI sections for all of them, or None.
        """
        for name in names:
            process = self._processes[name]
            if self.is_running(name):
                raise RuntimeError(f'process {name} is already running')
            if settings is not None:
                process.spec = dataclasses.replace(
                    process.spec, settings=settings
                )
            self._spawn(process)

    def wait_ready(self, *names, timeout_s=READY_TIMEOUT_S):
        """Wait until processes are ready.

        :raises NotReadyError: One exited or was not ready within the timeout.
        """
        deadline = time.monotonic() + timeout_s
        for name in names:
            while not self._is_ready(self._processes[name]):
                if not self.is_running(name) or time.monotonic() > deadline:
                    raise NotReadyError(
                        f'process {name} is not ready; output:\n'
                        f'{self.output(name)}'
                    )
                time.sleep(_POLL_INTERVAL_S)

    def wait_ended(self, name, timeout_s=READY_TIMEOUT_S) -> int:
        """Wait until a process exits by itself and return its exit status.

        :raises subprocess.TimeoutExpired: It still runs after the timeout.
        """
        return self._processes[name].popen.wait(timeout_s)

    def kill(self, name):
        """Kill a process and wait until it has exited."""
        popen = self._processes[name].popen
        popen.kill()
        popen.wait()

    def stop(self, name, timeout_s=STOP_TIMEOUT_S) -> int:
        """Stop a process with SIGTERM, after the timeout with SIGKILL.

        :returns: Its exit status; negative for a signal.
        """
        popen = self._processes[name].popen
        # A paused process handles SIGTERM only after it is resumed.
        popen.send_signal(signal.SIGCONT)
        popen.terminate()
        try:
            return popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            popen.kill()
            return popen.wait()

    def signal(self, name, number):
        """Send a signal to a process without waiting for its exit."""
        self._processes[name].popen.send_signal(number)

    def pause(self, name):
        """Pause a process with SIGSTOP."""
        self._processes[name].popen.send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a process paused with SIGSTOP."""
        self._processes[name].popen.send_signal(signal.SIGCONT)

    def restart(self, name):
        """Kill a process, restart it on the same ports and wait for it."""
        if self.is_running(name):
            self.kill(name)
        self.start(name)
        self.wait_ready(name)

    def close(self):
        """Stop all processes."""
        running = [name for name in self._processes if self.is_running(name)]
        for name in running:
            popen = self._processes[name].popen
            # A paused process handles SIGTERM only after it is resumed.
            popen.send_signal(signal.SIGCONT)
            popen.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name in running:
            self.stop(name, max(0.0, deadline - time.monotonic()))

    def _spawn(self, process):
        spec = process.spec
        placeholders = {
            f'{name}.{key}': str(port)
            for name, other in self._processes.items()
            for key, port in other.ports.items()
        }
        placeholders.update(
            (key, str(port)) for key, port in process.ports.items()
        )
        if spec.settings is not None:
            path = self._directory / f'{spec.name}.ini'
            _write_settings(path, spec.settings, placeholders)
            placeholders['settings'] = str(path)
        if spec.config is not None:
            path = self._directory / f'{spec.name}.json'
            path.write_text(_substitute(json.dumps(spec.config), placeholders))
            placeholders['config'] = str(path)
        command = [
            _substitute(argument, placeholders) for argument in spec.command
        ]
        with open(self._directory / f'{spec.name}.out', 'ab') as out:
            process.popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def _is_ready(self, process):
        port, _, path = process.spec.ready.partition('/')
        number = process.ports[port]
        try:
            if path:
                return _get_status(number, f'/{path}') == 200
            address = (http_io.LOOPBACK, number)
            socket.create_connection(address, _PROBE_TIMEOUT_S).close()
        except (OSError, http.client.HTTPException):
            return False
        return True


@contextlib.contextmanager
def running(directory, specs):
    """Run processes, wait until they are ready and stop them on exit.

    :param directory: Directory for settings and outputs.
    :param specs: List of :class:`process_specs.ProcessSpec`, in the order in
        which they are started.
    :raises NotReadyError: One did not become ready.
    """
    processes = Processes(directory)
    processes.add(*specs)
    try:
        for spec in specs:
            processes.start(spec.name)
        processes.wait_ready(*(spec.name for spec in specs))
        yield processes
    finally:
        processes.close()


def _substitute(text, placeholders):
    for name, value in placeholders.items():
        text = text.replace('{' + name + '}', value)
    return text


def _write_settings(path, settings, placeholders):
    parser = configparser.ConfigParser(interpolation=None)
    for section, options in settings.items():
        parser[section] = {
            option: _substitute(str(value), placeholders)
            for option, value in options.items()
        }
    with open(path, 'w', encoding='utf-8') as file:
        parser.write(file)


def _get_status(port, path):
    connection = http.client.HTTPConnection(
        http_io.LOOPBACK, port, timeout=_PROBE_TIMEOUT_S
    )
    try:
        connection.request('GET', path)
        return connection.getresponse().status
    finally:
        connection.close()
