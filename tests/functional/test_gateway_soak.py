"""Short seeded runs of real router processes under random faults."""

import json

import pytest
from tests.functional.gateway_soak.__main__ import build_parser, run
from tests.functional.gateway_soak.backends import SoakEndpoint, SoakStore
from tests.functional.gateway_soak.find_planted import find_planted
from tests.functional.gateway_soak.records import Records


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


def test_entries_of_an_endpoint_are_numbered():
    """Guards against a leaving that looks as old as the entry before it.

    After a return of the store, hosts keep the entry with the higher number."""
    store = SoakStore()
    endpoint = SoakEndpoint("i-1", "registry", Records(), None)

    def announced():
        endpoint.announce(store)
        entry = json.loads(store.newest["keyed.servers"]["i-1"])
        return entry["born"], entry["seq"]

    try:
        first, second = announced(), announced()
        assert second == (first[0], first[1] + 1)
        # Its counts start anew with a restart.
        endpoint.restart()
        assert announced() == (first[0] + 1000, first[1])
    finally:
        endpoint.link.stop()
        endpoint.stop()
        store.stop()


# To check all faults: python -m tests.functional.gateway_soak.find_planted
@pytest.mark.parametrize("name", ["false_refusals", "hasty_stops"])
@pytest.mark.timeout(120)
def test_soak_finds_a_planted_fault(name):
    """Guards against a soak that does not detect a broken promise."""
    assert find_planted(name, seconds=20.0)
