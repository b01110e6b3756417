"""Runs a router process that a test can partition from all endpoints.

The process is the one of ``poplarfold_gateway.py``, but that it takes its connections
to endpoints through ``CutSockets``. A file names the endpoints' ports, and how they are
reached: see ``CutMode``. The store, callers and other hosts are always reached.
"""

import contextlib
import json
import os
import socket
import stat
import sys
import threading
import time
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any

CONTROL_VARIABLE = "POPLARFOLD_TEST_CUT"
ROOT = Path(__file__).resolve().parents[2]
POLL_S = 0.01


class CutMode(StrEnum):
    """How endpoints are reached.

    RESET refuses new connections and resets the open ones, HANG lets both hang, and
    LIVE refuses new ones only.
    """

    NONE = "none"
    RESET = "reset"
    HANG = "hang"
    LIVE = "live"


def write_control(control: Path, mode: CutMode, addresses: Iterable[str]) -> None:
    """Change how the process that follows a file reaches endpoints."""
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    control.write_text(json.dumps({"mode": mode.value, "ports": ports}))


class CutSockets:
    """The connections of this process to endpoints."""

    def __init__(self, control: Path) -> None:
        self.control = control
        self.mode = CutMode.NONE
        self.ports: frozenset[int] = frozenset()
        # Nothing listens at the first address, and the open socket reserves its port:
        # a port that was closed may be given to a server of another test. It must not
        # set SO_REUSEADDR, with which others could bind the port as well. The queue of
        # the second listener is full, so that connections to it hang.
        self.refusing = socket.socket()
        self.refusing.bind(("127.0.0.1", 0))
        self.refused_address = self.refusing.getsockname()
        self.full = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.silent_address = self.full.getsockname()
        self.fillers = [self.fill() for _ in range(4)]
        self.pairs: list[Any] = []
        # Held while a connection is cut and while a socket is closed: a descriptor that
        # is closed meanwhile may be given to another connection, which would be cut.
        self.lock = threading.RLock()
        self.connect = socket.socket.connect
        self.read()

    def fill(self) -> socket.socket:
        found = socket.socket()
        found.setblocking(False)
        found.connect_ex(self.silent_address)
        return found

    def install(self) -> None:
        """Replace the connections of all sockets, and follow the file."""
        self.replace_calls()
        threading.Thread(target=self.follow, daemon=True).start()

    def replace_calls(self) -> None:
        """Replace the calls by which all sockets are connected and closed."""
        real_close: Any = socket.socket._real_close  # type: ignore[attr-defined]

        def connect(sock: socket.socket, address: Any) -> None:
            self.connect_or_cut(sock, address)

        def close(sock: socket.socket, *given: Any) -> None:
            with self.lock:
                real_close(sock, *given)

        socket.socket.connect = connect  # type: ignore[method-assign]
        socket.socket._real_close = close  # type: ignore[attr-defined]

    def connect_or_cut(self, sock: socket.socket, address: Any) -> None:
        """Connect a socket; cut the connection if a cut has begun meanwhile."""
        self.connect(sock, self.redirect(address))
        # The cut found no open connection to reset if it began between these calls.
        if self.mode in (CutMode.RESET, CutMode.HANG):
            self.cut(sock.fileno())

    def redirect(self, address: Any) -> Any:
        """Return the address to connect to in place of another one."""
        if not isinstance(address, tuple) or address[1] not in self.ports:
            return address
        if self.mode in (CutMode.RESET, CutMode.LIVE):
            return self.refused_address
        if self.mode is CutMode.HANG:
            return self.silent_address
        return address

    def follow(self) -> None:
        while True:
            time.sleep(POLL_S)
            self.read()

    def read(self) -> None:
        """Take over what the file says."""
        try:
            fields = json.loads(self.control.read_text())
        except ValueError:
            # It is being written.
            return
        self.ports = frozenset(fields["ports"])
        mode = CutMode(fields["mode"])
        if mode is self.mode:
            return
        self.mode = mode
        if mode in (CutMode.RESET, CutMode.HANG):
            for descriptor in map(int, os.listdir("/proc/self/fd")):
                # Another thread may close it meanwhile.
                with contextlib.suppress(OSError):
                    self.cut(descriptor)

    def cut(self, descriptor: int) -> None:
        """Reset an open connection, or replace it by one on which nothing arrives."""
        with self.lock:
            self.cut_locked(descriptor)

    def cut_locked(self, descriptor: int) -> None:
        if not os.path.exists(f"/proc/self/fd/{descriptor}"):
            return
        if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            return
        with (
            contextlib.suppress(OSError),
            socket.socket(fileno=os.dup(descriptor)) as sock,
        ):
            if sock.family != socket.AF_INET:
                return
            if sock.getpeername()[1] not in self.ports:
                return
            if self.mode is CutMode.RESET:
                sock.shutdown(socket.SHUT_RDWR)
                return
            pair = socket.socketpair()
            self.pairs.append(pair)
            os.dup2(pair[0].fileno(), descriptor)


def install_cuts() -> None:
    """Take this process's connections to endpoints through ``CutSockets``."""
    CutSockets(Path(os.environ[CONTROL_VARIABLE])).install()


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))
    # Installs the program's early signal handlers.
    import poplarfold_gateway

    install_cuts()
    sys.exit(poplarfold_gateway.main())
