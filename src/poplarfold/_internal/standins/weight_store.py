"""Weight store stand-in over HTTP, with one bandwidth limit for all readers."""

import asyncio

from poplarfold._internal.standins.http_server import (
    Reply,
    Request,
    ServerLoop,
    StandIn,
)
from poplarfold._internal.standins.weight_store_model import WeightStoreModel

__all__ = ["WeightStoreStandIn"]

TICK_S = 0.02
DEFAULT_SIZE_BYTES = 1_000_000
DEFAULT_RATE_BYTES_PER_S = 20_000_000.0


class Download:
    """One open response to a reader."""

    __slots__ = ("reader", "reply", "sent", "size")

    def __init__(self, reader: str, reply: Reply, size: int) -> None:
        self.reader = reader
        self.reply = reply
        self.size = size
        self.sent = 0


class WeightStoreStandIn(StandIn):
    """The weight store on a loopback port. Weights are a fixed number of zero bytes."""

    kind = "weight_store"

    def __init__(
        self,
        server: ServerLoop,
        bytes_per_s: float = DEFAULT_RATE_BYTES_PER_S,
        size_bytes: int = DEFAULT_SIZE_BYTES,
        max_readers: int = 64,
        port: int = 0,
    ) -> None:
        self.model = WeightStoreModel(bytes_per_s, max_readers)
        self.size_bytes = size_bytes
        self.downloads: dict[str, Download] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.downloads_started = 0
        super().__init__(server, port)

    def on_start(self) -> None:
        """Start without readers."""
        self.model.bytes_left.clear()
        self.model.now = self.now()
        self.downloads = {}

    def handle(self, request: Request, reply: Reply) -> None:
        """Start a download, or reject it with 429 if there are too many readers."""
        if request.method != "GET" or not request.path.startswith("/weights/"):
            reply.json(404, {"code": "not_found"})
            return
        self.downloads_started += 1
        reader = str(self.downloads_started)
        if not self.model.start(self.now(), reader, self.size_bytes):
            reply.json(429, {"code": "too_many_readers"})
            return
        download = Download(reader, reply, self.size_bytes)
        self.downloads[reader] = download
        reply.on_close = lambda: self.stop_download(download)
        reply.start_stream("application/octet-stream")
        if self.timer is None:
            self.timer = self.server.loop.call_later(TICK_S, self.tick)

    def stop_download(self, download: Download) -> None:
        """Remove a reader that has disconnected."""
        self.downloads.pop(download.reader, None)
        self.model.stop(self.now(), download.reader)

    def tick(self) -> None:
        """Send each reader the bytes that became due since the last tick."""
        self.timer = None
        if not self.paused:
            self.model.advance(self.now())
            for download in list(self.downloads.values()):
                bytes_left = self.model.bytes_left.get(download.reader, 0.0)
                size = int(download.size - bytes_left) - download.sent
                if size > 0:
                    download.sent += size
                    download.reply.chunk(bytes(size))
                if download.sent >= download.size:
                    del self.downloads[download.reader]
                    download.reply.end_stream()
        if self.downloads:
            self.timer = self.server.loop.call_later(TICK_S, self.tick)

    def collect_counters(self) -> dict[str, object]:
        """Return the counters."""
        return {**super().collect_counters(), **self.model.counters()}
