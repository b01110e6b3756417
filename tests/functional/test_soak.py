"""Short soak runs of real daemons and stand-ins over sockets, with faults."""

import json
import time

import pytest
from tests.functional.soak import checks
from tests.functional.soak.__main__ import build_parser, run, running_deployment
from tests.functional.soak.callers import Record
from tests.functional.soak.checks import CatalogueWatcher
from tests.functional.soak.faults import FaultInjector


@pytest.mark.timeout(300)
def test_invariants_hold_under_random_faults():
    """Guards against violations that appear only between real processes."""
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


def test_change_is_in_force_with_unresponsive_log_connections():
    """Guards against a node that keeps waiting on an unresponsive log connection.

    A change must be in force everywhere in time although all open log connections
    have stopped answering.
    """
    options = build_parser().parse_args(["--daemons", "3"])
    with running_deployment(options) as (_, standins, daemons):
        record = Record()
        faults = FaultInjector(1, standins, daemons, record)
        watcher = CatalogueWatcher(daemons, faults, record)
        # Every node opens its long polls first.
        time.sleep(2.0)
        standins.control(standins.log_address, "silence")
        current = watcher.read(daemons[0])["lookups"]
        fields = dict(checks.ENTRIES["lookups"], cost_per_call=3)
        answer = checks.propose(daemons[0], "lookups", fields, current)
        began = time.monotonic()
        assert answer is not None and answer.status == 200
        late = list(daemons)
        while late and time.monotonic() - began < checks.IN_FORCE_TIMEOUT_S:
            late = [row for row in late if watcher.read(row)["lookups"] <= current]
            time.sleep(0.05)
        assert [row.host for row in late] == []
