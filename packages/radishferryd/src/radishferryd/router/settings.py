"""Declare the settings of a direct-mode host."""

from __future__ import annotations

import dataclasses

from radishferryd import setting_readers
from radishferryd import settings as settings_module


@dataclasses.dataclass(frozen=True)
class Settings:
    """Hold the settings; attributes are named ``<section>_<option>``.

    Addresses are pairs of IP and port.
    """

    host_name: str
    host_data_centre: str
    listen_callers: tuple[str, int]
    listen_ready: tuple[str, int]
    listen_links: tuple[str, int]
    listen_relays: tuple[str, int]
    listen_metrics: tuple[str, int]
    platform_address: tuple[str, int]
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    grants_hold_max_s: float
    stop_grace_s: float
    evacuation_within_s: float = 5.0
    admission_by_rank: bool = False
    balancing_shares_loads: bool = False
    placement_spreads_groups: bool = False
    host_is_first_start: bool = False
    host_link_mbps: float = 1000.0
    host_memory_mb: int = 160
    host_max_fds: float = 0.0
    retry_hosts: int = 16
    log_level: str = 'info'
    log_format: str = 'json'


def _option(section, name, type_name, read, description, default=None):
    return settings_module.Option(
        section, name, type_name, read, description, default
    )


#: Every option that a settings file may contain.
OPTIONS = (
    _option(
        'host',
        'name',
        'name',
        setting_readers.read_name,
        'Name of this host.',
    ),
    _option(
        'host',
        'data_centre',
        'name',
        setting_readers.read_name,
        'Where this host is.',
    ),
    _option(
        'host',
        'is_first_start',
        'true or false',
        setting_readers.read_true_false,
        'Whether the whole system starts for the first time.',
        'false',
    ),
    _option(
        'host',
        'link_mbps',
        'number',
        setting_readers.read_number,
        'Bandwidth of the link of this host in Mbit/s. A host with a slow '
        'link grants keys only if no other host does.',
        '1000',
    ),
    _option(
        'host',
        'memory_mb',
        'integer',
        setting_readers.read_count,
        'Memory that this process may use, in megabytes. Callers that would '
        'make it hold more are refused.',
        '160',
    ),
    _option(
        'host',
        'max_fds',
        'number',
        setting_readers.read_number,
        'Descriptors that this process may use; 0 for the limit that the '
        'system sets. Connections of callers take up to 60% of them.',
        '0',
    ),
    _option(
        'listen',
        'callers',
        'ip:port',
        setting_readers.read_address,
        'Listens for callers.',
    ),
    _option(
        'listen',
        'ready',
        'ip:port',
        setting_readers.read_address,
        'Answers whether this host takes callers.',
    ),
    _option(
        'listen',
        'links',
        'ip:port',
        setting_readers.read_address,
        'Listens for other hosts.',
    ),
    _option(
        'listen',
        'relays',
        'ip:port',
        setting_readers.read_address,
        'Takes requests that other hosts relay while they reach no server.',
    ),
    _option(
        'listen',
        'metrics',
        'ip:port',
        setting_readers.read_address,
        'Serves metrics and the state dump.',
    ),
    _option(
        'platform',
        'address',
        'ip:port',
        setting_readers.read_address,
        "The platform's store.",
    ),
    _option(
        'retry',
        'ratio',
        'number',
        setting_readers.read_number,
        'Resends for each request that all hosts together may make.',
    ),
    _option(
        'retry',
        'slack',
        'number',
        setting_readers.read_number,
        'Resends beside, for all hosts together.',
    ),
    _option(
        'retry',
        'window_s',
        'number',
        setting_readers.read_number,
        'Seconds over which resends are counted.',
    ),
    _option(
        'retry',
        'hosts',
        'integer',
        setting_readers.read_count,
        'Hosts assumed before the granting host tells their number. A low '
        'number makes hosts that start together open too many connections.',
        '16',
    ),
    _option(
        'grants',
        'hold_max_s',
        'number',
        setting_readers.read_number,
        'Longest time that a server holds keys, in seconds.',
    ),
    _option(
        'stop',
        'grace_s',
        'number',
        setting_readers.read_number,
        'Seconds after SIGTERM at which the process is killed.',
    ),
    _option(
        'evacuation',
        'within_s',
        'number',
        setting_readers.read_number,
        'Seconds after the request to evacuate a data centre within which the '
        'last request must have been sent to its servers.',
        '5',
    ),
    _option(
        'balancing',
        'shares_loads',
        'true or false',
        setting_readers.read_true_false,
        'Whether hosts share the loads and speeds of servers with few slots, '
        'and choose these servers by the cost of requests.',
        'false',
    ),
    _option(
        'placement',
        'spreads_groups',
        'true or false',
        setting_readers.read_true_false,
        'Whether groups of keys that suddenly become busy are cut into narrow '
        'ranges and spread over servers with few slots.',
        'false',
    ),
    _option(
        'admission',
        'by_rank',
        'true or false',
        setting_readers.read_true_false,
        'Whether requests of a less urgent rank leave room for more urgent '
        'ones of the same service, and those whose callers have waited too '
        'long are refused.',
        'false',
    ),
    _option(
        'log',
        'level',
        'level',
        setting_readers.one_of(*settings_module.LOG_LEVELS),
        'Least level of log lines.',
        'info',
    ),
    _option(
        'log',
        'format',
        'format',
        setting_readers.one_of(*settings_module.LOG_FORMATS),
        'Format of log lines on standard output.',
        'json',
    ),
)


def load(path) -> Settings:
    """Return the settings of an INI file.

    :param path: Path of the file.
    :raises findings.FindingsError: The file cannot be read or is not valid;
        the error lists every finding with file, section and option.
    """
    return settings_module.load_options(path, OPTIONS, Settings)
