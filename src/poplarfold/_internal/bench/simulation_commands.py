"""What the commands of nodes do in the simulation."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from poplarfold._internal.bench.simulation_attempts import (
    request_decode_slot,
    send_to_endpoint,
    start_service,
)
from poplarfold._internal.bench.simulation_core import (
    PREFIX_BYTES,
    REQUEST_BYTES,
    Event,
    SimulationCore,
)
from poplarfold._internal.bench.simulation_endpoints import advance_endpoint
from poplarfold._internal.bench.simulation_parts import Attempt, Endpoint, NodeHost
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.standins import engine_model

__all__ = ["carry_out_command"]


@singledispatch
def carry_out_command(command: Any, simulation: SimulationCore, host: NodeHost) -> None:
    """Carry out a command of a node; other commands have no effect."""


@carry_out_command.register
def _(command: commands.Log, simulation: SimulationCore, host: NodeHost) -> None:
    if simulation.keep_logs:
        simulation.logs.append((simulation.now, host.node.state.me.host, command))


@carry_out_command.register
def _(command: commands.FinishCall, simulation: SimulationCore, host: NodeHost) -> None:
    record = simulation.calls[command.call_id]
    if record.ended_at is None:
        record.ended_at = simulation.now + simulation.caller_delay_s
        record.error = command.error


@carry_out_command.register
def _(command: commands.SendPeer, simulation: SimulationCore, host: NodeHost) -> None:
    target = simulation.nodes.get(command.host)
    if target is None or not simulation.can_reach(host.domain, target.domain):
        return
    simulation.peer_messages += 1
    prefixes = getattr(command.message, "prefixes", ())
    size = REQUEST_BYTES + PREFIX_BYTES * len(prefixes)
    event = events.PeerReceived(host.node.state.me, command.message)
    simulation.post(target, event, simulation.delay(host.domain, target.domain, size))


@carry_out_command.register
def _(
    command: commands.PollEndpoint, simulation: SimulationCore, host: NodeHost
) -> None:
    def poll(endpoint: Endpoint) -> NamedTuple:
        report = endpoint.model.report(simulation.now)
        advance_endpoint(simulation, endpoint)
        return report

    failed = events.EndpointPollFailed(command.address, False)
    refused = events.EndpointPollFailed(command.address, True)
    request(simulation, host, command.address, poll, failed, refused)


@carry_out_command.register
def _(
    command: commands.FetchCacheEvents, simulation: SimulationCore, host: NodeHost
) -> None:
    def fetch(endpoint: Endpoint) -> Event | None:
        model = endpoint.model
        if not isinstance(model, engine_model.EngineModel):
            return None
        changes, oldest = model.cache_changes(simulation.now, command.after)
        advance_endpoint(simulation, endpoint)
        return events.CacheEventsReceived(
            command.address, model.incarnation, changes, oldest
        )

    request(simulation, host, command.address, fetch, None, None)


@carry_out_command.register
def _(command: commands.CancelWork, simulation: SimulationCore, host: NodeHost) -> None:
    def cancel(endpoint: Endpoint) -> NamedTuple:
        if isinstance(endpoint.model, engine_model.EngineModel):
            endpoint.model.cancel(simulation.now, command.attempt_id)
            advance_endpoint(simulation, endpoint)
        return events.CancelConfirmed(command.attempt_id, command.address)

    failed = events.CancelFailed(command.attempt_id, command.address, False)
    refused = failed._replace(connection_refused=True)
    request(simulation, host, command.address, cancel, failed, refused)


@carry_out_command.register
def _(command: commands.SendOrder, simulation: SimulationCore, host: NodeHost) -> None:
    def order(endpoint: Endpoint) -> NamedTuple:
        model = endpoint.model
        fields = (
            simulation.now,
            command.order_id,
            command.kind,
            command.fencing,
            command.identity,
        )
        if isinstance(model, engine_model.EngineModel):
            role = EndpointRole(command.role) if command.role else None
            code = model.accept_order(*fields, role)
            advance_endpoint(simulation, endpoint)
        else:
            code = model.accept_order(*fields)
        return events.OrderAnswered(
            command.order_id, command.address, code is None, code == "stale_fencing"
        )

    request(simulation, host, command.address, order, None, None)


def request(
    simulation: SimulationCore,
    host: NodeHost,
    address: str,
    action: Callable[[Endpoint], Event | None],
    failed: Event | None,
    refused: Event | None,
) -> None:
    """Send a request to an endpoint and post the resulting event to the node.

    ``failed`` is posted if the endpoint is unreachable, ``refused`` if its
    process does not run.
    """
    endpoint = simulation.endpoints.get(address)
    if endpoint is None or not simulation.can_reach(host.domain, endpoint.domain):
        if failed is not None:
            simulation.post(host, failed, 1.0)
        return
    simulation.schedule(
        simulation.now + simulation.delay(host.domain, endpoint.domain, REQUEST_BYTES),
        serve,
        simulation,
        host,
        address,
        action,
        refused,
    )


def serve(
    simulation: SimulationCore,
    host: NodeHost,
    address: str,
    action: Callable[[Endpoint], Event | None],
    refused: Event | None,
) -> None:
    """Handle a request at an endpoint."""
    endpoint = simulation.endpoints[address]
    event = action(endpoint) if endpoint.is_alive else refused
    if event is not None:
        return_delay_s = simulation.delay(endpoint.domain, host.domain, REQUEST_BYTES)
        simulation.post(host, event, return_delay_s)


@carry_out_command.register
def _(command: commands.ReadLog, simulation: SimulationCore, host: NodeHost) -> None:
    delay_s = simulation.delay(host.domain, "")
    simulation.schedule(
        simulation.now + delay_s, read_log, simulation, host, command, command.wait_s
    )


def read_log(
    simulation: SimulationCore, host: NodeHost, command: commands.ReadLog, wait_s: float
) -> None:
    """Respond to a read, or poll again while the read may wait."""
    failed = events.LogReadFailed(command.stream, command.start, False, 0)
    if not simulation.can_reach(host.domain, ""):
        simulation.post(host, failed, 1.0)
        return
    result = simulation.log.read(
        simulation.now, command.stream, command.start, command.limit
    )
    if result.status == 200 and not result.records and wait_s > 0.0:
        pause_s = min(wait_s, 0.02)
        simulation.schedule(
            simulation.now + pause_s,
            read_log,
            simulation,
            host,
            command,
            wait_s - pause_s,
        )
    elif result.status == 200:
        read = events.LogReadCompleted(
            command.stream, command.start, result.first, result.next, result.records
        )
        simulation.post(
            host, read, simulation.delay("", host.domain) + simulation.log.slow_s
        )
    else:
        expired = result.status == 410
        failed = failed._replace(expired=expired, first=result.first)
        simulation.post(
            host, failed, simulation.delay("", host.domain) + simulation.log.slow_s
        )


@carry_out_command.register
def _(command: commands.AppendLog, simulation: SimulationCore, host: NodeHost) -> None:
    if not simulation.can_reach(host.domain, ""):
        failed = events.LogAppendFailed(command.stream, command.record_id, True)
        simulation.post(host, failed, 1.0)
        return
    delay_s = simulation.delay(host.domain, "") + simulation.log.slow_s
    simulation.schedule(simulation.now + delay_s, simulation.append_log, host, command)


@carry_out_command.register
def _(
    command: commands.StartAttempt, simulation: SimulationCore, host: NodeHost
) -> None:
    attempt = simulation.attempts[command.attempt_id] = Attempt(command, host)
    record = simulation.calls[command.call_id]
    record.attempts.append(command.attempt_id)
    if command.placement.prefill is None:
        send_to_endpoint(simulation, attempt, command.placement.decode, start_service)
        return
    start_at = max(simulation.now, command.placement.start_at)
    simulation.schedule(start_at, request_decode_slot, simulation, attempt)


@carry_out_command.register
def _(
    command: commands.AbortAttempt, simulation: SimulationCore, host: NodeHost
) -> None:
    attempt = simulation.attempts.get(command.attempt_id)
    if attempt is not None:
        attempt.is_open = False
