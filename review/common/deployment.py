"""The gateway as a process of its own, its settings, and callers."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from review.common.standins import Record, Server
from tests.lib.platform_standin import StoreStandIn
from tests.lib.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
ZONES = {"galway-a": "west", "galway-b": "west", "dublin-a": "east"}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 2500,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2500,
    "rollback_slack_ms": 250,
    "outer_ms": 6000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "recover_s": 12,
    "transit_ms": 250,
    "again_s": 3,
    "fencing_required": True,
    "lease_ms": 3000,
    "freeze_slack_ms": 300,
}
STABLE_S = BOUNDS["stable_ms"] / 1000
# Without it, a script plays the same without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ENGINE = {
    "slots": 24,
    "kv_tokens": 76997,
    "kv_bytes": 262144,
    "stride": 73,
    "kv_hold_s": 0.5,
    "swap_s": 6.0,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "models": [{"name": "m"}],
}


def route(name, kind, service, **changes):
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        **changes,
    }


STREAM = {
    "timeout_ms": 14000,
    "target_latency_ms": 900,
    "priority": 1,
    "sticky": True,
    "gap_aim_ms": 300,
}


def configuration():
    """Return the configuration of the Glasscairn deployment, on one host."""
    routes = [
        route("brief", "streaming", "llm", **STREAM, resumable=True, max_attempts=2),
        route("museum", "streaming", "llm", **STREAM, resumable=False),
        route("hold", "non_idempotent", "desk"),
        route("lookup", "idempotent", "desk", max_attempts=2),
    ]
    services = [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_connections": 210,
            "engine": ENGINE,
        },
        {"name": "desk", "health_path": "/healthz", "max_connections": 110},
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    fields = {"version": 7, "routes": routes, "services": services, "limits": limits}
    return json.dumps(fields).encode()


class Machine:
    """One entry host: a gateway with a loopback address of its own."""

    def __init__(self, deployment, name, zone="galway-a"):
        self.deployment = deployment
        self.name = name
        self.ip = f"127.{random.randrange(1, 250)}.{random.randrange(250)}.7"
        self.ports = {listener: free_port() for listener in ("front", "ready")}
        self.boot = deployment.folder / f"{name}.json"
        first = free_port()
        fields = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {key: f"{self.ip}:{port}" for key, port in self.ports.items()},
            "port_range": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": deployment.store.address, "form": "log"},
        }
        self.boot.write_text(json.dumps(fields))
        self.process = None

    def start(self):
        environment = {
            "POPLARFOLD_BOOT": str(self.boot),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
        }
        log = (self.deployment.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "poplarfold_gateway.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.deployment.record.add(f"{self.name} starts")

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ip, self.ports["ready"], timeout=1)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self, limit_s=30.0):
        """Wait until the host is ready. Raises TimeoutError."""
        ends_at = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > ends_at:
                raise TimeoutError(f"{self.name} is not ready")
            time.sleep(0.05)
        self.deployment.record.add(f"{self.name} is ready")

    def connect(self, timeout_s=20.0):
        """Open a connection of a caller."""
        sock = socket.create_connection((self.ip, self.ports["front"]), 1.0)
        sock.settimeout(timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """The store, the servers and the entry hosts of one script."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = StoreStandIn()
        self.store.put("keyed.op", "config", configuration())
        self.machines = []
        self.servers = []

    def add_server(self, service, stage=None, slots=6, zone="galway-a"):
        server = Server(self.record, self.store, service, zone, stage, slots)
        self.servers.append(server)
        return server

    def add_machine(self, name):
        machine = Machine(self, name)
        self.machines.append(machine)
        machine.start()
        return machine

    def log_text(self):
        """Return what the gateways have logged."""
        return "".join(
            path.read_text(errors="replace") for path in self.folder.glob("*.log")
        )

    def stop(self):
        for machine in self.machines:
            machine.kill()
        self.record.save()
        self.temporary.cleanup()


def request_bytes(method, path, request_id, headers=(), body=b""):
    """Return one request of a caller."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Poplarfold-Request-Id: {request_id}",
    ]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_headers():
    """Return the headers of a stream with a prompt of its own."""
    own = os.urandom(4).hex()
    shared = os.urandom(4).hex()
    return {
        "Poplarfold-Model": "m",
        "Poplarfold-Token-Count": "5200,5110",
        "Poplarfold-Prompt-Prefix": f"{shared}:200,{own}:5000",
        "Poplarfold-Deadline-Ms": "14000",
    }


def read_answer(sock):
    """Read one answer; return its status, headers and whole body. Raises OSError."""
    response = http.client.HTTPResponse(sock)
    try:
        response.begin()
        body = response.read()
        return response.status, dict(response.getheaders()), body
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        response.close()


def new_id():
    return os.urandom(8).hex()


def run_case(folder, play):
    """Play a case and end the process: 1 if the rule was broken, 0 if it held.

    The exit code is 2 if the case could not run.
    """

    def stop_early(number, frame):
        raise TimeoutError(f"signal {number}")

    signal.signal(signal.SIGTERM, stop_early)
    deployment = None
    try:
        deployment = Deployment(folder / "record.txt")
        status = 1 if play(deployment) else 0
    except Exception as error:
        status = 2
        if deployment is not None:
            deployment.record.add(f"the case could not run: {error!r}")
    finally:
        if deployment is not None:
            deployment.stop()
    # Threads of the stand-ins would keep the interpreter alive.
    os._exit(status)
