"""Connections over which relays of different regions exchange the usage of accounts.

They carry nothing else: the records of the store would cross the paid link between the
regions. Each relay takes the usage of another region from one of its relays.
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, broadcast

from poplarfold._internal.core.fleet.account_quota import FRESH_S
from poplarfold._internal.core.fleet.relay_messages import (
    RegionSubscribe,
    RegionUsage,
    pack,
)
from poplarfold._internal.core.fleet.relays import Member, RelayChoice
from poplarfold._internal.core.message_codec import MESSAGE_MAX_BYTES
from poplarfold._internal.gateway.account_usage import AccountUsage, UsageCursor
from poplarfold._internal.gateway.subscription import CONNECT_TIMEOUT_S, decode
from poplarfold._internal.logs.writer import WriteLog

__all__ = ["RegionLink"]

# A peer with more unsent bytes than this is disconnected.
UNSENT_MAX_BYTES = 200_000


class RegionSource(NamedTuple):
    """The relay that the usage of a region is taken from, and the task that does so."""

    relay: Member
    task: asyncio.Task[None]


class RegionLink:
    """The exchange of usage with relays of other regions.

    All methods run in the thread of the relay link's event loop.
    """

    def __init__(
        self, usage: AccountUsage, host: str, region: str, write_log: WriteLog
    ) -> None:
        self.usage = usage
        self.host = host
        self.region = region
        self.write_log = write_log
        self.choices: dict[str, RelayChoice] = {}
        self.sources: dict[str, RegionSource] = {}
        self.peers: set[ServerConnection] = set()
        # What has been sent to all peers. Rows that are still due when a peer connects
        # are in its snapshot as well, and count too much there for one window.
        self.cursor: UsageCursor = {}

    def update_sources(self, members: Mapping[str, Member], is_relay: bool) -> None:
        """Connect to a relay of each other region, if this node is a relay."""
        chosen = self._choose(members) if is_relay and self.usage.is_active() else {}
        for region, source in list(self.sources.items()):
            if source.task.done():
                del self.sources[region]
            elif chosen.get(region) != source.relay:
                source.task.cancel()
        for region, relay in chosen.items():
            if region not in self.sources:
                task = asyncio.create_task(self._follow(region, relay))
                self.sources[region] = RegionSource(relay, task)

    async def serve(self, connection: ServerConnection) -> None:
        """Send the usage of this region to a peer until its connection closes."""
        message, cursor = self.usage.region_snapshot()
        broadcast([connection], pack(message))
        if not self.peers:
            self.cursor = cursor
        self.peers.add(connection)
        try:
            async for data in connection:
                decode(data)
        finally:
            self.peers.discard(connection)

    def send(self) -> None:
        """Send what this region has used since the last time to all peers."""
        for connection in list(self.peers):
            if connection.transport.get_write_buffer_size() > UNSENT_MAX_BYTES:
                self.peers.discard(connection)
                connection.transport.abort()
        if self.peers:
            broadcast(self.peers, pack(self.usage.region_changes(self.cursor)))

    async def close(self) -> None:
        """End all connections to other regions."""
        tasks = [source.task for source in self.sources.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _choose(self, members: Mapping[str, Member]) -> dict[str, Member]:
        """Return the relay to use of each other region."""
        now = self.usage.fleet.clock()
        regions = {row.region for row in members.values()} - {self.region, ""}
        chosen = {}
        for region in regions:
            choice = self.choices.setdefault(region, RelayChoice(self.host, region))
            if choice.members != members:
                choice.update(members)
            relays = choice.relays(now)
            if relays:
                chosen[region] = relays[0]
        return chosen

    async def _follow(self, region: str, relay: Member) -> None:
        """Receive the usage of a region until that fails, and record that."""
        try:
            problem = await self._receive(region, relay)
        except TimeoutError:
            problem = "no message in time"
        except Exception as error:
            # The relay must not be chosen again at once, whatever the error.
            problem = str(error) or repr(error)
        self.choices[region].record_failure(relay.host, self.usage.fleet.clock())
        fields: dict[str, object] = {
            "region": region,
            "relay": relay.host,
            "problem": problem,
        }
        self.write_log("PF1216", None, fields)

    async def _receive(self, region: str, relay: Member) -> str:
        """Receive messages until the connection closes; return that as the problem."""
        async with connect(
            f"ws://{relay.address}/",
            max_size=MESSAGE_MAX_BYTES,
            compression=None,
            proxy=None,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            ping_interval=None,
        ) as connection:
            await connection.send(
                pack(RegionSubscribe(self.host, self.region, relay.host))
            )
            while True:
                async with asyncio.timeout(FRESH_S):
                    message = decode(await connection.recv())
                if isinstance(message, RegionUsage):
                    self.usage.record_region(region, message)
                    self.choices[region].record_success(relay.host)
