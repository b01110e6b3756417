"""The exit codes of the command-line tool, documented in docs/OPERATIONS.md."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit code of a command.

    argparse also uses 2 for an invalid command line, and shells report 130 for
    SIGINT.
    """

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    INVALID_FILE = 3
    CONFLICT = 4
    UNREACHABLE = 5
    REFUSED = 6
    INCOMPLETE = 7
    NOT_FOUND = 8
    UNAVAILABLE = 9
    INTERRUPTED = 130


MEANINGS: dict[ExitCode, str] = {
    ExitCode.SUCCESS: "the command did what it was asked to do",
    ExitCode.FAILED: "the command failed, or its check did not pass",
    ExitCode.USAGE: "the command line is invalid",
    ExitCode.INVALID_FILE: (
        "a settings file, an entry, a log file, a metrics text or a file of the "
        "platform is invalid"
    ),
    ExitCode.CONFLICT: "the base revision of the amendment is not the current revision",
    ExitCode.UNREACHABLE: (
        "the daemon or a gateway did not respond; the outcome may be unknown"
    ),
    ExitCode.REFUSED: "the daemon refused the request",
    ExitCode.INCOMPLETE: "accepted, but not in force everywhere or not drained in time",
    ExitCode.NOT_FOUND: "the named entry or call does not exist",
    ExitCode.UNAVAILABLE: "this installation does not contain the command",
    ExitCode.INTERRUPTED: "interrupted from the keyboard",
}
