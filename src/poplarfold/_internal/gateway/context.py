"""The services shared by all calls of a process, and the context of one call."""

import threading
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from poplarfold._internal.core.fleet.account_admission import AdmittedCaller
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.server_signals import ServerSignal
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    CallTimeoutError,
    PoplarfoldError,
)
from poplarfold._internal.gateway.account_usage import AccountUsage
from poplarfold._internal.gateway.fleet import Fleet, MatchedRoute
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.server import CallerExchange
from poplarfold._internal.gateway.stream_versions import StreamVersions
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle
from poplarfold._internal.http.socket_watcher import SocketWatcher
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import CallerCall, EngineClient
from poplarfold._internal.utils.clock import boot_time

__all__ = ["CallContext", "Services"]


RecordSignal = Callable[[FleetEndpoint, ServerSignal, float, Sequence[str]], None]
"""Records what the answer to a call, sent at a time, says of its endpoint, and which
headers of the platform in it are unknown."""


class Services(NamedTuple):
    """Objects shared by all calls of one process."""

    fleet: Fleet
    client: EndpointClient
    engines: EngineClient
    record_signal: RecordSignal
    guard: PartGuard
    watcher: SocketWatcher
    metrics: GatewayMetrics
    write_log: WriteLog
    usage: AccountUsage
    versions: StreamVersions


class CallContext:
    """One call in progress. Times are monotonic seconds.

    ``abort`` interrupts the call's blocking I/O when the caller disconnects.
    ``was_sent`` tells whether the request may have reached an endpoint, and
    ``is_refused`` whether it is certain that no endpoint has run it or will.
    ``account`` is None on public routes, and ``account`` and ``priority`` are None if
    the deployment has no accounts.
    """

    def __init__(
        self,
        services: Services,
        exchange: CallerExchange,
        call: CallerCall,
        matched: MatchedRoute,
        body: bytes,
        caller: AdmittedCaller,
    ) -> None:
        self.services = services
        self.exchange = exchange
        self.call = call
        self.route = matched.route
        self.service = matched.service
        self.details = matched.details
        self.version = matched.version
        self.account = caller.account
        self.priority = caller.priority
        self.body = body
        self.arrived_at = exchange.arrived_at
        wait_s = matched.route.timeout_s
        if call.deadline_s is not None:
            wait_s = min(wait_s, call.deadline_s)
        self.deadline_at = self.arrived_at + wait_s
        self.was_sent = False
        self.is_refused = False
        self.caller_gone = threading.Event()
        self.abort = AbortHandle()

    @property
    def account_name(self) -> str | None:
        """The name of the caller's account, for endpoints, metrics and the log."""
        return None if self.account is None else self.account.name

    def on_caller_gone(self) -> None:
        """Interrupt the call's I/O; called from the socket watcher's thread."""
        self.caller_gone.set()
        self.interrupt()

    def end(self) -> None:
        """End the call now, as if its deadline had come, and interrupt its I/O."""
        self.deadline_at = min(self.deadline_at, boot_time())
        self.interrupt()

    def interrupt(self) -> None:
        """Interrupt the call's blocking I/O, and its wait for a slot."""
        self.abort.abort()
        fleet = self.services.fleet
        with fleet.lock:
            fleet.changed.notify_all()

    def remaining_s(self) -> float:
        """Return the time left. Raises CallTimeoutError after the deadline."""
        left = self.deadline_at - boot_time()
        if left <= 0:
            raise CallTimeoutError("the deadline has passed")
        return left

    def check_caller(self) -> None:
        """Raise CallerDisconnectedError, or CallTimeoutError after the deadline."""
        if self.caller_gone.is_set():
            raise CallerDisconnectedError("the caller has disconnected")
        self.remaining_s()

    def may_spend_retry(self) -> bool:
        """Return whether the retry budget has a retry left."""
        return self._is_retry_allowed(self.services.fleet.may_spend_retry(self.service))

    def try_spend_retry(self) -> float | None:
        """Take one retry from the retry budget; return when, or None if none is left.

        A ``RetryCharge`` gives it back if it is not used.
        """
        taken_at = self.services.fleet.try_spend_retry(self.service)
        self._is_retry_allowed(taken_at is not None)
        return taken_at

    def _is_retry_allowed(self, is_allowed: bool) -> bool:
        """Report a retry that the budget denies."""
        if not is_allowed:
            self.log("PF1104", service=self.service)
            self.services.metrics.count_denied_retry(self.service)
        return is_allowed

    def log(self, number: str, **fields: Any) -> None:
        """Log a numbered event of this call."""
        self.services.write_log(number, self.call.request_id, fields)

    def log_answer(
        self, endpoint_id: str, status: int, not_run: bool, started_at: float
    ) -> None:
        """Log the start of an endpoint's answer to an attempt."""
        self.log(
            "PF1102",
            endpoint=endpoint_id,
            status=status,
            not_run=not_run,
            answer_s=round(boot_time() - started_at, 4),
            known=self.services.fleet.describe_knowledge("endpoints"),
        )

    def log_failure(
        self, endpoint_id: str, error: PoplarfoldError, maybe_sent: bool
    ) -> None:
        """Log why an attempt failed, and whether the endpoint may have its request."""
        self.log(
            "PF1103",
            endpoint=endpoint_id,
            code=error.code,
            problem=str(error),
            sent=maybe_sent,
            known=self.services.fleet.describe_knowledge("endpoints"),
        )
