"""Connects peers to endpoints that they do not reach.

One thread with an event loop serves all tunnels.
"""

import asyncio
import threading
from collections.abc import Callable, Mapping

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint, RequestLimits
from poplarfold._internal.core.fleet.tunnel_messages import (
    FRAME_LENGTH,
    MESSAGE_LIMIT_BYTES,
    OpenTunnel,
    TunnelOutcome,
    TunnelReply,
    pack,
    unpack,
)
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.path_finder import PathFinder
from poplarfold._internal.gateway.tunnel import RecordSignal, Streams, Tunnel, abort
from poplarfold._internal.http.failures import is_shortage
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.utils.addresses import host_and_port

__all__ = ["TunnelServer"]

HELLO_TIMEOUT_S = 2.0
# Connections whose question is waited for, at most. The oldest one is closed for a
# further one, since nodes send their questions at once.
HANDSHAKES_MAX = 256


class TunnelServer:
    """Serves tunnels to the members of the fleet.

    ``members`` returns the known nodes, and ``record_signal`` gets what an answer says
    of its endpoint. ``is_stopping`` returns whether no further tunnel is served.
    """

    def __init__(
        self,
        fleet: Fleet,
        paths: PathFinder,
        members: Callable[[], Mapping[str, Member]],
        record_signal: RecordSignal,
        is_stopping: Callable[[], bool],
        write_log: WriteLog,
    ) -> None:
        self.fleet = fleet
        self.paths = paths
        self.members = members
        self.record_signal = record_signal
        self.is_stopping = is_stopping
        self.write_log = write_log
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        self.address: str | None = None
        # Open tunnels, and questions of members for them. This and the handshakes are
        # changed by the thread of the event loop only.
        self.count = 0
        # The connections whose question is waited for, the oldest first.
        self.handshakes: dict[asyncio.StreamWriter, None] = {}

    def start(self) -> str | None:
        """Start the thread; return the address that it listens on, or None."""
        thread = threading.Thread(target=self._run, name="tunnel-server", daemon=True)
        thread.start()
        self.started.wait()
        return self.address

    def stop(self) -> None:
        """End all tunnels and the listener."""
        if self.address is None:
            return
        asyncio.run_coroutine_threadsafe(self._stop(), self.loop)

    # Methods of the event loop's thread.

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._listen())
        finally:
            self.started.set()
        if self.address is not None:
            self.loop.run_forever()
        self.loop.close()

    async def _stop(self) -> None:
        """End all tasks, and the event loop after them."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.loop.stop()

    async def _listen(self) -> None:
        """Listen on the first free port."""
        host = self.fleet.host
        for port in host.peer_ports:
            try:
                server = await asyncio.start_server(self._serve, host.ip, port)
            except OSError:
                continue
            port = server.sockets[0].getsockname()[1]
            self.address = f"{host.ip}:{port}"
            return
        problem = f"no free port among {list(host.peer_ports)}"
        self.write_log("PF6505", None, {"problem": problem})

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one question for a tunnel, and the tunnel if it is opened."""
        try:
            hello = await self._read_hello(reader, writer)
            if hello is None:
                abort(writer)
                return
            self.count += 1
            try:
                await self._open(hello, (reader, writer))
            finally:
                self.count -= 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            abort(writer)
        except asyncio.CancelledError:
            # Only the stop cancels it. The streams of asyncio would log that as an
            # error of their own callback.
            abort(writer)
        except Exception as error:
            self.write_log("PF6505", None, {"problem": repr(error)})
            abort(writer)

    async def _read_hello(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> OpenTunnel | None:
        """Return the question of a member, or None if it is not one."""
        self.handshakes[writer] = None
        if len(self.handshakes) > HANDSHAKES_MAX:
            oldest = next(iter(self.handshakes))
            del self.handshakes[oldest]
            abort(oldest)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                head = await reader.readexactly(FRAME_LENGTH.size)
                (length,) = FRAME_LENGTH.unpack(head)
                if length > MESSAGE_LIMIT_BYTES:
                    return None
                hello = unpack(await reader.readexactly(length)).unwrap_or(None)
        finally:
            self.handshakes.pop(writer, None)
        if not isinstance(hello, OpenTunnel) or not self._is_member(hello, writer):
            return None
        return hello

    async def _open(self, hello: OpenTunnel, peer: Streams) -> None:
        """Answer a question for a tunnel, and forward bytes if it is opened."""
        writer = peer[1]
        outcome, endpoint = self._admit(hello)
        server = None
        if endpoint is not None:
            try:
                server = await self._connect(endpoint)
            except OSError as error:
                # A lack of descriptors on this node says nothing of the endpoint.
                is_short = is_shortage(error)
                outcome = TunnelOutcome.BUSY if is_short else TunnelOutcome.UNREACHABLE
        writer.write(pack(TunnelReply(outcome.value)))
        if server is None or endpoint is None:
            writer.close()
            return
        tunnel = Tunnel(
            hello.host,
            endpoint,
            peer,
            server,
            self._peer_idle_s(),
            hello.time_left_s,
            self.record_signal,
            self.write_log,
        )
        await tunnel.run()

    def _is_member(self, hello: OpenTunnel, writer: asyncio.StreamWriter) -> bool:
        """Return whether a node of the fleet asks, and wants to reach this one."""
        member = self.members().get(hello.host)
        if hello.peer != self.fleet.host.host or member is None:
            return False
        address = member.tunnel_address or member.address or ""
        peer_ip: str = writer.get_extra_info("peername")[0]
        return address.rpartition(":")[0] == peer_ip

    def _admit(self, hello: OpenTunnel) -> tuple[TunnelOutcome, FleetEndpoint | None]:
        """Decide on a question; the endpoint is None unless it is to be reached."""
        if self.is_stopping() or self.count > self.fleet.settings.tunnels:
            return TunnelOutcome.BUSY, None
        known = self.fleet.find_endpoint(hello.endpoint_id, hello.incarnation)
        if known is None:
            return TunnelOutcome.UNKNOWN, None
        if self.paths.is_cut(known.address):
            return TunnelOutcome.CUT_OFF, None
        if not self.fleet.admit_call(known):
            return TunnelOutcome.AWAY, None
        return TunnelOutcome.OPEN, known

    def _peer_idle_s(self) -> float:
        """Return for how long a peer may take nothing of what it was sent.

        It may read at the pace of a caller, whom it gives up after half of that.
        """
        table = self.fleet.directory.route_table
        limits = RequestLimits() if table is None else table.limits
        return 2 * (limits.idle_s or self.fleet.settings.caller_idle_s)

    async def _connect(self, endpoint: FleetEndpoint) -> Streams:
        """Connect to an endpoint over this node's own links. Raises OSError."""
        async with asyncio.timeout(self.fleet.settings.connect_s):
            found = await asyncio.open_connection(*host_and_port(endpoint.address))
        self.paths.record_reached(endpoint.address)
        return found
