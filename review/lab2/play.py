"""Run a case and turn its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import traceback

from lab2 import bed as bed_module

#: Seconds after which a case counts as one that could not run.
LIMIT_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def main(play, folder, **bed_options):
    """Run a case.

    :param play: Coroutine function that takes a
        :class:`~lab2.bed.Bed` and whether there is trouble, and returns why
        the rule is broken, or an empty text if it held.
    :param folder: Where ``record.txt`` is written.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        loop = asyncio.get_running_loop()
        this_task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, this_task.cancel)
        bed = bed_module.Bed(**bed_options)
        try:
            return await asyncio.wait_for(play(bed, has_trouble), LIMIT_S)
        finally:
            bed.stop()
            bed.write_record(pathlib.Path(folder) / 'record.txt')

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        print('the case could not run')
        sys.exit(CANNOT_RUN)
    print(f'broken: {broken}' if broken else 'the rule held')
    sys.exit(BROKEN if broken else HELD)
