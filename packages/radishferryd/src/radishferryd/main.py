"""Start the entry host process from the command line."""

from __future__ import annotations

import pathlib
import sys

import defopt

from radishferryd import launch


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
    return launch.launch(settings, check=check, direct=direct)


def main():
    """Run the program and exit with its code."""
    sys.exit(defopt.run(radishferryd))


if __name__ == '__main__':
    main()
