"""Define the exit codes and the error that ends a command with one."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Define the exit codes of the program."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
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
