"""Tests of endpoints that say in their answers that they leave or are overloaded."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.platform_standin import configuration, route
from tests.lib.waits import wait_until

from poplarfold._internal.core.fleet.server_signals import RETURN_SPREAD

RETRY_AFTER_S = 2.0
LONG_PAUSE_S = 3.0
# The node's own return is spread, and those of its callers after it.
LONGEST_WAIT_S = LONG_PAUSE_S * (1.0 + RETURN_SPREAD) ** 2
# On a busy machine, a stand-in answered some calls 1.2 s late.
PATIENT_MS = 4500


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path) as found:
        yield found


@pytest.fixture
def patient_fleet(tmp_path):
    """A fleet whose plain calls do not time out if the stand-ins run late."""
    routes = [
        route(
            "filing", "/filing/", "non_idempotent", "registry",
            max_attempts=1, timeout_ms=PATIENT_MS,
        ),
        route("lookup", "/lookup/", "idempotent", "registry", timeout_ms=PATIENT_MS),
    ]  # fmt: skip
    with ready_fleet(tmp_path, config=configuration(routes=routes)) as found:
        yield found


def arrivals(endpoint):
    """Return how many calls have reached an endpoint, rejected ones included."""
    return endpoint.count


def wait_entries_read(fleet):
    """Wait until the process has read all entries of endpoints.

    It reads them once a second, each time from the end of those that it knows.
    """
    end = len(fleet.store.logs["keyed.servers"])
    read = f"topic=keyed.servers&part=0&from={end}&"
    wait_until(lambda: any(read in path for path in list(fleet.store.calls)), 5.0)


def remove(fleet, endpoint):
    """Remove an endpoint, and wait until the process uses it no more.

    What was written before is in force then, too.
    """
    fleet.store.put("keyed.servers", endpoint.endpoint_id, None)
    wait_until(lambda: is_logged_as_gone(fleet, endpoint.endpoint_id.encode()), 5.0)


def is_logged_as_gone(fleet, endpoint_id):
    lines = [row for row in fleet.log.read_bytes().splitlines() if endpoint_id in row]
    # The second is logged if the removal was held back after a failed read.
    return any(
        (b'"PF7107"' in row and b'"gone"' in row) or b'"PF7104"' in row for row in lines
    )


def call_at_once(fleet, method, path, count):
    """Make calls at the same time; return the statuses of their answers, in order."""
    with ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(fleet.call, method, path, None, b"x") for _ in range(count)
        ]
        return [call.result().status for call in calls]


@pytest.mark.parametrize("path", ["/lookup/1", "/filing/1"])
def test_endpoint_that_says_it_leaves_gets_no_new_calls(fleet, path):
    """Guards against calls to an endpoint whose entry does not tell that it leaves."""
    leaving, other = fleet.plain
    leaving.answer_headers = {"Server-Leaving": "1"}
    method = "GET" if path == "/lookup/1" else "POST"
    while not leaving.count:
        answer = fleet.call(method, path, None, b"x")
        assert answer.status == 200 and answer.headers["Server-Leaving"] is None
    before = arrivals(leaving)
    # An entry of the same incarnation ends nothing.
    fleet.announce(leaving, "registry", seq=2)
    wait_entries_read(fleet)
    for _ in range(20):
        assert fleet.call(method, path, None, b"x").status == 200
    assert arrivals(leaving) == before
    leaving.answer_headers = {}
    fleet.announce(leaving, "registry", born=1788179299999)
    remove(fleet, other)
    assert fleet.call(method, path, None, b"x").status == 200
    assert arrivals(leaving) == before + 1


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_engine_that_says_it_leaves_gets_no_new_streams(fleet, stage):
    """Guards against streams, leases and prefills at an engine that leaves."""
    leaving = fleet.prefill if stage == "prefill" else fleet.decode
    leaving.answer_headers = {"Server-Leaving": "1"}
    # The decode engine says so when it grants a lease, before it gets a stream.
    expected = 200 if stage == "prefill" else 503
    assert fleet.caption().status == expected
    before = arrivals(leaving)
    assert [fleet.caption().status for _ in range(3)] == [expected] * 3
    assert arrivals(leaving) == before
    assert leaving.runs == []


@pytest.mark.parametrize("path", ["/lookup/1", "/filing/1"])
def test_endpoint_that_asks_for_a_pause_is_not_called(patient_fleet, path):
    """Guards against calls to an overloaded endpoint, which keep it overloaded.

    On a busy machine, calls of the last batch may begin so late that the pause is over;
    only such calls may arrive and be rejected.
    """
    fleet = patient_fleet
    away, other = fleet.plain
    away.faults.add("not_run")
    away.answer_headers = {"Retry-After": str(RETRY_AFTER_S)}
    method = "GET" if path == "/lookup/1" else "POST"
    while not away.count:
        called_at = time.monotonic()
        # A filing is sent to one endpoint only.
        assert fleet.call(method, path, None, b"x").status in (200, 503)
    # The pause began when that call was answered.
    paused_until = called_at + RETRY_AFTER_S
    arrived = []
    away.record_arrival = lambda headers, ran: arrived.append(time.monotonic())
    # So slow that calls would rather go to the other one, which has failed once.
    other.work_s = 0.3
    statuses = []
    while time.monotonic() < paused_until - 0.8:
        statuses += call_at_once(fleet, method, path, 12)
    assert statuses, "no call was made during the pause"
    assert [at for at in arrived if at < paused_until] == []
    rejected = [status for status in statuses if status != 200]
    assert rejected == [503] * len(rejected) and len(rejected) <= len(arrived)
    other.work_s = 0.0
    # Each rejected call begins another pause.
    ended_at = max([paused_until, *(at + RETRY_AFTER_S for at in arrived)])
    time.sleep(max(0.0, ended_at - time.monotonic()))
    before = arrivals(away)
    away.faults.clear()
    away.answer_headers = {}
    remove(fleet, other)
    # The node's own return is spread.
    time.sleep(1.5)
    assert fleet.call(method, path, None, b"x").status == 200
    assert arrivals(away) == before + 1


def test_callers_are_told_when_all_endpoints_ask_for_a_pause(fleet):
    """Guards against calls that wait, or come back too early, for nothing."""
    for endpoint in fleet.plain:
        endpoint.faults.add("not_run")
        endpoint.answer_headers = {"Retry-After": str(LONG_PAUSE_S)}
    assert fleet.call("GET", "/lookup/1").status == 503
    started_at = time.monotonic()
    answer = fleet.call("GET", "/lookup/1")
    assert time.monotonic() - started_at < 0.3
    assert answer.status == 503
    assert 2.0 < float(answer.headers["Retry-After"]) <= LONGEST_WAIT_S
    assert sum(arrivals(endpoint) for endpoint in fleet.plain) <= 2


def test_streams_are_rejected_at_once_if_all_engines_ask_for_a_pause(fleet):
    """Guards against streams that wait for engines which will not take them."""
    fleet.decode.faults.add("no_room")
    fleet.decode.answer_headers = {"Retry-After": str(LONG_PAUSE_S)}
    assert fleet.caption().status == 503
    before = arrivals(fleet.decode)
    started_at = time.monotonic()
    answer = fleet.caption()
    assert time.monotonic() - started_at < 0.3
    assert answer.status == 503
    assert 2.0 < float(answer.headers["Retry-After"]) <= LONGEST_WAIT_S
    assert arrivals(fleet.decode) == before <= 2
