"""Checkpoints of the catalogue and of the claims, in the log stream ``checkpoints``.

A starting node reads the stream backwards until it has the newest complete
checkpoint of each kind, and passes them to the folds. One node writes new ones well
before the log drops the records that they replace. Two writers at the same time are
harmless.
"""

from functools import singledispatch
from typing import NamedTuple

from result import Err

from poplarfold._internal.core.catalogue_codec import CatalogueSnapshot, encode_state
from poplarfold._internal.core.checkpoint_codec import (
    CheckpointPart,
    decode_part,
    encode_part,
)
from poplarfold._internal.core.claims_codec import ClaimRow, Expire, encode_rows
from poplarfold._internal.core.commands import AppendLog, ReadLog
from poplarfold._internal.core.events import (
    Checkpoint,
    CheckpointsRead,
    LogAppended,
    LogAppendFailed,
    LogReadCompleted,
    LogReadFailed,
    LogRecord,
)
from poplarfold._internal.core.log_reader import StreamReader
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.catalogue import CatalogueFold
from poplarfold._internal.core.systems.claims import Claims
from poplarfold._internal.core.systems.membership import all_live_hosts
from poplarfold._internal.utils.backoff import doubled_s
from poplarfold._internal.utils.rendezvous import choose_host

__all__ = ["Checkpoints", "next_wakeup", "on_event", "on_tick"]

STREAM = "checkpoints"
# Records per read in the backward search for the newest checkpoints.
SEARCH_WINDOW_RECORDS = 20
# Nodes that start together spread their first reads over this time.
START_JITTER_S = 0.3
SEARCH_TIMEOUT_S = 3.0
SEARCH_RETRY_MIN_S = 0.2
SEARCH_RETRY_MAX_S = 2.0
# A fold needs a new search if the log has dropped records that it lacks. The writer
# may not have written a newer checkpoint yet, so the search waits this long.
SEARCH_REPEAT_DELAY_S = 5.0
CHECKPOINT_PERIOD_S = 600.0
CHECKPOINT_RECORDS_MAX = 5_000
# A checkpoint is renewed at the latest when the records after it make up this fraction
# of those that the log retains, well before the log drops any of them.
RENEWAL_FRACTION = 0.25
# A node starts to write this long after it has become the writer.
WRITER_START_DELAY_S = 30.0
# Limits of one part, so that it stays below the 1 MB that the log accepts per record.
PART_MAX_BYTES = 500_000
ROWS_PER_PART = 2_000
APPEND_RETRY_S = 1.0
APPEND_TIMEOUT_S = 10.0
# Claims are kept longer than the horizon by this factor, because the age of a key
# that a caller states depends on the caller's clock.
CLAIM_EXPIRY_FACTOR = 1.1


class Checkpoints:
    """The search for checkpoints, and the checkpoint being written.

    The search has read the stream down to ``position``. ``written`` holds the offset
    and time of the last checkpoint of each kind, ``parts`` the records to append.
    """

    def __init__(self) -> None:
        self.started = False
        self.search_at: float | None = None
        self.read_sent_at: float | None = None
        self.read_start = 0
        self.read_limit = 1
        self.failures = 0
        self.first = 0
        self.position: int | None = None
        self.found: dict[str, Checkpoint] = {}
        self.partial: dict[str, dict[int, CheckpointPart]] = {}
        self.writer_since: float | None = None
        self.written: dict[str, tuple[int, float]] = {}
        self.parts: list[tuple[str, bytes]] = []
        self.append_at = 0.0
        self.appended_at: float | None = None


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Search for checkpoints when a fold needs one, and write new ones."""
    part = state.part(Checkpoints)
    if not part.started:
        part.started = True
        part.search_at = now + START_JITTER_S * state.rng.random()
    elif part.search_at is None and needs_search(state):
        part.position = None
        part.search_at = now + SEARCH_REPEAT_DELAY_S * (0.5 + state.rng.random())
    if part.search_at is not None and now >= part.search_at:
        part.search_at = now + SEARCH_TIMEOUT_S
        part.read_sent_at = now
        if part.position is None:
            part.read_start, part.read_limit = part.first, 1
        state.emit(ReadLog(STREAM, part.read_start, part.read_limit, 0.0))
    write_next(state, part, now)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next read or write."""
    part = state.part(Checkpoints)
    if not part.started:
        return now
    times = [part.search_at] if part.search_at is not None else []
    if part.parts:
        sent_at = part.appended_at
        if sent_at is not None:
            times.append(sent_at + APPEND_TIMEOUT_S)
        else:
            times.append(part.append_at)
    elif part.writer_since is not None:
        times.append(now + 1.0)
    return min(times, default=None)


def needs_search(state: NodeState) -> bool:
    catalogue = state.part(CatalogueFold).reader
    return catalogue.needs_start or state.part(Claims).reader.needs_start


# The search.


@on_event.register
def _(event: LogReadFailed, state: NodeState, now: float) -> None:
    part = state.part(Checkpoints)
    if event.stream != STREAM or part.search_at is None:
        return
    part.read_sent_at = None
    if event.expired:
        part.first = max(part.first, event.first)
        part.position = None
        part.search_at = now
        return
    delay = doubled_s(SEARCH_RETRY_MIN_S, part.failures, SEARCH_RETRY_MAX_S)
    part.failures += 1
    # While the log fails, the catalogue fold requests its state from peers.
    state.part(CatalogueFold).is_log_failing = True
    part.search_at = now + delay * (0.5 + state.rng.random())


@on_event.register
def _(event: LogReadCompleted, state: NodeState, now: float) -> None:
    part = state.part(Checkpoints)
    if event.stream != STREAM or part.search_at is None:
        return
    if event.start != part.read_start:
        return
    part.failures = 0
    part.read_sent_at = None
    part.first = max(part.first, event.first)
    if part.position is None:
        part.found.clear()
        part.partial.clear()
        part.position = event.next_offset
    else:
        for record in reversed(event.records):
            collect_part(state, part, record)
        part.position = part.read_start
    is_complete = {"catalogue", "claims"} <= part.found.keys()
    if is_complete or part.position <= part.first:
        part.search_at = None
        part.position = None
        found = part.found
        state.post(CheckpointsRead(found.get("catalogue"), found.get("claims")))
        return
    part.read_start = max(part.first, part.position - SEARCH_WINDOW_RECORDS)
    part.read_limit = part.position - part.read_start
    part.search_at = now


def collect_part(state: NodeState, part: Checkpoints, record: LogRecord) -> None:
    """Collect one part; the newest checkpoint with all parts valid is used.

    Records arrive from the newest to the oldest.
    """
    decoded = decode_part(record.data)
    if isinstance(decoded, Err):
        problem = str(decoded.err_value)
        state.log("PF5203", None, kind=STREAM, problem=problem)
        return
    checkpoint_part = decoded.ok_value
    if checkpoint_part.stream in part.found:
        return
    collected_parts = part.partial.setdefault(checkpoint_part.checkpoint_id, {})
    collected_parts[checkpoint_part.number] = checkpoint_part
    if len(collected_parts) == checkpoint_part.parts:
        bodies = tuple(
            collected_parts[index].body for index in range(checkpoint_part.parts)
        )
        part.found[checkpoint_part.stream] = Checkpoint(checkpoint_part.offset, bodies)


# The writer.


def write_next(state: NodeState, part: Checkpoints, now: float) -> None:
    """Append the next part, or start a checkpoint if one is due.

    Drops the parts still to be appended if this node is not the writer.
    """
    if (
        choose_host("checkpoints", all_live_hosts(state)) != state.me.host
        or state.draining
    ):
        part.writer_since = None
        part.parts.clear()
        part.appended_at = None
        return
    if part.writer_since is None:
        part.writer_since = now
    if part.parts:
        sent_at = part.appended_at
        if sent_at is not None and now < sent_at + APPEND_TIMEOUT_S:
            return
        if now >= part.append_at:
            part.appended_at = now
            record_id, data = part.parts[0]
            state.emit(AppendLog(STREAM, record_id, data))
        return
    if now < part.writer_since + WRITER_START_DELAY_S:
        return
    fold = state.part(CatalogueFold)
    if fold.is_known and is_checkpoint_due(part, fold.reader, now):
        start_checkpoint(state, part, "catalogue", fold.reader.next_offset, now)
        return
    claims = state.part(Claims)
    if claims.reader.caught_up_at is not None and is_checkpoint_due(
        part, claims.reader, now
    ):
        expire_claims(state, claims, now)
        start_checkpoint(state, part, "claims", claims.reader.next_offset, now)


def is_checkpoint_due(part: Checkpoints, reader: StreamReader, now: float) -> bool:
    """Return whether a new checkpoint of a stream is due."""
    if reader.needs_start or reader.caught_up_at is None:
        return False
    written = part.written.get(reader.stream)
    if written is None:
        return True
    offset, at = written
    limit = CHECKPOINT_RECORDS_MAX
    if reader.first_offset > 0:
        retained = reader.next_offset - reader.first_offset
        limit = min(limit, max(1, int(retained * RENEWAL_FRACTION)))
    return now >= at + CHECKPOINT_PERIOD_S or reader.next_offset - offset >= limit


def start_checkpoint(
    state: NodeState, part: Checkpoints, kind: str, offset: int, now: float
) -> None:
    checkpoint_id = state.new_id("cp")
    bodies = (
        catalogue_bodies(state) if kind == "catalogue" else claim_bodies(state, now)
    )
    for index, body in enumerate(bodies):
        checkpoint_part = CheckpointPart(
            kind, checkpoint_id, offset, index, len(bodies), body
        )
        part.parts.append((f"{checkpoint_id}-{index}", encode_part(checkpoint_part)))
    part.written[kind] = (offset, now)
    state.log("PF5202", None, kind=kind, offset=offset, parts=len(bodies))


def catalogue_bodies(state: NodeState) -> list[bytes]:
    fold = state.part(CatalogueFold)
    body = CatalogueSnapshot(fold.reader.next_offset, -1, tuple(state.entries.values()))
    data = encode_state(body)
    size = PART_MAX_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]


def claim_bodies(state: NodeState, now: float) -> list[bytes]:
    """Return all claims as bodies of checkpoint parts that the log accepts."""
    bodies = []
    rows: list[tuple[bytes, ClaimRow]] = []
    size = 0
    for item in state.part(Claims).rows.items():
        cost = 200 + len(item[1].body)
        if rows and (size + cost > PART_MAX_BYTES or len(rows) >= ROWS_PER_PART):
            bodies.append(encode_rows(rows, now))
            rows, size = [], 0
        rows.append(item)
        size += cost
    bodies.append(encode_rows(rows, now))
    return bodies


def expire_claims(state: NodeState, claims: Claims, now: float) -> None:
    """Expire claims that are older than the horizon, on all nodes.

    A record in the log makes all nodes expire them at the same offset. A node that
    dropped a key earlier than others could accept a second claim as the first.
    """
    limit_s = state.settings.claim_horizon_s * CLAIM_EXPIRY_FACTOR
    below = 0
    for row in claims.rows.values():
        if now - row.first_read_at > limit_s:
            below = max(below, row.first_claim + 1)
    if below > claims.expired_below:
        claims.queue.append(Expire(below))


@on_event.register
def _(event: LogAppended, state: NodeState, now: float) -> None:
    part = state.part(Checkpoints)
    if event.stream == STREAM and part.parts:
        if part.parts[0][0] == event.record_id:
            part.parts.pop(0)
            part.appended_at = None
            part.append_at = now


@on_event.register
def _(event: LogAppendFailed, state: NodeState, now: float) -> None:
    part = state.part(Checkpoints)
    if event.stream == STREAM and part.parts:
        if part.parts[0][0] == event.record_id:
            # The append is retried: a part that is in the log twice is used once.
            part.appended_at = None
            part.append_at = now + APPEND_RETRY_S * (0.5 + state.rng.random())
