"""Router processes with one deliberate fault each, which the soak must detect.

python -m tests.functional.gateway_soak --plant repeated_filings --seed 1
"""

import os
import sys
import time
from collections.abc import Callable
from typing import Any

# Installs the program's early signal handlers.
import poplarfold_gateway  # noqa: F401
from tests.lib.cut_gateway import install_cuts

from poplarfold._internal.core.fleet import rows, server_limits
from poplarfold._internal.core.fleet.account_admission import RevocationPolicy
from poplarfold._internal.core.fleet.account_quota import HostQuota, Room
from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    AccountTable,
    ClientAccount,
)
from poplarfold._internal.core.fleet.budget import RetryBudget
from poplarfold._internal.core.fleet.directory import Directory
from poplarfold._internal.core.fleet.endpoint_paths import EndpointPaths
from poplarfold._internal.core.fleet.keyed_view import TopicBatch
from poplarfold._internal.core.fleet.server_limits import (
    LimitHosts,
    LimitShare,
    ServerLimits,
)
from poplarfold._internal.exceptions import NotRunError
from poplarfold._internal.gateway import main as gateway_main
from poplarfold._internal.gateway.events import EventSplitter
from poplarfold._internal.gateway.handler import CallHandler
from poplarfold._internal.gateway.main import Gateway
from poplarfold._internal.gateway.plain_calls import PlainCall
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.http import endpoint_client
from poplarfold._internal.http.memory_account import Holding, MemoryAccount
from poplarfold._internal.http.socket_watcher import SocketWatcher
from poplarfold._internal.platform import StoreTopic, calls, store
from poplarfold._internal.platform.calls import AnswerMetadata

__all__ = ["PLANTS"]


def patch(owner: Any, name: str, value: Any) -> None:
    """Replace an attribute of a class or module, which must have it."""
    getattr(owner, name)
    setattr(owner, name, value)


def repeated_filings() -> None:
    """Retries non-repeatable calls."""
    patch(rows.Route, "repeatable", property(lambda self: True))


def false_refusals() -> None:
    """Reports each failed call as not run."""
    patch(PlainCall, "error_for_caller", lambda self, failure: NotRunError("planted"))


def foreign_answers() -> None:
    """Forwards answers without checking that they belong to the request."""
    patch(AnswerMetadata, "belongs_to", lambda self, call, was_reused=False: True)


def short_answers() -> None:
    """Treats a truncated body as complete."""
    whole = endpoint_client.read_response_body

    def read_response_body(response: Any, held: Any) -> bytes:
        try:
            return whole(response, held)
        except endpoint_client.NETWORK_ERRORS:
            return b"ha"

    patch(endpoint_client, "read_response_body", read_response_body)


def lost_events() -> None:
    """Resumes streams one event too late."""
    feed = EventSplitter.feed

    def feed_ahead(self: EventSplitter, data: bytes) -> bytes:
        whole = feed(self, data)
        if self.last_id is not None:
            self.last_id = str(int(self.last_id) + 1)
        return whole

    patch(EventSplitter, "feed", feed_ahead)


def leaving_endpoints() -> None:
    """Sends work to leaving endpoints."""

    def usable_endpoints(
        self: Directory, service: str, role: Any
    ) -> list[rows.FleetEndpoint]:
        return [
            row
            for row in self.endpoints.values()
            if row.service == service and row.role is role
        ]

    patch(Directory, "usable_endpoints", usable_endpoints)


def unseen_leavers() -> None:
    """Continues the work for callers that have disconnected."""
    patch(SocketWatcher, "watch", lambda self, sock, action: -1)
    patch(SocketWatcher, "unwatch", lambda self, descriptor: None)
    send = gateway_main.CallerExchange.send_chunk

    def send_chunk(self: Any, payload: bytes) -> None:
        try:
            send(self, payload)
        except OSError:
            time.sleep(0)

    patch(gateway_main.CallerExchange, "send_chunk", send_chunk)


def older_configurations() -> None:
    """Applies any configuration that is read, also an older one."""

    def apply_routes(self: Directory, table: rows.RouteTable) -> bool:
        self.route_table = table
        return True

    patch(Directory, "apply_routes", apply_routes)


def ignored_eras() -> None:
    """Takes a store that has come back from an older copy for the one before."""
    patch(store.StoreClient, "era_of", lambda self, answer: 0)


def late_configurations() -> None:
    """Applies configurations some seconds late."""
    apply = TopicState.apply

    def apply_late(
        self: TopicState, topic: StoreTopic, batch: TopicBatch, *given: Any
    ) -> bool:
        if topic is StoreTopic.ROUTES and batch.records and not batch.is_snapshot:
            time.sleep(5.0)
        return apply(self, topic, batch, *given)

    patch(TopicState, "apply", apply_late)


def hasty_stops() -> None:
    """Exits at once when a planned stop begins."""
    patch(Gateway, "stop_gracefully", lambda self: None)


def late_calls() -> None:
    """Passes on the calls that arrive while a planned stop ends."""
    patch(CallHandler, "close_if_idle", lambda self: not self.open_calls)
    patch(CallHandler, "close", lambda self: None)


def fatal_reloads() -> None:
    """Exits when the settings should be reread."""

    def reload(self: Gateway) -> None:
        os._exit(1)

    patch(Gateway, "reload", reload)


def unlimited_retries() -> None:
    """Retries calls without regard to the retry budget and the route."""
    patch(RetryBudget, "try_spend", lambda self, nodes, now: True)
    patch(RetryBudget, "may_spend", lambda self, nodes, now: True)

    def may_try(self: PlainCall) -> bool:
        self.context.check_caller()
        self.tried.clear()
        return self.is_unexecuted or self.context.route.repeatable

    patch(PlainCall, "may_try", may_try)


def passed_keys() -> None:
    """Forwards the caller's API key to endpoints."""
    names = calls.ROUTER_HEADERS - {calls.API_KEY.lower()}
    patch(calls, "ROUTER_HEADERS", names)


def claimed_accounts() -> None:
    """Forwards an account name that the caller states in another spelling."""
    patch(calls, "is_router_header", lambda name: name.lower() in calls.ROUTER_HEADERS)


def any_keys() -> None:
    """Takes a call without a valid key as one of the first account."""
    find = AccountTable.find

    def find_any(self: AccountTable, digest: bytes | None) -> ClientAccount | None:
        return find(self, digest) or next(iter(self.accounts.values()))

    patch(AccountTable, "find", find_any)


def ignored_revocations() -> None:
    """Accepts each key that any configuration has held."""
    find = AccountTable.find
    known: dict[bytes, ClientAccount] = {}

    def find_known(self: AccountTable, digest: bytes | None) -> ClientAccount | None:
        known.update({key: row[1] for key, row in self.by_digest.items()})
        return find(self, digest) or known.get(digest or b"")

    patch(AccountTable, "find", find_known)


def outdated_keys() -> None:
    """Serves calls by key however old the configuration is."""
    patch(RevocationPolicy, "age_limit_s", float("inf"))


def whole_quotas() -> None:
    """Lets each host use the whole quota alone."""

    def room(
        self: HostQuota, key: int, limit: AccountLimit, nodes: int, now: float
    ) -> Room:
        return Room(self.rule.usable(limit) - self.own.window_sum(key, now), 0.0, 0.0)

    patch(HostQuota, "room", room)


def whole_limits() -> None:
    """Lets each host send all that an endpoint's limit allows."""
    share_of = server_limits.share_of

    def share(hosts: LimitHosts, *given: Any) -> LimitShare:
        return share_of(LimitHosts(hosts.me, frozenset({hosts.me})), *given)

    patch(server_limits, "share_of", share)


def ignored_limits() -> None:
    """Takes no notice of the limits that endpoints name."""
    patch(ServerLimits, "record", lambda self, *given: False)


def unlimited_bodies() -> None:
    """Holds request bodies without regard to the memory of the host."""
    patch(Holding, "resize", lambda self, size: self.force(size) or True)


def stuck_closing() -> None:
    """Waits for a slow caller while it is closed, with the lock of the memory held."""
    patch(MemoryAccount, "_evict", lambda self, row: time.sleep(60.0))


def unused_peers() -> None:
    """Reaches no endpoint through another host."""
    patch(EndpointPaths, "uses_peers", lambda self, address, service: False)
    patch(EndpointPaths, "may_ask", lambda self, address, now: False)


PLANTS: dict[str, Callable[[], None]] = {
    plant.__name__: plant
    for plant in (
        repeated_filings, false_refusals, foreign_answers, short_answers,
        lost_events, leaving_endpoints, unseen_leavers, older_configurations,
        late_configurations, hasty_stops, late_calls, fatal_reloads, unlimited_retries,
        passed_keys, claimed_accounts, any_keys, ignored_revocations, outdated_keys,
        whole_quotas, whole_limits, ignored_limits, unlimited_bodies, stuck_closing,
        ignored_eras, unused_peers,
    )
}  # fmt: skip


if __name__ == "__main__":
    PLANTS[sys.argv.pop(1)]()
    install_cuts()
    sys.exit(gateway_main.main())
