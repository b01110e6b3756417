"""Bench of memory and processor time per row of state."""

import pytest

from poplarfold._internal.bench.memory import (
    KINDS,
    MemoryRun,
    empty_node,
    fill,
    run_memory,
)
from poplarfold._internal.core.systems import claims, health, membership


@pytest.mark.parametrize(
    ("kind", "rows"),
    [
        ("entry", lambda state: state.entries),
        ("claim", lambda state: state.part(claims.Claims).rows),
        ("endpoint", lambda state: state.part(health.HealthState).endpoints),
        ("member", lambda state: state.part(membership.Members).rows),
        ("call", lambda state: state.calls),
    ],
)
def test_bench_builds_as_many_rows_as_requested(kind, rows):
    """Guards against a cost per row measured on events that the node ignores."""
    node = empty_node()
    fill(node, KINDS[kind](250))
    assert len(rows(node.state)) == 250


def test_claim_rows_cost_memory_record_and_checkpoint_bytes():
    """Guards against a kind of row whose samples are all zero."""
    result = run_memory(MemoryRun("claim", (100, 200)))
    assert result["memory_bytes"]["bytes_per_row"] > 0
    assert result["record_bytes"]["bytes_per_row"] > 0
    assert result["checkpoint_bytes"]["bytes_per_row"] > 0
