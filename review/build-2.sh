#!/usr/bin/env bash
# Builds the stand-ins of the second review: compiles their Python files, and those of
# the project's stand-ins, to see that they can be read. Nothing is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q tests/lib review
