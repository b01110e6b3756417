"""The fuzzing must find each deliberate fault in the code."""

import pytest
from tests.lib.deliberate_faults import FAULTS
from tests.lib.fuzzing import steps_to_violation

EXAMPLES_MAX = 60


@pytest.mark.parametrize("name", FAULTS)
def test_fuzzing_finds_the_deliberate_fault(name, monkeypatch, record_property):
    """Guards against an invariant that is documented but not effectively checked."""
    fault = FAULTS[name]
    fault.apply(monkeypatch)
    steps, broken = steps_to_violation(1, EXAMPLES_MAX, fault.invariant)
    record_property("steps", steps)
    assert fault.invariant in broken
