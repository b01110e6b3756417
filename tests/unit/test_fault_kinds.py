"""Tests of the kinds of faults that a run of the bench draws."""

from poplarfold._internal.bench.fault_bench import KINDS, FaultsRun
from poplarfold._internal.bench.fault_kinds import FAULTS


def test_each_kind_has_a_fault():
    """Guards against a kind that fails when it is drawn, or a fault that never is."""
    assert tuple(FAULTS) == KINDS == FaultsRun("association", 1, 1.0).kinds
