"""Tests of the wait with a time limit that other tests use."""

import time

import pytest
from tests.lib.waits import wait_until

LIMIT_S = 0.1


def test_condition_that_is_met_while_the_test_is_held_up_counts():
    """Guards against tests that fail although the condition was met in time: the test's
    thread was held up behind its last look, and the time was over then."""
    looks = []

    def is_met():
        looks.append(time.monotonic())
        if len(looks) == 1:
            time.sleep(2 * LIMIT_S)
            return False
        return True

    wait_until(is_met, LIMIT_S)
    assert len(looks) == 2


def test_condition_that_is_not_met_in_time_fails():
    """Guards against a wait without an end, or one that passes."""
    began_at = time.monotonic()
    looks = []
    with pytest.raises(AssertionError):
        wait_until(lambda: looks.append(time.monotonic()), LIMIT_S)
    # No look but the one that is under way at the limit comes after it.
    assert sum(at >= began_at + LIMIT_S for at in looks) <= 2
