"""A loopback TCP proxy that delays, holds, refuses and resets connections."""

import contextlib
import socket
import struct
import threading
import time
from enum import StrEnum

__all__ = ["Link", "LinkMode"]

CHUNK_BYTES = 65_536
HELD_LINK_POLL_S = 0.02
# Makes close() send RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(StrEnum):
    """How a link treats its connections and their bytes.

    SILENT holds back the bytes of both directions, ONE_WAY_OUT those to the target
    and ONE_WAY_BACK those to the caller.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY_OUT = "one_way_out"
    ONE_WAY_BACK = "one_way_back"
    REFUSE = "refuse"


HELD_TO_TARGET = {LinkMode.SILENT, LinkMode.ONE_WAY_OUT}
HELD_TO_CALLER = {LinkMode.SILENT, LinkMode.ONE_WAY_BACK}


class Link:
    """Forwards connections to ``target``; callers connect to ``address``."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = LinkMode.PASS
        self.delay_s = 0.0
        self.lock = threading.Lock()
        self.open_sockets: set[socket.socket] = set()
        self.stopping = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the link is stopped."""
        while not self.stopping.is_set():
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller: socket.socket) -> None:
        """Connect one caller to the target and forward in both directions."""
        if self.mode is LinkMode.REFUSE:
            reset(caller)
            return
        try:
            upstream = socket.create_connection(self.target, timeout=5.0)
        except OSError:
            reset(caller)
            return
        upstream.settimeout(None)
        with self.lock:
            self.open_sockets |= {caller, upstream}
        for source, sink, held in (
            (caller, upstream, HELD_TO_TARGET),
            (upstream, caller, HELD_TO_CALLER),
        ):
            threading.Thread(
                target=self.forward, args=(source, sink, held), daemon=True
            ).start()

    def forward(
        self, source: socket.socket, sink: socket.socket, held: set[LinkMode]
    ) -> None:
        """Forward one direction until its source closes it."""
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.mode is LinkMode.DELAY:
                    time.sleep(self.delay_s)
                while self.mode in held and not self.stopping.is_set():
                    time.sleep(HELD_LINK_POLL_S)
                sink.sendall(data)
            while self.mode in held and not self.stopping.is_set():
                time.sleep(HELD_LINK_POLL_S)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source)
            reset(sink)
        with self.lock:
            self.open_sockets -= {source}

    def reset_all(self) -> None:
        """Reset all open connections."""
        with self.lock:
            found, self.open_sockets = self.open_sockets, set()
        for sock in found:
            reset(sock)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.stopping.set()
        self.listener.close()
        self.reset_all()


def reset(sock: socket.socket) -> None:
    """Reset one connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        sock.close()
