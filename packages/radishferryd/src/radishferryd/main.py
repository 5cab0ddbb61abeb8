"""Start the entry host process."""

from __future__ import annotations

import importlib
import pathlib
import sys

import defopt

from radishferry import findings
from radishferryd import logs

#: Exit code of settings that are not valid.
EXIT_BAD_SETTINGS = 2


def radishferryd(
    *,
    settings: pathlib.Path,
    check: bool = False,
    direct: bool = False,
) -> int:
    """Route requests to the servers that own their keys.

    Exit codes: 0 after an orderly stop or valid settings, 2 for settings
    that are not valid, 1 for any other failure.

    :param settings: The settings file.
    :param check: Print all findings of the settings file and exit.
    :param direct: Send to servers in one hop, for servers that check
        ownership themselves.
    """
    part = 'radishferryd.router' if direct else 'radishferryd'
    settings_module = importlib.import_module(f'{part}.settings')
    try:
        loaded = settings_module.load(settings)
    except findings.FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f'{settings}: valid')
        return 0
    stream = None
    if direct:
        scheduler = importlib.import_module('radishferryd.scheduler')
        output = importlib.import_module('radishferryd.router.log_output')
        stream = output.BoundedStream(
            sys.stdout.fileno(), scheduler.Scheduler.now
        )
    logs.configure(loaded.log_level, loaded.log_format, stream)
    # A check needs no poller and no sockets, so the application is loaded
    # only when it runs.
    app = importlib.import_module(f'{part}.app')
    if direct:
        return app.run(loaded, stream) or 0
    return app.run(loaded) or 0


def main():
    """Run the program and exit with its code."""
    sys.exit(defopt.run(radishferryd))


if __name__ == '__main__':
    main()
