"""Row types of the fleet: routes, services and endpoints."""

import math
from enum import StrEnum
from typing import NamedTuple

from poplarfold._internal.core.fleet.accounts import AccountTable
from poplarfold._internal.core.model import EndpointRole

__all__ = [
    "CallKind",
    "EndpointLoad",
    "FleetEndpoint",
    "RequestLimits",
    "Route",
    "RouteTable",
    "Service",
    "WeightedService",
]


class CallKind(StrEnum):
    """Kind of a route's calls, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_REPEATABLE = "non_repeatable"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """One published route. Times are in seconds.

    ``timeout_s`` limits how long a caller waits for the whole answer, and
    ``target_s`` is the latency target, and ``pause_s`` the longest pause between two
    events of a stream that is on time. One call is sent to at most ``max_attempts``
    endpoints. Calls of a route that ``is_public`` need no API key. ``priority`` is 0
    for the highest, and None if the route has none.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    max_attempts: int
    resumable: bool
    uses_engine: bool
    pause_s: float = math.inf
    is_public: bool = False
    priority: int | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


class Service(NamedTuple):
    """One service, either a plain one or one with prefill and decode engines.

    ``slots`` and ``memory_tokens`` are the capacity of one engine, and 0 for a plain
    service. ``lease_max_s`` is the longest time for which a decode engine reserves a
    slot. One event of a stream carries up to ``outputs_per_event`` output tokens. An
    engine serves nothing for ``role_change_s`` while it changes its role.
    """

    name: str
    slots: int = 0
    memory_tokens: int = 0
    lease_max_s: float = 0.0
    outputs_per_event: int = 1
    role_change_s: float = 0.0

    @property
    def has_engines(self) -> bool:
        """Whether prefill and decode engines serve the service."""
        return self.memory_tokens > 0


class RequestLimits(NamedTuple):
    """What a caller may send: a body's size, and the pause within one. 0 if unknown."""

    body_bytes: int = 0
    idle_s: float = 0.0


class RouteTable(NamedTuple):
    """One complete configuration. Versions increase, but not by equal steps.

    ``accounts`` is None if the configuration has no client accounts.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: AccountTable | None = None
    limits: RequestLimits = RequestLimits()


class FleetEndpoint(NamedTuple):
    """One endpoint as it was last announced.

    ``incarnation`` is the time of its start in Unix milliseconds, which
    distinguishes a restarted process from the one that ran under the same id before.
    ``cold_start_left_s`` is the remaining time of the endpoint's cold start.
    ``software_version`` is that of the endpoint's program, not of a model's weights.
    ``revision`` rises with each entry that an incarnation writes.
    """

    endpoint_id: str
    incarnation: int
    service: str
    address: str
    failure_domain: str
    role: EndpointRole
    slots: int
    is_leaving: bool
    cold_start_left_s: float
    software_version: str = ""
    revision: int = 0

    def is_newer_than(self, other: "FleetEndpoint") -> bool:
        """Return whether this entry was written after another one of its id."""
        written = (self.incarnation, self.revision)
        return written > (other.incarnation, other.revision)


class EndpointLoad(NamedTuple):
    """The load that an endpoint reports with an answer.

    ``slowdown`` is how long work takes there at the moment, as a multiple of the usual
    time, or None if the endpoint does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
