"""Callers that keep connections, sometimes disconnect, and record the answers."""

import http.client
import random
import threading
import time

from tests.functional.gateway_soak.accounts import KeyRing
from tests.functional.gateway_soak.backends import LATE_PREFIX
from tests.functional.gateway_soak.nodes import Node
from tests.functional.gateway_soak.records import (
    LEAVER_PREFIX,
    Attempt,
    Records,
    total_events,
)

__all__ = [
    "CONFIG_MARKER", "WATCHER_PREFIX", "Caller", "ConfigWatcher", "LateCaller",
    "call_status",
]  # fmt: skip

READ_LIMIT_S = 8.0
CONFIG_MARKER = "/marker-"
KINDS = ("filing", "lookup", "caption")
KIND_WEIGHTS = (4, 3, 4)
DISCONNECT_SHARE = 0.1
HEADERS = {"Host": "entry.example"}
# Begins the request ids of watchers, which end with the node; the check of the retry
# budget leaves their requests out.
WATCHER_PREFIX = "watcher-"


class Caller(threading.Thread):
    """A caller with one persistent connection at a time."""

    def __init__(
        self, seed: int, nodes: list[Node], records: Records, keys: KeyRing
    ) -> None:
        super().__init__(daemon=True)
        self.rng = random.Random(seed)
        self.nodes = nodes
        self.records = records
        self.keys = keys
        self.stopping = threading.Event()
        self.connection: http.client.HTTPConnection | None = None
        self.node = nodes[0]

    def run(self) -> None:
        """Make requests until stopped."""
        while not self.stopping.wait(self.rng.uniform(0.02, 0.15)):
            if self.connection is None:
                self.connect()
            if self.connection is not None:
                self.request()
        self.disconnect()

    def connect(self) -> None:
        """Connect to a random node that is not known to be down."""
        self.node = self.rng.choice(self.nodes)
        if self.node.is_stopped:
            return
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", self.node.ports["front"], timeout=READ_LIMIT_S
        )
        try:
            self.connection.connect()
        except OSError:
            self.disconnect()

    def disconnect(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def request(self, kind: str = "", prefix: str = "") -> None:
        """Make one request, of a random kind if none is given, and record it."""
        kind = kind or self.rng.choices(KINDS, KIND_WEIGHTS)[0]
        if kind == "caption" and self.rng.random() < DISCONNECT_SHARE:
            prefix = LEAVER_PREFIX
        number = f"{self.rng.getrandbits(64):016x}"
        request_id, path = f"{prefix}{number}", f"/{kind}/{number[:4]}"
        sent_at = time.monotonic()
        status, body, is_whole, disconnected_at = None, b"", False, None
        key, headers = self.keys.headers(self.rng)
        try:
            self.send(kind, path, request_id, headers)
            assert self.connection is not None
            answer = self.connection.getresponse()
            status = answer.status
            disconnect_after = self.disconnect_after(request_id)
            while disconnect_after is None or body.count(b"\n\n") < disconnect_after:
                data = answer.read1(65_536)
                body += data
                if not data:
                    length = answer.headers.get("Content-Length")
                    is_whole = length is None or len(body) == int(length)
                    break
            else:
                disconnected_at = time.monotonic()
                self.disconnect()
            answer.close()
            if answer.will_close or not is_whole:
                self.disconnect()
        except (OSError, http.client.HTTPException, AssertionError):
            self.disconnect()
        self.records.add(
            Attempt(
                request_id, kind, self.node.name, path, sent_at, time.monotonic(),
                status, is_whole, body, disconnected_at, key,
            )
        )  # fmt: skip

    def disconnect_after(self, request_id: str) -> int | None:
        """Return after how many events to disconnect, or None to read to the end."""
        if not request_id.startswith(LEAVER_PREFIX):
            return None
        return self.rng.randint(1, total_events(request_id) // 3)

    def send(
        self, kind: str, path: str, request_id: str, account: dict[str, str]
    ) -> None:
        """Send one request on the kept connection."""
        assert self.connection is not None
        method = "GET" if kind == "lookup" else "POST"
        headers = {**HEADERS, **account, "Poplarfold-Request-Id": request_id}
        if kind == "caption":
            headers["Poplarfold-Token-Count"] = "1000,200"
        body = None if method == "GET" else b"x" * self.rng.randint(1, 3000)
        self.connection.request(method, path, body, headers)


class LateCaller(Caller):
    """Keeps a connection through a stop, and uses it until the process is gone."""

    def __init__(
        self, seed: int, node: Node, records: Records, keys: KeyRing, wait_s: float
    ) -> None:
        super().__init__(seed, [node], records, keys)
        self.wait_s = wait_s
        self.connect()
        self.request("lookup")

    def run(self) -> None:
        """Make one request on the connection after a time, about the stop's end."""
        process = self.node.process
        time.sleep(self.wait_s)
        is_gone = process is None or process.poll() is not None
        if self.connection is not None and not is_gone:
            self.request(self.rng.choice(("filing", "lookup")), LATE_PREFIX)
        self.disconnect()


class ConfigWatcher(threading.Thread):
    """Checks which configuration is in force at a node, over new connections."""

    def __init__(self, node: Node, records: Records) -> None:
        super().__init__(daemon=True)
        self.node = node
        self.records = records
        self.stopping = threading.Event()
        # The latest published versions, each with the time of its publication.
        self.published: list[tuple[int, float]] = []
        self.seen: dict[int, int] = {}

    def run(self) -> None:
        """Check the versions until stopped."""
        while not self.stopping.wait(0.1):
            if not self.node.is_stopped and self.published:
                self.check_versions()

    def check_versions(self) -> None:
        """Request the routes of the published versions; none may be older than a
        version that the process has already served."""
        start_count = self.node.start_count
        seen = self.seen.get(start_count, 0)
        for version, _ in self.published:
            asked_at = time.monotonic()
            status = self.fetch_status(version)
            if self.node.start_count != start_count:
                return
            # Status 503 may mean that no configuration has been read yet.
            if status in (None, 404, 503):
                continue
            if version < seen:
                self.records.add_violation(
                    "configuration never back",
                    f"{self.node.name} served version {version} after {seen}"
                    f" at {asked_at:.2f}",
                )
            self.seen[start_count] = seen = max(seen, version)

    def fetch_status(self, version: int) -> int | None:
        """Return the status of a request to the route that only this version has."""
        return call_status(self.node, "", f"{CONFIG_MARKER}{version}/")

    def is_unseen(self, version: int) -> bool:
        """Return whether the current process has not served a version yet."""
        return self.seen.get(self.node.start_count, 0) < version


def call_status(
    node: Node, key: str, path: str = "/lookup/1", body: bytes | None = None
) -> int | None:
    """Return the status of a request over a new connection, or None without one."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", node.ports["front"], timeout=2.0
    )
    headers = {**HEADERS, "Poplarfold-Request-Id": f"{WATCHER_PREFIX}{node.name}"}
    if key:
        headers["Poplarfold-Key"] = key
    try:
        connection.request("GET", path, body, headers)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
