"""The entry point of the command-line tool."""

import os
import sys
from collections.abc import Sequence

from poplarfold._internal.cli.parser import build_parser
from poplarfold._internal.cli.status_codes import StatusCode
from poplarfold._internal.exceptions import (
    CommandUnavailableError,
    DaemonRefusedError,
    DaemonUnreachableError,
    EntryInvalidError,
    EntryNotFoundError,
    LogFileError,
    PoplarfoldError,
    RevisionConflictError,
    SettingsError,
    UsageError,
)

__all__ = ["main", "status_of"]

STATUS_BY_ERROR: dict[type[PoplarfoldError], StatusCode] = {
    CommandUnavailableError: StatusCode.UNAVAILABLE,
    DaemonRefusedError: StatusCode.REFUSED,
    DaemonUnreachableError: StatusCode.UNREACHABLE,
    EntryInvalidError: StatusCode.INVALID_FILE,
    EntryNotFoundError: StatusCode.NOT_FOUND,
    LogFileError: StatusCode.INVALID_FILE,
    RevisionConflictError: StatusCode.CONFLICT,
    SettingsError: StatusCode.INVALID_FILE,
    UsageError: StatusCode.USAGE,
}


def status_of(error: PoplarfoldError) -> StatusCode:
    """Return the exit code for a failure."""
    for kind in type(error).__mro__:
        if kind in STATUS_BY_ERROR:
            return STATUS_BY_ERROR[kind]
    return StatusCode.FAILED


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        options = build_parser(arguments).parse_args(arguments)
        status = int(options.run(options))
        sys.stdout.flush()
        return status
    except PoplarfoldError as error:
        print(f"poplarfold: {error}", file=sys.stderr)
        return int(status_of(error))
    except KeyboardInterrupt:
        return int(StatusCode.INTERRUPTED)
    except BrokenPipeError:
        # The reader of standard output has gone, as with `| head`. Without
        # the redirection the interpreter would complain again when it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(StatusCode.FAILED)
