"""Steps for the coordinator of one server."""

from __future__ import annotations

import types

import behave
import ownership_fakes

from radishferry import actions
from radishferry import assignment


def _host(context, name):
    found = context.hosts.get(name)
    if found is None:
        found = ownership_fakes.Host(name, context.server, context.world)
        context.hosts[name] = found
    return found


def _assign_ranges(context, rows):
    host = context.hosts['h1']
    host.run(host.coordinator.ranges_assigned(rows, context.world.now))


def _start_coordinator(context, baseline):
    context.world = types.SimpleNamespace(now=1.0)
    context.server = ownership_fakes.FakeServer('a', 7000.0)
    context.hosts = {}
    host = _host(context, 'h1')
    now = context.world.now
    host.run(host.coordinator.assigned(ownership_fakes.assigned(), now))
    host.run(host.coordinator.baseline_read(baseline, now))


@behave.given(
    'host h1 coordinates server a with range 3 at epoch 4, standby b'
)
def coordinate_server(context):
    _start_coordinator(context, {})
    _assign_ranges(context, {3: assignment.RangeAssignment('a', 4, 'b')})
    host = _host(context, 'h1')
    host.wait(0.3)
    assert host.coordinator.active == {3: 4}
    host.log.clear()


@behave.given(
    'host h1 coordinates server a with range 5 at epoch 7 in its baseline'
)
def coordinate_with_baseline(context):
    _start_coordinator(context, {5: assignment.RangeAssignment('a', 7, 'b')})


@behave.when('host h1 reads its baseline again, with range 5 at epoch 7')
def read_baseline(context):
    host = _host(context, 'h1')
    assert host.of('ReadBaseline')
    row = assignment.RangeAssignment('a', 7, '', ('b', 'c'))
    host.run(host.coordinator.baseline_read({5: row}, context.world.now))


@behave.given('a request of h1 to server a is in flight')
def request_in_flight(context):
    host = _host(context, 'h1')
    found = []
    while not found:
        context.world.now += ownership_fakes.STEP_S
        found = host.coordinator.tick(context.world.now)
    (context.in_flight,) = found


@behave.given('server a runs work on range 3')
def run_work(context):
    context.server.lease.begin(3)


@behave.when('the work on range 3 ends at server a')
def end_work(context):
    context.server.lease.finish(3)


@behave.when('server a does not answer h1 for {seconds:g} s')
def stop_answering(context, seconds):
    host = _host(context, 'h1')
    host.is_reachable = False
    host.wait(seconds)


@behave.when(
    'server a does not answer h1 for {seconds:g} s and its lease expires'
)
def stop_answering_until_expiry(context, seconds):
    # Only the clock of the server passes the expiry: the coordinator must not
    # rely on the time that it has waited itself.
    stop_answering(context, seconds)
    context.server.offset_ms += 600


@behave.when('server a answers {name} for {seconds:g} s')
def answer(context, name, seconds):
    host = _host(context, name)
    host.is_reachable = True
    host.wait(seconds)


@behave.when('server a restarts')
def restart(context):
    # The clock of the new process is ahead, so any expiry given on the clock
    # of the old process has passed.
    context.server.restart(9000.0)


@behave.when('server a restarts with its clock set back')
def restart_with_earlier_clock(context):
    context.server.restart(0.0)


@behave.when(
    'h2 takes over server a while the row of range 3 has epoch {epoch:d}'
)
def take_over_rewritten(context, epoch):
    take_over(context, epoch)
    _host(context, 'h2').wait(0.2)


@behave.then('h2 reports range 3 at epoch 6 as an orphan')
def h2_reports_orphan(context):
    found = _host(context, 'h2').of('AnnounceOrphans')
    assert found and found[-1].epochs == {3: 6}, found


@behave.then('h1 coordinates under term {term:d}')
def coordinates_under(context, term):
    found = _host(context, 'h1').coordinator.term
    assert found == term, found


@behave.when('h2 takes over server a')
def take_over(context, epoch=4):
    host = _host(context, 'h2')
    now = context.world.now
    host.run(host.coordinator.assigned(ownership_fakes.assigned(), now))
    host.run(host.coordinator.take_over(now))
    rows = {3: assignment.RangeAssignment('a', epoch, 'b')}
    host.run(host.coordinator.baseline_read(rows, now))


@behave.when(
    'h4 of a newer coordinator assignment takes over server a '
    '{how} a hand-over'
)
def take_over_newer(context, how):
    host = _host(context, 'h4')
    now = context.world.now
    newer = ownership_fakes.assigned(('h4', 'h1'), 20)
    host.run(host.coordinator.assigned(newer, now, is_other_live=True))
    term = _host(context, 'h1').coordinator.term - how.startswith('late')
    host.run(
        host.coordinator.take_over(
            now, handover_term=0 if how == 'without' else term
        )
    )
    host.wait(0.05)


@behave.when(
    'h1 adopts a coordinator assignment of h4 and h1 '
    'at base term {base_term:d}'
)
def adopt(context, base_term):
    host = _host(context, 'h1')
    now = context.world.now
    newer = ownership_fakes.assigned(('h4', 'h1'), base_term)
    host.run(host.coordinator.assigned(newer, now))
    host.run(host.coordinator.adopt_reserved_term(now))


@behave.then('h1 has queried h2, h3 under term {term:d}')
def has_queried(context, term):
    found = _host(context, 'h1').of('QuerySuccessors')[-1]
    assert found.hosts == ('h2', 'h3'), found
    assert found.term == term, found


@behave.when('h1 hands server a over to h4')
def hand_over(context):
    _host(context, 'h1').coordinator.hand_over('h4')


@behave.when('h1 is paused for {seconds:g} s and then cannot reach server a')
def pause_and_disconnect(context, seconds):
    context.world.now += seconds
    stop_answering(context, 0.1)


@behave.when('successor {name} replies that it {what}')
def reply(context, name, what):
    host = _host(context, 'h1')
    asked = host.of('QuerySuccessors')[-1]
    base_term = ownership_fakes.BASE_TERM
    if 'knows' in what:
        base_term = int(what.rsplit(' ', 1)[1])
    host.run(
        host.coordinator.successor_replied(
            name,
            asked.query_id,
            what == 'has fenced',
            base_term,
            context.world.now,
        )
    )


@behave.when('h9 asks h1 to release range {range_id:d} below epoch {epoch:d}')
def ask_release(context, range_id, epoch):
    host = _host(context, 'h1')
    host.run(
        host.coordinator.release_requested(
            'h9', range_id, epoch, context.world.now
        )
    )


@behave.when('the request in flight is answered')
def answer_in_flight(context):
    host = _host(context, 'h1')
    now = context.world.now
    found = context.server.handle(context.in_flight, now)
    host.is_reachable = False
    host.run(
        ownership_fakes.deliver(
            host.coordinator, context.in_flight, found, now, now
        )
    )


@behave.when('the next request of h1 is answered')
def answer_next(context):
    answer(context, 'h1', 0.2)


@behave.when(
    'the table gives range {range_id:d} to a at epoch {epoch:d} '
    'without previous servers'
)
def assign(context, range_id, epoch):
    _assign_ranges(context, {range_id: assignment.RangeAssignment('a', epoch)})


@behave.when('the table gives range 5 to a at epoch 7, previously of b and c')
def assign_with_previous(context):
    row = assignment.RangeAssignment('a', 7, '', ('b', 'c'))
    _assign_ranges(context, {5: row})


@behave.when('the table gives range 5 to b at epoch 7 with standby a')
def assign_standby(context):
    _assign_ranges(context, {5: assignment.RangeAssignment('b', 7, 'a')})


@behave.when(
    'hot key 8 of range 3 is split out at epoch 1 and range 3 moves to epoch 6'
)
def split(context):
    rows = {
        3: assignment.RangeAssignment('a', 6, 'b', ('a', 'b')),
        8: assignment.RangeAssignment('c', 1, '', ('a', 'b'), 11),
    }
    _assign_ranges(context, rows)


@behave.when('{server} releases range 5 at epoch 7 to h1')
def release(context, server):
    host = _host(context, 'h1')
    host.run(host.coordinator.released(server, 5, 7, context.world.now))


@behave.when('h1 is asked under term {term:d} to promote range 5 at epoch 8')
def promote(context, term):
    host = _host(context, 'h1')
    host.run(
        host.coordinator.promotion_requested(term, {5: 8}, context.world.now)
    )


@behave.then('coordinator {name} is {state:w}')
def is_in_state(context, name, state):
    found = _host(context, name).coordinator.state
    assert found == state, found


@behave.then('h1 may not send work')
def may_not_work(context):
    found = _host(context, 'h1').coordinator
    assert not found.can_send_work(context.world.now)
    assert found.active == {}


@behave.then('h1 refuses its queued work')
def refuses_queued_work(context):
    assert _host(context, 'h1').of('StopWork')[-1].refuse_queued


@behave.then('h1 no longer grants range {range_id:d} below epoch {epoch:d}')
def no_longer_grants(context, range_id, epoch):
    # Requests sent before the last answer may still contain the epoch.
    sent = [a.ranges for a in _host(context, 'h1').sent[-2:]]
    assert all((r or {}).get(range_id, epoch) >= epoch for r in sent), sent
    held = context.server.holds(context.world.now)
    assert held.get(range_id, epoch) >= epoch, held


@behave.then('h1 reports range {range_id:d} at epoch {epoch:d} as an orphan')
def reports_orphan(context, range_id, epoch):
    found = _host(context, 'h1').of('AnnounceOrphans')
    assert found and found[-1].epochs == {range_id: epoch}, found


@behave.then(
    'coordinator {name} has range {range_id:d} active at epoch {epoch:d}'
)
def is_active(context, name, range_id, epoch):
    found = _host(context, name).coordinator.active
    assert found.get(range_id) == epoch, found


@behave.then('coordinator h1 has range {range_id:d} not active')
def is_not_active(context, range_id):
    assert range_id not in _host(context, 'h1').coordinator.active


@behave.then('h1 has queried no successor')
def queried_nobody(context):
    assert not _host(context, 'h1').of('QuerySuccessors')


@behave.then('h1 has promoted no standby')
def promoted_nobody(context):
    assert not _host(context, 'h1').of('PromoteStandby')


@behave.then(
    'h1 has promoted {server} for range {range_id:d} at epoch {epoch:d}'
)
def has_promoted(context, server, range_id, epoch):
    found = _host(context, 'h1').of('PromoteStandby')
    assert actions.PromoteStandby(server, {range_id: epoch}) in found, found


@behave.then('h1 has released nothing')
def released_nothing(context):
    assert not _host(context, 'h1').of('ConfirmRelease')


@behave.then('h1 has released range {range_id:d} below epoch {epoch:d} to h9')
def has_released(context, range_id, epoch):
    found = _host(context, 'h1').of('ConfirmRelease')
    assert found == [actions.ConfirmRelease('h9', range_id, epoch)], found


@behave.then('h1 has requested only b to release range 5')
def asked_only_b(context):
    found = {a.server for a in _host(context, 'h1').of('RequestRelease')}
    assert found == {'b'}, found


@behave.then('server a holds nothing')
def holds_nothing(context):
    found = context.server.holds(context.world.now)
    assert found == {}, found


@behave.then('server a holds range 3 at epoch 4')
def holds_range(context):
    assert context.server.holds(context.world.now) == {3: 4}


@behave.then('server a holds no epoch below 6 of range 3')
def holds_no_lower(context):
    found = context.server.holds(context.world.now)
    assert found.get(3, 6) >= 6, found
