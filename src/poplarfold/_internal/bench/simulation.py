"""Discrete-event simulation that runs the real node core on fake interfaces.

The simulation keeps a heap of events and advances its own clock. It carries out
the commands of nodes on the pure models of the stand-ins, with one-way delays,
and posts the resulting events to the nodes. The seed alone determines a run.
"""

from typing import Any, NamedTuple

from poplarfold._internal.bench.simulation_answers import on_event
from poplarfold._internal.bench.simulation_attempts import fail, update_outputs
from poplarfold._internal.bench.simulation_commands import carry_out_command
from poplarfold._internal.bench.simulation_core import SimulationCore
from poplarfold._internal.bench.simulation_parts import (
    Attempt,
    CallRecord,
    Endpoint,
    Link,
    NodeHost,
)
from poplarfold._internal.core import commands, events
from poplarfold._internal.exceptions import EndpointError, PoplarfoldError

__all__ = ["CallRecord", "Link", "Simulation"]


class Simulation(SimulationCore):
    """Simulation of the clock, network, endpoints, log and nodes.

    ``can_reach`` may be replaced to partition domains. The domain of the platform
    (log and host list) is the empty string.
    """

    def carry_out(self, command: NamedTuple, host: NodeHost) -> None:
        """Carry out a command of a node."""
        carry_out_command(command, self, host)

    def append_log(self, host: NodeHost, command: commands.AppendLog) -> None:
        """Append a record and respond, unless the response is to be lost."""
        stream, record_id = command.stream, command.record_id
        result = self.log.append(self.now, stream, record_id, command.data)
        delay_s = self.delay("", host.domain)
        if result.answer_lost:
            self.post(host, events.LogAppendFailed(stream, record_id, True), 1.0)
        elif result.status == 200:
            done = events.LogAppended(stream, record_id, result.offset)
            self.post(host, done, delay_s)
        else:
            failed = events.LogAppendFailed(stream, record_id, False)
            self.post(host, failed, delay_s)

    def fail(self, attempt: Attempt, error: PoplarfoldError, address: str) -> None:
        """End an attempt and report the error to its node."""
        fail(self, attempt, error, address)

    def crash_endpoint(self, address: str) -> None:
        """Crash an endpoint process and reset its connections."""
        endpoint = self.endpoints[address]
        endpoint.is_alive = False
        for attempt in self.attempts.values():
            placement = attempt.start.placement
            used = {ref.address for ref in (placement.prefill, placement.decode) if ref}
            if attempt.is_open and address in used and self.now >= placement.start_at:
                update_outputs(self, attempt)
                error = EndpointError(f"the connection to {address} was reset")
                self.schedule(self.now + 0.001, fail, self, attempt, error, address)

    def on_attempt_event(
        self, attempt: Attempt, event: Any, endpoint: Endpoint
    ) -> None:
        """Handle an event of an endpoint at the node of the attempt."""
        if attempt.is_open and attempt.host.is_alive:
            on_event(event, self, attempt, endpoint)
