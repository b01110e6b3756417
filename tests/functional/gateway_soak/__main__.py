"""Runs router processes under random faults and checks their guarantees.

    python -m tests.functional.gateway_soak --seed 1 --seconds 40

Prints one JSON object and exits with 1 if a guarantee was violated. The logs of
the processes are kept in ``--folder``.
"""

import argparse
import json
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from tests.functional.gateway_soak.account_checks import check_accounts
from tests.functional.gateway_soak.accounts import HeavyCaller, KeyRing
from tests.functional.gateway_soak.backends import SoakEndpoint, SoakStore
from tests.functional.gateway_soak.callers import Caller, ConfigWatcher
from tests.functional.gateway_soak.checks import CHECKS
from tests.functional.gateway_soak.faults import FaultInjector
from tests.functional.gateway_soak.limits import LimitNamer, check_limits
from tests.functional.gateway_soak.nodes import LogPauser, Node
from tests.functional.gateway_soak.records import Records

__all__ = ["build_parser", "run"]

# Pause after the start, in which the nodes count each other and split the retry budget.
NODES_COUNTED_AFTER_S = 6.0
SETTLE_S = 2.0
CHECK_PERIOD_S = 0.5
# One plain endpoint fails this share of its calls.
FAILING_SHARE = 0.3


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the soak's command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--plant", default="", help="a fault of planted.py")
    parser.add_argument("--only", nargs="*", default=[], help="names of fault steps")
    parser.add_argument("--folder", type=Path, help="keeps the logs there")
    return parser


def make_endpoints(records: Records, nodes: int) -> list[SoakEndpoint]:
    """Return plain endpoints and engines, with another set for each 20 nodes."""
    scale = 1 + nodes // 20
    plain = [
        SoakEndpoint(f"i-plain-{number}", "registry", records, None)
        for number in range(4 * scale)
    ]
    engines = [
        SoakEndpoint(f"i-{role}-{number}", "llm", records, role)
        for role in ("prefill", "decode")
        for number in range(2 * scale)
    ]
    plain[0].failing_share = FAILING_SHARE
    return plain + engines


class ProcessMonitor(threading.Thread):
    """A thread that checks whether processes have ended by themselves."""

    def __init__(self, nodes: list[Node]) -> None:
        super().__init__(daemon=True)
        self.nodes = nodes
        self.stopping = threading.Event()

    def run(self) -> None:
        """Check periodically until stopped."""
        while not self.stopping.wait(CHECK_PERIOD_S):
            for node in self.nodes:
                node.check_running()
                node.check_memory()


def check_logs(nodes: list[Node], records: Records) -> None:
    """Check that each log line is a JSON event, and not part of a traceback."""
    for node in nodes:
        for line in node.log.read_text(errors="replace").splitlines():
            try:
                is_event = "message_type" in json.loads(line)
            except ValueError:
                is_event = False
            if not is_event:
                records.add_violation("logs", f"{node.name} wrote {line[:200]!r}")
                break


def run(options: argparse.Namespace) -> dict[str, Any]:
    """Run one seed and return its report."""
    records = Records()
    with tempfile.TemporaryDirectory() as made:
        folder = options.folder or Path(made)
        folder.mkdir(parents=True, exist_ok=True)
        store = SoakStore()
        keys = KeyRing(options.seed)
        endpoints = make_endpoints(records, options.nodes)
        addresses = [row.address for row in endpoints]
        nodes = [
            Node(number, store.address, folder, records, options.plant, addresses)
            for number in range(options.nodes)
        ]
        try:
            steps = run_steps(options, store, endpoints, nodes, records, keys)
        finally:
            for node in nodes:
                node.tear_down()
        for check in CHECKS:
            check(records)
        check_accounts(records, keys)
        check_limits(records)
        check_logs(nodes, records)
        for endpoint in endpoints:
            endpoint.link.stop()
            endpoint.stop()
        store.stop()
    outcomes = Counter(
        f"{row.kind}:{'left' if row.disconnected_at else row.status}"
        for row in records.attempts
    )
    return {
        "seed": options.seed,
        "steps": dict(Counter(steps)),
        "outcomes": dict(sorted(outcomes.items(), key=str)),
        "arrivals": len(records.arrivals),
        "quota_share": round(records.highest_window_share, 3),
        "limit_share": round(records.highest_limit_share, 3),
        "cut_calls": records.cut_calls,
        "violations": records.violations[:20],
        "violation_count": len(records.violations),
        "violated": sorted({row.partition(":")[0] for row in records.violations}),
    }


def run_steps(
    options: argparse.Namespace,
    store: SoakStore,
    endpoints: list[SoakEndpoint],
    nodes: list[Node],
    records: Records,
    keys: KeyRing,
) -> list[str]:
    """Start all processes, run the steps, and return the names of the steps."""
    watchers = [ConfigWatcher(node, records) for node in nodes[:4]]
    faults = FaultInjector(
        options.seed, store, endpoints, nodes, watchers, records, keys, options.only
    )
    faults.put_configuration(0)
    for endpoint in endpoints:
        endpoint.announce(store)
    for node in nodes:
        node.start()
    for node in nodes:
        if not node.wait_ready(30.0):
            records.add_violation("start", f"{node.name} did not become ready")
    time.sleep(NODES_COUNTED_AFTER_S)
    callers = [
        Caller(options.seed * 1000 + number, nodes, records, keys)
        for number in range(options.callers)
    ]
    monitor = ProcessMonitor(nodes)
    heavy = [HeavyCaller(options.seed * 1000 - 1 - at, nodes, records) for at in (0, 1)]
    others = [LimitNamer(options.seed, endpoints), LogPauser(options.seed, nodes)]
    threads = [*callers, *heavy, *watchers, monitor, *others]
    for thread in threads:
        thread.start()
    faults.run(options.seconds)
    time.sleep(SETTLE_S)
    for thread in threads:
        thread.stopping.set()
    for thread in threads:
        thread.join(10.0)
    return faults.steps


def main() -> int:
    """Run one seed and print its report."""
    report = run(build_parser().parse_args())
    print(json.dumps(report, indent=1))
    return 1 if report["violation_count"] else 0


if __name__ == "__main__":
    sys.exit(main())
