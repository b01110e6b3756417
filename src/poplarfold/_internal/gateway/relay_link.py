"""Connections between relays and the nodes that subscribe to them.

All connections are served by one thread with an event loop. A subscriber that does not
read its messages is disconnected, so that it delays no other one. A relay that sends
nothing for a while counts as unavailable, and another one is chosen.
"""

import asyncio
import threading
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, broadcast, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from poplarfold._internal.core.fleet.keyed_view import TopicBatch
from poplarfold._internal.core.fleet.peer_clock import PeerClock
from poplarfold._internal.core.fleet.prompt_suspects import PartState
from poplarfold._internal.core.fleet.relay_messages import (
    ClockProbe,
    ClockReply,
    CostReport,
    FleetCost,
    PartStates,
    Subscribe,
    TopicRecords,
    pack,
    unpack,
)
from poplarfold._internal.core.fleet.relays import Member, RelayChoice
from poplarfold._internal.core.message_codec import MESSAGE_MAX_BYTES
from poplarfold._internal.exceptions import PeerProtocolError, RecordGapError
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreTopic

__all__ = ["RelayLink"]

CONNECT_TIMEOUT_S = 0.7
SUBSCRIBE_TIMEOUT_S = 2.0
# A relay sends a message after each of its reads. If none comes for this share of the
# time within which changes must be in force, the relay cannot read the store, or is
# gone, and there is still time for another one to read it.
SILENCE_SHARE = 0.6
# How often the chosen relays are compared with the open connections.
CHOICE_PERIOD_S = 0.25
# Until the cost of a stream is known, reports are sent more often: the first orders to
# engines wait for it.
COST_PERIOD_S = 2.0
FIRST_COST_PERIOD_S = 0.3
# How often a subscriber compares its clock with that of a relay.
CLOCK_PERIOD_S = 10.0
# A subscriber with more unsent bytes than this is disconnected.
UNSENT_MAX_BYTES = 2_000_000
SUBSCRIBER_MESSAGE_MAX_BYTES = 65_536


class RelayLink:
    """Subscribes to relays, and serves the subscribers of this node.

    Methods without a leading underscore may be called by any thread.
    """

    def __init__(
        self,
        fleet: Fleet,
        state: TopicState,
        guard: PartGuard,
        incarnation: int,
        write_log: WriteLog,
    ) -> None:
        host = fleet.host
        self.fleet = fleet
        self.state = state
        self.guard = guard
        self.write_log = write_log
        self.me = Member(host.host, incarnation, host.region, None, host.link_mbps)
        self.choice = RelayChoice(host.host, host.region)
        self.subscribers: dict[ServerConnection, CostReport | None] = {}
        self.sources: dict[str, asyncio.Task[None]] = {}
        # The open connections to relays.
        self.upstream: set[Any] = set()
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        self.stopping = asyncio.Event()
        self.stopped = threading.Event()
        self.is_known = False
        self.sent_cost: CostReport | None = None
        bounds = host.bounds
        self.silence_s = SILENCE_SHARE * min(bounds.apply_s, bounds.leaving_s)
        state.publish = self.publish
        state.update_members = self.update_members
        state.update_parts = guard.merge_stored
        guard.share = self.share_parts

    def start(self) -> None:
        """Start the thread and wait until it listens."""
        thread = threading.Thread(target=self._run, name="relay-link", daemon=True)
        thread.start()
        self.started.wait()

    def stop(self) -> None:
        """Close all connections and the listener."""
        self.loop.call_soon_threadsafe(self.stopping.set)
        self.stopped.wait()

    def is_relay(self) -> bool:
        """Return whether this node must read the store for itself or for others."""
        if self.subscribers:
            return True
        return self.is_known and self.choice.is_own_relay(self.fleet.clock())

    def update_members(self, members: dict[str, Member]) -> None:
        """Replace the known members of the fleet."""
        self.choice.update({**members, self.me.host: self.me})
        self.is_known = True

    def publish(self, topic: StoreTopic, batch: TopicBatch, read_at: float) -> None:
        """Send the changes of a topic that was just read to all subscribers."""
        if not self.subscribers:
            return
        message = TopicRecords.of_batch(topic.value, batch, read_at)
        self.loop.call_soon_threadsafe(self._broadcast, pack(message))

    def share_parts(self, states: tuple[PartState, ...]) -> None:
        """Send changed states of parts to all relays and subscribers."""
        if self.subscribers or self.upstream:
            data = pack(PartStates(states))
            self.loop.call_soon_threadsafe(self._send_parts, data)

    # Methods of the event loop's thread.

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._main())
        finally:
            self.started.set()
            self.stopped.set()

    async def _main(self) -> None:
        server = await self._listen()
        if server is not None:
            port = next(iter(server.sockets)).getsockname()[1]
            self.me = self.me._replace(address=f"{self.fleet.host.ip}:{port}")
        self.started.set()
        cost_at = 0.0
        while not self.stopping.is_set():
            self._update_sources()
            self.state.drop_expired()
            now = self.fleet.clock()
            if now - cost_at >= self._cost_period_s():
                cost_at = now
                self._send_fleet_cost()
            try:
                async with asyncio.timeout(CHOICE_PERIOD_S):
                    await self.stopping.wait()
            except TimeoutError:
                continue
        for task in self.sources.values():
            task.cancel()
        await asyncio.gather(*self.sources.values(), return_exceptions=True)
        if server is not None:
            server.close()
            await server.wait_closed()

    async def _listen(self) -> Server | None:
        """Listen on the first free port; return None without one."""
        host = self.fleet.host
        for port in host.peer_ports:
            try:
                return await serve(
                    self._accept,
                    host.ip,
                    port,
                    max_size=SUBSCRIBER_MESSAGE_MAX_BYTES,
                    compression=None,
                    open_timeout=SUBSCRIBE_TIMEOUT_S,
                    close_timeout=SUBSCRIBE_TIMEOUT_S,
                    ping_interval=None,
                )
            except OSError:
                continue
        problem = f"no free port among {list(host.peer_ports)}"
        self.write_log("PF6401", None, {"problem": problem})
        return None

    async def _accept(self, connection: ServerConnection) -> None:
        """Serve one subscriber until its connection closes."""
        try:
            async with asyncio.timeout(SUBSCRIBE_TIMEOUT_S):
                data = await connection.recv()
            message = decode(data)
            if not isinstance(message, Subscribe) or message.relay != self.me.host:
                await connection.close(1008)
                return
            self._send_known(connection, message)
            self.subscribers[connection] = None
            async for data in connection:
                message = decode(data)
                if isinstance(message, CostReport):
                    self.subscribers[connection] = message
                elif isinstance(message, ClockProbe):
                    self._answer_probe(connection, message.sent_at)
                elif isinstance(message, PartStates):
                    self.guard.merge(message.states)
        except PeerProtocolError as error:
            self.write_log("PF6403", None, {"problem": str(error)})
            await connection.close(1008)
        except (ConnectionClosed, TimeoutError, OSError):
            return
        finally:
            self.subscribers.pop(connection, None)

    def _send_known(self, connection: ServerConnection, hello: Subscribe) -> None:
        """Send a new subscriber what it does not know yet.

        Nothing is awaited between this and the subscription, so that no later change
        is sent before the records that it follows.
        """
        self._answer_probe(connection, hello.sent_at)
        known = {row.topic: row.end for row in hello.known}
        for topic in StoreTopic:
            records = self.state.message_for(topic, known.get(topic.value))
            if records is not None:
                broadcast([connection], pack(records))
        broadcast([connection], pack(PartStates(self.guard.states())))

    def _answer_probe(self, connection: ServerConnection, sent_at: float) -> None:
        """Tell a subscriber what this node's clock shows."""
        broadcast([connection], pack(ClockReply(sent_at, self.fleet.clock())))

    def _broadcast(self, data: bytes) -> None:
        """Send a message to all subscribers, and disconnect those that do not read."""
        for connection in list(self.subscribers):
            if connection.transport.get_write_buffer_size() > UNSENT_MAX_BYTES:
                self.subscribers.pop(connection, None)
                connection.transport.abort()
        broadcast(self.subscribers, data)

    def _send_parts(self, data: bytes) -> None:
        self._broadcast(data)
        broadcast(self.upstream, data)

    def _cost_period_s(self) -> float:
        """Return the time between two reports of learned costs."""
        with self.fleet.lock:
            is_learned = self.fleet.cost.is_learned
        return COST_PERIOD_S if is_learned else FIRST_COST_PERIOD_S

    def _send_fleet_cost(self) -> None:
        """Send the costs learned by this node and its subscribers to all of these."""
        if not self.subscribers:
            return
        reports = [report for report in self.subscribers.values() if report is not None]
        cost = self.fleet.merge_costs(reports)
        if cost != self.sent_cost:
            self.sent_cost = cost
            self._broadcast(pack(FleetCost(cost)))

    def _update_sources(self) -> None:
        """Subscribe to the chosen relays, and end the subscriptions to others."""
        if not self.is_known:
            return
        chosen = {
            member.host: member for member in self.choice.sources(self.fleet.clock())
        }
        for host, task in list(self.sources.items()):
            if task.done():
                del self.sources[host]
            elif host not in chosen:
                task.cancel()
        for host, member in chosen.items():
            if host not in self.sources:
                self.sources[host] = self.loop.create_task(self._subscribe(member))

    async def _subscribe(self, relay: Member) -> None:
        """Receive a relay's records until it fails or falls silent."""
        problem = "the connection was closed"
        waits_for = "connection"
        reporter: asyncio.Task[None] | None = None
        upstream: Any = None
        try:
            async with connect(
                f"ws://{relay.address}/",
                max_size=MESSAGE_MAX_BYTES,
                compression=None,
                proxy=None,
                open_timeout=CONNECT_TIMEOUT_S,
                close_timeout=CONNECT_TIMEOUT_S,
                ping_interval=None,
            ) as connection:
                hello = Subscribe(
                    self.me.host,
                    self.me.incarnation,
                    relay.host,
                    self.fleet.clock(),
                    self.state.known_topics(),
                )
                await connection.send(pack(hello))
                await connection.send(pack(PartStates(self.guard.states())))
                upstream = connection
                self.upstream.add(connection)
                reporter = self.loop.create_task(self._send_reports(connection))
                self.write_log("PF6404", None, {"relay": relay.host})
                waits_for = "message"
                clock = PeerClock()
                while True:
                    async with asyncio.timeout(self.silence_s):
                        await self._receive(connection, relay.host, clock)
                    self.choice.record_success(relay.host)
        except TimeoutError:
            problem = f"no {waits_for} in time"
        except (ConnectionClosed, OSError, WebSocketException) as error:
            problem = str(error) or problem
        except (PeerProtocolError, RecordGapError) as error:
            problem = str(error)
        finally:
            self.upstream.discard(upstream)
            if reporter is not None:
                reporter.cancel()
        self.choice.record_failure(relay.host, self.fleet.clock())
        self.write_log("PF6402", None, {"relay": relay.host, "problem": problem})

    async def _receive(self, connection: Any, relay: str, clock: PeerClock) -> None:
        """Receive and apply messages up to the next recent records of a topic."""
        while True:
            message = decode(await connection.recv())
            if isinstance(message, FleetCost):
                self.fleet.set_fleet_cost(message.cost)
            elif isinstance(message, PartStates):
                self.guard.merge(message.states)
            elif isinstance(message, ClockReply):
                clock.measure(message.sent_at, message.relay_at)
            elif isinstance(message, TopicRecords):
                if self._apply(message, relay, clock):
                    return

    def _apply(self, message: TopicRecords, relay: str, clock: PeerClock) -> bool:
        """Apply a relay's records; return whether they are recent.

        Raises RecordGapError if records are missing before them.
        """
        topic = topic_of_name(message.topic)
        read_at = clock.local_time(message.read_at)
        if topic is None or read_at is None:
            return False
        if not self.state.apply(topic, message.batch(), read_at, relay):
            raise RecordGapError(
                f"records of {topic.value} are missing before offset {message.start}"
            )
        return self.state.is_recent(topic, read_at)

    async def _send_reports(self, connection: Any) -> None:
        """Send clock probes, and this node's learned costs when they have changed."""
        sent: CostReport | None = None
        probe_at = self.fleet.clock() + CLOCK_PERIOD_S
        try:
            while True:
                now = self.fleet.clock()
                if now >= probe_at:
                    probe_at = now + CLOCK_PERIOD_S
                    await connection.send(pack(ClockProbe(now)))
                report = self.fleet.own_cost_report()
                if report != sent:
                    sent = report
                    await connection.send(pack(report))
                await asyncio.sleep(self._cost_period_s())
        except ConnectionClosed:
            return


def decode(data: bytes | str) -> Any:
    """Decode a message; None if its type is unknown. Raises PeerProtocolError."""
    if isinstance(data, str):
        raise PeerProtocolError("expected a binary message, got text")
    result = unpack(data)
    if result.is_err():
        raise result.unwrap_err()
    return result.unwrap()


def topic_of_name(name: str) -> StoreTopic | None:
    """Return a topic by its name, or None for a topic of a later release."""
    try:
        return StoreTopic(name)
    except ValueError:
        return None
