"""Declare exit codes and the error that carries one."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Tell a script how a command ended."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    TIMEOUT = 4


class CommandError(Exception):
    """End a command.

    :ivar code: The :class:`ExitCode`.
    :ivar advice: What the operator can do, empty when the message says it.
    """

    def __init__(self, code, message, advice=''):
        super().__init__(message)
        self.code = code
        self.advice = advice
