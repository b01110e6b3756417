"""A short run of real daemons and stand-ins under random faults."""

import json

import pytest
from tests.functional.soak.__main__ import build_parser, run


@pytest.mark.timeout(300)
def test_invariants_hold_under_random_faults():
    """Guards against faults that show only between real processes."""
    options = build_parser().parse_args(
        ["--seed", "1", "--seconds", "15", "--daemons", "4", "--callers", "10"]
    )
    report = run(options)
    print(json.dumps(report, indent=1))
    answered = sum(
        count for name, count in report["outcomes"].items() if name.endswith(":ok")
    )
    assert answered > 50
    assert report["faults"]
    assert report["violations"] == []
