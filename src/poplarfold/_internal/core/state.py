"""The state of one node: its tables, and the event and command queues."""

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
    """A table of immutable rows of one type, by key.

    Iteration is in insertion order, so that runs with the same seed are identical.
    """

    def put(self, key: K, row: R) -> R:
        """Insert or replace a row and return it."""
        self[key] = row
        return row

    def rows(self) -> Iterator[tuple[K, R]]:
        """Iterate over a copy of the rows, so that the table may change meanwhile."""
        return iter(list(self.items()))


class CallRow(NamedTuple):
    """One call received by this node. Written only by the ``calls`` system.

    ``phase`` is claiming, placing, running or retrying. ``outputs`` is the number of
    outputs already forwarded to the caller.
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
    """A cancel that the endpoint has not yet confirmed."""

    attempt_id: str
    address: str
    incarnation: int
    since: float
    next_try_at: float
    tries: int


class NodeState:
    """The tables and settings of one node, and the queues of one step.

    Only one system writes to each table. ``me`` identifies this process. ``parts``
    holds the private state objects of systems that need more than a table. A
    system creates and gets its own with ``state.part(SystemState)``.
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
        # Names of the systems that must finish before a drained process may end.
        self.stop_blockers: set[str] = set()
        self.catalogue_ready = False
        self.catalogue_revision = -1
        self.sequence = 0
        self.parts: dict[type, object] = {}

    def part(self, kind: type[T]) -> T:
        """Return this node's instance of a system's state type; create it if needed."""
        found = self.parts.get(kind)
        if found is None:
            found = self.parts[kind] = kind()
        return found  # type: ignore[return-value]

    def post(self, event: NamedTuple) -> None:
        """Queue an event for all systems, which handle it within this step."""
        self.inbox.append(event)

    def emit(self, command: NamedTuple) -> None:
        """Queue a command for the I/O layer."""
        self.outbox.append(command)

    def log(self, number: str, call_id: str | None = None, **fields: object) -> None:
        """Write a numbered event of the catalogue in ``docs/events.md``."""
        self.emit(Log(number, call_id, fields))

    def new_id(self, kind: str) -> str:
        """Return an id that is unique across all hosts and incarnations."""
        self.sequence += 1
        return f"{kind}-{self.me.host}-{self.me.incarnation:x}-{self.sequence:x}"
