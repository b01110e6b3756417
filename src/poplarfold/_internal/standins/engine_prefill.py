"""Prefills of a model engine: their queue, batches and held results."""

import heapq

from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.standins.engine_events import PrefillFinished, PrefillWasted
from poplarfold._internal.standins.engine_orders import start_change
from poplarfold._internal.standins.engine_state import EngineState
from poplarfold._internal.standins.engine_types import (
    HeldResult,
    KvExport,
    PrefillJob,
    Work,
    pieces_for,
)

__all__ = ["cancel_prefill", "drop_result", "finish_prefill_batch", "queue_prefill"]


def queue_prefill(
    engine: EngineState,
    work: Work,
    tokens: int,
    key: str,
    prefixes: tuple[str, ...],
) -> str | None:
    """Queue a prefill, see ``EngineModel.prefill``."""
    if work.attempt in engine.jobs:
        return None
    code = engine.refusal_of(work, EndpointRole.PREFILL)
    if code is not None:
        return engine.refuse(code)
    pieces = pieces_for(tokens, engine.config.piece_tokens)
    if pieces > engine.config.pieces_total:
        return engine.refuse("too_large")
    engine.count_start(work, "prefill")
    job = PrefillJob(work, tokens, key, prefixes, engine.now)
    job.pieces = pieces
    engine.jobs[work.attempt] = job
    engine.queued_tokens += tokens
    engine.sequence += 1
    heapq.heappush(engine.queue, (work.priority, engine.sequence, job))
    start_prefill_batch(engine)
    return None


def start_prefill_batch(engine: EngineState) -> None:
    """Start a batch of the most urgent queued prefills if the engine is idle.

    A batch is limited by the token budget, the batch size and the free memory.
    A prompt above the token budget runs in a batch of its own.
    """
    if engine.batch_jobs:
        return
    config = engine.config
    total = 0
    while engine.queue and len(engine.batch_jobs) < config.prefill_batch_size:
        job = engine.queue[0][2]
        if job.state == "cancelled":
            heapq.heappop(engine.queue)
            continue
        cached = engine.cache.cached_tokens(job)
        uncached_tokens = job.tokens - cached
        if total and total + uncached_tokens > config.prefill_batch_tokens:
            break
        if job.pieces > engine.pieces_free:
            break
        heapq.heappop(engine.queue)
        total += uncached_tokens
        job.cached = cached
        job.state = "running"
        job.started_at = engine.now
        engine.pieces_free -= job.pieces
        engine.cache.touch(job.prefixes)
        engine.batch_jobs.append(job)
    if engine.batch_jobs:
        duration_s = (
            config.prefill_overhead_s + total / config.prefill_tokens_per_s
        ) * engine.slow_factor
        engine.batch_started_at = engine.now
        engine.batch_done_at = engine.now + duration_s
        engine.set_timer(engine.batch_done_at, "prefill", engine.batch_done_at)


def finish_prefill_batch(engine: EngineState) -> None:
    """Export the results of the running batch and start the next one."""
    jobs, engine.batch_jobs = engine.batch_jobs, []
    engine.busy_s += engine.now - engine.batch_started_at
    for job in jobs:
        attempt = job.work.attempt
        job.state = "held"
        engine.queued_tokens -= job.tokens
        engine.prefill_tokens_computed += job.tokens - job.cached
        engine.prefill_tokens_cached += job.cached
        engine.sequence += 1
        handle = f"{engine.incarnation:x}-{engine.sequence:x}"
        export = KvExport(
            engine.address,
            handle,
            job.tokens,
            job.key,
            engine.now + engine.config.kv_lifetime_s,
        )
        engine.results[handle] = HeldResult(job, export)
        engine.handles_by_attempt[attempt] = handle
        engine.set_timer(export.expires_at, "evict", handle)
        engine.cache.store(engine.now, job.prefixes)
        engine.events.append(
            PrefillFinished(
                engine.now,
                attempt,
                export,
                job.cached,
                job.started_at - job.arrived_at,
            )
        )
    start_prefill_batch(engine)
    start_change(engine)


def drop_result(engine: EngineState, handle: str, wasted_reason: str | None) -> bool:
    """Free a result and, if a reason is given, count it as wasted.

    Returns False if there is no such result.
    """
    held = engine.results.pop(handle, None)
    if held is None:
        return False
    job = held.job
    attempt = job.work.attempt
    engine.handles_by_attempt.pop(attempt, None)
    del engine.jobs[attempt]
    if wasted_reason is not None:
        count_waste(engine, attempt, job.tokens - job.cached, wasted_reason)
    engine.free_pieces(attempt, job.pieces, job.started_at, job.key)
    start_prefill_batch(engine)
    start_change(engine)
    return True


def count_waste(engine: EngineState, attempt: str, tokens: int, reason: str) -> None:
    """Count wasted prefill tokens and emit ``PrefillWasted``."""
    engine.prefill_tokens_wasted += tokens
    engine.events.append(PrefillWasted(engine.now, attempt, tokens, reason))


def cancel_prefill(engine: EngineState, job: PrefillJob) -> None:
    """Cancel a queued or running prefill, or free its held result."""
    attempt = job.work.attempt
    if job.state == "held":
        drop_result(engine, engine.handles_by_attempt[attempt], "cancelled")
        return
    del engine.jobs[attempt]
    engine.queued_tokens -= job.tokens
    if job.state == "running":
        # The batch ends earlier by the time that the job still needed.
        batch_s = engine.batch_done_at - engine.batch_started_at
        remaining = (engine.batch_done_at - engine.now) / batch_s
        uncached_tokens = job.tokens - job.cached
        computed_tokens = round(uncached_tokens * (1.0 - remaining))
        engine.prefill_tokens_computed += computed_tokens
        count_waste(engine, attempt, computed_tokens, "cancelled")
        engine.batch_jobs.remove(job)
        engine.free_pieces(attempt, job.pieces, job.started_at, job.key)
        if engine.batch_jobs:
            saved_s = uncached_tokens * remaining / engine.config.prefill_tokens_per_s
            saved_s *= engine.slow_factor
            engine.batch_done_at = max(engine.now, engine.batch_done_at - saved_s)
            engine.set_timer(engine.batch_done_at, "prefill", engine.batch_done_at)
        else:
            engine.busy_s += engine.now - engine.batch_started_at
    job.state = "cancelled"
    start_prefill_batch(engine)
    start_change(engine)
