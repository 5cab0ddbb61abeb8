"""Declare and record the metrics of a direct-mode host."""

from __future__ import annotations

from radishferryd import metric_table
from radishferryd import metrics as recorders
from radishferryd.router import memory_account

_MAX_SERIES = 2048
_METRIC = metric_table.Metric

#: Every metric of the process.
METRICS = (
    _METRIC(
        'requests',
        'radishferry_requests_total',
        'counter',
        'Requests that ended, by service, route and outcome.',
        {'service': (), 'route': (), 'outcome': ()},
        _MAX_SERIES,
    ),
    _METRIC(
        'latency',
        'radishferry_request_seconds',
        'histogram',
        'Seconds from the arrival of a request to its answer.',
        {'service': (), 'outcome': ()},
        _MAX_SERIES,
    ),
    _METRIC(
        'admissions',
        'radishferry_admissions_total',
        'counter',
        'Requests admitted, or refused for want of room, by service, rank and '
        'reason.',
        {
            'service': (),
            'rank': (),
            'decision': (
                'admitted',
                'overloaded',
                'outranked',
                'too-late',
                'hot-key',
                'full',
            ),
        },
        _MAX_SERIES,
    ),
    _METRIC(
        'refusals',
        'radishferry_early_refusals_total',
        'counter',
        'Requests answered before they were routed.',
        {'reason': ()},
    ),
    _METRIC(
        'relayed_requests',
        'radishferry_relayed_requests_total',
        'counter',
        'Requests sent to another host because this one did not reach a '
        'server, and requests received from such hosts, by outcome.',
        {'direction': ('sent', 'received'), 'outcome': ()},
        _MAX_SERIES,
    ),
    _METRIC(
        'announcements',
        'radishferry_server_announcements_total',
        'counter',
        'Announcements of servers: that they leave, that they want a pause, '
        'a new limit or its end, and malformed ones.',
        {'kind': ('leaving', 'pause', 'limit', 'malformed')},
    ),
    _METRIC(
        'hung_requests',
        'radishferry_hung_requests_total',
        'counter',
        'Requests that a server did not answer at all, by what showed it.',
        {'evidence': ('overtaken', 'report', 'unanswered')},
    ),
    _METRIC(
        'hanging_services',
        'radishferry_hanging_services',
        'gauge',
        'Services whose servers do not answer requests beyond their queue.',
    ),
    _METRIC(
        'store_calls',
        'radishferry_store_calls_total',
        'gauge',
        "Calls to the platform's store.",
    ),
    _METRIC(
        'store_era',
        'radishferry_store_era',
        'gauge',
        'Era that the store names in its answers, 0 without one. It rises '
        'with each restore from an older copy.',
    ),
    _METRIC(
        'store_restores',
        'radishferry_store_restores_total',
        'gauge',
        'Restores of the store that this process has noticed.',
    ),
    _METRIC(
        'orders',
        'radishferry_orders_total',
        'gauge',
        'Orders about keys given to servers.',
        {'order': ('grant', 'release')},
    ),
    _METRIC(
        'registry_age',
        'radishferry_registry_age_seconds',
        'gauge',
        'Age of the newest list of servers.',
    ),
    _METRIC(
        'configuration_age',
        'radishferry_configuration_age_seconds',
        'gauge',
        'Seconds since the store confirmed the configuration.',
    ),
    _METRIC(
        'configuration_version',
        'radishferry_configuration_version',
        'gauge',
        'Version of the configuration in force.',
    ),
    _METRIC(
        'shared_loads_age',
        'radishferry_shared_loads_age_seconds',
        'gauge',
        'Seconds since the granting host last told the loads of servers with '
        'few slots; 1e9 before the first time.',
    ),
    _METRIC(
        'is_granter',
        'radishferry_is_granter',
        'gauge',
        'Whether this host may grant keys.',
    ),
    _METRIC(
        'is_isolated',
        'radishferry_is_isolated',
        'gauge',
        'Whether this host reaches no server at all.',
    ),
    _METRIC(
        'fails_to_connect',
        'radishferry_fails_to_connect',
        'gauge',
        'Whether new connections fail at several servers and at none succeed.',
    ),
    _METRIC(
        'failed_servers',
        'radishferry_failed_servers',
        'gauge',
        'Servers that could not be reached since one was last reached.',
    ),
    _METRIC(
        'server_crashes',
        'radishferry_server_crashes_total',
        'gauge',
        'Crashes of servers at which requests of this host were in flight.',
    ),
    _METRIC(
        'poison_requests',
        'radishferry_poison_requests',
        'gauge',
        'Fingerprints of requests that are refused, since they were in '
        'flight at several crashes of servers.',
    ),
    _METRIC(
        'evacuated_data_centres',
        'radishferry_evacuated_data_centres',
        'gauge',
        'Data centres whose servers get no requests.',
    ),
    _METRIC(
        'cold_servers',
        'radishferry_cold_servers',
        'gauge',
        'Servers in their warm-up.',
    ),
    _METRIC(
        'open_requests',
        'radishferry_open_requests',
        'gauge',
        'Requests without an answer.',
    ),
    _METRIC(
        'held_bytes',
        'radishferry_held_bytes',
        'gauge',
        'Bytes of memory that callers make this host hold, by what they are: '
        'connections, heads of requests, bodies being received, bodies kept '
        'until their response, bodies relayed by other hosts, responses that '
        'callers or servers have not completed, and bytes that the system '
        'may hold for connections that are not read.',
        {'kind': tuple(kind.value for kind in memory_account.Kind)},
    ),
    _METRIC(
        'dropped_lines',
        'radishferry_dropped_log_lines_total',
        'gauge',
        'Log lines left out because there were too many.',
    ),
)


class Metrics(recorders.Metrics):
    """Record the metrics of :data:`METRICS`."""

    def __init__(self):
        """Create the metrics with the value zero."""
        super().__init__(METRICS)

    def count_request(self, service, route, outcome, took_s):
        """Record the outcome and the duration of a request."""
        self.requests.inc(service, route, outcome)
        self.latency.observe(took_s, service, outcome)

    def count_admission(self, service, rank, decision):
        """Count a request that was admitted, or refused for want of room."""
        self.admissions.inc(service, str(rank), decision)

    def count_refusal(self, reason):
        """Count a request that was answered before it was routed."""
        self.refusals.inc(reason)

    def count_relay(self, direction, outcome):
        """Count a request that was sent to or received from another host."""
        self.relayed_requests.inc(direction, outcome)

    def count_hang(self, evidence):
        """Count a request that a server did not answer at all."""
        self.hung_requests.inc(evidence)

    def count_announcement(self, kind):
        """Count an announcement of a server."""
        self.announcements.inc(kind)
