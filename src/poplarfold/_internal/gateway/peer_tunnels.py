"""Opens connections to endpoints through peers that reach them."""

import os
import select
import socket
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.tunnel_messages import (
    MESSAGE_LIMIT_BYTES,
    OpenTunnel,
    TunnelOutcome,
    TunnelReply,
    pack,
    unpack,
)
from poplarfold._internal.core.fleet.tunnel_peers import TunnelPeers
from poplarfold._internal.exceptions import PeerProtocolError
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.tunnel import RESET_ON_CLOSE
from poplarfold._internal.http.failures import is_shortage
from poplarfold._internal.http.tunnel_socket import TunnelSocket
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.utils.addresses import host_and_port
from poplarfold._internal.utils.clock import boot_time

__all__ = ["OpenedTunnel", "PeerTunnels"]

# Peers that are asked for one connection, at most.
PEERS_ASKED_MAX = 3
# What a peer needs beside the time to connect to the endpoint: a round trip between
# regions, and its turn.
REPLY_MARGIN_S = 0.15
# The next peer is asked if one has not answered for so long, while the answer is still
# waited for. A call that asked two silent peers in turn took 0.9 s. All peers share the
# time of one, so that a call that nobody can serve is rejected within 0.5 s.
NEXT_PEER_S = 0.05
# The pause between attempts to connect to a peer while no descriptor is left.
SHORTAGE_PAUSE_S = 0.005
# With these outcomes, the peer serves tunnels and knows of no lost links.
PEER_IS_SOUND = frozenset((TunnelOutcome.AWAY, TunnelOutcome.OPEN))
# These outcomes may be due to the endpoint or to the peer.
PEER_HAS_MISSED = frozenset((TunnelOutcome.UNREACHABLE, TunnelOutcome.UNKNOWN))


class OpenedTunnel(NamedTuple):
    """The outcome of asking peers for a connection to an endpoint.

    ``sock`` is None unless a peer has opened one. Then ``outcome`` is what the last
    peer answered, or None if none did. ``is_unreached`` is whether as many peers as
    may be asked have tried in vain; one that did not answer may reach the endpoint.
    """

    sock: TunnelSocket | None
    peer: str | None
    outcome: TunnelOutcome | None
    is_unreached: bool = False


class Question:
    """A question to one peer for a connection to an endpoint, which does not block.

    ``until`` is the time up to which the next step may take, and ``deadline`` that up
    to which the peer may answer. ``connect_at`` is when it is tried to connect.
    """

    def __init__(
        self, peer: Member, message: bytes, until: float, deadline: float
    ) -> None:
        self.peer = peer
        self.message = message
        self.asked_at = self.connect_at = boot_time()
        self.until = min(until, deadline)
        self.deadline = deadline
        self.is_connected = False
        self.reply = b""
        self.sock: TunnelSocket | None = None

    @property
    def was_short(self) -> bool:
        """Whether the peer had less time, as there was no descriptor for a while."""
        return self.connect_at > self.asked_at

    def _connect(self) -> TunnelSocket:
        """Begin to connect to the peer. Raises OSError."""
        host, port = host_and_port(self.peer.tunnel_address or "")
        found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)
        family, kind, protocol, _, address = found[0]
        sock = TunnelSocket(family, kind, protocol)
        sock.setblocking(False)
        # A close in order would wait behind a request that the endpoint does not read.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        try:
            sock.connect(address)
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            raise
        return sock

    def advance(self) -> TunnelOutcome | None:
        """Connect, send the question, and read the answer; None until it is whole.

        Raises OSError or PeerProtocolError.
        """
        if self.sock is None:
            self.sock = self._connect()
            return None
        if not self.is_connected:
            if boot_time() >= self.until:
                return None
            number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if number:
                raise OSError(number, os.strerror(number))
            self.is_connected = True
            self.until = self.deadline
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.sendall(self.message)
        while self.sock.frame_left or not self.reply:
            try:
                part = self.sock.recv(MESSAGE_LIMIT_BYTES)
            except BlockingIOError:
                return None
            self.reply += part
            length = len(self.reply) + self.sock.frame_left
            if not part or length > MESSAGE_LIMIT_BYTES:
                raise PeerProtocolError(f"a reply of {length} bytes")
        reply = unpack(self.reply)
        if reply.is_err():
            raise reply.unwrap_err()
        if not isinstance(reply.unwrap(), TunnelReply):
            raise PeerProtocolError("not a reply to the question for a tunnel")
        try:
            return TunnelOutcome(reply.unwrap().outcome)
        except ValueError:
            return TunnelOutcome.UNKNOWN

    def take(self, timeout_s: float) -> TunnelSocket:
        """Return the connection through the peer, after it was opened."""
        assert self.sock is not None
        sock, self.sock = self.sock, None
        sock.settimeout(timeout_s)
        return sock

    def close(self) -> None:
        """Close the connection, unless it was taken."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class PeerTunnels:
    """Asks peers for connections to endpoints. Thread-safe.

    ``members`` returns the known nodes of the fleet. ``free_descriptors`` is called
    while none is left for a connection to a peer.
    """

    def __init__(
        self,
        fleet: Fleet,
        members: Callable[[], Mapping[str, Member]],
        write_log: WriteLog,
        free_descriptors: Callable[[], None] = lambda: None,
    ) -> None:
        self.fleet = fleet
        self.members = members
        self.free_descriptors = free_descriptors
        self.write_log = write_log
        host = fleet.host
        self.lock = threading.Lock()
        self.peers = TunnelPeers(host.host, host.failure_domain, host.region)

    def open(
        self, endpoint: FleetEndpoint, time_left_s: float | None = None
    ) -> OpenedTunnel:
        """Ask peers for a connection to an endpoint, until one has opened it.

        The next one is asked once a peer could not help, or is silent for a moment. The
        peer closes the connection soon after ``time_left_s``, if that is known.
        """
        found = OpenedTunnel(None, None, None)
        with self.lock:
            now, rng = self.fleet.clock(), self.fleet.rng
            members = self.members()
            candidates = self.peers.candidates(members, endpoint, now, rng)
        wanted = min(PEERS_ASKED_MAX, self.peers.count(members))
        tried = 0
        asked: list[Member] = []
        pending: list[Question] = []
        missed: list[Question] = []
        next_at = boot_time()
        deadline = next_at + self._answer_s()
        # The time of a request begins once it is connected.
        tunnel_s = 0.0 if time_left_s is None else time_left_s + self._answer_s()
        try:
            while True:
                may_ask = (
                    bool(candidates)
                    and len(asked) < PEERS_ASKED_MAX
                    and boot_time() < deadline
                )
                if may_ask and (not pending or boot_time() >= next_at):
                    asked.append(take_next(candidates, asked))
                    pending.append(self._ask(asked[-1], endpoint, deadline, tunnel_s))
                    next_at = boot_time() + NEXT_PEER_S
                    continue
                if not pending:
                    break
                question = wait_for_one(pending, next_at if may_ask else None)
                if question is None:
                    continue
                ended = self._advance(question, endpoint)
                if ended is None:
                    continue
                pending.remove(question)
                found = ended
                if found.sock is not None:
                    self._record_lost(missed, endpoint)
                if found.sock is not None or found.outcome is TunnelOutcome.AWAY:
                    break
                if found.outcome in PEER_HAS_MISSED:
                    missed.append(question)
                tried += found.outcome is TunnelOutcome.UNREACHABLE
        finally:
            for question in pending:
                self._abandon(question, endpoint)
        return found._replace(is_unreached=0 < wanted <= tried)

    def _answer_s(self) -> float:
        """Return how long peers may take to answer."""
        return self.fleet.settings.connect_s + REPLY_MARGIN_S

    def _ask(
        self, peer: Member, endpoint: FleetEndpoint, deadline: float, tunnel_s: float
    ) -> Question:
        """Begin to ask one peer for a connection of at most ``tunnel_s``, if not 0."""
        hello = OpenTunnel(
            self.fleet.host.host,
            peer.host,
            endpoint.endpoint_id,
            endpoint.incarnation,
            tunnel_s,
        )
        until = boot_time() + self.fleet.settings.connect_s
        return Question(peer, pack(hello), until, deadline)

    def _advance(
        self, question: Question, endpoint: FleetEndpoint
    ) -> OpenedTunnel | None:
        """Go on with a question; return its outcome once it has ended."""
        outcome, problem = None, ""
        try:
            outcome = question.advance()
            if outcome is None:
                if boot_time() < question.until:
                    return None
                problem = "timed out"
                if question.was_short:
                    return self._end_short(question, endpoint, problem)
        except (OSError, PeerProtocolError) as error:
            problem = str(error)
            if is_shortage(error):
                self.free_descriptors()
                if question.sock is None and boot_time() < question.until:
                    question.connect_at = boot_time() + SHORTAGE_PAUSE_S
                    return None
                return self._end_short(question, endpoint, problem)
        return self._end(question, endpoint, outcome, problem)

    def _end_short(
        self, question: Question, endpoint: FleetEndpoint, problem: str
    ) -> OpenedTunnel:
        """End a question that lacked a descriptor, which says nothing of the peer."""
        question.close()
        self._log(question, endpoint, None, problem)
        return OpenedTunnel(None, question.peer.host, None)

    def _abandon(self, question: Question, endpoint: FleetEndpoint) -> None:
        """End a question that is no longer needed.

        A peer that is slow for a moment may be the only one that helps a moment later,
        so that this is no failure of the peer.
        """
        question.close()
        problem = "given up, as another peer has answered"
        self._log(question, endpoint, None, problem)

    def _end(
        self,
        question: Question,
        endpoint: FleetEndpoint,
        outcome: TunnelOutcome | None,
        problem: str,
    ) -> OpenedTunnel:
        """End a question, and record what its outcome says of the peer."""
        peer = question.peer
        sock = (
            question.take(self._answer_s()) if outcome is TunnelOutcome.OPEN else None
        )
        question.close()
        if outcome in PEER_IS_SOUND:
            with self.lock:
                self.peers.record_success(peer, endpoint)
        elif outcome in PEER_HAS_MISSED:
            with self.lock:
                self.peers.record_missed(peer, endpoint, self.fleet.clock())
        else:
            self._record_failure(question, "" if outcome is None else endpoint.service)
        self._log(question, endpoint, outcome, problem)
        return OpenedTunnel(sock, peer.host, outcome)

    def _record_lost(self, missed: list[Question], endpoint: FleetEndpoint) -> None:
        """Record that some peers do not reach what another one has just reached.

        The endpoint is up, so that they have lost their links to it.
        """
        for question in missed:
            self._record_failure(question, endpoint.service)

    def _record_failure(self, question: Question, service: str) -> None:
        """Record that a peer could not help with a service, or any if that is ""."""
        now = self.fleet.clock()
        asked_at = now - (boot_time() - question.asked_at)
        with self.lock:
            self.peers.record_failure(question.peer, service, asked_at, now)

    def _log(
        self,
        question: Question,
        endpoint: FleetEndpoint,
        outcome: TunnelOutcome | None,
        problem: str,
    ) -> None:
        fields: dict[str, object] = {
            "peer": question.peer.host,
            "endpoint": endpoint.endpoint_id,
            "outcome": None if outcome is None else outcome.value,
            "problem": problem,
            "took_s": round(boot_time() - question.asked_at, 4),
        }
        self.write_log("PF6503", None, fields)


def take_next(candidates: list[Member], asked: list[Member]) -> Member:
    """Remove and return the best peer, if possible of another failure domain."""
    domains = {row.failure_domain for row in asked}
    candidates.sort(key=lambda row: row.failure_domain in domains)
    return candidates.pop(0)


def wait_for_one(questions: list[Question], until: float | None) -> Question | None:
    """Return a question that goes on or is over its time; None at a time before.

    One that waits for a descriptor does not hold up the others.
    """
    ends = [due_at(question) for question in questions]
    end = min(ends if until is None else [*ends, until])
    poll = select.poll()
    waiting: dict[int, Question] = {}
    for question in questions:
        if question.sock is None:
            continue
        event = select.POLLIN if question.is_connected else select.POLLOUT
        poll.register(question.sock, event)
        waiting[question.sock.fileno()] = question
    ready = poll.poll(1000 * max(0.0, end - boot_time()))
    if ready:
        return waiting[ready[0][0]]
    now = boot_time()
    return next((row for row in questions if due_at(row) <= now), None)


def due_at(question: Question) -> float:
    """Return when a question goes on, or is over its time, without an event."""
    if question.sock is None:
        return min(question.connect_at, question.until)
    return question.until
