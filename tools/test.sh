#!/usr/bin/env bash
# Creates .venv, installs the package with its test tools, and runs the
# formatter, linter, type checker and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
python=${PYTHON:-python3}
[ -x .venv/bin/python ] || "$python" -m venv .venv
.venv/bin/pip install --quiet --constraint constraints.txt --editable '.[test]'
.venv/bin/ruff format --check .
.venv/bin/ruff check .
.venv/bin/mypy
exec .venv/bin/pytest "$@"
