"""The catalogue: a fold over the log stream ``catalogue`` by offset.

The fold is the same on every node. A record is ignored if the revision that it
replaces is not current at its offset, so revisions only ever rise. When the log
does not respond, a node adopts the state of a peer that covers a higher offset;
both ways lead to the same state.
"""

import json
import math
from functools import singledispatch
from typing import NamedTuple

from result import Err

from poplarfold._internal.core.catalogue_codec import (
    CatalogueSnapshot,
    Change,
    decode_change,
    decode_state,
    encode_change,
    encode_state,
)
from poplarfold._internal.core.commands import AnswerOperator, AppendLog, SendPeer
from poplarfold._internal.core.entry_codec import decode_entry, entry_fields
from poplarfold._internal.core.events import (
    CheckpointsRead,
    EntryProposed,
    EntryRevisionApplied,
    LogAppended,
    LogAppendFailed,
    LogReadCompleted,
    LogReadFailed,
    LogRecord,
    NodePaused,
    PeerReceived,
)
from poplarfold._internal.core.invariants import invariant
from poplarfold._internal.core.log_reader import StreamReader
from poplarfold._internal.core.messages import (
    Ack,
    CatalogueState,
    CatalogueWanted,
    DomainSummary,
    Ping,
)
from poplarfold._internal.core.model import CatalogueEntry
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.core.systems import membership
from poplarfold._internal.exceptions import (
    LogUnavailableError,
    NodeNotReadyError,
    PoplarfoldError,
    RevisionConflictError,
)

__all__ = ["CatalogueFold", "next_wakeup", "on_event", "on_tick", "revision"]

STREAM = "catalogue"
# The client gives up on an unresponsive connection after this wait plus 2 s. The sum,
# and a read on a new connection after it, must fit into the 5 s within which a change
# has to be in force.
READ_WAIT_S = 2.0
PROPOSAL_TIMEOUT_S = 10.0
APPEND_RETRY_S = 0.3
# A node that is behind waits this long before it requests the catalogue from a peer,
# because the log usually delivers a change faster.
PEER_REQUEST_DELAY_S = 0.3
PEER_REQUEST_PERIOD_S = 0.5
PEERS_PER_REQUEST = 2
# A starting node waits this long for live peers that have not sent their revision.
PEER_REVISION_WAIT_S = 2.0


class ProposalRow(NamedTuple):
    """An operator's change that is being appended to the log.

    ``offset`` is -1 until the log confirms the append. ``may_exist`` is set if a
    response was lost, so that the record may be in the log.
    """

    request_id: str
    record_id: str
    name: str
    data: bytes
    since: float
    next_try_at: float | None
    offset: int = -1
    may_exist: bool = False


class CatalogueFold:
    """The position of the fold and the operators' changes in progress.

    ``is_known`` is set once the log has been read to its end or a peer has sent its
    state; a checkpoint alone is not enough.
    """

    def __init__(self) -> None:
        self.reader = StreamReader(STREAM, READ_WAIT_S)
        self.started_at: float | None = None
        self.revision = -1
        self.is_known = False
        self.is_log_failing = False
        self.peer_revision = -1
        self.peer_host: str | None = None
        self.behind_since: float | None = None
        self.request_from_peers_at = 0.0
        self.proposals: Table[str, ProposalRow] = Table()


def revision(state: NodeState) -> int:
    """Return the highest revision in force on this node, or -1."""
    return state.part(CatalogueFold).revision


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Read the stream, retry appends, request from peers and update readiness."""
    fold = state.part(CatalogueFold)
    if fold.started_at is None:
        fold.started_at = now
    fold.reader.tick(state, now)
    for record_id, row in fold.proposals.rows():
        if now >= row.since + PROPOSAL_TIMEOUT_S:
            time_out_proposal(state, fold, row)
        elif row.next_try_at is not None and now >= row.next_try_at:
            fold.proposals.put(record_id, row._replace(next_try_at=None))
            state.emit(AppendLog(STREAM, record_id, row.data))
    request_from_peers(state, fold, now)
    if not state.catalogue_ready and is_ready(state, fold, now):
        state.catalogue_ready = True
        state.log(
            "PF5001", None, revision=fold.revision, offset=fold.reader.next_offset
        )


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next read, retry, timeout or request to a peer."""
    fold = state.part(CatalogueFold)
    if fold.started_at is None:
        return now
    times = [fold.reader.due_at()]
    for row in fold.proposals.values():
        times.append(row.since + PROPOSAL_TIMEOUT_S)
        if row.next_try_at is not None:
            times.append(row.next_try_at)
    if needs_peers(fold):
        times.append(max(fold.request_from_peers_at, now))
    revision_wait_ends_at = fold.started_at + PEER_REVISION_WAIT_S
    if not state.catalogue_ready and fold.is_known and now < revision_wait_ends_at:
        times.append(revision_wait_ends_at)
    time = min(times)
    return None if time == math.inf else time


def needs_peers(fold: CatalogueFold) -> bool:
    """Return whether this node lacks a change that the log does not deliver."""
    is_log_unavailable = fold.reader.is_failing or fold.is_log_failing
    return fold.behind_since is not None or (not fold.is_known and is_log_unavailable)


def request_from_peers(state: NodeState, fold: CatalogueFold, now: float) -> None:
    """Request the catalogue from peers if the log does not deliver it."""
    if not needs_peers(fold) or now < fold.request_from_peers_at:
        return
    fold.request_from_peers_at = now + PEER_REQUEST_PERIOD_S * (
        0.75 + state.rng.random() / 2
    )
    hosts = [h for h in membership.all_live_hosts(state) if h != state.me.host]
    near = [
        h for h in membership.live_hosts(state, state.settings.domain) if h in hosts
    ]
    chosen = state.rng.sample(near or hosts, min(PEERS_PER_REQUEST, len(near or hosts)))
    if fold.behind_since is not None and fold.peer_host is not None:
        chosen = [fold.peer_host, *chosen[: PEERS_PER_REQUEST - 1]]
    for host in dict.fromkeys(chosen):
        state.emit(SendPeer(host, CatalogueWanted(fold.reader.next_offset - 1)))


def is_ready(state: NodeState, fold: CatalogueFold, now: float) -> bool:
    """Return whether this node's catalogue is at least as new as its peers'."""
    if not fold.is_known or fold.revision < fold.peer_revision:
        return False
    if fold.reader.caught_up_at is not None:
        return True
    started_at = fold.started_at if fold.started_at is not None else now
    all_responded = membership.have_all_domain_members_responded(state)
    return all_responded or now >= started_at + PEER_REVISION_WAIT_S


@on_event.register
def _(event: CheckpointsRead, state: NodeState, now: float) -> None:
    fold = state.part(CatalogueFold)
    fold.is_log_failing = False
    if not fold.reader.needs_start:
        return
    if event.catalogue is not None:
        decoded = decode_state(b"".join(event.catalogue.bodies))
        if isinstance(decoded, Err):
            problem = str(decoded.err_value)
            state.log("PF5203", None, kind=STREAM, problem=problem)
        else:
            adopt_state(state, fold, decoded.ok_value, "checkpoint")
    fold.reader.start(fold.reader.next_offset)


@on_event.register
def _(event: NodePaused, state: NodeState, now: float) -> None:
    state.part(CatalogueFold).reader.request_read(now)


@on_event.register
def _(event: LogReadCompleted, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    fold = state.part(CatalogueFold)
    records = fold.reader.on_read(event, now, state)
    if records is None:
        return
    for record in records:
        fold_catalogue_record(state, fold, record)
    if fold.reader.caught_up_at is not None:
        fold.is_known = True
    update_behind(fold)
    retry_unconfirmed_appends(fold, now)


@on_event.register
def _(event: LogReadFailed, state: NodeState, now: float) -> None:
    if event.stream == STREAM:
        state.part(CatalogueFold).reader.on_failure(event, now, state)


def fold_catalogue_record(
    state: NodeState, fold: CatalogueFold, record: LogRecord
) -> None:
    """Apply one record. The result must depend on the log alone."""
    change = decode_change(record.data)
    if isinstance(change, Err):
        state.log(
            "PF5003",
            None,
            stream=STREAM,
            offset=record.offset,
            problem=str(change.err_value),
        )
        return
    base, operator, entry = change.ok_value
    current = state.entries.get(entry.name)
    accepted = base == (current.revision if current else -1)
    if accepted:
        put_entry(state, fold, entry._replace(revision=record.offset))
        state.log(
            "PF5002",
            None,
            entry=entry.name,
            revision=record.offset,
            base=base,
            operator=operator,
        )
    row = fold.proposals.pop(record.record_id, None)
    if row is not None:
        answer_proposal(state, row, accepted)


def put_entry(state: NodeState, fold: CatalogueFold, entry: CatalogueEntry) -> None:
    state.entries.put(entry.name, entry)
    fold.revision = max(fold.revision, entry.revision)
    state.catalogue_revision = fold.revision
    state.post(EntryRevisionApplied(entry.name, entry.revision))


def update_behind(fold: CatalogueFold) -> None:
    if fold.revision >= fold.peer_revision:
        fold.behind_since = None


def retry_unconfirmed_appends(fold: CatalogueFold, now: float) -> None:
    """Retry appends whose response was lost if the log does not hold the record.

    A duplicate of the same change is harmless: if the first copy is in the log after
    all, the second replaces a revision that is no longer current.
    """
    for record_id, row in fold.proposals.rows():
        caught_up_at = fold.reader.caught_up_at
        is_unconfirmed = row.may_exist and row.next_try_at is None
        if is_unconfirmed and caught_up_at is not None and caught_up_at > row.since:
            fold.proposals.put(
                record_id, row._replace(next_try_at=now + APPEND_RETRY_S)
            )


@on_event.register
def _(event: EntryProposed, state: NodeState, now: float) -> None:
    fold = state.part(CatalogueFold)
    decoded = decode_entry(event.entry_json)
    if isinstance(decoded, Err):
        state.emit(AnswerOperator(event.request_id, decoded.err_value, b""))
        return
    if not state.catalogue_ready:
        error = NodeNotReadyError("the node has not loaded the catalogue yet")
        state.emit(AnswerOperator(event.request_id, error, b""))
        return
    entry = decoded.ok_value
    current = state.entries.get(entry.name)
    if current is not None and event.base_revision < current.revision:
        # Revisions only rise, so this change can never be accepted.
        state.emit(conflict(event.request_id, event.base_revision, current))
        return
    record_id = state.new_id("cat")
    data = encode_change(Change(event.base_revision, event.operator, entry))
    fold.proposals.put(
        record_id, ProposalRow(event.request_id, record_id, entry.name, data, now, None)
    )
    state.emit(AppendLog(STREAM, record_id, data))


@on_event.register
def _(event: LogAppended, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    fold = state.part(CatalogueFold)
    fold.reader.expect_record(event.offset, now)
    row = fold.proposals.get(event.record_id)
    if row is not None:
        fold.proposals.put(
            event.record_id, row._replace(offset=event.offset, next_try_at=None)
        )


@on_event.register
def _(event: LogAppendFailed, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    fold = state.part(CatalogueFold)
    row = fold.proposals.get(event.record_id)
    if row is None or row.offset >= 0:
        return
    if event.unknown:
        fold.proposals.put(event.record_id, row._replace(may_exist=True))
        fold.reader.request_read(now)
        return
    delay = APPEND_RETRY_S * (0.5 + state.rng.random())
    fold.proposals.put(event.record_id, row._replace(next_try_at=now + delay))


def answer_proposal(state: NodeState, row: ProposalRow, accepted: bool) -> None:
    """Report to the operator whether a change was accepted by the fold."""
    current = state.entries.get(row.name)
    if accepted and current is not None:
        state.emit(AnswerOperator(row.request_id, None, entry_body(current)))
        return
    base = json.loads(row.data)["base"]
    state.emit(conflict(row.request_id, base, current))


def conflict(
    request_id: str, base: int, current: CatalogueEntry | None
) -> AnswerOperator:
    """Return the revision conflict for a rejected change, with the current entry."""
    if current is None:
        error = RevisionConflictError(
            f"cannot replace revision {base}: the entry does not exist"
        )
        return AnswerOperator(request_id, error, b"{}")
    error = RevisionConflictError(
        f"entry {current.name!r} is at revision {current.revision}, not {base}"
    )
    return AnswerOperator(request_id, error, entry_body(current))


def entry_body(entry: CatalogueEntry) -> bytes:
    fields = {"revision": entry.revision, "entry": entry_fields(entry)}
    return json.dumps(fields, separators=(",", ":")).encode()


def time_out_proposal(state: NodeState, fold: CatalogueFold, row: ProposalRow) -> None:
    """Report to the operator that a change timed out."""
    del fold.proposals[row.record_id]
    waits_for_retry = row.next_try_at is not None
    if waits_for_retry and row.offset < 0 and not row.may_exist:
        text = "the log does not respond; the change was not made"
    else:
        text = "the log does not respond; the change may still take effect"
    error: PoplarfoldError = LogUnavailableError(text)
    state.emit(AnswerOperator(row.request_id, error, b""))


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    fold = state.part(CatalogueFold)
    message = event.message
    if isinstance(message, Ping | Ack | DomainSummary):
        record_peer_revision(state, fold, event.sender.host, message.revision, now)
    elif isinstance(message, CatalogueWanted):
        if fold.is_known and fold.reader.next_offset - 1 >= message.above_revision:
            reply = state_above(state, message.above_revision)
            state.emit(SendPeer(event.sender.host, reply))
    elif isinstance(message, CatalogueState):
        body = decode_state(message.body)
        if isinstance(body, Err):
            state.log("PF5006", None, peer=event.sender.host, problem=str(body.err()))
            return
        adopt_state(state, fold, body.ok_value, event.sender.host)


def record_peer_revision(
    state: NodeState, fold: CatalogueFold, host: str, seen: int, now: float
) -> None:
    if seen > fold.peer_revision:
        fold.peer_revision = seen
        fold.peer_host = host
    if seen > fold.revision and fold.behind_since is None:
        fold.behind_since = now
        fold.request_from_peers_at = max(
            fold.request_from_peers_at, now + PEER_REQUEST_DELAY_S
        )
        fold.reader.expect_record(seen, now)


def state_above(state: NodeState, above: int) -> CatalogueState:
    """Return the entries changed after offset ``above``, for a peer."""
    fold = state.part(CatalogueFold)
    entries = tuple(e for e in state.entries.values() if e.revision > above)
    body = CatalogueSnapshot(fold.reader.next_offset, above, entries)
    return CatalogueState(fold.reader.next_offset, encode_state(body))


def adopt_state(
    state: NodeState, fold: CatalogueFold, body: CatalogueSnapshot, source: str
) -> None:
    """Adopt the state of a peer or checkpoint that covers more of the log.

    Also answers the operators whose changes are at offsets that this node no longer
    reads.
    """
    if (
        body.offset < fold.reader.next_offset
        or body.above_revision > fold.reader.next_offset - 1
    ):
        return
    if body.offset == fold.reader.next_offset:
        # A peer confirms that the checkpoint of this node is as new as the peer's
        # catalogue.
        fold.is_known = fold.is_known or source != "checkpoint"
        return
    state.log("PF5007", None, source=source, offset=body.offset)
    if fold.reader.needs_start:
        # The search for checkpoints has not ended, so the reader has not started. It
        # will start at this offset.
        fold.reader.next_offset = body.offset
    else:
        fold.reader.seek(body.offset)
    fold.is_known = fold.is_known or source != "checkpoint"
    for entry in body.entries:
        current = state.entries.get(entry.name)
        if current is None or entry.revision > current.revision:
            put_entry(state, fold, entry)
    update_behind(fold)
    for record_id, row in fold.proposals.rows():
        # Records below the new position are not read.
        if 0 <= row.offset < body.offset:
            del fold.proposals[record_id]
            found = state.entries.get(row.name)
            if found is not None and found.revision == row.offset:
                answer_proposal(state, row, True)
            else:
                answer_skipped_proposal(state, row)


def answer_skipped_proposal(state: NodeState, row: ProposalRow) -> None:
    current = state.entries.get(row.name)
    error = LogUnavailableError(
        "the outcome of the change is unknown; see the current revision of the entry"
    )
    body = entry_body(current) if current is not None else b""
    state.emit(AnswerOperator(row.request_id, error, body))


class HighestRevisions:
    """The highest revisions that the invariant check has seen so far."""

    def __init__(self) -> None:
        self.highest = -1
        self.count = 0
        self.by_name: dict[str, int] = {}


@invariant("catalogue-in-force")
def check_revisions_never_fall(state: NodeState, now: float) -> str | None:
    """Check that neither the catalogue nor an entry reverts."""
    previous = state.part(HighestRevisions)
    if state.catalogue_revision == previous.highest:
        if len(state.entries) == previous.count:
            return None
    if state.catalogue_revision < previous.highest:
        return f"revision {previous.highest} fell to {state.catalogue_revision}"
    for name, revision in previous.by_name.items():
        entry = state.entries.get(name)
        if entry is None or entry.revision < revision:
            return f"entry {name} reverted below revision {revision}"
    if state.part(CatalogueFold).is_known:
        previous.highest = state.catalogue_revision
        previous.count = len(state.entries)
        previous.by_name = {n: e.revision for n, e in state.entries.items()}
    return None
