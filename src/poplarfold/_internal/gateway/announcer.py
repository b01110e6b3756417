"""Registers this node in the store and reads the registered nodes once."""

import threading
from collections.abc import Callable

from poplarfold._internal.core.fleet.fallback import announce_spread_s
from poplarfold._internal.gateway.member_records import encode_member
from poplarfold._internal.gateway.relay_link import RelayLink
from poplarfold._internal.gateway.store_reader import as_topic_batch
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreClient, StoreTopic

__all__ = ["Announcer"]

ANNOUNCE_PERIOD_S = 60.0
# The pause after a failed announcement, but for jitter. It ends early if the store
# answers a read: a host that starts in an outage is unknown to its peers until its
# record is written. The rest of a pause that ended early comes on top of the next one.
ANNOUNCE_RETRY_S = 3.0
# After a return of the store to an older copy, the nodes that it lacks write their
# records within this time.
RETURN_SPREAD_S = 1.0


class Announcer:
    """Periodically writes this node's record.

    At the start it also reads the records of all nodes, to find the relays. Later
    changes come from the relays. The record is written again at once if the store has
    lost it, since it came back from an older copy.
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
        # The latest era of the store that is known to have the record.
        self.announced_era = 0
        # When the last pause after a failed announcement would have ended by itself.
        self.retry_due_at = 0.0
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("announcer", self.run, self.write_log)

    def stop(self) -> None:
        """End the thread; a call to the store that has begun is not interrupted."""
        self.stopping.set()
        self.state.nodes_returned.set()
        self.state.store_answered.set()

    def run(self) -> None:
        """Register this node periodically, until stopped."""
        if not self.repeat(lambda: self.announce() and self.read_members()):
            return
        if self.is_lost():
            # The store returned between the two calls, which the view cannot tell.
            self.state.nodes_returned.set()
        while not self.stopping.is_set():
            pause_s = ANNOUNCE_PERIOD_S * self.jitter()
            has_returned = self.state.nodes_returned.wait(pause_s)
            self.state.nodes_returned.clear()
            if has_returned:
                self.stopping.wait(RETURN_SPREAD_S * self.fleet.rng.random())
            if self.stopping.is_set() or (has_returned and not self.is_lost()):
                continue
            self.repeat(self.announce)

    def repeat(self, step: Callable[[], bool]) -> bool:
        """Take a step until it succeeds; return whether it did before the stop."""
        while not step():
            self.wait_for_retry()
            if self.stopping.is_set():
                return False
        return True

    def wait_for_retry(self) -> None:
        """Wait for the pause after a failed announcement, or until the node stops.

        The pause ends early, after a random time, if the store answers a read of this
        node or of its relays that began after the failed call did. That happens at most
        once in each pause: the next one begins when this one would have ended. A store
        that answers reads only, or answers now and then, thus gets one call more than
        without, whatever the length of the outage.
        """
        clock = self.fleet.clock
        self.stopping.wait(max(0.0, self.retry_due_at - clock()))
        if self.stopping.is_set():
            return
        self.retry_due_at = clock() + ANNOUNCE_RETRY_S * self.jitter()
        if self.state.store_answered.wait(self.retry_due_at - clock()):
            nodes = self.fleet.node_count_assumed()
            spread_s = announce_spread_s(nodes, self.fleet.host.store_append_s)
            delay_s = spread_s * self.fleet.rng.random()
            left_s = self.retry_due_at - clock()
            self.stopping.wait(max(0.0, min(delay_s, left_s)))

    def jitter(self) -> float:
        """Return a random factor that spreads the nodes' calls to the store."""
        return 0.75 + 0.5 * self.fleet.rng.random()

    def is_lost(self) -> bool:
        """Return whether a later era of the store lacks this node's newest record.

        It may have that of an earlier process of the host.
        """
        record = self.state.find_record(StoreTopic.NODES, self.fleet.host.host)
        if record.era <= self.announced_era:
            return False
        if record.value != encode_member(self.relay_link.me):
            return True
        self.announced_era = record.era
        return False

    def announce(self) -> bool:
        """Write this node's record; return whether the store accepted it."""
        self.state.await_answer()
        host = self.fleet.host
        value = encode_member(self.relay_link.me)
        timeout_s = self.fleet.settings.store_call_s
        result = self.store.put_keyed(StoreTopic.NODES, host.host, value, timeout_s)
        if result.is_err():
            self.write_log("PF6302", None, {"problem": str(result.unwrap_err())})
            return False
        self.announced_era = max(self.announced_era, result.unwrap().era)
        return True

    def read_members(self) -> bool:
        """Read the records of all nodes; return whether the store answered."""
        self.state.await_answer()
        timeout_s = self.fleet.settings.store_call_s
        started_at = self.fleet.clock()
        result = self.store.read_newest(StoreTopic.NODES, timeout_s)
        if result.is_err():
            self.write_log("PF6302", None, {"problem": str(result.unwrap_err())})
            return False
        batch = as_topic_batch(result.unwrap(), None)
        self.state.apply(StoreTopic.NODES, batch, started_at)
        return True
