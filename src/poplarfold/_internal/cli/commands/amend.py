"""``poplarfold amend``: changes a published entry and shows the difference."""

import sys
from argparse import ArgumentParser, Namespace

from poplarfold._internal.cli.changes import (
    add_change_options,
    propose,
    rows_by_name,
)
from poplarfold._internal.cli.entry_files import entry_diff, read_entry
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.operator_client import client_from_options
from poplarfold._internal.exceptions import DaemonUnreachableError, EntryNotFoundError
from poplarfold._internal.utils.results import value_or_raise

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold amend`` to the parser."""
    add_change_options(parser)
    parser.add_argument(
        "--base",
        type=int,
        metavar="REVISION",
        help="revision that the change was made from (default: the file's "
        "`revision` field, else the current one)",
    )
    parser.add_argument(
        "--dry-run", action="store_true", help="show the difference and change nothing"
    )


def run(options: Namespace) -> int:
    """Amend an entry. The change is rejected if its base is no longer current."""
    proposed = value_or_raise(read_entry(options.file))
    client = client_from_options(options)
    current = rows_by_name(value_or_raise(client.entries())).get(proposed.name)
    if current is None:
        raise EntryNotFoundError(
            f"no catalogue entry named {proposed.name!r}; use `poplarfold publish`"
        )
    # Printed to standard error, so that standard output contains only the JSON.
    difference = entry_diff(current, proposed.fields)
    for line in difference or ["the entry would not change"]:
        print(line, file=sys.stderr)
    if options.dry_run or not difference:
        return int(ExitCode.SUCCESS)
    base = options.base if options.base is not None else proposed.base_revision
    if base is None:
        base = current.get("revision")
    if not isinstance(base, int):
        raise DaemonUnreachableError("the response of the daemon contains no revision")
    return propose(client, options, base, proposed.fields)
