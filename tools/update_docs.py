"""Generates the reference tables of the documentation from the code.

    PYTHONPATH=src python tools/update_docs.py

Each table is between two HTML comments that name it. A test checks that the
tables are up to date.
"""

import sys
from collections.abc import Callable, Iterator
from pathlib import Path

from poplarfold._internal import exceptions
from poplarfold._internal.cli.exit_codes import MEANINGS
from poplarfold._internal.exceptions import PoplarfoldError
from poplarfold._internal.logs.catalogue import EVENTS
from poplarfold._internal.settings_file import KEYS, KeySpec

ROOT = Path(__file__).resolve().parent.parent
SEEN_BY = {
    "daemon_refused": "command line",
    "daemon_unreachable": "command line",
    "command_unavailable": "command line",
    "fleet_failed": "command line",
    "invalid_checkpoint": "log",
    "invalid_entry": "operators",
    "invalid_log_file": "command line",
    "invalid_metrics": "command line",
    "invalid_settings": "command line",
    "invariant_violation": "log",
    "log_gap": "log",
    "metrics_unavailable": "command line",
    "peer_protocol": "log",
    "revision_conflict": "operators",
    "usage": "command line",
}


def row(*cells: object) -> str:
    """Return one line of a table."""
    return "| " + " | ".join(str(cell).replace("|", "\\|") for cell in cells) + " |"


def settings_table() -> Iterator[str]:
    """Yield one row for each key of the settings file."""
    yield row("key", "type", "default", "range", "meaning")
    yield row(*["---"] * 5)
    for key in KEYS:
        yield row(
            f"`{key.path}`", key.kind, default_of(key), range_of(key), key.meaning
        )


def default_of(key: KeySpec) -> str:
    """Return the default in the notation of TOML."""
    if key.default is None:
        # A key of a named table is required only if the table exists.
        return "required in each table" if "*" in key.path else "required"
    if isinstance(key.default, bool):
        return f"`{str(key.default).lower()}`"
    return f'`"{key.default}"`' if isinstance(key.default, str) else f"`{key.default}`"


def range_of(key: KeySpec) -> str:
    """Return the range of a numeric key, or an empty string."""
    if key.kind not in ("integer", "number"):
        return ""
    return f"{key.minimum:g} to {key.maximum:g}"


def events_table() -> Iterator[str]:
    """Yield one row for each numbered event."""
    yield row("number", "name", "fields", "alert", "meaning")
    yield row(*["---"] * 5)
    for kind in EVENTS.values():
        fields = ", ".join(f"`{field}`" for field in kind.fields)
        alert = "yes" if kind.alert else ""
        yield row(kind.number, f"`{kind.name}`", fields, alert, kind.meaning)


def errors_table() -> Iterator[str]:
    """Yield one row for each error code, ordered by status."""
    yield row("code", "status", "outcome", "seen by", "meaning")
    yield row(*["---"] * 5)
    kinds = [
        kind
        for kind in vars(exceptions).values()
        if isinstance(kind, type) and issubclass(kind, PoplarfoldError)
    ]
    for kind in sorted(kinds, key=lambda kind: (kind.status, kind.code)):
        seen_by = SEEN_BY.get(kind.code, "callers")
        meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
        if kind is PoplarfoldError:
            meaning = "An internal error of the program."
        status = kind.status if seen_by in ("callers", "operators") else ""
        outcome = f"`{kind.outcome.value}`" if kind.outcome else ""
        yield row(f"`{kind.code}`", status, outcome, seen_by, meaning)


def exit_codes_table() -> Iterator[str]:
    """Yield one row for each exit code."""
    yield row("code", "meaning")
    yield row("---", "---")
    for code, meaning in MEANINGS.items():
        yield row(int(code), meaning)


TABLES: dict[str, tuple[str, Callable[[], Iterator[str]]]] = {
    "settings": ("docs/settings.md", settings_table),
    "events": ("docs/events.md", events_table),
    "errors": ("docs/callers.md", errors_table),
    "exit codes": ("docs/OPERATIONS.md", exit_codes_table),
}


def replace_table(text: str, name: str, lines: Iterator[str]) -> str:
    """Return the text of a page with one table replaced."""
    begin, end = f"<!-- begin table: {name} -->", f"<!-- end table: {name} -->"
    before, found_begin, rest = text.partition(begin)
    _, found_end, after = rest.partition(end)
    if not found_begin or not found_end:
        raise SystemExit(f"the page has no table named {name!r}")
    return "\n".join([before + begin, *lines, end + after])


def main() -> int:
    """Rewrite the pages whose tables are out of date."""
    for name, (page, table) in TABLES.items():
        path = ROOT / page
        text = path.read_text("utf-8")
        current = replace_table(text, name, table())
        if current != text:
            path.write_text(current, "utf-8")
            print(f"updated {page}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
