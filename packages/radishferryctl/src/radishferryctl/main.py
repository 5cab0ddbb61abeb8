"""Run the command line of operators."""

from __future__ import annotations

import sys

import defopt

from radishferryctl import commands
from radishferryctl import errors
from radishferryctl import manifest_commands
from radishferryctl import store_commands

#: All subcommands.
COMMANDS = (
    manifest_commands.check,
    manifest_commands.submit,
    manifest_commands.diff,
    manifest_commands.follow,
    manifest_commands.stop,
    commands.status,
    commands.servers,
    commands.ranges,
    commands.hot_keys,
    commands.dump,
    commands.poison,
    store_commands.check_configuration,
    store_commands.check_settings,
    store_commands.store_status,
    store_commands.store_servers,
    store_commands.store_ranges,
)


def run(argv) -> int:
    """Run one command.

    :param argv: Arguments without the program name.
    :returns: The exit code.
    :raises SystemExit: The arguments are not valid, with code 2.
    """
    try:
        defopt.run(
            list(COMMANDS),
            argv=_merge_host_options(argv),
            short={},
            no_negated_flags=True,
            argparse_kwargs={'prog': 'radishferryctl'},
        )
    except errors.CommandError as exc:
        print(f'radishferryctl: {exc}', file=sys.stderr)
        if exc.advice:
            print(f'radishferryctl: {exc.advice}', file=sys.stderr)
        return int(exc.code)
    except BrokenPipeError:
        # The reader of standard output, such as head, has closed the pipe.
        sys.stderr.close()
        return int(errors.ExitCode.DONE)
    return int(errors.ExitCode.DONE)


def main():
    """Run the program and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def _merge_host_options(argv):
    """Merge all ``--host`` options into one at the end of the arguments.

    defopt keeps only the last of a repeated option, and an option that takes
    a list would also consume the positional argument after it.
    """
    if argv.count('--hosts') > 1:
        raise errors.CommandError(
            errors.ExitCode.BAD_INPUT,
            'give --hosts once, with all addresses after it',
        )
    rest, hosts = [], []
    arguments = iter(argv)
    for argument in arguments:
        if argument.startswith('--host='):
            hosts.append(argument.partition('=')[2])
        elif argument == '--host':
            hosts.append(next(arguments, ''))
        else:
            rest.append(argument)
    return [*rest, '--host', *hosts] if hosts else rest


if __name__ == '__main__':
    main()
