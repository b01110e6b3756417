"""Tests of the stand-ins over HTTP: the documented protocols and the faults."""

import json
import subprocess
import sys
import time

import pytest
import urllib3
from tests.lib.waits import wait_until

from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins.answers import expected_text
from poplarfold._internal.standins.engine import EngineStandIn
from poplarfold._internal.standins.engine_model import EngineConfig
from poplarfold._internal.standins.fleet import DEPLOYMENTS, Fleet
from poplarfold._internal.standins.http_server import ServerLoop
from poplarfold._internal.standins.log import LogStandIn
from poplarfold._internal.standins.service import ServiceStandIn
from poplarfold._internal.standins.service_model import ServiceConfig
from poplarfold._internal.standins.weight_store import WeightStoreStandIn

IDENTITY = Identity("association", "abstractor", "v1")
BASE = {"host": "h", "incarnation": 1, "identity": IDENTITY._asdict()}
PROMPT = "The registrar asked for the survey. " * 30


@pytest.fixture
def server():
    loop = ServerLoop()
    yield loop
    loop.stop()


@pytest.fixture
def pool():
    with urllib3.PoolManager(
        retries=False, timeout=urllib3.Timeout(5.0), maxsize=8
    ) as manager:
        yield manager


def engine(server, role, **changes):
    return EngineStandIn(server, EngineConfig("", IDENTITY, role, **changes))


def post(pool, address, path, body, **options):
    return pool.request("POST", f"http://{address}{path}", json=body, **options)


def prefill(pool, standin, attempt):
    body = {**BASE, "attempt": attempt, "prompt": PROMPT, "prefixes": ["x"]}
    return post(pool, standin.address, "/prefill", body).json()


def decode(pool, standin, attempt, kv, outputs=20, resume_from=0):
    body = {
        **BASE,
        "attempt": attempt,
        "kv": kv,
        "prompt_tokens": 300,
        "max_outputs": outputs,
        "resume_from": resume_from,
    }
    return post(pool, standin.address, "/decode", body, preload_content=False)


def events(answer):
    lines = answer.data.decode().split("\n\n")
    return [json.loads(line[6:]) for line in lines if line.startswith("data: ")]


def text_of(rows):
    return "".join(row["text"] for row in rows if "text" in row)


def test_reserve_prefill_decode_gives_the_whole_answer(server, pool):
    """Guards against a stand-in that breaks the endpoint protocol."""
    source = engine(server, EndpointRole.PREFILL)
    sink = engine(server, EndpointRole.DECODE)
    body = {**BASE, "attempt": "a", "pieces": 9, "priority": 0}
    assert post(pool, sink.address, "/reserve", body).json() == {"lease_s": 3.0}
    done = prefill(pool, source, "a")
    assert done["tokens"] == len(PROMPT) // 4 and done["cached_tokens"] == 0
    answer = decode(pool, sink, "a", done["kv"])
    assert answer.status == 200
    assert answer.headers["Entry-Owner"] == "association"
    rows = events(answer)
    assert text_of(rows) == expected_text(IDENTITY, PROMPT, 20)
    assert rows[-1] == {"attempt": "a", "done": True, "outputs": 20}
    # A reader that reconnects gets the rest, and no output is made twice.
    again = events(decode(pool, sink, "a", done["kv"], resume_from=18))
    assert [row["seq"] for row in again[:-1]] == [18, 19]
    assert sink.counters()["outputs_made"] == 20
    assert source.counters()["prefill_tokens_wasted"] == 0
    report = pool.request("GET", f"http://{sink.address}/report").json()
    assert report["role"] == "decode" and report["slots"] == 20


def test_attempt_resumes_on_another_engine(server, pool):
    """Guards against a resumed answer that differs from the original one."""
    source = engine(server, EndpointRole.PREFILL)
    sink = engine(server, EndpointRole.DECODE)
    kv = prefill(pool, source, "b")["kv"]
    rows = events(decode(pool, sink, "b", kv, resume_from=15))
    assert text_of(rows) == "".join(
        expected_text(IDENTITY, PROMPT, n)[
            len(expected_text(IDENTITY, PROMPT, n - 1)) :
        ]
        for n in range(16, 21)
    )


def test_evicted_and_cancelled_work_is_refused(server, pool):
    """Guards against rejections that do not reach the client with their code."""
    source = engine(server, EndpointRole.PREFILL, kv_lifetime_s=0.1)
    sink = engine(server, EndpointRole.DECODE)
    kv = prefill(pool, source, "a")["kv"]
    time.sleep(0.15)
    evicted = decode(pool, sink, "a", kv)
    assert (evicted.status, evicted.json()) == (409, {"code": "kv_gone"})
    assert decode(pool, sink, "unknown", None).json() == {"code": "kv_gone"}
    # Its results outlast the way to the decode engine on a busy machine, too.
    lasting = engine(server, EndpointRole.PREFILL, kv_lifetime_s=5.0)
    kv = prefill(pool, lasting, "c")["kv"]
    stream = decode(pool, sink, "c", kv, outputs=10_000)
    assert stream.status == 200
    cancel = post(pool, sink.address, "/cancel", {"attempt": "c"})
    assert cancel.json() == {"confirmed": True}
    assert events(stream)[-1]["error"]["code"] == "cancelled"
    body = {**BASE, "attempt": "c", "pieces": 1}
    late = post(pool, sink.address, "/reserve", body)
    assert (late.status, late.json()) == (409, {"code": "cancelled"})
    assert sink.counters()["pieces_free"] == 2000
    malformed = post(pool, sink.address, "/reserve", {"attempt": 1})
    assert malformed.status == 400


def test_decode_continues_after_its_reader_disconnects(server, pool):
    """Guards against an engine that frees memory when the connection closes."""
    source = engine(server, EndpointRole.PREFILL)
    sink = engine(server, EndpointRole.DECODE)
    stream = decode(pool, sink, "a", prefill(pool, source, "a")["kv"], 10_000)
    stream.close()
    time.sleep(0.2)
    assert [row["attempt"] for row in sink.counters()["held"]] == ["a"]


def test_silenced_connection_stays_unresponsive_while_new_ones_work(server, pool):
    """Guards against a ``silence`` fault that closes connections instead."""
    source = engine(server, EndpointRole.PREFILL)
    sink = engine(server, EndpointRole.DECODE)
    kv = prefill(pool, source, "a")["kv"]
    stream = decode(pool, sink, "a", kv, outputs=60)
    first = next(stream.stream(64))
    assert first.startswith(b"data: ")
    sink.silence()
    body = {"attempt": "other"}
    assert post(pool, sink.address, "/cancel", body).status == 200
    reconnected = decode(pool, sink, "a", kv, outputs=60)
    assert len(events(reconnected)) == 61
    stream.close()


def test_reordered_outputs_are_all_sent(server, pool):
    """Guards against a reorder fault that loses outputs."""
    source = engine(server, EndpointRole.PREFILL)
    sink = engine(server, EndpointRole.DECODE)
    sink.reorder(0.5)
    rows = events(decode(pool, sink, "a", prefill(pool, source, "a")["kv"], 40))
    numbers = [row["seq"] for row in rows[:-1]]
    assert numbers != sorted(numbers) and sorted(numbers) == list(range(40))


def test_pause_restart_and_lost_answers(server, pool):
    """Guards against faults that have no effect over HTTP."""
    sink = engine(server, EndpointRole.DECODE)
    url = f"http://{sink.address}/report"
    first = pool.request("GET", url).json()["incarnation"]
    # Read before the pause begins, however late the request is sent.
    started = time.monotonic()
    sink.pause(0.8)
    assert pool.request("GET", url).status == 200
    assert time.monotonic() - started > 0.7
    body = {**BASE, "attempt": "a", "pieces": 9}
    control = {"fault": "lose_answers", "count": 1, "path": "/reserve"}
    assert post(pool, sink.address, "/control", control).status == 200
    with pytest.raises(urllib3.exceptions.HTTPError):
        post(pool, sink.address, "/reserve", body)
    assert sink.counters()["held"][0]["attempt"] == "a"
    sink.die(return_after_s=0.8)
    with pytest.raises(urllib3.exceptions.HTTPError):
        pool.request("GET", url)
    wait_until(lambda: sink.listener is not None, 2.0)
    report = pool.request("GET", url).json()
    assert report["incarnation"] > first and report["pieces_free"] == 2000
    assert sink.counters()["past"][0]["incarnation"] == first


def test_service_runs_an_operation_once(server, pool):
    """Guards against a second run or an unreadable record of an operation over HTTP."""
    standin = ServiceStandIn(server, ServiceConfig("", IDENTITY))
    headers = {
        "Operation-Id": "op/1",
        "Fencing-Number": "5",
        "Entry-Owner": "association",
        "Entry-Service": "abstractor",
        "Entry-Version": "v1",
    }
    url = f"http://{standin.address}"
    answers = [
        pool.request("POST", url + "/call", body=b"{}", headers=headers).json()
        for _ in range(2)
    ]
    assert answers[0] == answers[1] and answers[0]["run"] == 1
    known = pool.request("GET", url + "/operations/op%2F1").json()
    assert known["state"] == "done" and json.loads(known["body"]) == answers[0]
    headers["Entry-Owner"] = "glasscairn"
    wrong = pool.request("POST", url + "/call", body=b"{}", headers=headers)
    assert (wrong.status, wrong.json()) == (409, {"code": "wrong_identity"})
    assert standin.counters()["runs"] == {"op/1": 1}


def test_log_appends_reads_waits_and_loses_answers(server, pool):
    """Guards against a log stand-in that breaks the log protocol."""
    log = LogStandIn(server)
    url = f"http://{log.address}/streams/claims"
    empty = pool.request("GET", url + "?from=0&limit=9&wait_ms=0").json()
    assert empty == {"first": 0, "next": 0, "records": []}
    append = {"body": b"\x00one", "headers": {"Record-Id": "r1"}}
    assert pool.request("POST", url, **append).json() == {"offset": 0}
    log.lose_append_answers(1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        pool.request("POST", url, **append)
    read = pool.request("GET", url + "?from=1&limit=9&wait_ms=0").json()
    assert read["records"] == [{"offset": 1, "record_id": "r1", "data": "AG9uZQ=="}]
    started = time.monotonic()
    server.loop.call_soon_threadsafe(
        server.loop.call_later, 0.2, log.model.append, 1e9, "claims", "r", b""
    )
    late = pool.request("GET", url + "?from=2&limit=9&wait_ms=400").json()
    assert late["next"] == 3 and time.monotonic() - started < 1.0
    log.truncate("claims", 2)
    assert pool.request("GET", url + "?from=1").status == 410
    log.outage(60.0)
    assert pool.request("GET", url + "?from=2&wait_ms=9000").status == 503
    assert pool.request("POST", url, **append).status == 503


def test_weight_store_shares_its_rate(server, pool):
    """Guards against a store whose readers do not share its bandwidth."""
    store = WeightStoreStandIn(server, 4e6, 1_000_000, max_readers=2)
    url = f"http://{store.address}/weights/abc"
    started = time.monotonic()
    readers = [pool.request("GET", url, preload_content=False) for _ in range(2)]
    assert pool.request("GET", url).status == 429
    assert [len(reader.data) for reader in readers] == [1_000_000] * 2
    assert 0.45 < time.monotonic() - started < 2.0


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_fleet_process_has_the_documented_sizes(name, pool):
    """Guards against a domain that lacks a role, and against leftover processes."""
    process = subprocess.Popen(
        [sys.executable, "-m", "poplarfold._internal.standins", "--follow-stdin"]
        + ["fleet", name, "--foreign-owner", "other"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={"PYTHONPATH": "src"},
    )
    try:
        started = json.loads(process.stdout.readline())
        listed = pool.request("GET", started["host_list"] + "/hosts").json()["hosts"]
        assert len(listed) == len(started["endpoints"])
        reports = {}
        for row in listed:
            report = pool.request("GET", f"http://{row['address']}/report").json()
            if report["identity"]["owner"] == name:
                reports.setdefault(row["domain"], []).append(report["role"])
        assert len(reports) == 3
        assert all(
            set(roles) == {"prefill", "decode", "service"} for roles in reports.values()
        )
        engines = sum(len(roles) for roles in reports.values()) - 3
        assert engines == {"association": 10, "glasscairn": 6}[name]
        process.stdin.close()
        assert process.wait(10) == 0
    finally:
        if process.poll() is None:
            process.kill()
        process.wait(10)
        process.stdout.close()


def test_stopped_fleet_leaves_no_thread(pool):
    """Guards against threads and sockets that leak over a test run."""
    with Fleet("glasscairn") as fleet:
        thread = fleet.server.thread
        assert len(fleet.counters()) == 6 + 3 + 3
    assert not thread.is_alive()
    with pytest.raises(urllib3.exceptions.HTTPError):
        pool.request("GET", f"http://{fleet.log.address}/streams/x")
