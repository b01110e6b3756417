"""Connections between nodes: websockets with CBOR messages, in one thread.

At most one connection per peer and direction is in use. Both ends first send
Hello. With TLS, the certificate must contain the host id in the Hello. A malformed
message closes the connection.
"""

import asyncio
import ssl
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from poplarfold._internal.core.events import (
    HostListRow,
    PeerConnectFailed,
    PeerReceived,
)
from poplarfold._internal.core.messages import Hello, PeerMessage
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.peer_codec import MESSAGE_MAX_BYTES, decode, encode
from poplarfold._internal.daemon.tls import PeerTls, certificate_error
from poplarfold._internal.exceptions import PeerProtocolError
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.utils.backoff import doubled_s

__all__ = ["PeerLink"]

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
# A connection whose heartbeat is not answered within the timeout is replaced.
HEARTBEAT_S = 2.0
HEARTBEAT_TIMEOUT_S = 4.0
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
QUEUE_MAX_MESSAGES = 1_000
# Older queued messages are dropped, since their peer is unreachable.
MESSAGE_MAX_AGE_S = 2.0
IDLE_CLOSE_S = 60.0
# A connection that closes earlier than this counts as a failed attempt to connect.
STABLE_CONNECTION_S = 1.0
RATE_MESSAGES_PER_S = 5_000.0
BURST_MAX_MESSAGES = 10_000.0
TLS_RELOAD_S = 5.0


class Peer:
    """The outgoing queue of one peer and the task that sends its messages."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.queue: deque[tuple[float, bytes]] = deque(maxlen=QUEUE_MAX_MESSAGES)
        self.ready = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.inbound: Connection | None = None
        self.dropped = 0


class RateLimit:
    """A token bucket that limits received messages."""

    def __init__(self, now: float) -> None:
        self.tokens = BURST_MAX_MESSAGES
        self.updated_at = now

    def take(self, now: float) -> bool:
        """Count one message. Returns False if the sender exceeds the rate."""
        gained = (now - self.updated_at) * RATE_MESSAGES_PER_S
        self.tokens = min(BURST_MAX_MESSAGES, self.tokens + gained) - 1.0
        self.updated_at = now
        return self.tokens >= 0.0


class PeerLink:
    """Sends and receives peer messages. ``send`` may be called by any thread.

    ``me`` is called for each new connection and returns this process's HostKey.
    ``post`` receives PeerReceived and PeerConnectFailed events.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        me: Callable[[], HostKey],
        domain: str,
        post: Callable[[Any], None],
        write_log: WriteLog,
        tls: PeerTls | None = None,
    ) -> None:
        self.listen = listen
        self.me = me
        self.domain = domain
        self.post = post
        self.write_log = write_log
        self.tls = tls
        self.routes: dict[str, str] = {}
        self.peers: dict[str, Peer] = {}
        self.loop = asyncio.new_event_loop()
        self.random = Random()
        self.server: Server | None = None
        self.port = 0
        self.started = threading.Event()
        self.failure: BaseException | None = None
        self.stopping: asyncio.Event = asyncio.Event()
        self.thread = threading.Thread(target=self._run, name="peer-link", daemon=True)

    # Methods for any thread.

    def start(self) -> None:
        """Start the thread and listen. Raises OSError or SettingsError on failure."""
        if self.tls is not None:
            loaded = self.tls.reload()
            if isinstance(loaded, Err):
                raise loaded.err_value
        self.thread.start()
        self.started.wait()
        if self.failure is not None:
            raise self.failure

    def stop(self) -> None:
        """Close all connections and stop the thread."""
        if self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.stopping.set)
            self.thread.join()

    def send(self, host: str, message: PeerMessage) -> None:
        """Queue a message. It is dropped if the peer is unreachable."""
        data = encode(message)
        try:
            self.loop.call_soon_threadsafe(self._enqueue, host, data)
        except RuntimeError:
            # The loop has been closed by stop().
            return

    def update_routes(self, hosts: Iterable[HostListRow]) -> None:
        """Update the addresses of entry hosts from a host list."""
        routes = {row.host: row.address for row in hosts if row.kind == "entry"}
        self.routes = self.routes | routes

    # Methods for the event loop's thread.

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._main())
        except BaseException as error:
            self.failure = error
        finally:
            self.started.set()
            self.loop.close()

    async def _main(self) -> None:
        host, port = self.listen
        self.server = await serve(
            self._accept,
            host,
            port,
            ssl=self.tls.server if self.tls else None,
            max_size=MESSAGE_MAX_BYTES,
            compression=None,
            open_timeout=HELLO_TIMEOUT_S,
            ping_interval=HEARTBEAT_S,
            ping_timeout=HEARTBEAT_TIMEOUT_S,
        )
        self.port = next(iter(self.server.sockets)).getsockname()[1]
        self.started.set()
        reloads = asyncio.ensure_future(self._reload_keys())
        await self.stopping.wait()
        reloads.cancel()
        self.server.close(close_connections=True)
        tasks = [peer.task for peer in self.peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(reloads, *tasks, return_exceptions=True)
        await self.server.wait_closed()

    async def _reload_keys(self) -> None:
        while self.tls is not None:
            await asyncio.sleep(TLS_RELOAD_S)
            reloaded = self.tls.reload()
            if isinstance(reloaded, Err):
                self.write_log("PF6104", None, {"problem": str(reloaded.err_value)})

    def _enqueue(self, host: str, data: bytes) -> None:
        peer = self._get_or_create_peer(host)
        if len(peer.queue) == QUEUE_MAX_MESSAGES:
            peer.dropped += 1
        peer.queue.append((self.loop.time(), data))
        peer.ready.set()
        if peer.task is None or peer.task.done():
            peer.task = self.loop.create_task(self._deliver_queue(peer))

    def _get_or_create_peer(self, host: str) -> Peer:
        if host not in self.peers:
            self.peers[host] = Peer(host)
        return self.peers[host]

    async def _deliver_queue(self, peer: Peer) -> None:
        """Send a peer's queued messages, on its connection or on a new one."""
        failures = 0
        while peer.queue:
            if peer.inbound is not None:
                await self._send_queued(peer, peer.inbound)
                peer.inbound = None
                continue
            address = self.routes.get(peer.host)
            if address is None:
                peer.queue.clear()
                return
            opened = await self._connect(peer, address)
            if isinstance(opened, Ok):
                since = self.loop.time()
                connection, sender = opened.ok_value
                reader = asyncio.ensure_future(self._read(connection, sender))
                try:
                    await self._send_queued(peer, connection)
                finally:
                    reader.cancel()
                    await asyncio.gather(reader, return_exceptions=True)
                    await connection.close()
                if self.loop.time() >= since + STABLE_CONNECTION_S:
                    failures = 0
                    continue
                # A connection that the peer closes this early counts as a failure:
                # the peer has refused this node after the exchange of Hello.
            else:
                self.post(PeerConnectFailed(peer.host, opened.err_value))
            failures += 1
            self._drop_expired(peer)
            delay = doubled_s(RECONNECT_MIN_S, failures, RECONNECT_MAX_S)
            await asyncio.sleep(delay * (0.5 + self.random.random()))
            self._drop_expired(peer)

    def _drop_expired(self, peer: Peer) -> None:
        oldest = self.loop.time() - MESSAGE_MAX_AGE_S
        while peer.queue and peer.queue[0][0] < oldest:
            peer.queue.popleft()
            peer.dropped += 1

    async def _connect(
        self, peer: Peer, address: str
    ) -> Result[tuple[Connection, HostKey], bool]:
        """Open a connection and exchange Hello.

        The value of Err is True if the peer's host refused the connection.
        """
        scheme = "wss" if self.tls else "ws"
        context: ssl.SSLContext | None = self.tls.client if self.tls else None
        try:
            connection = await connect(
                f"{scheme}://{address}/",
                ssl=context,
                max_size=MESSAGE_MAX_BYTES,
                compression=None,
                proxy=None,
                open_timeout=CONNECT_TIMEOUT_S,
                ping_interval=HEARTBEAT_S,
                ping_timeout=HEARTBEAT_TIMEOUT_S,
            )
        except ConnectionRefusedError:
            return Err(True)
        except (OSError, WebSocketException, TimeoutError):
            return Err(False)
        handshake = await self._handshake(connection)
        if isinstance(handshake, Ok) and handshake.ok_value.host == peer.host:
            self.post(PeerReceived(host_key(handshake.ok_value), handshake.ok_value))
            return Ok((connection, host_key(handshake.ok_value)))
        problem = (
            str(handshake.err())
            if isinstance(handshake, Err)
            else "the Hello names another host"
        )
        self.write_log("PF6103", None, {"peer": peer.host, "problem": problem})
        await connection.close(1008)
        return Err(False)

    async def _handshake(
        self, connection: Connection
    ) -> Result[Hello, PeerProtocolError]:
        """Exchange Hello and check the peer's Hello against its certificate."""
        me = self.me()
        try:
            await connection.send(encode(Hello(me.host, me.incarnation, self.domain)))
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                data = await connection.recv()
        except (ConnectionClosed, TimeoutError) as error:
            return Err(PeerProtocolError(f"no Hello received: {error!r}"))
        if isinstance(data, str):
            return Err(PeerProtocolError("expected a binary message, got text"))
        decoded = decode(data)
        if isinstance(decoded, Err):
            return decoded
        hello = decoded.ok_value
        if not isinstance(hello, Hello):
            return Err(PeerProtocolError("the first message is not Hello"))
        if self.tls is not None:
            handle = connection.transport.get_extra_info("ssl_object")
            certificate = handle.getpeercert() if handle else None
            mismatch = certificate_error(certificate, hello.host)
            if mismatch is not None:
                return Err(mismatch)
        return Ok(hello)

    async def _accept(self, connection: Connection) -> None:
        """Handle a connection that a peer has opened."""
        handshake = await self._handshake(connection)
        if isinstance(handshake, Err):
            problem = str(handshake.err_value)
            remote = str(connection.remote_address)
            self.write_log("PF6103", None, {"peer": remote, "problem": problem})
            await connection.close(1008)
            return
        hello = handshake.ok_value
        self.post(PeerReceived(host_key(hello), hello))
        peer = self._get_or_create_peer(hello.host)
        peer.inbound = connection
        try:
            await self._read(connection, host_key(hello))
        finally:
            if peer.inbound is connection:
                peer.inbound = None
            peer.ready.set()

    async def _send_queued(self, peer: Peer, connection: Connection) -> None:
        """Send queued messages until the connection closes or exceeds IDLE_CLOSE_S."""
        closed = asyncio.ensure_future(connection.wait_closed())
        waiting: asyncio.Future[Any] | None = None
        try:
            while not closed.done():
                while peer.queue:
                    # The message stays queued until the send succeeds, so that a
                    # failed connection does not lose it.
                    await connection.send(peer.queue[0][1])
                    peer.queue.popleft()
                peer.ready.clear()
                waiting = asyncio.ensure_future(peer.ready.wait())
                await asyncio.wait(
                    {closed, waiting},
                    timeout=IDLE_CLOSE_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not waiting.done():
                    return
        except ConnectionClosed:
            return
        finally:
            closed.cancel()
            if waiting is not None:
                waiting.cancel()

    async def _read(self, connection: Connection, sender: HostKey) -> None:
        """Post the messages from a peer until its connection closes."""
        limit = RateLimit(time.monotonic())
        try:
            async for data in connection:
                problem = self._receive(data, sender, limit)
                if problem is not None:
                    fields: dict[str, object] = {
                        "peer": sender.host,
                        "problem": problem,
                    }
                    self.write_log("PF6102", None, fields)
                    await connection.close(1008)
                    return
        except ConnectionClosed:
            return

    def _receive(
        self, data: bytes | str, sender: HostKey, limit: RateLimit
    ) -> str | None:
        """Decode and post one message, or return why it is invalid."""
        if isinstance(data, str):
            return "expected a binary message, got text"
        if not limit.take(time.monotonic()):
            return f"rate limit of {RATE_MESSAGES_PER_S:.0f} messages/s exceeded"
        decoded = decode(data)
        if isinstance(decoded, Err):
            return str(decoded.err_value)
        if decoded.ok_value is not None:
            self.post(PeerReceived(sender, decoded.ok_value))
        return None


def host_key(hello: Hello) -> HostKey:
    return HostKey(hello.host, hello.incarnation)
