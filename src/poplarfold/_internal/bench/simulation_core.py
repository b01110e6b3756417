"""Clock, network, nodes and callers of the simulation, without what commands do."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from types import ModuleType
from typing import Any, NamedTuple

from poplarfold._internal.bench.simulation_parts import (
    Attempt,
    CallRecord,
    Endpoint,
    Link,
    NodeHost,
)
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import ALL_SYSTEMS
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins import engine_model, service_model
from poplarfold._internal.standins.host_list_model import HostListModel
from poplarfold._internal.standins.log_model import LogModel

__all__ = ["PREFIX_BYTES", "REQUEST_BYTES", "Event", "SimulationCore"]

Event = tuple[Any, ...]

DOMAIN_DELAY_S = 0.0002
HOST_LIST_PERIOD_S = 1.0
REQUEST_BYTES = 400
PREFIX_BYTES = 24


class SimulationCore:
    """Simulation of the clock, network, endpoints, log and nodes.

    ``can_reach`` may be replaced to partition domains. The domain of the platform
    (log and host list) is the empty string. ``Simulation`` adds what the commands of
    nodes and the events of endpoints do.
    """

    def __init__(self, seed: int, link_bytes_per_s: float, caller_delay_s: float):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[
            tuple[float, int, Callable[..., object], tuple[object, ...]]
        ] = []
        self.sequence = 0
        self.caller_delay_s = caller_delay_s
        self.link_bytes_per_s = link_bytes_per_s
        self.regions: dict[str, str] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.nodes: dict[str, NodeHost] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.attempts: dict[str, Attempt] = {}
        self.calls: dict[str, CallRecord] = {}
        self.host_list = HostListModel(lag_s=0.0)
        self.log = LogModel()
        self.can_reach: Callable[[str, str], bool] = lambda one, other: True
        self.memory_freed_at: dict[str, float] = {}
        self.errors: Counter[str] = Counter()
        self.logs: list[tuple[float, str, commands.Log]] = []
        self.keep_logs = False
        self.peer_messages = 0

    def schedule(
        self, when: float, function: Callable[..., object], *args: object
    ) -> None:
        """Schedule a function call at a simulated time."""
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, function, args))

    def run(self, until: float) -> None:
        """Run all events up to a simulated time."""
        while self.heap and self.heap[0][0] <= until:
            when, _, function, args = heapq.heappop(self.heap)
            self.now = max(self.now, when)
            function(*args)
        self.now = until

    def delay(self, source: str, target: str, size: int = 0) -> float:
        """Return the one-way delay for ``size`` bytes between two domains."""
        if source == target or not source or not target:
            return DOMAIN_DELAY_S
        regions_pair = self.regions[source], self.regions[target]
        if regions_pair[0] == regions_pair[1]:
            return 0.001
        link = self.links.get(regions_pair)
        if link is None:
            link = self.links[regions_pair] = Link(self.link_bytes_per_s)
        return 0.010 + link.send(self.now, size)

    def add_node(
        self,
        settings: NodeSettings,
        incarnation: int = 1,
        systems: tuple[ModuleType, ...] = ALL_SYSTEMS,
    ) -> Node:
        """Start a node, replacing a node of the same host."""
        node = Node(settings, incarnation, self.rng.randrange(2**32), systems)
        host = NodeHost(node, settings.domain)
        self.nodes[settings.host] = host
        self.schedule(self.now, self.poll_host_list, host)
        self.schedule(self.now, self.step, host, [])
        return node

    def add_endpoint(
        self,
        model: engine_model.EngineModel | service_model.ServiceModel,
        domain: str,
        service: str,
    ) -> None:
        """Start an endpoint process and put it on the host list."""
        self.endpoints[model.address] = Endpoint(model, domain)
        self.host_list.put(
            self.now,
            events.HostListRow(
                model.address, model.address, "endpoint", domain, service, False
            ),
        )

    def poll_host_list(self, host: NodeHost) -> None:
        """Deliver the host list to a node and schedule the next poll."""
        if not host.is_alive:
            return
        if self.can_reach(host.domain, ""):
            self.step(host, [self.host_list.listed(self.now)])
        self.schedule(self.now + HOST_LIST_PERIOD_S, self.poll_host_list, host)

    def step(self, host: NodeHost, inbox: list[Any]) -> None:
        """Step a node with events and carry out its commands."""
        if not host.is_alive:
            return
        if host.is_paused:
            host.pending_events.extend(inbox)
            return
        if host.pending_events:
            inbox, host.pending_events = host.pending_events + inbox, []
        for command in host.node.step(self.now, inbox):
            self.carry_out(command, host)
        wake_at = host.node.next_wakeup(self.now)
        if wake_at is not None and wake_at != host.wake_at:
            host.wake_at = max(wake_at, self.now + 1e-6)
            self.schedule(host.wake_at, self.wake, host, host.wake_at)

    def wake(self, host: NodeHost, due: float) -> None:
        """Step a node whose timer is due."""
        if host.wake_at == due:
            host.wake_at = None
            self.step(host, [])

    def post(self, host: NodeHost, event: Event, delay_s: float = 0.0) -> None:
        """Schedule the delivery of an event to a node."""
        self.schedule(self.now + delay_s, self.step, host, [event])

    def call(self, host: str, arrival: events.CallArrived) -> CallRecord:
        """Send a call to an entry node."""
        record = self.calls[arrival.call_id] = CallRecord(arrival, self.now)
        delay_s = self.caller_delay_s
        delayed = arrival._replace(deadline=arrival.deadline + delay_s)
        self.post(self.nodes[host], delayed, delay_s)
        return record

    def hang_up(self, host: str, call_id: str) -> None:
        """Close the caller's connection."""
        record = self.calls[call_id]
        if record.ended_at is None:
            record.disconnected_at = self.now
            caller_gone = events.CallerDisconnected(call_id)
            self.post(self.nodes[host], caller_gone, self.caller_delay_s)

    # What ``Simulation`` adds.

    def carry_out(self, command: NamedTuple, host: NodeHost) -> None:
        """Carry out a command of a node."""
        raise NotImplementedError

    def append_log(self, host: NodeHost, command: commands.AppendLog) -> None:
        """Append a record and respond, unless the response is to be lost."""
        raise NotImplementedError

    def on_attempt_event(
        self, attempt: Attempt, event: Any, endpoint: Endpoint
    ) -> None:
        """Handle an event of an endpoint at the node of the attempt."""
        raise NotImplementedError
