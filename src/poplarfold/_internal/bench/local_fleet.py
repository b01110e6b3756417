"""Runs the daemons and stand-ins of a deployment in one process on loopback.

with LocalFleet(ASSOCIATION) as fleet:
    fleet.publish_entries()
    fleet.daemons["lhr-a"].frontend.caller_address
"""

import hashlib
import json
import socket
import threading
import time
from typing import Any, NamedTuple, Self

import urllib3

from poplarfold._internal.core.entry_codec import entry_fields
from poplarfold._internal.core.events import HostListRow
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRole,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.daemon.main import Daemon
from poplarfold._internal.exceptions import LocalFleetError
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.settings_file import (
    DaemonSettings,
    ListenAddress,
    PeerSettings,
    TimeoutSettings,
)
from poplarfold._internal.standins.engine import EngineStandIn
from poplarfold._internal.standins.engine_model import EngineConfig
from poplarfold._internal.standins.host_list import HostListStandIn
from poplarfold._internal.standins.http_server import ServerLoop
from poplarfold._internal.standins.log import LogStandIn
from poplarfold._internal.standins.service import ServiceStandIn
from poplarfold._internal.standins.service_model import ServiceBackend, ServiceConfig

__all__ = ["ASSOCIATION", "DEPLOYMENTS", "GLASSCAIRN", "Deployment", "LocalFleet"]

ACCOUNT_TOKEN = "account-token-of-the-local-fleet"
OPERATOR_TOKEN = "operator-token-of-the-local-fleet"
READY_TIMEOUT_S = 10.0
HOST = "127.0.0.1"

PATIENT_TARGETS = LatencyTargets(10.0, 0.2)
INTERACTIVE_TARGETS = LatencyTargets(0.46, 0.029)


class Deployment(NamedTuple):
    """The entries of a deployment, and the domains that each run a daemon."""

    name: str
    account: str
    domains: tuple[DomainSettings, ...]
    model_entry: CatalogueEntry
    non_repeatable_entry: CatalogueEntry
    lookup_entry: CatalogueEntry

    @property
    def entries(self) -> tuple[CatalogueEntry, ...]:
        """All entries, in order of publication."""
        return (self.model_entry, self.non_repeatable_entry, self.lookup_entry)


def make_entry(
    name: str,
    kind: EntryKind,
    identity: Identity,
    call_class: CallClass,
    targets: LatencyTargets,
) -> CatalogueEntry:
    """Return an entry without limits."""
    return CatalogueEntry(name, kind, identity, call_class, targets, EntryLimits())


ABSTRACTOR = Identity("association", "abstractor", "sha256:a1")
REGISTRY = Identity("association", "registry", "sha256:r1")
DESIGN_LLM = Identity("glasscairn", "design-llm", "sha256:d1")
ORDER_DESK = Identity("glasscairn", "order-desk", "sha256:o1")

ASSOCIATION = Deployment(
    "association",
    "association",
    (DomainSettings("lhr-a", "lahore", 1), DomainSettings("khi-a", "karachi", 1)),
    make_entry(
        "abstract", EntryKind.MODEL, ABSTRACTOR, CallClass.PATIENT, PATIENT_TARGETS
    ),
    make_entry(
        "filing", EntryKind.SERVICE, REGISTRY, CallClass.NON_REPEATABLE, PATIENT_TARGETS
    ),
    make_entry(
        "lookup",
        EntryKind.SERVICE,
        REGISTRY,
        CallClass.INTERACTIVE,
        INTERACTIVE_TARGETS,
    ),
)
GLASSCAIRN = Deployment(
    "glasscairn",
    "glasscairn",
    (DomainSettings("galway-a", "west", 1), DomainSettings("dublin-a", "east", 1)),
    make_entry(
        "caption",
        EntryKind.MODEL,
        DESIGN_LLM,
        CallClass.INTERACTIVE,
        INTERACTIVE_TARGETS,
    ),
    make_entry(
        "payment-hold",
        EntryKind.SERVICE,
        ORDER_DESK,
        CallClass.NON_REPEATABLE,
        PATIENT_TARGETS,
    ),
    make_entry(
        "lookup",
        EntryKind.SERVICE,
        ORDER_DESK,
        CallClass.INTERACTIVE,
        INTERACTIVE_TARGETS,
    ),
)
DEPLOYMENTS = {row.name: row for row in (ASSOCIATION, GLASSCAIRN)}

TIMEOUTS = TimeoutSettings(
    connect_s=0.5,
    endpoint_silence_s=1.5,
    log_append_s=2.0,
    request_read_s=10.0,
    default_deadline_s=60.0,
    max_deadline_s=600.0,
)


class LocalFleet:
    """The stand-ins of a deployment and one daemon per failure domain."""

    def __init__(
        self,
        deployment: Deployment,
        write_log: WriteLog | None = None,
        engines: EngineConfig | None = None,
        decodes_per_domain: int = 2,
        request_threads: int = 64,
        timeouts: TimeoutSettings = TIMEOUTS,
        body_limit_bytes: int = 4_000_000,
    ) -> None:
        self.deployment = deployment
        self.write_log = write_log or (lambda number, call_id, fields: None)
        self.loop = ServerLoop()
        self.log = LogStandIn(self.loop)
        self.host_list = HostListStandIn(self.loop, lag_s=0.0)
        self.backend = ServiceBackend()
        self.prefills: list[EngineStandIn] = []
        self.decodes: list[EngineStandIn] = []
        self.services: list[ServiceStandIn] = []
        self.daemons: dict[str, Daemon] = {}
        self.request_threads = request_threads
        self.timeouts = timeouts
        self.body_limit_bytes = body_limit_bytes
        # One prefill engine and one service process in addition to the decode engines.
        self.endpoints_per_domain = decodes_per_domain + 2
        self.http = urllib3.PoolManager(retries=False, maxsize=8)
        model = deployment.model_entry.identity
        service = deployment.non_repeatable_entry.identity
        base = engines or EngineConfig("", model, EndpointRole.DECODE)
        for domain in deployment.domains:
            prefill = base._replace(role=EndpointRole.PREFILL)
            self.prefills.append(EngineStandIn(self.loop, prefill))
            self.list_endpoint(self.prefills[-1], domain.name, model.service)
            for _ in range(decodes_per_domain):
                self.decodes.append(EngineStandIn(self.loop, base))
                self.list_endpoint(self.decodes[-1], domain.name, model.service)
            config = ServiceConfig("", service)
            self.services.append(
                ServiceStandIn(self.loop, config, backend=self.backend)
            )
            self.list_endpoint(self.services[-1], domain.name, service.service)
        self.peer_ports = {domain.name: free_port() for domain in deployment.domains}
        for domain in deployment.domains:
            address = f"{HOST}:{self.peer_ports[domain.name]}"
            self.list_host(
                HostListRow(
                    f"{domain.name}-1", address, "entry", domain.name, "", False
                )
            )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def list_host(self, row: HostListRow) -> None:
        """Put a host on the platform's host list."""
        self.host_list.put_host(**row._asdict())

    def list_endpoint(
        self, standin: EngineStandIn | ServiceStandIn, domain: str, service: str
    ) -> None:
        """Put an endpoint on the platform's host list."""
        host = f"endpoint-{standin.port}"
        self.list_host(
            HostListRow(host, standin.address, "endpoint", domain, service, False)
        )

    def settings(self, domain: DomainSettings) -> DaemonSettings:
        """Return the settings of the daemon of a failure domain."""
        peers = tuple(
            PeerSettings(f"{name}-1", f"{HOST}:{port}", name)
            for name, port in self.peer_ports.items()
            if name != domain.name
        )
        node = NodeSettings(
            f"{domain.name}-1",
            domain.name,
            self.deployment.domains,
            endpoint_rules=(
                (self.deployment.non_repeatable_entry.identity.service, True, True),
            ),
            strict_invariants=True,
        )
        return DaemonSettings(
            node=node,
            caller_listen=ListenAddress(HOST, 0),
            operator_listen=ListenAddress(HOST, 0),
            peer_listen=ListenAddress(HOST, self.peer_ports[domain.name]),
            log_url=f"http://{self.log.address}",
            host_list_url=f"http://{self.host_list.address}",
            weight_store_url=f"http://{HOST}:9",
            peers=peers,
            accounts={self.deployment.account: token_digest(ACCOUNT_TOKEN)},
            operators={"operator": token_digest(OPERATOR_TOKEN)},
            tls=None,
            request_threads=self.request_threads,
            body_limit_bytes=self.body_limit_bytes,
            memory_bytes=48_000_000,
            max_connections=4096,
            timeouts=self.timeouts,
            log_path=None,
        )

    def start(self) -> None:
        """Start a daemon in each domain and wait until all are ready.

        Raises LocalFleetError if a daemon does not become ready in time.
        """
        for domain in self.deployment.domains:
            self.start_daemon(domain)
        for name in self.daemons:
            self.wait_until(lambda name=name: self.is_ready(name), f"{name} is ready")

    def start_daemon(self, domain: DomainSettings) -> Daemon:
        """Start the daemon of one domain."""
        incarnation = int(time.time() * 1000)
        daemon = Daemon(self.settings(domain), incarnation, self.write_log)
        daemon.start()
        self.daemons[domain.name] = daemon
        return daemon

    def is_ready(self, domain: str) -> bool:
        """Return whether a daemon accepts calls."""
        url = f"http://{self.daemons[domain].frontend.caller_address}/readyz"
        return self.http.request("GET", url).status == 200

    def wait_until(self, condition: Any, what: str) -> None:
        """Poll a condition. Raises LocalFleetError if it is not true in time."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > ends_at:
                raise LocalFleetError(
                    f"timed out after {READY_TIMEOUT_S} s waiting until {what}"
                )
            time.sleep(0.02)

    def operator_request(
        self, domain: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to the operator interface of a daemon."""
        address = self.daemons[domain].frontend.operator_address
        response = self.http.request(
            method,
            f"http://{address}/operator/v1/{path}",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            body=None if body is None else json.dumps(body).encode(),
        )
        return response.status, response.json()

    def publish_entries(self) -> None:
        """Publish all entries and wait until each is in force on all daemons.

        Also waits until each daemon has a report of every endpoint of its domain.
        Raises LocalFleetError if an entry is rejected or a wait times out.
        """
        first = next(iter(self.daemons))
        for entry in self.deployment.entries:
            body = {"base_revision": -1, "entry": entry_fields(entry)}
            status, answer = self.operator_request(first, "POST", "entries", body)
            if status != 200:
                raise LocalFleetError(f"entry {entry.name!r} was rejected: {answer}")
        names = {entry.name for entry in self.deployment.entries}
        for domain in self.daemons:
            self.wait_until(
                lambda domain=domain: names <= self.entry_names(domain),
                f"{domain} has all entries",
            )
            self.wait_until(
                lambda domain=domain: self.has_endpoint_reports(domain),
                f"{domain} has a report of each endpoint",
            )

    def entry_names(self, domain: str) -> set[str]:
        """Return the names of the entries in force on a daemon."""
        _, answer = self.operator_request(domain, "GET", "entries")
        return {row["name"] for row in answer["entries"]}

    def has_endpoint_reports(self, domain: str) -> bool:
        """Return whether a daemon has a report of every endpoint of its domain."""
        _, answer = self.operator_request(domain, "GET", "endpoints")
        reported = sum(row["report"] is not None for row in answer["endpoints"])
        return reported >= self.endpoints_per_domain

    def close(self) -> None:
        """Stop the daemons, then the stand-ins."""
        stop_threads = [
            threading.Thread(target=daemon.stop) for daemon in self.daemons.values()
        ]
        for thread in stop_threads:
            thread.start()
        for thread in stop_threads:
            thread.join()
        self.http.clear()
        self.loop.stop()


def token_digest(token: str) -> str:
    """Return the digest of a bearer token in the form that the settings use."""
    return hashlib.sha256(token.encode()).hexdigest()


def free_port() -> int:
    """Return a loopback port that is free at the time of the call.

    Another process may take the port before it is used.
    """
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port
