"""``poplarfold show``: shows the catalogue entries in force on a daemon."""

import json
from argparse import ArgumentParser, Namespace
from typing import Any

from poplarfold._internal.cli.changes import rows_by_name
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.operator_client import client_from_options
from poplarfold._internal.cli.parser import add_operator_options
from poplarfold._internal.exceptions import EntryNotFoundError
from poplarfold._internal.utils.results import value_or_raise
from poplarfold._internal.utils.text_table import text_table

__all__ = ["add_arguments", "run"]

COLUMNS = ("name", "kind", "class", "owner", "service", "version", "revision", "state")


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold show`` to the parser."""
    parser.add_argument(
        "name", nargs="?", metavar="NAME", help="show all fields of this entry"
    )
    add_operator_options(parser)


def run(options: Namespace) -> int:
    """Print one entry as JSON, which ``amend`` accepts, or a table of all entries."""
    answer = value_or_raise(client_from_options(options).entries())
    rows = rows_by_name(answer)
    if options.name is not None:
        if options.name not in rows:
            raise EntryNotFoundError(f"no catalogue entry named {options.name!r}")
        print(json.dumps(rows[options.name], indent=2))
    elif options.json:
        print(json.dumps(answer))
    else:
        for line in text_table(COLUMNS, map(table_row, rows.values())):
            print(line)
    return int(ExitCode.SUCCESS)


def table_row(row: dict[str, Any]) -> list[str]:
    """Return the columns of one entry."""
    cells = [str(row.get(column, "")) for column in COLUMNS[:-1]]
    return [*cells, "retired" if row.get("retired") else "published"]
