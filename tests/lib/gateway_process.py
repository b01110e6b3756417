"""A router process against stand-ins of the platform, over loopback."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.lib.platform_standin import (
    EndpointStandIn,
    StoreStandIn,
    boot_fields,
    configuration,
)
from tests.lib.ports import free_port
from tests.lib.waits import wait_until

ROOT = Path(__file__).resolve().parents[2]
READY_LIMIT_S = 15.0
CONFIG_APPLY_LIMIT_S = 4.0


class Fleet:
    """A router process, a store, two engines and two endpoints of a plain service."""

    def __init__(self, folder, bounds=None, config=None):
        self.bounds = bounds or {"grace_s": 6}
        self.store = StoreStandIn()
        self.plain = [EndpointStandIn("i-plain-1"), EndpointStandIn("i-plain-2")]
        self.prefill = EndpointStandIn("i-prefill", "prefill")
        self.decode = EndpointStandIn("i-decode", "decode")
        # Endpoints that a test has added. They are stopped with the others, if the test
        # has not done so: the thread of each wakes up 50 times a second.
        self.announced = set()
        self.ports = {name: free_port() for name in ("front", "ready", "metrics")}
        self.boot = folder / "boot.json"
        self.boot.write_text(json.dumps(self.boot_fields()))
        self.settings = folder / "gateway.toml"
        self.settings.write_text(f"metrics_port = {self.ports['metrics']}\n")
        self.log = folder / "log"
        self.store.put("keyed.op", "config", config or configuration())
        for endpoint in self.plain:
            self.announce(endpoint, "registry")
        self.announce(self.prefill, "llm")
        self.announce(self.decode, "llm")
        self.start()

    def boot_fields(self):
        return boot_fields("front-lhr-a-1", self.ports, self.store.address, self.bounds)

    def restart(self, **changes):
        """Start the process anew, with other fields in its settings file."""
        self.process.kill()
        self.process.wait()
        fields = {**self.boot_fields(), "bootstrap": False, **changes}
        self.boot.write_text(json.dumps(fields))
        self.start()
        self.wait_ready()

    def announce(self, endpoint, service, **changes):
        self.announced.add(endpoint)
        entry = endpoint.entry(service, **changes)
        self.store.put("keyed.servers", endpoint.endpoint_id, entry)

    def start(self, stdout=None):
        """Start the process. Its log goes to ``self.log``, or to a descriptor."""
        with self.log.open("ab") as log:
            # The log of an earlier process is kept.
            self.log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "poplarfold_gateway.py")]
                + ["--settings", str(self.settings)],
                env={**os.environ, "POPLARFOLD_BOOT": str(self.boot)},
                stdout=log if stdout is None else stdout,
                stderr=subprocess.STDOUT,
            )

    def wait_ready(self):
        wait_until(lambda: self.ready_status() == 200, READY_LIMIT_S)
        return self

    def wait_counted(self):
        """Wait until the process has counted the nodes and may use all the slack."""
        wait_until(
            lambda: log_events(self.log, "PF6301", self.log_start), READY_LIMIT_S
        )

    def ready_status(self):
        try:
            return self.get("ready", "/v1/readyz").status
        except OSError:
            return None

    def get(self, listener, path):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[listener], timeout=5
        )
        connection.request("GET", path)
        answer = connection.getresponse()
        answer.data = answer.read()
        connection.close()
        return answer

    def open(self, method, path, headers=None, body=None):
        """Send one call and return its connection."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports["front"], timeout=5
        )
        sent = {"Host": "entry.example", "Poplarfold-Request-Id": "9c41d07be2a35f68"}
        connection.request(method, path, body, {**sent, **(headers or {})})
        return connection

    def call(self, method, path, headers=None, body=None):
        """Make one call and return its complete answer."""
        connection = self.open(method, path, headers, body)
        answer = connection.getresponse()
        answer.data = answer.read()
        connection.close()
        return answer

    def caption(self, **headers):
        given = {"Poplarfold-Token-Count": "1000,200", **headers}
        return self.call("POST", "/caption/1", given, b"prompt")

    def pause(self):
        """Stop the process with SIGSTOP, and wait until none of its threads runs."""
        self.process.send_signal(signal.SIGSTOP)
        wait_until(lambda: thread_states(self.process) == {"T"}, 5.0)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        own = {self.store, self.prefill, self.decode, *self.plain}
        for standin in own | self.announced:
            standin.stop()


@contextlib.contextmanager
def ready_fleet(folder, bounds=None, config=None):
    """Start a router process and its stand-ins, and stop them at the end."""
    fleet = Fleet(folder, bounds, config)
    try:
        yield fleet.wait_ready()
    finally:
        fleet.stop()


def log_lines(log, start=0):
    """Return the whole lines of the log of a process from an offset on, as bytes.

    The process may be writing the next ones, of which a read may get a part.
    """
    whole, _, _ = log.read_bytes()[start:].rpartition(b"\n")
    return whole.splitlines()


def log_events(log, number, start=0):
    """Return the events of a number in the log of a process, from an offset on."""
    lines = log_lines(log, start)
    rows = [json.loads(line) for line in lines if number.encode() in line]
    return [row for row in rows if row["number"] == number]


# Sends SIGTERM, and prints how long the process goes on.
TIMED_STOP = """
import os, select, signal, sys, time
process = os.pidfd_open(int(sys.argv[1]))
started_at = time.monotonic()
signal.pidfd_send_signal(process, signal.SIGTERM)
select.select([process], [], [], float(sys.argv[2]))
print(time.monotonic() - started_at)
"""


def timed_stop(process, limit_s):
    """Stop a process with SIGTERM; return how long it goes on, in s.

    It is at least the limit if the process has not ended by then. Another process
    takes the time, as that of the tests may notice the end late.
    """
    command = [sys.executable, "-c", TIMED_STOP, str(process.pid), str(limit_s)]
    return float(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout)


def thread_states(process):
    """Return the states of a process's threads, such as T if they are stopped."""
    found = set()
    for path in Path(f"/proc/{process.pid}/task").glob("*/stat"):
        with contextlib.suppress(OSError):
            # The name of the thread, in parentheses, comes before the state.
            found.add(path.read_text().rpartition(")")[2].split()[0])
    return found
