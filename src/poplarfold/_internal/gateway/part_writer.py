"""Keeps the suspected parts of prompts in the store, as a relay of the region."""

import threading

from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.relay_link import RelayLink
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreClient, StoreTopic

__all__ = ["PartWriter"]

CHECK_PERIOD_S = 0.25
# After a failed call, and between two writes of the same node.
WRITE_PAUSE_S = 1.0


class PartWriter:
    """Ends blocks in time on each node, and writes suspicions that last as a relay.

    The two relays of a region wait for different times, so that mostly one writes.
    """

    def __init__(
        self,
        guard: PartGuard,
        store: StoreClient,
        relay_link: RelayLink,
        call_timeout_s: float,
        write_log: WriteLog,
    ) -> None:
        self.guard = guard
        self.store = store
        self.relay_link = relay_link
        self.call_timeout_s = call_timeout_s
        self.write_log = write_log
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("part-writer", self.run, self.write_log)

    def run(self) -> None:
        """Check periodically, until stopped."""
        while not self.stopping.wait(CHECK_PERIOD_S):
            self.guard.expire()
            if self.relay_link.is_relay() and not self.write():
                self.stopping.wait(WRITE_PAUSE_S)

    def write(self) -> bool:
        """Write what the store lacks; return whether there was nothing to write."""
        rows = self.guard.unstored()
        if rows and self.relay_link.choice.relay_rank > 0:
            self.stopping.wait(CHECK_PERIOD_S)
            rows = self.guard.unstored()
        for part, value in rows:
            result = self.store.put_keyed(
                StoreTopic.PARTS, part, value, self.call_timeout_s
            )
            if result.is_err():
                problem = str(result.unwrap_err())
                self.write_log("PF7203", None, {"part": part, "problem": problem})
                return False
        return not rows
