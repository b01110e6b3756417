"""Measures the CPU time of one idle daemon on loopback.

python tools/idle_cost.py --endpoints 10 --seconds 10 [--profile]

The stand-ins run in a separate process, which this script starts. It prints one
JSON line with the share of a CPU core, the CPU share of each group of threads, and
the rates of events and steps of the core. With ``--profile`` it also prints the
functions with the most CPU time on the core thread to standard error.
"""

import argparse
import cProfile
import json
import os
import pstats
import re
import resource
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from poplarfold._internal.core.events import HostListRow
from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.daemon.main import SWITCH_INTERVAL_S, Daemon
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.settings_file import (
    DaemonSettings,
    ListenAddress,
    TimeoutSettings,
)
from poplarfold._internal.standins.engine import EngineStandIn
from poplarfold._internal.standins.engine_model import EngineConfig
from poplarfold._internal.standins.host_list import HostListStandIn
from poplarfold._internal.standins.http_server import ServerLoop
from poplarfold._internal.standins.log import LogStandIn

HOST = "127.0.0.1"
DOMAIN = "d1"
SETTLE_S = 3.0
PROFILE_ROWS = 45


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def run_standins(count, peer):
    """Serve a log, a host list and engines until standard input is closed."""
    loop = ServerLoop()
    log = LogStandIn(loop)
    hosts = [HostListRow("e1", peer, "entry", DOMAIN, "", False)]
    identity = Identity("owner", "llm", "v1")
    for number in range(count):
        role = EndpointRole.DECODE if number % 2 else EndpointRole.PREFILL
        engine = EngineStandIn(loop, EngineConfig("", identity, role))
        hosts.append(
            HostListRow(f"b{number}", engine.address, "endpoint", DOMAIN, "llm", False)
        )
    listed = HostListStandIn(loop, 0.0, tuple(hosts))
    print(json.dumps([log.address, listed.address]), flush=True)
    sys.stdin.read()
    loop.stop()


def make_settings(log, hosts, peer):
    return DaemonSettings(
        node=NodeSettings("e1", DOMAIN, (DomainSettings(DOMAIN, "west", 1),)),
        caller_listen=ListenAddress(HOST, 0),
        operator_listen=ListenAddress(HOST, 0),
        peer_listen=ListenAddress(HOST, int(peer.rpartition(":")[2])),
        log_url=f"http://{log}",
        host_list_url=f"http://{hosts}",
        weight_store_url=f"http://{HOST}:9",
        peers=(),
        accounts={},
        operators={},
        tls=None,
        request_threads=48,
        body_limit_bytes=16_000_000,
        timeouts=TimeoutSettings(1.0, 2.0, 2.0, 10.0, 60.0, 600.0),
        log_path=None,
    )


def thread_cpu_s():
    """Return the CPU seconds of each group of threads of this process."""
    tick_s = 1.0 / os.sysconf("SC_CLK_TCK")
    found = Counter()
    for thread in threading.enumerate():
        stat = Path(f"/proc/self/task/{thread.native_id}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        group = re.sub(r"[-_ (]*[0-9].*$", "", thread.name)
        found[group] += (int(fields[11]) + int(fields[12])) * tick_s
    return found


def count_events(node, counts):
    """Wrap the step function of a node to count its events and steps."""
    step = node.step

    def counting_step(now, events):
        events = list(events)
        counts["steps"] += 1
        counts.update(type(event).__name__ for event in events)
        return step(now, events)

    node.step = counting_step


def process_cpu_s():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def measure(endpoints, seconds, with_profile):
    """Run a daemon with its stand-ins and return its CPU usage and event rates."""
    peer = f"{HOST}:{free_port()}"
    standins = subprocess.Popen(
        [sys.executable, __file__, "--endpoints", str(endpoints), "--serve", peer],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        log, hosts = json.loads(standins.stdout.readline())
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        settings = make_settings(log, hosts, peer)
        daemon = Daemon(settings, int(time.time() * 1000), lambda *event: None)
        counts = Counter()
        profile = cProfile.Profile()
        count_events(daemon.runtime.node, counts)
        daemon.start()
        time.sleep(SETTLE_S)
        if with_profile:
            daemon.runtime.query_state(lambda state: profile.enable())
        counts.clear()
        before, threads, started = process_cpu_s(), thread_cpu_s(), time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        used, later = process_cpu_s() - before, thread_cpu_s()
        counted = dict(counts)
        if with_profile:
            daemon.runtime.query_state(lambda state: profile.disable())
            rows = pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime")
            rows.print_stats(PROFILE_ROWS)
        daemon.stop()
    finally:
        standins.stdin.close()
        standins.terminate()
        standins.wait()
    return {
        "endpoints": endpoints,
        "share_of_core": round(used / elapsed, 4),
        "threads": {
            name: round((later[name] - threads[name]) / elapsed, 4) for name in later
        },
        "per_second": {
            name: round(count / elapsed, 1) for name, count in counted.items()
        },
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--endpoints", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--serve", metavar="PEER", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve:
        run_standins(options.endpoints, options.serve)
        return
    print(json.dumps(measure(options.endpoints, options.seconds, options.profile)))


if __name__ == "__main__":
    main()
