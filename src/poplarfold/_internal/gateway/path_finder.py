"""Finds the path to each endpoint: over this node's own links, or through a peer.

The decisions are in ``core/fleet/endpoint_paths``. Only connections are made through
peers. All that is decided of a call stays with the node that took it.
"""

import errno
import select
import socket
import threading
from collections.abc import Callable

from poplarfold._internal.core.fleet.endpoint_paths import (
    STALL_RETRY_S,
    EndpointPaths,
)
from poplarfold._internal.core.fleet.tunnel_messages import TunnelOutcome
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.path_probe import PROBED_MAX, probe_endpoints
from poplarfold._internal.gateway.peer_tunnels import PeerTunnels
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.http.failures import is_connection_refused, is_shortage
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.utils.clock import boot_time

__all__ = ["PathFinder"]

CHECK_PERIOD_S = 0.1
# How often endpoints that are gone are forgotten while none is cut off.
FORGET_PERIOD_S = 1.0
# An endpoint that has not answered for so long is tried with a new connection.
STALL_S = 0.4
# How often a call that waits for an answer looks whether its path was cut.
STALL_POLL_S = 0.1
# Endpoints of which is found out in one round whether peers reach them.
VERIFIED_MAX = 4


class PathFinder:
    """Connects to endpoints, and knows which ones only peers reach. Thread-safe.

    Its thread asks peers for endpoints that could not be reached, and tries whether
    those that are cut off can be reached again.
    """

    def __init__(self, fleet: Fleet, tunnels: PeerTunnels, write_log: WriteLog) -> None:
        self.fleet = fleet
        self.tunnels = tunnels
        self.write_log = write_log
        self.lock = threading.Lock()
        self.paths = EndpointPaths()
        # Addresses to ask peers for: whether connections to them are refused, or None
        # if it is yet to be tried whether they can be reached.
        self.suspects: dict[str, bool | None] = {}
        self.forgot_at = float("-inf")
        self.has_work = threading.Event()
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("path-finder", self.run, self.write_log)

    def connect(
        self,
        address: str,
        connect_directly: Callable[[], socket.socket],
        time_left_s: float | None = None,
    ) -> socket.socket:
        """Connect to an endpoint, through a peer if it is cut off from this node.

        A peer closes the connection soon after ``time_left_s``, if that is known.
        Raises the errors of ``connect_directly``, or OSError if a peer knows that the
        endpoint must not be called.
        """
        uses_peers = self._uses_peers(address)
        if uses_peers:
            sock = self._open_tunnel(address, time_left_s)
            if sock is not None:
                return sock
        try:
            sock = connect_directly()
        except Exception as error:
            if is_shortage(error):
                # This says nothing of the path to the endpoint.
                raise
            is_refused = is_connection_refused(error)
            if uses_peers:
                raise
            found = self._fall_back(address, is_refused, time_left_s)
            if found is None:
                raise
            return found
        self.record_reached(address)
        return sock

    def record_reached(self, address: str) -> None:
        """Record that a connection to an endpoint over this node's links succeeded."""
        with self.lock:
            ended = self.paths.record_reached(address, self.fleet.clock())
        if ended is not None:
            cut_s = round(self.fleet.clock() - ended.since, 3)
            self.write_log("PF6502", None, {"address": address, "cut_s": cut_s})

    def may_use_kept(self, address: str) -> bool:
        """Return whether a kept connection to an endpoint may still work."""
        with self.lock:
            return self.paths.may_use_kept(address)

    def is_cut(self, address: str) -> bool:
        """Return whether an endpoint is found to be cut off from this node."""
        with self.lock:
            return address in self.paths.cut

    def _uses_peers(self, address: str) -> bool:
        """Return whether to reach an endpoint through a peer first."""
        if not self.paths.cut:
            return False
        service = self.fleet.service_addresses(address)
        with self.lock:
            return self.paths.uses_peers(address, service)

    def is_reached_elsewhere(self, address: str) -> bool | None:
        """Return whether a peer reaches an endpoint, None if that is not sure.

        Asks peers, and waits.
        """
        if not self.tunnels.peers.count(self.tunnels.members()):
            return False
        endpoint = self.fleet.endpoint_at(address)
        if endpoint is None:
            return None
        opened = self.tunnels.open(endpoint)
        if opened.sock is None:
            is_sure = opened.outcome is TunnelOutcome.UNREACHABLE
            return False if is_sure and opened.is_unreached else None
        opened.sock.close()
        self._record_cut(address, True, opened.peer)
        return True

    def note_stall(self, address: str) -> bool:
        """Have it found out whether an endpoint that does not answer is cut off.

        Returns False if that is known, or was found out just before.
        """
        with self.lock:
            if not self.paths.record_stall(address, self.fleet.clock()):
                return False
            self.suspects.setdefault(address, None)
        self.has_work.set()
        return True

    def await_answer(self, sock: socket.socket, address: str, until: float) -> bool:
        """Wait until an answer begins; return False once the path is found to be cut.

        Returns True at ``until``, a time of the runtime's clock, as well. The path is
        tried again after pauses that double, as it may be cut after a first look.
        """
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        if poll.poll(1000 * max(0.0, min(STALL_S, until - boot_time()))):
            return True
        look_at, pause_s = boot_time(), STALL_RETRY_S
        while (now := boot_time()) < until:
            if now >= look_at and self.note_stall(address):
                look_at, pause_s = now + pause_s, 2 * pause_s
            if poll.poll(1000 * STALL_POLL_S):
                return True
            # The path was not silent when the connection was chosen or made.
            if not self.may_use_kept(address):
                return False
        return True

    def run(self) -> None:
        """Verify suspects and probe cut paths, until stopped."""
        while not self.stopping.is_set():
            self.has_work.wait(CHECK_PERIOD_S if self.paths.cut else FORGET_PERIOD_S)
            self.has_work.clear()
            self.verify_suspects()
            self.probe_cut()

    def verify_suspects(self) -> None:
        """Find out of some suspects whether peers reach them."""
        self._probe_stalled()
        with self.lock:
            now = self.fleet.clock()
            known = [row for row in self.suspects.items() if row[1] is not None]
            chosen = known[:VERIFIED_MAX]
            for address, _ in chosen:
                del self.suspects[address]
            if self.suspects:
                self.has_work.set()
            chosen = [row for row in chosen if self.paths.may_ask(row[0], now)]
        for address, is_refused in chosen:
            self._ask_peers(address, bool(is_refused))

    def _probe_stalled(self) -> None:
        """Try the suspects that stalled all at once: a silent one takes its time.

        While new connections are refused, an open one that stalls may still work.
        """
        with self.lock:
            now = self.fleet.clock()
            stalled = [row for row in self.suspects if self.suspects[row] is None]
            stalled = stalled[:PROBED_MAX]
            for address in stalled:
                del self.suspects[address]
            stalled = [row for row in stalled if self.paths.may_ask(row, now)]
        found = self._probe(stalled) if stalled else {}
        with self.lock:
            for address in stalled:
                number = found.get(address)
                is_refused = number == errno.ECONNREFUSED
                if number != 0 and not (is_refused and address in self.paths.cut):
                    self.suspects.setdefault(address, is_refused)

    def probe_cut(self) -> None:
        """Try whether endpoints that are cut off can be reached again."""
        now = self.fleet.clock()
        if not self.paths.cut and now - self.forgot_at < FORGET_PERIOD_S:
            return
        self.forgot_at = now
        addresses = self.fleet.endpoint_addresses()
        with self.lock:
            self.paths.remove_except(addresses)
            self.paths.remove_old(now)
            due = self.paths.due_probes(now)
        if due:
            self._probe(due)

    def _fall_back(
        self, address: str, is_refused: bool, time_left_s: float | None
    ) -> socket.socket | None:
        """Reach an endpoint through a peer after a connection to it has failed.

        If only this endpoint fails, it is likely down, and another one may serve the
        call at once. So peers are asked by the thread then.
        """
        service = self.fleet.service_addresses(address)
        with self.lock:
            now = self.fleet.clock()
            self.paths.record_failure(address, now)
            may_ask = self.paths.may_ask(address, now)
            looks_cut_off = self.paths.looks_cut_off(service, now)
            if may_ask and not looks_cut_off:
                self.suspects[address] = is_refused
        if may_ask and not looks_cut_off:
            self.has_work.set()
        if not may_ask or not looks_cut_off:
            return None
        return self._ask_peers(address, is_refused, True, time_left_s)

    def _open_tunnel(
        self, address: str, time_left_s: float | None
    ) -> socket.socket | None:
        """Connect through a peer. Raises OSError if the endpoint must not be called."""
        endpoint = self.fleet.endpoint_at(address)
        if endpoint is None:
            return None
        opened = self.tunnels.open(endpoint, time_left_s)
        # Time has passed since the endpoint was chosen.
        if opened.outcome is TunnelOutcome.AWAY or not self.fleet.is_usable(endpoint):
            if opened.sock is not None:
                opened.sock.close()
            raise ConnectionAbortedError(f"{address} wants no calls")
        return opened.sock

    def _ask_peers(
        self,
        address: str,
        is_refused: bool,
        keeps: bool = False,
        time_left_s: float | None = None,
    ) -> socket.socket | None:
        """Ask peers for an endpoint that could not be reached, and record the outcome.

        Returns the connection with ``keeps``, if the endpoint may still be called.
        """
        endpoint = self.fleet.endpoint_at(address)
        if endpoint is None:
            return None
        asked_at = self.fleet.clock()
        opened = self.tunnels.open(endpoint, time_left_s)
        if opened.sock is None:
            with self.lock:
                now = self.fleet.clock()
                self.paths.record_unreached(address, asked_at, opened.is_unreached, now)
            return None
        self._record_cut(address, is_refused, opened.peer)
        if keeps and self.fleet.is_usable(endpoint):
            return opened.sock
        opened.sock.close()
        return None

    def _record_cut(self, address: str, is_refused: bool, peer: str | None) -> None:
        """Record that a peer reaches an endpoint that this node does not."""
        service = self.fleet.service_addresses(address)
        with self.lock:
            is_new = self.paths.record_cut(address, is_refused, self.fleet.clock())
            is_cut_off = self.paths.is_cut_off(service)
        if not is_new:
            return
        self.has_work.set()
        self.fleet.end_cooldown(address)
        fields = {
            "address": address,
            "is_refused": is_refused,
            "peer": peer,
            "is_cut_off": is_cut_off,
        }
        self.write_log("PF6501", None, fields)

    def _probe(self, addresses: list[str]) -> dict[str, int]:
        """Probe endpoints, see ``probe_endpoints``, and record which were reached."""
        connect_s = self.fleet.settings.connect_s
        return probe_endpoints(addresses, connect_s, self.record_reached)
