"""Define the exit codes and the error that ends a command with one."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Define the exit codes of the program."""

    #: The command has done what was asked.
    DONE = 0
    #: A host refused the command, or its answer or the stored data cannot be
    #: used. Also the result of ``diff`` if the manifest would be refused.
    REFUSED = 1
    #: The arguments or the input file are not valid.
    BAD_INPUT = 2
    #: A host or the store did not answer, or a host is unavailable (503).
    UNREACHABLE = 3
    #: The command was not confirmed in time; it may still take effect.
    TIMEOUT = 4


class CommandError(Exception):
    """End a command with an exit code and a message.

    :ivar code: The :class:`ExitCode`.
    :ivar advice: What the operator can do; empty if the message says it.
    """

    def __init__(self, code, message, advice=''):
        super().__init__(message)
        self.code = code
        self.advice = advice
