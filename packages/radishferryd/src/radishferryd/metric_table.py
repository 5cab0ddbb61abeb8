"""Declare the metrics of the process."""

from __future__ import annotations

import dataclasses
import typing

from radishferry import outcomes

#: Label value of everything beyond the series limit of a metric.
OTHER = 'other'
#: Value of the label ``reason`` for responses of servers.
NO_REASON = 'none'

#: Upper bounds of latency buckets, in seconds; 0.02 is the target for the 99th
#: percentile.
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)

# A manifest may declare 256 services with 256 kinds each; one host reports at
# most _MAX_REQUEST_SERIES combinations for a metric.
_MAX_SERVICES = 256
_MAX_REQUEST_SERIES = 4096

_OUTCOMES = tuple(outcome.value for outcome in outcomes.Outcome)
_REASONS = tuple(reason.value for reason in outcomes.Reason)


@dataclasses.dataclass(frozen=True)
class Metric:
    """Declare one metric.

    :ivar attribute: Attribute of ``Metrics`` that records the metric.
    :ivar name: Name including the unit.
    :ivar kind: ``counter``, ``gauge`` or ``histogram``.
    :ivar help: Help text of one sentence.
    :ivar labels: Mapping of label names to the permitted values; an empty
        tuple permits any value, for names declared in the manifest.
    :ivar max_series: Maximum number of combinations of label values; further
        ones are recorded with every label set to :data:`OTHER`.
    """

    attribute: str
    name: str
    kind: str
    help: str
    labels: typing.Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    max_series: int = _MAX_SERVICES


_SERVICE: typing.Mapping[str, tuple[str, ...]] = {'service': ()}
_SERVICE_AND_KIND: typing.Mapping[str, tuple[str, ...]] = {
    'service': (),
    'kind': (),
}

#: Every metric of the process.
METRICS = (
    Metric(
        'requests',
        'radishferry_requests_total',
        'counter',
        'Requests answered to callers.',
        {
            **_SERVICE_AND_KIND,
            'outcome': _OUTCOMES,
            'reason': (NO_REASON, *_REASONS),
        },
        _MAX_REQUEST_SERIES,
    ),
    Metric(
        'latency',
        'radishferry_request_seconds',
        'histogram',
        'Seconds from the head of a request to the end of its response.',
        _SERVICE_AND_KIND,
        _MAX_REQUEST_SERIES,
    ),
    Metric(
        'refusals',
        'radishferry_refusals_total',
        'counter',
        'Requests that the router answered in place of a server.',
        {'reason': _REASONS},
    ),
    Metric(
        'queue_waiting',
        'radishferry_queue_waiting',
        'gauge',
        'Requests that wait for a slot at the servers coordinated here.',
        _SERVICE,
    ),
    Metric(
        'in_flight',
        'radishferry_in_flight',
        'gauge',
        'Requests that run at the servers coordinated here.',
        _SERVICE,
    ),
    Metric(
        'short_work_wait',
        'radishferry_short_work_wait_seconds',
        'histogram',
        'Seconds that requests of kinds that are not long waited for a slot.',
        _SERVICE,
    ),
    Metric(
        'lease_margin',
        'radishferry_lease_margin_seconds',
        'gauge',
        'Least time left of the leases held here when they were renewed.',
        _SERVICE,
    ),
    Metric(
        'promotions',
        'radishferry_promotions_total',
        'counter',
        'Ranges that passed to the standby after a loss.',
        _SERVICE,
    ),
    Metric(
        'takeovers',
        'radishferry_takeovers_total',
        'counter',
        'Servers that this host took over from another coordinator.',
        _SERVICE,
    ),
    Metric(
        'moves',
        'radishferry_range_moves_total',
        'counter',
        'Ranges whose planned owner this host changed in the table.',
        _SERVICE,
    ),
    Metric(
        'imbalance',
        'radishferry_load_imbalance_ratio',
        'gauge',
        'Maximum load of a server divided by the mean.',
        _SERVICE,
    ),
    Metric(
        'unavailable',
        'radishferry_unavailable_seconds_total',
        'counter',
        'Seconds without an active owner, summed over ranges.',
        _SERVICE,
    ),
    Metric(
        'retries',
        'radishferry_retries_total',
        'counter',
        'Requests sent again to a server or host.',
        _SERVICE,
    ),
    Metric(
        'peer_links',
        'radishferry_peer_links_up',
        'gauge',
        'Open and authenticated connections to other hosts.',
    ),
    Metric(
        'manifest_version',
        'radishferry_manifest_version',
        'gauge',
        'Version of the manifest in force at this host.',
    ),
    Metric(
        'table_errors',
        'radishferry_table_errors_total',
        'counter',
        'Requests to the platform that failed or had no response in time.',
        {'operation': ('transact', 'rows', 'objects', 'hosts')},
    ),
)
