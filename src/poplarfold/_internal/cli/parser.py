"""Builds the argument parser and imports only the module of the chosen command."""

import os
from argparse import ArgumentParser
from collections.abc import Mapping, Sequence
from pathlib import Path

from poplarfold import __version__
from poplarfold._internal.cli.commands import (
    COMMANDS,
    GROUPS,
    CommandSpec,
    load,
)

__all__ = [
    "TOKEN_VARIABLE",
    "URL_VARIABLE",
    "add_json_option",
    "add_operator_options",
    "add_subcommands",
    "build_parser",
    "positive_seconds",
]

URL_VARIABLE = "POPLARFOLD_OPERATOR_URL"
TOKEN_VARIABLE = "POPLARFOLD_OPERATOR_TOKEN"


def build_parser(argv: Sequence[str]) -> ArgumentParser:
    """Return the parser for a command line.

    Only the module of the named command is imported, so the subparsers of the
    other commands have no arguments. Raises CommandUnavailableError if the named
    command is not installed.
    """
    parser = ArgumentParser(
        prog="poplarfold",
        description="A router for separate prefill and decode pools.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    words = [word for word in argv if not word.startswith("-")]
    chosen = words[0] if words else None
    nested = words[1] if len(words) > 1 else None
    add_subcommands(parser, COMMANDS, chosen, "command", nested)
    return parser


def add_subcommands(
    parser: ArgumentParser,
    specs: Mapping[str, CommandSpec],
    chosen: str | None,
    title: str,
    nested: str | None = None,
) -> None:
    """Add a subparser for each command, with arguments for the chosen one."""
    group = parser.add_subparsers(metavar=title.upper(), required=True)
    for spec in specs.values():
        child = group.add_parser(
            spec.name, help=spec.summary, description=spec.summary.capitalize() + "."
        )
        if spec.name != chosen:
            continue
        if specs is COMMANDS and spec.name in GROUPS:
            add_subcommands(child, GROUPS[spec.name], nested, spec.name)
            continue
        module = load(spec)
        module.add_arguments(child)
        child.set_defaults(run=module.run)


def add_json_option(parser: ArgumentParser) -> None:
    """Add ``--json``."""
    parser.add_argument(
        "--json", action="store_true", help="print machine-readable output"
    )


def add_operator_options(parser: ArgumentParser) -> None:
    """Add the options for the URL of a daemon and the operator's token."""
    parser.add_argument(
        "--url",
        default=os.environ.get(URL_VARIABLE, "http://127.0.0.1:8081"),
        help=f"operators' URL of a daemon (default: ${URL_VARIABLE} or %(default)s)",
    )
    parser.add_argument(
        "--token-file",
        type=Path,
        metavar="FILE",
        help=f"file with the operator's bearer token (default: ${TOKEN_VARIABLE})",
    )
    add_json_option(parser)


def positive_seconds(text: str) -> float:
    """Parse a time in seconds, above 0 and at most one day."""
    value = float(text)
    if not 0 < value <= 86_400:
        raise ValueError("must be above 0 and at most 86400 seconds")
    return value
