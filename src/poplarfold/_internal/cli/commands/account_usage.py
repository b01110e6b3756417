"""``poplarfold account usage``: sums the calls and units of accounts over gateways."""

import json
import sys
from argparse import ArgumentParser, Namespace
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from poplarfold._internal.cli.account_metrics import GatewayUse, read_metrics
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import exit_code_of
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.exceptions import PoplarfoldError, UsageError
from poplarfold._internal.utils.text_table import text_table

__all__ = ["AccountUse", "add_arguments", "run", "sum_uses"]

# Hosts that do not respond take seconds each.
READERS = 16
OK = "ok"
HEADER = ("account", "calls", "ok", "other results")
UNIT_RESULTS = ("admitted", "returned", "refused")


class AccountUse(NamedTuple):
    """The calls and units of one account over all processes, by result.

    ``units`` is empty for an account without a limit.
    """

    account: str
    calls: dict[str, int]
    units: dict[str, int]

    @property
    def used_units(self) -> int:
        """The units that the quota has counted: admitted and not returned."""
        return self.units.get("admitted", 0) - self.units.get("returned", 0)


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold account usage`` to the parser."""
    parser.add_argument(
        "sources",
        nargs="+",
        metavar="METRICS",
        help="metrics text of a gateway: a file, or http://IP:PORT",
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Print the sums of what could be read.

    If a source could not be read, the exit code is that of its failure.
    """
    sources: list[str] = options.sources
    if len(set(sources)) < len(sources):
        raise UsageError("a source is named twice and would be counted twice")
    with ThreadPoolExecutor(READERS) as readers:
        results = list(readers.map(read_metrics, sources))
    uses = [result.unwrap() for result in results if result.is_ok()]
    failures = [result.unwrap_err() for result in results if result.is_err()]
    rows = sum_uses(uses)
    if options.json:
        print(json.dumps(as_document(uses, rows, failures)))
    else:
        for line in text_lines(uses, rows):
            print(line)
    sys.stdout.flush()
    for error in failures:
        print(f"poplarfold: not counted: {error}", file=sys.stderr)
    return int(exit_code_of(failures[0]) if failures else ExitCode.SUCCESS)


def sum_uses(uses: Sequence[GatewayUse]) -> list[AccountUse]:
    """Return the use of each account over all processes, by name."""
    calls: Counter[tuple[str, str]] = Counter()
    units: Counter[tuple[str, str]] = Counter()
    for use in uses:
        calls.update(use.calls)
        units.update(use.units)
    names = sorted({name for name, _ in (*calls, *units)})
    rows = {name: AccountUse(name, {}, {}) for name in names}
    for (name, result), count in sorted(calls.items()):
        rows[name].calls[result] = count
    for (name, result), count in sorted(units.items()):
        rows[name].units[result] = count
    return list(rows.values())


def as_document(
    uses: Sequence[GatewayUse],
    rows: Sequence[AccountUse],
    failures: Sequence[PoplarfoldError],
) -> dict[str, object]:
    """Return the sums as a JSON document."""
    return {
        "processes": len(uses),
        "versions": sorted({use.version for use in uses}),
        "accounts": [
            {**row._asdict(), "used_units": row.used_units if row.units else None}
            for row in rows
        ],
        "not_counted": [
            {"code": error.code, "problem": str(error)} for error in failures
        ],
    }


def text_lines(uses: Sequence[GatewayUse], rows: Sequence[AccountUse]) -> Iterator[str]:
    """Yield the sums as text."""
    versions = ", ".join(map(str, sorted({use.version for use in uses})))
    yield (
        f"{len(uses)} process(es), each since its start; configuration versions: "
        f"{versions or 'none'}"
    )
    if not rows:
        yield "no calls of accounts were counted"
        return
    yield ""
    header = (*HEADER, *(f"units {name}" for name in UNIT_RESULTS), "units used")
    yield from text_table(header, map(table_row, rows))


def table_row(row: AccountUse) -> list[str]:
    """Return the columns of one account. Without a limit, it has no units."""
    others = [f"{name} {n}" for name, n in row.calls.items() if name != OK]
    columns = [row.account, str(sum(row.calls.values())), str(row.calls.get(OK, 0))]
    columns.append(", ".join(others) or "-")
    if not row.units:
        return [*columns, *["-"] * (len(UNIT_RESULTS) + 1)]
    units = [str(row.units.get(name, 0)) for name in UNIT_RESULTS]
    return [*columns, *units, str(row.used_units)]
