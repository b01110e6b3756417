"""A node that is cut off from endpoints, and a peer that reaches them."""

import contextlib
import ctypes
import errno
import fcntl
import select
import socket
import struct
import sys
import termios
import threading
import time

from tests.lib.listeners import end_listener
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.tunnel_messages import TunnelReply, pack
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.path_finder import PathFinder
from poplarfold._internal.gateway.peer_tunnels import PeerTunnels
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.tunnel_server import TunnelServer
from poplarfold._internal.http.endpoint_client import EndpointClient

CONNECT_S = 0.3
# Linux's number of the option that sets a socket's packet filter.
SO_ATTACH_FILTER = 26
# Classic BPF on the TCP header: load the flags, keep RST and ACK, and drop a segment
# that has both. The reset of a close has both; one that answers a segment has no ACK.
DROP_CLOSING_RESETS = (
    (0x30, 0, 0, 13),
    (0x54, 0, 0, 0x14),
    (0x15, 0, 1, 0x14),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)
DROP_ALL = ((0x06, 0, 0, 0),)


def drop_segments(sock, program):
    """Have the kernel drop the segments for a TCP socket that a program selects."""
    code = b"".join(struct.pack("HBBI", *row) for row in program)
    buffer = ctypes.create_string_buffer(code, len(code))
    option = struct.pack("HL", len(program), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


class CutFinder(PathFinder):
    """Paths of a node whose own connections to endpoints are refused."""

    is_cut_off = True

    def connect(self, address, connect_directly, time_left_s=None):
        def refuse():
            raise ConnectionRefusedError(f"{address} is cut off")

        direct = refuse if self.is_cut_off else connect_directly
        return super().connect(address, direct, time_left_s)

    def _probe(self, addresses):
        if self.is_cut_off:
            return dict.fromkeys(addresses, errno.ECONNREFUSED)
        return super()._probe(addresses)


class TunnelNode:
    """One node with its paths, and a server of tunnels."""

    def __init__(self, name, members, finder=PathFinder, **settings):
        self.name = name
        self.logged = []
        host = host_settings(name, "127.0.0.1:1")
        self.fleet = Fleet(host, GatewaySettings()._replace(**settings), len(name))
        tunnels = PeerTunnels(self.fleet, lambda: members, self.write_log)
        self.paths = finder(self.fleet, tunnels, self.write_log)
        self.client = EndpointClient(CONNECT_S, paths=self.paths)
        self.signals = []
        self.is_stopping = False
        self.members = members
        self.server = self.make_server()
        address = self.server.start()
        members[name] = Member(name, 1, "lahore", None, 0.0, "lhr-a", address)

    def make_server(self):
        """Return a server of tunnels that has not started."""
        return TunnelServer(
            self.fleet,
            self.paths,
            lambda: self.members,
            self.record_signal,
            lambda: self.is_stopping,
            self.write_log,
        )

    def write_log(self, number, call_id, fields):
        self.logged.append((number, fields))

    def record_signal(self, endpoint, signal, sent_at, unknown_headers=()):
        self.signals.append(signal)
        self.fleet.record_limit(endpoint, signal.limit_per_s, sent_at)
        self.fleet.record_signal(endpoint, signal)

    def announce(self, endpoint_id, address, **changes):
        row = FleetEndpoint(
            endpoint_id, 1, "registry", address, "lhr-a", EndpointRole.SERVICE, 4,
            False, 0.0,
        )._replace(**changes)  # fmt: skip
        with self.fleet.lock:
            self.fleet.directory.apply_endpoint(endpoint_id, row, self.fleet.clock())
        return row


class TunnelPair:
    """A node that is cut off, and a peer. ``use_tunnels`` makes it ask the peer."""

    def __init__(self, **settings):
        self.members = {}
        self.node = TunnelNode("front-lhr-a-1", self.members, CutFinder)
        self.peer = TunnelNode("front-lhr-a-2", self.members, **settings)

    def announce(self, endpoint_id, address, **changes):
        """Announce an endpoint to both nodes, and let the node find it cut off."""
        row = self.node.announce(endpoint_id, address)
        self.peer.announce(endpoint_id, address, **changes)
        self.node.paths.paths.record_cut(address, True, self.node.fleet.clock())
        return row

    def note_tunnels(self):
        """Return a list that gets the peer's socket of each question for a tunnel."""
        found, serve = [], self.peer.server._open

        async def note(hello, peer):
            found.append(peer[1].get_extra_info("socket"))
            await serve(hello, peer)

        self.peer.server._open = note
        return found

    def stop(self):
        for node in (self.node, self.peer):
            node.server.stop()


class BusyPeer:
    """A peer that opens a tunnel, and takes no connection before ``accept`` is called.

    Its backlog is full, so that the kernel of a node tries again to connect.
    """

    def __init__(self):
        self.may_accept = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.filler = socket.create_connection(self.listener.getsockname())
        threading.Thread(target=self.serve, daemon=True).start()

    def accept(self):
        self.may_accept.set()

    def serve(self):
        self.may_accept.wait()
        with contextlib.suppress(OSError):
            self.listener.accept()[0].close()
            sock, _ = self.listener.accept()
            with sock:
                sock.recv(1000)
                sock.sendall(pack(TunnelReply("open")))
                while sock.recv(1000):
                    pass

    def stop(self):
        self.accept()
        end_listener(self.listener)
        self.filler.close()


class RawEndpoint:
    """A server that answers requests with the body ``body`` by given bytes.

    With ``is_reset`` it resets the connection after them, and with ``keeps_open`` it
    waits for the caller to close it.
    """

    def __init__(self, data=b"", is_reset=False, keeps_open=False, pause_s=0.0):
        self.data = data
        self.is_reset = is_reset
        self.keeps_open = keeps_open
        self.pause_s = pause_s
        self.requests = []
        self.closed_at = None
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with contextlib.suppress(OSError), sock:
                self.answer(sock)

    def answer(self, sock):
        data = b""
        while not data.endswith(b"\r\n\r\nbody"):
            part = sock.recv(65536)
            if not part:
                return
            data += part
        self.requests.append(data)
        for part in self.data if isinstance(self.data, list) else [self.data]:
            sock.sendall(part)
            time.sleep(self.pause_s)
        if self.keeps_open:
            with contextlib.suppress(OSError):
                while sock.recv(65536):
                    pass
            self.closed_at = time.monotonic()
        if self.is_reset:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def stop(self):
        end_listener(self.listener)


class UnreadEndpoint:
    """A server that accepts one connection, ``sock``, and does not read from it."""

    def __init__(self):
        self.sock = None
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            self.sock, _ = self.listener.accept()

    def queued_bytes(self):
        """Return how many bytes have arrived and were not read."""
        count = fcntl.ioctl(self.sock, termios.FIONREAD, bytes(4))
        return int.from_bytes(count, sys.byteorder)

    def is_closed(self):
        """Return whether the other side has ended the connection."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def stop(self):
        end_listener(self.listener)
        if self.sock is not None:
            self.sock.close()
