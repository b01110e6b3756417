"""Events of the simulation's endpoints, on their way to the attempts."""

from typing import Any

from poplarfold._internal.bench.simulation_core import REQUEST_BYTES, SimulationCore
from poplarfold._internal.bench.simulation_parts import Endpoint, engine_of
from poplarfold._internal.standins import engine_model

__all__ = ["advance_endpoint"]

OUTPUT_BYTES = 100


def advance_endpoint(simulation: SimulationCore, endpoint: Endpoint) -> None:
    """Handle the due events of an endpoint and schedule its next one."""
    if not endpoint.is_alive:
        return
    for event in endpoint.model.advance(simulation.now):
        on_endpoint_event(simulation, event, endpoint)
    wake_at = endpoint.model.next_event_at()
    if wake_at is not None and wake_at != endpoint.wake_at:
        endpoint.wake_at = wake_at
        simulation.schedule(
            max(wake_at, simulation.now), wake_endpoint, simulation, endpoint, wake_at
        )


def wake_endpoint(simulation: SimulationCore, endpoint: Endpoint, due: float) -> None:
    """Advance an endpoint whose next event is due."""
    if endpoint.wake_at == due:
        endpoint.wake_at = None
        advance_endpoint(simulation, endpoint)


def on_endpoint_event(
    simulation: SimulationCore, event: Any, endpoint: Endpoint
) -> None:
    """Forward an event of an endpoint to its attempt."""
    if isinstance(event, engine_model.KvImported):
        source = simulation.endpoints.get(event.source)
        if source is not None and source.is_alive:
            engine_of(source).release_export(simulation.now, event.handle)
            advance_endpoint(simulation, source)
        return
    attempt_id: str = getattr(event, "attempt", "") or getattr(event, "request_id", "")
    if isinstance(event, engine_model.MemoryFreed):
        simulation.memory_freed_at[attempt_id] = event.at
        return
    attempt = simulation.attempts.get(attempt_id)
    if attempt is None or not attempt.is_open:
        return
    size = REQUEST_BYTES
    if isinstance(event, engine_model.DecodeFinished):
        size = event.outputs * OUTPUT_BYTES
    delay_s = simulation.delay(endpoint.domain, attempt.host.domain, size)
    if isinstance(event, engine_model.DecodeFinished):
        # The bytes of a stream are sent while the outputs are produced, so the
        # end of the stream sees only the propagation delay.
        regions = (
            simulation.regions[endpoint.domain],
            simulation.regions[attempt.host.domain],
        )
        delay_s = 0.010 if regions[0] != regions[1] else delay_s
    if not simulation.can_reach(endpoint.domain, attempt.host.domain):
        return
    simulation.schedule(
        simulation.now + delay_s, simulation.on_attempt_event, attempt, event, endpoint
    )
