"""Steps for the planner."""

from __future__ import annotations

import types

import behave

from radishferry import assignment
from radishferry import manifest
from radishferry import routing
from radishferryd import planner
from radishferryd import table_service
from radishferryd.gen import ttypes

_NAMES = ('a', 'b', 'c', 'd')
_HOST = 'h1'
_RANGES = 64
_HOT_KEY = 1 << 63


class _Membership:
    def is_relay(self, now):
        return True

    def relay(self, data_centre, now):
        return _HOST

    def data_centres(self):
        return ['dc']

    def is_live(self, name, now):
        return True


class _IgnoreCalls:
    def __getattr__(self, name):
        return lambda *args, **kwargs: None


class _App:
    """Provide the planner with fakes and run its timer on request."""

    host_name = _HOST
    data_centre = 'dc'
    is_stopping = False

    def __init__(self):
        servers = tuple(
            manifest.Server(name, '127.0.0.1:1', 'dc') for name in _NAMES
        )
        self.service = manifest.Service(
            'lots', True, servers, (), ranges=_RANGES
        )
        self.manifest = manifest.Manifest(1, (self.service,))
        self.now = 100.0
        self.scheduler = self
        self.membership = _Membership()
        self.directory = types.SimpleNamespace(infos=[])
        self.routes = routing.RouteTable()
        self.routes.set_range_count('lots', _RANGES)
        self.policy = self
        self.metrics = types.SimpleNamespace(moves=_IgnoreCalls())
        self.table = self
        self.state = self
        self.measured = planner.Demand()
        self.planner = planner.Planner(self)
        self.planner.manifest_applied(self.manifest)

    # The planner asks the scheduler for the time, the policy for the demand,
    # and the table and the state for rows; this object stands in for all four.

    def __getattribute__(self, name):
        if name == 'scheduler':
            return types.SimpleNamespace(
                now=lambda: object.__getattribute__(self, 'now'),
                call_every=lambda delay, call: setattr(self, 'tick', call),
                call_later=lambda delay, call: call(),
            )
        return object.__getattribute__(self, name)

    def demand(self, service_name):
        return self.measured

    def read(self, prefix, done):
        done([])

    def row_version(self, row):
        return 1

    def row_value(self, row):
        return None

    def push_rows(self, rows):
        pass

    def apply_rows(self, rows):
        for row in rows:
            if row.name.startswith('ranges/'):
                found = assignment.unpack_ranges(row.value)
                self.routes.apply_assignments('lots', found)

    def transact(self, conditions, writes, done):
        done(table_service.Written(dict.fromkeys(writes, 2)))

    def plan(self, count=1):
        for _ in range(count):
            for _ in range(4):
                self.tick()
            self.now += planner.BALANCE_INTERVAL_S + 1
            self.report(_NAMES)

    def report(self, names):
        for name in names:
            self.planner.server_reported(
                ttypes.ServerLoad('lots', name, 0, 0, 'serving')
            )

    def owned(self):
        found = self.routes.assignments('lots')
        return {
            name: sum(row.owner == name for row in found.values())
            for name in _NAMES
        }


def _assign_ranges(app, owners, inactive=0):
    rows = {
        range_id: assignment.RangeAssignment(
            owners[range_id % len(owners)],
            5,
            owners[(range_id + 1) % len(owners)],
        )
        for range_id in range(_RANGES)
    }
    app.routes.apply_assignments('lots', rows)
    for range_id, row in rows.items():
        if range_id >= inactive:
            app.routes.apply_route('lots', range_id, row.epoch, row.owner)
    app.report(_NAMES)


@behave.given('a planner of 4 servers with 64 ranges')
def a_planner(context):
    context.app = _App()


@behave.given('2 of its servers own all ranges, each active')
def two_own_all(context):
    _assign_ranges(context.app, ('a', 'b'))


@behave.given('2 of its servers own all ranges, 10 not active')
def two_own_some_inactive(context):
    _assign_ranges(context.app, ('a', 'b'), inactive=10)


@behave.given('its servers own 16 ranges each, and one of them a hot key')
def own_evenly(context):
    _assign_ranges(context.app, _NAMES)
    row = assignment.RangeAssignment('a', 1, 'b', (), _HOT_KEY)
    context.app.routes.apply_assignments('lots', {_RANGES: row})
    context.app.routes.apply_route('lots', _RANGES, 1, 'a')


@behave.when('3 servers are reported')
def report_three(context):
    context.app.report(_NAMES[:3])
    context.before = context.app.owned()
    context.app.tick()
    context.app.tick()


@behave.when('all servers are reported')
def report_all(context):
    context.app.report(_NAMES)
    context.app.tick()


@behave.when('20 requests/s are measured, all on range 0')
def measure_few(context):
    context.app.measured = planner.Demand({0: 20.0})
    context.before = context.app.owned()
    context.app.plan()


@behave.when('40000 requests/s are measured, spread evenly')
def measure_many(context):
    context.app.measured = planner.Demand(
        dict.fromkeys(range(_RANGES), 40000 / _RANGES)
    )
    context.app.plan(3)


@behave.then('nothing is planned')
def nothing_planned(context):
    assert context.app.owned() == context.before, context.app.owned()


@behave.then('each server owns 16 ranges')
def own_sixteen(context):
    assert set(context.app.owned().values()) == {16}, context.app.owned()


@behave.then('after 10 plans each server owns 12 to 20 ranges')
def own_about(context):
    for _ in range(10):
        context.app.plan()
        for range_id, row in context.app.routes.assignments('lots').items():
            context.app.routes.apply_route(
                'lots', range_id, row.epoch, row.owner
            )
    found = context.app.owned().values()
    assert min(found) >= 12 and max(found) <= 20, context.app.owned()


@behave.then('the hot key keeps its range')
def keeps_range(context):
    row = context.app.routes.assignments('lots')[_RANGES]
    assert row.owner == 'a' and row.key_hash == _HOT_KEY, row
