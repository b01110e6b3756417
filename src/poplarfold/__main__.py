"""Runs the command-line tool with ``python -m poplarfold``."""

import sys

from poplarfold._internal.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
