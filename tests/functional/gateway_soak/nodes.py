"""Router processes that the soak starts, signals and ends by their process ids."""

import fcntl
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from tests.functional.gateway_soak.proxy import Link
from tests.functional.gateway_soak.records import Records
from tests.lib.caller_crowd import descriptors, peak_mb
from tests.lib.cut_gateway import CONTROL_VARIABLE, CutMode, write_control
from tests.lib.platform_standin import boot_fields
from tests.lib.ports import free_port

__all__ = ["LogPauser", "Node"]

ROOT = Path(__file__).resolve().parents[3]
# By the node's number. With the shorter one, a stop rejects calls before it could end.
GRACES_S = (6.0, 4.0)
# Within this time after a start, a signal may still have its default action, because
# the interpreter has not yet run the program's first line.
INTERPRETER_START_S = 0.5
# The smallest pipe, which an unread log fills soon.
PIPE_BYTES = 4096
LOG_READ_S, LOG_UNREAD_S = (1.0, 4.0), (2.0, 5.0)
# The limits of the smallest host.
MEMORY_MB, MAX_FDS = 128, 4100
BOUNDS = {
    "drain_ms": 2500,
    "config_apply_ms": 2500,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 60,
    "lease_ms": 3000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "quota_window_s": 8,
    "quota_over": 0.1,
    "quota_slack": 3000,
}


def thread_states(pid: int) -> dict[str, int]:
    """Return how many threads of a process are in each state, and where they wait."""
    states: Counter[str] = Counter()
    for task in Path(f"/proc/{pid}/task").glob("*"):
        with suppress(OSError):
            state = (task / "stat").read_text().rpartition(")")[2].split()[0]
            states[f"{state} {(task / 'wchan').read_text()}"] += 1
    return dict(states)


class LogCopier(threading.Thread):
    """Copies the output of one process from a pipe to a file, unless it is paused.

    ``may_end_short`` is whether the process may end in the middle of a line: it was
    killed, or its log was not read at its end.
    """

    def __init__(self, path: Path) -> None:
        super().__init__(daemon=True)
        self.path = path
        self.descriptor, self.writable = os.pipe()
        fcntl.fcntl(self.writable, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.is_read = threading.Event()
        self.is_read.set()
        self.may_end_short = False

    def run(self) -> None:
        """Copy whole lines until the process has ended."""
        rest = b""
        with self.path.open("ab") as log:
            while self.is_read.wait() and (data := os.read(self.descriptor, 65_536)):
                lines, end, rest = (rest + data).rpartition(b"\n")
                log.write(lines + end)
                log.flush()
            if rest and not self.may_end_short:
                log.write(rest + b"\n")
        os.close(self.descriptor)


class Node:
    """One host of the router; ``start_count`` is how often its process was started."""

    def __init__(
        self,
        number: int,
        store_address: str,
        folder: Path,
        records: Records,
        plant: str,
        endpoint_addresses: list[str],
    ) -> None:
        self.name = f"front-lhr-a-{number}"
        self.records = records
        self.plant = plant
        self.store_link = Link(store_address)
        self.ports = {name: free_port() for name in ("front", "ready", "metrics")}
        self.boot = folder / f"{self.name}.json"
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.control = folder / f"{self.name}.cut"
        self.endpoint_addresses = endpoint_addresses
        self.set_reach(CutMode.NONE)
        self.settings.write_text(f"metrics_port = {self.ports['metrics']}\n")
        self.grace_s = GRACES_S[number % len(GRACES_S)]
        bounds = {**BOUNDS, "grace_s": self.grace_s}
        fields = boot_fields(self.name, self.ports, self.store_link.address, bounds)
        fields["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        self.boot_fields = fields
        self.start_count = 0
        self.started_at = self.signalled_at = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        self.copiers: list[LogCopier] = []
        # Whether the soak itself has stopped the process.
        self.is_stopped = True

    def start(self) -> None:
        """Start the process."""
        fields = {**self.boot_fields, "bootstrap": self.start_count == 0}
        self.boot.write_text(json.dumps(fields))
        program = ["-m", "tests.lib.cut_gateway"]
        if self.plant:
            program = ["-m", "tests.functional.gateway_soak.planted", self.plant]
        path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
        copier = LogCopier(self.log)
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, *program, "--settings", str(self.settings)],
            cwd=ROOT,
            env={
                **os.environ,
                "POPLARFOLD_BOOT": str(self.boot),
                CONTROL_VARIABLE: str(self.control),
                "PYTHONPATH": path,
            },
            stdout=copier.writable,
            stderr=subprocess.STDOUT,
        )
        os.close(copier.writable)
        copier.start()
        self.copiers.append(copier)
        self.start_count += 1
        self.is_stopped = False

    def set_reach(self, mode: CutMode) -> None:
        """Change how the host reaches the endpoints, also after its next start."""
        write_control(self.control, mode, self.endpoint_addresses)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.signalled_at = time.monotonic()
            self.process.send_signal(number)

    @contextmanager
    def unread_log(self) -> Iterator[None]:
        """Do not read the log of the current process for a while."""
        copier = self.copiers[-1]
        copier.is_read.clear()
        try:
            yield
        finally:
            copier.may_end_short |= self.is_stopped
            copier.is_read.set()

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.is_stopped = True
        if self.copiers:
            self.copiers[-1].may_end_short = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop_gracefully(self) -> None:
        """Send SIGTERM and check for exit code 0 within the grace time."""
        self.is_stopped = True
        self.signal(signal.SIGTERM)
        if self.process is None:
            return
        try:
            code = self.process.wait(self.grace_s + 0.5)
        except subprocess.TimeoutExpired:
            states = thread_states(self.process.pid)
            self.records.add_violation(
                "planned stop", f"{self.name} outlived its grace: {states}"
            )
            self.kill()
            return
        if code != 0 and not self.was_signalled_early(code):
            self.records.add_violation("planned stop", f"{self.name} ended with {code}")

    def was_signalled_early(self, code: int) -> bool:
        """Return whether a signal ended the process before its first line ran."""
        is_signal = code in (-signal.SIGTERM, -signal.SIGHUP)
        return is_signal and self.signalled_at - self.started_at < INTERPRETER_START_S

    def check_running(self) -> None:
        """Report a process that has ended by itself."""
        process = self.process
        if self.is_stopped or process is None:
            return
        code = process.poll()
        if code is None or self.is_stopped:
            return
        if self.was_signalled_early(code):
            self.start()
            return
        self.records.add_violation("own end", f"{self.name} ended with {code}")
        self.is_stopped = True

    def check_memory(self) -> None:
        """Report a process that has exceeded the memory or descriptors of its host."""
        process = self.process
        if self.is_stopped or process is None:
            return
        try:
            memory_mb, files = peak_mb(process), descriptors(process)
        except (OSError, ValueError):
            # The process has just ended.
            return
        if memory_mb > MEMORY_MB or files > MAX_FDS:
            self.records.add_violation(
                "limits", f"{self.name} has {memory_mb:.0f} MB, {files} descriptors"
            )

    def is_ready(self) -> bool:
        """Return whether the process reports that it is ready."""
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
        """Wait until the process is ready; return False if it is not ready in time."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline and not self.is_stopped:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def tear_down(self) -> None:
        """End the process and its link to the store."""
        self.kill()
        for copier in self.copiers:
            copier.join(5.0)
        self.store_link.stop()


class LogPauser(threading.Thread):
    """Does not read the log of one process for some seconds, again and again."""

    def __init__(self, seed: int, nodes: list[Node]) -> None:
        super().__init__(daemon=True)
        self.rng = random.Random(f"logs-{seed}")
        self.nodes = nodes
        self.stopping = threading.Event()

    def run(self) -> None:
        """Pause logs until stopped."""
        while not self.stopping.wait(self.rng.uniform(*LOG_READ_S)):
            with self.rng.choice(self.nodes).unread_log():
                self.stopping.wait(self.rng.uniform(*LOG_UNREAD_S))
