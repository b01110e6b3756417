"""What the events of endpoints do to the attempts that run there."""

from functools import singledispatch
from typing import Any

from poplarfold._internal.bench.simulation_attempts import fail, send_decode
from poplarfold._internal.bench.simulation_core import SimulationCore
from poplarfold._internal.bench.simulation_parts import Attempt, Endpoint
from poplarfold._internal.core import events
from poplarfold._internal.exceptions import EndpointError, KvEvictedError
from poplarfold._internal.standins import engine_model, service_model

__all__ = ["on_event"]


@singledispatch
def on_event(
    event: Any, simulation: SimulationCore, attempt: Attempt, endpoint: Endpoint
) -> None:
    """Handle an event of an endpoint at an open attempt; others have no effect."""


@on_event.register
def _(
    event: engine_model.PrefillFinished,
    simulation: SimulationCore,
    attempt: Attempt,
    endpoint: Endpoint,
) -> None:
    send_decode(simulation, attempt, event.export, event.cached_tokens)


@on_event.register
def _(
    event: engine_model.DecodeFailed,
    simulation: SimulationCore,
    attempt: Attempt,
    endpoint: Endpoint,
) -> None:
    error_types: dict[str, type[EndpointError]] = {"kv_gone": KvEvictedError}
    error = error_types.get(event.code, EndpointError)(event.code)
    fail(simulation, attempt, error, endpoint.model.address)


@on_event.register
def _(
    event: engine_model.FirstOutputMade,
    simulation: SimulationCore,
    attempt: Attempt,
    endpoint: Endpoint,
) -> None:
    record = simulation.calls[attempt.start.call_id]
    if record.first_output_at is None:
        record.first_output_at = simulation.now + simulation.caller_delay_s
    attempt.outputs = max(attempt.outputs, attempt.start.resume_from + 1)
    simulation.step(attempt.host, [events.FirstOutput(attempt.start.attempt_id)])


@on_event.register
def _(
    event: engine_model.DecodeFinished,
    simulation: SimulationCore,
    attempt: Attempt,
    endpoint: Endpoint,
) -> None:
    record = simulation.calls[attempt.start.call_id]
    attempt.is_open = False
    record.last_output_at = simulation.now + simulation.caller_delay_s
    ended = events.AttemptEnded(
        attempt.start.attempt_id,
        None,
        True,
        attempt.start.resume_from + event.outputs,
        event.mean_interval_s,
    )
    simulation.step(attempt.host, [ended])


@on_event.register
def _(
    event: service_model.CallDone,
    simulation: SimulationCore,
    attempt: Attempt,
    endpoint: Endpoint,
) -> None:
    record = simulation.calls[attempt.start.call_id]
    attempt.is_open = False
    record.first_output_at = record.last_output_at = (
        simulation.now + simulation.caller_delay_s
    )
    ended = events.AttemptEnded(
        attempt.start.attempt_id,
        None,
        True,
        0,
        answer_status=event.status,
        answer_body=event.body,
    )
    simulation.step(attempt.host, [ended])
