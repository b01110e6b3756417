"""Measures goodput under both latency targets, at the deployments' real sizes."""

import random
from collections import Counter
from typing import Any, NamedTuple

from poplarfold._internal.bench.bound import Job, max_calls_in_time
from poplarfold._internal.bench.deployments import (
    DEPLOYMENTS,
    Deployment,
    PlannedCall,
    Workload,
    plan_arrival,
    plan_calls,
)
from poplarfold._internal.bench.simulation import CallRecord, Simulation
from poplarfold._internal.core.events import HostListRow
from poplarfold._internal.core.model import (
    PREFIX_BLOCK_TOKENS,
    EndpointRole,
    EntryKind,
)
from poplarfold._internal.core.systems import (
    DECISION_SYSTEMS,
)
from poplarfold._internal.core.systems.policies import POLICIES
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins.engine_model import EngineConfig, EngineModel
from poplarfold._internal.standins.service_model import ServiceConfig, ServiceModel

__all__ = [
    "GoodputRun",
    "format_table",
    "policy_names",
    "run_goodput",
    "run_simulation",
]

# Time for the nodes to poll the endpoints before the first call.
WARM_UP_S = 2.0
DRAIN_S = 60.0
HANG_UP_SHARE = 0.05
CAPACITY_SAMPLES = 4000
# Tolerance on the mean interval of a stream: callers' clocks round to 0.1 ms.
INTERVAL_TOLERANCE_S = 1e-4


class GoodputRun(NamedTuple):
    """Parameters of one run. ``load`` is a factor of the engines' capacity."""

    deployment: str
    policy: str
    load: float
    seed: int
    seconds: float = 60.0
    faults: bool = False
    health_across_incarnations: bool = False


def capacity_rate(deployment: Deployment, workload: Workload) -> float:
    """Return the calls per second that saturate the busier pool.

    Prefill is counted with its fixed cost and without cached prefixes. Decode is
    counted at the rate of a full batch.
    """
    config = EngineConfig("", workload.entry.identity, EndpointRole.DECODE)
    rng = random.Random(0)
    prefill_s = decode_s = 0.0
    for number in range(CAPACITY_SAMPLES):
        call = plan_arrival(workload, number, 0.0, rng)
        prefill_s += config.prefill_overhead_s
        prefill_s += call.prompt_tokens / config.prefill_tokens_per_s
        decode_s += call.max_outputs / full_batch_rate(config)
    pools = Counter(
        role
        for _, role, identity in deployment.endpoints
        if identity == workload.entry.identity
    )
    return CAPACITY_SAMPLES * min(
        pools[EndpointRole.PREFILL] / prefill_s, pools[EndpointRole.DECODE] / decode_s
    )


def full_batch_rate(config: EngineConfig) -> float:
    """Return the outputs per second of a decode engine with a full batch."""
    return config.slots / (
        config.step_base_s + config.step_per_request_s * config.slots
    )


def build_simulation(run: GoodputRun, deployment: Deployment) -> Simulation:
    """Return a simulation with the deployment's nodes and endpoints."""
    settings = NodeSettings("", "", deployment.domains)
    simulation = Simulation(
        run.seed, settings.link_bytes_per_s, deployment.caller_delay_s
    )
    simulation.regions = {domain.name: domain.region for domain in deployment.domains}
    for number, (domain, role, identity) in enumerate(deployment.endpoints):
        address = f"{domain}-{identity.service}-{number}:80"
        model: EngineModel | ServiceModel
        if role is EndpointRole.SERVICE:
            model = ServiceModel(ServiceConfig(address, identity))
        else:
            model = EngineModel(
                EngineConfig(
                    address,
                    identity,
                    role,
                    cache_gap_share=0.02,
                    checks_identity=False,
                )
            )
        simulation.add_endpoint(model, domain, identity.service)
    for domain_settings in deployment.domains:
        for slot in range(domain_settings.host_slots):
            host = f"{domain_settings.name}-{slot}"
            row = HostListRow(host, host, "entry", domain_settings.name, "", False)
            simulation.host_list.put(0.0, row)
    for domain_settings in deployment.domains:
        for slot in range(domain_settings.host_slots):
            node = simulation.add_node(
                settings._replace(
                    host=f"{domain_settings.name}-{slot}",
                    domain=domain_settings.name,
                    host_slot=slot,
                    policy=run.policy,
                    strict_invariants=True,
                    health_across_incarnations=run.health_across_incarnations,
                ),
                systems=DECISION_SYSTEMS,
            )
            for workload in deployment.workloads:
                node.state.entries.put(workload.entry.name, workload.entry)
            node.state.catalogue_ready = True
    return simulation


def run_simulation(run: GoodputRun) -> tuple[Simulation, list[PlannedCall]]:
    """Make a run; return the simulation in its final state and the planned calls."""
    deployment = DEPLOYMENTS[run.deployment]
    simulation = build_simulation(run, deployment)
    rates = {}
    for workload in deployment.workloads:
        rate = workload.share
        if workload.entry.kind is EntryKind.MODEL:
            rate *= capacity_rate(deployment, workload) * run.load
        rates[workload.entry.name] = rate
    # The calls depend on the seed and the load, not on the policy.
    rng = random.Random(f"{run.deployment}/{run.load}/{run.seed}")
    planned = plan_calls(deployment, rates, run.seconds, HANG_UP_SHARE, rng)
    planned = [
        call._replace(
            at=call.at + WARM_UP_S,
            arrival=call.arrival._replace(deadline=call.arrival.deadline + WARM_UP_S),
        )
        for call in planned
    ]
    for call in planned:
        host = f"{call.domain}-{call.slot}"
        simulation.schedule(call.at, simulation.call, host, call.arrival)
        if call.hang_up_after_s is not None:
            hang_up_at = call.at + call.hang_up_after_s
            simulation.schedule(
                hang_up_at, simulation.hang_up, host, call.arrival.call_id
            )
    if run.faults:
        plan_faults(simulation, run, rng)
    simulation.run(WARM_UP_S + run.seconds + DRAIN_S)
    return simulation, planned


def plan_faults(simulation: Simulation, run: GoodputRun, rng: random.Random) -> None:
    """Schedule stalls, slowdowns, crashes, restarts and drains of random engines."""
    targets = [
        address
        for address, endpoint in simulation.endpoints.items()
        if isinstance(endpoint.model, EngineModel)
    ]

    def stall(address: str) -> None:
        model = simulation.endpoints[address].model
        if isinstance(model, EngineModel):
            model.stall_transfers(simulation.now, 1.0)

    def slow(address: str, factor: float) -> None:
        simulation.endpoints[address].model.set_slow_factor(simulation.now, factor)

    def restart(address: str, incarnation: int) -> None:
        old = simulation.endpoints[address]
        if isinstance(old.model, EngineModel):
            config = old.model.config._replace(incarnation=incarnation)
            simulation.add_endpoint(
                EngineModel(config), old.domain, config.identity.service
            )

    def leave(address: str) -> None:
        simulation.endpoints[address].model.start_leaving(simulation.now)

    at = WARM_UP_S + 2.0
    number = 1
    while at < WARM_UP_S + run.seconds:
        address = rng.choice(targets)
        kind = rng.choice(("stall", "slow", "kill", "leave"))
        number += 1
        if kind == "stall":
            simulation.schedule(at, stall, address)
        elif kind == "slow":
            simulation.schedule(at, slow, address, 3.0)
            simulation.schedule(at + 8.0, slow, address, 1.0)
        elif kind == "kill":
            simulation.schedule(at, simulation.crash_endpoint, address)
            simulation.schedule(at + 3.0, restart, address, number)
        else:
            simulation.schedule(at, leave, address)
            simulation.schedule(at + 6.0, restart, address, number)
        at += rng.expovariate(1 / 6.0)


def has_met_targets(call: PlannedCall, record: CallRecord) -> bool:
    """Return whether a call completed within both latency targets."""
    if (
        record.error is not None
        or record.first_output_at is None
        or record.last_output_at is None
    ):
        return False
    targets = call.workload.entry.targets
    if record.first_output_at - record.sent_at > targets.first_output_s:
        return False
    gaps = max(1, call.arrival.max_outputs - 1)
    interval_s = (record.last_output_at - record.first_output_at) / gaps
    return interval_s <= targets.between_outputs_s + INTERVAL_TOLERANCE_S


def upper_bound(deployment: Deployment, calls: list[PlannedCall]) -> int:
    """Return an upper bound on the calls of a model entry that can be in time.

    Calls whose callers hang up count neither here nor as goodput.
    """
    entry = calls[0].workload.entry
    config = EngineConfig("", entry.identity, EndpointRole.DECODE)
    pools = Counter(
        role for _, role, identity in deployment.endpoints if identity == entry.identity
    )
    prefill_rate = pools[EndpointRole.PREFILL] * config.prefill_tokens_per_s
    decode_rate = pools[EndpointRole.DECODE] * full_batch_rate(config)
    seen: set[str] = set()
    prefills = []
    decodes = []
    for call in calls:
        cached = 0
        for prefix in call.arrival.prefixes:
            if prefix not in seen:
                break
            cached += 1
        seen.update(call.arrival.prefixes)
        if call.hang_up_after_s is not None:
            continue
        tokens = max(1, call.arrival.prompt_tokens - cached * PREFIX_BLOCK_TOKENS)
        due = call.at + entry.targets.first_output_s
        prefill_s = tokens / config.prefill_tokens_per_s
        prefills.append(Job(call.at, due, tokens / prefill_rate))
        outputs = call.arrival.max_outputs
        interval_s = entry.targets.between_outputs_s + INTERVAL_TOLERANCE_S
        last_due = due + (outputs - 1) * interval_s
        decodes.append(Job(call.at + prefill_s, last_due, outputs / decode_rate))
    return min(max_calls_in_time(prefills), max_calls_in_time(decodes))


def percentiles(values: list[float]) -> dict[str, float]:
    """Return percentiles, in milliseconds, of values in seconds."""
    if not values:
        return {}
    values = sorted(values)
    last = len(values) - 1
    return {
        name: round(1000 * values[round(last * share)], 1)
        for name, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0))
    }


def entry_report(
    deployment: Deployment, simulation: Simulation, calls: list[PlannedCall]
) -> dict[str, Any]:
    """Return the results of the calls of one entry."""
    workload = calls[0].workload
    kept_calls = [call for call in calls if call.hang_up_after_s is None]
    records = simulation.calls
    good = sum(
        has_met_targets(call, records[call.arrival.call_id]) for call in kept_calls
    )
    first_outputs_s = []
    intervals_s = []
    refusals: Counter[str] = Counter()
    for call in kept_calls:
        record = records[call.arrival.call_id]
        if record.error is not None:
            refusals[record.error.code] += 1
        elif record.ended_at is None:
            refusals["unanswered"] += 1
        if record.first_output_at is not None:
            first_outputs_s.append(record.first_output_at - record.sent_at)
            if record.last_output_at is not None and call.arrival.max_outputs > 1:
                count = call.arrival.max_outputs - 1
                intervals_s.append(
                    (record.last_output_at - record.first_output_at) / count
                )
    is_model = workload.entry.kind is EntryKind.MODEL
    bound = upper_bound(deployment, calls) if is_model else len(kept_calls)
    return {
        "class": workload.entry.call_class.value,
        "calls": len(kept_calls),
        "good": good,
        "bound": bound,
        "share_of_bound": round(good / bound, 4) if bound else None,
        "first_output_ms": percentiles(first_outputs_s),
        "between_outputs_ms": percentiles(intervals_s),
        "refusals": dict(sorted(refusals.items())),
    }


def run_goodput(run: GoodputRun) -> dict[str, Any]:
    """Make a run and return its results as JSON values."""
    simulation, planned = run_simulation(run)
    deployment = DEPLOYMENTS[run.deployment]
    entries: dict[str, Any] = {}
    for workload in deployment.workloads:
        entry_calls = [call for call in planned if call.workload is workload]
        if entry_calls:
            entries[workload.entry.name] = entry_report(
                deployment, simulation, entry_calls
            )
    computed = wasted = unpinned = late_work = 0
    for endpoint in simulation.endpoints.values():
        unpinned += endpoint.model.served_unpinned
        late_work += endpoint.model.late_work_after_leaving
        if isinstance(endpoint.model, EngineModel):
            computed += endpoint.model.prefill_tokens_computed
            wasted += endpoint.model.prefill_tokens_wasted
    held_s = sorted(
        max(0.0, simulation.memory_freed_at.get(attempt, 0.0) - record.disconnected_at)
        for record in simulation.calls.values()
        if record.disconnected_at is not None
        for attempt in record.attempts
    )
    retried = sum(len(record.attempts) > 1 for record in simulation.calls.values())
    return {
        **run._asdict(),
        "entries": entries,
        "prefill_tokens": computed,
        "wasted_prefill_share": round(wasted / computed, 5) if computed else 0.0,
        "held_after_gone_ms": percentiles(held_s),
        "calls_to_others": unpinned,
        "work_to_leaving": late_work,
        "calls_retried": retried,
        "engine_refusals": dict(sorted(simulation.errors.items())),
        "peer_messages": simulation.peer_messages,
        "links": {
            f"{source}>{target}": {
                "bytes": link.total_bytes,
                "peak_share": round(link.window_max_bytes / link.bytes_per_s, 4),
            }
            for (source, target), link in sorted(simulation.links.items())
        },
    }


def policy_names(policy: str) -> list[str]:
    """Return the policies that a name selects; "all" selects every policy."""
    return list(POLICIES) if policy == "all" else [policy]


def format_table(results: list[dict[str, Any]]) -> str:
    """Return the results of runs as a text table."""
    lines = [
        f"{'policy':<14}{'entry':<12}{'calls':>7}{'good':>7}{'bound':>7}"
        f"{'share':>8}{'ttft95':>9}{'gap95':>8}{'wasted':>9}{'refused':>9}"
    ]
    for result in results:
        for name, row in result["entries"].items():
            first = row["first_output_ms"].get("p95", 0.0)
            gap = row["between_outputs_ms"].get("p95", 0.0)
            lines.append(
                f"{result['policy']:<14}{name:<12}{row['calls']:>7}{row['good']:>7}"
                f"{row['bound']:>7}{row['share_of_bound'] or 0.0:>8.4f}{first:>9.1f}"
                f"{gap:>8.1f}{result['wasted_prefill_share']:>9.5f}"
                f"{sum(row['refusals'].values()):>9}"
            )
    return "\n".join(lines) + "\n"
