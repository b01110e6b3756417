"""Shared fixtures, and the treatment of tests that are known to fail."""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

# CI's verdict must be the same each time: fixed examples, and no limit on the
# time of one example, which depends on what else the machine does.
settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def read_known_red():
    """Return the ids of the tests in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[6:].strip() for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items):
    """Run the tests of KNOWN-RED.txt, but do not fail for them."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print each test of KNOWN-RED.txt with its outcome."""
    for name, outcome in (("xfailed", "fails"), ("xpassed", "passes")):
        for report in terminalreporter.getreports(name):
            terminalreporter.write_line(f"KNOWN-RED {outcome}: {report.nodeid}")
