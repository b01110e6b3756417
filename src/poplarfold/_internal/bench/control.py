"""The cost of control per node: bytes, processor time and memory.

The real nodes run idle on the fault world, which counts the bytes of peer
messages and log requests with their headers. The processor time of one node is
measured around its steps and scaled from advanced time; it leaves out the
system calls of a real daemon.
"""

import resource
import sys
import time
from typing import Any, NamedTuple

from poplarfold._internal.bench.fault_world import FaultWorld, entry_host_row
from poplarfold._internal.bench.world import NodeHost
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
    """One run of ``nodes`` nodes for ``seconds`` of advanced time."""

    nodes: int
    seconds: float = 60.0
    seed: int = 1


class ControlWorld(FaultWorld):
    """A world that measures the processor time of each node's steps."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, NodeSettings("", "", ()).link_bytes_per_s, 0.001)
        self.step_s: dict[str, float] = {}

    def step(self, host: NodeHost, inbox: list[Any]) -> None:
        """Step a node and count the time."""
        started = time.thread_time()
        super().step(host, inbox)
        name = host.node.state.me.host
        took_s = time.thread_time() - started
        self.step_s[name] = self.step_s.get(name, 0.0) + took_s


def run_control(run: ControlRun) -> dict[str, Any]:
    """Make a run and return the cost per node as JSON values."""
    world = ControlWorld(run.seed)
    names = node_names(run.nodes)
    domains = domain_settings(names)
    world.regions = {domain.name: domain.region for domain in domains}
    for name, domain in names:
        world.host_list.put(0.0, entry_host_row(name, domain))
    before = memory_bytes()
    capacity = tuple(
        ("glasscairn", f"service-{n}", "sha256:0123456789abcdef", 100, 250)
        for n in range(SERVICES_PER_DOMAIN)
    )
    for name, domain in names:
        node = world.add_node(NodeSettings(name, domain, domains), systems=SYSTEMS)
        node.state.part(membership.Members).capacity = capacity
    first = names[0][0]
    for number in range(ENTRIES):
        world.at(2.0, propose, world, first, number)
    world.run(WARM_UP_S)
    for table in (world.step_s, world.bytes_sent, world.bytes_received):
        table.clear()
    world.count_bytes = True
    changes = int(run.seconds * CHANGES_PER_S)
    for number in range(changes):
        at = WARM_UP_S + (number + 0.5) * run.seconds / changes
        world.at(at, propose, world, first, number % ENTRIES)
    world.run(WARM_UP_S + run.seconds)
    after = memory_bytes()
    live = names[0][1]
    sent = sorted(world.bytes_sent.get(name, 0) / run.seconds for name, _ in names)
    received = [world.bytes_received.get(name, 0) / run.seconds for name, _ in names]
    steps = sorted(world.step_s.get(name, 0.0) / run.seconds for name, _ in names)
    node_state = world.nodes[first].node.state
    return {
        "nodes": run.nodes,
        "domains": len(domains),
        "seconds": run.seconds,
        "changes": changes,
        "sent_bytes_per_s_mean": round(sum(sent) / len(sent), 1),
        "sent_bytes_per_s_max": round(sent[-1], 1),
        "received_bytes_per_s_mean": round(sum(received) / len(received), 1),
        "received_bytes_per_s_max": round(max(received), 1),
        "core_share_mean": round(sum(steps) / len(steps), 5),
        "core_share_max": round(steps[-1], 5),
        "memory_mb_per_node": round((after - before) / run.nodes / 1e6, 3),
        "live_in_first_domain": len(membership.live_hosts(node_state, live)),
        "revision_lowest": min(
            h.node.state.catalogue_revision for h in world.nodes.values()
        ),
        "revision_highest": max(
            h.node.state.catalogue_revision for h in world.nodes.values()
        ),
    }


def node_names(nodes: int) -> list[tuple[str, str]]:
    """Return (host, domain) for each node; small fleets have three domains."""
    domains = max(min(3, nodes), -(-nodes // DOMAIN_NODES))
    return [(f"n{i:03}", f"d{i % domains:02}") for i in range(nodes)]


def domain_settings(names: list[tuple[str, str]]) -> tuple[DomainSettings, ...]:
    """Return the domains of a fleet, some of them in one region each."""
    sizes: dict[str, int] = {}
    for _, domain in names:
        sizes[domain] = sizes.get(domain, 0) + 1
    return tuple(
        DomainSettings(name, f"r{index // DOMAINS_PER_REGION}", size)
        for index, (name, size) in enumerate(sorted(sizes.items()))
    )


def propose(world: FaultWorld, host: str, number: int) -> None:
    """Let an operator publish or amend an entry."""
    name = f"model-{number}"
    current = world.nodes[host].node.state.entries.get(name)
    entry = CatalogueEntry(
        name,
        EntryKind.MODEL,
        Identity("glasscairn", "design-llm", "sha256:0123456789abcdef"),
        CallClass.INTERACTIVE,
        LatencyTargets(0.46, 0.029),
        EntryLimits(concurrency=100),
        cost_per_call=int(world.now),
    )
    base = current.revision if current else -1
    request_id = f"q-{number}-{world.now:.3f}"
    proposed = events.EntryProposed(request_id, "op", base, encode_entry(entry))
    world.post(world.nodes[host], proposed)


def memory_bytes() -> int:
    """Return the peak memory of this process."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return peak if sys.platform == "darwin" else peak * 1024
