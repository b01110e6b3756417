"""Checks the documentation against the code."""

import ast
import importlib.util
import re
from pathlib import Path

import pytest

from poplarfold._internal.cli.commands import COMMANDS
from poplarfold._internal.daemon.metrics import DaemonMetrics
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.logs.catalogue import EVENTS

ROOT = Path(__file__).resolve().parents[2]
SOURCE = ROOT / "src"
PAGES = [*ROOT.glob("docs/*.md"), *ROOT.glob("*.md"), ROOT / "examples/README.md"]


def load_update_docs():
    path = ROOT / "tools/update_docs.py"
    spec = importlib.util.spec_from_file_location("update_docs", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


UPDATE_DOCS = load_update_docs()


@pytest.mark.parametrize("name", UPDATE_DOCS.TABLES)
def test_reference_tables_are_current(name):
    """Guards against a table that differs from the keys, events or codes.

    ``PYTHONPATH=src python tools/update_docs.py`` writes the tables.
    """
    page, table = UPDATE_DOCS.TABLES[name]
    text = (ROOT / page).read_text("utf-8")
    assert UPDATE_DOCS.replace_table(text, name, table()) == text


def is_number(value):
    return isinstance(value, str) and re.fullmatch(r"PF\d{4}", value)


def written_events():
    """Yield (number, field names, place) for each event that the code writes."""
    for path in sorted(SOURCE.rglob("*.py")):
        if path.parent.name == "logs":
            continue
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Constant) and is_number(node.value):
                yield node.value, set(), f"{path.name}:{node.lineno}"
            if not isinstance(node, ast.Call) or not node.args:
                continue
            first = node.args[0]
            if isinstance(first, ast.Constant) and is_number(first.value):
                fields = {keyword.arg for keyword in node.keywords}
                for value in node.args[1:]:
                    if isinstance(value, ast.Dict):
                        fields |= {key.value for key in value.keys}
                yield first.value, fields, f"{path.name}:{node.lineno}"


def test_the_code_writes_exactly_the_events_of_the_catalogue():
    """Guards against events whose number or fields differ from the catalogue."""
    wrong = [
        (number, place, fields)
        for number, fields, place in written_events()
        if number not in EVENTS or not fields <= set(EVENTS[number].fields)
    ]
    assert wrong == []
    assert {number for number, _, _ in written_events()} == set(EVENTS)


def test_the_metrics_page_lists_exactly_the_metrics():
    """Guards against an alert on a metric that does not exist."""
    text = (ROOT / "docs/metrics.md").read_text("utf-8")
    daemon, _, gateway = text.partition("\n## On the prepared platform\n")
    for part, metrics in ((daemon, DaemonMetrics()), (gateway, GatewayMetrics())):
        documented = set(re.findall(r"^\| `(poplarfold_\w+)`", part, re.M))
        assert documented == set(metrics.registry.collectors)


def test_link_targets_exist():
    """Guards against broken links to pages and sections."""
    for page in PAGES:
        for target in re.findall(r"\]\(([^)\s]+)\)", page.read_text("utf-8")):
            name, _, section = target.partition("#")
            path = page.parent / name if name else page
            assert path.exists(), (page.name, target)
            if section:
                headings = re.findall(r"^#+ (.*)$", path.read_text("utf-8"), re.M)
                slugs = {heading.lower().replace(" ", "-") for heading in headings}
                assert section in slugs, (page.name, target)


def test_event_numbers_and_commands_in_pages_exist():
    """Guards against a page with an unknown event number or command."""
    for page in PAGES:
        text = page.read_text("utf-8")
        if page.name != "design.md":
            assert set(re.findall(r"\bPF\d{4}\b", text)) <= set(EVENTS), page.name
        for command in re.findall(r"`poplarfold ([a-z]+)", text):
            assert command in COMMANDS, (page.name, command)


def test_the_readme_keeps_the_commands_that_ci_reads():
    """Guards against a README without the commands that CI extracts from it."""
    lines = (ROOT / "README.md").read_text("utf-8").split("\n")
    assert "    bash tools/test.sh" in lines
    assert any(line.endswith("demo --input examples/transcript.txt") for line in lines)
