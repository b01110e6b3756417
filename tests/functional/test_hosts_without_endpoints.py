"""Tests of hosts that are partitioned from all endpoints, as real processes.

The store, their callers and the other hosts still reach them.
"""

import http.client
import threading
import time
from collections import Counter

import pytest
from tests.lib.cut_fleet import CutFleet, served_share
from tests.lib.cut_gateway import CutMode
from tests.lib.platform_standin import configuration, route
from tests.lib.waits import wait_until

HOSTS = {
    "front-lhr-a-1": "lhr-a",
    "front-lhr-a-2": "lhr-a",
    "front-khi-a-1": "khi-a",
    "front-khi-a-2": "khi-a",
}
CUT = ("front-lhr-a-1", "front-khi-a-1")
# From this time after a cut began, callers must be served as well as elsewhere.
STABLE_S = 4.0
MEASURED_S = 2.0
# The rule asks for two thirds of what the other hosts serve.
SHARE_MIN = 0.95
# How long endpoints hold filings at most, and the time that those have. Hosts must not
# end them before the test has killed their peers, however busy the machine is.
HELD_MAX_S = 4.0
PATIENT_MS = 5000


@pytest.fixture
def fleet(tmp_path):
    found = CutFleet(tmp_path, HOSTS)
    try:
        yield found.wait_ready()
    finally:
        found.stop()


@pytest.fixture
def patient_fleet(tmp_path):
    """A fleet whose filings may take long."""
    routes = [
        route(
            "filing", "/filing/", "non_idempotent", "registry",
            max_attempts=1, timeout_ms=PATIENT_MS,
        ),
        route("lookup", "/lookup/", "idempotent", "registry"),
    ]  # fmt: skip
    found = CutFleet(tmp_path, HOSTS, config=configuration(routes=routes))
    try:
        yield found.wait_ready()
    finally:
        found.stop()


@pytest.mark.parametrize("mode", [CutMode.RESET, CutMode.HANG, CutMode.LIVE])
def test_callers_of_hosts_without_endpoints_are_served(fleet, mode):
    """Guards against callers of a partitioned host who are served far worse than those
    of others (RECOVER)."""
    others = set(HOSTS) - set(CUT)
    assert served_share(fleet.call_all(1.0), HOSTS) == 1.0
    fleet.cut(CUT, mode)
    fleet.call_all(STABLE_S, period_s=0.25)
    answers = fleet.call_all(MEASURED_S)
    assert served_share(answers, others) >= SHARE_MIN
    assert served_share(answers, CUT) >= SHARE_MIN
    fleet.cut(CUT, CutMode.NONE)
    answers = fleet.call_all(MEASURED_S)
    assert served_share(answers, HOSTS) >= SHARE_MIN
    # What must not be repeated has run once at most.
    runs = Counter(
        headers["Poplarfold-Request-Id"]
        for endpoint in fleet.plain
        for _, path, headers, _ in endpoint.runs
        if path.startswith("/filing")
    )
    assert max(runs.values()) == 1


def test_streams_of_hosts_without_endpoints_are_served(fleet):
    """Guards against streams that get no slot, or no prefill, at a partitioned host."""
    fleet.cut(CUT, CutMode.HANG)
    fleet.call_all(STABLE_S, period_s=0.25)
    headers = {"Poplarfold-Token-Count": "1000,200", "Poplarfold-Deadline-Ms": "14000"}
    for name in CUT:
        for _ in range(5):
            answer = fleet.call(name, "/caption/1", headers)
            assert answer.status == 200
            assert answer.body.count(b"id: ") == fleet.engines[1].events


def test_calls_are_rejected_at_once_if_no_host_reaches_an_endpoint(fleet):
    """Guards against callers who wait for a deadline, although nobody can serve them,
    and against calls that come back to a host that has served them elsewhere."""
    fleet.cut(HOSTS, CutMode.RESET)
    fleet.call_all(STABLE_S, period_s=0.25)
    runs = sum(len(endpoint.runs) for endpoint in fleet.plain)
    answers = fleet.call_all(MEASURED_S, period_s=0.25)
    # Lists, so that a failure shows the calls.
    assert answers
    assert [answer for answer in answers if answer.status != 503] == []
    assert [answer for answer in answers if answer.took_s >= 0.5] == []
    assert sum(len(endpoint.runs) for endpoint in fleet.plain) == runs
    fleet.cut(HOSTS, CutMode.NONE)
    time.sleep(1.0)
    assert served_share(fleet.call_all(MEASURED_S), HOSTS) >= SHARE_MIN


def test_call_is_not_called_unexecuted_after_a_peer_has_died(patient_fleet):
    """Guards against a call that must not be repeated and runs twice: the host that
    passed it on has ended, and 503 would promise that it has not run."""
    fleet = patient_fleet
    for endpoint in fleet.plain:
        endpoint.work_s = 1.0
    fleet.cut(CUT, CutMode.RESET)
    for _ in range(12):
        fleet.call(CUT[0], "/lookup/1")
    are_killed = threading.Event()

    def hold_answer(request_id):
        are_killed.wait(HELD_MAX_S)
        return b"whole answer"

    for endpoint in fleet.plain:
        endpoint.work_s = 0.0
        endpoint.whole_body = hold_answer
    answers = []
    headers = {"Poplarfold-Deadline-Ms": str(PATIENT_MS)}
    threads = [
        threading.Thread(
            target=lambda: answers.append(fleet.call(CUT[0], "/filing/1", headers))
        )
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    # Some may be rejected. Those that have begun wait for the end of their peers.
    wait_until(lambda: begun_filings(fleet) + len(answers) >= len(threads), 3.0)
    for name in set(HOSTS) - set(CUT):
        fleet.nodes[name].kill()
    are_killed.set()
    for thread in threads:
        thread.join()
    begun = begun_filings(fleet)
    assert begun > 0
    assert sum(answer.status in (502, 504) for answer in answers) >= begun


def begun_filings(fleet):
    """Return how many filings have reached an endpoint."""
    return sum(
        path.startswith("/filing") for row in fleet.plain for _, path, _, _ in row.runs
    )


def test_leaving_caller_of_a_host_without_endpoints_ends_the_stream(fleet):
    """Guards against engines that work for callers who have left a partitioned host."""
    for engine in fleet.engines:
        engine.events, engine.event_period_s = 200, 0.05
    fleet.cut(CUT, CutMode.RESET)
    fleet.call_all(1.0, period_s=0.25)
    port = fleet.nodes[CUT[0]].ports["front"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    headers = {
        "Host": "entry.example",
        "Poplarfold-Request-Id": "9c41d07be2a35f68",
        "Poplarfold-Token-Count": "1000,200",
        "Poplarfold-Deadline-Ms": "14000",
    }
    connection.request("POST", "/caption/1", b"x", headers)
    answer = connection.getresponse()
    assert answer.status == 200 and answer.read1(10)
    assert sum(engine.open_streams for engine in fleet.engines) == 1
    answer.close()
    connection.close()
    wait_until(lambda: not any(row.open_streams for row in fleet.engines), 0.5)
