"""Tests of ``poplarfold why``, with lines of a gateway of test_api_keys.py."""

import io
import json
from pathlib import Path

import pytest

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import main
from poplarfold._internal.logs.event_sentences import SENTENCES, sentence
from poplarfold._internal.logs.writer import EventWriter

SAMPLE = Path(__file__).resolve().parents[1] / "lib/gateway_sample.log"


def why(capsys, call_id, *paths, code=ExitCode.SUCCESS):
    assert main(["why", call_id, *map(str, paths)]) == code
    return capsys.readouterr()


def why_json(capsys, call_id, *paths, code=ExitCode.SUCCESS):
    return json.loads(why(capsys, call_id, *paths, "--json", code=code).out)


def write_log(path, host, *rows):
    stream = io.BytesIO()
    times = iter(range(100))
    writer = EventWriter(
        stream, host, 1, monotonic=lambda: 5.0, wall=lambda: 1e9 + next(times)
    )
    for number, call_id, fields in rows:
        writer.write_event(number, call_id, fields)
    path.write_bytes(stream.getvalue())
    return path


@pytest.mark.parametrize(
    ("call_id", "status", "code", "inputs"),
    [
        ("a-nokey", 401, "unknown_key", ["it had no API key"]),
        ("a-badkey", 401, "unknown_key", ["no account of configuration version 7"]),
        ("a-old", 503, "configuration_too_old", ["2.479 s", "Nothing ran"]),
        (
            "a-quota3",
            429,
            "quota_exceeded",
            ["needs 1 unit:", "knew of 0 units", "smaller than the call", "1.117 s"],
        ),
    ],
)
def test_refusal_names_the_inputs_that_decided_it(
    capsys, call_id, status, code, inputs
):
    """Guards against a refusal without its cause."""
    (row,) = why_json(capsys, call_id, SAMPLE)["arrivals"]
    assert (row["status"], row["code"], row["version"]) == (status, code, 7)
    text = " ".join(step["text"] for step in row["refusals"])
    assert [part for part in inputs if part not in text] == []
    assert row["attempts"] == []
    shown = why(capsys, call_id, SAMPLE).out
    assert text in shown
    assert f"result: status {status} with {code}" in shown


def test_stream_is_explained_with_its_attempts(capsys):
    """Guards against an attempt, account or age that the explanation leaves out."""
    (row,) = why_json(capsys, "9c41d07be2a35f68", SAMPLE)["arrivals"]
    assert (row["route"], row["account"], row["status"]) == ("caption", "huka", 200)
    assert row["known"]["age_s"] == 0.219
    attempts = [(a["endpoint"], a["duration_s"]) for a in row["attempts"]]
    assert attempts == [("i-prefill", 0.0017), ("i-decode", 0.0013)]
    assert row["result"] == "a complete stream of i-decode"


def test_id_at_two_processes_is_explained_once_for_each(capsys, tmp_path):
    """Guards against attempts of one arrival that are shown with another one."""
    failed = {"endpoint": "i-1", "code": "endpoint_error", "problem": "reset"}
    busy = {"code": "no_room", "status": 503, "problem": "all decode engines are full"}
    refusal = {"reason": "target", "position": 3, "expected_s": 2.5, "target_s": 0.82}
    first = write_log(
        tmp_path / "1.log",
        "h1",
        ("PF1101", "c", {"route": "caption"}),
        ("PF3611", "c", {**refusal, "waited_s": 0.4, "is_late": False}),
        ("PF1109", "c", busy),
        ("PF1101", "c", {"route": "filing"}),
        ("PF1103", "c", {**failed, "sent": True}),
        ("PF1109", "c", {"code": "endpoint_error", "status": 502, "problem": "reset"}),
    )
    second = write_log(tmp_path / "2.log", "h2", ("PF1101", "c", {"route": "caption"}))
    with second.open("ab") as stream:
        stream.write(b"no event\n")
    rows = why_json(capsys, "c", first, second)["arrivals"]
    found = [(row["process"]["host"], row["status"], row["code"]) for row in rows]
    expected = [("h1", 503, "no_room"), ("h2", None, None), ("h1", 502)]
    assert found == [*expected[:2], (*expected[2], "endpoint_error")]
    assert [len(row["attempts"]) for row in rows] == [0, 0, 1]
    assert rows[2]["attempts"][0]["has_run"] is None
    assert "no end was logged" in rows[1]["result"]
    text = rows[0]["refusals"][0]["text"]
    assert "could no longer be on time" in text
    assert "place 3" in text
    assert "2.500 s" in text


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"room": 6}, "The call fitted"),
        ({"room": None}, "had changed"),
        ({"relays": {}, "heard_hosts": 1}, "an equal share, 1 of 3"),
        ({"heard_hosts": 2}, "heard 2 of 3 hosts"),
        ({}, "The relay h2/1 had sent 6 units, 0.098 s before."),
    ],
)
def test_quota_refusal_says_by_whose_figures(changes, expected):
    """Guards against a cut-off host that is taken for an account over its quota."""
    fields = {"account": "a", "units": 1.0, "room": 0, "heard_hosts": 1, "nodes": 3}
    fields["relays"] = {"h2/1": {"room": 6, "age_s": 0.098}, "h3/1": None}
    text = sentence("PF1211", {**fields, **changes})
    assert expected in text
    assert ("equal share" in text) == ("equal share" in expected)


def test_call_without_lines_says_what_that_can_mean(capsys, tmp_path):
    """Guards against an empty answer where the log lost lines or other files exist."""
    lossy = write_log(tmp_path / "log", "h1", ("PF8203", None, {"count": 4}))
    line = json.loads(lossy.read_text())
    lossy.write_text(json.dumps({**line, "lost_events": 12}) + "\n")
    shown = why(capsys, "gone", lossy, code=ExitCode.NOT_FOUND)
    assert shown.out == ""
    assert "no line of the call 'gone'" in shown.err
    assert "h1 (incarnation 1) has dropped 12 events" in shown.err
    assert "PF8204 count 4" in shown.err
    found = why_json(capsys, "gone", lossy, code=ExitCode.NOT_FOUND)
    assert found["arrivals"] == []
    assert len(found["possible_reasons"]) == 5
    why(capsys, "gone", tmp_path / "missing", code=ExitCode.INVALID_FILE)
    why(capsys, "", lossy, code=ExitCode.USAGE)


@pytest.mark.parametrize("number", [*SENTENCES, "PF0000"])
@pytest.mark.parametrize("value", [None, [], {"a": "\x1b[2J"}, True, "\x1b[2J"])
def test_odd_fields_are_described(number, value):
    """Guards against a crash, and control characters for the terminal, from a log of
    another version."""
    keys = ("endpoint", "choice", "relays", "room", "units", "code", "known", "nodes")
    text = sentence(number, dict.fromkeys(keys, value)) + sentence(number, {})
    assert "\x1b" not in text
