"""One node's subscription to a relay: receives records and sends reports."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import broadcast
from websockets.exceptions import ConnectionClosed, WebSocketException

from poplarfold._internal.core.fleet.peer_clock import PeerClock
from poplarfold._internal.core.fleet.relay_messages import (
    ClockProbe,
    ClockReply,
    CostReport,
    FleetCost,
    PartStates,
    ReturnReading,
    ReturnSeen,
    Subscribe,
    TopicRecords,
    UsageLevels,
    pack,
    unpack,
)
from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.message_codec import MESSAGE_MAX_BYTES
from poplarfold._internal.exceptions import PeerProtocolError, RecordGapError
from poplarfold._internal.gateway.account_usage import AccountUsage
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.return_notices import ReturnNotices
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreTopic

__all__ = ["USAGE_PERIOD_S", "NodeParts", "Subscription", "cost_period_s", "decode"]

CONNECT_TIMEOUT_S = 0.7
# A relay sends a message after each of its reads. If none comes for this share of the
# time within which changes must be in force, the relay cannot read the store, or is
# gone, and there is still time for another one to read it.
SILENCE_SHARE = 0.6
# Until the cost of a stream is known, reports are sent more often: the first orders to
# engines wait for it.
COST_PERIOD_S = 2.0
FIRST_COST_PERIOD_S = 0.3
# How often a subscriber compares its clock with that of a relay.
CLOCK_PERIOD_S = 10.0
# How often the usage of accounts is reported, and their levels are sent.
USAGE_PERIOD_S = 0.3


class NodeParts(NamedTuple):
    """The objects of this node that messages of relays and subscribers change."""

    fleet: Fleet
    state: TopicState
    guard: PartGuard
    usage: AccountUsage
    notices: ReturnNotices
    write_log: WriteLog


class Subscription:
    """A subscription to one relay, until it fails or falls silent.

    ``on_recent`` is called whenever the relay has sent recent records. All methods run
    in the thread of the event loop.
    """

    def __init__(
        self,
        node: NodeParts,
        me: Member,
        relay: Member,
        on_recent: Callable[[], None],
    ) -> None:
        self.node = node
        self.me = me
        self.relay = relay
        self.on_recent = on_recent
        self.clock = PeerClock()
        # A restarted relay has forgotten all reports.
        self.usage_name = f"{relay.host}/{relay.incarnation}"
        self.connection: ClientConnection | None = None
        self.silence: asyncio.Timeout | None = None
        bounds = node.fleet.host.bounds
        self.silence_s = SILENCE_SHARE * min(bounds.apply_s, bounds.leaving_s)

    async def run(self) -> str:
        """Receive the relay's records; return the problem that ended that."""
        waits_for = "connection"
        try:
            async with self._connect() as connection:
                waits_for = "message"
                await self._subscribe(connection)
                await self._receive_all(connection)
        except TimeoutError:
            return f"no {waits_for} in time"
        except (ConnectionClosed, OSError, WebSocketException) as error:
            return str(error) or "the connection was closed"
        except (PeerProtocolError, RecordGapError) as error:
            return str(error)
        return "the connection was closed"

    def restart_silence(self) -> None:
        """Give the relay the whole time again in which it must send records."""
        if self.silence is not None and not self.silence.expired():
            self.silence.reschedule(asyncio.get_running_loop().time() + self.silence_s)

    def send(self, data: bytes) -> None:
        """Send a message if the connection is open, without waiting."""
        if self.connection is not None:
            broadcast([self.connection], data)

    def _connect(self) -> connect:
        return connect(
            f"ws://{self.relay.address}/",
            max_size=MESSAGE_MAX_BYTES,
            compression=None,
            proxy=None,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            ping_interval=None,
        )

    async def _subscribe(self, connection: ClientConnection) -> None:
        """Say what this node knows, and which parts of prompts it suspects."""
        hello = Subscribe(
            self.me.host,
            self.me.incarnation,
            self.relay.host,
            self.node.fleet.clock(),
            *self.node.state.known_topics(),
            self.node.state.routes_version(),
        )
        await connection.send(pack(hello))
        states = self.node.guard.states()
        sound = self.node.guard.sound_parts(states)
        await connection.send(pack(PartStates.of_states(states, sound)))
        seen_era = self.node.notices.seen_era
        if seen_era:
            await connection.send(pack(ReturnSeen(seen_era)))
        self.node.write_log("PF6404", None, {"relay": self.relay.host})

    async def _receive_all(self, connection: ClientConnection) -> None:
        """Receive records and send reports until the relay fails or falls silent."""
        self.connection = connection
        self.node.usage.restart_reports(self.usage_name)
        reporters = [
            asyncio.create_task(self._send_reports(connection)),
            asyncio.create_task(self._send_usage(connection)),
        ]
        try:
            while True:
                async with asyncio.timeout(self.silence_s) as self.silence:
                    await self._receive(connection)
                self.silence = None
                self.on_recent()
        finally:
            self.connection = self.silence = None
            for reporter in reporters:
                reporter.cancel()

    async def _receive(self, connection: ClientConnection) -> None:
        """Receive and apply messages up to the next recent records of a topic."""
        while True:
            message = decode(await connection.recv())
            if isinstance(message, FleetCost):
                self.node.fleet.set_fleet_cost(message.cost)
            elif isinstance(message, PartStates):
                states = message.part_states()
                self.node.guard.merge(states, message.sound, message.tested)
            elif isinstance(message, ReturnReading):
                self.node.notices.hear(message.era)
            elif isinstance(message, ClockReply):
                self.clock.measure(message.sent_at, message.relay_at)
            elif isinstance(message, UsageLevels):
                sent_at = self.clock.local_time(message.sent_at)
                self.node.usage.record_levels(self.usage_name, message, sent_at)
            elif isinstance(message, TopicRecords) and self._apply(message):
                return

    def _apply(self, message: TopicRecords) -> bool:
        """Apply the relay's records; return whether they are recent.

        Raises RecordGapError if records are missing before them.
        """
        topic = topic_of_name(message.topic)
        read_at = self.clock.local_time(message.read_at)
        if topic is None or read_at is None:
            return False
        state = self.node.state
        if state.is_outdated(topic, message.era):
            # The relay has yet to notice that the store has come back older.
            return False
        if not state.apply(topic, message.batch(), read_at, self.relay.host):
            raise RecordGapError(
                f"records of {topic.value} are missing before offset {message.start}"
            )
        return state.is_recent(topic, read_at)

    async def _send_reports(self, connection: ClientConnection) -> None:
        """Send clock probes, and this node's learned costs when they have changed."""
        fleet = self.node.fleet
        sent: CostReport | None = None
        probe_at = fleet.clock() + CLOCK_PERIOD_S
        try:
            while True:
                now = fleet.clock()
                if now >= probe_at:
                    probe_at = now + CLOCK_PERIOD_S
                    await connection.send(pack(ClockProbe(now)))
                report = fleet.own_cost_report()
                if report != sent:
                    sent = report
                    await connection.send(pack(report))
                await asyncio.sleep(cost_period_s(fleet))
        except ConnectionClosed:
            return

    async def _send_usage(self, connection: ClientConnection) -> None:
        """Report what this node has admitted, if accounts have limits.

        A report without rows tells that the node is still heard.
        """
        usage = self.node.usage
        try:
            while True:
                if usage.is_active():
                    await connection.send(pack(usage.report(self.usage_name)))
                await asyncio.sleep(USAGE_PERIOD_S)
        except ConnectionClosed:
            return


def cost_period_s(fleet: Fleet) -> float:
    """Return the time between two reports of learned costs."""
    with fleet.lock:
        is_learned = fleet.cost.is_learned
    return COST_PERIOD_S if is_learned else FIRST_COST_PERIOD_S


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
