"""Tests of calls that arrive while a router process starts, on loopback."""

import time

import pytest
from tests.lib.gateway_process import READY_LIMIT_S, Fleet
from tests.lib.waits import wait_until

PLAIN = ("POST", "/caption/1", {"Poplarfold-Token-Count": "1000,200"}, b"prompt")


class StoreFleet(Fleet):
    """A router process whose store is slow or away before the process starts."""

    def __init__(self, folder, **store):
        self.store_changes = store
        super().__init__(folder)

    def start(self, stdout=None):
        for name, value in self.store_changes.items():
            setattr(self.store, name, value)
        super().start(stdout)


@pytest.fixture
def start(tmp_path):
    """A function that starts a process with some attributes of its store."""
    fleets = []

    def run(**store):
        fleets.append(StoreFleet(tmp_path, **store))
        return fleets[-1]

    yield run
    for fleet in fleets:
        fleet.stop()


def first_answers(fleet, count):
    """Call from the moment at which the process listens; return the answers."""
    answers = []

    def is_called():
        try:
            answers.append(fleet.call(*PLAIN))
        except ConnectionRefusedError:
            return False
        return True

    wait_until(is_called, READY_LIMIT_S)
    for _ in range(count - 1):
        assert is_called()
    return answers


def test_first_calls_wait_for_the_first_configuration(start):
    """Guards against rejections of all calls in the moment between the start and the
    first records, at which the platform counts the process as up."""
    fleet = start(bytes_per_s=10_000)
    answers = first_answers(fleet, 3)
    assert [answer.status for answer in answers] == [200] * 3


def test_first_calls_end_at_their_deadlines(start):
    """Guards against an answer that comes after its deadline at a start."""
    fleet = start(mode="silent")
    headers = {**PLAIN[2], "Poplarfold-Deadline-Ms": "100"}

    def status():
        started_at = time.monotonic()
        try:
            found = fleet.call(*PLAIN[:2], headers, PLAIN[3]).status
        except ConnectionRefusedError:
            return None
        assert time.monotonic() - started_at < 0.4
        return found

    wait_until(lambda: status() == 503, READY_LIMIT_S)


def test_calls_are_rejected_at_once_if_the_store_stays_away(start):
    """Guards against calls that wait although nothing says that records will come."""
    fleet = start(mode="silent")
    first_answers(fleet, 1)
    time.sleep(0.6)
    started_at = time.monotonic()
    answer = fleet.call(*PLAIN)
    assert (answer.status, time.monotonic() - started_at < 0.3) == (503, True)
