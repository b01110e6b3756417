"""``poplarfold check``: checks settings files and entries without a daemon."""

import json
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from result import Result

from poplarfold._internal.cli.entry_files import read_entry
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.exceptions import SettingsError, SettingsProblem
from poplarfold._internal.gateway.settings import (
    OLD_TABLES,
    GatewaySettings,
    check_gateway_settings,
)
from poplarfold._internal.settings_file import KEYS, check_settings
from poplarfold._internal.toml_file import TomlFile, read_toml

__all__ = ["add_arguments", "run"]

DAEMON_TABLES = {spec.path.partition(".")[0] for spec in KEYS}
GATEWAY_KEYS = {*GatewaySettings._fields, *OLD_TABLES}


class Findings(NamedTuple):
    """What a check has found in a file. It is valid if it only has warnings."""

    problems: tuple[SettingsProblem, ...] = ()
    warnings: tuple[SettingsProblem, ...] = ()


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold check`` to the parser."""
    parser.add_argument(
        "files",
        nargs="+",
        type=Path,
        metavar="FILE",
        help="settings of poplarfoldd or poplarfold-gateway (.toml), or a catalogue "
        "entry (.json)",
    )
    parser.add_argument(
        "--gateway",
        action="store_true",
        help="check each .toml file as settings of poplarfold-gateway; by default, "
        "the keys in a file tell whose settings they are",
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Check every file and list all problems."""
    problems: list[SettingsProblem] = []
    warnings: list[SettingsProblem] = []
    for path in options.files:
        found = check_file(path, options.gateway)
        problems.extend(found.problems)
        warnings.extend(found.warnings)
    if options.json:
        lists = {"problems": problems, "warnings": warnings}
        print(
            json.dumps(
                {name: [row._asdict() for row in rows] for name, rows in lists.items()}
            )
        )
    else:
        for problem in problems:
            print(problem, file=sys.stderr)
        for warning in warnings:
            print(f"{warning} (warning)", file=sys.stderr)
        if not problems:
            print(f"{len(options.files)} file(s) checked, no problems")
    return int(ExitCode.INVALID_FILE if problems else ExitCode.SUCCESS)


def check_file(path: Path, is_gateway: bool) -> Findings:
    """Check one file; ``is_gateway`` takes any settings for those of a gateway."""
    if path.suffix == ".json":
        return findings_of(read_entry(path))
    if path.suffix != ".toml":
        message = "the name must end in .toml/.json"
        return Findings((SettingsProblem(str(path), 0, "", message),))
    read = read_toml(path)
    if read.is_err():
        return findings_of(read)
    source = read.unwrap()
    if is_gateway or has_gateway_keys(source.document):
        return check_gateway_file(source)
    return findings_of(check_settings(source))


def has_gateway_keys(document: Mapping[str, object]) -> bool:
    """Return whether settings are those of a gateway, and not of a daemon.

    A daemon's settings are all in tables, so that another key, known or not, is one
    of a gateway if the file has no table of a daemon.
    """
    if DAEMON_TABLES & document.keys():
        return False
    return any(
        key in GATEWAY_KEYS or not isinstance(value, dict)
        for key, value in document.items()
    )


def check_gateway_file(source: TomlFile) -> Findings:
    """Check the settings of a gateway."""
    checked = check_gateway_settings(source)
    if checked.is_err():
        return findings_of(checked)
    warnings = (
        SettingsProblem(
            source.file,
            key.line,
            key.old,
            f"is the old name of [{key.new}]; the next version rejects it",
        )
        for key in checked.unwrap().renamed
    )
    return Findings(warnings=tuple(warnings))


def findings_of(checked: Result[object, SettingsError]) -> Findings:
    """Return the problems of a file that was checked."""
    error = checked.err()
    return Findings(error.problems if error else ())
