"""The exit codes of the command-line tool, documented in docs/OPERATIONS.md."""

from enum import IntEnum

__all__ = ["StatusCode"]


class StatusCode(IntEnum):
    """What the exit code of a command means.

    2 is also what argparse uses for a wrong command line, and 130 is what
    shells report for SIGINT.
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


MEANINGS: dict[StatusCode, str] = {
    StatusCode.SUCCESS: "the command did what it was asked to do",
    StatusCode.FAILED: "the command failed, or what it checked was not so",
    StatusCode.USAGE: "the command line is wrong",
    StatusCode.INVALID_FILE: "a settings file, an entry or a log file is invalid",
    StatusCode.CONFLICT: "the amendment named a revision that is not current",
    StatusCode.UNREACHABLE: "the daemon did not answer; the outcome may be unknown",
    StatusCode.REFUSED: "the daemon refused the request",
    StatusCode.INCOMPLETE: "accepted, but not in force in every domain in time",
    StatusCode.NOT_FOUND: "the named entry or call does not exist",
    StatusCode.UNAVAILABLE: "this installation does not contain the command",
    StatusCode.INTERRUPTED: "interrupted from the keyboard",
}
