"""A clock that moves as a thread waits, so that pauses are exact on any machine."""

import threading
from collections.abc import Callable

__all__ = ["VirtualClock", "VirtualEvent"]


class VirtualClock:
    """A clock in seconds. ``on_step`` is called with each step of a wait.

    Only one thread may wait.
    """

    def __init__(self, step_s: float, on_step: Callable[[], None]) -> None:
        self.now = 100.0
        self.step_s = step_s
        self.on_step = on_step

    def __call__(self) -> float:
        return self.now

    def advance(self, duration_s: float) -> None:
        self.now += duration_s
        self.on_step()


class VirtualEvent(threading.Event):
    """An event whose waits move a clock instead of taking time."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self.clock = clock

    def wait(self, timeout: float | None = None) -> bool:
        """Wait like ``threading.Event.wait``. There must be a timeout."""
        assert timeout is not None
        until = self.clock.now + timeout
        while not self.is_set() and self.clock.now < until:
            self.clock.advance(min(self.clock.step_s, until - self.clock.now))
        return self.is_set()
