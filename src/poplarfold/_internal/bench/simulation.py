"""Discrete-event simulation that runs the real node core on fake interfaces.

The simulation keeps a heap of events and advances its own clock. It carries out
the commands of nodes on the pure models of the stand-ins, with one-way delays,
and posts the resulting events to the nodes. The seed alone determines a run.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from types import ModuleType
from typing import Any, NamedTuple

from poplarfold._internal.bench.simulation_parts import (
    Attempt,
    CallRecord,
    Endpoint,
    Link,
    NodeHost,
    engine_of,
)
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.model import EndpointRef, EndpointRole
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import ALL_SYSTEMS
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
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins import engine_model, service_model
from poplarfold._internal.standins.host_list_model import HostListModel
from poplarfold._internal.standins.log_model import LogModel

__all__ = ["CallRecord", "Link", "Simulation"]

Event = tuple[Any, ...]

DOMAIN_DELAY_S = 0.0002
HOST_LIST_PERIOD_S = 1.0
REQUEST_BYTES = 400
OUTPUT_BYTES = 100
PREFIX_BYTES = 24


class Simulation:
    """Simulation of the clock, network, endpoints, log and nodes.

    ``can_reach`` may be replaced to partition domains. The domain of the platform
    (log and host list) is the empty string.
    """

    def __init__(self, seed: int, link_bytes_per_s: float, caller_delay_s: float):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[
            tuple[float, int, Callable[..., object], tuple[object, ...]]
        ] = []
        self.sequence = 0
        self.caller_delay_s = caller_delay_s
        self.link_bytes_per_s = link_bytes_per_s
        self.regions: dict[str, str] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.nodes: dict[str, NodeHost] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.attempts: dict[str, Attempt] = {}
        self.calls: dict[str, CallRecord] = {}
        self.host_list = HostListModel(lag_s=0.0)
        self.log = LogModel()
        self.can_reach: Callable[[str, str], bool] = lambda one, other: True
        self.memory_freed_at: dict[str, float] = {}
        self.errors: Counter[str] = Counter()
        self.logs: list[tuple[float, str, commands.Log]] = []
        self.keep_logs = False
        self.peer_messages = 0

    # Time.

    def schedule(
        self, when: float, function: Callable[..., object], *args: object
    ) -> None:
        """Schedule a function call at a simulated time."""
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, function, args))

    def run(self, until: float) -> None:
        """Run all events up to a simulated time."""
        while self.heap and self.heap[0][0] <= until:
            when, _, function, args = heapq.heappop(self.heap)
            self.now = max(self.now, when)
            function(*args)
        self.now = until

    # The network.

    def delay(self, source: str, target: str, size: int = 0) -> float:
        """Return the one-way delay for ``size`` bytes between two domains."""
        if source == target or not source or not target:
            return DOMAIN_DELAY_S
        regions_pair = self.regions[source], self.regions[target]
        if regions_pair[0] == regions_pair[1]:
            return 0.001
        link = self.links.get(regions_pair)
        if link is None:
            link = self.links[regions_pair] = Link(self.link_bytes_per_s)
        return 0.010 + link.send(self.now, size)

    # Nodes and endpoints.

    def add_node(
        self,
        settings: NodeSettings,
        incarnation: int = 1,
        systems: tuple[ModuleType, ...] = ALL_SYSTEMS,
    ) -> Node:
        """Start a node, replacing a node of the same host."""
        node = Node(settings, incarnation, self.rng.randrange(2**32), systems)
        host = NodeHost(node, settings.domain)
        self.nodes[settings.host] = host
        self.schedule(self.now, self.poll_host_list, host)
        self.schedule(self.now, self.step, host, [])
        return node

    def add_endpoint(
        self,
        model: engine_model.EngineModel | service_model.ServiceModel,
        domain: str,
        service: str,
    ) -> None:
        """Start an endpoint process and put it on the host list."""
        self.endpoints[model.address] = Endpoint(model, domain)
        self.host_list.put(
            self.now,
            events.HostListRow(
                model.address, model.address, "endpoint", domain, service, False
            ),
        )

    def poll_host_list(self, host: NodeHost) -> None:
        """Deliver the host list to a node and schedule the next poll."""
        if not host.is_alive:
            return
        if self.can_reach(host.domain, ""):
            self.step(host, [self.host_list.listed(self.now)])
        self.schedule(self.now + HOST_LIST_PERIOD_S, self.poll_host_list, host)

    def step(self, host: NodeHost, inbox: list[Any]) -> None:
        """Step a node with events and carry out its commands."""
        if not host.is_alive:
            return
        if host.is_paused:
            host.pending_events.extend(inbox)
            return
        if host.pending_events:
            inbox, host.pending_events = host.pending_events + inbox, []
        for command in host.node.step(self.now, inbox):
            self.carry_out(command, host)
        wake_at = host.node.next_wakeup(self.now)
        if wake_at is not None and wake_at != host.wake_at:
            host.wake_at = max(wake_at, self.now + 1e-6)
            self.schedule(host.wake_at, self.wake, host, host.wake_at)

    def wake(self, host: NodeHost, due: float) -> None:
        """Step a node whose timer is due."""
        if host.wake_at == due:
            host.wake_at = None
            self.step(host, [])

    def post(self, host: NodeHost, event: Event, delay_s: float = 0.0) -> None:
        """Schedule the delivery of an event to a node."""
        self.schedule(self.now + delay_s, self.step, host, [event])

    # Callers.

    def call(self, host: str, arrival: events.CallArrived) -> CallRecord:
        """Send a call to an entry node."""
        record = self.calls[arrival.call_id] = CallRecord(arrival, self.now)
        delay_s = self.caller_delay_s
        delayed = arrival._replace(deadline=arrival.deadline + delay_s)
        self.post(self.nodes[host], delayed, delay_s)
        return record

    def hang_up(self, host: str, call_id: str) -> None:
        """Close the caller's connection."""
        record = self.calls[call_id]
        if record.ended_at is None:
            record.disconnected_at = self.now
            caller_gone = events.CallerDisconnected(call_id)
            self.post(self.nodes[host], caller_gone, self.caller_delay_s)

    # Commands.

    @singledispatchmethod
    def carry_out(self, command: NamedTuple, host: NodeHost) -> None:
        """Carry out a command of a node."""

    @carry_out.register
    def _(self, command: commands.Log, host: NodeHost) -> None:
        if self.keep_logs:
            self.logs.append((self.now, host.node.state.me.host, command))

    @carry_out.register
    def _(self, command: commands.FinishCall, host: NodeHost) -> None:
        record = self.calls[command.call_id]
        if record.ended_at is None:
            record.ended_at = self.now + self.caller_delay_s
            record.error = command.error

    @carry_out.register
    def _(self, command: commands.SendPeer, host: NodeHost) -> None:
        target = self.nodes.get(command.host)
        if target is None or not self.can_reach(host.domain, target.domain):
            return
        self.peer_messages += 1
        prefixes = getattr(command.message, "prefixes", ())
        size = REQUEST_BYTES + PREFIX_BYTES * len(prefixes)
        event = events.PeerReceived(host.node.state.me, command.message)
        self.post(target, event, self.delay(host.domain, target.domain, size))

    @carry_out.register
    def _(self, command: commands.PollEndpoint, host: NodeHost) -> None:
        def poll(endpoint: Endpoint) -> NamedTuple:
            report = endpoint.model.report(self.now)
            self.advance_endpoint(endpoint)
            return report

        failed = events.EndpointPollFailed(command.address, False)
        refused = events.EndpointPollFailed(command.address, True)
        self.request(host, command.address, poll, failed, refused)

    @carry_out.register
    def _(self, command: commands.FetchCacheEvents, host: NodeHost) -> None:
        def fetch(endpoint: Endpoint) -> Event | None:
            model = endpoint.model
            if not isinstance(model, engine_model.EngineModel):
                return None
            changes, oldest = model.cache_changes(self.now, command.after)
            self.advance_endpoint(endpoint)
            return events.CacheEventsReceived(
                command.address, model.incarnation, changes, oldest
            )

        self.request(host, command.address, fetch, None, None)

    @carry_out.register
    def _(self, command: commands.CancelWork, host: NodeHost) -> None:
        def cancel(endpoint: Endpoint) -> NamedTuple:
            if isinstance(endpoint.model, engine_model.EngineModel):
                endpoint.model.cancel(self.now, command.attempt_id)
                self.advance_endpoint(endpoint)
            return events.CancelConfirmed(command.attempt_id, command.address)

        failed = events.CancelFailed(command.attempt_id, command.address, False)
        refused = failed._replace(connection_refused=True)
        self.request(host, command.address, cancel, failed, refused)

    @carry_out.register
    def _(self, command: commands.SendOrder, host: NodeHost) -> None:
        def order(endpoint: Endpoint) -> NamedTuple:
            model = endpoint.model
            if isinstance(model, engine_model.EngineModel):
                code = model.accept_order(
                    self.now,
                    command.order_id,
                    command.kind,
                    command.fencing,
                    command.identity,
                    EndpointRole(command.role) if command.role else None,
                )
                self.advance_endpoint(endpoint)
            else:
                code = model.accept_order(
                    self.now,
                    command.order_id,
                    command.kind,
                    command.fencing,
                    command.identity,
                )
            return events.OrderAnswered(
                command.order_id, command.address, code is None, code == "stale_fencing"
            )

        self.request(host, command.address, order, None, None)

    @carry_out.register
    def _(self, command: commands.ReadLog, host: NodeHost) -> None:
        delay_s = self.delay(host.domain, "")
        self.schedule(self.now + delay_s, self.read_log, host, command, command.wait_s)

    def read_log(
        self, host: NodeHost, command: commands.ReadLog, wait_s: float
    ) -> None:
        """Respond to a read, or poll again while the read may wait."""
        failed = events.LogReadFailed(command.stream, command.start, False, 0)
        if not self.can_reach(host.domain, ""):
            self.post(host, failed, 1.0)
            return
        result = self.log.read(self.now, command.stream, command.start, command.limit)
        if result.status == 200 and not result.records and wait_s > 0.0:
            pause_s = min(wait_s, 0.02)
            self.schedule(
                self.now + pause_s, self.read_log, host, command, wait_s - pause_s
            )
        elif result.status == 200:
            read = events.LogReadCompleted(
                command.stream, command.start, result.first, result.next, result.records
            )
            self.post(host, read, self.delay("", host.domain) + self.log.slow_s)
        else:
            expired = result.status == 410
            failed = failed._replace(expired=expired, first=result.first)
            self.post(host, failed, self.delay("", host.domain) + self.log.slow_s)

    @carry_out.register
    def _(self, command: commands.AppendLog, host: NodeHost) -> None:
        if not self.can_reach(host.domain, ""):
            failed = events.LogAppendFailed(command.stream, command.record_id, True)
            self.post(host, failed, 1.0)
            return
        delay_s = self.delay(host.domain, "") + self.log.slow_s
        self.schedule(self.now + delay_s, self.append_log, host, command)

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

    def request(
        self,
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
        endpoint = self.endpoints.get(address)
        if endpoint is None or not self.can_reach(host.domain, endpoint.domain):
            if failed is not None:
                self.post(host, failed, 1.0)
            return
        self.schedule(
            self.now + self.delay(host.domain, endpoint.domain, REQUEST_BYTES),
            self.serve,
            host,
            address,
            action,
            refused,
        )

    def serve(
        self,
        host: NodeHost,
        address: str,
        action: Callable[[Endpoint], Event | None],
        refused: Event | None,
    ) -> None:
        """Handle a request at an endpoint."""
        endpoint = self.endpoints[address]
        event = action(endpoint) if endpoint.is_alive else refused
        if event is not None:
            return_delay_s = self.delay(endpoint.domain, host.domain, REQUEST_BYTES)
            self.post(host, event, return_delay_s)

    # Attempts.

    @carry_out.register
    def _(self, command: commands.StartAttempt, host: NodeHost) -> None:
        attempt = self.attempts[command.attempt_id] = Attempt(command, host)
        record = self.calls[command.call_id]
        record.attempts.append(command.attempt_id)
        if command.placement.prefill is None:
            self.send_to_endpoint(attempt, command.placement.decode, self.start_service)
            return
        start_at = max(self.now, command.placement.start_at)
        self.schedule(start_at, self.request_decode_slot, attempt)

    @carry_out.register
    def _(self, command: commands.AbortAttempt, host: NodeHost) -> None:
        attempt = self.attempts.get(command.attempt_id)
        if attempt is not None:
            attempt.is_open = False

    def request_decode_slot(self, attempt: Attempt) -> None:
        """Request the decode slot at the start time of the placement."""
        placement = attempt.start.placement
        self.send_to_endpoint(attempt, placement.decode, self.reserve)

    def send_to_endpoint(
        self,
        attempt: Attempt,
        ref: EndpointRef,
        function: Callable[[Attempt, Endpoint], None],
        size: int = REQUEST_BYTES,
    ) -> None:
        """Send a request of an attempt to an endpoint, if the attempt is open."""
        if not attempt.is_open:
            return
        endpoint = self.endpoints.get(ref.address)
        if endpoint is None or not self.can_reach(attempt.host.domain, endpoint.domain):
            error = EndpointStalledError(f"{ref.address} does not answer")
            self.schedule(self.now + 1.0, self.fail, attempt, error, ref.address)
            return
        delay_s = self.delay(attempt.host.domain, endpoint.domain, size)
        self.schedule(
            self.now + delay_s, self.deliver_to_endpoint, attempt, ref, function
        )

    def deliver_to_endpoint(
        self,
        attempt: Attempt,
        ref: EndpointRef,
        function: Callable[[Attempt, Endpoint], None],
    ) -> None:
        """Deliver a request of an attempt to an endpoint."""
        endpoint = self.endpoints[ref.address]
        return_delay_s = self.delay(endpoint.domain, attempt.host.domain, REQUEST_BYTES)
        if not endpoint.is_alive:
            error = EndpointUnreachableError(f"{ref.address} refused the connection")
            self.schedule(
                self.now + return_delay_s, self.fail, attempt, error, ref.address
            )
        else:
            function(attempt, endpoint)
            self.advance_endpoint(endpoint)

    def refuse(self, attempt: Attempt, endpoint: Endpoint, code: str) -> None:
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
        self.errors[code] += 1
        return_delay_s = self.delay(endpoint.domain, attempt.host.domain, REQUEST_BYTES)
        address = endpoint.model.address
        self.schedule(self.now + return_delay_s, self.fail, attempt, error, address)

    def reserve(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Reserve the decode slot, then send the prompt."""
        start = attempt.start
        engine = engine_of(endpoint)
        arrival = self.calls[start.call_id].arrival
        pieces = engine_model.pieces_for(arrival.prompt_tokens + start.max_outputs)
        code = engine.reserve(self.now, self.make_work(attempt), pieces)
        if code is not None:
            self.refuse(attempt, endpoint, code)
            return
        return_delay_s = self.delay(endpoint.domain, attempt.host.domain, REQUEST_BYTES)
        self.schedule(self.now + return_delay_s, self.send_prompt, attempt)

    def make_work(self, attempt: Attempt) -> engine_model.Work:
        """Return the work item that the attempt submits to engines."""
        start = attempt.start
        return engine_model.Work(
            start.attempt_id, attempt.owner, start.identity, start.placement.priority
        )

    def send_prompt(self, attempt: Attempt) -> None:
        """Send the prompt to the prefill engine."""
        prefill = attempt.start.placement.prefill
        if not attempt.is_open or prefill is None:
            return
        attempt.prefill_sent_at = self.now
        arrival = self.calls[attempt.start.call_id].arrival
        size = arrival.prompt_bytes + PREFIX_BYTES * len(arrival.prefixes)
        self.send_to_endpoint(
            attempt, prefill, self.start_prefill, size + REQUEST_BYTES
        )

    def start_prefill(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Submit the prefill to the engine."""
        arrival = self.calls[attempt.start.call_id].arrival
        code = engine_of(endpoint).prefill(
            self.now,
            self.make_work(attempt),
            arrival.prompt_tokens + attempt.start.resume_from,
            arrival.call_id,
            arrival.prefixes,
        )
        if code is not None:
            self.refuse(attempt, endpoint, code)

    def send_decode(
        self, attempt: Attempt, export: engine_model.KvExport, cached: int
    ) -> None:
        """Report the finished prefill to the node and start the decode."""
        if not attempt.is_open:
            return
        done = events.PrefillDone(
            attempt.start.attempt_id,
            export.tokens,
            cached,
            self.now - attempt.prefill_sent_at,
        )
        self.step(attempt.host, [done])

        def start(attempt: Attempt, endpoint: Endpoint) -> None:
            source = self.endpoints[export.source]
            kv_export = None
            if source.is_alive:
                kv_export = engine_of(source).export(self.now, export.handle)
                self.advance_endpoint(source)
            code = engine_of(endpoint).decode(
                self.now,
                self.make_work(attempt),
                kv_export,
                export.tokens,
                attempt.start.max_outputs,
                attempt.start.resume_from,
            )
            if code is not None:
                self.refuse(attempt, endpoint, code)

        self.send_to_endpoint(attempt, attempt.start.placement.decode, start)

    def start_service(self, attempt: Attempt, endpoint: Endpoint) -> None:
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
        code = model.call(self.now, call)
        if code is not None:
            attempt.is_sent = False
            self.refuse(attempt, endpoint, code)

    def fail(self, attempt: Attempt, error: PoplarfoldError, address: str) -> None:
        """End an attempt and report the error to its node."""
        if not attempt.is_open:
            return
        attempt.is_open = False
        if not isinstance(error, EndpointRefusedError):
            self.errors[error.code] += 1
        ended = events.AttemptEnded(
            attempt.start.attempt_id,
            error,
            attempt.is_sent,
            attempt.outputs,
            failed_endpoint=address,
        )
        self.step(attempt.host, [ended])

    def crash_endpoint(self, address: str) -> None:
        """Crash an endpoint process and reset its connections."""
        endpoint = self.endpoints[address]
        endpoint.is_alive = False
        for attempt in self.attempts.values():
            placement = attempt.start.placement
            used = {ref.address for ref in (placement.prefill, placement.decode) if ref}
            if attempt.is_open and address in used and self.now >= placement.start_at:
                self.update_outputs(attempt)
                error = EndpointError(f"the connection to {address} was reset")
                self.schedule(self.now + 0.001, self.fail, attempt, error, address)

    def update_outputs(self, attempt: Attempt) -> None:
        """Update the outputs of an attempt from its decode engine."""
        endpoint = self.endpoints[attempt.start.placement.decode.address]
        if isinstance(endpoint.model, engine_model.EngineModel):
            progress = endpoint.model.outputs_of(attempt.start.attempt_id)
            if progress is not None:
                attempt.outputs = max(attempt.outputs, progress[2])

    # Endpoint events.

    def advance_endpoint(self, endpoint: Endpoint) -> None:
        """Handle the due events of an endpoint and schedule its next one."""
        if not endpoint.is_alive:
            return
        for event in endpoint.model.advance(self.now):
            self.on_endpoint_event(event, endpoint)
        wake_at = endpoint.model.next_event_at()
        if wake_at is not None and wake_at != endpoint.wake_at:
            endpoint.wake_at = wake_at
            self.schedule(max(wake_at, self.now), self.wake_endpoint, endpoint, wake_at)

    def wake_endpoint(self, endpoint: Endpoint, due: float) -> None:
        """Advance an endpoint whose next event is due."""
        if endpoint.wake_at == due:
            endpoint.wake_at = None
            self.advance_endpoint(endpoint)

    def on_endpoint_event(self, event: Any, endpoint: Endpoint) -> None:
        """Forward an event of an endpoint to its attempt."""
        if isinstance(event, engine_model.KvImported):
            source = self.endpoints.get(event.source)
            if source is not None and source.is_alive:
                engine_of(source).release_export(self.now, event.handle)
                self.advance_endpoint(source)
            return
        attempt_id: str = getattr(event, "attempt", "") or getattr(
            event, "request_id", ""
        )
        if isinstance(event, engine_model.MemoryFreed):
            self.memory_freed_at[attempt_id] = event.at
            return
        attempt = self.attempts.get(attempt_id)
        if attempt is None or not attempt.is_open:
            return
        size = REQUEST_BYTES
        if isinstance(event, engine_model.DecodeFinished):
            size = event.outputs * OUTPUT_BYTES
        delay_s = self.delay(endpoint.domain, attempt.host.domain, size)
        if isinstance(event, engine_model.DecodeFinished):
            # The bytes of a stream are sent while the outputs are produced, so the
            # end of the stream sees only the propagation delay.
            regions = self.regions[endpoint.domain], self.regions[attempt.host.domain]
            delay_s = 0.010 if regions[0] != regions[1] else delay_s
        if not self.can_reach(endpoint.domain, attempt.host.domain):
            return
        self.schedule(
            self.now + delay_s, self.on_attempt_event, attempt, event, endpoint
        )

    def on_attempt_event(
        self, attempt: Attempt, event: Any, endpoint: Endpoint
    ) -> None:
        """Handle an event of an endpoint at the node of the attempt."""
        if not attempt.is_open or not attempt.host.is_alive:
            return
        record = self.calls[attempt.start.call_id]
        caller_sees_at = self.now + self.caller_delay_s
        attempt_id = attempt.start.attempt_id
        address = endpoint.model.address
        if isinstance(event, engine_model.PrefillFinished):
            self.send_decode(attempt, event.export, event.cached_tokens)
        elif isinstance(event, engine_model.DecodeFailed):
            error_types: dict[str, type[EndpointError]] = {"kv_gone": KvEvictedError}
            error = error_types.get(event.code, EndpointError)(event.code)
            self.fail(attempt, error, address)
        elif isinstance(event, engine_model.FirstOutputMade):
            if record.first_output_at is None:
                record.first_output_at = caller_sees_at
            attempt.outputs = max(attempt.outputs, attempt.start.resume_from + 1)
            self.step(attempt.host, [events.FirstOutput(attempt_id)])
        elif isinstance(event, engine_model.DecodeFinished):
            attempt.is_open = False
            record.last_output_at = caller_sees_at
            ended = events.AttemptEnded(
                attempt_id,
                None,
                True,
                attempt.start.resume_from + event.outputs,
                event.mean_interval_s,
            )
            self.step(attempt.host, [ended])
        elif isinstance(event, service_model.CallDone):
            attempt.is_open = False
            record.first_output_at = record.last_output_at = caller_sees_at
            ended = events.AttemptEnded(
                attempt_id,
                None,
                True,
                0,
                answer_status=event.status,
                answer_body=event.body,
            )
            self.step(attempt.host, [ended])
