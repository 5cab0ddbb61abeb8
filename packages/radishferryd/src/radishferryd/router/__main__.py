"""Start a direct-mode host with ``python -m radishferryd.router FILE``.

The platform starts each host with this fixed command. Arguments are parsed
by hand because the argument library of ``radishferryd`` would add 10 MB of
memory and 0.16 s to every start.
"""

from __future__ import annotations

import sys

from radishferryd import launch

#: Exit code for an invalid command line.
EXIT_USAGE = 2


def main(arguments) -> int:
    """Run the process.

    :param arguments: List with the path of the settings file only.
    :returns: Exit code, see :func:`radishferryd.launch.launch`.
    """
    if len(arguments) != 1:
        print('usage: python -m radishferryd.router FILE', file=sys.stderr)
        return EXIT_USAGE
    return launch.launch(arguments[0], direct=True)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
