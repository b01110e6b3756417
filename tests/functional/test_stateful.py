"""Stateful fuzzing of several nodes against an independent oracle.

CI uses fixed seeds. ``python -m tests.functional.fuzz`` uses fresh seeds for a
given time.
"""

import pytest
from tests.lib.fuzzing import steps_to_violation


@pytest.mark.parametrize("seed_value", [1, 2, 3])
def test_promises_hold_under_random_faults(seed_value):
    """Guards against violated invariants under random combinations of faults."""
    steps, broken = steps_to_violation(seed_value, examples=12)
    assert steps > 0
    assert broken == []
