"""Short seeded runs of real router processes under random faults."""

import http.client
import json
from unittest.mock import Mock

import pytest
from tests.functional.gateway_soak.__main__ import build_parser, run
from tests.functional.gateway_soak.backends import SoakEndpoint, SoakStore
from tests.functional.gateway_soak.faults import FaultInjector
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


@pytest.mark.parametrize(
    ("faults", "is_foreign"),
    [
        (set(), False),
        ({"foreign"}, True),
        ({"error", "foreign"}, True),
        # A refusal has no id, so a host may pass it on.
        ({"not_run", "foreign"}, False),
    ],
)
def test_answers_to_other_requests_are_recorded(faults, is_foreign):
    """Guards against hosts that count as told a limit by answers they must drop."""
    records = Records()
    endpoint = SoakEndpoint("i-1", "registry", records, None)
    endpoint.limit_per_s = 2.5
    connection = http.client.HTTPConnection(endpoint.address, timeout=5.0)
    try:
        # The second request is on the connection of the first one.
        for number, current in enumerate((set(), faults)):
            endpoint.faults = current
            headers = {"Poplarfold-Request-Id": f"request-{number}"}
            connection.request("GET", "/lookup/1", headers=headers)
            answer = connection.getresponse()
            answer.read()
            assert answer.headers["Server-Limit"] == "2.5"
        answers = [row for row in records.limit_rows if row.is_answer]
        assert [row.request_id for row in answers] == ["request-0", "request-1"]
        assert [row.is_foreign for row in answers] == [False, is_foreign]
        assert {row.limit_per_s for row in answers} == {2.5}
    finally:
        connection.close()
        endpoint.link.stop()
        endpoint.stop()


def test_steps_end_the_processes_of_different_nodes():
    """Guards against two processes of one node, of which one finds its ports in use:
    two steps picked the node before either had ended its process."""
    nodes = [Mock(is_stopped=False) for _ in range(3)]
    injector = FaultInjector(1, None, [], nodes, [], Records(), None)
    taken = {injector.take_node() for _ in range(50)} - {None}
    # One node goes on.
    assert len(taken) == 2
    for node in taken:
        injector.start_again(node)
        node.start.assert_called_once_with()
    assert {injector.take_node() for _ in range(50)} - {None}


# To check all faults: python -m tests.functional.gateway_soak.find_planted
@pytest.mark.parametrize("name", ["false_refusals", "hasty_stops"])
@pytest.mark.timeout(120)
def test_soak_finds_a_planted_fault(name):
    """Guards against a soak that does not detect a broken promise."""
    assert find_planted(name, seconds=20.0)
