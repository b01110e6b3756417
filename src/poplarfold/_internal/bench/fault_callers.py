"""Callers of a run under random faults, and the checks of what they observe."""

from poplarfold._internal.bench.deployments import (
    BYTES_PER_TOKEN,
    Workload,
    plan_arrival,
)
from poplarfold._internal.bench.fault_bench import FaultBench, Filing
from poplarfold._internal.bench.fault_simulation import PLATFORM
from poplarfold._internal.core import commands
from poplarfold._internal.core.events import CallArrived
from poplarfold._internal.core.model import EntryKind
from poplarfold._internal.exceptions import Outcome

__all__ = ["next_filing", "next_repeatable", "on_finish", "on_start"]

FILINGS_PER_S = 1.0
LOOKUPS_PER_S = 3.0
STREAMS_PER_S = 0.5
CALLS_PER_FILING_MAX = 6
ANSWER_TIMEOUT_S = 15.0


def next_filing(bench: FaultBench) -> None:
    """Send a new filing and schedule the next one."""
    simulation = bench.simulation
    if simulation.now >= bench.end_at:
        return
    bench.number += 1
    filing = Filing(f"key-{bench.number}")
    bench.filings[filing.key] = filing
    send_filing(bench, filing)
    # Some callers retry while the first call still runs.
    if bench.rng.random() < 0.1:
        simulation.schedule(
            simulation.now + bench.rng.random(), send_filing, bench, filing
        )
    simulation.schedule(
        simulation.now + bench.rng.expovariate(FILINGS_PER_S), next_filing, bench
    )


def send_filing(bench: FaultBench, filing: Filing) -> None:
    """Send a filing, or a retry of it, through a random live node."""
    if filing.calls >= CALLS_PER_FILING_MAX:
        return
    filing.calls += 1
    bench.calls["filings"] += 1
    name = bench.random_live_host()
    call_id = f"f-{filing.key}-{filing.calls}"
    arrival = CallArrived(
        call_id=call_id,
        account="north",
        entry="filings",
        is_model_call=False,
        prompt_tokens=10,
        prompt_bytes=10 * BYTES_PER_TOKEN,
        prefixes=(),
        max_outputs=1,
        deadline=bench.simulation.now + 10.0,
        idempotency_key=filing.key,
        body_digest="d",
    )
    bench.filing_of_call[call_id] = filing
    bench.host_of_call[call_id] = name
    bench.simulation.call(name, arrival)
    bench.simulation.schedule(
        bench.simulation.now + ANSWER_TIMEOUT_S, retry_unanswered, bench, call_id
    )
    if bench.rng.random() < 0.05:
        disconnected_at = bench.simulation.now + bench.rng.expovariate(10.0)
        bench.simulation.schedule(disconnected_at, hang_up, bench, call_id)


def hang_up(bench: FaultBench, call_id: str) -> None:
    """Close a caller's connection; a filing is retried later."""
    record = bench.simulation.calls[call_id]
    name = bench.host_of_call[call_id]
    if record.ended_at is None:
        bench.faults["caller_cancel"] += 1
        bench.simulation.hang_up(name, call_id)
        record.ended_at = bench.simulation.now
        filing = bench.filing_of_call.get(call_id)
        if filing is not None:
            wait_s = bench.rng.expovariate(1.0)
            bench.simulation.schedule(
                bench.simulation.now + wait_s, send_filing, bench, filing
            )


def retry_unanswered(bench: FaultBench, call_id: str) -> None:
    """Hang up and retry a filing that got no response in time."""
    record = bench.simulation.calls[call_id]
    if record.ended_at is None:
        hang_up(bench, call_id)


def on_finish(bench: FaultBench, command: commands.FinishCall) -> None:
    """Check the result that a node reports for a call."""
    call_id, error = command.call_id, command.error
    record = bench.simulation.calls[call_id]
    filing = bench.filing_of_call.get(call_id)
    if error is not None:
        bench.refusals[f"{error.code}/{error.outcome or '-'}"] += 1
    if filing is None:
        return
    if error is not None and error.outcome is Outcome.NOT_RUN:
        runs = bench.runs_of(filing)
        if runs:
            problem = f"{call_id}: reported as not run after {runs} runs"
            bench.add_violation("not-run-is-true", problem)
        operation = bench.operation_of_call.get(call_id)
        if operation is not None:
            filing.not_run.append((operation, 0))
    if error is None and command.answer_body:
        filing.answers.add(command.answer_body)
    if record.ended_at is not None:
        return
    if error is None:
        bench.answered["filings"] += 1
    else:
        wait_s = 0.5 + bench.rng.expovariate(0.5)
        bench.simulation.schedule(
            bench.simulation.now + wait_s, send_filing, bench, filing
        )


def on_start(bench: FaultBench, command: commands.StartAttempt) -> None:
    """Record the operation id under which a filing is sent."""
    filing = bench.filing_of_call.get(command.call_id)
    if filing is not None and command.operation_id:
        filing.operations.add(command.operation_id)
        bench.operation_of_call[command.call_id] = command.operation_id


def next_repeatable(bench: FaultBench, workload: Workload) -> None:
    """Send a repeatable call through a node of the caller's domain."""
    simulation = bench.simulation
    if simulation.now >= bench.end_at:
        return
    bench.number += 1
    is_lookup = workload.entry.kind is EntryKind.SERVICE
    domain = bench.rng.choice(bench.deployment.domains)
    arrival = plan_arrival(workload, bench.number, simulation.now, bench.rng)
    live = [
        name
        for name, host in simulation.nodes.items()
        if host.is_alive and host.domain == domain.name
    ]
    if live:
        kind = "lookups" if is_lookup else "streams"
        bench.calls[kind] += 1
        call_id = arrival.call_id
        bench.host_of_call[call_id] = bench.rng.choice(live)
        simulation.call(bench.host_of_call[call_id], arrival)
        if bench.rng.random() < 0.05:
            disconnected_at = simulation.now + bench.rng.expovariate(1.0)
            simulation.schedule(disconnected_at, hang_up, bench, call_id)
        elif is_cut_off(bench, domain.name):
            check_at = simulation.now + workload.deadline_s + 5.0
            simulation.schedule(
                check_at,
                check_cut_off_call,
                bench,
                domain.name,
                call_id,
                simulation.now,
            )
    rate = LOOKUPS_PER_S if is_lookup else STREAMS_PER_S
    simulation.schedule(
        simulation.now + bench.rng.expovariate(rate), next_repeatable, bench, workload
    )


def is_cut_off(bench: FaultBench, domain: str) -> bool:
    """Return whether a domain is cut off and has no other active fault."""
    simulation = bench.simulation
    others = [d.name for d in bench.deployment.domains if d.name != domain]
    cut = not simulation.is_connected(domain, PLATFORM)
    cut = cut or not all(simulation.is_connected(domain, other) for other in others)
    return cut and bench.affected_until.get(domain, -1.0) <= simulation.now


def check_cut_off_call(
    bench: FaultBench, domain: str, call_id: str, since: float
) -> None:
    """Count a call that a cut-off domain is expected to serve by itself."""
    if bench.affected_until.get(domain, -1.0) > since:
        return
    record = bench.simulation.calls[call_id]
    if record.disconnected_at is not None:
        return
    bench.cut_off_counts["made"] += 1
    is_served = record.ended_at is not None and record.error is None
    bench.cut_off_counts["served"] += is_served
    if not is_served:
        code = record.error.code if record.error else "no_answer"
        entry = record.arrival.entry
        bench.cut_off_errors[f"{domain}/{entry}/{code}"] += 1
