"""Load reports and counters of a model engine."""

from poplarfold._internal.core.events import EndpointReported, WorkItem
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.standins.engine_state import EngineState

__all__ = ["counters", "current_load", "report", "sample_load"]


def current_load(engine: EngineState) -> tuple[int, int, int, tuple[WorkItem, ...]]:
    """Return the busy slots, queued tokens, free pieces and list of work."""
    work = [
        WorkItem(attempt, stream.work.owner, stream.state)
        for attempt, stream in engine.streams.items()
    ]
    work.extend(
        WorkItem(attempt, job.work.owner, job.state)
        for attempt, job in engine.jobs.items()
    )
    return len(work), engine.queued_tokens, engine.pieces_free, tuple(work)


def sample_load(engine: EngineState, at: float) -> None:
    """Record the load at a time for delayed reports."""
    engine.load_samples.append((at, current_load(engine)))
    while len(engine.load_samples) > 1 and (
        engine.load_samples[1][0] <= at - engine.config.report_lag_s
    ):
        engine.load_samples.popleft()


def report(engine: EngineState, now: float) -> EndpointReported:
    """Return a load report.

    The load is ``report_lag_s`` old; address, identity and role are current.
    """
    if engine.config.report_lag_s > 0 and engine.load_samples:
        load = engine.load_samples[0][1]
        for at, candidate in engine.load_samples:
            if at <= now - engine.config.report_lag_s:
                load = candidate
    else:
        load = current_load(engine)
    busy, queued_tokens, pieces_free, work = load
    slots = engine.config.slots
    if engine.role is EndpointRole.PREFILL:
        slots = engine.config.prefill_batch_size
    return EndpointReported(
        address=engine.address,
        incarnation=engine.incarnation,
        identity=engine.identity,
        role=engine.role,
        slots=slots,
        busy=busy,
        queued_tokens=queued_tokens,
        pieces_total=engine.config.pieces_total,
        pieces_free=pieces_free,
        leaving=engine.leaving_since is not None,
        rejects_stale_fencing=engine.config.rejects_stale_fencing,
        knows_operations=False,
        work=work,
        cache_seq=engine.cache.seq,
    )


def counters(engine: EngineState) -> dict[str, object]:
    """Return all counters as JSON values. Times are on the model's clock."""
    return {
        "address": engine.address,
        "incarnation": engine.incarnation,
        "role": engine.role.value,
        "prefill_tokens_computed": engine.prefill_tokens_computed,
        "prefill_tokens_cached": engine.prefill_tokens_cached,
        "prefill_tokens_wasted": engine.prefill_tokens_wasted,
        "outputs_made": engine.outputs_made,
        "busy_s": engine.busy_s,
        "served": [
            {"identity": identity._asdict(), "kind": kind, "count": count}
            for (identity, kind), count in engine.served.items()
        ],
        "served_unpinned": engine.served_unpinned,
        "refusals": dict(engine.refusals),
        "work_after_leaving_s": engine.work_after_leaving_s,
        "late_work_after_leaving": engine.late_work_after_leaving,
        "stale_orders_applied": engine.stale_orders_applied,
        "orders_applied": engine.orders_applied,
        "longest_hold_s": engine.longest_hold_s,
        "holds": [
            {"attempt": attempt, "key": key, "since": since, "until": until}
            for attempt, key, since, until in engine.holds
        ],
        "held": [
            {
                "attempt": stream.work.attempt,
                "host": stream.work.owner.host,
                "incarnation": stream.work.owner.incarnation,
                "since": stream.held_since,
                "state": stream.state,
            }
            for stream in engine.streams.values()
        ]
        + [
            {
                "attempt": job.work.attempt,
                "host": job.work.owner.host,
                "incarnation": job.work.owner.incarnation,
                "since": job.started_at,
                "state": job.state,
            }
            for job in engine.jobs.values()
            if job.state != "queued"
        ],
        "pieces_free": engine.pieces_free,
        "pieces_total": engine.config.pieces_total,
    }
