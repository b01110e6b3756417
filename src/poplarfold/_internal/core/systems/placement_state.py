"""Calls that ask for a placement, and the leases that this node holds."""

import heapq
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.events import AttemptEnded, PlacementWanted
from poplarfold._internal.core.model import CatalogueEntry, Placement
from poplarfold._internal.core.state import Table

__all__ = [
    "AskRow",
    "HeldRow",
    "PlacementState",
]


class AskRow(NamedTuple):
    """A call that this node tries to place.

    ``cells`` are yet to be asked in this round, and ``waits`` what others have
    answered: (predicted wait, cell). ``waiting`` is true once the call waits at
    the owner of ``cell`` without a limit. ``probe`` numbers a request to another
    cell that was made meanwhile.
    """

    wanted: PlacementWanted
    entry: CatalogueEntry
    since: float
    number: int
    cells: tuple[Cell, ...]
    waits: tuple[tuple[int, int, Cell], ...] = ()
    cell: Cell | None = None
    owner: str = ""
    waiting: bool = False
    rounds: int = 0
    heard_at: float = 0.0
    next_at: float = 0.0
    probe: int = -1
    probe_cell: Cell | None = None
    probe_at: float = 0.0
    probes: int = 0
    last_code: str = ""
    last_detail: str = ""


class HeldRow(NamedTuple):
    """A lease that an attempt of this node uses."""

    call_id: str
    cell: Cell
    placement: Placement


class PlacementState:
    """The calls to place and the leases in use."""

    def __init__(self) -> None:
        self.asks: Table[str, AskRow] = Table()
        self.held: Table[str, HeldRow] = Table()
        self.owners: dict[Cell, str | None] = {}
        self.failed: dict[str, AttemptEnded] = {}
        self.silent: dict[str, float] = {}
        self.due: list[tuple[float, str]] = []
        self.order: dict[
            str,
            tuple[float, tuple[tuple[Cell, ...], tuple[Cell, ...], tuple[Cell, ...]]],
        ] = {}

    def put_ask(self, call_id: str, ask: AskRow) -> AskRow:
        """Replace a row and note when it needs a look."""
        heapq.heappush(self.due, (due_at(ask), call_id))
        return self.asks.put(call_id, ask)

    def first_due(self) -> tuple[float, str] | None:
        """Return the earliest time and call; outdated entries are dropped."""
        while self.due:
            at, call_id = self.due[0]
            ask = self.asks.get(call_id)
            if ask is not None and due_at(ask) == at:
                return self.due[0]
            heapq.heappop(self.due)
        return None


def due_at(ask: AskRow) -> float:
    """Return when a row needs a look."""
    return min(ask.next_at, ask.probe_at) if ask.waiting else ask.next_at
