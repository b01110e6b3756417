"""Short seeded runs of real router processes under random faults."""

import json

import pytest
from tests.functional.gateway_soak.__main__ import build_parser, run
from tests.functional.gateway_soak.find_planted import find_planted


def run_soak(*arguments):
    report = run(build_parser().parse_args(list(arguments)))
    print(json.dumps(report, indent=1))
    return report


@pytest.mark.timeout(120)
def test_promises_hold_under_random_faults():
    """Guards against faults that appear only between real processes."""
    report = run_soak("--seed", "1", "--seconds", "20")
    served = sum(
        count for name, count in report["outcomes"].items() if name.endswith(":200")
    )
    assert served > 200
    assert report["violations"] == []


# To check all faults: python -m tests.functional.gateway_soak.find_planted
@pytest.mark.parametrize("name", ["false_refusals", "hasty_stops"])
@pytest.mark.timeout(120)
def test_soak_finds_a_planted_fault(name):
    """Guards against a soak that does not detect a broken promise."""
    assert find_planted(name, seconds=20.0)
