"""Several router processes, and engines of two software versions of one service."""

import http.client
import itertools
import json
import threading
import time

from tests.lib.gateway_nodes import Node
from tests.lib.gateway_process import log_events
from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.waits import wait_until

from poplarfold._internal.platform import VERSIONS_TOPIC

BOUNDS = {"grace_s": 6, "drain_ms": 2500, "config_apply_ms": 2500}
HOSTS = {"front-lhr-a-1": "lhr-a", "front-khi-a-1": "khi-a"}
READY_LIMIT_S = 15.0


class VersionFleet:
    """Two hosts, and two decode engines and a prefill engine of each version."""

    def __init__(self, folder, events=30, event_period_s=0.1):
        self.folder = folder
        self.store = StoreStandIn()
        self.store.put("keyed.op", "config", configuration())
        self.engines = {}
        for version in ("v1", "v2"):
            for name, stage in (("a", "decode"), ("b", "decode"), ("p", "prefill")):
                engine = EndpointStandIn(f"i-{version}-{name}", stage)
                engine.slots = 64
                engine.events, engine.event_period_s = events, event_period_s
                self.engines[engine.endpoint_id] = engine
        self.nodes = {}
        self.log_starts = {}

    def announce(self, version, zones=("lhr-a",)):
        """Announce all engines of a version, which are in some zones in turn."""
        names = [name for name in self.engines if name.split("-")[1] == version]
        for name, zone in zip(names, itertools.cycle(zones), strict=False):
            entry = self.engines[name].entry("llm", zone, version=version)
            self.store.put("keyed.servers", name, entry)

    def set_streams(self, events, event_period_s):
        """Set the length and pace of the streams that begin or go on later."""
        for engine in self.engines.values():
            engine.events, engine.event_period_s = events, event_period_s

    def set_room(self, version, has_room):
        """Let the engines of a version grant leases, or refuse them."""
        for name, engine in self.engines.items():
            if name.split("-")[1] == version:
                (engine.faults.discard if has_room else engine.faults.add)("no_room")

    def withdraw(self, version):
        """Remove all engines of a version from the store."""
        for name in self.engines:
            if name.split("-")[1] == version:
                self.store.put("keyed.servers", name, None)

    def start_hosts(self):
        """Start all hosts, and wait until they are ready and know each other."""
        for name, zone in HOSTS.items():
            # The log of an earlier process is kept.
            log = self.folder / f"{name}.log"
            self.log_starts[name] = log.stat().st_size if log.exists() else 0
            self.nodes[name] = Node(self.folder, name, zone, self.store, BOUNDS)
        for node in self.nodes.values():
            wait_until(lambda node=node: is_ready(node), READY_LIMIT_S)
        wait_until(
            lambda: all(self.known_hosts(name) >= len(HOSTS) for name in HOSTS),
            READY_LIMIT_S,
        )

    def known_hosts(self, name):
        """Return how many hosts a host has counted since its last start."""
        counted = log_events(self.nodes[name].log, "PF6301", self.log_starts[name])
        return counted[-1]["fields"]["nodes"] if counted else 0

    def has_missed_store(self):
        """Return whether a host's call to the store has failed since its last start."""
        logs = [
            node.log.read_bytes()[self.log_starts[name] :]
            for name, node in self.nodes.items()
        ]
        return any(b'"PF7102"' in log or b'"PF7117"' in log for log in logs)

    def kill_hosts(self):
        """End all hosts at once, without a chance to write anything."""
        for node in self.nodes.values():
            node.process.kill()
        for node in self.nodes.values():
            node.process.wait()

    def wait_announced(self, count):
        """Wait until each host has used the entries of ``count`` engines."""
        for node in self.nodes.values():
            wait_until(
                lambda node=node: node.log.read_bytes().count(b'"PF7107"') >= count,
                READY_LIMIT_S,
            )

    def wait_base_version(self):
        """Wait until a host has written the base version, and each one has read it.

        The host that writes it reads it once then, and the others do when they look for
        what to write. All of them read it anew only after 10 s.
        """
        self.wait_base_reads(len(self.nodes))

    def wait_base_reads(self, count):
        """Wait until the base versions were read ``count`` times since the first write.

        Each host reads them once in 10 to 11 s if nothing is to be written.
        """
        wait_until(lambda: self.count_base_reads() >= count, READY_LIMIT_S)

    def count_base_reads(self):
        """Return how often the base versions were read since the first write."""
        topic = f"topic={VERSIONS_TOPIC}&"
        calls = [path for path in list(self.store.calls) if topic in path]
        later = itertools.dropwhile(lambda path: "log-append" not in path, calls)
        return sum("log-newest" in path for path in later)

    def stop(self):
        self.kill_hosts()
        for standin in (self.store, *self.engines.values()):
            standin.stop()

    def versions_of(self, *request_ids):
        """Return the versions at which some attempts of a caller have run."""
        return {
            name.split("-")[1]
            for name, engine in self.engines.items()
            for _, _, headers, _ in engine.runs
            if headers["Poplarfold-Request-Id"] in request_ids
        }


def is_ready(node):
    try:
        return node.request("ready", "/v1/readyz").status == 200
    except OSError:
        return False


class StreamCaller:
    """A caller of a stream, who takes it up once more after it has broken off."""

    def __init__(self, number):
        self.first_id = f"first{number:04x}"
        self.second_id = f"again{number:04x}"
        self.received = b""
        # The body of the last answer that is no stream.
        self.rejection = b""
        self.status = None
        self.answered_after_s = None
        self.thread = None

    def begin(self, node):
        """Send the first attempt, and read it in a thread until it breaks off."""
        self.thread = threading.Thread(target=self.read, args=(node,), daemon=True)
        self.thread.start()

    def read(self, node, headers=None):
        connection = http.client.HTTPConnection("127.0.0.1", node.ports["front"])
        connection.timeout = 20
        request_id = self.second_id if headers else self.first_id
        sent = {
            "Host": "entry.example",
            "Poplarfold-Request-Id": request_id,
            "Poplarfold-Token-Count": "1000,200",
            "Poplarfold-Deadline-Ms": "14000",
            **(headers or {}),
        }
        sent_at = time.monotonic()
        try:
            connection.request("POST", "/caption/1", b"prompt", sent)
            answer = connection.getresponse()
            self.status = answer.status
            self.answered_after_s = time.monotonic() - sent_at
            self.rejection = b""
            while data := answer.read1(65536):
                if answer.status == 200:
                    self.received += data
                else:
                    self.rejection += data
        except (OSError, http.client.HTTPException):
            return
        finally:
            connection.close()

    @property
    def error_code(self):
        """The code in the last answer if that is an error, else None."""
        return json.loads(self.rejection)["error"]["code"] if self.rejection else None

    @property
    def last_id(self):
        """The id of the last whole event that has come."""
        whole, _, _ = self.received.rpartition(b"\n\n")
        return whole.rpartition(b"id: ")[2].partition(b"\n")[0].decode()

    def take_up(self, node):
        """Take the stream up at a host; return whether the rest of it has come."""
        self.thread.join(20)
        whole, end, _ = self.received.rpartition(b"\n\n")
        self.received = whole + end
        headers = {"Last-Event-Id": self.last_id, "Resumes": self.first_id}
        self.status = None
        self.read(node, headers)
        return self.status == 200

    def count_events(self):
        return self.received.count(b"id: ")
