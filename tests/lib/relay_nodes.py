"""Nodes that follow a store's topics over relays, in the process of the test."""

import random
import threading
import time

from tests.lib.platform_standin import StoreStandIn

from poplarfold._internal.daemon.endpoint_client import EndpointClient
from poplarfold._internal.gateway.account_usage import AccountUsage
from poplarfold._internal.gateway.announcer import Announcer
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.part_writer import PartWriter
from poplarfold._internal.gateway.relay_link import RelayLink
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.store_reader import StoreReader
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.platform import HostSettings, StoreClient
from poplarfold._internal.platform.boot import Address, Bounds

BOUNDS = Bounds(apply_s=2.0, leaving_s=2.0)


def host_settings(name: str, store_address: str, bounds: Bounds = BOUNDS):
    """Return the settings of a node that listens on a free port of loopback."""
    address = Address("127.0.0.1", 0)
    return HostSettings(
        name, "lhr-a", "lahore", {"lhr-a": "lahore"}, address, address,
        store_address, "127.0.0.1", bounds, peer_ports=(0,),
    )  # fmt: skip


class RelayNode:
    """One node with its own client of the store."""

    def __init__(
        self,
        name: str,
        store: StoreStandIn,
        settings: GatewaySettings | None = None,
        region: str = "lahore",
    ) -> None:
        self.name = name
        self.logged: list[tuple[str, dict]] = []
        host = host_settings(name, store.address)._replace(region=region)
        self.fleet = Fleet(host, settings or GatewaySettings(), random.getrandbits(32))
        self.store_calls: list[str] = []
        client = StoreClient(
            EndpointClient(0.3),
            store.address,
            lambda kind, is_ok: self.store_calls.append(kind),
        )
        self.state = TopicState(self.fleet, self.write_log)
        self.guard = PartGuard(self.fleet.clock, self.write_log)
        self.usage = AccountUsage(self.fleet, GatewayMetrics(), self.write_log)
        self.link = RelayLink(
            self.fleet, self.state, self.guard, self.usage, 1, self.write_log
        )
        self.part_writer = PartWriter(
            self.guard, client, self.link, 0.8, self.write_log
        )
        self.reader = StoreReader(self.state, client, self.link, self.write_log)
        self.announcer = Announcer(self.state, client, self.link, self.write_log)
        self.lock = threading.Lock()

    def write_log(self, number, call_id, fields) -> None:
        self.logged.append((number, fields))

    def start(self) -> "RelayNode":
        self.link.start()
        self.reader.start()
        self.announcer.start()
        self.part_writer.start()
        return self

    def stop(self) -> None:
        """End the node as a kill does: its connections close, nothing is announced."""
        self.reader.stopping.set()
        self.announcer.stopping.set()
        self.part_writer.stopping.set()
        self.link.stop()

    def routes_version(self) -> int:
        table = self.fleet.directory.route_table
        return 0 if table is None else table.version

    def endpoint_ids(self) -> set[str]:
        return set(self.fleet.directory.endpoints)


def wait_for(condition, limit_s: float) -> float:
    """Wait until ``condition()`` holds; return the time that took."""
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() - started_at < limit_s, "the condition never held"
        time.sleep(0.01)
    return time.monotonic() - started_at
