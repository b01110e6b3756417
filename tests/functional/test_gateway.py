"""Tests of the router process against stand-ins of the platform, over loopback."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from tests.lib.gateway_process import (
    CONFIG_APPLY_LIMIT_S,
    READY_LIMIT_S,
    ROOT,
    Fleet,
    log_events,
    ready_fleet,
)
from tests.lib.platform_standin import (
    STREAMED,
    EndpointStandIn,
    configuration,
    route,
)
from tests.lib.waits import wait_until

# A wrong block ends within twice the time in which the platform settles.
WRONG_BLOCK_S = 8.0
SIGNAL_NOTICED_LIMIT_S = 2.0
# The router waits for a reset that follows the end of an answer at once. On a busy
# machine, a stand-in may be held up between the two: such an answer looks complete, and
# the call is made again.
RESET_WITHIN_S = 0.01
RESETS_MAX = 20


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path) as found:
        yield found


def test_calls_are_forwarded_unchanged(fleet):
    """Guards against changes to a call's method, path, query or body, or its answer."""
    answer = fleet.call("POST", "/filing/a%20b?x=1", body=b"filing")
    assert (answer.status, answer.data) == (200, b"whole answer")
    assert answer.getheader("Poplarfold-Server-Stamp")
    runs = [run for endpoint in fleet.plain for run in endpoint.runs]
    (run,) = runs
    assert run[0:2] == ("POST", "/filing/a%20b?x=1")
    assert run[3] == b"filing"
    assert fleet.call("GET", "/nothing/").status == 404
    metrics = fleet.get("metrics", "/metrics")
    assert b"poplarfold_answers_total" in metrics.data


def test_refused_request_leaves_nothing_on_its_connection(fleet):
    """Guards against an unread body that is parsed as the next request.

    The body stays unread if a request without a route is answered at once.
    """
    inner = b"GET /lookup/9 HTTP/1.1\r\nHost: entry.example\r\n\r\n"
    kept = fleet.open("POST", "/nothing/", body=inner)
    answer = kept.getresponse()
    assert (answer.status, answer.read() is not None) == (404, True)
    kept.request("GET", "/lookup/1", headers={"Host": "entry.example"})
    assert kept.getresponse().status in (200, 502)
    runs = [run[1] for endpoint in fleet.plain for run in endpoint.runs]
    assert "/lookup/9" not in runs


def test_slot_is_reserved_before_the_prefill(fleet):
    """Guards against prefills for streams that have no decode slot."""
    answer = fleet.caption(**{"Poplarfold-Kv-Hold": "forged"})
    events = [f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6)]
    assert (answer.status, answer.data.decode()) == (200, "".join(events))
    headers = fleet.decode.runs[0][2]
    assert headers["Poplarfold-Kv-Hold"].startswith("h")
    assert headers["Poplarfold-Kv-Source"].startswith(f"{fleet.prefill.address}/k")
    fleet.decode.faults.add("no_room")
    refused = fleet.caption()
    assert refused.status == 503
    assert float(refused.getheader("Retry-After")) > 0
    assert len(fleet.prefill.prefills) == 1


def check_retry_by_forecast(fleet, table):
    """Check that a setting in a table of the admission policy has an effect."""
    fleet.decode.faults.add("no_room")
    with fleet.settings.open("a") as settings:
        settings.write(f"[{table}]\nforecast_waits = 1\n")
    fleet.restart()
    refused = fleet.caption()
    assert refused.status == 503
    assert 0 < float(refused.getheader("Retry-After")) <= STREAMED["timeout_ms"] / 3_000


def test_refused_stream_is_told_when_room_is_expected(fleet):
    """Guards against a time to come back that the caller would not honour."""
    check_retry_by_forecast(fleet, "admission")
    wait_until(lambda: b"PF3611" in fleet.log.read_bytes(), READY_LIMIT_S)


def test_old_name_of_the_admission_table_is_read_with_a_warning(fleet):
    """Guards against an upgrade that ignores the limits of an older settings file."""
    check_retry_by_forecast(fleet, "door")
    wait_until(lambda: log_events(fleet.log, "PF2106"), READY_LIMIT_S)
    warnings = log_events(fleet.log, "PF2106")
    assert [warning["fields"] for warning in warnings] == [
        {"old": "door", "new": "admission"}
    ]


def test_refused_prefill_is_left_to_the_decode_engine(fleet):
    """Guards against releasing the decode slot when the prefill engine is full.

    The decode engine can do the prefill itself. Without that, 97 calls of one run were
    not served.
    """
    fleet.prefill.faults.add("not_run")
    assert fleet.caption().status == 200
    assert "Poplarfold-Kv-Source" not in fleet.decode.runs[0][2]


def test_lost_prefill_is_not_repeated(fleet):
    """Guards against repeated prefills whose results are lost each time.

    If the handles of an engine expire at once, each retry wastes another prefill; in
    one run, 37 prefilled prompts were never used.
    """
    fleet.wait_counted()
    fleet.decode.faults.add("lost_handle")
    assert fleet.caption().status == 200
    assert len(fleet.prefill.prefills) == 1
    wait_until(lambda: not fleet.decode.leases, 1.0)


def prompt(*parts):
    """The header of a prompt whose last part is its own."""
    own = f"{time.monotonic_ns():x}"
    return {"Poplarfold-Prompt-Prefix": ",".join(f"{p}:50" for p in (*parts, own))}


def announce_crashing_engines(fleet):
    """Replace the decode engine by eight that end at a part, and return these."""
    engines = [EndpointStandIn(f"i-decode-{n}", "decode") for n in range(8)]
    for engine in engines:
        engine.deadly_part = "bad0"
        fleet.announce(engine, "llm")
    fleet.store.put("keyed.servers", "i-decode", None)
    fleet.wait_ready()
    # The fleet's own endpoints, those announced here, and the removal of one.
    changes = 4 + len(engines) + 1
    wait_until(
        lambda: fleet.log.read_text().count("endpoint_changed") >= changes,
        READY_LIMIT_S,
    )
    return engines


def test_part_that_crashes_engines_is_blocked(fleet):
    """Guards against a part of a prompt that crashes one engine after the other.

    Sound requests that share the first part with it are served on.
    """
    engines = announce_crashing_engines(fleet)
    for _ in range(6):
        assert fleet.caption(**prompt("5c1e")).status == 200
    statuses = [fleet.caption(**prompt("5c1e", "bad0")).status for _ in range(8)]
    crashed = sum(engine.has_crashed for engine in engines)
    assert crashed <= 3, statuses
    prefills = len(fleet.prefill.prefills)
    refused = fleet.caption(**prompt("5c1e", "bad0"))
    assert refused.status == 503 and float(refused.headers["Retry-After"]) > 10
    assert len(fleet.prefill.prefills) == prefills
    for _ in range(6):
        assert fleet.caption(**prompt("5c1e")).status == 200
        assert fleet.caption(**prompt("5c1e", "91bd")).status == 200


def test_wrong_block_of_a_part_ends_soon(fleet):
    """Guards against sound requests that are rejected for a minute or more since a part
    of theirs stands behind the one that crashes engines, and was not answered before.
    """
    engines = announce_crashing_engines(fleet)
    for engine in engines:
        engine.events, engine.event_period_s = 9, 0.1
    sound, deadly = ("5c1e", "91bd", "7e44"), ("5c1e", "bad0", "7e44")
    for _ in range(4):
        assert fleet.caption(**prompt(*deadly)).status >= 500
    assert fleet.caption(**prompt(*sound)).status == 503
    wait_until(lambda: fleet.caption(**prompt(*sound)).status == 200, WRONG_BLOCK_S)
    for _ in range(4):
        assert fleet.caption(**prompt(*deadly)).status == 503
        assert fleet.caption(**prompt(*sound)).status == 200
    assert sum(engine.has_crashed for engine in engines) <= 3


def announce_second_engine(fleet):
    """Add a decode engine that has the faults of the first, and wait until it is known.

    Until the entry has been read, streams are resumed at the engine that failed.
    """
    second = EndpointStandIn("i-decode-2", "decode")
    second.faults = fleet.decode.faults
    fleet.announce(second, "llm")
    wait_until(
        lambda: b'"endpoint":"i-decode-2"' in fleet.log.read_bytes(),
        CONFIG_APPLY_LIMIT_S,
    )
    return second


def test_interrupted_stream_is_resumed(fleet):
    """Guards against missing, duplicate or truncated events after a resume."""
    fleet.wait_counted()
    second = announce_second_engine(fleet)
    # The route has two attempts: the first fails at either engine, the next at neither.
    second.faults.add("cut_stream")
    try:
        answer = fleet.caption()
    finally:
        second.stop()
    ids = [line for line in answer.data.decode().split("\n") if line.startswith("id")]
    assert ids == [f"id: {n}" for n in range(1, 6)]
    assert [len(engine.runs) for engine in (fleet.decode, second)] == [1, 1]


@pytest.mark.parametrize("faults", [{"unframed"}, {"unframed", "cut_unframed"}])
def test_stream_without_framing_that_ends_inside_an_event_is_resumed(fleet, faults):
    """Guards against a broken stream that looks complete since its end has no mark."""
    fleet.decode.faults |= faults
    fleet.decode.events = 8
    fleet.wait_ready()
    fleet.wait_counted()
    answer = fleet.caption()
    assert answer.status == 200
    assert answer.data.count(b"id: ") == 8 and answer.data.endswith(b"piece 8\n\n")
    assert [answer.data.count(b"piece %d\n" % n) for n in range(1, 9)] == [1] * 8


@pytest.mark.parametrize("fault", ["cut_chunks", "cut_length"])
def test_stream_with_framing_that_ends_inside_an_event_is_resumed(fleet, fault):
    """Guards against a torn event and a stream that looks complete, if the engine's
    HTTP server ends the body as usual."""
    fleet.decode.faults.add(fault)
    fleet.decode.events = 8
    fleet.wait_counted()
    answer = fleet.caption()
    assert answer.status == 200
    assert answer.data == b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9)
    )
    resumed = [run[2].get("Last-Event-Id") for run in fleet.decode.runs]
    assert resumed == [None, "4"]


@pytest.mark.parametrize("fault", ["cut_chunks", "cut_length"])
def test_stream_that_is_not_resumed_and_ends_inside_an_event_looks_cut(fleet, fault):
    """Guards against a stream that looks complete before its last event, if its route
    does not let it go on elsewhere."""
    fields = json.loads(configuration(8))
    fields["routes"][0].update(resumable=False, max_attempts=1)
    fleet.store.put("keyed.op", "config", json.dumps(fields).encode())
    time.sleep(CONFIG_APPLY_LIMIT_S)
    fleet.decode.faults.add(fault)
    with pytest.raises(http.client.IncompleteRead) as raised:
        fleet.caption()
    assert raised.value.partial.endswith(b"id: 2\ndata: piece 2\n\n")
    assert len(fleet.decode.runs) == 1


@pytest.mark.parametrize("cut", [b"", b"id: 2\ndata: pi"], ids=["whole", "cut"])
def test_plain_stream_that_ends_inside_an_event_is_not_forwarded(fleet, cut):
    """Guards against a torn event that looks complete, if a plain service answers with
    a stream."""
    fields = json.loads(configuration(8))
    fields["routes"].append(route("digest", "/digest/", "streaming", "registry"))
    fleet.store.put("keyed.op", "config", json.dumps(fields).encode())
    wait_until(lambda: fleet.call("GET", "/digest/1").status == 200, 5.0)
    for endpoint in fleet.plain:
        endpoint.answer_headers = {"Content-Type": "text/event-stream"}
        endpoint.whole_body = lambda request_id: b"id: 1\ndata: piece 1\n\n" + cut
    assert fleet.call("POST", "/digest/1", body=b"x").status == (502 if cut else 200)


def test_answer_that_does_not_continue_a_stream_is_not_joined_to_it(fleet):
    """Guards against an error's text in the middle of a stream, and against a stream
    that seems complete, if the next engine answers with something else."""
    fleet.wait_counted()
    text = b"200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
    events = b"200 OK\r\nContent-Type: text/event-stream\r\n"
    for answer in (
        b"500 Failed\r\nContent-Length: 8\r\n\r\nfailed\n\n",
        b"404 Not Found\r\nContent-Length: 16\r\n\r\nid: 3\ndata: x\n\n\n",
        text + b"6\r\n\r\nfailed",
        text + b"27\r\n\r\nid: 3\ndata: HTTP/1.1 500\n\n\n",
        events + b"Content-Length: 0\r\n\r\n",
        events + b"\r\n",
        events + b"Content-Length: 14\r\n\r\n: only this\n\n\n",
        events + b"Content-Length: 8\r\n\r\nfailed\n\n",
        events + b"Content-Length: 6\r\n\r\nfailed",
        events + b"Content-Length: 16\r\n\r\nid: 2\ndata: x\n\n\n",
    ):
        fleet.decode.faults.add("cut_stream")
        fleet.decode.resumed_answer = answer
        runs = len(fleet.decode.runs)
        headers = {"Poplarfold-Token-Count": "1000,200"}
        connection = fleet.open("POST", "/caption/1", headers, b"prompt")
        with connection.sock.makefile("rb") as reader:
            head, _, body = reader.read().partition(b"\r\n\r\n")
        connection.close()
        assert head.startswith(b"HTTP/1.1 200 ")
        body = body.replace(b"e\r\n: only this\n\n\n\r\n", b"")
        events_sent = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2)]
        assert body == b"".join(b"15\r\n%b\r\n" % row for row in events_sent), answer
        assert len(fleet.decode.runs) == runs + 2


def test_bytes_after_a_stream_are_not_forwarded(fleet):
    """Guards against a stream whose caller also gets the answer to another call."""
    fleet.decode.faults.add("excess")
    answer = fleet.caption()
    assert answer.status == 200
    assert answer.data == fleet.decode.all_events({})


def test_stream_that_completes_no_event_is_resumed(fleet):
    """Guards against a stalled stream that never ends because it sends a byte now and
    then."""
    fleet.wait_counted()
    second = announce_second_engine(fleet)
    # The first stream fails at either engine, and the next one at neither.
    second.faults.add("drip_stream")
    started = time.monotonic()
    try:
        answer = fleet.caption()
    finally:
        second.stop()
    ids = [line for line in answer.data.decode().split("\n") if line.startswith("id")]
    assert ids == [f"id: {n}" for n in range(1, 6)]
    assert time.monotonic() - started < 6.0


@pytest.mark.parametrize("fault", ["drip", "endless_head"])
def test_answer_without_end_ends_with_the_route_timeout(fleet, fault):
    """Guards against calls that an endpoint holds by sending a byte now and then."""
    for endpoint in fleet.plain:
        endpoint.faults.add(fault)
    started = time.monotonic()
    answer = fleet.call("POST", "/filing/1", body=b"x")
    assert answer.status in (502, 504)
    assert time.monotonic() - started < 2.0


def test_filing_is_sent_once(fleet):
    """Guards against a filing that runs twice, or ran and is reported as not run."""
    for endpoint in fleet.plain:
        endpoint.faults.add("cut_body")
    answer = fleet.call("POST", "/filing/1", body=b"x")
    assert answer.status == 502
    assert sum(len(endpoint.runs) for endpoint in fleet.plain) == 1


def test_refused_filing_is_reported_as_not_run(fleet):
    """Guards against a refused filing that the caller may not safely retry."""
    for endpoint in fleet.plain:
        endpoint.faults.add("not_run")
    answer = fleet.call("POST", "/filing/1", body=b"x")
    assert answer.status == 503
    assert answer.getheader("Poplarfold-Server-Stamp") is None


def test_lookup_is_repeated_at_another_endpoint(fleet):
    """Guards against passing one endpoint's error on to the caller without a retry."""
    fleet.wait_counted()
    fleet.plain[0].faults.add("error")
    for _ in range(4):
        assert fleet.call("GET", "/lookup/1").status == 200


@pytest.mark.parametrize(
    "fault", ["foreign", "cut_head", "cut_body", "status_000", "status_999"]
)
def test_foreign_or_truncated_answer_is_not_forwarded(fleet, fault):
    """Guards against another request's answer, or a truncated one passed as whole,
    or one without a valid status."""
    for endpoint in fleet.plain:
        endpoint.faults.add(fault)
    answer = fleet.call("GET", "/lookup/1")
    assert answer.status == 502
    assert answer.getheader("Poplarfold-Server-Stamp") is None


@pytest.mark.parametrize("size", [1, 200_000, 2_000_000])
def test_answer_that_is_reset_during_the_upload_is_not_forwarded(fleet, size):
    """Guards against a part of an answer that looks complete, if the server sends it at
    once, without a length, and resets the connection."""
    for endpoint in fleet.plain:
        endpoint.faults.add("reset_upload")
    for _ in range(RESETS_MAX):
        runs = sum(len(endpoint.runs) for endpoint in fleet.plain)
        for endpoint in fleet.plain:
            endpoint.resets_took_s.clear()
        answer = fleet.call("POST", "/filing/1", body=b"x" * size)
        assert sum(len(endpoint.runs) for endpoint in fleet.plain) == runs + 1
        if answer.status == 502:
            break
        wait_until(lambda: reset_times(fleet), 2.0)
        assert min(reset_times(fleet)) >= RESET_WITHIN_S
    assert answer.status == 502
    assert answer.getheader("Poplarfold-Server-Stamp") is None


def reset_times(fleet):
    """Return how long after the ends of their answers the last resets came."""
    return [took_s for endpoint in fleet.plain for took_s in endpoint.resets_took_s]


def test_retry_after_a_connection_reset_uses_the_budget(fleet):
    """Guards against an uncounted retry when a kept connection is reset."""
    fleet.wait_counted()
    for endpoint in fleet.plain:
        endpoint.faults.add("reset_kept")
    arrivals_before = sum(endpoint.count for endpoint in fleet.plain)
    calls = 8
    statuses = [
        fleet.call("GET", f"/lookup/{number}").status for number in range(calls)
    ]
    arrivals = sum(endpoint.count for endpoint in fleet.plain) - arrivals_before
    repeats = sum(
        float(line.rpartition(" ")[2])
        for line in fleet.get("metrics", "/metrics").data.decode().splitlines()
        if line.startswith("poplarfold_repeats_total{")
    )
    assert statuses == [200] * calls
    assert arrivals > calls
    assert repeats == arrivals - calls


def test_route_timeout_is_enforced(fleet):
    """Guards against a caller that waits forever for an unresponsive endpoint."""
    for endpoint in fleet.plain:
        endpoint.faults.add("silent")
    started = time.monotonic()
    answer = fleet.call("POST", "/filing/1", body=b"x")
    assert answer.status == 504
    assert time.monotonic() - started < 2.0


def test_disconnect_ends_the_stream(fleet):
    """Guards against engine work for a caller that has disconnected."""
    fleet.decode.event_period_s = 0.1
    fleet.decode.events = 100
    headers = {"Poplarfold-Token-Count": "1000,200"}
    connection = fleet.open("POST", "/caption/1", headers, b"prompt")
    answer = connection.getresponse()
    answer.read(10)
    wait_until(lambda: fleet.decode.open_streams == 1, 2.0)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    wait_until(lambda: fleet.decode.open_streams == 0, 0.5)


def test_disconnect_releases_the_lease(fleet):
    """Guards against a slot that stays reserved after its caller disconnected."""
    headers = {"Poplarfold-Token-Count": "1000,200"}
    original = fleet.prefill.prefill

    has_left = threading.Event()

    def slow_prefill(request, given, number):
        # A prefill that ends before the caller has left would begin the stream.
        has_left.wait(5.0)
        time.sleep(0.4)
        original(request, given, number)

    fleet.prefill.prefill = slow_prefill
    connection = fleet.open("POST", "/caption/1", headers, b"prompt")
    wait_until(lambda: len(fleet.decode.leases) == 1, 2.0)
    connection.sock.shutdown(socket.SHUT_RDWR)
    has_left.set()
    wait_until(lambda: not fleet.decode.leases, 0.8)
    connection.close()
    assert not fleet.decode.runs


def test_disconnect_before_the_first_event_frees_the_engine(fleet):
    """Guards against a stream that continues after an early disconnect."""
    fleet.decode.event_period_s = 0.1
    fleet.decode.events = 100
    fleet.decode.first_event_s = 0.5
    headers = {"Poplarfold-Token-Count": "1000,200"}
    connection = fleet.open("POST", "/caption/1", headers, b"prompt")
    # A run is noted before its stream is open.
    wait_until(lambda: fleet.decode.open_streams == 1, 2.0)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    wait_until(lambda: fleet.decode.open_streams == 0, 1.2)
    assert not fleet.decode.leases


def test_leaving_endpoint_gets_no_new_work(fleet):
    """Guards against new calls to an endpoint that announced its shutdown."""
    fleet.announce(fleet.plain[0], "registry", state="draining")
    time.sleep(2.0)
    before = len(fleet.plain[0].runs)
    for _ in range(6):
        assert fleet.call("GET", "/lookup/1").status == 200
    assert len(fleet.plain[0].runs) == before


def test_call_does_not_run_at_a_reused_address(fleet):
    """Guards against a call that runs at the address's new owner."""
    for endpoint in fleet.plain:
        endpoint.endpoint_id = "i-someone-else"
    answer = fleet.call("POST", "/filing/1", body=b"x")
    assert answer.status == 503
    assert not any(endpoint.runs for endpoint in fleet.plain)


def test_configuration_is_applied_and_never_reverted(fleet):
    """Guards against an old configuration replacing a new one, also after a log gap."""
    routes = json.loads(configuration())["routes"][1:]
    fleet.store.put("keyed.op", "config", configuration(9, routes=routes))
    wait_until(lambda: fleet.caption().status == 404, 2.5)
    fleet.store.put("keyed.op", "config", configuration(8))
    fleet.store.compact("keyed.op")
    time.sleep(2.0)
    assert fleet.caption().status == 404


@pytest.mark.parametrize("mode", ["busy", "reset", "silent"])
def test_calls_are_served_during_a_store_outage(fleet, mode):
    """Guards against a store outage that affects callers."""
    fleet.store.mode = mode
    time.sleep(1.5)
    assert fleet.call("GET", "/lookup/1").status == 200
    assert fleet.caption().status == 200
    assert fleet.ready_status() == 200
    fleet.store.mode = "up"
    routes = json.loads(configuration())["routes"][:1]
    fleet.store.put("keyed.op", "config", configuration(11, routes=routes))
    wait_until(lambda: fleet.call("GET", "/lookup/1").status == 404, 5.0)


def test_malformed_records_do_not_stop_the_reader(fleet):
    """Guards against a reader thread that ends on a record it cannot decode."""
    fleet.store.put("keyed.servers", "i-bad", b"\xff{")
    fleet.store.put("keyed.op", "config", b"not json")
    fleet.store.put("keyed.servers", "i-plain-2", None)
    time.sleep(2.0)
    routes = json.loads(configuration())["routes"][:1]
    fleet.store.put("keyed.op", "config", configuration(11, routes=routes))
    wait_until(lambda: fleet.call("GET", "/lookup/1").status == 404, 5.0)


def test_planned_stop_finishes_streams(fleet):
    """Guards against a stop that interrupts a stream or refuses open connections.

    Streams are also interrupted if the main thread does not react to SIGTERM, because
    the process is killed after the grace time.
    """
    fleet.decode.event_period_s = 0.3
    fleet.decode.events = 10
    headers = {"Poplarfold-Token-Count": "1000,200"}
    stream = fleet.open("POST", "/caption/1", headers, b"prompt").getresponse()
    fleet.process.send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.ready_status() == 503, 0.5)
    late = fleet.call("GET", "/lookup/1")
    assert (late.status, late.getheader("Connection")) == (200, "close")
    assert stream.read().count(b"id: ") == 10
    assert fleet.process.wait(6.0) == 0


def begin_stop(fleet):
    """Send SIGTERM, and wait until the process has noticed it: its times count from
    then on."""
    fleet.process.send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.ready_status() == 503, SIGNAL_NOTICED_LIMIT_S)


def test_late_streams_are_rejected_during_a_stop(fleet):
    """Guards against a stream that the end of the grace time would interrupt."""
    fleet.decode.event_period_s = 0.3
    fleet.decode.events = 12
    headers = {"Poplarfold-Token-Count": "1000,200"}
    fleet.open("POST", "/caption/1", headers, b"prompt").getresponse()
    begin_stop(fleet)
    time.sleep(0.6)
    answer = fleet.caption()
    assert answer.status == 503
    assert float(answer.getheader("Retry-After")) < 0.5


def test_calls_are_rejected_at_the_end_of_a_stop(fleet):
    """Guards against a call that is accepted just before the process exits.

    Such a call is lost, as was a filing that was forwarded 17 ms before the exit.
    """
    fleet.decode.event_period_s = 0.3
    fleet.decode.events = 18
    headers = {"Poplarfold-Token-Count": "1000,200"}
    kept = fleet.open("GET", "/lookup/1")
    kept.getresponse().read()
    stream = fleet.open("POST", "/caption/1", headers, b"prompt").getresponse()
    begin_stop(fleet)
    time.sleep(4.2)
    before = sum(len(endpoint.runs) for endpoint in fleet.plain)
    kept.request("POST", "/filing/1", b"x", {"Host": "entry.example"})
    answer = kept.getresponse()
    assert (answer.status, answer.getheader("Connection")) == (503, "close")
    assert sum(len(endpoint.runs) for endpoint in fleet.plain) == before
    assert stream.read().count(b"id: ") == 18


def test_answer_that_a_planned_stop_interrupts_is_not_forwarded(fleet):
    """Guards against a part of an answer that looks complete, if the answer ends with
    its connection and the router itself ends that."""
    fields = json.loads(configuration(8))
    fields["routes"].append(
        route("record", "/record/", "idempotent", "registry", timeout_ms=14000)
    )
    fleet.store.put("keyed.op", "config", json.dumps(fields).encode())
    wait_until(lambda: fleet.call("GET", "/record/1").status == 200, 5.0)
    for endpoint in fleet.plain:
        endpoint.faults.add("drip_end")
    runs = sum(len(endpoint.runs) for endpoint in fleet.plain)
    connection = fleet.open("GET", "/record/1")
    connection.sock.settimeout(10.0)
    # A call that arrives after the signal is rejected instead.
    wait_until(lambda: sum(len(endpoint.runs) for endpoint in fleet.plain) > runs, 5.0)
    fleet.process.send_signal(signal.SIGTERM)
    answer = connection.getresponse()
    assert answer.status in (502, 504)
    assert answer.getheader("Poplarfold-Server-Stamp") is None


def test_unanswered_store_read_does_not_delay_configuration(fleet):
    """Guards against a read that waits too long on an unresponsive connection.

    After a wait of 6.6 s for the answer, a new configuration was in force too late.
    """
    routes = json.loads(configuration())["routes"][:1]
    fleet.store.silent_reads = 1
    wait_until(lambda: fleet.store.silent_reads == 0, 3.0)
    fleet.store.put("keyed.op", "config", configuration(11, routes=routes))
    wait_until(lambda: fleet.call("GET", "/lookup/1").status == 404, 2.5)


def test_reload_interrupts_nothing(fleet):
    """Guards against a SIGHUP that ends the process or interrupts a stream."""
    fleet.decode.event_period_s = 0.1
    headers = {"Poplarfold-Token-Count": "1000,200"}
    stream = fleet.open("POST", "/caption/1", headers, b"prompt").getresponse()
    fleet.process.send_signal(signal.SIGHUP)
    wait_until(lambda: b"PF2104" in fleet.log.read_bytes(), SIGNAL_NOTICED_LIMIT_S)
    assert stream.read().count(b"id: ") == 5
    assert fleet.call("GET", "/lookup/1").status == 200
    assert fleet.process.poll() is None


def test_taken_port_ends_the_process_with_an_error(fleet):
    """Guards against a process that runs on without listeners and ignores SIGTERM."""
    fleet.process.kill()
    fleet.process.wait()
    with socket.socket() as taken:
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind(("127.0.0.1", fleet.ports["ready"]))
        taken.listen()
        fleet.start()
        assert fleet.process.wait(READY_LIMIT_S) == 3
    log = fleet.log.read_bytes()
    assert b"PF2105" in log and b"cannot listen on" in log


def test_without_a_configuration_calls_are_refused_as_not_run(tmp_path):
    """Guards against status 404 for routes that a new node has not read yet."""
    found = Fleet(tmp_path)
    try:
        found.store.mode = "busy"
        found.process.kill()
        found.process.wait()
        found.start()
        wait_until(lambda: found.ready_status() == 503, READY_LIMIT_S)
        answer = found.call("GET", "/lookup/1")
        assert answer.status == 503
        # A short time, because only the store's answer is missing, not capacity.
        assert float(answer.getheader("Retry-After")) < 1.0
    finally:
        found.stop()


def test_invalid_settings_are_rejected_at_start(tmp_path):
    """Guards against ignoring a misspelt setting."""
    settings = tmp_path / "gateway.toml"
    settings.write_text('metric_port = 1\nconnect_s = "soon"\n[admission]\nfresh = 1\n')
    done = subprocess.run(
        [sys.executable, str(ROOT / "poplarfold_gateway.py")]
        + ["--settings", str(settings)],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2
    for key in ("metric_port", "connect_s", "admission.fresh"):
        assert key in done.stderr


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_start_does_not_kill_the_process(tmp_path, number):
    """Guards against a host that counts as crashed because a signal ends its process
    during the imports."""
    program = subprocess.Popen(
        [sys.executable, "-X", "importtime", str(ROOT / "poplarfold_gateway.py")],
        env={**os.environ, "POPLARFOLD_BOOT": str(tmp_path / "missing.json")},
        stderr=subprocess.PIPE,
        text=True,
        # The imports write nine times as much, and wait until it is read.
        pipesize=4096,
    )
    for line in program.stderr:
        if "poplarfold._internal" in line or "urllib3" in line:
            break
    program.send_signal(number)
    program.stderr.read()
    # The missing settings file is only detected after the imports.
    assert program.wait(10) == (2 if number == signal.SIGHUP else 0)


def test_request_threads_grow_with_the_requests(fleet):
    """Guards against a full thread pool in an idle process: 300 such processes
    exceeded the thread limit of one machine."""
    tasks = Path(f"/proc/{fleet.process.pid}/task")
    assert len(list(tasks.iterdir())) < 40
    for endpoint in fleet.plain:
        endpoint.faults.add("silent")
    statuses = []

    def ask(number):
        headers = {"Poplarfold-Request-Id": f"{number:016x}"}
        statuses.append(fleet.call("POST", "/filing/1", headers, b"x").status)

    threads = [threading.Thread(target=ask, args=(number,)) for number in range(40)]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert statuses == [504] * 40
    # The initial threads alone would take five times the route's timeout.
    assert time.monotonic() - began < 4.0


def test_metrics_cover_the_outcomes_of_streams(fleet):
    """Guards against an outcome that appears only in the logs, not in the metrics."""
    fleet.store.put("keyed.op", "config", configuration(9))
    wait_until(lambda: b'"version":9' in fleet.log.read_bytes(), CONFIG_APPLY_LIMIT_S)
    assert fleet.caption().status == 200
    fleet.decode.faults.add("no_room")
    assert fleet.caption().status == 503
    # What streams did is counted after their answers.
    wait_until(
        lambda: "poplarfold_stream_pause_seconds_count" in metric_samples(fleet), 5.0
    )
    samples = metric_samples(fleet)
    assert float(samples["poplarfold_routes_version"]) == 9
    assert float(samples['poplarfold_leases_total{outcome="granted"}']) == 1
    assert float(samples['poplarfold_leases_total{outcome="refused"}']) >= 1
    assert float(samples['poplarfold_prefills_total{outcome="ok"}']) == 1
    assert float(samples['poplarfold_slot_wait_seconds_count{outcome="placed"}']) == 1
    assert float(samples['poplarfold_slot_wait_seconds_count{outcome="refused"}']) == 1
    assert float(samples["poplarfold_stream_pause_seconds_count"]) == 1
    assert float(samples['poplarfold_store_calls_total{call="read",outcome="ok"}']) > 0
    assert float(samples["poplarfold_endpoints"]) == 4
    assert float(samples['poplarfold_store_read_age_seconds{topic="endpoints"}']) < 4


def metric_samples(fleet):
    """Return the values of all metrics, as text."""
    text = fleet.get("metrics", "/metrics").data.decode()
    return dict(
        line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")
    )
