"""Run command lines with repeatable options."""

from __future__ import annotations

import sys

import defopt


def join_repeated(arguments, flag):
    """Return arguments with the values of a repeated flag joined.

    argparse keeps only the last list when a list flag is repeated.
    """
    values, rest = [], []
    in_flag = False
    for argument in arguments:
        name, has_value, value = argument.partition('=')
        if name == flag:
            in_flag = not has_value
            values.extend([value] if has_value else [])
        elif argument.startswith('-') or not in_flag:
            in_flag = False
            rest.append(argument)
        else:
            values.append(argument)
    return [*rest, flag, *values] if values else rest


def run(main, *repeated):
    """Run a function as a command-line program.

    :param main: Function with annotated keyword-only arguments.
    :param repeated: Flags of list arguments that may be repeated.
    """
    arguments = sys.argv[1:]
    for flag in repeated:
        arguments = join_repeated(arguments, flag)
    return defopt.run(main, argv=arguments)
