"""Exit codes and the error that ends a command."""

from __future__ import annotations

import enum

from radishmux.outcome import Conflict, NotFound, Unavailable


class ExitCode(enum.IntEnum):
    """Exit codes of radishctl, documented in docs/operators-guide.md."""

    DONE = 0
    WRONG_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_FOUND = 5


class CliError(Exception):
    """Ends the command with a message and an exit code."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.message = message
        self.exit_code = exit_code


def error_from(outcome: Unavailable) -> CliError:
    """Returns the error, with its exit code, for a failed store call."""
    for kind, exit_code in _EXIT_CODES:
        if isinstance(outcome, kind):
            return CliError(outcome.reason, exit_code)
    return CliError(outcome.reason, ExitCode.UNAVAILABLE)


_EXIT_CODES: tuple[tuple[type[Unavailable], ExitCode], ...] = (
    (Conflict, ExitCode.CONFLICT),
    (NotFound, ExitCode.NOT_FOUND),
)
