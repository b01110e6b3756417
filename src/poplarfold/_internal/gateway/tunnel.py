"""Forwards the bytes of one tunnel between a peer and an endpoint.

A tunnel carries one request and its answer, which the node that asks for it makes as to
the endpoint itself. Only the head of the answer is looked at here: what the endpoint
says of itself binds this node as well, since its own calls come from the same address.
"""

import asyncio
import http.client
import io
import math
import socket
import struct
from collections.abc import Callable, Mapping, Sequence

from urllib3 import HTTPHeaderDict

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.server_signals import ServerSignal
from poplarfold._internal.core.fleet.tunnel_messages import FRAME_LENGTH
from poplarfold._internal.http.answer_socket import (
    HEAD_LIMIT_BYTES,
    RECEIPT_WAIT_S,
    has_sent_all,
    is_orderly_end,
    is_received,
    unacknowledged_bytes,
)
from poplarfold._internal.http.socket_watcher import has_closed
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import decode_answer_metadata
from poplarfold._internal.utils.clock import boot_time

__all__ = ["RESET_ON_CLOSE", "RecordSignal", "Streams", "Tunnel", "abort"]

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
FIRST_FINAL_STATUS = 200
# How long a reset is waited for that follows the end of an answer at once.
RESET_WAIT_S = 0.01
# A peer that takes nothing is found so in as many checks. These are counted, since the
# clock goes on while this process is frozen.
PEER_CHECKS = 20
# How often it is checked whether the peer has closed the connection. The event loop
# does not notice that while bytes of the peer wait for the endpoint.
PEER_END_CHECK_S = 0.25
# A peer ends its requests itself at their time, and this much later its tunnels are
# closed if it could not, as it froze or lost its links.
TIME_MARGIN_S = 0.5
# How often the kernel probes a silent connection to a peer. It takes whole seconds.
PROBE_PERIOD_S = 1
# The kernel takes no larger number of probes.
PROBES_MAX = 127
# How long the endpoint's kernel may take to acknowledge the end of a connection. Linux
# sends a lost one again after 0.2 s, and after 0.4 s more.
ENDPOINT_END_S = 1.0
# How often it is checked whether a kernel has acknowledged all that was sent.
RECEIPT_CHECK_S = 0.01
# Makes close() send a reset, so that an answer that broke off does not look complete.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

RecordSignal = Callable[[FleetEndpoint, ServerSignal, float, Sequence[str]], None]
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Tunnel:
    """One open tunnel between a peer and an endpoint.

    It ends if the peer takes no byte of what it was sent for ``peer_idle_s``, if its
    kernel is silent for so long, and after ``time_left_s`` unless that is 0. Otherwise
    it does not matter how long the answer takes, nor how long the endpoint is silent or
    reads nothing.
    """

    def __init__(
        self,
        host: str,
        endpoint: FleetEndpoint,
        peer: Streams,
        endpoint_streams: Streams,
        peer_idle_s: float,
        time_left_s: float,
        record_signal: RecordSignal,
        write_log: WriteLog,
    ) -> None:
        self.host = host
        self.endpoint = endpoint
        self.peer_reader, self.peer_writer = peer
        self.reader, self.writer = endpoint_streams
        self.opened_at = boot_time()
        # The head of the answer as far as it has come; None once it was read.
        self.head: bytes | None = b""
        self.sent_bytes = self.received_bytes = 0
        # Bytes for the peer, those in the buffers of this process and the kernel too.
        self.written_bytes = 0
        self.peer_idle_s = peer_idle_s
        self.time_left_s = time_left_s
        self.is_whole = False
        self.record_signal = record_signal
        self.write_log = write_log

    async def run(self) -> None:
        """Forward bytes until a side ends, the peer takes no more, or time is up."""
        limit_s = self.time_left_s + TIME_MARGIN_S if self.time_left_s > 0 else None
        tasks = [
            asyncio.create_task(self._forward_request()),
            asyncio.create_task(self._forward_answer()),
            asyncio.create_task(self._watch_peer()),
            asyncio.create_task(self._wait_for_peer_end()),
        ]
        try:
            self._probe_peer()
            await asyncio.wait(
                tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()

    def _probe_peer(self) -> None:
        """Have the kernel find out whether the peer still has its connection.

        A peer that gives up a request resets the connection, and that reset is not sent
        again if it is lost. The kernel of the peer answers the next probe by another.
        """
        sock = self.peer_writer.get_extra_info("socket")
        probes = math.ceil(self.peer_idle_s / PROBE_PERIOD_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_PERIOD_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, min(probes, PROBES_MAX))
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    async def _forward_request(self) -> None:
        """Send the peer's bytes to the endpoint, until the peer closes."""
        while data := await self.peer_reader.read(READ_BYTES):
            self.sent_bytes += len(data)
            self.writer.write(data)
            await self.writer.drain()

    async def _forward_answer(self) -> None:
        """Send the endpoint's bytes to the peer in frames, and its end if in order."""
        while data := await self.reader.read(READ_BYTES):
            self.received_bytes += len(data)
            self._look_at_head(data)
            await self._send_frame(data)
        if await self._has_ended_in_order():
            # Nothing may be left in the buffer, as nothing bounds it after the close.
            self.peer_writer.transport.set_write_buffer_limits(0)
            await self._send_frame(b"")
            self.is_whole = True

    async def _send_frame(self, data: bytes) -> None:
        """Send a frame to the peer; wait until it has taken most of what it got."""
        frame = FRAME_LENGTH.pack(len(data)) + data
        self.written_bytes += len(frame)
        self.peer_writer.write(frame)
        await self.peer_writer.drain()

    async def _watch_peer(self) -> None:
        """Wait until the peer has taken nothing for too long of what is left for it."""
        taken_bytes = idle_checks = 0
        while idle_checks < PEER_CHECKS:
            await asyncio.sleep(self.peer_idle_s / PEER_CHECKS)
            left_bytes = self._left_bytes()
            is_idle = left_bytes and self.written_bytes - left_bytes == taken_bytes
            idle_checks = idle_checks + 1 if is_idle else 0
            taken_bytes = self.written_bytes - left_bytes

    async def _wait_for_peer_end(self) -> None:
        """Wait until the peer has closed, also behind bytes that were not read yet."""
        sock = self.peer_writer.get_extra_info("socket")
        while not has_closed(sock.fileno()):
            await asyncio.sleep(PEER_END_CHECK_S)

    def _left_bytes(self) -> int:
        """Return how many bytes the peer's kernel has not taken yet."""
        unsent = self.peer_writer.transport.get_write_buffer_size()
        sock = self.peer_writer.get_extra_info("socket")
        return unsent + unacknowledged_bytes(sock)

    async def _has_ended_in_order(self) -> bool:
        """Return whether the endpoint ended the connection without a reset.

        A reset may follow the end at once, and the receipt of the request is waited
        for, as where an answer is read without a tunnel.
        """
        sock = self.writer.get_extra_info("socket")
        until = boot_time() + RECEIPT_WAIT_S
        await asyncio.sleep(RESET_WAIT_S)
        await wait_received(sock, until)
        return is_orderly_end(sock)

    def _look_at_head(self, data: bytes) -> None:
        """Record what the head of the answer says of the endpoint."""
        if self.head is None:
            return
        self.head += data
        while self.head is not None and HEAD_END in self.head:
            head, _, rest = self.head.partition(HEAD_END)
            status, headers = parse_head(head + HEAD_END)
            if status is None or status >= FIRST_FINAL_STATUS:
                self.head = None
                if status is not None:
                    self._record_signal(status, headers)
                return
            self.head = rest
        if self.head is not None and len(self.head) > HEAD_LIMIT_BYTES:
            self.head = None

    def _record_signal(self, status: int, headers: Mapping[str, str]) -> None:
        metadata = decode_answer_metadata(status, headers)
        if not metadata.is_other_endpoint:
            self.record_signal(
                self.endpoint,
                metadata.signal,
                self.opened_at,
                metadata.unknown_headers,
            )

    async def _close(self) -> None:
        """Close both connections; a tunnel that broke off ends with a reset."""
        if self.is_whole:
            self.peer_writer.close()
        else:
            abort(self.peer_writer)
        try:
            if not self.is_whole:
                await self._end_request()
        finally:
            abort(self.writer)
        fields = {
            "host": self.host,
            "endpoint": self.endpoint.endpoint_id,
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
            "is_whole": self.is_whole,
            "open_s": round(boot_time() - self.opened_at, 3),
        }
        self.write_log("PF6504", None, fields)

    async def _end_request(self) -> None:
        """End the connection to the endpoint in order, and wait for the receipt.

        The kernel sends such an end again if it is lost, but no reset. It would not
        arrive behind bytes of the request that the endpoint does not take.
        """
        if self.writer.is_closing() or self.writer.transport.get_write_buffer_size():
            return
        sock = self.writer.get_extra_info("socket")
        if not has_sent_all(sock):
            return
        try:
            self.writer.write_eof()
        except OSError:
            # The endpoint has just reset the connection.
            return
        await wait_received(sock, boot_time() + ENDPOINT_END_S)


async def wait_received(sock: socket.socket, until: float) -> None:
    """Wait until the peer's kernel has acknowledged all that was sent, or a time."""
    while not is_received(sock) and boot_time() < until:
        await asyncio.sleep(RECEIPT_CHECK_S)


def parse_head(head: bytes) -> tuple[int | None, Mapping[str, str]]:
    """Return the status and headers of an answer; None for the status if malformed."""
    source = io.BytesIO(head)
    try:
        _, status, *_ = source.readline().split(None, 2)
        return int(status), HTTPHeaderDict(http.client.parse_headers(source).items())
    except (ValueError, http.client.HTTPException):
        return None, {}


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection at once."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            pass
    writer.transport.abort()
