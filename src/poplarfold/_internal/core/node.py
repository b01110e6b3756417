"""The decision core of one node, without sockets, threads or a clock."""

from collections.abc import Iterable
from types import ModuleType
from typing import NamedTuple

from poplarfold._internal.core import invariants
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import ALL_SYSTEMS
from poplarfold._internal.settings import NodeSettings

__all__ = ["Node"]


class Node:
    """The decision core of one daemon.

    ``step`` takes events and the current time, and returns the commands that the
    caller must carry out. Another step is needed at ``next_wakeup``.

        node = Node(settings, incarnation=1, seed=7)
        commands = node.step(now=0.0, events=[])
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        seed: int,
        systems: tuple[ModuleType, ...] = ALL_SYSTEMS,
    ) -> None:
        self.state = NodeState(settings, incarnation, seed)
        self.systems = systems

    def step(self, now: float, events: Iterable[NamedTuple]) -> list[NamedTuple]:
        """Handle events and timers, and return the resulting commands.

        ``now`` is in seconds of the runtime's monotonic clock and must not
        decrease. If ``strict_invariants`` is set, raises InvariantViolationError on a
        violated invariant.
        """
        state = self.state
        state.inbox.extend(events)
        self._drain_inbox(now)
        for system in self.systems:
            system.on_tick(state, now)
            self._drain_inbox(now)
        invariants.check(state, now)
        commands, state.outbox = state.outbox, []
        return commands

    def next_wakeup(self, now: float) -> float | None:
        """Return the earliest time at which a system needs a step."""
        times = [system.next_wakeup(self.state, now) for system in self.systems]
        return min((time for time in times if time is not None), default=None)

    def _drain_inbox(self, now: float) -> None:
        inbox = self.state.inbox
        while inbox:
            event = inbox.popleft()
            for system in self.systems:
                system.on_event(event, self.state, now)
