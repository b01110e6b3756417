"""Router processes that the soak starts, signals and ends, by their own ids."""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from tests.functional.gateway_soak.proxy import Link
from tests.functional.gateway_soak.records import Records

__all__ = ["Node", "free_port"]

ROOT = Path(__file__).resolve().parents[3]
# Below the range from which the kernel takes ports for connections.
PORTS = (15_000, 32_000)
GRACE_S = 4.0
# Nobody handles a signal until the interpreter runs the program's first line.
INTERPRETER_START_S = 0.5
BOUNDS = {
    "grace_s": GRACE_S,
    "drain_ms": 2500,
    "config_apply_ms": 2500,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 60,
    "lease_ms": 3000,
}


def free_port() -> int:
    """Return a port that nobody listens on at the moment.

    Ports of the kernel's own choice may be taken by another process before the
    node listens, as CI beside other runs has shown.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Node:
    """One host of the router. ``life`` counts the starts of its process."""

    def __init__(
        self,
        number: int,
        store_address: str,
        folder: Path,
        records: Records,
        plant: str,
    ) -> None:
        self.name = f"front-lhr-a-{number}"
        self.records = records
        self.plant = plant
        self.store_link = Link(store_address)
        self.ports = {name: free_port() for name in ("front", "ready", "metrics")}
        self.boot = folder / f"{self.name}.json"
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.settings.write_text(f"metrics_port = {self.ports['metrics']}\n")
        self.boot.write_text(json.dumps(self.boot_fields()))
        self.life = 0
        self.started_at = self.signalled_at = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        # Whether the soak itself has ended the process.
        self.is_stopped = True

    def boot_fields(self) -> dict[str, object]:
        """Return the settings that the platform writes for this host."""
        address = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        return {
            "node_name": self.name,
            "zone": "lhr-a",
            "region": "lahore",
            "ip": "127.0.0.1",
            "zones": {"lhr-a": "lahore", "khi-a": "karachi"},
            "listen": {"front": address["front"], "ready": address["ready"]},
            "port_range": [0, 0],
            "limits": {"memory_mb": 150},
            "bounds": BOUNDS,
            "platform": {"address": self.store_link.address},
        }

    def start(self) -> None:
        """Start the process."""
        program = [str(ROOT / "poplarfold_gateway.py")]
        if self.plant:
            program = ["-m", "tests.functional.gateway_soak.planted", self.plant]
        path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
        with self.log.open("ab") as log:
            self.started_at = time.monotonic()
            self.process = subprocess.Popen(
                [sys.executable, *program, "--settings", str(self.settings)],
                cwd=ROOT,
                env={
                    **os.environ,
                    "POPLARFOLD_BOOT": str(self.boot),
                    "PYTHONPATH": path,
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.life += 1
        self.is_stopped = False

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.signalled_at = time.monotonic()
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.is_stopped = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop_gracefully(self) -> None:
        """Send SIGTERM and check that the process ends well and in time."""
        self.is_stopped = True
        self.signal(signal.SIGTERM)
        if self.process is None:
            return
        try:
            code = self.process.wait(GRACE_S + 0.5)
        except subprocess.TimeoutExpired:
            self.records.violate("planned stop", f"{self.name} outlived its grace")
            self.kill()
            return
        if code != 0 and not self.met_early_signal(code):
            self.records.violate("planned stop", f"{self.name} ended with {code}")

    def met_early_signal(self, code: int) -> bool:
        """Return whether a signal came before the interpreter ran any line."""
        is_signal = code in (-signal.SIGTERM, -signal.SIGHUP)
        return is_signal and self.signalled_at - self.started_at < INTERPRETER_START_S

    def check_running(self) -> None:
        """Note a process that has ended by itself."""
        process = self.process
        if self.is_stopped or process is None:
            return
        code = process.poll()
        if code is None or self.is_stopped:
            return
        if self.met_early_signal(code):
            self.start()
            return
        self.records.violate("own end", f"{self.name} ended with {code}")
        self.is_stopped = True

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.ports["ready"], timeout=1.0
            )
            connection.request("GET", "/v1/readyz")
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            return False
        return status == 200

    def wait_ready(self, limit_s: float = 15.0) -> bool:
        """Wait until the process is ready; return whether it became so."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline and not self.is_stopped:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def end(self) -> None:
        """End the process and its link."""
        self.kill()
        self.store_link.stop()
