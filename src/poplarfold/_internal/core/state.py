"""The state of one node: tables of rows, and the queues between systems."""

import random
from collections import deque
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from poplarfold._internal.core.commands import Log
from poplarfold._internal.core.events import CallArrived
from poplarfold._internal.core.model import (
    CatalogueEntry,
    HostKey,
    Identity,
    Placement,
)
from poplarfold._internal.settings import NodeSettings

__all__ = ["AttemptRow", "CallRow", "CancelRow", "NodeState", "Table"]

K = TypeVar("K")
R = TypeVar("R")
T = TypeVar("T")


class Table(dict[K, R], Generic[K, R]):
    """Rows of one entity by key. Rows are immutable; ``put`` replaces one.

    Iteration order is insertion order, so that runs with one seed are equal.
    """

    def put(self, key: K, row: R) -> R:
        """Insert or replace a row and return it."""
        self[key] = row
        return row

    def rows(self) -> Iterator[tuple[K, R]]:
        """Iterate over a copy, so that rows may change on the way."""
        return iter(list(self.items()))


class CallRow(NamedTuple):
    """One call of a caller of this node. Owned by the ``calls`` system.

    ``phase`` is one of claiming, placing, running. ``outputs`` counts outputs
    already passed on to the caller.
    """

    arrival: CallArrived
    arrived_at: float
    phase: str
    attempt_id: str | None = None
    attempts: int = 0
    outputs: int = 0
    operation_id: str | None = None
    fencing: int = -1
    sent: bool = False
    excluded: tuple[str, ...] = ()
    last_error: Exception | None = None


class AttemptRow(NamedTuple):
    """One attempt. ``state`` is running, prefilled, streaming or ended."""

    call_id: str
    placement: Placement
    identity: Identity
    started_at: float
    state: str = "running"
    first_output_at: float | None = None


class CancelRow(NamedTuple):
    """A cancel that the endpoint has not confirmed yet."""

    attempt_id: str
    address: str
    incarnation: int
    since: float
    next_try_at: float
    tries: int


class NodeState:
    """All tables of one node, the settings and the queues of one step.

    Each table belongs to one system, which alone writes to it. ``private``
    holds the objects of systems that need more than a table: a system
    creates its own with ``state.part(SystemState)``.
    """

    def __init__(self, settings: NodeSettings, incarnation: int, seed: int) -> None:
        self.settings = settings
        self.me = HostKey(settings.host, incarnation)
        self.rng = random.Random(seed)
        self.inbox: deque[NamedTuple] = deque()
        self.outbox: list[NamedTuple] = []
        self.calls: Table[str, CallRow] = Table()
        self.attempts: Table[str, AttemptRow] = Table()
        self.cancels: Table[tuple[str, str], CancelRow] = Table()
        self.entries: Table[str, CatalogueEntry] = Table()
        self.draining = False
        # What a system still has to finish before a drained process may end.
        self.stop_holds: set[str] = set()
        self.catalogue_ready = False
        self.catalogue_revision = -1
        self.sequence = 0
        self.parts: dict[type, object] = {}

    def part(self, kind: type[T]) -> T:
        """Return the node's instance of a system's own state type."""
        found = self.parts.get(kind)
        if found is None:
            found = self.parts[kind] = kind()
        return found  # type: ignore[return-value]

    def post(self, event: NamedTuple) -> None:
        """Queue an event for all systems, handled within this step."""
        self.inbox.append(event)

    def emit(self, command: NamedTuple) -> None:
        """Queue a command for I/O."""
        self.outbox.append(command)

    def log(self, number: str, call_id: str | None = None, **fields: object) -> None:
        """Write a numbered event of the catalogue in ``docs/events.md``."""
        self.emit(Log(number, call_id, fields))

    def new_id(self, kind: str) -> str:
        """Return an id that no other process and no other incarnation uses."""
        self.sequence += 1
        return f"{kind}-{self.me.host}-{self.me.incarnation:x}-{self.sequence:x}"
