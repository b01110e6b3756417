"""Child processes of a run. Each is stopped by its own process id."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from tests.functional.soak.wire import request

from poplarfold._internal.standins.fleet import DEPLOYMENTS

ACCOUNT_TOKEN = "soak-account-token"
OPERATOR_TOKEN = "soak-operator-token"
START_TIMEOUT_S = 15.0
# SIGUSR1 prints the stacks of all threads, to show where a daemon hangs.
START_DAEMON = """
import faulthandler, signal, sys
faulthandler.register(signal.SIGUSR1)
from poplarfold._internal.daemon.main import main
sys.exit(main(sys.argv[1:]))
"""
STOP_TIMEOUT_S = 15.0


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


class StandIns:
    """The process that runs all stand-ins of a deployment."""

    def __init__(self, deployment, foreign_owner):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "poplarfold._internal.standins", "--follow-stdin"]
            + ["fleet", deployment, "--foreign-owner", foreign_owner],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addresses = json.loads(self.process.stdout.readline())
        self.log_address = self.addresses["log"].removeprefix("http://")
        self.host_list_address = self.addresses["host_list"].removeprefix("http://")
        self.endpoints = self.addresses["endpoints"]
        self.model_service = DEPLOYMENTS[deployment].model_service

    def control(self, address, fault, /, **arguments):
        """Apply a fault. Return False if the stand-in is down."""
        body = json.dumps({"fault": fault, **arguments}).encode()
        answer = request(address, "POST", "/control", body, timeout_s=5.0)
        if answer is not None and answer.status != 200:
            raise RuntimeError(f"{fault}: {answer.body!r}")
        return answer is not None

    def counters(self, address):
        """Return the counters of a stand-in, waiting up to 10 s if it is down."""
        end = time.monotonic() + 10.0
        while time.monotonic() < end:
            answer = request(address, "GET", "/counters", timeout_s=5.0)
            if answer is not None:
                return json.loads(answer.body)
            time.sleep(0.1)
        raise RuntimeError(f"stand-in {address} does not answer")

    def stop(self):
        """Stop the process."""
        self.process.stdin.close()
        end_process(self.process)
        self.process.stdout.close()


def end_process(process):
    """Terminate a child process, and kill it if it does not exit in time."""
    if process.poll() is None:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
    return process.wait()


class Daemon:
    """One ``poplarfoldd`` process, which faults may kill and restart."""

    def __init__(self, host, domain, slot, ports, directory, daemon_source):
        self.host = host
        self.domain = domain
        self.slot = slot
        self.callers_address, self.operators_address, self.peers_address = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.path = Path(directory) / f"{host}.toml"
        self.log_path = Path(directory) / f"{host}.log"
        self.error_path = Path(directory) / f"{host}.stderr"
        self.daemon_source = daemon_source
        self.process = None
        self.starts = 0
        # Resident MB, threads and open files when the process became ready.
        self.baseline = (0, 0, 0)
        self.state = "down"
        # Periods of injected faults: [from, to], where to is None while one lasts.
        self.fault_periods = []
        self.unexpected_exits = []

    def write_settings(self, standins, domains, daemons):
        """Write the settings file."""
        lines = [
            "[node]",
            f'host = "{self.host}"',
            f'domain = "{self.domain}"',
            f"host_slot = {self.slot}",
            "strict_invariants = true",
            "[listen]",
            f'callers = "{self.callers_address}"',
            f'operators = "{self.operators_address}"',
            f'peers = "{self.peers_address}"',
            "[platform]",
        ]
        for key in ("log", "host_list", "weight_store"):
            lines.append(f'{key}_url = "{standins.addresses[key]}"')
        for name, (region, slots) in domains.items():
            lines += [f"[domains.{name}]", f'region = "{region}"']
            lines.append(f"host_slots = {slots}")
        for other in daemons:
            if other is not self:
                lines += [f"[peers.{other.host}]", f'address = "{other.peers_address}"']
                lines.append(f'domain = "{other.domain}"')
        lines += ["[accounts]", f'soak = "{digest(ACCOUNT_TOKEN)}"']
        lines += ["[operators]", f'soak = "{digest(OPERATOR_TOKEN)}"']
        lines += ["[requests]", "threads = 48"]
        lines += ["[log]", f'path = "{self.log_path}"']
        services = {row["service"] for row in standins.endpoints}
        for service in sorted(services):
            lines += [f"[endpoint_rules.{service}]", "refuses_old_fencing = true"]
            lines.append("knows_operations = true")
        self.path.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process."""
        environment = dict(os.environ, PYTHONDONTWRITEBYTECODE="1")
        if self.daemon_source:
            environment["PYTHONPATH"] = self.daemon_source
        with self.error_path.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-c", START_DAEMON, "--settings", str(self.path)],
                stdin=subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                env=environment,
            )
        self.starts += 1
        # Faults signal a process only once it is ready and handles signals.
        self.state = "starting"

    def wait_ready(self, timeout_s=START_TIMEOUT_S):
        """Return the seconds until the node is ready, or None."""
        began = time.monotonic()
        while time.monotonic() - began < timeout_s:
            answer = request(self.callers_address, "GET", "/readyz", timeout_s=1.0)
            if answer is not None and answer.status == 200:
                self.baseline = self.usage()
                self.state = "up"
                return time.monotonic() - began
            if self.process.poll() is not None:
                return None
            time.sleep(0.05)
        return None

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def begin_fault(self):
        """Record that an injected fault begins."""
        self.fault_periods.append([time.monotonic(), None])

    def end_fault(self):
        """Record that the injected fault has ended."""
        if self.fault_periods and self.fault_periods[-1][1] is None:
            self.fault_periods[-1][1] = time.monotonic()

    def had_fault(self, since, until):
        """Return whether an injected fault overlapped the period."""
        return any(
            start <= until and (end is None or end >= since)
            for start, end in self.fault_periods
        )

    def check_alive(self):
        """Record an exit that no injected fault caused."""
        code = self.process.poll()
        if code is not None and self.state in ("starting", "up", "stopped"):
            self.state = "down"
            tail = self.error_path.read_text(errors="replace")[-400:]
            self.unexpected_exits.append(f"{self.host} exited with {code}: {tail}")

    def usage(self):
        """Return (resident MB, threads, open files) of the process."""
        root = Path(f"/proc/{self.process.pid}")
        status = dict(
            line.split(":", 1)
            for line in (root / "status").read_text().splitlines()
            if ":" in line
        )
        resident_mb = int(status["VmRSS"].split()[0]) / 1024
        files = len(list((root / "fd").iterdir()))
        return resident_mb, int(status["Threads"]), files

    def begin_stop(self):
        """Send SIGTERM to the process, and SIGCONT in case it is suspended."""
        if self.process is not None:
            self.state = "ending"
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)

    def stop(self):
        """Wait for the process to exit, and kill it if it does not in time."""
        if self.process is not None:
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
            self.state = "down"
