"""Decode streams of a model engine: slots, imports of KV, and their outputs."""

from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.standins.engine_batch import (
    count_ended_steps,
    finish_stream,
    free_stream,
    rebuild_batch,
    steps_done,
)
from poplarfold._internal.standins.engine_events import DecodeFailed, KvImported
from poplarfold._internal.standins.engine_state import EngineState
from poplarfold._internal.standins.engine_types import (
    KvExport,
    Stream,
    Work,
    pieces_for,
)

__all__ = ["decode", "finish_import", "outputs_of", "reserve"]


def reserve(engine: EngineState, work: Work, pieces: int) -> str | None:
    """Reserve a slot and memory for ``lease_s``. A repeat renews the lease."""
    lease_until = engine.now + engine.config.lease_s
    stream = engine.streams.get(work.attempt)
    if stream is not None:
        if stream.state == "reserved":
            stream.lease_until = lease_until
            engine.set_timer(lease_until, "lease", stream)
        return None
    code = engine.refusal_of(work, EndpointRole.DECODE)
    if code is None:
        code = allocate(engine, work, pieces, lease_until)
    if code is not None:
        return engine.refuse(code)
    engine.set_timer(lease_until, "lease", engine.streams[work.attempt])
    return None


def allocate(
    engine: EngineState, work: Work, pieces: int, lease_until: float
) -> str | None:
    """Allocate a slot and memory, or return ``too_large`` or ``full``."""
    if pieces > engine.config.pieces_total:
        return "too_large"
    if len(engine.streams) >= engine.config.slots or pieces > engine.pieces_free:
        return "full"
    engine.pieces_free -= pieces
    engine.streams[work.attempt] = Stream(work, pieces, engine.now, lease_until)
    return None


def decode(
    engine: EngineState,
    work: Work,
    export: KvExport | None,
    prompt_tokens: int,
    max_outputs: int,
    resume_from: int,
) -> str | None:
    """Import the KV and make outputs, see ``EngineModel.decode``."""
    stream = engine.streams.get(work.attempt)
    if stream is not None and stream.state != "reserved":
        return None
    if work.attempt in engine.finished:
        return None
    code = None
    if stream is None:
        code = engine.refusal_of(work, EndpointRole.DECODE)
    elif engine.config.checks_identity and work.identity != engine.identity:
        code = "wrong_identity"
    if code is None and export is None:
        code = "kv_gone"
    if code is None:
        pieces = pieces_for(prompt_tokens + max_outputs, engine.config.piece_tokens)
        if stream is None:
            code = allocate(engine, work, pieces, engine.now)
        elif pieces > stream.pieces:
            if pieces - stream.pieces > engine.pieces_free:
                code = "full"
            else:
                engine.pieces_free -= pieces - stream.pieces
                stream.pieces = pieces
    if code is not None:
        return engine.refuse(code)
    assert export is not None
    engine.count_start(work, "decode")
    stream = engine.streams[work.attempt]
    stream.key = export.key
    stream.resume_from = min(resume_from, max_outputs)
    stream.total = max_outputs
    stream.state = "importing"
    transfer_s = (
        engine.config.import_base_s + export.tokens / engine.config.import_tokens_per_s
    )
    done_at = max(engine.now, engine.transfers_stalled_until) + transfer_s
    in_time = done_at <= export.expires_at
    at = done_at if in_time else max(engine.now, export.expires_at)
    engine.set_timer(at, "import", (stream, export, in_time))
    return None


def finish_import(
    engine: EngineState, stream: Stream, export: KvExport, in_time: bool
) -> None:
    """Add an imported stream to the batch from the next step on.

    ``in_time`` is False if the result expired before the transfer ended.
    """
    if stream.state != "importing":
        return
    attempt = stream.work.attempt
    if not in_time:
        engine.refusals["kv_gone"] += 1
        engine.events.append(DecodeFailed(engine.now, attempt, "kv_gone"))
        free_stream(engine, stream)
        return
    engine.events.append(KvImported(engine.now, attempt, export.source, export.handle))
    if stream.resume_from >= stream.total:
        stream.first_at = engine.now
        finish_stream(engine, stream)
        return
    count_ended_steps(engine)
    stream.state = "waiting"
    engine.waiting_streams.append(stream)
    if not engine.batch:
        engine.step_at = engine.now
        rebuild_batch(engine)


def outputs_of(engine: EngineState, attempt: str) -> tuple[str, int, int, int] | None:
    """Return the outputs of a decode, see ``EngineModel.outputs_of``."""
    stream = engine.streams.get(attempt)
    if stream is None:
        done = engine.finished.get(attempt)
        return (done.key, done.resume_from, done.total, done.total) if done else None
    if stream.state == "reserved":
        return None
    first = stream.resume_from
    made = 0
    if stream.state == "decoding":
        made = steps_done(engine) - stream.join_step
    return stream.key, first, min(first + made, stream.total), stream.total
