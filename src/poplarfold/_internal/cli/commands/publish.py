"""``poplarfold publish``: publishes a new catalogue entry."""

from argparse import ArgumentParser, Namespace

from poplarfold._internal.cli.changes import add_change_options, propose
from poplarfold._internal.cli.entry_files import read_entry
from poplarfold._internal.cli.operator_client import client_from_options
from poplarfold._internal.utils.results import value_or_raise

__all__ = ["add_arguments", "run"]

NO_REVISION = -1


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold publish`` to the parser."""
    add_change_options(parser)


def run(options: Namespace) -> int:
    """Publish an entry. Its name must not be in the catalogue yet."""
    entry = value_or_raise(read_entry(options.file))
    client = client_from_options(options)
    return propose(client, options, NO_REVISION, entry.fields)
