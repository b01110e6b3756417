"""The router's process on the platform: start, reload and planned stop."""

import argparse
import functools
import os
import signal
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from poplarfold._internal.core.fleet.rows import FleetEndpoint, RequestLimits
from poplarfold._internal.core.fleet.server_signals import ServerSignal
from poplarfold._internal.exceptions import (
    ListenError,
    PlatformFormatError,
    StoppingError,
)
from poplarfold._internal.gateway.account_usage import AccountUsage
from poplarfold._internal.gateway.announcer import Announcer
from poplarfold._internal.gateway.context import Services
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.handler import CallHandler
from poplarfold._internal.gateway.library_messages import log_library_messages
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.part_writer import PartWriter
from poplarfold._internal.gateway.path_finder import PathFinder
from poplarfold._internal.gateway.peer_tunnels import PeerTunnels
from poplarfold._internal.gateway.relay_link import RelayLink
from poplarfold._internal.gateway.role_orders import RoleOrders
from poplarfold._internal.gateway.server import CallerExchange, GatewayServer
from poplarfold._internal.gateway.settings import (
    GatewaySettings,
    GatewaySettingsFile,
    read_gateway_settings,
)
from poplarfold._internal.gateway.store_reader import StoreReader
from poplarfold._internal.gateway.stream_versions import StreamVersions
from poplarfold._internal.gateway.topic_state import TopicState, record_store_era
from poplarfold._internal.gateway.tunnel_server import TunnelServer
from poplarfold._internal.http.answer_memory import AnswerMemory
from poplarfold._internal.http.caller_resources import CallerLimits, CallerResources
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.memory_account import MemoryAccount
from poplarfold._internal.http.socket_watcher import SocketWatcher
from poplarfold._internal.http.stream_places import StreamPlaces
from poplarfold._internal.logs.queued import QueuedStream
from poplarfold._internal.logs.writer import EventWriter
from poplarfold._internal.platform import (
    EngineClient,
    HostSettings,
    StoreClient,
    read_boot_file,
)
from poplarfold._internal.utils.allocator import return_large_blocks
from poplarfold._internal.utils.clock import boot_time
from poplarfold._internal.utils.signals import SignalQueue

__all__ = ["Gateway", "main"]

EXIT_SETTINGS = 2
EXIT_LISTEN = 3
SMALL_LISTENER_THREADS = 3
THREAD_STACK_BYTES = 512 * 1024
BODY_LIMIT_BYTES = 16_000_000
REQUEST_READ_TIMEOUT_S = 5.0
SMALL_BODY_LIMIT_BYTES = 65_536
# The share of the process's memory for unfinished answers. An answer needs twice its
# size for a moment, when its parts are joined.
ANSWER_MEMORY_SHARE = 0.1
# What an open connection takes besides the accounted memory: 9.1 KB if it has sent
# nothing, 12.5 KB with the head and the beginning of a body (2,000 connections).
CONNECTION_BYTES = 12_800
CONNECTIONS_MIN = 64
# How often a planned stop checks whether all open calls have ended.
STOP_POLL_S = 0.05
STOP_IDLE_POLLS = 6
# How long an exit waits for the log to be written, at most.
LOG_CLOSE_S = 0.5
# What is kept of the grace time for the exit itself, after the log has been written.
EXIT_MARGIN_S = 0.1
# Names of unknown headers that are logged, at most.
UNKNOWN_MAX = 100
READY_PATH = "/v1/readyz"
METRICS_PATH = "/metrics"


class Gateway:
    """One router process with its listeners and background threads.

    gateway = Gateway(host, settings, writer)
    gateway.start()
    gateway.stop_gracefully()
    """

    def __init__(
        self, host: HostSettings, settings: GatewaySettings, writer: EventWriter
    ) -> None:
        self.settings = settings
        self.writer = writer
        self.stopping = threading.Event()
        self.unknown_headers: set[str] = set()
        # When the process must end, once a planned stop has begun.
        self.ends_at = float("inf")
        self.resources = caller_resources(host, settings, writer)
        seed = int.from_bytes(os.urandom(8), "big")
        self.fleet = Fleet(host, settings, seed)
        tunnels = PeerTunnels(
            self.fleet,
            lambda: self.relay_link.members(),
            writer.write_event,
            self.resources.free_descriptors,
        )
        self.paths = PathFinder(self.fleet, tunnels, writer.write_event)
        memory = answer_memory(host.memory_mb, self.resources.account)
        client = EndpointClient(settings.connect_s, memory, self.paths)
        # The store is reached over this host's own links only. So are engines with
        # orders: they take what comes from another host for the order of that host.
        direct_client = EndpointClient(settings.connect_s, memory)
        self.resources.add_client(client)
        self.resources.add_client(direct_client)
        self.watcher = SocketWatcher()
        self.metrics = GatewayMetrics()
        self.metrics.callers.resources = self.resources
        self.guard = PartGuard(self.fleet.clock, writer.write_event)
        usage = AccountUsage(self.fleet, self.metrics, writer.write_event)
        store = StoreClient(
            direct_client,
            host.store_address,
            self.metrics.count_store_call,
            functools.partial(record_store_era, self.fleet, writer.write_event),
        )
        self.versions = StreamVersions(
            self.fleet,
            store,
            lambda: self.relay_link.choice.order_rank,
            writer.write_event,
        )
        services = Services(
            self.fleet,
            client,
            EngineClient(client, self.record_signal),
            self.record_signal,
            self.guard,
            self.watcher,
            self.metrics,
            writer.write_event,
            usage,
            self.versions,
        )
        places = StreamPlaces(settings.request_threads, settings.kept_thread_share)
        self.handler = CallHandler(services, places)
        state = TopicState(self.fleet, writer.write_event)
        self.relay_link = RelayLink(
            self.fleet,
            state,
            self.guard,
            usage,
            writer.incarnation,
            writer.write_event,
        )
        self.reader = StoreReader(state, store, self.relay_link, writer.write_event)
        self.part_writer = PartWriter(
            self.guard,
            store,
            self.relay_link,
            settings.store_call_s,
            writer.write_event,
        )
        self.orders = RoleOrders(
            self.fleet,
            store,
            EngineClient(direct_client, self.record_signal),
            lambda: self.relay_link.choice.order_rank,
            writer.write_event,
        )
        self.tunnel_server = TunnelServer(
            self.fleet,
            self.paths,
            self.relay_link.members,
            self.record_signal,
            self.stopping.is_set,
            writer.write_event,
        )
        self.announcer = Announcer(state, store, self.relay_link, writer.write_event)
        self.servers = [
            self.make_server(host.caller_listen, self.handler, False),
            self.make_server(host.ready_listen, self.answer_ready, True),
            self.make_server(
                (host.ip, settings.metrics_port), self.answer_metrics, True
            ),
        ]

    def make_server(
        self, address: tuple[str, int], handler: object, is_small: bool
    ) -> GatewayServer:
        """Return a listener; ``is_small`` gives it few threads and a low body limit."""
        return GatewayServer(
            address,
            handler,  # type: ignore[arg-type]
            self.stopping.is_set,
            SMALL_LISTENER_THREADS if is_small else self.settings.request_threads,
            self.small_limits if is_small else self.caller_limits,
            REQUEST_READ_TIMEOUT_S,
            self.resources,
            self.log_server_error,
        )

    def caller_limits(self) -> CallerLimits:
        """Return the limits of a caller's request by the current configuration."""
        table = self.fleet.directory.route_table
        found = table.limits if table is not None else RequestLimits()
        return CallerLimits(
            found.body_bytes or BODY_LIMIT_BYTES,
            found.idle_s or self.settings.caller_idle_s,
        )

    def small_limits(self) -> CallerLimits:
        """Return the limits of a request to the readiness and metrics listeners."""
        return CallerLimits(SMALL_BODY_LIMIT_BYTES, self.settings.caller_idle_s)

    def record_signal(
        self,
        endpoint: FleetEndpoint,
        signal: ServerSignal,
        sent_at: float,
        unknown_headers: Sequence[str] = (),
    ) -> None:
        """Record what the answer to a call says of its endpoint, and log what is new.

        ``sent_at`` is the time of the call. ``unknown_headers`` are headers of the
        platform in the answer that this release does not know.
        """
        for name in unknown_headers:
            self.log_unknown_header(endpoint, name)
        if self.fleet.record_limit(endpoint, signal.limit_per_s, sent_at):
            self.log_limit(endpoint, signal.limit_per_s)
        if self.fleet.record_signal(endpoint, signal):
            fields = {
                "endpoint": endpoint.endpoint_id,
                "born": endpoint.incarnation,
                "is_leaving": signal.is_leaving,
                "retry_after_s": signal.retry_after_s,
            }
            self.writer.write_event("PF7112", None, fields)

    def log_unknown_header(self, endpoint: FleetEndpoint, name: str) -> None:
        """Log a header that this release does not know, once for each name."""
        if name in self.unknown_headers or len(self.unknown_headers) >= UNKNOWN_MAX:
            return
        self.unknown_headers.add(name)
        fields = {"header": name, "endpoint": endpoint.endpoint_id}
        self.writer.write_event("PF7114", None, fields)

    def log_limit(self, endpoint: FleetEndpoint, limit_per_s: float | None) -> None:
        """Log an endpoint's limit and this host's share of it."""
        share = self.fleet.limit_share(endpoint)
        fields = {
            "endpoint": endpoint.endpoint_id,
            "born": endpoint.incarnation,
            "limit_per_s": limit_per_s,
            "share_per_s": None if share is None else round(share.calls_per_s, 4),
            "is_trial": None if share is None else share.is_trial,
            "hosts": self.fleet.node_count_assumed(),
        }
        self.writer.write_event("PF7113", None, fields)

    def log_server_error(self, message: str) -> None:
        """Log an error that the HTTP server reports."""
        self.writer.write_event("PF9003", None, {"message": message, "traceback": None})

    def start(self) -> None:
        """Start the background threads and the listeners. Raises ListenError."""
        self.watcher.start()
        self.relay_link.start()
        self.relay_link.set_tunnel_address(self.tunnel_server.start())
        self.paths.start()
        self.reader.start()
        self.part_writer.start()
        self.orders.start()
        self.announcer.start()
        self.versions.start()
        for server in self.servers:
            try:
                server.prepare()
            except OSError as error:
                raise ListenError(
                    f"cannot listen on {server.bind_addr}: {error}"
                ) from error
            threading.Thread(target=server.serve, name="listen", daemon=True).start()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections here."""
        with self.fleet.lock:
            return self.fleet.has_view() and not self.stopping.is_set()

    def answer_ready(self, exchange: CallerExchange) -> None:
        """Answer a readiness check of the load balancer."""
        is_known = exchange.target == READY_PATH
        status = (200 if self.is_ready() else 503) if is_known else 404
        exchange.send_whole(status, [], b"")

    def answer_metrics(self, exchange: CallerExchange) -> None:
        """Answer with all metrics in the Prometheus text format."""
        if exchange.target != METRICS_PATH:
            exchange.send_whole(404, [], b"")
            return
        headers = [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]
        gauges = self.fleet.gauges()._replace(
            cut_endpoints=len(self.paths.paths.cut), tunnels=self.tunnel_server.count
        )
        exchange.send_whole(200, headers, self.metrics.render(gauges))

    def stop_gracefully(self) -> None:
        """Report the node as not ready and wait until the open calls have ended.

        Requests that still arrive on open connections are served, and their
        answers close these connections. Calls that are open at the end are ended and
        answered, so that no caller of a plain call is left without an answer, and so
        are requests whose bodies have not arrived by then.
        """
        started_at = boot_time()
        # The settings may have been reread since the start.
        grace_s = self.fleet.host.bounds.grace_s
        self.ends_at = started_at + grace_s - EXIT_MARGIN_S
        limit_s = grace_s - self.settings.stop_margin_s
        with self.fleet.lock:
            self.fleet.reject_streams_after = started_at + self.settings.stop_streams_s
            ends_s = max(0.0, limit_s - self.settings.stop_answers_s)
            self.fleet.stop_ends_at = started_at + ends_s
        self.stopping.set()
        self.writer.write_event("PF2102", None, self.stop_fields())
        idle_polls = 0
        has_ended_calls = False
        while boot_time() - started_at < limit_s:
            time.sleep(STOP_POLL_S)
            if not has_ended_calls and boot_time() >= self.fleet.stop_ends_at:
                has_ended_calls = True
                self.handler.end_open_calls()
                stopping = StoppingError("the node is shutting down")
                self.resources.body_reader.end_all(stopping)
            # Polls several times, because a request that was just read may not be
            # counted as open yet.
            is_busy = (
                self.handler.open_calls
                or self.resources.body_reader.transfers
                or self.tunnel_server.count
            )
            idle_polls = 0 if is_busy else idle_polls + 1
            lingered = boot_time() - started_at >= self.settings.stop_linger_s
            if lingered and idle_polls >= STOP_IDLE_POLLS:
                if self.handler.close_if_idle():
                    break
        self.handler.close()
        self.writer.write_event("PF2103", None, self.stop_fields())

    def stop_fields(self) -> dict[str, int]:
        """Return the fields of the events at the beginning and the end of a stop."""
        waiting = sum(server.waiting_requests() for server in self.servers)
        return {"open_calls": self.handler.open_calls, "waiting": waiting}

    def reload(self) -> None:
        """Reread the platform's settings file, without closing any connection."""
        try:
            host = read_boot_file()
        except (PlatformFormatError, OSError) as error:
            self.writer.write_event("PF2104", None, {"problem": str(error)})
            return
        with self.fleet.lock:
            self.fleet.host = host
        self.writer.write_event("PF2104", None, {"problem": ""})


def caller_resources(
    host: HostSettings, settings: GatewaySettings, writer: EventWriter
) -> CallerResources:
    """Return what callers may take of the host's memory and descriptors."""
    account = MemoryAccount()
    if host.memory_mb > 0:
        share = settings.caller_memory_share
        account = MemoryAccount(int(share * host.memory_mb * 1_000_000))
    connections = settings.caller_connections
    if host.max_files > 0:
        # Each call may have a connection to an endpoint. On a host with few descriptors
        # that would leave so few for callers that they displace each other.
        usable = max(2, host.max_files - settings.kept_descriptors)
        allowed = max(usable // 2, usable - settings.request_threads)
        connections = min(connections, allowed)
    if host.memory_mb > 0:
        fitting = max(CONNECTIONS_MIN, account.limit_bytes // CONNECTION_BYTES)
        connections = min(connections, fitting)
    return CallerResources(
        account, connections, writer.write_event, settings.request_threads
    )


def answer_memory(memory_mb: float, account: MemoryAccount) -> AnswerMemory:
    """Return the memory for unfinished answers of a process with a limit in MB."""
    if memory_mb <= 0:
        return AnswerMemory(account=account)
    limit_bytes = int(ANSWER_MEMORY_SHARE * memory_mb * 1_000_000)
    return AnswerMemory(limit_bytes, account)


def main(argv: list[str] | None = None) -> int:
    """Run the router on the platform until SIGTERM and return the exit code."""
    parser = argparse.ArgumentParser(prog="poplarfold-gateway", description=__doc__)
    parser.add_argument("--settings", type=Path, metavar="FILE")
    options = parser.parse_args(argv)
    settings, renamed = GatewaySettingsFile(GatewaySettings())
    if options.settings is not None:
        read = read_gateway_settings(options.settings)
        if read.is_err():
            print(f"poplarfold-gateway: {read.unwrap_err()}", file=sys.stderr)
            return EXIT_SETTINGS
        settings, renamed = read.unwrap()
    try:
        host = read_boot_file()
    except (PlatformFormatError, OSError) as error:
        print(f"poplarfold-gateway: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    threading.stack_size(THREAD_STACK_BYTES)
    return_large_blocks()
    stream = QueuedStream(sys.stdout.fileno(), settings.log_queue_lines)
    incarnation = int(time.time() * 1000)
    writer = EventWriter(stream, host.host, incarnation)  # type: ignore[arg-type]
    log_library_messages(writer.write_event)
    gateway = Gateway(host, settings, writer)
    signals = SignalQueue((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    try:
        gateway.start()
    except ListenError as error:
        writer.write_event("PF2105", None, {"problem": str(error)})
        stream.close()
        print(f"poplarfold-gateway: {error}", file=sys.stderr)
        # Threads that have already started would keep the process alive.
        os._exit(EXIT_LISTEN)
    writer.write_event("PF2101", None, {"failure_domain": host.failure_domain})
    for key in renamed:
        writer.write_event("PF2106", None, {"old": key.old, "new": key.new})
    while signals.get() == signal.SIGHUP:
        gateway.reload()
    gateway.stop_gracefully()
    stream.close(min(LOG_CLOSE_S, max(0.0, gateway.ends_at - boot_time())))
    # A normal exit would wait for listener threads that hold idle connections.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
