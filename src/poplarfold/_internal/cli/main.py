"""The entry point of the command-line tool."""

import argparse

from poplarfold import __version__

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    parser = argparse.ArgumentParser(prog="poplarfold")
    parser.add_argument("--version", action="version", version=__version__)
    parser.parse_args(argv)
    return 0
