"""Tests of faulty endpoints that send bytes without end to many calls at once."""

import threading
import time
import tracemalloc
from pathlib import Path

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.platform_standin import EndpointStandIn
from tests.lib.waits import wait_until

from poplarfold._internal.exceptions import AnswerTooLargeError
from poplarfold._internal.http.answer_memory import SMALL_ANSWER_BYTES, AnswerMemory
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target

# The limit of the process, as its settings file states it.
MEMORY_MB = 150
CALLERS = 40


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path) as found:
        yield found


def peak_mb(process):
    """Return the peak of a process's resident memory."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (peak,) = [line for line in lines if line.startswith("VmHWM:")]
    return int(peak.split()[1]) / 1024


def call_at_once(call):
    threads = [threading.Thread(target=call) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)


@pytest.mark.parametrize("fault", ["flood_body", "flood_head"])
def test_floods_do_not_fill_the_memory(fleet, fault):
    """Guards against a process that is killed because one endpoint sends bytes without
    end, and with it the calls of all other callers."""
    fleet.plain[0].faults.add(fault)
    statuses = []
    call_at_once(lambda: statuses.append(fleet.call("GET", "/lookup/1").status))
    assert fleet.process.poll() is None
    assert peak_mb(fleet.process) < MEMORY_MB
    assert len(statuses) == CALLERS and statuses.count(200) >= CALLERS / 2
    wait_until(lambda: fleet.call("GET", "/lookup/1").status == 200, 2.0)


@pytest.mark.parametrize("fault", ["flood_stream", "flood_chunk"])
def test_streams_without_events_do_not_fill_the_memory(fleet, fault):
    """Guards against the same fault for streams."""
    fleet.decode.slots = CALLERS
    fleet.decode.faults.add(fault)
    call_at_once(fleet.caption)
    assert fleet.process.poll() is None
    assert peak_mb(fleet.process) < MEMORY_MB


def test_large_answers_leave_memory_for_others():
    """Guards against one endless answer that uses up the memory of all others."""
    memory = AnswerMemory(1_000_000)
    first, second = memory.hold(), memory.hold()
    first.resize(500_000)
    with pytest.raises(AnswerTooLargeError):
        first.resize(500_001)
    second.resize(250_000)
    with pytest.raises(AnswerTooLargeError):
        second.resize(260_000)
    small = [memory.hold() for _ in range(20)]
    for held in small:
        held.resize(SMALL_ANSWER_BYTES)
    for held in (first, second, *small):
        held.release()
    assert memory.used_bytes == 0


def test_answer_that_is_given_up_is_not_kept():
    """Guards against a process that is killed because its calls keep what they read of
    answers for which there was no memory, while it is no longer accounted for."""
    server = EndpointStandIn("i-1")
    body = bytes(4_000_000)
    server.whole_body = lambda request_id: body
    # Half of the memory is read of it, and nothing of that may stay.
    client = EndpointClient(1.0, AnswerMemory(4_000_000))
    tracemalloc.start()
    try:
        result = client.exchange(Target(server.address, "GET", "/1"), None, {}, 5.0)
        failure = result.unwrap_err()
        assert isinstance(failure.error, AnswerTooLargeError)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        assert client.memory.used_bytes == 0 and kept_bytes < 1_000_000
    finally:
        tracemalloc.stop()
        client.close()
        server.stop()


def test_stream_that_is_given_up_for_its_memory_loses_no_event(fleet):
    """Guards against events that are dropped with the long one behind them, although
    the stream is resumed after them."""
    fleet.restart(limits={"memory_mb": 0.5})
    # Until then, a stream may not be resumed.
    fleet.wait_counted()
    fleet.decode.faults.add("long_event")
    assert fleet.caption().data == fleet.decode.all_events({})


def test_sound_calls_beside_a_flood_are_served(fleet):
    """Guards against answers that are refused because a faulty one takes the memory."""
    fleet.plain[0].faults.add("flood_body")
    ends_at = time.monotonic() + 2.0
    flood = threading.Thread(target=lambda: flood_until(fleet, ends_at))
    flood.start()
    while time.monotonic() < ends_at:
        assert fleet.caption().status == 200
    flood.join()


def flood_until(fleet, ends_at):
    while time.monotonic() < ends_at:
        fleet.call("POST", "/filing/1", None, b"x")
