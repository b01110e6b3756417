"""``poplarfold account list``: lists the accounts of a configuration, without keys."""

import json
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from pathlib import Path

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.cli.platform_files import read_configuration
from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    AccountTable,
    UsageUnit,
)
from poplarfold._internal.core.fleet.rows import RouteTable
from poplarfold._internal.utils.results import value_or_raise
from poplarfold._internal.utils.text_table import text_table

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold account list`` to the parser."""
    parser.add_argument(
        "config", type=Path, metavar="CONFIG", help="configuration document (JSON)"
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Print the accounts by name. Keys are only counted."""
    routes = value_or_raise(read_configuration(options.config))
    if options.json:
        print(json.dumps(as_document(routes)))
    else:
        for line in text_lines(routes):
            print(line)
    return int(ExitCode.SUCCESS)


def as_document(routes: RouteTable) -> dict[str, object]:
    """Return the accounts as a JSON document; None if the deployment has none."""
    table = routes.accounts
    return {
        "version": routes.version,
        "accounts": None if table is None else list(account_rows(table)),
    }


def account_rows(table: AccountTable) -> Iterator[dict[str, object]]:
    """Yield the fields of each account."""
    keys = table.key_counts()
    for name, account in sorted(table.accounts.items()):
        limit = None if account.limit is None else account.limit._asdict()
        yield {
            "name": name,
            "priority": account.priority,
            "keys": keys[name],
            "limit": limit,
        }


def text_lines(routes: RouteTable) -> Iterator[str]:
    """Yield the accounts as a table."""
    table = routes.accounts
    if table is None:
        yield f"configuration version {routes.version} has no accounts; keys are unused"
        return
    yield (
        f"configuration version {routes.version}: {len(table.accounts)} accounts, "
        f"{len(table.by_digest)} keys"
    )
    keys = table.key_counts()
    yield from text_table(
        ("account", "priority", "keys", "limit"),
        (
            (
                name,
                "the route's" if account.priority is None else str(account.priority),
                str(keys[name]),
                "none" if account.limit is None else limit_text(account.limit),
            )
            for name, account in sorted(table.accounts.items())
        ),
    )


def limit_text(limit: AccountLimit) -> str:
    """Return a limit as text."""
    text = f"{limit.rate_per_s:g} {limit.unit.value}/s, burst {limit.burst:g}"
    if limit.unit is UsageUnit.TOKENS:
        text += f", {limit.plain_tokens:g} for a call without a token count"
    return text
