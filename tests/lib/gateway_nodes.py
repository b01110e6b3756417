"""Several router processes that share a store, on loopback."""

import contextlib
import http.client
import json
import os
import re
import subprocess
import sys

from tests.lib.gateway_process import ROOT
from tests.lib.platform_standin import boot_fields
from tests.lib.ports import free_port

ZONES = {"lhr-a": "lahore", "khi-a": "karachi"}


class Node:
    """One router process with its own folder, ports and log."""

    def __init__(
        self,
        folder,
        name,
        zone,
        store,
        bounds,
        program=ROOT / "poplarfold_gateway.py",
        environment=None,
    ):
        self.ports = {kind: free_port() for kind in ("front", "ready", "metrics")}
        fields = boot_fields(name, self.ports, store.address, bounds)
        self.fields = fields | {
            "zone": zone, "region": ZONES[zone], "zones": ZONES
        }  # fmt: skip
        self.boot = folder / f"{name}.json"
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(f"metrics_port = {self.ports['metrics']}\n")
        self.log = folder / f"{name}.log"
        self.program = program
        self.environment = environment or {}
        self.start()

    def start(self, **changes):
        """Start the process, with other fields in its settings file."""
        self.boot.write_text(json.dumps(self.fields | changes))
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(self.program), "--settings", str(self.settings)],
                env={
                    **os.environ,
                    "POPLARFOLD_BOOT": str(self.boot),
                    **self.environment,
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        self.process.kill()
        self.process.wait()

    def request(self, listener, path, headers=None):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[listener], timeout=5
        )
        connection.request("GET", path, headers=headers or {})
        answer = connection.getresponse()
        answer.data = answer.read()
        connection.close()
        return answer

    def call(self, key=None):
        headers = {"Host": "entry.example"}
        if key is not None:
            headers["Poplarfold-Key"] = key
        return self.request("front", "/lookup/1", headers)

    def heard_hosts(self):
        """Return how many hosts' usage the node hears, or 0 before it listens."""
        with contextlib.suppress(OSError):
            text = self.request("metrics", "/metrics").data.decode()
            found = re.search(r"^poplarfold_quota_hosts (\S+)", text, re.MULTILINE)
            return float(found[1]) if found else 0
        return 0

    def logged(self, number):
        return f'"{number}"'.encode() in self.log.read_bytes()
