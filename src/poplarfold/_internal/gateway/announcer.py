"""Registers this node in the store and counts the registered nodes."""

import json
import threading

from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreClient, StoreTopic

__all__ = ["Announcer"]

# Leaves nodes that start at the same time enough time to register.
FIRST_COUNT_DELAY_S = 4.0
ANNOUNCE_PERIOD_S = 30.0
ANNOUNCE_RETRY_S = 3.0


class Announcer:
    """Periodically writes this node's record and reads the records of all nodes."""

    def __init__(self, fleet: Fleet, store: StoreClient, write_log: WriteLog) -> None:
        self.fleet = fleet
        self.store = store
        self.write_log = write_log
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("announcer", self.run, self.write_log)

    def run(self) -> None:
        """Register this node and count all nodes periodically, until stopped."""
        while not self.announce():
            if self.stopping.wait(ANNOUNCE_RETRY_S):
                return
        self.stopping.wait(FIRST_COUNT_DELAY_S)
        self.count_nodes()
        while not self.stopping.wait(ANNOUNCE_PERIOD_S * self.jitter()):
            self.announce()
            self.count_nodes()

    def jitter(self) -> float:
        """Return a random factor that spreads the nodes' calls to the store."""
        return 0.75 + 0.5 * self.fleet.rng.random()

    def announce(self) -> bool:
        """Write this node's record; return whether the store accepted it."""
        host = self.fleet.host
        value = json.dumps({"failure_domain": host.failure_domain}).encode()
        timeout_s = self.fleet.settings.store_call_s
        result = self.store.put_keyed(StoreTopic.NODES, host.host, value, timeout_s)
        if result.is_err():
            self.write_log("PF6302", None, {"problem": str(result.unwrap_err())})
        return result.is_ok()

    def count_nodes(self) -> None:
        """Read the records of all nodes, and log a change of their number."""
        timeout_s = self.fleet.settings.store_call_s
        result = self.store.read_newest(StoreTopic.NODES, timeout_s)
        if result.is_err():
            self.write_log("PF6302", None, {"problem": str(result.unwrap_err())})
            return
        offsets = {record.key: record.offset for record in result.unwrap().records}
        with self.fleet.lock:
            now = self.fleet.clock()
            has_changed = self.fleet.presence.update(offsets, now)
            nodes = self.fleet.presence.node_count()
        if has_changed:
            self.write_log("PF6301", None, {"nodes": nodes})
