"""Configuration of a keyed service and its route, for requests in tests."""

from __future__ import annotations

from radishferry.direct import configuration
from radishferry.direct import registry
from radishferryd.router import knowledge
from radishferryd.router import link_monitor
from radishferryd.router import relays as relays_module

SERVICE = configuration.Service('stock', '/health', 64, True, 1.0)
ROUTE = configuration.Route(
    'lookup',
    'stock.example',
    '/',
    configuration.Kind.SAFE,
    (configuration.Part('stock', 1.0),),
    timeout_s=5.0,
    target_latency_s=1.0,
    max_attempts=3,
    priority=1,
)


def relays(scheduler):
    """Return the relays of a host that reaches the servers."""
    links = link_monitor.LinkMonitor(None, scheduler, registry.Registry())
    return relays_module.Relays(
        None,
        scheduler,
        'host',
        'x',
        links,
        knowledge.RoutingState(scheduler.now),
    )
