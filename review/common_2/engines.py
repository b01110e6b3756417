"""Engine stand-ins of the second review."""

import contextlib
import socket
import threading
import time
from typing import Any

from review.common_2.deployment import Record
from tests.lib.platform_standin import (
    EndpointStandIn,
    Handler,
    StandInServer,
    StoreStandIn,
)

__all__ = ["CrashingEngine"]


class CrashingEngine(EndpointStandIn):
    """A decode engine that may crash, and is back at its address after some seconds.

    A crash closes the listener and all connections. The engine then starts as a new
    incarnation under its id, holds nothing of before, and announces itself.
    """

    down_s = 3.0

    def __init__(self, endpoint_id: str, store: StoreStandIn, record: Record) -> None:
        super().__init__(endpoint_id, "decode")
        self.store = store
        self.record = record
        self.slots = 12
        self.born = int(time.time() * 1000)
        self.crashes = 0
        self.is_up = True
        self.is_stopped = False
        self.sockets: set[socket.socket] = set()

    def announce(self) -> None:
        """Write the engine's entry to the store."""
        entry = self.entry("llm", born=self.born)
        self.store.put("keyed.servers", self.endpoint_id, entry)

    def serve(self, request: Handler, body: bytes) -> None:
        """Serve one request, and remember its connection."""
        with self.lock:
            self.sockets.add(request.connection)
        super().serve(request, body)

    def crash(self, request: Handler) -> None:
        """End as a process does, and come back later."""
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            self.crashes += 1
            sockets, self.sockets = self.sockets, set()
        self.record.add(f"{self.endpoint_id} crashes")
        self.server.shutdown()
        self.server.server_close()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        request.close_connection = True
        timer = threading.Timer(self.down_s, self.restart)
        timer.daemon = True
        timer.start()

    def restart(self) -> None:
        """Listen at the same address again, as a new incarnation."""
        host, _, port = self.address.rpartition(":")
        with self.lock:
            if self.is_stopped:
                return
            self.leases.clear()
            self.handles.clear()
            self.born = int(time.time() * 1000)
            self.server = StandInServer((host, int(port)), Handler)
            self.server.standin = self  # type: ignore[attr-defined]
            self.is_up = True
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()
        self.announce()
        self.record.add(f"{self.endpoint_id} is back")

    def stop(self) -> None:
        """Stop for good."""
        with self.lock:
            self.is_stopped = True
            was_up, self.is_up = self.is_up, False
        if was_up:
            super().stop()

    def stream(self, request: Handler, headers: dict[str, Any], body: bytes) -> None:
        """Run a stream, and write that to the record."""
        prefix = headers.get("Poplarfold-Prompt-Prefix", "")
        self.record.add(f"{self.endpoint_id} runs {request.path} {prefix}")
        super().stream(request, headers, body)
