"""Describe deployments of entry hosts, servers and the platform."""

from __future__ import annotations

import dataclasses
import itertools
import json
import pathlib
import urllib.request

from radishferry_testing import process_specs

#: Shared key and token of test deployments.
SHARED_KEY = 'only-for-tests-on-loopback'
TOKEN = 'token-for-tests-on-loopback'


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """Describe one service of a deployment.

    :ivar servers: Number of servers, spread over the data centres.
    :ivar kinds: Values for ``kinds`` of the manifest.
    :ivar work: Arguments of the option ``--kind`` of the servers.
    :ivar options: Further values of the service in the manifest.
    """

    name: str
    servers: int
    kinds: tuple[dict, ...]
    work: tuple[str, ...]
    keyed: bool = False
    slots: int = 6
    options: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Topology:
    """Describe a deployment.

    :ivar data_centres: Names of the data centres.
    :ivar hosts_per_data_centre: Entry hosts in each.
    :ivar services: The services.
    :ivar policy: Arguments of ``baseline_host``, empty for radishferryd.
    """

    data_centres: tuple[str, ...]
    hosts_per_data_centre: int
    services: tuple[ServiceSpec, ...]
    policy: tuple[str, ...] = ()

    @property
    def hosts(self) -> dict[str, str]:
        """Return the data centre of each entry host."""
        return {
            f'{data_centre}-host{number}': data_centre
            for data_centre in self.data_centres
            for number in range(1, self.hosts_per_data_centre + 1)
        }

    @property
    def servers(self) -> dict[str, tuple[ServiceSpec, str]]:
        """Return the service and data centre of each server."""
        return {
            f'{service.name}{number:02d}': (service, data_centre)
            for service in self.services
            for number, data_centre in zip(
                range(1, service.servers + 1),
                itertools.cycle(self.data_centres),
            )
        }


def _kind(name, method, path, idempotent, **options):
    return {
        'name': name,
        'method': method,
        'path': path,
        'idempotent': idempotent,
        **options,
    }


LOOKUP = _kind('lookup', 'GET', '/inventory/lots/{key}', True)
RESERVE = _kind('reserve', 'POST', '/inventory/lots/{key}/reserve', False)
LEDGER = _kind('record', 'POST', '/ledger/reservations', False)
PAY = _kind('pay', 'POST', '/treasury/fees', False)
DOWNLOAD = _kind(
    'download',
    'GET',
    '/certificates/{name}',
    True,
    long=True,
    deadline_ms=20000,
)

#: Two data centres with two entry hosts each, four servers, two services.
DEMO = Topology(
    ('santiago', 'concepcion'),
    2,
    (
        ServiceSpec(
            'inventory',
            2,
            (LOOKUP, RESERVE),
            ('/inventory:5',),
            keyed=True,
            options={'ranges': 64},
        ),
        ServiceSpec(
            'treasury',
            2,
            (
                PAY,
                {**DOWNLOAD, 'path': '/treasury/certificates/{name}'},
            ),
            ('/treasury/fees:8', '/treasury/certificates:40:200000:long'),
            options={'ranges': 64},
        ),
    ),
)

#: The deployment of the Offcut Registry Gateway.
REGISTRY_GATEWAY = Topology(
    ('santiago', 'concepcion', 'antofagasta'),
    4,
    (
        ServiceSpec(
            'inventory', 22, (LOOKUP, RESERVE), ('/inventory:5',), keyed=True
        ),
        ServiceSpec('treasury', 10, (PAY,), ('/treasury:8',)),
        ServiceSpec(
            'certificates',
            6,
            (DOWNLOAD,),
            ('/certificates:40:200000:long',),
        ),
        ServiceSpec('ledger', 6, (LEDGER,), ('/ledger:8',)),
    ),
)


class Deployment:
    """Provide the processes of a topology and their addresses.

    :ivar processes: Running :class:`processes.Processes`; set by
        :func:`demo.deployed`.
    """

    def __init__(self, topology, directory, *, has_links=False):
        """Initialise the deployment.

        :param topology: A :class:`Topology`.
        :param directory: Where settings, outputs and logs go.
        :param bool has_links: Whether hosts connect to other data centres
            through link forwarders, which can partition them.
        """
        self.topology = topology
        self.directory = pathlib.Path(directory)
        self.processes = None
        self._has_links = has_links

    def specs(self) -> list[process_specs.ProcessSpec]:
        """Return links, platform and servers, which start before the hosts."""
        links = [self._links_spec()] if self._has_links else []
        return [
            *links,
            process_specs.platform(),
            *(
                process_specs.server(
                    name,
                    self.log_path(name),
                    '--service',
                    service.name,
                    '--slots',
                    str(service.slots),
                    *(f'--kind={work}' for work in service.work),
                )
                for name, (service, _) in self.topology.servers.items()
            ),
        ]

    def host_specs(self) -> list[process_specs.ProcessSpec]:
        """Return the entry hosts."""
        return [
            process_specs.entry_host(
                name,
                settings(name, data_centre),
                policy=self.topology.policy,
            )
            for name, data_centre in self.topology.hosts.items()
        ]

    def log_path(self, server) -> pathlib.Path:
        """Return the path of a server's run log."""
        return self.directory / f'{server}.log'

    def caller_addresses(self) -> list[str]:
        """Return the caller addresses of the entry hosts."""
        return [self.caller_address(name) for name in self.topology.hosts]

    def caller_address(self, host) -> str:
        """Return the caller address of an entry host."""
        return self.processes.address(host, 'caller')

    def admin_address(self, host) -> str:
        """Return the administration address of an entry host."""
        return self.processes.address(host, 'admin')

    def set_host_list(self, leaving=()):
        """Publish the host list on the platform stand-in."""
        for seen_from in self.topology.data_centres:
            listed = [
                {
                    'name': name,
                    'data_centre': data_centre,
                    'address': self.peer_address(name, seen_from),
                    'state': 'leaving' if name in leaving else 'live',
                }
                for name, data_centre in self.topology.hosts.items()
            ]
            seen_by = [
                name
                for name, data_centre in self.topology.hosts.items()
                if data_centre == seen_from
            ]
            self.platform('PUT', '/hosts', {'hosts': listed, 'for': seen_by})

    def peer_address(self, host, seen_from) -> str:
        """Return the peer address of a host as seen from a data centre."""
        data_centre = self.topology.hosts[host]
        if self._has_links and data_centre != seen_from:
            return self.processes.address('links', f'{seen_from}-{host}')
        return self.processes.address(host, 'peer')

    def set_partitioned(self, data_centre, is_partitioned):
        """Partition a data centre from the others and the platform.

        :param is_partitioned: False removes the partition.
        """
        control = self.processes.address('links', 'control')
        for other in self.topology.data_centres:
            if other == data_centre:
                continue
            for pair in ((data_centre, other), (other, data_centre)):
                request(
                    'POST',
                    f'http://{control}/links',
                    {
                        'name': '>'.join(pair),
                        'mode': 'drop' if is_partitioned else 'open',
                    },
                )
        isolated_hosts = [
            n for n, d in self.topology.hosts.items() if d == data_centre
        ]
        refused_hosts = isolated_hosts if is_partitioned else []
        self.platform('POST', '/faults', {'refuse_from': refused_hosts})

    def _links_spec(self):
        return process_specs.links(
            'links',
            [
                (
                    f'{seen_from}>{data_centre}',
                    f'{seen_from}-{host}',
                    '127.0.0.1:{' + host + '.peer}',
                )
                for seen_from in self.topology.data_centres
                for host, data_centre in self.topology.hosts.items()
                if data_centre != seen_from
            ],
        )

    def platform(self, method, path, value=None):
        """Send a request to the platform stand-in.

        :returns: The decoded answer.
        """
        address = self.processes.address('platform')
        return request(method, f'http://{address}{path}', value)

    def status(self, host):
        """Return the status of an entry host."""
        url = f'http://{self.admin_address(host)}/v1/status'
        return request('GET', url, token=TOKEN)

    def manifest(self, version, changes=None) -> dict:
        """Return the manifest of the topology.

        :param changes: Mapping of server name to values to override; None
            leaves the server out.
        """
        changes = changes or {}
        return {
            'version': version,
            'services': [
                {
                    'name': service.name,
                    'keyed': service.keyed,
                    'slots': service.slots,
                    'kinds': list(service.kinds),
                    **service.options,
                    'servers': [
                        {
                            'name': name,
                            'address': self.processes.address(name),
                            'data_centre': data_centre,
                            **changes.get(name, {}),
                        }
                        for name, (server_service, data_centre) in (
                            self.topology.servers.items()
                        )
                        if server_service == service
                        and changes.get(name, {}) is not None
                    ],
                }
                for service in self.topology.services
            ],
        }

    def write_manifest(self, version, changes=None) -> pathlib.Path:
        """Write the manifest to a file and return its path."""
        path = self.directory / f'manifest-{version}.json'
        text = json.dumps(self.manifest(version, changes), indent=2)
        path.write_text(text)
        return path


def request(method, url, value=None, token='', timeout_s=5.0):
    """Send a JSON request and return the decoded answer.

    :raises OSError: The request failed or the status is an error.
    """
    data = None if value is None else json.dumps(value).encode()
    headers = {'Content-Type': 'application/json'}
    if token:
        headers['Authorization'] = f'Bearer {token}'
    prepared = urllib.request.Request(url, data, headers, method=method)
    with urllib.request.urlopen(prepared, timeout=timeout_s) as response:
        body = response.read()
    return json.loads(body) if body else None


def settings(name, data_centre) -> dict:
    """Return the settings of an entry host, with port placeholders."""
    return {
        'host': {'name': name, 'data_centre': data_centre},
        'listen': {
            'callers': '127.0.0.1:{caller}',
            'peers': '127.0.0.1:{peer}',
            'admin': '127.0.0.1:{admin}',
        },
        'platform': {'address': '127.0.0.1:{platform.port}'},
        'peers': {'shared_key': SHARED_KEY},
        'admin': {'token': TOKEN},
    }
