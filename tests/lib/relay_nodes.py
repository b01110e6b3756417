"""Nodes that follow a store's topics over relays, in the process of the test."""

import contextlib
import random
import threading
import time
from collections.abc import Iterator

from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.waits import wait_until

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
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.platform import HostSettings, StoreClient, StoreTopic
from poplarfold._internal.platform.boot import Address, Bounds

BOUNDS = Bounds(apply_s=2.0, leaving_s=2.0)
START_LIMIT_S = 10.0


def host_settings(name: str, store_address: str, bounds: Bounds = BOUNDS):
    """Return the settings of a node that listens on a free port of loopback."""
    address = Address("127.0.0.1", 0)
    return HostSettings(
        name, "lhr-a", "lahore", {"lhr-a": "lahore"}, address, address,
        store_address, "127.0.0.1", bounds, peer_ports=(0,), is_first_start=True,
    )  # fmt: skip


class RelayNode:
    """One node with its own client of the store."""

    def __init__(
        self,
        name: str,
        store: StoreStandIn,
        settings: GatewaySettings | None = None,
        region: str = "lahore",
        bounds: Bounds = BOUNDS,
    ) -> None:
        self.name = name
        self.logged: list[tuple[str, dict]] = []
        host = host_settings(name, store.address, bounds)._replace(region=region)
        self.fleet = Fleet(host, settings or GatewaySettings(), random.getrandbits(32))
        self.store_calls: list[str] = []
        self.connections = EndpointClient(0.3)
        client = StoreClient(
            self.connections,
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
        self.announcer.stop()
        self.part_writer.stopping.set()
        self.link.stop()
        self.connections.close()

    def routes_version(self) -> int:
        table = self.fleet.directory.route_table
        return 0 if table is None else table.version

    def endpoint_ids(self) -> set[str]:
        return set(self.fleet.directory.endpoints)

    def knows_all(self, count: int) -> bool:
        """Return whether the node knows as many nodes of its region as there are."""
        return len(self.link.choice.order) == count


@contextlib.contextmanager
def configured_store(*endpoint_ids: str) -> Iterator[StoreStandIn]:
    """Run a store with a configuration of version 7 and some plain endpoints."""
    store = StoreStandIn()
    store.put("keyed.op", "config", configuration(version=7))
    endpoints = [EndpointStandIn(endpoint_id) for endpoint_id in endpoint_ids]
    for endpoint in endpoints:
        store.put("keyed.servers", endpoint.endpoint_id, endpoint.entry("registry"))
    try:
        yield store
    finally:
        store.stop()
        for endpoint in endpoints:
            endpoint.stop()


@contextlib.contextmanager
def settled_nodes(
    store: StoreStandIn,
    count: int,
    settings: GatewaySettings | None = None,
    known_s: float = 0.0,
    bounds: Bounds = BOUNDS,
) -> Iterator[list[RelayNode]]:
    """Run nodes of one region that know each other and have settled on two relays.

    They know the configuration and all endpoints, and have known the store for
    ``known_s``.
    """
    names = [f"node-{n}" for n in range(count)]
    nodes = [RelayNode(name, store, settings, bounds=bounds).start() for name in names]
    try:
        wait_until(lambda: all(n.routes_version() == 7 for n in nodes), START_LIMIT_S)
        # One whose first announcement fails is announced again after some seconds.
        wait_until(lambda: all(n.knows_all(count) for n in nodes), START_LIMIT_S)
        wait_until(lambda: len(relays(nodes)) == min(2, count), START_LIMIT_S)
        known = set(store.newest["keyed.servers"])
        wait_until(lambda: all(n.endpoint_ids() == known for n in nodes), START_LIMIT_S)
        time.sleep(known_s)
        yield nodes
    finally:
        for node in nodes:
            node.stop()


def relays(nodes: list[RelayNode]) -> list[RelayNode]:
    return [node for node in nodes if node.link.is_relay()]


def followers(nodes: list[RelayNode]) -> list[RelayNode]:
    return [node for node in nodes if not node.link.is_relay()]


def has_read_again(store: StoreStandIn, node: RelayNode) -> bool:
    """Return whether a node knows configuration and endpoints of the latest era."""
    topics = (StoreTopic.ROUTES, StoreTopic.ENDPOINTS)
    return all(node.state.views[topic].era == store.era for topic in topics)
