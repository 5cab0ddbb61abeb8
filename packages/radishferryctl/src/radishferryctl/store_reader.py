"""Read tables of the platform's store for a command."""

from __future__ import annotations

from circuits.core import Component

from radishferry import field_checks
from radishferryctl import errors
from radishferryd import poller as poller_module
from radishferryd import scheduler as scheduler_module
from radishferryd.platform import store as store_module

#: Timeout of a command, in seconds. A read takes some milliseconds, and the
#: store client times out after 0.9 s for each page.
TIMEOUT_S = 10.0


class _Loop(Component):
    """Run the event loop until every table has been read."""

    channel = 'store-reader'


def read(store, tables) -> dict[str, store_module.Rows]:
    """Return the rows of each table by the name of the table.

    :param store: Address of the store as ``ip:port``.
    :raises CommandError: The address is not valid, or a table cannot be read.
    """
    problem = field_checks.check_address(store)
    if problem:
        raise errors.CommandError(
            errors.ExitCode.BAD_INPUT, f'store "{store}": {problem}'
        )
    ip, _, port = store.rpartition(':')
    loop = _Loop()
    poller = poller_module.SocketPoller().register(loop)
    scheduler = scheduler_module.Scheduler().register(loop)
    client = store_module.Store(poller, scheduler, (ip, int(port)))
    answers = {}

    def collect(table, answer):
        answers[table] = answer
        if len(answers) == len(tables):
            loop.stop()

    for table in tables:
        client.read(table, lambda answer, table=table: collect(table, answer))
    scheduler.call_later(TIMEOUT_S, loop.stop)
    loop.run()
    for table in tables:
        answer = answers.get(table)
        if not isinstance(answer, store_module.Rows):
            detail = answer.detail if answer else f'no answer in {TIMEOUT_S} s'
            raise errors.CommandError(
                errors.ExitCode.UNREACHABLE,
                f'{store}: table {table} cannot be read: {detail}',
                'check the address; hosts have it in [platform] address',
            )
    return answers
