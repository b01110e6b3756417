"""Callers that disconnect, engines that fail and daemons that stop."""

import http.client
import json
import threading
import time

import pytest
from tests.lib.http_calls import (
    CREDENTIAL,
    caller_address,
    completion,
    error_of,
    held_work,
    post,
    read_stream,
)
from tests.lib.waits import wait_until

from poplarfold._internal.bench.local_fleet import GLASSCAIRN, LocalFleet
from poplarfold._internal.core.model import Identity
from poplarfold._internal.standins.answers import expected_text

IDENTITY = GLASSCAIRN.model_entry.identity
# Engines must free the memory of a disconnected call within this time, as the
# property no-orphaned-memory requires. There is no allowance for a busy test machine,
# since its load adds little.
RELEASE_LIMIT_S = 1.0


@pytest.fixture
def fleet():
    with LocalFleet(GLASSCAIRN) as fleet:
        fleet.start()
        fleet.publish_entries()
        yield fleet


def open_stream(fleet, prompt, outputs, domain="galway-a"):
    """Start a streaming call and return its connection and response."""
    connection = http.client.HTTPConnection(*caller_address(fleet, domain), timeout=20)
    body = json.dumps(completion(prompt, outputs, stream=True))
    connection.request("POST", "/v1/completions", body, CREDENTIAL)
    return connection, connection.getresponse()


def decode_of(fleet, outputs):
    """Return the decode engine that runs the call."""
    (engine,) = [engine for engine in fleet.decodes if engine.counters()["held"]]
    return engine


def test_disconnect_while_streaming_releases_the_engine(fleet):
    """Guards against engine memory that stays held after the caller disconnects."""
    connection, response = open_stream(fleet, "gone soon", 2000)
    assert response.read(10)
    assert held_work(fleet)
    response.close()
    connection.close()
    assert wait_until(lambda: not held_work(fleet)) < RELEASE_LIMIT_S
    outputs = sum(engine.counters()["outputs_made"] for engine in fleet.decodes)
    assert outputs < 200


def test_disconnect_before_the_first_output_releases_both_engines(fleet):
    """Guards against a prefill that continues after the caller has disconnected."""
    for engine in fleet.prefills:
        engine.slow(factor=100.0)
    connection = http.client.HTTPConnection(*caller_address(fleet), timeout=20)
    body = json.dumps(completion("x" * 4000, 100, stream=True))
    connection.request("POST", "/v1/completions", body, CREDENTIAL)
    wait_until(lambda: len(held_work(fleet)) == 2)
    connection.close()
    assert wait_until(lambda: not held_work(fleet)) < RELEASE_LIMIT_S
    assert all(engine.counters()["outputs_made"] == 0 for engine in fleet.decodes)


@pytest.mark.parametrize("fault", ["silence", "die"])
def test_stream_continues_after_a_fault(fleet, fault):
    """Guards against lost or repeated outputs when a connection breaks."""
    _, response = open_stream(fleet, "goes on", 300)
    start = response.read(200)
    getattr(decode_of(fleet, 300), fault)()
    began = time.monotonic()
    chunks = (start + response.read()).split(b"\n\n")
    *events, last = [chunk.removeprefix(b"data: ") for chunk in chunks if chunk]
    text = "".join(json.loads(event)["choices"][0]["text"] for event in events)
    assert last == b"[DONE]"
    assert text == expected_text(IDENTITY, "goes on", 300)
    assert time.monotonic() - began < 10.0


def test_engine_of_another_identity_serves_no_calls(fleet):
    """Guards against calls to another fleet's service of the same name."""
    foreign = Identity("association", IDENTITY.service, IDENTITY.version)
    for engine in fleet.prefills + fleet.decodes:
        engine.model.identity = foreign
    status, code = error_of(post(fleet, "/v1/completions", completion("mine")))
    assert status in {502, 503}
    served = [row for e in fleet.decodes for row in e.counters()["served"]]
    assert not [row for row in served if row["identity"] == foreign._asdict()]


def test_response_of_another_identity_is_not_forwarded(fleet):
    """Guards against foreign answers from engines that do not check the identity."""
    foreign = Identity("association", IDENTITY.service, IDENTITY.version)
    for engine in fleet.decodes:
        engine.answer_headers = lambda: [("Entry-Owner", foreign.owner)]
    response = post(fleet, "/v1/completions", completion("mine", stream=True))
    assert error_of(response) in {(502, "upstream_failed"), (503, "no_endpoint")}


def test_outcome_is_found_after_a_lost_response_of_a_non_repeatable_call(fleet):
    """Guards against a second run or a wrong outcome after a lost response."""
    for service in fleet.services:
        service.lose_answers(1, "/call")
    headers = {**CREDENTIAL, "Idempotency-Key": "lost-answer"}
    path = "/v1/services/payment-hold"
    response = post(fleet, path, {"amount": 7}, headers)
    assert response.status == 200
    first = response.read()
    again = post(fleet, path, {"amount": 7}, headers)
    assert (again.status, again.read()) == (200, first)
    assert sum(fleet.backend.runs.values()) == 1


def test_non_repeatable_call_does_not_run_without_the_log(fleet):
    """Guards against a call that runs although its claim was never recorded."""
    fleet.log.outage(30.0)
    headers = {
        **CREDENTIAL,
        "Idempotency-Key": "no-log",
        "Poplarfold-Deadline-Ms": "3000",
    }
    response = post(fleet, "/v1/services/payment-hold", {}, headers)
    error = json.loads(response.read())["error"]
    assert response.status in {503, 504}
    assert error["outcome"] in {"not_run", "unknown"}
    assert not fleet.backend.runs


def test_drain_finishes_streams_and_rejects_new_calls(fleet):
    """Guards against a planned stop that aborts a stream."""
    daemon = fleet.daemons["galway-a"]
    _, response = open_stream(fleet, "to the end", 150)
    response.read(10)
    answer = fleet.operator_request("galway-a", "POST", "drain")
    assert answer == (200, {"draining": True, "open_calls": 1})
    assert not fleet.is_ready("galway-a")
    refused = post(fleet, "/v1/completions", completion("too late"))
    assert error_of(refused) == (503, "not_ready")
    assert not daemon.wait(0.0)
    rest = response.read()
    assert rest.endswith(b"data: [DONE]\n\n")
    assert daemon.wait(2.0)


def test_daemon_stops_with_open_streams(fleet):
    """Guards against an immediate stop that waits for an open stream."""
    _, response = open_stream(fleet, "cut off", 5000)
    response.read(10)
    stopper = threading.Thread(target=fleet.daemons["galway-a"].stop)
    stopper.start()
    stopper.join(8.0)
    assert not stopper.is_alive()
    assert not response.read().endswith(b"data: [DONE]\n\n")


def test_lookups_are_not_delayed_by_streams(fleet):
    """Guards against lookups that queue behind streams."""
    streams = [open_stream(fleet, f"stream {n}", 100) for n in range(20)]
    began = time.monotonic()
    assert post(fleet, "/v1/services/lookup", {}).status == 200
    assert time.monotonic() - began < 0.5
    for number, (_, response) in enumerate(streams):
        wanted = expected_text(IDENTITY, f"stream {number}", 100)
        assert read_stream(response) == (wanted, b"[DONE]")
