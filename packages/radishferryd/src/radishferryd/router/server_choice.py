"""Decide which server gets a request, or why none does.

The decision sends nothing and changes nothing, so that the command that
explains a route takes it by the same function as a request.
"""

from __future__ import annotations

import dataclasses
import typing

from radishferry.direct import admission
from radishferry.direct import availability
from radishferry.direct import selection
from radishferryd.router import results


@dataclasses.dataclass(frozen=True)
class Query:
    """Describe the request that needs a server.

    :ivar route: A :class:`~radishferry.direct.configuration.Route`.
    :ivar key: Key of the request, None if the service is not keyed.
    :ivar route_stats: The :class:`~radishferry.direct.admission.RouteStats`
        of the route and the service.
    :ivar left_s: Seconds until the deadline of the request.
    :ivar tried: Incarnations to which it has been sent already.
    :ivar remaining_s: Seconds for which the caller still waits, None if it
        waits until the deadline of the request.
    """

    route: object
    service: str
    key: int | None
    route_stats: admission.RouteStats
    left_s: float
    tried: tuple[tuple[str, int], ...] = ()
    remaining_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Send:
    """Send the request to a server.

    :ivar facts: Log fields that describe the decision.
    """

    backend: object
    facts: dict


@dataclasses.dataclass(frozen=True)
class Overloaded:
    """Refuse the request, since it would not be answered in time.

    :ivar retry_after_s: Seconds after which the caller may retry.
    :ivar facts: Log fields that describe the decision, empty without a server.
    """

    reason: results.Reason
    retry_after_s: float
    detail: str
    facts: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class NoOwner:
    """Wait for an owner of the key, or refuse the request.

    :ivar retry_after_s: Seconds after which the caller may retry, None for the
        usual duration of a move.
    :ivar unreachable: Incarnation of the owner if only this host may fail to
        reach it.
    """

    reason: results.Reason
    detail: str
    retry_after_s: float | None = None
    unreachable: tuple[str, int] | None = None


@dataclasses.dataclass(frozen=True)
class NoServer:
    """Report that no server of a service without keys may get the request.

    :ivar paused_for_s: Seconds for which all servers have asked for a pause, 0
        if they have not.
    :ivar permit_wait_s: Seconds until the limit of a server permits a request,
        0 if no server has a limit.
    """

    paused_for_s: float
    permit_wait_s: float


Decision = typing.Union[Send, Overloaded, NoOwner, NoServer]

_REFUSALS = {
    admission.Cause.QUEUE: (results.Reason.OVERLOADED, 'has too much work'),
    admission.Cause.RANK: (
        results.Reason.OUTRANKED,
        'keeps its room for more urgent requests',
    ),
    admission.Cause.LATE: (
        results.Reason.TOO_LATE,
        'has no room for requests that are late',
    ),
}


def choose(gateway, query: Query, now: float) -> Decision:
    """Return where a request goes now.

    :param gateway: The :class:`~radishferryd.router.gateway.Gateway`.
    """
    if query.key is None:
        return _choose_any(gateway, query, now)
    return _choose_owner(gateway, query, now)


def _choose_owner(gateway, query, now):
    segment, server = gateway.owner(query.service, query.key)
    if server is None:
        return NoOwner(results.Reason.NO_OWNER, 'The key has no owner now.')
    backend = gateway.backends.get(server)
    stats = backend.stats
    state = _state(gateway, server, stats, query, now)
    if not state.is_available:
        return _owner_unavailable(server, stats, state, now)
    usual = _usual_s(query, stats, now)
    expected = stats.expected_s(usual, now)
    if gateway.availability.cold_s(server):
        expected *= selection.WARMUP_FACTOR
    facts = _facts(query, server, stats, expected, now, segment.fence)
    asked = _asked(query, backend, expected)
    if stats.load(now) >= stats.slots and backend.in_flight_by_key[
        query.key
    ] >= gateway.admission.key_limit(asked, gateway.host_count, now):
        return Overloaded(
            results.Reason.HOT_KEY,
            gateway.admission.retry_after_s(asked, now),
            'The key is overloaded.',
            facts,
        )
    return _admit(gateway, asked, backend, facts, now)


def _state(gateway, server, stats, query, now):
    """Return whether the owner of a key may get a request from this host."""
    if stats.requested_pause_s(now):
        return availability.Unavailable(
            availability.Reason.PAUSED, now + stats.requested_pause_s(now)
        )
    if stats.is_paused(now):
        return availability.Unavailable(availability.Reason.UNREACHABLE)
    if permit_wait_s := stats.permit_wait_s(now):
        return availability.Unavailable(
            availability.Reason.RATE_LIMITED, now + permit_wait_s
        )
    return _full_state(gateway, server, query, now)


def _full_state(gateway, server, query, now):
    """Return whether a server may get a request beyond those it has."""
    return gateway.outstanding.check(
        server,
        gateway.backends.stats(server),
        query.route_stats.service_s,
        now,
    )


def _owner_unavailable(server, stats, state, now):
    if state.reason is availability.Reason.PAUSED:
        return NoOwner(
            results.Reason.SERVER_PAUSED,
            f'{server.server_id} wants no request now.',
            admission.retry_after_pause_s(state.until - now),
        )
    if state.reason is availability.Reason.UNREACHABLE:
        return NoOwner(
            results.Reason.OWNER_UNREACHABLE,
            f'{server.server_id} cannot be reached.',
            unreachable=server.incarnation,
        )
    if state.reason is availability.Reason.FULL:
        return Overloaded(
            results.Reason.FULL,
            admission.retry_after_s(state.until - now),
            f'{server.server_id} is full.',
        )
    return Overloaded(
        results.Reason.RATE_LIMITED,
        admission.retry_after_s(state.until - now),
        f'{server.server_id} has a limit of {stats.limit_per_s} requests a '
        'second.',
    )


def _choose_any(gateway, query, now):
    candidates = gateway.availability.candidates(query.service)
    if candidates and gateway.outstanding.is_hanging(query.service):
        states = [
            (server, _full_state(gateway, server, query, now))
            for server in candidates
        ]
        candidates = tuple(s for s, state in states if state.is_available)
        if not candidates:
            return Overloaded(
                results.Reason.FULL,
                admission.retry_after_s(
                    min(state.until for _, state in states) - now
                ),
                f'All servers of {query.service} are full.',
            )
    choice = _cheapest(gateway, query, candidates, now)
    if choice is None:
        return NoServer(
            gateway.paused_for_s(query.service),
            gateway.permit_wait_s(query.service),
        )
    backend = gateway.backends.get(choice.server)
    facts = _facts(
        query, choice.server, backend.stats, choice.expected_s, now, None
    )
    asked = _asked(query, backend, choice.expected_s)
    return _admit(gateway, asked, backend, facts, now)


def _asked(query, backend, expected_s):
    return admission.Asked(
        query.service,
        query.route,
        query.route_stats,
        backend.stats,
        backend.server.data_centre,
        expected_s,
        query.left_s,
        query.left_s if query.remaining_s is None else query.remaining_s,
        bool(query.tried),
    )


def _admit(gateway, asked, backend, facts, now):
    """Send a request to a server, or refuse it for want of room there."""
    verdict = gateway.admission.decide(asked, now)
    if isinstance(verdict, admission.Admitted):
        return Send(backend, facts)
    reason, why = _REFUSALS[verdict.cause]
    detail = f'{backend.server.server_id} of {asked.service} {why}.'
    return Overloaded(reason, verdict.retry_after_s, detail, facts)


def _facts(query, server, stats, expected_s, now, fence):
    shared = stats.shared
    return {
        'server': server.server_id,
        'load': round(stats.load(now), 1),
        'slots': stats.slots,
        'expected_s': round(expected_s, 3),
        'left_s': round(query.left_s, 3),
        'fence': fence,
        'relative_time': shared and round(shared.relative_time, 2),
        'has_shared_load': stats.has_shared_load(now),
    }


def _cheapest(gateway, query, servers, now):
    if gateway.cost_choice.acts_on(servers, now):
        choice = gateway.cost_choice.choose(
            query.service,
            servers,
            work=query.route_stats.work,
            answer_bytes=query.route_stats.answer_bytes,
            now=now,
            hosts=gateway.host_count,
            skip=query.tried,
        )
        if choice is not None:
            return choice
    return selection.choose(
        servers,
        gateway.backends.stats,
        usual_s=query.route_stats.service_s,
        data_centre=gateway.data_centre,
        answer_bytes=query.route_stats.answer_bytes,
        now=now,
        hosts=gateway.host_count,
        skip=query.tried,
    )


def _usual_s(query, stats, now):
    """Return the time of a request of the route at a usual server."""
    route_stats = query.route_stats
    if stats.has_shared_load(now) and route_stats.work.is_known:
        return route_stats.work.mean_s
    return route_stats.service_s
