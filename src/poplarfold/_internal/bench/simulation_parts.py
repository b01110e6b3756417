"""Parts of the simulation: calls, links, entry hosts and endpoints."""

from collections import deque
from typing import Any

from poplarfold._internal.core import commands, events
from poplarfold._internal.core.node import Node
from poplarfold._internal.exceptions import PoplarfoldError
from poplarfold._internal.standins import engine_model, service_model

__all__ = [
    "Attempt",
    "CallRecord",
    "Endpoint",
    "Link",
    "NodeHost",
    "engine_of",
]

LINK_WINDOW_S = 1.0


class CallRecord:
    """One call as its caller observes it, with times at the caller."""

    def __init__(self, arrival: events.CallArrived, at: float) -> None:
        self.arrival = arrival
        self.sent_at = at
        self.disconnected_at: float | None = None
        self.first_output_at: float | None = None
        self.last_output_at: float | None = None
        self.ended_at: float | None = None
        self.error: PoplarfoldError | None = None
        self.attempts: list[str] = []


class Link:
    """The metered link from one region to another, modelled as a byte queue."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.total_bytes = 0
        self.recent: deque[tuple[float, int]] = deque()
        self.recent_bytes = 0
        self.window_max_bytes = 0

    def send(self, now: float, size: int) -> float:
        """Queue bytes and return the time in seconds until they are sent."""
        self.total_bytes += size
        self.recent.append((now, size))
        self.recent_bytes += size
        while self.recent[0][0] <= now - LINK_WINDOW_S:
            self.recent_bytes -= self.recent.popleft()[1]
        self.window_max_bytes = max(self.window_max_bytes, self.recent_bytes)
        self.free_at = max(now, self.free_at) + size / self.bytes_per_s
        return self.free_at - now


class NodeHost:
    """An entry host and its node, which may be crashed or paused."""

    def __init__(self, node: Node, domain: str) -> None:
        self.node = node
        self.domain = domain
        self.is_alive = True
        self.is_paused = False
        self.pending_events: list[Any] = []
        self.wake_at: float | None = None


class Endpoint:
    """An endpoint process in a domain."""

    def __init__(
        self,
        model: engine_model.EngineModel | service_model.ServiceModel,
        domain: str,
    ) -> None:
        self.model = model
        self.domain = domain
        self.is_alive = True
        self.wake_at: float | None = None


class Attempt:
    """The state of one attempt, which its thread holds in the real daemon."""

    def __init__(self, start: commands.StartAttempt, host: NodeHost) -> None:
        self.start = start
        self.host = host
        self.owner = host.node.state.me
        self.is_open = True
        self.is_sent = False
        self.outputs = start.resume_from
        self.prefill_sent_at = 0.0
        self.first_output_at = 0.0


def engine_of(endpoint: Endpoint) -> engine_model.EngineModel:
    """Return the engine model of an endpoint, which must be an engine."""
    assert isinstance(endpoint.model, engine_model.EngineModel)
    return endpoint.model
