"""The cells that a call tries, in order, and the byte budget of the region link."""

from poplarfold._internal.core.cells import Cell, cell_count, owner_of
from poplarfold._internal.core.model import EntryKind
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import limits
from poplarfold._internal.core.systems.health import HealthState
from poplarfold._internal.core.systems.membership import live_hosts
from poplarfold._internal.core.systems.placement_state import PlacementState, RequestRow
from poplarfold._internal.utils.rendezvous import rank_hosts

__all__ = [
    "preferred_cells",
    "reserve_link_bytes",
]

# At most this many cells of the domain, the region and other regions are tried
# per call. The number must not grow with the fleet.
CELLS_PER_CALL_MAX = (3, 3, 2)
# The order of the cells is recomputed after this time, because changes in other
# domains raise no event.
CELL_ORDER_TTL_S = 2.0
# Estimated sizes for the byte budget of the link: one output of a stream, the
# digest of one prompt block, and the request headers of one attempt.
OUTPUT_BYTES = 100
PREFIX_DIGEST_BYTES = 40
MESSAGE_BYTES = 2000


def preferred_cells(
    state: NodeState, now: float, request: RequestRow
) -> tuple[Cell, ...]:
    """Return the cells that may serve a call, best first."""
    part = state.part(PlacementState)
    service = request.entry.identity.service
    cached = part.cell_orders.get(service)
    if cached is None or cached[0] <= now:
        cached = part.cell_orders[service] = (
            now + CELL_ORDER_TTL_S,
            cells_by_distance(state, service),
        )
    # Service calls and retries never go to another region.
    local = request.entry.kind is EntryKind.SERVICE or request.event.excluded
    return cached[1][0] + cached[1][1] + (() if local else cached[1][2])


def cells_by_distance(
    state: NodeState, service: str
) -> tuple[tuple[Cell, ...], tuple[Cell, ...], tuple[Cell, ...]]:
    """Return the cells to try in this domain, its region and other regions."""
    settings = state.settings
    found: tuple[list[Cell], list[Cell], list[Cell]] = ([], [], [])
    for (domain, name), count in state.part(HealthState).endpoint_counts.items():
        if name != service or not live_hosts(state, domain):
            continue
        distance = 0 if domain == settings.domain else 1
        if settings.region_of(domain) != settings.region:
            distance = 2
        found[distance].extend(
            Cell(domain, service, index) for index in range(cell_count(count))
        )
    # Each node tries equally good cells in an order of its own, so that the nodes
    # of a domain do not all ask the same owner first.
    ordered = []
    for limit, cells in zip(CELLS_PER_CALL_MAX, found, strict=True):
        by_key = {cell.key: cell for cell in cells}
        preferred = [by_key[key] for key in rank_hosts(state.me.host, by_key)]
        preferred.sort(key=lambda cell: owner_of(state, cell) != state.me.host)
        ordered.append(tuple(preferred[:limit]))
    return ordered[0], ordered[1], ordered[2]


def reserve_link_bytes(
    state: NodeState,
    now: float,
    call_id: str,
    request: RequestRow,
    cell: Cell,
    dry_run: bool,
) -> bool:
    """Reserve bytes of the link to another region for a call.

    Returns whether the byte budget suffices, which is always true for a cell in
    this region. With ``dry_run`` nothing is reserved.
    """
    if state.settings.region_of(cell.domain) == state.settings.region:
        return True
    arrival = state.calls[call_id].arrival
    sent = (
        arrival.prompt_bytes
        + PREFIX_DIGEST_BYTES * len(arrival.prefixes)
        + MESSAGE_BYTES
    )
    received = arrival.max_outputs * OUTPUT_BYTES + MESSAGE_BYTES
    return limits.reserve_bytes(
        state, now, request.entry, sent, received, dry_run
    ).is_ok()
