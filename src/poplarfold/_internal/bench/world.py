"""Nodes' real core code on fakes at its interfaces, under an advanced clock.

The world keeps a heap of events. It carries out the commands of nodes on the
pure models of the stand-ins, with one-way delays, and feeds what follows back
to the nodes. Everything depends on the seed alone.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from types import ModuleType
from typing import Any, NamedTuple

from poplarfold._internal.bench.world_parts import (
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

__all__ = ["CallRecord", "Link", "World"]

Event = tuple[Any, ...]

DOMAIN_DELAY_S = 0.0002
HOST_LIST_PERIOD_S = 1.0
REQUEST_BYTES = 400
OUTPUT_BYTES = 100
PREFIX_BYTES = 24


class World:
    """The clock, the network, the endpoints, the log and the nodes.

    ``reaches`` may be replaced to cut domains off from each other; the domain
    of the platform (log and host list) is the empty string.
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
        self.reaches: Callable[[str, str], bool] = lambda one, other: True
        self.memory_freed: dict[str, float] = {}
        self.errors: Counter[str] = Counter()
        self.logs: list[tuple[float, str, commands.Log]] = []
        self.keep_logs = False
        self.peer_messages = 0

    # Time.

    def at(self, when: float, function: Callable[..., object], *args: object) -> None:
        """Call a function at a time."""
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, function, args))

    def run(self, until: float) -> None:
        """Carry the world to a time."""
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
        ends = self.regions[source], self.regions[target]
        if ends[0] == ends[1]:
            return 0.001
        link = self.links.get(ends)
        if link is None:
            link = self.links[ends] = Link(self.link_bytes_per_s)
        return 0.010 + link.send(self.now, size)

    # Nodes and endpoints.

    def add_node(
        self,
        settings: NodeSettings,
        incarnation: int = 1,
        systems: tuple[ModuleType, ...] = ALL_SYSTEMS,
    ) -> Node:
        """Start a node; a node of the same host is replaced."""
        node = Node(settings, incarnation, self.rng.randrange(2**32), systems)
        host = NodeHost(node, settings.domain)
        self.nodes[settings.host] = host
        self.at(self.now, self.poll_host_list, host)
        self.at(self.now, self.step, host, [])
        return node

    def add_endpoint(
        self,
        model: engine_model.EngineModel | service_model.ServiceModel,
        domain: str,
        service: str,
    ) -> None:
        """Start an endpoint process and list it."""
        self.endpoints[model.address] = Endpoint(model, domain)
        self.host_list.put(
            self.now,
            events.HostListRow(
                model.address, model.address, "endpoint", domain, service, False
            ),
        )

    def poll_host_list(self, host: NodeHost) -> None:
        """Give a node the host list, again and again."""
        if not host.alive:
            return
        if self.reaches(host.domain, ""):
            self.step(host, [self.host_list.listed(self.now)])
        self.at(self.now + HOST_LIST_PERIOD_S, self.poll_host_list, host)

    def step(self, host: NodeHost, inbox: list[Any]) -> None:
        """Let a node handle events and carry out its commands."""
        if not host.alive:
            return
        if host.paused:
            host.held.extend(inbox)
            return
        if host.held:
            inbox, host.held = host.held + inbox, []
        for command in host.node.step(self.now, inbox):
            self.carry_out(command, host)
        wake_at = host.node.next_wakeup(self.now)
        if wake_at is not None and wake_at != host.wake_at:
            host.wake_at = max(wake_at, self.now + 1e-6)
            self.at(host.wake_at, self.wake, host, host.wake_at)

    def wake(self, host: NodeHost, due: float) -> None:
        """Step a node whose timer is due."""
        if host.wake_at == due:
            host.wake_at = None
            self.step(host, [])

    def post(self, host: NodeHost, event: Event, delay_s: float = 0.0) -> None:
        """Deliver an event to a node."""
        self.at(self.now + delay_s, self.step, host, [event])

    # Callers.

    def call(self, host: str, arrival: events.CallArrived) -> CallRecord:
        """Make a call through a node."""
        record = self.calls[arrival.call_id] = CallRecord(arrival, self.now)
        delay_s = self.caller_delay_s
        moved = arrival._replace(deadline=arrival.deadline + delay_s)
        self.post(self.nodes[host], moved, delay_s)
        return record

    def hang_up(self, host: str, call_id: str) -> None:
        """Close the caller's connection."""
        record = self.calls[call_id]
        if record.ended_at is None:
            record.gone_at = self.now
            gone = events.CallerDisconnected(call_id)
            self.post(self.nodes[host], gone, self.caller_delay_s)

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
        if target is None or not self.reaches(host.domain, target.domain):
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
            self.pump(endpoint)
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
            self.pump(endpoint)
            return events.CacheEventsReceived(
                command.address, model.incarnation, changes, oldest
            )

        self.request(host, command.address, fetch, None, None)

    @carry_out.register
    def _(self, command: commands.CancelWork, host: NodeHost) -> None:
        def cancel(endpoint: Endpoint) -> NamedTuple:
            if isinstance(endpoint.model, engine_model.EngineModel):
                endpoint.model.cancel(self.now, command.attempt_id)
                self.pump(endpoint)
            return events.CancelConfirmed(command.attempt_id, command.address)

        failed = events.CancelFailed(command.attempt_id, command.address, False)
        refused = failed._replace(connection_refused=True)
        self.request(host, command.address, cancel, failed, refused)

    @carry_out.register
    def _(self, command: commands.SendOrder, host: NodeHost) -> None:
        def order(endpoint: Endpoint) -> NamedTuple:
            model = endpoint.model
            if isinstance(model, engine_model.EngineModel):
                code = model.order(
                    self.now,
                    command.order_id,
                    command.kind,
                    command.fencing,
                    command.identity,
                    EndpointRole(command.role) if command.role else None,
                )
                self.pump(endpoint)
            else:
                code = model.order(
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
        self.at(self.now + delay_s, self.read_log, host, command, command.wait_s)

    def read_log(
        self, host: NodeHost, command: commands.ReadLog, wait_s: float
    ) -> None:
        """Answer a read, or look again while it may wait."""
        failed = events.LogReadFailed(command.stream, command.start, False, 0)
        if not self.reaches(host.domain, ""):
            self.post(host, failed, 1.0)
            return
        found = self.log.read(self.now, command.stream, command.start, command.limit)
        if found.status == 200 and not found.records and wait_s > 0.0:
            pause_s = min(wait_s, 0.02)
            self.at(self.now + pause_s, self.read_log, host, command, wait_s - pause_s)
        elif found.status == 200:
            read = events.LogReadCompleted(
                command.stream, command.start, found.first, found.next, found.records
            )
            self.post(host, read, self.delay("", host.domain) + self.log.slow_s)
        else:
            expired = found.status == 410
            failed = failed._replace(expired=expired, first=found.first)
            self.post(host, failed, self.delay("", host.domain) + self.log.slow_s)

    @carry_out.register
    def _(self, command: commands.AppendLog, host: NodeHost) -> None:
        if not self.reaches(host.domain, ""):
            failed = events.LogAppendFailed(command.stream, command.record_id, True)
            self.post(host, failed, 1.0)
            return
        delay_s = self.delay(host.domain, "") + self.log.slow_s
        self.at(self.now + delay_s, self.append_log, host, command)

    def append_log(self, host: NodeHost, command: commands.AppendLog) -> None:
        """Append a record and answer, unless the answer is lost."""
        stream, record_id = command.stream, command.record_id
        found = self.log.append(self.now, stream, record_id, command.data)
        delay_s = self.delay("", host.domain)
        if found.answer_lost:
            self.post(host, events.LogAppendFailed(stream, record_id, True), 1.0)
        elif found.status == 200:
            done = events.LogAppended(stream, record_id, found.offset)
            self.post(host, done, delay_s)
        else:
            failed = events.LogAppendFailed(stream, record_id, False)
            self.post(host, failed, delay_s)

    def request(
        self,
        host: NodeHost,
        address: str,
        act: Callable[[Endpoint], Event | None],
        failed: Event | None,
        refused: Event | None,
    ) -> None:
        """Do something at an endpoint and post what follows at the node."""
        endpoint = self.endpoints.get(address)
        if endpoint is None or not self.reaches(host.domain, endpoint.domain):
            if failed is not None:
                self.post(host, failed, 1.0)
            return
        self.at(
            self.now + self.delay(host.domain, endpoint.domain, REQUEST_BYTES),
            self.serve,
            host,
            address,
            act,
            refused,
        )

    def serve(
        self,
        host: NodeHost,
        address: str,
        act: Callable[[Endpoint], Event | None],
        refused: Event | None,
    ) -> None:
        """Serve a request at an endpoint."""
        endpoint = self.endpoints[address]
        found = act(endpoint) if endpoint.alive else refused
        if found is not None:
            back_s = self.delay(endpoint.domain, host.domain, REQUEST_BYTES)
            self.post(host, found, back_s)

    # Attempts.

    @carry_out.register
    def _(self, command: commands.StartAttempt, host: NodeHost) -> None:
        attempt = self.attempts[command.attempt_id] = Attempt(command, host)
        record = self.calls[command.call_id]
        record.attempts.append(command.attempt_id)
        if command.placement.prefill is None:
            self.to_endpoint(attempt, command.placement.decode, self.start_service)
            return
        start_at = max(self.now, command.placement.start_at)
        self.at(start_at, self.begin, attempt)

    @carry_out.register
    def _(self, command: commands.AbortAttempt, host: NodeHost) -> None:
        attempt = self.attempts.get(command.attempt_id)
        if attempt is not None:
            attempt.open = False

    def begin(self, attempt: Attempt) -> None:
        """Reserve the decode slot when the start time has come."""
        placement = attempt.start.placement
        self.to_endpoint(attempt, placement.decode, self.reserve)

    def to_endpoint(
        self,
        attempt: Attempt,
        ref: EndpointRef,
        function: Callable[[Attempt, Endpoint], None],
        size: int = REQUEST_BYTES,
    ) -> None:
        """Send a request of an attempt to an endpoint."""
        if not attempt.open:
            return
        endpoint = self.endpoints.get(ref.address)
        if endpoint is None or not self.reaches(attempt.host.domain, endpoint.domain):
            error = EndpointStalledError(f"{ref.address} does not answer")
            self.at(self.now + 1.0, self.fail, attempt, error, ref.address)
            return
        delay_s = self.delay(attempt.host.domain, endpoint.domain, size)
        self.at(self.now + delay_s, self.arrive, attempt, ref, function)

    def arrive(
        self,
        attempt: Attempt,
        ref: EndpointRef,
        function: Callable[[Attempt, Endpoint], None],
    ) -> None:
        """Handle a request of an attempt at an endpoint."""
        endpoint = self.endpoints[ref.address]
        back_s = self.delay(endpoint.domain, attempt.host.domain, REQUEST_BYTES)
        if not endpoint.alive:
            error = EndpointUnreachableError(f"{ref.address} refused the connection")
            self.at(self.now + back_s, self.fail, attempt, error, ref.address)
        else:
            function(attempt, endpoint)
            self.pump(endpoint)

    def refuse(self, attempt: Attempt, endpoint: Endpoint, code: str) -> None:
        """Answer an attempt with a refusal of the endpoint."""
        types: dict[str, type[EndpointError]] = {
            "full": EndpointRefusedError,
            "leaving": EndpointRefusedError,
            "wrong_identity": IdentityMismatchError,
            "wrong_role": IdentityMismatchError,
            "kv_gone": KvEvictedError,
            "stale_fencing": StaleFencingError,
        }
        error = types.get(code, EndpointError)(code)
        self.errors[code] += 1
        back_s = self.delay(endpoint.domain, attempt.host.domain, REQUEST_BYTES)
        address = endpoint.model.address
        self.at(self.now + back_s, self.fail, attempt, error, address)

    def reserve(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Reserve the decode slot, then send the prompt."""
        start = attempt.start
        engine = engine_of(endpoint)
        arrival = self.calls[start.call_id].arrival
        pieces = engine_model.pieces_for(arrival.prompt_tokens + start.max_outputs)
        code = engine.reserve(self.now, self.work_of(attempt), pieces)
        if code is not None:
            self.refuse(attempt, endpoint, code)
            return
        back_s = self.delay(endpoint.domain, attempt.host.domain, REQUEST_BYTES)
        self.at(self.now + back_s, self.send_prompt, attempt)

    def work_of(self, attempt: Attempt) -> engine_model.Work:
        """Return who asks for what, as engines see it."""
        start = attempt.start
        return engine_model.Work(
            start.attempt_id, attempt.owner, start.identity, start.placement.priority
        )

    def send_prompt(self, attempt: Attempt) -> None:
        """Send the prompt to the prefill engine."""
        prefill = attempt.start.placement.prefill
        if not attempt.open or prefill is None:
            return
        attempt.prefill_sent_at = self.now
        arrival = self.calls[attempt.start.call_id].arrival
        size = arrival.prompt_bytes + PREFIX_BYTES * len(arrival.prefixes)
        self.to_endpoint(attempt, prefill, self.start_prefill, size + REQUEST_BYTES)

    def start_prefill(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Queue the prefill."""
        arrival = self.calls[attempt.start.call_id].arrival
        code = engine_of(endpoint).prefill(
            self.now,
            self.work_of(attempt),
            arrival.prompt_tokens + attempt.start.resume_from,
            arrival.call_id,
            arrival.prefixes,
        )
        if code is not None:
            self.refuse(attempt, endpoint, code)

    def send_decode(
        self, attempt: Attempt, export: engine_model.KvExport, cached: int
    ) -> None:
        """Start the decode once the prefill is done."""
        if not attempt.open:
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
            found = None
            if source.alive:
                found = engine_of(source).export(self.now, export.handle)
                self.pump(source)
            code = engine_of(endpoint).decode(
                self.now,
                self.work_of(attempt),
                found,
                export.tokens,
                attempt.start.max_outputs,
                attempt.start.resume_from,
            )
            if code is not None:
                self.refuse(attempt, endpoint, code)

        self.to_endpoint(attempt, attempt.start.placement.decode, start)

    def start_service(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Make a plain call."""
        attempt.sent = True
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
            attempt.sent = False
            self.refuse(attempt, endpoint, code)

    def fail(self, attempt: Attempt, error: PoplarfoldError, address: str) -> None:
        """End an attempt with an error at its node."""
        if not attempt.open:
            return
        attempt.open = False
        if not isinstance(error, EndpointRefusedError):
            self.errors[error.code] += 1
        ended = events.AttemptEnded(
            attempt.start.attempt_id,
            error,
            attempt.sent,
            attempt.outputs,
            failed_endpoint=address,
        )
        self.step(attempt.host, [ended])

    def kill_endpoint(self, address: str) -> None:
        """End an endpoint process; its connections are reset."""
        endpoint = self.endpoints[address]
        endpoint.alive = False
        for attempt in self.attempts.values():
            placement = attempt.start.placement
            used = {ref.address for ref in (placement.prefill, placement.decode) if ref}
            if attempt.open and address in used and self.now >= placement.start_at:
                self.note_outputs(attempt)
                error = EndpointError(f"the connection to {address} was reset")
                self.at(self.now + 0.001, self.fail, attempt, error, address)

    def note_outputs(self, attempt: Attempt) -> None:
        """Count the outputs that the decode engine has made so far."""
        endpoint = self.endpoints[attempt.start.placement.decode.address]
        if isinstance(endpoint.model, engine_model.EngineModel):
            made = endpoint.model.outputs_of(attempt.start.attempt_id)
            if made is not None:
                attempt.outputs = max(attempt.outputs, made[2])

    # What endpoints do by themselves.

    def pump(self, endpoint: Endpoint) -> None:
        """Handle what an endpoint has done and wake it for what comes next."""
        if not endpoint.alive:
            return
        for happened in endpoint.model.advance(self.now):
            self.on_endpoint_event(happened, endpoint)
        wake_at = endpoint.model.next_event_at()
        if wake_at is not None and wake_at != endpoint.wake_at:
            endpoint.wake_at = wake_at
            self.at(max(wake_at, self.now), self.wake_endpoint, endpoint, wake_at)

    def wake_endpoint(self, endpoint: Endpoint, due: float) -> None:
        """Pump an endpoint whose next event is due."""
        if endpoint.wake_at == due:
            endpoint.wake_at = None
            self.pump(endpoint)

    def on_endpoint_event(self, happened: Any, endpoint: Endpoint) -> None:
        """Pass an event of an endpoint on to the attempt that it concerns."""
        if isinstance(happened, engine_model.KvImported):
            source = self.endpoints.get(happened.source)
            if source is not None and source.alive:
                engine_of(source).release_export(self.now, happened.handle)
                self.pump(source)
            return
        name: str = getattr(happened, "attempt", "") or getattr(happened, "call", "")
        if isinstance(happened, engine_model.MemoryFreed):
            self.memory_freed[name] = happened.at
            return
        attempt = self.attempts.get(name)
        if attempt is None or not attempt.open:
            return
        size = REQUEST_BYTES
        if isinstance(happened, engine_model.DecodeFinished):
            size = happened.outputs * OUTPUT_BYTES
        delay_s = self.delay(endpoint.domain, attempt.host.domain, size)
        if isinstance(happened, engine_model.DecodeFinished):
            # The bytes of the stream have left while it was made.
            ends = self.regions[endpoint.domain], self.regions[attempt.host.domain]
            delay_s = 0.010 if ends[0] != ends[1] else delay_s
        if not self.reaches(endpoint.domain, attempt.host.domain):
            return
        self.at(self.now + delay_s, self.on_answer, attempt, happened, endpoint)

    def on_answer(self, attempt: Attempt, happened: Any, endpoint: Endpoint) -> None:
        """Handle an endpoint's answer at the node of the attempt."""
        if not attempt.open or not attempt.host.alive:
            return
        record = self.calls[attempt.start.call_id]
        seen_at = self.now + self.caller_delay_s
        attempt_id = attempt.start.attempt_id
        address = endpoint.model.address
        if isinstance(happened, engine_model.PrefillFinished):
            self.send_decode(attempt, happened.export, happened.cached_tokens)
        elif isinstance(happened, engine_model.DecodeFailed):
            types: dict[str, type[EndpointError]] = {"kv_gone": KvEvictedError}
            error = types.get(happened.code, EndpointError)(happened.code)
            self.fail(attempt, error, address)
        elif isinstance(happened, engine_model.FirstOutputMade):
            if record.first_at is None:
                record.first_at = seen_at
            attempt.outputs = max(attempt.outputs, attempt.start.resume_from + 1)
            self.step(attempt.host, [events.FirstOutput(attempt_id)])
        elif isinstance(happened, engine_model.DecodeFinished):
            attempt.open = False
            record.last_at = seen_at
            ended = events.AttemptEnded(
                attempt_id,
                None,
                True,
                attempt.start.resume_from + happened.outputs,
                happened.mean_interval_s,
            )
            self.step(attempt.host, [ended])
        elif isinstance(happened, service_model.CallDone):
            attempt.open = False
            record.first_at = record.last_at = seen_at
            ended = events.AttemptEnded(
                attempt_id,
                None,
                True,
                0,
                answer_status=happened.status,
                answer_body=happened.body,
            )
            self.step(attempt.host, [ended])
