"""Row types of the fleet that a node serves: routes, services and endpoints."""

from enum import StrEnum
from typing import NamedTuple

from poplarfold._internal.core.model import EndpointRole

__all__ = [
    "CallKind",
    "EndpointLoad",
    "FleetEndpoint",
    "Route",
    "RouteTable",
    "Service",
    "ServiceShare",
]


class CallKind(StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_REPEATABLE = "non_repeatable"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """One published route. Times are in seconds.

    ``timeout_s`` bounds how long a caller waits for its whole answer, and
    ``target_s`` is the latency target. ``max_attempts`` bounds the endpoints
    to which one call may be sent.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    max_attempts: int
    resumable: bool
    uses_engine: bool

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


class Service(NamedTuple):
    """One service. Plain services have no ``memory_tokens``.

    ``hold_s`` is the longest time for which a decode engine reserves a slot.
    One event of a stream carries up to ``event_outputs`` output tokens.
    """

    name: str
    slots: int = 0
    memory_tokens: int = 0
    hold_s: float = 0.0
    event_outputs: int = 1

    @property
    def has_engines(self) -> bool:
        """Whether prefill and decode engines serve it."""
        return self.memory_tokens > 0


class RouteTable(NamedTuple):
    """One whole configuration. Versions increase in uneven steps.

    The limits bound what callers may send and how long they may stay idle.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]


class FleetEndpoint(NamedTuple):
    """One endpoint as it was last announced.

    ``born`` is the time of its start in Unix milliseconds: a restart under the
    same id is another incarnation.
    """

    endpoint_id: str
    born: int
    service: str
    address: str
    failure_domain: str
    role: EndpointRole
    slots: int
    is_leaving: bool
    cold_left_s: float


class EndpointLoad(NamedTuple):
    """The load that an endpoint tells with an answer."""

    running: int
    waiting: int
    slots: int
