"""The bench of what a row of state costs."""

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
def test_the_bench_builds_the_rows_that_it_counts(kind, rows):
    """Guards against a slope of an event that the node ignored."""
    node = empty_node()
    fill(node, KINDS[kind](250))
    assert len(rows(node.state)) == 250


def test_a_claim_has_costs_in_memory_log_and_checkpoint():
    """Guards against a kind whose samples are all zero."""
    result = run_memory(MemoryRun("claim", (100, 200)))
    assert result["memory_bytes"]["bytes_per_row"] > 0
    assert result["record_bytes"]["bytes_per_row"] > 0
    assert result["checkpoint_bytes"]["bytes_per_row"] > 0
