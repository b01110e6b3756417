"""Client accounts of the soak: their keys over time, and a caller beyond its quota."""

import http.client
import random
import threading
import time
from typing import Any, NamedTuple

from tests.functional.gateway_soak.nodes import BOUNDS, Node
from tests.functional.gateway_soak.records import Attempt, Records
from tests.lib.platform_standin import tenant

__all__ = ["HeavyCaller", "KeyRing", "has_key", "quota_bound"]

ACCOUNTS = ("usual", "other", "heavy")
# Begins all keys, also unknown ones.
KEY_PREFIX = "key-of-"
HEAVY_KEY = f"{KEY_PREFIX}heavy-0"
# The accounts without a limit have this many keys each; the oldest is removed.
KEPT_KEYS = 3
RATE_PER_S, BURST, PLAIN_TOKENS = 900.0, 1800.0, 200
# At 12 calls with 300 units per second each, a caller sends four times the quota.
HEAVY_PERIOD_S = 1 / 12
UNKNOWN_SHARE, REMOVED_SHARE, SPOOFED_SHARE = 0.03, 0.15, 0.1
# Callers try removed keys for this time.
REMOVED_TRIED_S = 20.0


class KeyRow(NamedTuple):
    """An account's key. ``removed_at`` is when the store acknowledged its removal.

    If the store came back from an older copy, which had the key, ``lost_at`` is when it
    went away, and ``again_at`` when the operator had surely written the removal again.
    """

    account: str
    added_at: float
    removed_at: float = float("inf")
    lost_at: float = float("inf")
    again_at: float = float("inf")


class KeyRing:
    """All keys that any configuration of the run has held. Thread-safe."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.rows: dict[str, KeyRow] = {HEAVY_KEY: KeyRow("heavy", 0.0)}
        for account in ("usual", "other"):
            for _ in range(KEPT_KEYS):
                self.add_key(account)

    def add_key(self, account: str) -> None:
        """Add a key to an account."""
        key = f"{KEY_PREFIX}{account}-{self.rng.getrandbits(48):012x}"
        self.rows[key] = KeyRow(account, time.monotonic())

    def held(self, account: str) -> list[str]:
        """Return the keys that an account has now, the oldest first."""
        return [
            key
            for key, row in self.rows.items()
            if row.account == account and row.removed_at == float("inf")
        ]

    def rotate(self) -> list[str]:
        """Add a key to an account and return what the next configuration removes."""
        with self.lock:
            account = self.rng.choice(("usual", "other"))
            self.add_key(account)
            return self.held(account)[:-KEPT_KEYS]

    def tenants(self, removed: list[str]) -> list[dict[str, Any]]:
        """Return the accounts of a configuration without some keys."""
        limit = {"rate_per_s": RATE_PER_S, "burst": BURST}
        with self.lock:
            return [
                tenant(
                    name,
                    *(key for key in self.held(name) if key not in removed),
                    plain_tokens=PLAIN_TOKENS,
                    **(limit if name == "heavy" else {"rate_per_s": 0, "burst": 0}),
                )
                for name in ACCOUNTS
            ]

    def record_removed(self, keys: list[str]) -> None:
        """Record that the store has acknowledged a configuration without some keys."""
        with self.lock:
            for key in keys:
                row = self.rows[key]
                self.rows[key] = row._replace(removed_at=time.monotonic())

    def record_lost(self, copy: bytes, lost_at: float, returned_at: float) -> None:
        """Record that a return lost removals, which are written again by now."""
        now = time.monotonic()
        with self.lock:
            for key, row in self.rows.items():
                if f'"{key}"'.encode() in copy and row.removed_at <= returned_at:
                    first = min(row.lost_at, lost_at)
                    self.rows[key] = row._replace(lost_at=first, again_at=now)

    def ordinary_key(self) -> str:
        """Return a key that is in force for a while already."""
        with self.lock:
            return self.held("usual")[1]

    def headers(self, rng: random.Random) -> tuple[str, dict[str, str]]:
        """Return a key for a call, empty for none, and the headers to send with it."""
        share, now = rng.random(), time.monotonic()
        with self.lock:
            removed = [
                key
                for key, row in self.rows.items()
                if now - REMOVED_TRIED_S < row.removed_at < float("inf")
            ]
            # The oldest keys are in force everywhere.
            held = [self.held("usual")[0], self.held("other")[0]]
        if share < UNKNOWN_SHARE:
            key = rng.choice(("", f"{KEY_PREFIX}none-{rng.getrandbits(48):012x}"))
        elif share < UNKNOWN_SHARE + REMOVED_SHARE and removed:
            # Each second time the key that nodes have had the least time to forget.
            newest = max(removed, key=lambda key: self.rows[key].removed_at)
            key = rng.choice((newest, rng.choice(removed)))
        else:
            key = rng.choice(held)
        headers = {"Poplarfold-Key": key} if key else {}
        if rng.random() < SPOOFED_SHARE:
            name = rng.choice(("Poplarfold-Tenant", "Poplarfold_Tenant"))
            headers[name] = rng.choice(ACCOUNTS)
        return key, headers


class HeavyCaller(threading.Thread):
    """A caller that sends several times the quota of its account, over all nodes."""

    def __init__(self, seed: int, nodes: list[Node], records: Records) -> None:
        super().__init__(daemon=True)
        self.rng = random.Random(seed)
        self.nodes = nodes
        self.records = records
        self.stopping = threading.Event()

    def run(self) -> None:
        """Make requests until stopped."""
        while not self.stopping.wait(HEAVY_PERIOD_S):
            node = self.rng.choice(self.nodes)
            if not node.is_stopped:
                self.request(node)

    def request(self, node: Node) -> None:
        """Make one request over a new connection and record it."""
        request_id = f"{self.rng.getrandbits(64):016x}"
        headers = {
            "Host": "entry.example",
            "Poplarfold-Request-Id": request_id,
            "Poplarfold-Key": HEAVY_KEY,
        }
        units = self.rng.choice((PLAIN_TOKENS, 400))
        if units != PLAIN_TOKENS:
            headers["Poplarfold-Token-Count"] = "300,100"
        path, status, body, is_whole = f"/lookup/{request_id[:4]}", None, b"", False
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection(
            "127.0.0.1", node.ports["front"], timeout=3.0
        )
        try:
            connection.request("GET", path, headers=headers)
            answer = connection.getresponse()
            status, body = answer.status, answer.read()
            is_whole = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.records.add(
            Attempt(
                request_id, "heavy", node.name, path, sent_at, time.monotonic(),
                status, is_whole, body, None, HEAVY_KEY, units,
            )
        )  # fmt: skip


def has_key(headers: dict[str, str]) -> bool:
    """Return whether the headers of a request to an endpoint have a key."""
    return any(
        KEY_PREFIX in value or name.lower().replace("_", "-") == "poplarfold-key"
        for name, value in headers.items()
    )


def quota_bound() -> float:
    """Return the units that an account may use in any window."""
    quota = RATE_PER_S * BOUNDS["quota_window_s"] + BURST
    return quota * (1 + BOUNDS["quota_over"]) + BOUNDS["quota_slack"]
