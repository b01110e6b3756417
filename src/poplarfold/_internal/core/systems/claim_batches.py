"""Batches of claims and outcomes on their way into the log."""

from poplarfold._internal.core.claims_codec import (
    Batch,
    Claim,
    Done,
    Operation,
    TakeOver,
    encode_batch,
)
from poplarfold._internal.core.commands import AppendLog
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import membership
from poplarfold._internal.core.systems.claim_state import (
    STREAM,
    AppendRow,
    Claims,
    is_claim_of,
)

__all__ = [
    "APPENDS_IN_FLIGHT",
    "APPEND_TIMEOUT_S",
    "INTERVAL_MAX_S",
    "append_batch",
    "requeue",
    "settle_append",
]

BATCH_MAX_OPERATIONS = 500
BATCH_MAX_BYTES = 400_000
APPENDS_IN_FLIGHT = 4
# The log takes several hundred appends a second in total; the nodes share this
# many, each up to its part, so that a burst is not refused.
FLEET_APPENDS_PER_S = 250.0
INTERVAL_MAX_S = 1.0
# Above the 1.6 s of 400 nodes, below the 3 s that a call waits for its claim.
FAIR_INTERVAL_MAX_S = 2.0
# An append without any answer for this long is settled by reading.
APPEND_TIMEOUT_S = 5.0


def append_batch(state: NodeState, part: Claims, now: float) -> None:
    """Append what waits, within this node's part of the log's rate.

    The longer the interval, the more calls share one record, so the delay
    grows with the load and not with the number of calls.
    """
    if len(part.appends) >= APPENDS_IN_FLIGHT:
        return
    taken: list[Operation] = []
    size = 0
    for operation in part.queue[:BATCH_MAX_OPERATIONS]:
        cost = 64 + (len(operation.body) if isinstance(operation, Done) else 0)
        if taken and size + cost > BATCH_MAX_BYTES:
            break
        taken.append(operation)
        size += cost
    del part.queue[: len(taken)]
    record_id = state.new_id("cl")
    part.appends.put(record_id, AppendRow(tuple(taken), now))
    part.append_at = now + max(part.interval_s, fair_interval(state))
    data = encode_batch(Batch(state.me, tuple(taken)))
    state.emit(AppendLog(STREAM, record_id, data))


def fair_interval(state: NodeState) -> float:
    """Return the seconds between appends that this node's part allows."""
    nodes = len(membership.all_live_hosts(state))
    return min(FAIR_INTERVAL_MAX_S, max(1, nodes) / FLEET_APPENDS_PER_S)


def settle_append(part: Claims, record_id: str, row: AppendRow, now: float) -> None:
    """Append again what a read to the log's end does not show.

    A copy that turns up later is harmless: a second claim of an operation is
    not the first one, or is released when its owner reads it.
    """
    if row.offset >= 0:
        return
    if row.doubt_since is None:
        if now >= row.sent_at + APPEND_TIMEOUT_S:
            part.appends.put(record_id, row._replace(doubt_since=now))
            part.reader.refresh(now)
        return
    caught_up_at = part.reader.caught_up_at
    if caught_up_at is not None and caught_up_at > row.doubt_since:
        del part.appends[record_id]
        requeue(part, row)


def requeue(part: Claims, row: AppendRow) -> None:
    """Put operations back to the front, without claims nobody waits for."""
    part.queue[:0] = [o for o in row.operations if is_wanted(part, o)]


def is_wanted(part: Claims, operation: Operation) -> bool:
    if isinstance(operation, Claim | TakeOver):
        pending = part.pending.get(operation.digest)
        return pending is not None and is_claim_of(operation, operation.digest, pending)
    return True
