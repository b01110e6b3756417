"""Tests that the retry budget counts each call by which a request reaches a server."""

import contextlib
import http.client

import pytest
from tests.lib.gateway_process import ready_fleet

# The arrivals beyond the first of each request that the budget allows in all.
SLACK = 7
BOUNDS = {
    "grace_s": 6,
    "retry_budget_ratio": 0.0,
    "budget_slack": SLACK,
    "budget_window_s": 600,
}
STREAMS = 12


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path, BOUNDS) as found:
        found.wait_counted()
        yield found


def cut_caption(fleet):
    """Make a call whose stream is cut at each attempt."""
    with contextlib.suppress(http.client.IncompleteRead):
        fleet.caption()


def test_repeated_streams_pay_for_their_prefills(fleet):
    """Guards against a repeat that reaches two engines and is counted once."""
    fleet.decode.faults.add("cut_streams")
    for _ in range(STREAMS):
        cut_caption(fleet)
    streams, prefills = len(fleet.decode.runs), len(fleet.prefill.prefills)
    # The first accepted prefill of each request is not counted.
    assert streams + prefills - 2 * STREAMS <= SLACK
    assert streams - STREAMS >= SLACK // 2


def test_repeat_without_budget_for_a_prefill_is_left_to_the_decode_engine(fleet):
    """Guards against a stream that is given up although one more arrival is allowed."""
    fleet.decode.faults.add("cut_streams")
    # Each repeat costs two arrivals, which leaves one.
    for _ in range(SLACK // 2):
        cut_caption(fleet)
    prefills = len(fleet.prefill.prefills)
    fleet.decode.faults = {"cut_stream"}
    answer = fleet.caption()
    assert (answer.status, answer.data.count(b"id: ")) == (200, 5)
    assert len(fleet.prefill.prefills) == prefills + 1
