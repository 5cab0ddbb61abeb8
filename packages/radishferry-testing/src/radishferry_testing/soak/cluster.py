"""Run the processes of a soak test and inject faults from outside."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import itertools
import json
import pathlib
import signal
import sys
import threading
import time

from radishferry_testing import process_specs
from radishferry_testing import processes as processes_module
from radishferry_testing.soak import plan

#: Grace period of a planned stop in the settings of the hosts, in seconds.
GRACE_S = 6.0
#: Timeout of the routes, in seconds; longer than any work of a request.
ROUTE_TIMEOUT_S = 10.0
#: Age in seconds of the copy from which a drill restores the store.
RESTORE_AGE_S = 3.0
#: Delay that a slow link adds, in milliseconds.
DELAY_MS = 250

#: Limit that an overloaded server names, in requests a second: a fraction of
#: its load in a soak test.
SERVER_LIMIT_PER_S = 4.0

#: Failure modes of the simulated servers by kind of fault.
_FAILURE_MODES = {
    'server-break-off': 'reset',
    'server-shed': 'shed',
    'server-foreign-answer': 'extra',
}


@dataclasses.dataclass(frozen=True)
class Stop:
    """Describe a planned stop of a host.

    :ivar signalled_at: Monotonic time of SIGTERM in seconds, as ``ended_at``.
    :ivar exit_status: Exit status of the process.
    :ivar has_started: Whether the host had started before.
    """

    host: str
    signalled_at: float
    ended_at: float
    exit_status: int
    has_started: bool = True

    @property
    def took_s(self) -> float:
        """Return its duration, in seconds."""
        return self.ended_at - self.signalled_at


def call(port, method, path, body=None, timeout_s=10.0):
    """Send one request to a loopback port and return status and body.

    :raises OSError: No answer came.
    """
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=timeout_s
    )
    with contextlib.closing(connection):
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content)
        answer = connection.getresponse()
        return answer.status, answer.read()


class Cluster:
    """Run the processes, and record the faults that are injected into them.

    :ivar fault_log: Tuples of monotonic time, ``begins`` or ``ends``, and the
        fault.
    :ivar configurations: Tuples of the monotonic time at which the store had a
        configuration, and its version.
    :ivar stops: :class:`Stop` entries.
    """

    def __init__(self, processes, directory):
        self.processes = processes
        self.fault_log = []
        self.configurations = []
        self.stops = []
        self._directory = pathlib.Path(directory)
        self._versions = itertools.count(2)
        self._lock = threading.Lock()
        self._locks = {name: threading.Lock() for name in plan.HOSTS}

    def output(self, name) -> str:
        """Return the whole output of a process."""
        return self.processes.output(name)

    def call_platform(self, name, **arguments):
        """Call a test path of the simulated store and servers."""
        port = self.processes.port('platform')
        status, body = call(port, 'POST', f'/test/{name}', arguments)
        if status != 200:
            raise RuntimeError(f'/test/{name} answered {status}')
        return json.loads(body)

    def configure(self):
        """Write the next version of the configuration."""
        with self._lock:
            version = next(self._versions)
        self.call_platform(
            'configure', version=version, timeout_s=ROUTE_TIMEOUT_S
        )
        with self._lock:
            self.configurations.append((time.monotonic(), version))

    def state(self, host):
        """Return the state dump of a host, or None if it does not answer."""
        try:
            port = self.processes.port(host, 'metrics')
            return json.loads(call(port, 'GET', '/state', timeout_s=0.5)[1])
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def inject(self, fault):
        """Inject a fault and return when it has ended."""
        self._log_fault('begins', fault)
        name = fault.kind.replace('-', '_')
        for prefix in ('store_link', 'server_link'):
            if name.startswith(prefix):
                self._disturb_link(fault)
                break
        else:
            if fault.kind in _FAILURE_MODES:
                self._fail_server(fault)
            else:
                getattr(self, f'_{name}')(fault)
        self._log_fault('ends', fault)

    def _log_fault(self, what, fault):
        with self._lock:
            self.fault_log.append((time.monotonic(), what, fault))

    def _disturb_link(self, fault):
        mode = fault.kind.rpartition('-')[2]
        self._set_link(
            fault.target,
            {'delay_ms': DELAY_MS} if mode == 'delay' else {'mode': mode},
        )
        time.sleep(fault.duration_s)
        self._set_link(fault.target, {'mode': 'open', 'delay_ms': 0})

    def _set_link(self, name, change):
        port = self.processes.port('links', 'control')
        status, body = call(port, 'POST', '/links', {'name': name, **change})
        if status != 200:
            raise RuntimeError(f'links answered {status}: {body}')

    def _fail_server(self, fault):
        self.call_platform(
            'server',
            server_id=fault.target,
            failure=_FAILURE_MODES[fault.kind],
        )
        time.sleep(fault.duration_s)
        self.call_platform('server', server_id=fault.target, failure='')

    def _kill_host(self, fault):
        with self._locks[fault.target]:
            if self.processes.is_running(fault.target):
                self.processes.kill(fault.target)
            self.processes.start(fault.target)

    def _kill_all_hosts(self, fault):
        with contextlib.ExitStack() as stack:
            for name in plan.HOSTS:
                stack.enter_context(self._locks[name])
            for name in plan.HOSTS:
                self.processes.kill(name)
            for name in plan.HOSTS:
                self.processes.start(name)

    def _stop_host(self, fault):
        name = fault.target
        with self._locks[name]:
            # A process that is still loading its modules has no signal handler
            # yet: the signal kills it.
            has_started = self.state(name) is not None
            signalled_at = time.monotonic()
            self.processes.signal(name, signal.SIGTERM)
            status = self.processes.wait_ended(name, 30.0)
            ended_at = time.monotonic()
            self.stops.append(
                Stop(name, signalled_at, ended_at, status, has_started)
            )
            self.processes.start(name)

    def _pause_host(self, fault):
        with self._locks[fault.target]:
            self.processes.pause(fault.target)
            time.sleep(fault.duration_s)
            self.processes.resume(fault.target)

    def _store_down(self, fault):
        self.call_platform('store', is_down=True)
        time.sleep(fault.duration_s)
        self.call_platform('store', is_down=False)

    def _store_restore(self, fault):
        self.call_platform(
            'restore', age_s=RESTORE_AGE_S, away_s=fault.duration_s
        )
        time.sleep(fault.duration_s)

    def _server_leave(self, fault):
        self.call_platform('server', server_id=fault.target, state='draining')
        # Longer than checks.LEAVE_NOTICE_S, so that the server is still
        # draining when it must no longer get new requests.
        time.sleep(max(2.5, fault.duration_s))
        self.call_platform(
            'server', server_id=fault.target, is_registered=False
        )
        # Longer than the last 0.4 s of the fault, which the check of leaving
        # servers skips, so that it covers all of the draining.
        time.sleep(0.5)
        self.call_platform('restart', server_id=fault.target)

    def _server_rate_limit(self, fault):
        self.call_platform(
            'server', server_id=fault.target, limit_per_s=SERVER_LIMIT_PER_S
        )
        # The check begins after 3 s and counts in spans of 4 s.
        time.sleep(max(7.5, fault.duration_s))
        self.call_platform('server', server_id=fault.target, limit_per_s=None)

    def _server_restart(self, fault):
        self.call_platform('restart', server_id=fault.target)

    def _configuration(self, fault):
        self.configure()


def _platform_spec():
    ports = tuple(name.replace('-', '_') for name in plan.SERVERS)
    listen_ports = tuple('{' + port + '}' for port in ports)
    advertised_ports = tuple('{links.' + name + '}' for name in plan.SERVERS)
    command = (
        *(sys.executable, '-m', 'radishferry_testing.users.platform'),
        *('--port', '{port}', '--work-ms', '30'),
        *(
            '--keyed-ports',
            *listen_ports[:3],
            '--plain-ports',
            *listen_ports[3:],
        ),
        *('--advertised-ports', *advertised_ports),
    )
    return process_specs.ProcessSpec('platform', command, ('port', *ports))


def _links_spec():
    target = '127.0.0.1:{platform.'
    return process_specs.links(
        'links',
        [
            *((host, host, target + 'port}') for host in plan.HOSTS),
            *(
                (name, name, target + name.replace('-', '_') + '}')
                for name in plan.SERVERS
            ),
        ],
    )


@contextlib.contextmanager
def running(directory):
    """Run store, servers, links and hosts; stop exactly these at the exit."""
    specs = [
        _platform_spec(),
        _links_spec(),
        *(
            process_specs.direct_host(name, '{links.' + name + '}', GRACE_S)
            for name in plan.HOSTS
        ),
    ]
    with processes_module.running(directory, specs) as processes:
        cluster = Cluster(processes, directory)
        cluster.configure()
        yield cluster
