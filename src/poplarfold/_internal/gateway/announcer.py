"""Registers this node in the store and reads the registered nodes once."""

import threading

from poplarfold._internal.gateway.member_records import encode_member
from poplarfold._internal.gateway.relay_link import RelayLink
from poplarfold._internal.gateway.store_reader import as_topic_batch
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreClient, StoreTopic

__all__ = ["Announcer"]

ANNOUNCE_PERIOD_S = 60.0
ANNOUNCE_RETRY_S = 3.0


class Announcer:
    """Periodically writes this node's record.

    At the start it also reads the records of all nodes, to find the relays. Later
    changes come from the relays.
    """

    def __init__(
        self,
        state: TopicState,
        store: StoreClient,
        relay_link: RelayLink,
        write_log: WriteLog,
    ) -> None:
        self.state = state
        self.fleet = state.fleet
        self.store = store
        self.relay_link = relay_link
        self.write_log = write_log
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("announcer", self.run, self.write_log)

    def run(self) -> None:
        """Register this node periodically, until stopped."""
        while not (self.announce() and self.read_members()):
            if self.stopping.wait(ANNOUNCE_RETRY_S * self.jitter()):
                return
        while not self.stopping.wait(ANNOUNCE_PERIOD_S * self.jitter()):
            self.announce()

    def jitter(self) -> float:
        """Return a random factor that spreads the nodes' calls to the store."""
        return 0.75 + 0.5 * self.fleet.rng.random()

    def announce(self) -> bool:
        """Write this node's record; return whether the store accepted it."""
        host = self.fleet.host
        value = encode_member(self.relay_link.me)
        timeout_s = self.fleet.settings.store_call_s
        result = self.store.put_keyed(StoreTopic.NODES, host.host, value, timeout_s)
        if result.is_err():
            self.write_log("PF6302", None, {"problem": str(result.unwrap_err())})
        return result.is_ok()

    def read_members(self) -> bool:
        """Read the records of all nodes; return whether the store answered."""
        timeout_s = self.fleet.settings.store_call_s
        started_at = self.fleet.clock()
        result = self.store.read_newest(StoreTopic.NODES, timeout_s)
        if result.is_err():
            self.write_log("PF6302", None, {"problem": str(result.unwrap_err())})
            return False
        batch = as_topic_batch(result.unwrap(), None)
        self.state.apply(StoreTopic.NODES, batch, started_at)
        return True
