"""Runs daemons and stand-ins under random load and faults.

    python -m tests.functional.soak --seed 1 --seconds 600

Prints one JSON object and exits with 1 if an invariant was violated.
"""

import argparse
import json
import signal
import statistics
import sys
import tempfile
import threading
import time
from contextlib import contextmanager
from pathlib import Path

from tests.functional.soak import checks
from tests.functional.soak.callers import Caller, Record
from tests.functional.soak.checks import CatalogueWatcher
from tests.functional.soak.faults import FaultInjector
from tests.functional.soak.processes import Daemon, StandIns
from tests.lib.ports import free_port

from poplarfold._internal.standins.fleet import DEPLOYMENTS

SETTLE_S = 8.0
PUBLISH_TIMEOUT_S = 20.0
USAGE_PERIOD_S = 1.0
CLASSES = ["abstracts", "captions", "lookups", "filings"]


class UsageWatcher(threading.Thread):
    """Samples the memory, threads and open files of the daemons."""

    def __init__(self, daemons):
        super().__init__(name="usage", daemon=True)
        self.daemons = daemons
        self.stopping = threading.Event()
        self.samples = {}

    def run(self):
        while not self.stopping.wait(USAGE_PERIOD_S):
            for daemon in self.daemons:
                try:
                    row = daemon.usage()
                except (OSError, KeyError):
                    continue
                key = (daemon.host, daemon.starts)
                self.samples.setdefault(key, []).append((time.monotonic(), *row))

    def growth_mb_per_h(self):
        """Return the memory growth of the longest-lived process of each host."""
        slopes = {}
        for (host, _), rows in self.samples.items():
            # Leaves out the first quarter, in which code is loaded and pools fill.
            rows = rows[len(rows) // 4 :]
            if len(rows) < 20:
                continue
            line = statistics.linear_regression(
                [row[0] for row in rows], [row[1] for row in rows]
            )
            longest = slopes.get(host)
            if longest is None or longest[1] < len(rows):
                slopes[host] = (round(line.slope * 3600, 1), len(rows))
        return {
            host: {"mb_per_h": slope, "over_s": count * USAGE_PERIOD_S}
            for host, (slope, count) in slopes.items()
        }


@contextmanager
def running_deployment(options):
    """Start the stand-ins and daemons and publish the entries.

    Stops all processes on exit.
    """
    deployment = DEPLOYMENTS[options.deployment]
    with tempfile.TemporaryDirectory(prefix="poplarfold-soak-") as directory:
        standins = StandIns(options.deployment, "merged-fleet")
        daemons = create_daemons(options, deployment, directory, standins)
        try:
            for daemon in daemons:
                daemon.start()
            checks.define_entries(
                deployment.name, deployment.model_service, deployment.plain_service
            )
            publish(daemons[0])
            for daemon in daemons:
                if daemon.wait_ready() is None:
                    daemon.check_alive()
                    problem = daemon.unexpected_exits
                    raise RuntimeError(f"{daemon.host} is not ready: {problem}")
            yield deployment, standins, daemons
        finally:
            for daemon in daemons:
                daemon.begin_stop()
            for daemon in daemons:
                daemon.stop()
            standins.stop()
            if options.keep:
                target = Path(options.keep)
                target.mkdir(parents=True, exist_ok=True)
                for path in Path(directory).iterdir():
                    (target / path.name).write_bytes(path.read_bytes())


def run(options):
    """Run the soak test once and return its report."""
    with running_deployment(options) as (deployment, standins, daemons):
        return run_load(options, deployment, standins, daemons)


def create_daemons(options, deployment, directory, standins):
    """Create daemons in all failure domains, write their settings and list them."""
    names = [row.name for row in deployment.domains]
    ports = [free_port() for _ in range(3 * options.daemons)]
    slots = dict.fromkeys(names, 0)
    daemons = []
    for number in range(options.daemons):
        domain = names[number % len(names)]
        daemons.append(
            Daemon(
                f"{domain}-node{slots[domain]}",
                domain,
                slots[domain],
                ports[3 * number : 3 * number + 3],
                directory,
                options.daemon_source,
            )
        )
        slots[domain] += 1
    domains = {row.name: (row.region, slots[row.name]) for row in deployment.domains}
    domains = {name: (region, max(1, n)) for name, (region, n) in domains.items()}
    for daemon in daemons:
        daemon.write_settings(standins, domains, daemons)
        entry = {
            "address": daemon.peers_address,
            "kind": "entry",
            "domain": daemon.domain,
        }
        standins.control(
            standins.host_list_address, "put_host", host=daemon.host, **entry
        )
    return daemons


def run_load(options, deployment, standins, daemons):
    """Run callers and faults, let the daemons settle, and check the invariants."""
    record = Record()
    faults = FaultInjector(options.seed, standins, daemons, record)
    time.sleep(1.5)
    usage = UsageWatcher(daemons)
    catalogue = CatalogueWatcher(daemons, faults, record)
    identity = deployment.identity(deployment.model_service)
    callers = [
        Caller(number, options.seed, daemons, record, identity, options.classes)
        for number in range(options.callers)
    ]
    began = time.monotonic()
    for thread in (usage, catalogue, *callers):
        thread.start()
    if options.no_faults:
        time.sleep(options.seconds)
    else:
        time.sleep(min(2.0, options.seconds / 4))
        faults.run(began + options.seconds)
    catalogue.stopping.set()
    for caller in callers:
        caller.stopping.set()
    for thread in (*callers, catalogue):
        thread.join(60.0)
    loaded_s = time.monotonic() - began
    time.sleep(SETTLE_S)
    usage.stopping.set()
    usage.join()
    for daemon in daemons:
        daemon.check_alive()
    counters = [standins.counters(row["address"]) for row in standins.endpoints]
    services = [row for row in counters if row["kind"] == "service"]
    runs = {}
    for row in services:
        for digest, count in row["runs_by_request"].items():
            runs[digest] = max(count, runs.get(digest, 0))
    checks.check_filings(record, runs)
    checks.check_stops(record, faults.stops)
    orphaned = checks.check_engines(record, faults, counters)
    internal_errors = checks.check_logs(record, daemons)
    most = record.most_streaming["captions"]
    if most > checks.ENTRIES["captions"]["limits"]["concurrency"]:
        record.add_violation("limits-hold", f"{most} captions streamed at one time")
    engines = [row for row in counters if row["kind"] == "engine"]
    engine_counters = [
        process_counters for row in engines for process_counters in [row, *row["past"]]
    ]
    computed = sum(
        process_counters["prefill_tokens_computed"]
        for process_counters in engine_counters
    )
    wasted = sum(
        process_counters["prefill_tokens_wasted"]
        for process_counters in engine_counters
    )
    left_over = {}
    for daemon in daemons:
        if daemon.process.poll() is None:
            _, threads, files = daemon.usage()
            left_over[daemon.host] = {
                "threads": threads - daemon.baseline[1],
                "files": files - daemon.baseline[2],
            }
    return {
        "seed": options.seed,
        "seconds": round(loaded_s, 1),
        "calls": dict(record.calls),
        "outcomes": dict(sorted(record.outcomes.items())),
        "faults": dict(sorted(faults.counts.items())),
        "violations": record.violations,
        # The faults matter only for tracing a violation.
        "fault_times": faults.times if record.violations else [],
        "internal_errors": internal_errors,
        "catalogue_changes": catalogue.accepted,
        "longest_to_in_force_s": round(catalogue.longest_s, 2),
        "restart_to_ready_s": [round(row, 2) for row in faults.ready_s],
        "callers_gone": len(record.abandoned_calls),
        "held_after_gone_s": {
            "calls": len(orphaned),
            "p50": round(orphaned[len(orphaned) // 2], 3) if orphaned else None,
            "max": round(orphaned[-1], 3) if orphaned else None,
        },
        "most_captions_streaming": most,
        "wasted_prefill_share": round(wasted / max(1, computed), 4),
        "memory_growth": usage.growth_mb_per_h(),
        "left_over": left_over,
    }


def publish(daemon):
    """Publish all entries, retrying until the daemon accepts them."""
    end = time.monotonic() + PUBLISH_TIMEOUT_S
    for name, fields in checks.ENTRIES.items():
        while True:
            answer = checks.propose(daemon, name, fields, -1)
            if answer is not None and answer.status in (200, 409):
                break
            if time.monotonic() > end:
                raise RuntimeError(f"{name} was not published: {answer}")
            time.sleep(0.2)


def build_parser():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default=None)
    parser.add_argument("--daemons", type=int, default=4, help="at most 30")
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--no-faults", action="store_true")
    parser.add_argument("--classes", nargs="+", choices=CLASSES, default=CLASSES)
    parser.add_argument("--daemon-source", help="PYTHONPATH of the daemons")
    parser.add_argument("--keep", help="directory for the daemons' logs")
    parser.set_defaults(deployment="association")
    return parser


def main(arguments=None):
    options = build_parser().parse_args(arguments)
    if not 1 <= options.daemons <= 30:
        raise SystemExit("--daemons must be from 1 to 30")
    # SIGTERM exits through the cleanup code, which stops the child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))
    report = run(options)
    print(json.dumps(report, indent=1))
    return 1 if report["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
