"""Attempts of the simulation, from the first request to an endpoint to their end."""

from collections.abc import Callable

from poplarfold._internal.bench.simulation_core import (
    PREFIX_BYTES,
    REQUEST_BYTES,
    SimulationCore,
)
from poplarfold._internal.bench.simulation_endpoints import advance_endpoint
from poplarfold._internal.bench.simulation_parts import Attempt, Endpoint, engine_of
from poplarfold._internal.core import events
from poplarfold._internal.core.model import EndpointRef
from poplarfold._internal.exceptions import (
    EndpointError,
    EndpointRefusedError,
    EndpointStalledError,
    EndpointUnreachableError,
    IdentityMismatchError,
    KvEvictedError,
    PoplarfoldError,
    StaleFencingError,
)
from poplarfold._internal.standins import engine_model, service_model

__all__ = [
    "fail",
    "request_decode_slot",
    "send_decode",
    "send_to_endpoint",
    "start_service",
    "update_outputs",
]

AttemptAction = Callable[[SimulationCore, Attempt, Endpoint], None]


def request_decode_slot(simulation: SimulationCore, attempt: Attempt) -> None:
    """Request the decode slot at the start time of the placement."""
    placement = attempt.start.placement
    send_to_endpoint(simulation, attempt, placement.decode, reserve)


def send_to_endpoint(
    simulation: SimulationCore,
    attempt: Attempt,
    ref: EndpointRef,
    function: AttemptAction,
    size: int = REQUEST_BYTES,
) -> None:
    """Send a request of an attempt to an endpoint, if the attempt is open."""
    if not attempt.is_open:
        return
    endpoint = simulation.endpoints.get(ref.address)
    if endpoint is None or not simulation.can_reach(
        attempt.host.domain, endpoint.domain
    ):
        error = EndpointStalledError(f"{ref.address} does not answer")
        simulation.schedule(
            simulation.now + 1.0, fail, simulation, attempt, error, ref.address
        )
        return
    delay_s = simulation.delay(attempt.host.domain, endpoint.domain, size)
    simulation.schedule(
        simulation.now + delay_s,
        deliver_to_endpoint,
        simulation,
        attempt,
        ref,
        function,
    )


def deliver_to_endpoint(
    simulation: SimulationCore,
    attempt: Attempt,
    ref: EndpointRef,
    function: AttemptAction,
) -> None:
    """Deliver a request of an attempt to an endpoint."""
    endpoint = simulation.endpoints[ref.address]
    return_delay_s = simulation.delay(
        endpoint.domain, attempt.host.domain, REQUEST_BYTES
    )
    if not endpoint.is_alive:
        error = EndpointUnreachableError(f"{ref.address} refused the connection")
        simulation.schedule(
            simulation.now + return_delay_s,
            fail,
            simulation,
            attempt,
            error,
            ref.address,
        )
    else:
        function(simulation, attempt, endpoint)
        advance_endpoint(simulation, endpoint)


def refuse(
    simulation: SimulationCore, attempt: Attempt, endpoint: Endpoint, code: str
) -> None:
    """Fail an attempt with the error code of an endpoint."""
    error_types: dict[str, type[EndpointError]] = {
        "full": EndpointRefusedError,
        "leaving": EndpointRefusedError,
        "wrong_identity": IdentityMismatchError,
        "wrong_role": IdentityMismatchError,
        "kv_gone": KvEvictedError,
        "stale_fencing": StaleFencingError,
    }
    error = error_types.get(code, EndpointError)(code)
    simulation.errors[code] += 1
    return_delay_s = simulation.delay(
        endpoint.domain, attempt.host.domain, REQUEST_BYTES
    )
    address = endpoint.model.address
    simulation.schedule(
        simulation.now + return_delay_s, fail, simulation, attempt, error, address
    )


def reserve(simulation: SimulationCore, attempt: Attempt, endpoint: Endpoint) -> None:
    """Reserve the decode slot, then send the prompt."""
    start = attempt.start
    engine = engine_of(endpoint)
    arrival = simulation.calls[start.call_id].arrival
    pieces = engine_model.pieces_for(arrival.prompt_tokens + start.max_outputs)
    code = engine.reserve(simulation.now, make_work(attempt), pieces)
    if code is not None:
        refuse(simulation, attempt, endpoint, code)
        return
    return_delay_s = simulation.delay(
        endpoint.domain, attempt.host.domain, REQUEST_BYTES
    )
    simulation.schedule(
        simulation.now + return_delay_s, send_prompt, simulation, attempt
    )


def make_work(attempt: Attempt) -> engine_model.Work:
    """Return the work item that the attempt submits to engines."""
    start = attempt.start
    return engine_model.Work(
        start.attempt_id, attempt.owner, start.identity, start.placement.priority
    )


def send_prompt(simulation: SimulationCore, attempt: Attempt) -> None:
    """Send the prompt to the prefill engine."""
    prefill = attempt.start.placement.prefill
    if not attempt.is_open or prefill is None:
        return
    attempt.prefill_sent_at = simulation.now
    arrival = simulation.calls[attempt.start.call_id].arrival
    size = arrival.prompt_bytes + PREFIX_BYTES * len(arrival.prefixes)
    send_to_endpoint(simulation, attempt, prefill, start_prefill, size + REQUEST_BYTES)


def start_prefill(
    simulation: SimulationCore, attempt: Attempt, endpoint: Endpoint
) -> None:
    """Submit the prefill to the engine."""
    arrival = simulation.calls[attempt.start.call_id].arrival
    code = engine_of(endpoint).prefill(
        simulation.now,
        make_work(attempt),
        arrival.prompt_tokens + attempt.start.resume_from,
        arrival.call_id,
        arrival.prefixes,
    )
    if code is not None:
        refuse(simulation, attempt, endpoint, code)


def send_decode(
    simulation: SimulationCore,
    attempt: Attempt,
    export: engine_model.KvExport,
    cached: int,
) -> None:
    """Report the finished prefill to the node and start the decode."""
    if not attempt.is_open:
        return
    done = events.PrefillDone(
        attempt.start.attempt_id,
        export.tokens,
        cached,
        simulation.now - attempt.prefill_sent_at,
    )
    simulation.step(attempt.host, [done])

    def start(simulation: SimulationCore, attempt: Attempt, endpoint: Endpoint) -> None:
        source = simulation.endpoints[export.source]
        kv_export = None
        if source.is_alive:
            kv_export = engine_of(source).export(simulation.now, export.handle)
            advance_endpoint(simulation, source)
        code = engine_of(endpoint).decode(
            simulation.now,
            make_work(attempt),
            kv_export,
            export.tokens,
            attempt.start.max_outputs,
            attempt.start.resume_from,
        )
        if code is not None:
            refuse(simulation, attempt, endpoint, code)

    send_to_endpoint(simulation, attempt, attempt.start.placement.decode, start)


def start_service(
    simulation: SimulationCore, attempt: Attempt, endpoint: Endpoint
) -> None:
    """Send a plain service call."""
    attempt.is_sent = True
    start = attempt.start
    model = endpoint.model
    assert isinstance(model, service_model.ServiceModel)
    call = service_model.Call(
        start.attempt_id,
        start.operation_id or "",
        start.fencing,
        start.identity,
        b"{}",
        attempt.owner,
    )
    code = model.call(simulation.now, call)
    if code is not None:
        attempt.is_sent = False
        refuse(simulation, attempt, endpoint, code)


def fail(
    simulation: SimulationCore, attempt: Attempt, error: PoplarfoldError, address: str
) -> None:
    """End an attempt and report the error to its node."""
    if not attempt.is_open:
        return
    attempt.is_open = False
    if not isinstance(error, EndpointRefusedError):
        simulation.errors[error.code] += 1
    ended = events.AttemptEnded(
        attempt.start.attempt_id,
        error,
        attempt.is_sent,
        attempt.outputs,
        failed_endpoint=address,
    )
    simulation.step(attempt.host, [ended])


def update_outputs(simulation: SimulationCore, attempt: Attempt) -> None:
    """Update the outputs of an attempt from its decode engine."""
    endpoint = simulation.endpoints[attempt.start.placement.decode.address]
    if isinstance(endpoint.model, engine_model.EngineModel):
        progress = endpoint.model.outputs_of(attempt.start.attempt_id)
        if progress is not None:
            attempt.outputs = max(attempt.outputs, progress[2])
