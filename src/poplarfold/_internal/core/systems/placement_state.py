"""Placement requests of this node's calls, and the leases that it holds."""

import heapq
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.events import AttemptEnded, PlacementRequested
from poplarfold._internal.core.model import CatalogueEntry, Placement
from poplarfold._internal.core.state import Table

__all__ = [
    "HeldLease",
    "PlacementState",
    "RequestRow",
]


class RequestRow(NamedTuple):
    """The placement request of a call.

    ``cells`` are the cells still to try in this round. ``predicted_waits`` are the
    answers of busy cells: wait in milliseconds, position in the round and cell.
    ``waiting`` is true once the call waits in the queue of the owner of ``cell``.
    ``number`` identifies the request to ``cell``, and ``probe_number`` the open
    probe of ``probe_cell``, or -1 if there is none.
    """

    event: PlacementRequested
    entry: CatalogueEntry
    since: float
    number: int
    cells: tuple[Cell, ...]
    predicted_waits: tuple[tuple[int, int, Cell], ...] = ()
    cell: Cell | None = None
    owner: str = ""
    waiting: bool = False
    rounds: int = 0
    last_answer_at: float = 0.0
    next_try_at: float = 0.0
    probe_number: int = -1
    probe_cell: Cell | None = None
    next_probe_at: float = 0.0
    probe_count: int = 0
    last_code: str = ""
    last_detail: str = ""


class HeldLease(NamedTuple):
    """A lease in use by an attempt of this node."""

    call_id: str
    cell: Cell
    placement: Placement


class PlacementState:
    """The calls to place and the leases in use.

    ``unresponsive_until`` holds the end of the cooldown of each owner that timed
    out. ``due`` is a heap of (time, call id) with outdated entries, and
    ``cell_orders`` caches the cells to try by service, with the expiry time.
    """

    def __init__(self) -> None:
        self.requests: Table[str, RequestRow] = Table()
        self.held_leases: Table[str, HeldLease] = Table()
        self.owners: dict[Cell, str | None] = {}
        self.ended_attempts: dict[str, AttemptEnded] = {}
        self.unresponsive_until: dict[str, float] = {}
        self.due: list[tuple[float, str]] = []
        self.cell_orders: dict[
            str,
            tuple[float, tuple[tuple[Cell, ...], tuple[Cell, ...], tuple[Cell, ...]]],
        ] = {}

    def put_request(self, call_id: str, request: RequestRow) -> RequestRow:
        """Replace a row and schedule its next processing."""
        heapq.heappush(self.due, (due_at(request), call_id))
        return self.requests.put(call_id, request)

    def first_due(self) -> tuple[float, str] | None:
        """Return the earliest due time and call, and drop outdated heap entries."""
        while self.due:
            at, call_id = self.due[0]
            request = self.requests.get(call_id)
            if request is not None and due_at(request) == at:
                return self.due[0]
            heapq.heappop(self.due)
        return None


def due_at(request: RequestRow) -> float:
    """Return when a request has to be processed."""
    return (
        min(request.next_try_at, request.next_probe_at)
        if request.waiting
        else request.next_try_at
    )
