"""Limits of entries and of the link between regions, by fixed shares.

Each node may use its own share of a limit and nothing else, so that the sum
over all nodes holds whoever is cut off, restarted or owned twice. After a
change of a limit the smaller of the old and the new share holds for 5 s, the
time within which every reachable node learns of the change.
"""

from collections import deque
from functools import singledispatch
from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.events import CallEnded, EntryInForce
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
    "take_call",
    "take_link",
]

CHANGE_HOLD_S = 5.0
COST_WINDOW_S = 60.0
# The bucket rate plus a full bucket stay below the link rate over any second:
# half of the rate flows steadily, 0.4 s of the rate may come at once, and the
# rest is left to traffic between nodes.
LINK_SUSTAINED_SHARE = 0.5
LINK_BURST_S = 0.4


class ShareRow(NamedTuple):
    """This node's use of one entry's limits.

    ``ceiling`` is the largest number of calls that may be open: the share, or
    what was open when the share was lowered.
    """

    limits: EntryLimits
    previous: EntryLimits
    changed_at: float
    open_calls: int = 0
    ceiling: int = 0


class Bucket(NamedTuple):
    """A byte bucket: ``level`` bytes were available at ``at``."""

    level: float
    at: float


class LimitState:
    """Shares by entry, the calls that hold them and the byte buckets."""

    def __init__(self) -> None:
        self.shares: Table[str, ShareRow] = Table()
        self.holders: dict[str, str] = {}
        self.costs: dict[str, deque[tuple[float, int]]] = {}
        self.cost_sums: dict[str, int] = {}
        self.buckets: Table[str, Bucket] = Table()


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Do nothing; shares are computed when they are used."""


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return None: nothing waits for a limit."""
    return None


def integer_share(state: NodeState, limit: int) -> int:
    """Return this node's whole part of ``limit``; all parts add up to it.

    Domains come first, then the entry-host slots of each domain. The remainder
    goes to those that come first in the settings.
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


def smaller(old: int, new: int) -> int:
    """Return the stricter of two limits, of which zero means none."""
    return min(old, new) if old and new else old or new


def row_of(state: NodeState, now: float, entry: CatalogueEntry) -> ShareRow:
    """Return the share row of an entry, with changes of its limits noted."""
    part = state.part(LimitState)
    row = part.shares.get(entry.name)
    if row is None:
        row = part.shares.put(
            entry.name, ShareRow(entry.limits, entry.limits, now - CHANGE_HOLD_S)
        )
    if row.limits != entry.limits:
        row = part.shares.put(
            entry.name,
            row._replace(
                previous=in_force(row, now), limits=entry.limits, changed_at=now
            ),
        )
        state.log(
            "PF3301", None, entry=entry.name, concurrency=entry.limits.concurrency
        )
    return row


def in_force(row: ShareRow, now: float) -> EntryLimits:
    """Return the limits that hold at ``now``."""
    if now - row.changed_at >= CHANGE_HOLD_S:
        return row.limits
    pairs = zip(row.previous, row.limits, strict=True)
    return EntryLimits(*(smaller(old, new) for old, new in pairs))


@on_event.register
def _(event: EntryInForce, state: NodeState, now: float) -> None:
    entry = state.entries.get(event.name)
    if entry is not None:
        row_of(state, now, entry)


def take_call(
    state: NodeState, now: float, call_id: str
) -> Result[None, PoplarfoldError]:
    """Take a call's part of its entry's limits until the call ends."""
    part = state.part(LimitState)
    if call_id in part.holders:
        return Ok(None)
    call = state.calls[call_id]
    entry = state.entries[call.arrival.entry]
    row = row_of(state, now, entry)
    limits = in_force(row, now)
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
    part.holders[call_id] = entry.name
    part.shares.put(entry.name, row._replace(open_calls=row.open_calls + 1))
    return Ok(None)


def cost_in_window(part: LimitState, now: float, name: str) -> int:
    """Return the cost of the calls of the last minute."""
    costs = part.costs.get(name, deque())
    while costs and costs[0][0] <= now - COST_WINDOW_S:
        part.cost_sums[name] -= costs.popleft()[1]
    return part.cost_sums.get(name, 0)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    part = state.part(LimitState)
    name = part.holders.pop(event.call_id, None)
    if name is not None:
        row = part.shares[name]
        part.shares.put(name, row._replace(open_calls=row.open_calls - 1))


def take_link(
    state: NodeState,
    now: float,
    entry: CatalogueEntry,
    sent: int,
    received: int,
    only_look: bool = False,
) -> Result[None, PoplarfoldError]:
    """Take bytes of the link between regions, in both directions.

    ``received`` are the expected bytes of the answer. The entry's own limit
    holds for the sum of both. With ``only_look`` nothing is taken.
    """
    part = state.part(LimitState)
    rate = state.settings.link_bytes_per_s * state.settings.share
    wanted = {"sent": (rate, sent), "received": (rate, received)}
    limit = in_force(row_of(state, now, entry), now).cross_region_bytes_per_s
    if limit:
        own = limit * state.settings.share
        wanted[f"entry {entry.name}"] = (own, sent + received)
    levels: dict[str, float] = {}
    for name, (bucket_rate, amount) in wanted.items():
        burst = bucket_rate * LINK_BURST_S
        bucket = part.buckets.get(name, Bucket(burst, now))
        gained = (now - bucket.at) * bucket_rate * LINK_SUSTAINED_SHARE
        levels[name] = min(burst, bucket.level + gained)
        if levels[name] < amount:
            return Err(LinkBudgetError(f"{amount} B exceed the budget of {name}"))
    if only_look:
        return Ok(None)
    for name, (_, amount) in wanted.items():
        part.buckets.put(name, Bucket(levels[name] - amount, now))
    return Ok(None)


@invariant("limits-hold")
def check_shares(state: NodeState, now: float) -> str | None:
    """Check that open calls match their holders and no share is exceeded."""
    part = state.parts.get(LimitState)
    if not isinstance(part, LimitState):
        return None
    for name, row in part.shares.rows():
        if row.open_calls < 0:
            return f"entry {name} has {row.open_calls} open calls"
        share = row.open_calls
        if row.limits.concurrency:
            share = integer_share(state, in_force(row, now).concurrency)
        if row.open_calls > max(share, row.ceiling):
            return f"entry {name} has {row.open_calls} open calls of {share}"
        # What is open above a lowered share may only become less.
        ceiling = max(share, row.open_calls)
        if ceiling != row.ceiling:
            part.shares[name] = row._replace(ceiling=ceiling)
    for bucket_name, bucket in part.buckets.items():
        if bucket.level < 0:
            return f"the byte bucket {bucket_name} is below zero"
    return None
