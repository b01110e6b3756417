"""Router processes of which some are partitioned from all endpoints."""

import contextlib
import http.client
import threading
import time
from typing import NamedTuple

from tests.lib.cut_gateway import CONTROL_VARIABLE, ROOT, CutMode, write_control
from tests.lib.gateway_nodes import Node
from tests.lib.gateway_process import log_events
from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.waits import wait_until

BOUNDS = {"grace_s": 6, "drain_ms": 2500, "config_apply_ms": 2500}
READY_LIMIT_S = 15.0
WORK_S = 0.02


class Answer(NamedTuple):
    """The outcome of one call: its status, or None without a whole answer."""

    host: str
    path: str
    sent_at: float
    took_s: float
    status: int | None
    body: bytes = b""


class CutNode(Node):
    """A router process whose connections to endpoints the test controls."""

    def __init__(self, folder, name, zone, store, addresses):
        self.control = folder / f"{name}.cut"
        self.endpoint_addresses = addresses
        self.set_mode(CutMode.NONE)
        super().__init__(
            folder,
            name,
            zone,
            store,
            BOUNDS,
            program=ROOT / "tests" / "lib" / "cut_gateway.py",
            environment={CONTROL_VARIABLE: str(self.control), "PYTHONPATH": str(ROOT)},
        )

    def set_mode(self, mode):
        """Change how the process reaches the endpoints."""
        write_control(self.control, mode, self.endpoint_addresses)


class CutFleet:
    """Hosts in two failure domains, plain endpoints, and engines of one service."""

    def __init__(self, folder, hosts, plain=3, engines=3, config=None):
        self.store = StoreStandIn()
        self.store.put("keyed.op", "config", config or configuration())
        self.plain = [EndpointStandIn(f"i-plain-{n}") for n in range(plain)]
        self.engines = [
            EndpointStandIn(f"i-{n}", "prefill" if n == 0 else "decode")
            for n in range(engines)
        ]
        for endpoint in self.plain:
            endpoint.work_s = WORK_S
            self.announce(endpoint)
        for endpoint in self.engines:
            endpoint.slots = 64
            self.announce(endpoint)
        addresses = [row.address for row in (*self.plain, *self.engines)]
        self.nodes = {
            name: CutNode(folder, name, zone, self.store, addresses)
            for name, zone in hosts.items()
        }
        self.lock = threading.Lock()
        self.answers = []
        self.number = 0

    def announce(self, endpoint, **changes):
        service = "registry" if endpoint.stage is None else "llm"
        entry = endpoint.entry(service, **changes)
        self.store.put("keyed.servers", endpoint.endpoint_id, entry)

    def wait_ready(self):
        """Wait until all hosts serve calls, and know each other."""
        for node in self.nodes.values():
            wait_until(lambda node=node: is_ready(node), READY_LIMIT_S)
        count = len(self.nodes)
        wait_until(
            lambda: all(known_nodes(node) >= count for node in self.nodes.values()),
            READY_LIMIT_S,
        )
        return self

    def cut(self, names, mode):
        """Partition some hosts from all endpoints, or end that."""
        for name in names:
            self.nodes[name].set_mode(mode)

    def call(self, name, path, headers=None):
        """Make one call at a host on a new connection; return its answer."""
        with self.lock:
            self.number += 1
            request_id = f"{self.number:016x}"
        method = "POST" if path.startswith(("/filing", "/caption")) else "GET"
        sent = {
            "Host": "entry.example",
            "Poplarfold-Request-Id": request_id,
            "Poplarfold-Deadline-Ms": "2000",
            **(headers or {}),
        }
        sent_at = time.monotonic()
        status, body = None, b""
        port = self.nodes[name].ports["front"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=6)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request(method, path, b"x" if method == "POST" else None, sent)
            answer = connection.getresponse()
            body = answer.read()
            status = answer.status
        connection.close()
        found = Answer(name, path, sent_at, time.monotonic() - sent_at, status, body)
        with self.lock:
            self.answers.append(found)
        return found

    def call_all(self, duration_s, paths=("/filing/1", "/lookup/1"), period_s=0.1):
        """Call all hosts at a steady rate for a while; return the answers."""
        first = len(self.answers)
        threads = []
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            for name in self.nodes:
                for path in paths:
                    thread = threading.Thread(target=self.call, args=(name, path))
                    thread.start()
                    threads.append(thread)
            time.sleep(period_s)
        for thread in threads:
            thread.join()
        return self.answers[first:]

    def stop(self):
        for node in self.nodes.values():
            node.process.kill()
        for node in self.nodes.values():
            node.process.wait()
        for standin in (self.store, *self.plain, *self.engines):
            standin.stop()


def is_ready(node):
    try:
        return node.request("ready", "/v1/readyz").status == 200
    except OSError:
        return False


def known_nodes(node):
    """Return how many nodes a host has counted."""
    counted = log_events(node.log, "PF6301")
    return counted[-1]["fields"]["nodes"] if counted else 0


def served_share(answers, names):
    """Return the share of calls that some hosts have served."""
    rows = [row for row in answers if row.host in names]
    return sum(row.status == 200 for row in rows) / len(rows)
