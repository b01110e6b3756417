"""Limits of entries and of the link between regions, in fixed shares per node.

Each node may use only its own share of a limit, so that the sum over all nodes
stays within the limit even if nodes are partitioned, restart or own the same cell
twice. After a change of a limit the smaller of the old and the new share applies
for 5 s, the time within which every reachable node learns of the change.
"""

from collections import deque
from functools import singledispatch
from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.events import CallEnded, EntryRevisionApplied
from poplarfold._internal.core.invariants import invariant
from poplarfold._internal.core.model import CatalogueEntry, EntryLimits
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.exceptions import (
    LimitReachedError,
    LinkBudgetError,
    PoplarfoldError,
)

__all__ = [
    "LimitState",
    "integer_share",
    "next_wakeup",
    "on_event",
    "on_tick",
    "reserve_bytes",
    "reserve_call",
]

LIMIT_CHANGE_HOLD_S = 5.0
COST_WINDOW_S = 60.0
# The refill rate plus a full bucket stay below the link rate over any second: half
# of the rate is sustained, a burst may use 0.4 s of the rate, and the rest is left
# to traffic between nodes.
LINK_SUSTAINED_SHARE = 0.5
LINK_BURST_S = 0.4


class ShareRow(NamedTuple):
    """This node's use of one entry's limits.

    ``ceiling`` is the largest number of calls that may be open: the share, or the
    number of calls that were open when the share was lowered.
    """

    limits: EntryLimits
    previous: EntryLimits
    changed_at: float
    open_calls: int = 0
    ceiling: int = 0


class TokenBucket(NamedTuple):
    """A token bucket of bytes: ``level`` bytes were available at time ``at``."""

    level: float
    at: float


class LimitState:
    """Shares by entry, the entry of each counted call, and the byte buckets."""

    def __init__(self) -> None:
        self.shares: Table[str, ShareRow] = Table()
        self.entry_of_call: dict[str, str] = {}
        self.costs: dict[str, deque[tuple[float, int]]] = {}
        self.cost_sums: dict[str, int] = {}
        self.buckets: Table[str, TokenBucket] = Table()


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Do nothing: shares are computed when they are used."""


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return None: nothing waits for a limit."""
    return None


def integer_share(state: NodeState, limit: int) -> int:
    """Return this node's integer share of ``limit``; all shares add up to it.

    The limit is split over the domains and then over the entry-host slots of each
    domain. The remainder goes to the domains and slots that come first in the
    settings.
    """
    settings = state.settings
    for index, domain in enumerate(settings.domains):
        if domain.name != settings.domain:
            continue
        part, rest = divmod(limit, len(settings.domains))
        part += index < rest
        slots = max(1, domain.host_slots)
        own, rest = divmod(part, slots)
        return own + (settings.host_slot < rest) if settings.host_slot < slots else 0
    return 0


def stricter_limit(old: int, new: int) -> int:
    """Return the stricter of two limits; zero means no limit."""
    return min(old, new) if old and new else old or new


def share_row(state: NodeState, now: float, entry: CatalogueEntry) -> ShareRow:
    """Return the share row of an entry, updated if its limits have changed."""
    part = state.part(LimitState)
    row = part.shares.get(entry.name)
    if row is None:
        row = part.shares.put(
            entry.name, ShareRow(entry.limits, entry.limits, now - LIMIT_CHANGE_HOLD_S)
        )
    if row.limits != entry.limits:
        row = part.shares.put(
            entry.name,
            row._replace(
                previous=effective_limits(row, now), limits=entry.limits, changed_at=now
            ),
        )
        state.log(
            "PF3301", None, entry=entry.name, concurrency=entry.limits.concurrency
        )
    return row


def effective_limits(row: ShareRow, now: float) -> EntryLimits:
    """Return the limits that apply at ``now``."""
    if now - row.changed_at >= LIMIT_CHANGE_HOLD_S:
        return row.limits
    pairs = zip(row.previous, row.limits, strict=True)
    return EntryLimits(*(stricter_limit(old, new) for old, new in pairs))


@on_event.register
def _(event: EntryRevisionApplied, state: NodeState, now: float) -> None:
    entry = state.entries.get(event.name)
    if entry is not None:
        share_row(state, now, entry)


def reserve_call(
    state: NodeState, now: float, call_id: str
) -> Result[None, PoplarfoldError]:
    """Count a call against its entry's limits until the call ends."""
    part = state.part(LimitState)
    if call_id in part.entry_of_call:
        return Ok(None)
    call = state.calls[call_id]
    entry = state.entries[call.arrival.entry]
    row = share_row(state, now, entry)
    limits = effective_limits(row, now)
    if limits.concurrency:
        share = integer_share(state, limits.concurrency)
        if row.open_calls >= share:
            return Err(LimitReachedError(f"{row.open_calls} of {share} calls are open"))
    if limits.cost_per_minute:
        arrival = call.arrival
        tokens = arrival.prompt_tokens + arrival.max_outputs
        cost = entry.cost_per_call + -(-tokens * entry.cost_per_kilotoken // 1000)
        spent = cost_in_window(part, now, entry.name)
        share = integer_share(state, limits.cost_per_minute)
        if spent + cost > share:
            return Err(LimitReachedError(f"{spent} of {share} cost units are spent"))
        part.costs.setdefault(entry.name, deque()).append((now, cost))
        part.cost_sums[entry.name] = spent + cost
    part.entry_of_call[call_id] = entry.name
    part.shares.put(entry.name, row._replace(open_calls=row.open_calls + 1))
    return Ok(None)


def cost_in_window(part: LimitState, now: float, name: str) -> int:
    """Return the cost of the calls that started in the last minute."""
    costs = part.costs.get(name, deque())
    while costs and costs[0][0] <= now - COST_WINDOW_S:
        part.cost_sums[name] -= costs.popleft()[1]
    return part.cost_sums.get(name, 0)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    part = state.part(LimitState)
    name = part.entry_of_call.pop(event.call_id, None)
    if name is not None:
        row = part.shares[name]
        part.shares.put(name, row._replace(open_calls=row.open_calls - 1))


def reserve_bytes(
    state: NodeState,
    now: float,
    entry: CatalogueEntry,
    sent: int,
    received: int,
    dry_run: bool = False,
) -> Result[None, PoplarfoldError]:
    """Reserve bytes of the link between regions, in both directions.

    ``received`` is the expected size of the answer. The entry's own limit applies to
    the sum of both. With ``dry_run`` nothing is reserved.
    """
    part = state.part(LimitState)
    rate = state.settings.link_bytes_per_s * state.settings.share
    wanted = {"sent": (rate, sent), "received": (rate, received)}
    limit = effective_limits(share_row(state, now, entry), now).cross_region_bytes_per_s
    if limit:
        own = limit * state.settings.share
        wanted[f"entry {entry.name}"] = (own, sent + received)
    levels: dict[str, float] = {}
    for name, (bucket_rate, amount) in wanted.items():
        burst = bucket_rate * LINK_BURST_S
        bucket = part.buckets.get(name, TokenBucket(burst, now))
        gained = (now - bucket.at) * bucket_rate * LINK_SUSTAINED_SHARE
        levels[name] = min(burst, bucket.level + gained)
        if levels[name] < amount:
            return Err(LinkBudgetError(f"{amount} B exceed the budget of {name}"))
    if dry_run:
        return Ok(None)
    for name, (_, amount) in wanted.items():
        part.buckets.put(name, TokenBucket(levels[name] - amount, now))
    return Ok(None)


@invariant("limits-hold")
def check_shares(state: NodeState, now: float) -> str | None:
    """Check that no share is exceeded, and no call count or byte bucket is negative."""
    part = state.parts.get(LimitState)
    if not isinstance(part, LimitState):
        return None
    for name, row in part.shares.rows():
        if row.open_calls < 0:
            return f"entry {name} has {row.open_calls} open calls"
        share = row.open_calls
        if row.limits.concurrency:
            share = integer_share(state, effective_limits(row, now).concurrency)
        if row.open_calls > max(share, row.ceiling):
            return f"entry {name} has {row.open_calls} open calls of {share}"
        # The number of calls above a lowered share may only decrease.
        ceiling = max(share, row.open_calls)
        if ceiling != row.ceiling:
            part.shares[name] = row._replace(ceiling=ceiling)
    for bucket_name, bucket in part.buckets.items():
        if bucket.level < 0:
            return f"the byte bucket {bucket_name} is below zero"
    return None
