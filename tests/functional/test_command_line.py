"""Tests of the command line with a stand-in for the operators' interface."""

import json

import pytest
from tests.lib.operator_stand_in import TOKEN, OperatorStandIn

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import main

ENTRY = {
    "name": "captions",
    "kind": "model",
    "owner": "studio",
    "service": "design-llm",
    "version": "sha256:1",
    "class": "interactive",
    "targets": {"first_output_s": 0.46, "between_outputs_s": 0.029},
}
UP = {"reachable": True, "revision": 11}


@pytest.fixture
def daemon(monkeypatch):
    stand_in = OperatorStandIn()
    monkeypatch.setenv("POPLARFOLD_OPERATOR_URL", stand_in.url)
    monkeypatch.setenv("POPLARFOLD_OPERATOR_TOKEN", TOKEN)
    yield stand_in
    stand_in.close()


@pytest.fixture
def entry_path(tmp_path):
    path = tmp_path / "captions.json"
    path.write_text(json.dumps(ENTRY, indent=2))
    return path


def test_publish_waits_and_names_a_domain_that_cannot_be_reached(
    daemon, entry_path, capsys
):
    """Guards against reported success while a domain is unreachable."""
    daemon.domains = {"galway-a": UP, "dublin-a": {"reachable": False, "revision": 9}}
    arguments = ["publish", str(entry_path), "--wait", "--timeout", "0.5"]
    assert main(arguments) == ExitCode.INCOMPLETE
    output = capsys.readouterr().out
    assert "dublin-a: cannot be reached (last known revision 9)" in output
    assert "galway-a: in force (revision 11)" in output


def test_a_second_publish_is_a_conflict_that_shows_the_current_entry(
    daemon, entry_path, capsys
):
    """Guards against a publish that overwrites another operator's entry."""
    daemon.domains = {"galway-a": UP}
    assert main(["publish", str(entry_path), "--wait", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["in_force_everywhere"] is True
    assert main(["publish", str(entry_path), "--json"]) == ExitCode.CONFLICT
    answer = json.loads(capsys.readouterr().out)
    assert answer["current"]["revision"] == 11


def test_amend_shows_the_difference_and_rejects_an_old_base(daemon, entry_path, capsys):
    """Guards against an amendment that reverts a concurrent change."""
    main(["publish", str(entry_path)])
    capsys.readouterr()
    assert main(["show", "captions"]) == 0
    shown = json.loads(capsys.readouterr().out)
    entry_path.write_text(json.dumps(shown | {"version": "sha256:2"}))
    assert main(["amend", str(entry_path), "--dry-run"]) == 0
    assert daemon.entries["captions"]["version"] == "sha256:1"
    assert main(["amend", str(entry_path)]) == 0
    assert '+  "version": "sha256:2"' in capsys.readouterr().err
    entry_path.write_text(json.dumps(shown | {"version": "sha256:3"}))
    assert main(["amend", str(entry_path)]) == ExitCode.CONFLICT
    assert daemon.entries["captions"]["version"] == "sha256:2"


def test_status_and_drain(daemon, capsys):
    """Guards against a wrong state of a node, or a drain that ends too early."""
    daemon.domains = {"galway-a": UP}
    assert main(["status"]) == 0
    assert "g1 (incarnation 5) in galway-a: ready" in capsys.readouterr().out
    assert main(["drain", "--wait", "--timeout", "0.3"]) == ExitCode.INCOMPLETE
    assert ("POST", "/operator/v1/drain", {}) in daemon.requests


def test_failures_have_their_own_exit_codes(daemon, entry_path, capsys, monkeypatch):
    """Guards against exit codes that do not tell a refusal from an outage."""
    assert main(["show", "none"]) == ExitCode.NOT_FOUND
    monkeypatch.setenv("POPLARFOLD_OPERATOR_TOKEN", "wrong")
    assert main(["status"]) == ExitCode.REFUSED
    monkeypatch.delenv("POPLARFOLD_OPERATOR_TOKEN")
    assert main(["status"]) == ExitCode.USAGE
    monkeypatch.setenv("POPLARFOLD_OPERATOR_TOKEN", TOKEN)
    arguments = ["publish", str(entry_path), "--url", "http://127.0.0.1:1"]
    assert main(arguments) == ExitCode.UNREACHABLE
    assert "may have been accepted" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"interactive"', '"fast"', ":7: class: must be one of"),
        ("0.029", '"x"', ":10: targets.between_outputs_s: "),
        ('"kind"', '"knid"', ":3: knid: unknown field"),
        ('"studio",', '"studio"', ":5: not JSON"),
        ('"owner": "studio"', '"name": "x"', ":4: name: set twice"),
    ],
)
def test_check_names_the_line_and_the_field(old, new, expected, entry_path, capsys):
    """Guards against an error message without the line and the field."""
    entry_path.write_text(entry_path.read_text().replace(old, new, 1))
    assert main(["check", str(entry_path)]) == ExitCode.INVALID_FILE
    assert str(entry_path) + expected in capsys.readouterr().err


def test_a_missing_command_is_reported(capsys, monkeypatch):
    """Guards against a traceback if the module of a command is not installed."""
    from poplarfold._internal.cli import commands

    spec = commands.CommandSpec("demo", "no_such_module", "none")
    monkeypatch.setitem(commands.COMMANDS, "demo", spec)
    assert main(["demo", "--input", "x"]) == ExitCode.UNAVAILABLE
    assert "does not contain the command 'demo'" in capsys.readouterr().err
