"""Stateful fuzzing of several nodes against an independent oracle.

CI runs with fixed seeds. ``python -m tests.functional.fuzz`` runs with fresh
seeds for as long as asked.
"""

import pytest
from tests.lib.fuzzing import steps_to_violation


@pytest.mark.parametrize("number", [1, 2, 3])
def test_promises_hold_under_random_faults(number):
    """Guards against a broken promise under any mixture of failures."""
    steps, broken = steps_to_violation(number, examples=12)
    assert steps > 0
    assert broken == []
