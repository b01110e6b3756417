"""Injects random faults: signals to daemons and controls to stand-ins."""

import random
import signal
import subprocess
import threading
import time
from collections import Counter

from tests.functional.soak.processes import START_TIMEOUT_S

# Callers time out after 20 s, so a stopping daemon has no older calls to finish.
PLANNED_STOP_TIMEOUT_S = 30.0
# Maximum time from process start to ready while the log is available.
MAX_READY_S = 5.0
# Share of the outputs that engines send out of order throughout a run.
REORDER_SHARE = 0.03


class FaultInjector:
    """Injects one or two faults at a time. Every fault ends on its own."""

    def __init__(self, seed, standins, daemons, record):
        self.rng = random.Random(seed)
        self.standins = standins
        self.daemons = daemons
        self.record = record
        self.counts = Counter()
        self.times = []
        self.log_faulty_until = 0.0
        # Endpoint faults: (address, from, to). How long an engine holds memory during
        # its fault is not checked, because it may hang.
        self.engine_faults = []
        self.ready_s = []
        # Planned stops: (host, requested at, ended at).
        self.stops = []
        self.threads = []
        self.kinds = (
            (self.kill_daemon, 2),
            (self.suspend_daemon, 2),
            (self.drain_daemon, 1),
            (self.inject_endpoint_fault, 6),
            (self.inject_log_fault, 2),
            (self.pause_host_list, 1),
        )

    def run(self, until):
        """Inject faults until a time, then wait for the last ones to end."""
        for row in self.standins.endpoints:
            if row["service"] == self.standins.model_service:
                self.standins.control(row["address"], "reorder", share=REORDER_SHARE)
        while time.monotonic() < until:
            for _ in range(self.rng.choice((1, 1, 2))):
                functions, weights = zip(*self.kinds, strict=True)
                function = self.rng.choices(functions, weights)[0]
                self.threads = [row for row in self.threads if row.is_alive()]
                thread = threading.Thread(
                    target=function, args=(random.Random(self.rng.random()),)
                )
                thread.start()
                self.threads.append(thread)
            time.sleep(self.rng.uniform(0.3, 1.2))
            for daemon in self.daemons:
                daemon.check_alive()
        for thread in self.threads:
            thread.join(60.0)

    def count(self, kind, what=""):
        """Count a fault and record its time."""
        self.counts[kind] += 1
        self.times.append((round(time.monotonic(), 1), kind, what))

    def choose_daemon(self, rng):
        """Choose a daemon that is up, and begin its fault.

        Returns None if two or fewer daemons are up, so that two always keep running.
        """
        with self.record.lock:
            up = [row for row in self.daemons if row.state == "up"]
            if len(up) <= 2:
                return None
            daemon = rng.choice(up)
            daemon.state = "stopped"
            daemon.begin_fault()
            return daemon

    def restart_daemon(self, daemon):
        """Restart a daemon, wait until it is ready, and end its fault."""
        entry = {"host": daemon.host, "address": daemon.peers_address, "kind": "entry"}
        daemon.start()
        began = time.monotonic()
        self.standins.control(
            self.standins.host_list_address, "put_host", domain=daemon.domain, **entry
        )
        ready_s = daemon.wait_ready()
        if ready_s is not None and began > self.log_faulty_until:
            self.ready_s.append(ready_s)
            if ready_s > MAX_READY_S:
                detail = f"{daemon.host} was ready {ready_s:.1f} s after its start"
                self.record.add_violation("recovery", detail)
        elif ready_s is None and daemon.process.poll() is None:
            detail = f"{daemon.host} was not ready {START_TIMEOUT_S:.0f} s after start"
            self.record.add_violation("recovery", detail)
        daemon.end_fault()

    def kill_daemon(self, rng):
        daemon = self.choose_daemon(rng)
        if daemon is None:
            return
        self.count("sigkill", daemon.host)
        daemon.state = "killed"
        daemon.signal(signal.SIGKILL)
        daemon.process.wait()
        time.sleep(rng.uniform(0.0, 1.5))
        if rng.random() < 0.5:
            self.standins.control(
                self.standins.host_list_address, "remove_host", host=daemon.host
            )
        time.sleep(rng.uniform(0.0, 1.5))
        self.restart_daemon(daemon)

    def suspend_daemon(self, rng):
        daemon = self.choose_daemon(rng)
        if daemon is None:
            return
        self.count("sigstop", daemon.host)
        daemon.signal(signal.SIGSTOP)
        time.sleep(rng.choice((0.3, 1.0, 3.0, 6.0)))
        daemon.signal(signal.SIGCONT)
        time.sleep(1.0)
        daemon.state = "up"
        daemon.end_fault()

    def drain_daemon(self, rng):
        """Stop a daemon gracefully. It must not interrupt calls in progress."""
        daemon = self.choose_daemon(rng)
        if daemon is None:
            return
        self.count("sigterm", daemon.host)
        daemon.state = "draining"
        self.standins.control(
            self.standins.host_list_address, "leave_host", host=daemon.host
        )
        requested_at = time.monotonic()
        daemon.signal(signal.SIGTERM)
        try:
            code = daemon.process.wait(PLANNED_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            detail = f"{daemon.host} did not end in {PLANNED_STOP_TIMEOUT_S:.0f} s"
            self.record.add_violation("graceful-stop", detail)
            daemon.signal(signal.SIGUSR1)
            time.sleep(0.5)
            daemon.process.kill()
            code = daemon.process.wait()
        if code not in (0, -signal.SIGKILL):
            self.record.add_violation(
                "graceful-stop", f"{daemon.host} exited with {code}"
            )
        self.stops.append((daemon.host, requested_at, time.monotonic()))
        self.restart_daemon(daemon)

    def inject_endpoint_fault(self, rng):
        row = rng.choice(self.standins.endpoints)
        kinds = ["die", "silence", "pause", "slow", "lose_answers", "leave", "jitter"]
        if row["service"] == self.standins.model_service:
            kinds += ["stall_transfers", "reorder", "lag"]
        kind = rng.choice(kinds)
        self.count(f"endpoint_{kind}", row["host"])
        address = row["address"]
        seconds = rng.choice((0.3, 1.0, 3.0))
        began = time.monotonic()
        control = self.standins.control
        match kind:
            case "die":
                control(address, "die", return_after_s=seconds)
                time.sleep(seconds)
            case "silence":
                control(address, "silence")
            case "pause":
                control(address, "pause", seconds=seconds)
                time.sleep(seconds)
            case "slow":
                control(address, "slow", delay_s=0.05, factor=rng.choice((2, 5)))
                time.sleep(seconds)
                control(address, "slow")
            case "lose_answers":
                path = rng.choice(("/", "/cancel", "/reserve", "/prefill", "/call"))
                control(address, "lose_answers", count=rng.randint(1, 3), path=path)
            case "leave":
                control(address, "leave")
                time.sleep(5.0)
                control(address, "die", return_after_s=0.5)
                time.sleep(0.5)
            case "jitter":
                control(address, "jitter", jitter_s=0.1)
                time.sleep(seconds)
                control(address, "jitter", jitter_s=0.0)
            case "stall_transfers":
                control(address, "stall_transfers", seconds=seconds)
                time.sleep(seconds)
            case "reorder":
                control(address, "reorder", share=0.5)
                time.sleep(seconds)
                control(address, "reorder", share=REORDER_SHARE)
            case "lag":
                gaps = {"cache_gap_share": 0.3}
                control(address, "lag", report_s=1.0, cache_s=3.0, **gaps)
                time.sleep(seconds)
                control(address, "lag", report_s=0.2, cache_s=0.5)
        span = (address, began, time.monotonic() + 1.0)
        self.engine_faults.append(span)

    def inject_log_fault(self, rng):
        kind = rng.choice(("outage", "lose_append_answers", "slow", "silence"))
        self.count(f"log_{kind}")
        seconds = rng.choice((0.5, 2.0, 5.0))
        # Only these two faults excuse a late change. With the others the log is up,
        # and nodes must cope with unresponsive connections and lost responses.
        if kind in ("outage", "slow"):
            until = time.monotonic() + seconds
            self.log_faulty_until = max(self.log_faulty_until, until)
        address = self.standins.log_address
        match kind:
            case "outage":
                self.standins.control(address, "outage", seconds=seconds)
            case "lose_append_answers":
                self.standins.control(address, kind, count=rng.randint(1, 5))
            case "silence":
                self.standins.control(address, "silence")
            case "slow":
                self.standins.control(address, "slow", delay_s=rng.choice((0.2, 1.0)))
                time.sleep(seconds)
                self.standins.control(address, "slow")

    def pause_host_list(self, rng):
        self.count("host_list_pause")
        self.standins.control(self.standins.host_list_address, "pause", seconds=2.0)
