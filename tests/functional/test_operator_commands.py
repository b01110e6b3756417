"""Tests of the operators' commands and the timeline with daemons on loopback."""

import json
import threading

import pytest

from poplarfold._internal.bench.local_fleet import (
    ACCOUNT_TOKEN,
    GLASSCAIRN,
    OPERATOR_TOKEN,
    LocalFleet,
)
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import main
from poplarfold._internal.logs.writer import open_writer


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    # Both daemons of the fleet share one log function and therefore one file.
    writer = open_writer(tmp_path / "fleet.log", "loopback", 1)
    with LocalFleet(GLASSCAIRN, writer.write_event) as fleet:
        fleet.start()
        fleet.publish_entries()
        use_daemon(fleet, "galway-a", monkeypatch)
        monkeypatch.setenv("POPLARFOLD_OPERATOR_TOKEN", OPERATOR_TOKEN)
        yield fleet


def use_daemon(fleet, domain, monkeypatch):
    address = fleet.daemons[domain].frontend.operator_address
    monkeypatch.setenv("POPLARFOLD_OPERATOR_URL", f"http://{address}")


def test_an_amendment_is_in_force_everywhere_and_an_old_base_is_rejected(
    fleet, tmp_path, capsys, monkeypatch
):
    """Guards against commands that are incompatible with the daemon's interface."""
    path = tmp_path / "caption.json"
    assert main(["show", "caption"]) == 0
    shown = json.loads(capsys.readouterr().out)
    path.write_text(json.dumps(shown | {"cost_per_call": 3}))
    assert main(["amend", str(path), "--wait", "--json"]) == 0
    answer = json.loads(capsys.readouterr().out)
    assert {row["domain"] for row in answer["domains"]} == {"galway-a", "dublin-a"}
    use_daemon(fleet, "dublin-a", monkeypatch)
    assert main(["show", "caption"]) == 0
    current = json.loads(capsys.readouterr().out)
    assert (current["cost_per_call"], current["revision"]) == (3, answer["revision"])
    path.write_text(json.dumps(shown | {"cost_per_call": 4}))
    assert main(["amend", str(path)]) == ExitCode.CONFLICT
    assert main(["publish", str(path)]) == ExitCode.CONFLICT
    assert main(["status"]) == 0
    assert "galway-a  reachable" in capsys.readouterr().out


def test_the_timeline_explains_a_call(fleet, tmp_path, capsys):
    """Guards against a route that omits events which the daemon logs."""
    address = fleet.daemons["galway-a"].frontend.caller_address
    response = fleet.http.request(
        "POST",
        f"http://{address}/v1/completions",
        headers={"Authorization": f"Bearer {ACCOUNT_TOKEN}"},
        json={"model": "caption", "prompt": "a long sentence " * 50, "max_tokens": 4},
    )
    call_id = response.headers["Poplarfold-Call-Id"]
    log, page = str(tmp_path / "fleet.log"), tmp_path / "page.html"
    assert main(["timeline", log, "--call", call_id, "--html", str(page)]) == 0
    text = capsys.readouterr().out
    assert f"call {call_id}: whole; 4 outputs, 1 attempts" in text
    assert "first output after" in text and "no event lists" not in text
    assert call_id in page.read_text("utf-8")


def test_a_drained_node_finishes_and_stops_taking_calls(fleet, capsys):
    """Guards against a reported drain after which the daemon still runs."""
    daemon = fleet.daemons.pop("galway-a")
    stopper = threading.Thread(target=lambda: daemon.wait(10) and daemon.stop())
    stopper.start()
    assert main(["drain", "--wait", "--timeout", "10"]) == 0
    stopper.join()
    assert "has finished its calls and ended" in capsys.readouterr().out
    assert main(["status"]) == ExitCode.UNREACHABLE
