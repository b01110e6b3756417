"""The cells that a call asks, in order, and the byte budget of the way to them."""

from poplarfold._internal.core.cells import Cell, cell_count, owner_of
from poplarfold._internal.core.model import EntryKind
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import limits
from poplarfold._internal.core.systems.health import HealthState
from poplarfold._internal.core.systems.membership import live_hosts
from poplarfold._internal.core.systems.placement_state import AskRow, PlacementState
from poplarfold._internal.utils.rendezvous import ranked

__all__ = [
    "link_budget",
    "preferred_cells",
]

# How many cells a call asks in its domain, its region and other regions. Their
# number must not grow with the fleet.
CELLS_ASKED = (3, 3, 2)
# The order of the cells is worked out again after this time, since changes in
# other domains come without an event.
CELL_ORDER_S = 2.0
# Sizes for the byte budget of the link: one output of a stream, the digest of
# one block of the prompt, and the headers of the requests of one attempt.
OUTPUT_BYTES = 100
PREFIX_BYTES = 40
MESSAGE_BYTES = 2000


def preferred_cells(state: NodeState, now: float, ask: AskRow) -> tuple[Cell, ...]:
    """Return the cells that may serve a call, the best first."""
    part = state.part(PlacementState)
    service = ask.entry.identity.service
    known = part.order.get(service)
    if known is None or known[0] <= now:
        known = part.order[service] = (
            now + CELL_ORDER_S,
            cells_by_distance(state, service),
        )
    # Plain calls and retries never go to another region.
    local = ask.entry.kind is EntryKind.SERVICE or ask.wanted.excluded
    return known[1][0] + known[1][1] + (() if local else known[1][2])


def cells_by_distance(
    state: NodeState, service: str
) -> tuple[tuple[Cell, ...], tuple[Cell, ...], tuple[Cell, ...]]:
    """Return the cells to ask of this domain, of its region and of others."""
    settings = state.settings
    found: tuple[list[Cell], list[Cell], list[Cell]] = ([], [], [])
    for (domain, name), count in state.part(HealthState).counts.items():
        if name != service or not live_hosts(state, domain):
            continue
        distance = 0 if domain == settings.domain else 1
        if settings.region_of(domain) != settings.region:
            distance = 2
        found[distance].extend(
            Cell(domain, service, index) for index in range(cell_count(count))
        )
    # Equally good cells are asked in an order of this node's own, so that the
    # nodes of a domain do not all ask the same owner first.
    ordered = []
    for limit, cells in zip(CELLS_ASKED, found, strict=True):
        by_key = {cell.key: cell for cell in cells}
        row = [by_key[key] for key in ranked(state.me.host, by_key)]
        row.sort(key=lambda cell: owner_of(state, cell) != state.me.host)
        ordered.append(tuple(row[:limit]))
    return ordered[0], ordered[1], ordered[2]


def link_budget(
    state: NodeState, now: float, call_id: str, ask: AskRow, cell: Cell, look: bool
) -> bool:
    """Take the byte budget for a cell of another region, or only look at it."""
    if state.settings.region_of(cell.domain) == state.settings.region:
        return True
    arrival = state.calls[call_id].arrival
    sent = arrival.prompt_bytes + PREFIX_BYTES * len(arrival.prefixes) + MESSAGE_BYTES
    received = arrival.max_outputs * OUTPUT_BYTES + MESSAGE_BYTES
    return limits.take_link(state, now, ask.entry, sent, received, look).is_ok()
