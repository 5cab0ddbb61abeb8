"""Declare the metrics of the process."""

from __future__ import annotations

import dataclasses
import typing

from radishferry import outcomes

#: Value of a label for everything past the bound of a metric.
OTHER = 'other'
#: Value of ``reason`` for a response of a server.
NO_REASON = 'none'

#: Upper bounds of latency buckets, in seconds; 0.02 is the target for 99 in
#: 100 requests.
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

# A manifest may declare 256 services with 256 kinds; one host reports at
# most this many combinations for a metric.
_MAX_SERVICES = 256
_MAX_REQUEST_SERIES = 4096

_OUTCOMES = tuple(outcome.value for outcome in outcomes.Outcome)
_REASONS = tuple(reason.value for reason in outcomes.Reason)


@dataclasses.dataclass(frozen=True)
class Metric:
    """Declare one metric.

    :ivar attribute: Attribute of :class:`Metrics` that records it.
    :ivar name: Name with the unit.
    :ivar kind: ``counter``, ``gauge`` or ``histogram``.
    :ivar help: One sentence.
    :ivar labels: Mapping of label names to the values they may have; an
        empty tuple stands for names declared in the manifest.
    :ivar max_series: Combinations of label values kept; further ones are
        recorded with every label set to :data:`OTHER`.
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
_KIND: typing.Mapping[str, tuple[str, ...]] = {'service': (), 'kind': ()}

#: Every metric of the process.
METRICS = (
    Metric(
        'requests',
        'radishferry_requests_total',
        'counter',
        'Requests answered to callers.',
        {**_KIND, 'outcome': _OUTCOMES, 'reason': (NO_REASON, *_REASONS)},
        _MAX_REQUEST_SERIES,
    ),
    Metric(
        'latency',
        'radishferry_request_seconds',
        'histogram',
        'Seconds from the head of a request to the end of its response.',
        _KIND,
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
