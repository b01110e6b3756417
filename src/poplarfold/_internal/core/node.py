"""One node's decisions, without sockets, threads or a clock of its own."""

from collections.abc import Iterable
from types import ModuleType
from typing import NamedTuple

from poplarfold._internal.core import invariants
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import ALL_SYSTEMS
from poplarfold._internal.settings import NodeSettings

__all__ = ["Node"]


class Node:
    """The core of one daemon.

    Feed it events with the present time and carry out the commands that it
    returns. It needs another step when ``next_wakeup`` is due.

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
        """Handle events and timers, and return the commands that follow.

        ``now`` is in seconds of the runtime's monotonic clock and must not go
        back. Raises InvariantViolation if ``strict_invariants`` is set.
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
