"""Batches of claims and outcomes that are appended to the log."""

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
    "APPEND_INTERVAL_MAX_S",
    "APPEND_TIMEOUT_S",
    "append_batch",
    "requeue",
    "settle_append",
]

BATCH_MAX_OPERATIONS = 500
# A larger operation is appended alone. The log accepts records of at most 1 MB.
BATCH_MAX_BYTES = 400_000
APPENDS_IN_FLIGHT = 4
# The log accepts several hundred appends a second in total. The nodes divide this
# lower rate evenly among them, so that a burst is not refused.
FLEET_APPENDS_PER_S = 250.0
APPEND_INTERVAL_MAX_S = 1.0
# Above the 1.6 s that a fleet of 400 nodes needs, and below the 3 s that a call
# waits for its claim.
FAIR_APPEND_INTERVAL_MAX_S = 2.0
# After this time without a response, the outcome of an append is unknown and is
# determined by reading the stream.
APPEND_TIMEOUT_S = 5.0


def append_batch(state: NodeState, part: Claims, now: float) -> None:
    """Append queued operations, within this node's part of the log's rate.

    The longer the interval, the more calls share one record, so the delay grows
    with the load on the log and not with the number of calls.
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
    """Return this node's minimum time between appends, in seconds."""
    nodes = len(membership.all_live_hosts(state))
    return min(FAIR_APPEND_INTERVAL_MAX_S, max(1, nodes) / FLEET_APPENDS_PER_S)


def settle_append(part: Claims, record_id: str, row: AppendRow, now: float) -> None:
    """Queue a batch again if its outcome is unknown and the log does not hold it.

    The log is read to its end first. A duplicate that appears later is harmless: only
    the first claim on a key counts, and if the duplicate is the first, its owner
    releases it on reading it.
    """
    if row.offset >= 0:
        return
    if row.unknown_since is None:
        if now >= row.sent_at + APPEND_TIMEOUT_S:
            part.appends.put(record_id, row._replace(unknown_since=now))
            part.reader.request_read(now)
        return
    caught_up_at = part.reader.caught_up_at
    if caught_up_at is not None and caught_up_at > row.unknown_since:
        del part.appends[record_id]
        requeue(part, row)


def requeue(part: Claims, row: AppendRow) -> None:
    """Put operations back at the front, except claims that no call waits for."""
    part.queue[:0] = [o for o in row.operations if is_needed(part, o)]


def is_needed(part: Claims, operation: Operation) -> bool:
    if isinstance(operation, Claim | TakeOver):
        pending = part.pending.get(operation.digest)
        return pending is not None and is_claim_of(operation, operation.digest, pending)
    return True
