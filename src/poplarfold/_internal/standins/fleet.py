"""All stand-ins of one deployment in one process.

>>> with Fleet("glasscairn") as fleet:
...     len(fleet.endpoints_of("galway-a", "design-llm"))
2
"""

from types import TracebackType
from typing import NamedTuple

from poplarfold._internal.core.events import HostListRow
from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins.engine import EngineStandIn
from poplarfold._internal.standins.engine_model import EngineConfig
from poplarfold._internal.standins.host_list import HostListStandIn
from poplarfold._internal.standins.http_server import ServerLoop, StandIn
from poplarfold._internal.standins.log import LogStandIn
from poplarfold._internal.standins.log_model import LogConfig
from poplarfold._internal.standins.service import ServiceStandIn
from poplarfold._internal.standins.service_model import ServiceBackend, ServiceConfig
from poplarfold._internal.standins.weight_store import WeightStoreStandIn

__all__ = ["DEPLOYMENTS", "Deployment", "DomainSizes", "Endpoint", "Fleet"]

VERSION = "v1"


class DomainSizes(NamedTuple):
    """The endpoints of one failure domain."""

    name: str
    region: str
    prefill: int
    decode: int
    service: int


class Deployment(NamedTuple):
    """The sizes of a deployment. Each domain can serve calls on its own.

    A decode engine handles about 5 streams of 150 outputs per second and a prefill
    engine about 12 prompts of 3,000 tokens per second, so one prefill engine serves
    two or three decode engines.
    """

    name: str
    model_service: str
    plain_service: str
    domains: tuple[DomainSizes, ...]

    def identity(self, service: str) -> Identity:
        """Return the identity that the endpoints of a service report."""
        return Identity(self.name, service, VERSION)


class Endpoint(NamedTuple):
    """One endpoint of a fleet. ``host`` is its name in the host list."""

    host: str
    domain: str
    service: str
    standin: EngineStandIn | ServiceStandIn


DEPLOYMENTS = {
    "association": Deployment(
        "association",
        "abstractor",
        "registry",
        (
            DomainSizes("lhr-a", "lahore", prefill=1, decode=3, service=1),
            DomainSizes("lhr-b", "lahore", prefill=1, decode=2, service=1),
            DomainSizes("khi-a", "karachi", prefill=1, decode=2, service=1),
        ),
    ),
    "glasscairn": Deployment(
        "glasscairn",
        "design-llm",
        "order-desk",
        (
            DomainSizes("galway-a", "west", prefill=1, decode=1, service=1),
            DomainSizes("galway-b", "west", prefill=1, decode=1, service=1),
            DomainSizes("dublin-a", "east", prefill=1, decode=1, service=1),
        ),
    ),
}

ENGINE_DEFAULTS = EngineConfig("", Identity("", "", ""), EndpointRole.DECODE)
SERVICE_DEFAULTS = ServiceConfig("", Identity("", "", ""))


class Fleet:
    """The engines, services, log, host list and weight store of a deployment.

    ``foreign_owner`` adds to each domain a prefill engine, a decode engine and a
    service process that have the same service names but belong to another owner, as
    after a merger of two fleets. ``engine`` and ``service`` are templates; their
    address, identity and role are replaced.
    """

    def __init__(
        self,
        deployment: str,
        *,
        server: ServerLoop | None = None,
        engine: EngineConfig = ENGINE_DEFAULTS,
        service: ServiceConfig = SERVICE_DEFAULTS,
        log: LogConfig | None = None,
        host_list_lag_s: float = 1.0,
        foreign_owner: str | None = None,
    ) -> None:
        self.deployment = DEPLOYMENTS[deployment]
        self.owns_server = server is None
        self.server = server or ServerLoop()
        self.engine_template = engine
        self.service_template = service
        self.backend = ServiceBackend()
        self.foreign_backend = ServiceBackend()
        self.endpoints: list[Endpoint] = []
        self.log = LogStandIn(self.server, log)
        self.weight_store = WeightStoreStandIn(self.server)
        for sizes in self.deployment.domains:
            self.add_domain(sizes, foreign_owner)
        self.host_list = HostListStandIn(
            self.server,
            host_list_lag_s,
            tuple(
                HostListRow(
                    row.host,
                    row.standin.address,
                    "endpoint",
                    row.domain,
                    row.service,
                    False,
                )
                for row in self.endpoints
            ),
        )

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def add_domain(self, sizes: DomainSizes, foreign_owner: str | None) -> None:
        """Start the endpoints of one failure domain."""
        plain = self.deployment.plain_service
        owner = self.deployment.name
        for number in range(sizes.prefill):
            self.add_engine(sizes.name, owner, EndpointRole.PREFILL, f"p{number}")
        for number in range(sizes.decode):
            self.add_engine(sizes.name, owner, EndpointRole.DECODE, f"d{number}")
        for number in range(sizes.service):
            host = f"{sizes.name}-{plain}-{number}"
            self.add_service(sizes.name, owner, host, self.backend)
        if foreign_owner is not None:
            for role in (EndpointRole.PREFILL, EndpointRole.DECODE):
                name = f"{foreign_owner}-{role.value}"
                self.add_engine(sizes.name, foreign_owner, role, name)
            host = f"{sizes.name}-{plain}-{foreign_owner}"
            self.add_service(sizes.name, foreign_owner, host, self.foreign_backend)

    def add_engine(
        self, domain: str, owner: str, role: EndpointRole, name: str
    ) -> Endpoint:
        """Start one engine."""
        service = self.deployment.model_service
        config = self.engine_template._replace(
            identity=Identity(owner, service, VERSION), role=role
        )
        standin = EngineStandIn(self.server, config)
        row = Endpoint(f"{domain}-{service}-{name}", domain, service, standin)
        self.endpoints.append(row)
        return row

    def add_service(
        self, domain: str, owner: str, host: str, backend: ServiceBackend
    ) -> Endpoint:
        """Start one service process."""
        service = self.deployment.plain_service
        config = self.service_template._replace(
            identity=Identity(owner, service, VERSION)
        )
        standin = ServiceStandIn(self.server, config, backend=backend)
        row = Endpoint(host, domain, service, standin)
        self.endpoints.append(row)
        return row

    def endpoints_of(self, domain: str, service: str | None = None) -> list[Endpoint]:
        """Return the endpoints of a domain, for one service or for all."""
        return [
            row
            for row in self.endpoints
            if row.domain == domain and service in (None, row.service)
        ]

    def engines(self) -> list[EngineStandIn]:
        """Return all engines."""
        rows = [row.standin for row in self.endpoints]
        return [row for row in rows if isinstance(row, EngineStandIn)]

    def services(self) -> list[ServiceStandIn]:
        """Return all service processes."""
        rows = [row.standin for row in self.endpoints]
        return [row for row in rows if isinstance(row, ServiceStandIn)]

    def standins(self) -> list[StandIn]:
        """Return all stand-ins."""
        platform: list[StandIn] = [self.log, self.host_list, self.weight_store]
        return platform + [row.standin for row in self.endpoints]

    def add_entry_host(self, host: str, address: str, domain: str) -> None:
        """Add a daemon's host to the host list, with the address of its peer link."""
        self.host_list.put_host(host, address, "entry", domain)

    def runs(self) -> dict[str, int]:
        """Return how often each operation id ran, over all processes."""
        return self.server.call(lambda: dict(self.backend.runs))

    def counters(self) -> list[dict[str, object]]:
        """Return the counters of all stand-ins."""
        return [row.counters() for row in self.standins()]

    def addresses(self) -> dict[str, object]:
        """Return the addresses of all stand-ins as JSON values."""
        return {
            "deployment": self.deployment.name,
            "log": f"http://{self.log.address}",
            "host_list": f"http://{self.host_list.address}",
            "weight_store": f"http://{self.weight_store.address}",
            "endpoints": [
                {
                    "host": row.host,
                    "domain": row.domain,
                    "service": row.service,
                    "address": row.standin.address,
                }
                for row in self.endpoints
            ],
        }

    def stop(self) -> None:
        """Stop all stand-ins, and the server loop if this fleet started it."""
        if self.owns_server:
            self.server.stop()
            return
        for row in self.standins():
            row.die()
