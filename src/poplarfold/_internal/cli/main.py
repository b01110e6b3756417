"""The entry point of the command-line tool."""

import os
import sys
from collections.abc import Sequence

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import build_parser
from poplarfold._internal.exceptions import (
    CommandUnavailableError,
    DaemonRefusedError,
    DaemonUnreachableError,
    EntryInvalidError,
    EntryNotFoundError,
    LogFileError,
    MetricsFormatError,
    MetricsUnavailableError,
    PlatformFormatError,
    PoplarfoldError,
    RevisionConflictError,
    SettingsError,
    UsageError,
)

__all__ = ["exit_code_of", "main"]

EXIT_CODES: dict[type[PoplarfoldError], ExitCode] = {
    CommandUnavailableError: ExitCode.UNAVAILABLE,
    DaemonRefusedError: ExitCode.REFUSED,
    DaemonUnreachableError: ExitCode.UNREACHABLE,
    EntryInvalidError: ExitCode.INVALID_FILE,
    EntryNotFoundError: ExitCode.NOT_FOUND,
    LogFileError: ExitCode.INVALID_FILE,
    MetricsFormatError: ExitCode.INVALID_FILE,
    MetricsUnavailableError: ExitCode.UNREACHABLE,
    PlatformFormatError: ExitCode.INVALID_FILE,
    RevisionConflictError: ExitCode.CONFLICT,
    SettingsError: ExitCode.INVALID_FILE,
    UsageError: ExitCode.USAGE,
}


def exit_code_of(error: PoplarfoldError) -> ExitCode:
    """Return the exit code for a failure."""
    for kind in type(error).__mro__:
        if kind in EXIT_CODES:
            return EXIT_CODES[kind]
    return ExitCode.FAILED


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        options = build_parser(arguments).parse_args(arguments)
        exit_code = int(options.run(options))
        sys.stdout.flush()
        return exit_code
    except PoplarfoldError as error:
        print(f"poplarfold: {error}", file=sys.stderr)
        return int(exit_code_of(error))
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)
    except BrokenPipeError:
        # The reader has closed standard output, as in `| head`. Without the
        # redirection, the interpreter reports the error again at its exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.FAILED)
