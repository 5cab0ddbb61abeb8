"""Load the settings, configure the logs and run the application."""

from __future__ import annotations

import importlib
import sys

from radishferry import findings
from radishferryd import logs

#: Exit code of settings that are not valid.
EXIT_BAD_SETTINGS = 2


def launch(path, *, check=False, direct=False) -> int:
    """Run the process with a settings file.

    :param path: The settings file.
    :param check: Print all findings of the settings file and return.
    :param direct: Send requests to servers in one hop, for servers that
        check ownership themselves.
    :returns: Exit code: 0 after an orderly stop or valid settings, 2 for
        settings that are not valid, 1 for any other failure.
    """
    package = 'radishferryd.router' if direct else 'radishferryd'
    settings_module = importlib.import_module(f'{package}.settings')
    try:
        settings = settings_module.load(path)
    except findings.FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f'{path}: valid')
        return 0
    stream = None
    if direct:
        # Log output must not block the process when nobody reads it.
        scheduler = importlib.import_module('radishferryd.scheduler')
        log_output = importlib.import_module('radishferryd.router.log_output')
        stream = log_output.BoundedStream(
            sys.stdout.fileno(), scheduler.Scheduler.now
        )
    logs.configure(settings.log_level, settings.log_format, stream)
    # Imported here, because a check needs no poller and no sockets.
    app = importlib.import_module(f'{package}.app')
    if direct:
        return app.run(settings, stream) or 0
    return app.run(settings) or 0
