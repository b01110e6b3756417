"""Simulation with partitions, pauses, crashes and faults of the platform."""

from typing import Any, NamedTuple

from poplarfold._internal.bench.simulation import Simulation
from poplarfold._internal.bench.simulation_parts import NodeHost
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.events import HostListRow
from poplarfold._internal.core.peer_codec import decode, encode
from poplarfold._internal.exceptions import EndpointStalledError
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins.engine_model import EngineModel
from poplarfold._internal.standins.service_model import ServiceModel

__all__ = ["FaultSimulation", "Violation"]

PLATFORM = ""
# Delay between the command and the send in the attempt's thread. It lets a pause
# of the process fall between the two.
SEND_DELAY_S = 0.02
LOG_TIMEOUT_S = 2.0
# Bytes of Ethernet, IP, TCP, TLS and websocket headers of one small message.
FRAME_BYTES = 14 + 20 + 32 + 22 + 4
HTTP_HEADER_BYTES = 350


class Violation(NamedTuple):
    """A violated invariant and the simulated time at which it was found."""

    name: str
    at: float
    problem: str


class FaultSimulation(Simulation):
    """Simulation whose domains, hosts, log and endpoints fail on demand."""

    def __init__(self, seed: int, link_bytes_per_s: float, caller_delay_s: float):
        super().__init__(seed, link_bytes_per_s, caller_delay_s)
        self.cuts: dict[frozenset[str], int] = {}
        self.silent_until: dict[tuple[str, str], float] = {}
        self.can_reach = self.is_connected
        self.waiting_reads: dict[
            str, list[tuple[NodeHost, commands.ReadLog, float]]
        ] = {}
        self.violations: list[Violation] = []
        self.operator_answers: dict[str, commands.AnswerOperator] = {}
        self.bytes_sent: dict[str, int] = {}
        self.bytes_received: dict[str, int] = {}
        self.log_requests = 0
        self.log_peak = 0
        self.count_bytes = False
        self.process_ended_at: dict[str, float] = {}
        self.incarnation = 1_000
        # Attempts whose threads have not started yet. An abort removes them.
        self.pending_starts: set[str] = set()

    # Faults.

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether packets pass between two domains."""
        return frozenset((one, other)) not in self.cuts

    def cut(self, one: str, other: str, seconds: float) -> None:
        """Drop all packets between two domains for some time."""
        pair = frozenset((one, other))
        self.cuts[pair] = self.cuts.get(pair, 0) + 1
        self.schedule(self.now + seconds, self.end_cut, pair)

    def end_cut(self, pair: frozenset[str]) -> None:
        """End one cut between two domains; overlapping cuts stay."""
        self.cuts[pair] -= 1
        if self.cuts[pair] == 0:
            del self.cuts[pair]

    def drop_messages(self, one: str, other: str, seconds: float) -> None:
        """Drop the messages on the open connection of two nodes without an error."""
        until = self.now + seconds
        self.silent_until[one, other] = self.silent_until[other, one] = until

    def crash(self, name: str) -> None:
        """Crash a node; its callers lose their connections."""
        host = self.nodes[name]
        host.is_alive = False
        self.process_ended_at[name] = self.now
        for attempt in self.attempts.values():
            if attempt.host is host:
                attempt.is_open = False

    def restart(self, settings: NodeSettings) -> None:
        """Start a new process at a host."""
        self.incarnation += 1
        self.add_node(settings, self.incarnation)

    def pause(self, name: str, seconds: float) -> None:
        """Suspend a node's process for some time."""
        host = self.nodes[name]
        if host.is_alive and not host.is_paused:
            host.is_paused = True
            self.schedule(self.now + seconds, self.resume, host)

    def resume(self, host: NodeHost) -> None:
        """Resume a paused process and deliver its pending events."""
        host.is_paused = False
        self.step(host, [])

    def restart_endpoint(self, address: str, incarnation: int) -> None:
        """Start a new endpoint process at the same address."""
        old = self.endpoints[address]
        config: Any = old.model.config._replace(incarnation=incarnation)
        model: EngineModel | ServiceModel
        if isinstance(old.model, EngineModel):
            model = EngineModel(config)
        else:
            model = ServiceModel(config, old.model.backend)
        self.add_endpoint(model, old.domain, config.identity.service)

    # Commands that faults affect.

    def carry_out(self, command: NamedTuple, host: NodeHost) -> None:
        """Carry out a command under the active faults."""
        if isinstance(command, commands.SendPeer):
            self.send_peer(command, host)
        elif isinstance(command, commands.ReadLog):
            self.request_log(command, host)
        elif isinstance(command, commands.AppendLog):
            self.log_requests += 1
            self.count(host, len(command.data) + HTTP_HEADER_BYTES, HTTP_HEADER_BYTES)
            super().carry_out(command, host)
        elif isinstance(command, commands.StartAttempt):
            self.start_attempt(command, host)
        elif isinstance(command, commands.AbortAttempt):
            self.pending_starts.discard(command.attempt_id)
            super().carry_out(command, host)
        elif isinstance(command, commands.AnswerOperator):
            self.operator_answers[command.request_id] = command
        elif isinstance(command, commands.Log) and command.number == "PF9001":
            name, problem = command.fields["invariant"], command.fields["problem"]
            me = host.node.state.me.host
            self.violations.append(Violation(str(name), self.now, f"{me}: {problem}"))
        else:
            super().carry_out(command, host)

    def count(self, host: NodeHost, sent: int, received: int) -> None:
        """Count the bytes of a node's control messages on the wire."""
        if self.count_bytes:
            name = host.node.state.me.host
            sums = ((self.bytes_sent, sent), (self.bytes_received, received))
            for bytes_by_host, size in sums:
                if size > 0:
                    bytes_by_host[name] = (
                        bytes_by_host.get(name, 0) + size + FRAME_BYTES
                    )

    def send_peer(self, command: commands.SendPeer, host: NodeHost) -> None:
        """Send a message through the codec of the peer link."""
        name = host.node.state.me.host
        target = self.nodes.get(command.host)
        if target is None:
            return
        if not self.is_connected(host.domain, target.domain):
            failed = events.PeerConnectFailed(command.host, False)
            self.post(host, failed, 1.0)
            return
        if self.silent_until.get((name, command.host), -1.0) > self.now:
            return
        delay_s = self.delay(host.domain, target.domain)
        if not target.is_alive:
            refused = events.PeerConnectFailed(command.host, True)
            self.post(host, refused, 2 * delay_s)
            return
        data = encode(command.message)
        delay_s = self.delay(host.domain, target.domain, len(data))
        self.count(host, len(data), 0)
        self.count(target, 0, len(data))
        self.peer_messages += 1
        message = decode(data).unwrap()
        assert message is not None
        self.post(target, events.PeerReceived(host.node.state.me, message), delay_s)

    def request_log(self, command: commands.ReadLog, host: NodeHost) -> None:
        """Send a read to the log, which may wait there for a record."""
        self.log_requests += 1
        if not self.is_connected(host.domain, PLATFORM):
            failed = events.LogReadFailed(command.stream, command.start, False, 0)
            self.post(host, failed, LOG_TIMEOUT_S)
            return
        delay_s = self.delay(host.domain, PLATFORM)
        until = self.now + delay_s + command.wait_s
        self.schedule(self.now + delay_s, self.serve_read, host, command, until)

    def serve_read(
        self, host: NodeHost, command: commands.ReadLog, until: float
    ) -> None:
        """Respond to a read, or queue it until a record arrives."""
        stream = command.stream
        result = self.log.read(self.now, stream, command.start, command.limit)
        if result.status == 200 and not result.records and self.now < until:
            waiting = self.waiting_reads.setdefault(stream, [])
            waiting.append((host, command, until))
            self.schedule(until, self.expire_reads, stream)
            return
        event: NamedTuple
        size = HTTP_HEADER_BYTES
        if result.status == 200:
            event = events.LogReadCompleted(
                stream, command.start, result.first, result.next, result.records
            )
            size += sum(80 + len(r.data) * 4 // 3 for r in result.records)
        else:
            expired = result.status == 410
            event = events.LogReadFailed(stream, command.start, expired, result.first)
        if not self.is_connected(host.domain, PLATFORM):
            failed = events.LogReadFailed(stream, command.start, False, 0)
            self.post(host, failed, LOG_TIMEOUT_S)
            return
        self.count(host, HTTP_HEADER_BYTES, size)
        self.post(host, event, self.delay(PLATFORM, host.domain) + self.log.slow_s)

    def expire_reads(self, stream: str) -> None:
        """Respond to the reads whose wait time is over."""
        waiting = self.waiting_reads.get(stream, [])
        self.waiting_reads[stream] = [row for row in waiting if row[2] > self.now]
        for host, command, until in waiting:
            if until <= self.now:
                self.serve_read(host, command, until)

    def append_log(self, host: NodeHost, command: commands.AppendLog) -> None:
        """Append a record and respond to the reads that wait for it."""
        super().append_log(host, command)
        for reader, read, until in self.waiting_reads.pop(command.stream, []):
            self.serve_read(reader, read, until)

    def start_attempt(self, command: commands.StartAttempt, host: NodeHost) -> None:
        """Start an attempt in its thread, which a process pause also suspends."""
        if command.placement.prefill is not None:
            super().carry_out(command, host)
            return
        self.schedule(self.now + SEND_DELAY_S, self.start_service_call, command, host)
        self.pending_starts.add(command.attempt_id)

    def start_service_call(
        self, command: commands.StartAttempt, host: NodeHost
    ) -> None:
        """Start a service call unless it was aborted or its process crashed."""
        if host.is_paused:
            self.schedule(self.now + 0.1, self.start_service_call, command, host)
            return
        if not host.is_alive or command.attempt_id not in self.pending_starts:
            return
        self.pending_starts.discard(command.attempt_id)
        super().carry_out(command, host)
        attempt = self.attempts[command.attempt_id]
        limit_s = 10.0
        self.schedule(self.now + limit_s, self.time_out_attempt, attempt)

    def time_out_attempt(self, attempt: Any) -> None:
        """Fail an attempt whose endpoint did not respond in time."""
        address = attempt.start.placement.decode.address
        self.fail(attempt, EndpointStalledError("no response"), address)


def entry_host_row(name: str, domain: str) -> HostListRow:
    """Return the row of an entry host in the host list."""
    return HostListRow(name, name, "entry", domain, "", False)
