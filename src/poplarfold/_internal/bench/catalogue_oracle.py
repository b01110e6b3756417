"""Operators' changes under random faults, and the check that they come into force."""

import json

from poplarfold._internal.bench.fault_bench import Change, FaultBench
from poplarfold._internal.bench.fault_simulation import PLATFORM
from poplarfold._internal.core import events
from poplarfold._internal.core.entry_codec import encode_entry
from poplarfold._internal.core.model import CatalogueEntry

__all__ = ["propose", "propose_next_change", "sample"]

SAMPLE_INTERVAL_S = 0.1
CHANGES_PER_S = 1 / 15
CHANGE_IN_FORCE_LIMIT_S = 5.0


def propose_next_change(bench: FaultBench) -> None:
    """Send one or two operators' amendments of an entry."""
    simulation = bench.simulation
    if simulation.now >= bench.end_at:
        return
    name = bench.rng.choice(sorted(bench.revisions) or ["filings"])
    for _ in range(1 + (bench.rng.random() < 0.5)):
        host = bench.random_live_host()
        entry = simulation.nodes[host].node.state.entries.get(name)
        if entry is not None:
            cost = bench.rng.randrange(1000)
            propose(bench, host, entry._replace(cost_per_call=cost), entry.revision)
    simulation.schedule(
        simulation.now + bench.rng.expovariate(CHANGES_PER_S),
        propose_next_change,
        bench,
    )


def propose(bench: FaultBench, host: str, entry: CatalogueEntry, base: int) -> None:
    """Send an operator's change to a node."""
    bench.number += 1
    proposed = events.EntryProposed(
        f"q-{bench.number}", "operator", base, encode_entry(entry)
    )
    bench.simulation.post(bench.simulation.nodes[host], proposed, 0.003)


def sample(bench: FaultBench) -> None:
    """Fold new log records independently and check the revision on each node."""
    simulation = bench.simulation
    stream = simulation.log.streams.get("catalogue")
    if stream is not None:
        first = stream.first
        for record in list(stream.records)[bench.next_offset - first :]:
            fold(bench, record.offset, record.data)
    update_reachability(bench)
    check_in_force(bench)
    simulation.schedule(simulation.now + SAMPLE_INTERVAL_S, sample, bench)


def fold(bench: FaultBench, offset: int, data: bytes) -> None:
    """Apply one record by the rule of the design page alone.

    A record takes effect if its base is the current revision of its entry.
    """
    bench.next_offset = offset + 1
    fields = json.loads(data)
    name = fields["entry"]["name"]
    if fields["base"] == bench.revisions.get(name, -1):
        bench.revisions[name] = offset
        bench.changes.append(Change(offset, bench.simulation.now))


def update_reachability(bench: FaultBench) -> None:
    """Record since when each domain can receive changes.

    A domain receives them from the log or through the nodes of other domains.
    """
    simulation = bench.simulation
    log_up = (
        simulation.now >= simulation.log.outage_until and simulation.log.slow_s == 0.0
    )
    names = [d.name for d in bench.deployment.domains]
    informed = {n for n in names if log_up and simulation.is_connected(n, PLATFORM)}
    for _ in names:
        for name in names:
            if any(simulation.is_connected(name, other) for other in informed):
                if any(can_relay(bench, other) for other in informed):
                    informed.add(name)
    direct = {n for n in names if log_up and simulation.is_connected(n, PLATFORM)}
    for name in names:
        by_peers = name in informed and can_relay(bench, name)
        if name not in direct and not by_peers:
            bench.reachable_since[name] = simulation.now
    for name, host in simulation.nodes.items():
        if not host.is_alive or host.is_paused or not host.node.state.catalogue_ready:
            bench.node_ready_since[name] = simulation.now


def can_relay(bench: FaultBench, domain: str) -> bool:
    """Return whether a domain has had no process failure recently."""
    return bench.affected_until.get(domain, -1.0) <= bench.simulation.now


def check_in_force(bench: FaultBench) -> None:
    """Measure the delay until each change is in force in each domain."""
    simulation = bench.simulation
    if not bench.changes:
        return
    lowest_revisions: dict[str, int] = {}
    newest_revision = bench.changes[-1].revision
    for name, host in simulation.nodes.items():
        if not host.is_alive or host.is_paused:
            continue
        revision = host.node.state.catalogue_revision
        domain = host.domain
        lowest_revisions[domain] = min(lowest_revisions.get(domain, revision), revision)
        if revision > newest_revision:
            bench.add_violation(
                "catalogue-in-force", f"{name} has a revision newer than the log"
            )
        since = max(
            bench.reachable_since[domain], bench.node_ready_since.get(name, 0.0)
        )
        for change in bench.changes:
            if change.revision <= revision:
                continue
            waited_s = simulation.now - max(since, change.at)
            if waited_s > bench.max_in_force_s.get(domain, 0.0):
                bench.max_in_force_s[domain] = waited_s
            if waited_s > CHANGE_IN_FORCE_LIMIT_S:
                problem = f"{name}: revision {change.revision} not in force"
                bench.add_violation("catalogue-in-force", problem)
                bench.node_ready_since[name] = simulation.now
                break
    floor = min(lowest_revisions.values(), default=-1)
    bench.changes = [c for c in bench.changes if c.revision > floor]
