"""Connections between relays and the nodes that subscribe to them.

All connections are served by one thread with an event loop. A subscriber that does not
read its messages is disconnected, so that it delays no other one. A relay that sends
nothing for a while counts as unavailable, and another one is chosen.
"""

import asyncio
import contextlib
import threading
import traceback
from collections.abc import Mapping
from typing import NamedTuple

from websockets.asyncio.server import Server, ServerConnection, broadcast, serve
from websockets.exceptions import ConnectionClosed

from poplarfold._internal.core.fleet.keyed_view import TopicBatch
from poplarfold._internal.core.fleet.prompt_suspects import PartState, trial_delay_s
from poplarfold._internal.core.fleet.relay_messages import (
    ClockProbe,
    ClockReply,
    CostReport,
    FleetCost,
    PartStates,
    RegionSubscribe,
    ReturnReading,
    ReturnSeen,
    Subscribe,
    TopicRecords,
    UsageReport,
    pack,
)
from poplarfold._internal.core.fleet.relays import Member, RelayChoice
from poplarfold._internal.exceptions import PeerProtocolError
from poplarfold._internal.gateway.account_usage import AccountUsage
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.region_link import RegionLink
from poplarfold._internal.gateway.return_notices import ReturnNotices
from poplarfold._internal.gateway.subscription import (
    USAGE_PERIOD_S,
    NodeParts,
    Subscription,
    cost_period_s,
    decode,
)
from poplarfold._internal.gateway.topic_state import TopicPosition, TopicState
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreTopic

__all__ = ["RelayLink"]

SUBSCRIBE_TIMEOUT_S = 2.0
# How often the chosen relays are compared with the open connections.
CHOICE_PERIOD_S = 0.25
# A subscriber with more unsent bytes than this is disconnected.
UNSENT_MAX_BYTES = 2_000_000
# The largest message of a subscriber has the states of all suspected parts.
SUBSCRIBER_MESSAGE_MAX_BYTES = 1_000_000


class Source(NamedTuple):
    """A relay that this node subscribes to, and the task that does so."""

    subscription: Subscription
    task: asyncio.Task[None]


class RelayLink:
    """Subscribes to relays, and serves the subscribers of this node.

    Methods without a leading underscore may be called by any thread.
    """

    def __init__(
        self,
        fleet: Fleet,
        state: TopicState,
        guard: PartGuard,
        usage: AccountUsage,
        incarnation: int,
        write_log: WriteLog,
    ) -> None:
        host = fleet.host
        self.fleet = fleet
        self.state = state
        self.guard = guard
        self.usage = usage
        self.write_log = write_log
        self.me = Member(
            host.host,
            incarnation,
            host.region,
            None,
            host.link_mbps,
            host.failure_domain,
        )
        self.choice = RelayChoice(host.host, host.region)
        self.notices = ReturnNotices(state)
        self.region_link = RegionLink(usage, host.host, host.region, write_log)
        self.subscribers: dict[ServerConnection, CostReport | None] = {}
        self.sources: dict[str, Source] = {}
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        # Ends the pause before the periodic work.
        self.wake_up = asyncio.Event()
        self.is_stopping = False
        self.stopped = threading.Event()
        # The latest era of the store for which relays were chosen afresh.
        self.chosen_era = 0
        # Set once the members of the fleet have been read.
        self.members_known = threading.Event()
        self.sent_cost: CostReport | None = None
        self.cost_sent_at = 0.0
        state.publish = self.publish
        state.updates.update_members = self.update_members
        state.updates.update_parts = guard.merge_stored
        guard.share = self.share_parts
        guard.share_test = self.share_test
        guard.trial_delay_s = self.trial_delay_s

    def start(self) -> None:
        """Start the thread and wait until it listens."""
        thread = threading.Thread(target=self._run, name="relay-link", daemon=True)
        thread.start()
        self.started.wait()

    def stop(self) -> None:
        """Close all connections and the listener."""
        self.is_stopping = True
        self.loop.call_soon_threadsafe(self.wake_up.set)
        self.stopped.wait()

    def set_tunnel_address(self, address: str | None) -> None:
        """Set where this node connects peers to endpoints, before it is announced."""
        self.me = self.me._replace(tunnel_address=address)

    def members(self) -> Mapping[str, Member]:
        """Return the known members of the fleet."""
        return self.choice.members

    def is_relay(self) -> bool:
        """Return whether this node must read the store for itself or for others."""
        if self.subscribers:
            return True
        is_known = self.members_known.is_set()
        return is_known and self.choice.is_own_relay(self.fleet.clock())

    def note_return(self, era: int) -> None:
        """Choose the relays afresh, once for each era of the store, and tell them.

        While the store was away, all relays fell silent, and nodes have chosen others
        in turn. Now those that come first can read again, and all nodes find them.
        """
        self.notices.see(era)
        self.loop.call_soon_threadsafe(self._choose_afresh, era)

    def must_read_return(self, era: int) -> bool:
        """Return whether this node must read an era of the store for the others.

        Subscribers that it has got during an outage choose afresh, too.
        """
        return self.chosen_era >= era and self.choice.is_own_relay(self.fleet.clock())

    def begin_read(self, topic: StoreTopic) -> None:
        """Tell the subscribers if this node begins to read a return of the store."""
        self.notices.begin(topic)
        if self.subscribers and self.notices.reading_era() is not None:
            self.loop.call_soon_threadsafe(self._tell_reading)

    def trial_delay_s(self) -> float | None:
        """Return how long this node leaves tests of blocked parts to others.

        It is None before this node knows the others.
        """
        is_known = self.members_known.is_set()
        return trial_delay_s(self.choice.relay_rank) if is_known else None

    def update_members(self, members: dict[str, Member]) -> None:
        """Replace the known members of the fleet."""
        self.choice.update({**members, self.me.host: self.me})
        if not self.members_known.is_set():
            self.members_known.set()
            self.loop.call_soon_threadsafe(self.wake_up.set)

    def publish(self, topic: StoreTopic, batch: TopicBatch, read_at: float) -> None:
        """Send the changes of a topic that was just read to all subscribers."""
        if not self.subscribers:
            return
        message = TopicRecords.of_batch(topic.value, batch, read_at)
        self.loop.call_soon_threadsafe(self._broadcast, pack(message))

    def share_parts(
        self, states: tuple[PartState, ...], tested: tuple[str, ...] = ()
    ) -> None:
        """Send changed states of parts to all relays and subscribers."""
        if self.subscribers or self.sources:
            sound = self.guard.sound_parts(states)
            data = pack(PartStates.of_states(states, sound, tested))
            self.loop.call_soon_threadsafe(self._send_parts, data)

    def share_test(self, state: PartState) -> None:
        """Tell all relays and subscribers that a test of a part has begun."""
        self.share_parts((state,), (state.part,))

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
        usage_task = asyncio.create_task(self._send_usage())
        while not self.is_stopping:
            self.wake_up.clear()
            try:
                self._run_periodic_work()
            except Exception:
                # Without the loop, all subscriptions and subscribers would be lost.
                self._log_unexpected("periodic work")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHOICE_PERIOD_S):
                    await self.wake_up.wait()
        await self.region_link.close()
        tasks = [usage_task, *(source.task for source in self.sources.values())]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if server is not None:
            server.close()
            await server.wait_closed()

    def _run_periodic_work(self) -> None:
        """Follow the choice of relays, and send what is due."""
        self._update_sources()
        self._tell_reading()
        is_relay = self.is_relay()
        self.region_link.update_sources(self.choice.members, is_relay)
        self.usage.update(is_relay)
        self.state.drop_expired()
        now = self.fleet.clock()
        if now - self.cost_sent_at >= cost_period_s(self.fleet):
            self.cost_sent_at = now
            self._send_fleet_cost()

    def _log_unexpected(self, task: str) -> None:
        """Log the exception that is being handled."""
        trace = f"relay link, {task}: {traceback.format_exc()}"
        self.write_log("PF9002", None, {"traceback": trace})

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
            is_peer = isinstance(message, RegionSubscribe)
            if is_peer and message.relay == self.me.host:
                await self.region_link.serve(connection)
                return
            if not isinstance(message, Subscribe) or message.relay != self.me.host:
                await connection.close(1008)
                return
            host = message.host
            self.subscribers[connection] = None
            self._send_known(connection, message)
            async for data in connection:
                message = decode(data)
                if isinstance(message, CostReport):
                    self.subscribers[connection] = message
                elif isinstance(message, ClockProbe):
                    self._answer_probe(connection, message.sent_at)
                elif isinstance(message, PartStates):
                    states = message.part_states()
                    self.guard.merge(states, message.sound, message.tested)
                elif isinstance(message, ReturnSeen):
                    if self.notices.see(message.era):
                        self._tell_reading()
                elif isinstance(message, UsageReport):
                    self._record_usage(connection, host, message)
        except PeerProtocolError as error:
            self.write_log("PF6403", None, {"problem": str(error)})
            await connection.close(1008)
        except (ConnectionClosed, TimeoutError, OSError):
            return
        finally:
            self.subscribers.pop(connection, None)

    def _send_known(self, connection: ServerConnection, hello: Subscribe) -> None:
        """Send a new subscriber what it does not know yet.

        Nothing is awaited meanwhile. Changes that are published now are sent after
        this, since only the thread of the event loop sends.
        """
        self._answer_probe(connection, hello.sent_at)
        # A node of an earlier release names no eras.
        eras = hello.eras or (0,) * len(hello.known)
        known = {
            row.topic: TopicPosition(era, row.end)
            for row, era in zip(hello.known, eras, strict=False)
        }
        if 0 <= hello.routes_version < self.state.routes_version():
            # It has read a copy that lacks the newest configuration.
            known.pop(StoreTopic.ROUTES.value, None)
        for topic in StoreTopic:
            records = self.state.message_for(topic, known.get(topic.value))
            if records is not None:
                broadcast([connection], pack(records))
        states = self.guard.states()
        sound = self.guard.sound_parts(states)
        broadcast([connection], pack(PartStates.of_states(states, sound)))
        era = self.notices.reading_era()
        if era is not None:
            broadcast([connection], pack(ReturnReading(era)))

    def _record_usage(
        self, connection: ServerConnection, host: str, report: UsageReport
    ) -> None:
        """Count a subscriber's report; a new one gets the levels at once."""
        if self.usage.record_report(host, report):
            levels = self.usage.levels()
            if levels is not None:
                broadcast([connection], pack(levels))

    async def _send_usage(self) -> None:
        """Send levels to the subscribers and usage to other regions, periodically."""
        while True:
            try:
                levels = self.usage.levels()
                if levels is not None and self.subscribers:
                    self._broadcast(pack(levels))
                self.region_link.send()
            except Exception:
                self._log_unexpected("usage of accounts")
            await asyncio.sleep(USAGE_PERIOD_S)

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

    def _tell_reading(self) -> None:
        """Tell the subscribers if this node reads a return of the store."""
        era = self.notices.reading_era()
        if era is not None:
            self._broadcast(pack(ReturnReading(era)))

    def _send_parts(self, data: bytes) -> None:
        self._broadcast(data)
        for source in self.sources.values():
            source.subscription.send(data)

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
        if not self.members_known.is_set():
            return
        chosen = {
            member.host: member for member in self.choice.sources(self.fleet.clock())
        }
        for host, source in list(self.sources.items()):
            if source.task.done():
                del self.sources[host]
            elif host not in chosen:
                source.task.cancel()
        for host, member in chosen.items():
            if host not in self.sources:
                self.sources[host] = self._subscribe(member)

    def _choose_afresh(self, era: int) -> None:
        """Forget which relays fell silent before an era of the store."""
        if era <= self.chosen_era:
            return
        self.choice.forget_failures()
        for source in self.sources.values():
            source.subscription.restart_silence()
            source.subscription.send(pack(ReturnSeen(era)))
        self.chosen_era = era
        self.wake_up.set()

    def _subscribe(self, relay: Member) -> Source:
        """Begin to subscribe to a relay."""
        node = NodeParts(
            self.fleet,
            self.state,
            self.guard,
            self.usage,
            self.notices,
            self.write_log,
        )
        subscription = Subscription(
            node, self.me, relay, lambda: self.choice.record_success(relay.host)
        )
        task = self.loop.create_task(self._follow(subscription))
        return Source(subscription, task)

    async def _follow(self, subscription: Subscription) -> None:
        """Receive a relay's records until it fails, and record that."""
        host = subscription.relay.host
        try:
            problem = await subscription.run()
        except Exception as error:
            # The relay must not be chosen again at once, whatever the error.
            problem = repr(error)
            self._log_unexpected(f"subscription to {host}")
        self.choice.record_failure(host, self.fleet.clock())
        self.write_log("PF6402", None, {"relay": host, "problem": problem})
