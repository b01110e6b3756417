"""``poplarfold check``: checks settings files and entries without a daemon."""

import json
import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path

from poplarfold._internal.cli.entry_files import read_entry
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.exceptions import SettingsError, SettingsProblem
from poplarfold._internal.settings_file import read_settings

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold check`` to the parser."""
    parser.add_argument(
        "files",
        nargs="+",
        type=Path,
        metavar="FILE",
        help="settings (.toml) or a catalogue entry (.json)",
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Check every file and list all problems."""
    problems: list[SettingsProblem] = []
    for path in options.files:
        problems.extend(problems_of(path))
    if options.json:
        print(json.dumps({"problems": [problem._asdict() for problem in problems]}))
    else:
        for problem in problems:
            print(problem, file=sys.stderr)
        if not problems:
            print(f"{len(options.files)} file(s) checked, no problems")
    return int(ExitCode.INVALID_FILE if problems else ExitCode.SUCCESS)


def problems_of(path: Path) -> tuple[SettingsProblem, ...]:
    """Return the problems of one file."""
    if path.suffix not in (".toml", ".json"):
        return (SettingsProblem(str(path), 0, "", "the name must end in .toml/.json"),)
    error: SettingsError | None
    if path.suffix == ".toml":
        error = read_settings(path).err()
    else:
        error = read_entry(path).err()
    return error.problems if error else ()
