"""Random faults, up to two at a time, checked by independent oracles.

The oracles use only what callers observed, what the services ran and what the
log holds. They share no code with the systems that they check.
"""

from collections import Counter
from typing import Any, NamedTuple

from poplarfold._internal.bench.catalogue_oracle import (
    propose,
    propose_next_change,
    sample,
)
from poplarfold._internal.bench.deployments import DEPLOYMENTS
from poplarfold._internal.bench.fault_bench import WARM_UP_S, FaultBench, FaultsRun
from poplarfold._internal.bench.fault_callers import (
    next_filing,
    next_repeatable,
    on_finish,
    on_start,
)
from poplarfold._internal.bench.fault_kinds import next_fault
from poplarfold._internal.bench.fault_simulation import FaultSimulation, entry_host_row
from poplarfold._internal.core import commands
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRole,
    EntryKind,
    EntryLimits,
    LatencyTargets,
)
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins.engine_model import EngineConfig, EngineModel
from poplarfold._internal.standins.service_model import (
    ServiceBackend,
    ServiceConfig,
    ServiceModel,
)

__all__ = ["FaultsRun", "run_faults"]

RECOVERY_S = 200.0


def start_run(bench: FaultBench) -> None:
    """Start endpoints and nodes, and schedule callers, operators and faults."""
    simulation, rng = bench.simulation, bench.rng
    simulation.host_list.lag_s = 1.0
    service_options = {
        "rejects_stale_fencing": rng.random() < 0.5,
        "knows_operations": rng.random() < 0.6,
    }
    for number, (domain, role, identity) in enumerate(bench.deployment.endpoints):
        address = f"{domain}-{identity.service}-{number}:80"
        if role is EndpointRole.SERVICE:
            backend = bench.backends.setdefault(identity, ServiceBackend())
            config = ServiceConfig(address, identity, **service_options)
            simulation.add_endpoint(
                ServiceModel(config, backend), domain, identity.service
            )
        else:
            engine = EngineModel(EngineConfig(address, identity, role))
            simulation.add_endpoint(engine, domain, identity.service)
    for row in bench.deployment.domains:
        for slot in range(row.host_slots):
            name = f"{row.name}-{slot}"
            simulation.host_list.put(0.0, entry_host_row(name, row.name))
            bench.settings[name] = NodeSettings(
                name, row.name, bench.deployment.domains, slot
            )
    peers = tuple((s.host, s.host, s.domain) for s in bench.settings.values())
    for name, settings in bench.settings.items():
        bench.settings[name] = settings._replace(peers=peers)
        simulation.add_node(bench.settings[name])
    entries = [w.entry for w in bench.deployment.workloads] + [filing_entry(bench)]
    for entry in entries:
        simulation.schedule(2.0, propose, bench, next(iter(bench.settings)), entry, -1)
    simulation.schedule(WARM_UP_S, next_filing, bench)
    for workload in bench.deployment.workloads:
        simulation.schedule(WARM_UP_S, next_repeatable, bench, workload)
    simulation.schedule(WARM_UP_S, propose_next_change, bench)
    simulation.schedule(WARM_UP_S + 5.0, next_fault, bench)
    simulation.schedule(0.0, sample, bench)


def filing_entry(bench: FaultBench) -> CatalogueEntry:
    """Return the catalogue entry of the non-repeatable calls."""
    identity = bench.deployment.workloads[1].entry.identity
    return CatalogueEntry(
        "filings",
        EntryKind.SERVICE,
        identity,
        CallClass.NON_REPEATABLE,
        LatencyTargets(5.0, 1.0),
        EntryLimits(),
    )


def check_whole_run(bench: FaultBench) -> None:
    """Run the checks that need the whole run."""
    for filing in bench.filings.values():
        runs = bench.runs_of(filing)
        if runs > 1:
            bench.add_violation("at-most-once", f"{filing.key} ran {runs} times")
        if len(filing.answers) > 1:
            bench.add_violation("whole-own-answer", f"{filing.key} has two answers")
        for operation, _ in filing.not_run:
            ran = sum(b.runs[operation] for b in bench.backends.values())
            if ran:
                problem = f"{filing.key}: {operation} ran although reported as not run"
                bench.add_violation("not-run-is-true", problem)
    states = {
        name: {n: e.revision for n, e in host.node.state.entries.items()}
        for name, host in bench.simulation.nodes.items()
        if host.is_alive
    }
    for name, revisions in states.items():
        if revisions != bench.revisions:
            problem = f"{name} ends with {revisions}, the log has {bench.revisions}"
            bench.add_violation("catalogue-in-force", problem)
    for endpoint in bench.simulation.endpoints.values():
        bench.update_late_work(endpoint.model)


def report_of(bench: FaultBench) -> dict[str, Any]:
    """Return the results of the run as JSON values."""
    bench.ready_s.sort()
    made, served = bench.cut_off_counts["made"], bench.cut_off_counts["served"]
    violations = bench.simulation.violations
    return {
        "deployment": bench.run.deployment,
        "seed": bench.run.seed,
        "seconds": bench.run.seconds,
        "calls": dict(bench.calls),
        "answered_filings": bench.answered["filings"],
        "filings": len(bench.filings),
        "filings_run": sum(bench.runs_of(f) > 0 for f in bench.filings.values()),
        "faults": dict(sorted(bench.faults.items())),
        "violations": dict(Counter(v.name for v in violations)),
        "first_violations": [list(v) for v in violations[:10]],
        "in_force_max_s": {k: round(v, 3) for k, v in bench.max_in_force_s.items()},
        "revisions": len(bench.revisions) and max(bench.revisions.values()),
        "leaving_work_max_s": round(bench.max_late_work_s, 3),
        "cut_off_calls": made,
        "cut_off_served_share": round(served / made, 4) if made else None,
        "cut_off_errors": dict(bench.cut_off_errors),
        "restarts": len(bench.ready_s),
        "ready_max_s": round(bench.ready_s[-1], 3) if bench.ready_s else None,
        "ready_over_60_s": bench.ready_timeouts,
        "refusals": dict(sorted(bench.refusals.items())),
    }


class FaultBenchSimulation(FaultSimulation):
    """Fault simulation that reports commands to the bench."""

    bench: FaultBench

    def carry_out(self, command: NamedTuple, host: Any) -> None:
        """Report a command to the bench before it is carried out."""
        if isinstance(command, commands.StartAttempt):
            on_start(self.bench, command)
        elif isinstance(command, commands.FinishCall):
            on_finish(self.bench, command)
        super().carry_out(command, host)


def run_faults(run: FaultsRun) -> dict[str, Any]:
    """Make one run. The same parameters give the same result."""
    deployment = DEPLOYMENTS[run.deployment]
    rate = NodeSettings("", "", ()).link_bytes_per_s
    simulation = FaultBenchSimulation(run.seed, rate, deployment.caller_delay_s)
    bench = FaultBench(run, simulation)
    simulation.bench = bench
    start_run(bench)
    # After the last fault the system recovers, and every call must end.
    bench.simulation.run(bench.end_at + RECOVERY_S)
    check_whole_run(bench)
    return report_of(bench)
