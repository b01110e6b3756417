"""Measures the control traffic, processor time and memory per node.

Real nodes run without calls on the fault simulation, which counts the bytes of
peer messages and log requests with their headers. The processor time of a node
is measured around its steps and divided by the simulated time. It leaves out
the system calls of a real daemon.
"""

import resource
import sys
import time
from typing import Any, NamedTuple

from poplarfold._internal.bench.fault_simulation import FaultSimulation, entry_host_row
from poplarfold._internal.bench.simulation_parts import NodeHost
from poplarfold._internal.core import events
from poplarfold._internal.core.entry_codec import encode_entry
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.core.systems import (
    calls,
    catalogue,
    checkpoints,
    claims,
    membership,
)
from poplarfold._internal.settings import DomainSettings, NodeSettings

__all__ = ["ControlRun", "run_control"]

SYSTEMS = (calls, checkpoints, catalogue, claims, membership)
WARM_UP_S = 60.0
DOMAIN_NODES = 19
DOMAINS_PER_REGION = 3
# 6,900 configuration changes a day.
CHANGES_PER_S = 6_900 / 86_400
ENTRIES = 13
SERVICES_PER_DOMAIN = 3


class ControlRun(NamedTuple):
    """One run of ``nodes`` nodes for ``seconds`` of simulated time."""

    nodes: int
    seconds: float = 60.0
    seed: int = 1


class ControlSimulation(FaultSimulation):
    """Fault simulation that measures the processor time of each node's steps."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, NodeSettings("", "", ()).link_bytes_per_s, 0.001)
        self.step_s: dict[str, float] = {}

    def step(self, host: NodeHost, inbox: list[Any]) -> None:
        """Step a node and add up its processor time."""
        started = time.thread_time()
        super().step(host, inbox)
        name = host.node.state.me.host
        elapsed_s = time.thread_time() - started
        self.step_s[name] = self.step_s.get(name, 0.0) + elapsed_s


def run_control(run: ControlRun) -> dict[str, Any]:
    """Make a run and return the cost per node as JSON values."""
    simulation = ControlSimulation(run.seed)
    names = node_names(run.nodes)
    domains = domain_settings(names)
    simulation.regions = {domain.name: domain.region for domain in domains}
    for name, domain in names:
        simulation.host_list.put(0.0, entry_host_row(name, domain))
    memory_before = memory_bytes()
    capacity = tuple(
        ("glasscairn", f"service-{n}", "sha256:0123456789abcdef", 100, 250)
        for n in range(SERVICES_PER_DOMAIN)
    )
    for name, domain in names:
        node = simulation.add_node(NodeSettings(name, domain, domains), systems=SYSTEMS)
        node.state.part(membership.Members).capacity = capacity
    first_host = names[0][0]
    for number in range(ENTRIES):
        simulation.schedule(2.0, propose_entry, simulation, first_host, number)
    simulation.run(WARM_UP_S)
    for totals in (simulation.step_s, simulation.bytes_sent, simulation.bytes_received):
        totals.clear()
    simulation.count_bytes = True
    changes = int(run.seconds * CHANGES_PER_S)
    for number in range(changes):
        at = WARM_UP_S + (number + 0.5) * run.seconds / changes
        simulation.schedule(at, propose_entry, simulation, first_host, number % ENTRIES)
    simulation.run(WARM_UP_S + run.seconds)
    memory_after = memory_bytes()
    first_domain = names[0][1]
    sent_per_s = sorted(
        simulation.bytes_sent.get(name, 0) / run.seconds for name, _ in names
    )
    received_per_s = [
        simulation.bytes_received.get(name, 0) / run.seconds for name, _ in names
    ]
    core_shares = sorted(
        simulation.step_s.get(name, 0.0) / run.seconds for name, _ in names
    )
    node_state = simulation.nodes[first_host].node.state
    return {
        "nodes": run.nodes,
        "domains": len(domains),
        "seconds": run.seconds,
        "changes": changes,
        "sent_bytes_per_s_mean": round(sum(sent_per_s) / len(sent_per_s), 1),
        "sent_bytes_per_s_max": round(sent_per_s[-1], 1),
        "received_bytes_per_s_mean": round(
            sum(received_per_s) / len(received_per_s), 1
        ),
        "received_bytes_per_s_max": round(max(received_per_s), 1),
        "core_share_mean": round(sum(core_shares) / len(core_shares), 5),
        "core_share_max": round(core_shares[-1], 5),
        "memory_mb_per_node": round(
            (memory_after - memory_before) / run.nodes / 1e6, 3
        ),
        "live_in_first_domain": len(membership.live_hosts(node_state, first_domain)),
        "revision_lowest": min(
            h.node.state.catalogue_revision for h in simulation.nodes.values()
        ),
        "revision_highest": max(
            h.node.state.catalogue_revision for h in simulation.nodes.values()
        ),
    }


def node_names(nodes: int) -> list[tuple[str, str]]:
    """Return (host, domain) for each node.

    The number of domains is the lowest that gives none more than DOMAIN_NODES nodes,
    but at least three (or one per node in fleets of less than three).
    """
    domains = max(min(3, nodes), -(-nodes // DOMAIN_NODES))
    return [(f"n{i:03}", f"d{i % domains:02}") for i in range(nodes)]


def domain_settings(names: list[tuple[str, str]]) -> tuple[DomainSettings, ...]:
    """Return the domains of a fleet, up to DOMAINS_PER_REGION in each region."""
    sizes: dict[str, int] = {}
    for _, domain in names:
        sizes[domain] = sizes.get(domain, 0) + 1
    return tuple(
        DomainSettings(name, f"r{index // DOMAINS_PER_REGION}", size)
        for index, (name, size) in enumerate(sorted(sizes.items()))
    )


def propose_entry(simulation: FaultSimulation, host: str, number: int) -> None:
    """Post an operator's publication or amendment of an entry to a node."""
    name = f"model-{number}"
    current = simulation.nodes[host].node.state.entries.get(name)
    entry = CatalogueEntry(
        name,
        EntryKind.MODEL,
        Identity("glasscairn", "design-llm", "sha256:0123456789abcdef"),
        CallClass.INTERACTIVE,
        LatencyTargets(0.46, 0.029),
        EntryLimits(concurrency=100),
        cost_per_call=int(simulation.now),
    )
    base = current.revision if current else -1
    request_id = f"q-{number}-{simulation.now:.3f}"
    proposed = events.EntryProposed(request_id, "op", base, encode_entry(entry))
    simulation.post(simulation.nodes[host], proposed)


def memory_bytes() -> int:
    """Return the peak resident memory of this process in bytes."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return peak if sys.platform == "darwin" else peak * 1024
