"""The core thread of a daemon: steps the node and executes its commands."""

import queue
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch
from typing import Any, NamedTuple, Protocol

from poplarfold._internal.core.commands import (
    AbortAttempt,
    AnswerOperator,
    AppendLog,
    CancelWork,
    FetchCacheEvents,
    FinishCall,
    Log,
    PollEndpoint,
    ReadLog,
    SendOrder,
    SendPeer,
    StartAttempt,
    Stop,
)
from poplarfold._internal.core.events import (
    AttemptEnded,
    CancelConfirmed,
    CancelFailed,
    HostListReceived,
    HostListRow,
)
from poplarfold._internal.core.messages import PeerMessage
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.daemon.endpoint_reports import EndpointPoller
from poplarfold._internal.daemon.host_list_client import HostListClient
from poplarfold._internal.daemon.log_client import LogClient
from poplarfold._internal.daemon.metrics import DaemonMetrics
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    InvariantViolationError,
    NodeNotReadyError,
    OutcomeUnknownError,
    PoplarfoldError,
)
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import (
    AbortHandle,
    Target,
    is_believed_without_id,
)
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.settings_file import DaemonSettings

__all__ = ["Mailbox", "PeerSender", "Runtime"]

CANCEL_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0
HOST_LIST_PERIOD_S = 0.5
QUERY_TIMEOUT_S = 5.0
# Limits the events per step, so that a burst of events does not delay timers.
EVENTS_PER_STEP = 256

Mailbox = queue.SimpleQueue
"""The queue of commands for one waiting thread."""


class PeerSender(Protocol):
    """The interface of the peer link that the runtime uses."""

    def send(self, host: str, message: PeerMessage) -> None:
        """Send a message to a node. Messages may be dropped."""

    def update_routes(self, hosts: Iterable[HostListRow]) -> None:
        """Update the addresses of nodes from a host list."""


class Query(NamedTuple):
    """A query of the node's state, which the core thread runs between two steps."""

    function: Callable[[NodeState], Any]
    results: "queue.SimpleQueue[Any]"


class AttemptJob(NamedTuple):
    """A StartAttempt command for the call's thread, with its abort handle."""

    command: StartAttempt
    handle: AbortHandle


class Runtime:
    """One node with its inbox, timers, mailboxes and worker threads.

    All times are of the monotonic clock. ``post`` may be called from any thread.
    Only the core thread accesses the node itself.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        node: Node,
        metrics: DaemonMetrics,
        write_log: WriteLog,
    ) -> None:
        self.settings = settings
        self.node = node
        self.metrics = metrics
        self.write_log = write_log
        timeouts = settings.timeouts
        self.client = EndpointClient(timeouts.connect_s)
        self.poller = EndpointPoller(self.client, node.state.me)
        self.log = LogClient(self.client, settings.log_url, timeouts.log_append_s)
        self.hosts = HostListClient(self.client, settings.host_list_url)
        self.peers: PeerSender | None = None
        self.inbox: queue.SimpleQueue[NamedTuple] = queue.SimpleQueue()
        self.mailboxes: dict[str, Mailbox[NamedTuple]] = {}
        self.handles: dict[str, AbortHandle] = {}
        self.stopping = threading.Event()
        self.drained = threading.Event()
        self.failed = False
        # Separate pools, so that requests to stalled endpoints block no other work.
        self.poll_pool = ThreadPoolExecutor(8, "poll")
        self.cancel_pool = ThreadPoolExecutor(8, "cancel")
        self.log_read_pool = ThreadPoolExecutor(6, "log-read")
        self.append_pool = ThreadPoolExecutor(4, "log-append")
        self.polls_in_flight: set[str] = set()
        self.thread = threading.Thread(target=self.run, name="core", daemon=True)
        self.host_thread = threading.Thread(
            target=self.poll_hosts, name="host-list", daemon=True
        )

    @property
    def me(self) -> HostKey:
        """This process. Its incarnation increases when peers suspect it."""
        return self.node.state.me

    def start(self) -> None:
        """Start the threads."""
        self.thread.start()
        self.host_thread.start()

    def stop(self) -> None:
        """Stop the threads and abort open attempts."""
        self.stopping.set()
        self.inbox.put(Query(lambda state: None, queue.SimpleQueue()))
        if self.thread is not threading.current_thread():
            self.thread.join()
        for call_id in list(self.mailboxes):
            self.fail_waiting_call(call_id)
        for handle in list(self.handles.values()):
            handle.abort()
        for pool in (
            self.poll_pool,
            self.cancel_pool,
            self.log_read_pool,
            self.append_pool,
        ):
            pool.shutdown(wait=False, cancel_futures=True)
        self.client.close()

    def fail_waiting_call(self, call_id: str) -> None:
        """Finish a call with an error, because the core has stopped and cannot."""
        error: PoplarfoldError = NodeNotReadyError("the node has stopped")
        call = self.node.state.calls.get(call_id)
        if call is not None and call.operation_id is not None:
            error = OutcomeUnknownError("the node stopped before the call ended")
        mailbox = self.mailboxes.get(call_id)
        if mailbox is not None:
            mailbox.put(FinishCall(call_id, error))

    def post(self, event: NamedTuple) -> None:
        """Queue an event for the next step."""
        if isinstance(event, AttemptEnded):
            self.handles.pop(event.attempt_id, None)
        self.inbox.put(event)

    def open_mailbox(self, key: str) -> "Mailbox[NamedTuple]":
        """Create the mailbox of a call or of an operator's request."""
        mailbox: Mailbox[NamedTuple] = queue.SimpleQueue()
        self.mailboxes[key] = mailbox
        if self.stopping.is_set():
            self.fail_waiting_call(key)
        return mailbox

    def close_mailbox(self, key: str) -> None:
        """Remove a mailbox; later commands for its call are dropped."""
        self.mailboxes.pop(key, None)

    def query_state(self, function: Callable[[NodeState], Any]) -> Any:
        """Run ``function`` on the state between two steps and return its result.

        Raises queue.Empty if the core thread does not respond in time.
        """
        results: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.inbox.put(Query(function, results))
        return results.get(timeout=QUERY_TIMEOUT_S)

    # The core thread.

    def run(self) -> None:
        """Step the node whenever events arrive or a timer is due."""
        while not self.stopping.is_set():
            events = self.take_events()
            queries = [event for event in events if isinstance(event, Query)]
            if queries:
                events = [event for event in events if not isinstance(event, Query)]
            self.step(events)
            for query in queries:
                query.results.put(query.function(self.node.state))

    def take_events(self) -> list[NamedTuple]:
        """Wait for an event or the next timer and return the queued events."""
        now = time.monotonic()
        wakeup = self.node.next_wakeup(now)
        try:
            if wakeup is None:
                events = [self.inbox.get()]
            elif wakeup <= now:
                events = [self.inbox.get_nowait()]
            else:
                events = [self.inbox.get(timeout=wakeup - now)]
            while len(events) < EVENTS_PER_STEP:
                events.append(self.inbox.get_nowait())
        except queue.Empty:
            return events if "events" in locals() else []
        return events

    def step(self, events: list[NamedTuple]) -> None:
        """Run one step and carry out its commands."""
        try:
            commands = self.node.step(time.monotonic(), events)
        except InvariantViolationError as violation:
            self.write_log("PF9001", None, {"problem": str(violation)})
            self.failed = True
            self.stopping.set()
            self.drained.set()
            return
        except Exception:
            # An exception in one system of the core must not end all streams.
            self.write_log("PF9002", None, {"traceback": traceback.format_exc()})
            commands, self.node.state.outbox = self.node.state.outbox, []
        for command in commands:
            carry_out(command, self)

    def poll_hosts(self) -> None:
        """Fetch the host list once per period and post it when it has changed.

        The core takes about 80 ms of processor time to process a list of 4,000
        endpoints, so an unchanged list is not posted again.
        """
        last: HostListReceived | None = None
        while not self.stopping.is_set():
            result = self.hosts.fetch()
            if result.is_ok() and result.unwrap() != last:
                listed = last = result.unwrap()
                if self.peers is not None:
                    self.peers.update_routes(listed.hosts)
                self.post(listed)
            self.stopping.wait(HOST_LIST_PERIOD_S)

    # Work that runs in the thread pools.

    def submit(
        self, pool: ThreadPoolExecutor, work: "Callable[[], NamedTuple | None]"
    ) -> None:
        """Run blocking work in a pool and post the event that it returns."""

        def run() -> None:
            try:
                event = work()
            except Exception:
                self.write_log("PF9002", None, {"traceback": traceback.format_exc()})
                return
            if event is not None:
                self.post(event)

        if not self.stopping.is_set():
            pool.submit(run)

    def cancel(self, command: CancelWork) -> NamedTuple:
        """Cancel an attempt on an endpoint."""
        body = b'{"attempt": "%s"}' % command.attempt_id.encode()
        result = self.client.exchange(
            Target(command.address, "POST", "/cancel"),
            body,
            {"Content-Type": "application/json"},
            CANCEL_TIMEOUT_S,
            belongs_to_request=is_believed_without_id,
        )
        if result.is_err():
            refused = result.unwrap_err().refused
            return CancelFailed(command.attempt_id, command.address, refused)
        answer = result.unwrap()
        if answer.status == 200 and answer.json().get("confirmed") is True:
            return CancelConfirmed(command.attempt_id, command.address)
        return CancelFailed(command.attempt_id, command.address, False)

    def poll(self, address: str) -> NamedTuple:
        """Fetch a load report, then allow the next poll of the endpoint."""
        try:
            return self.poller.fetch_report(address)
        finally:
            self.polls_in_flight.discard(address)

    def send_order(self, command: SendOrder) -> "NamedTuple | None":
        """Send an order. If no response arrives, the core sends the order again."""
        return self.poller.send_order(command, ORDER_TIMEOUT_S)


@singledispatch
def carry_out(command: NamedTuple, runtime: Runtime) -> None:
    """Execute one command of the core."""
    raise NotImplementedError(type(command).__name__)


@carry_out.register
def _(command: StartAttempt, runtime: Runtime) -> None:
    mailbox = runtime.mailboxes.get(command.call_id)
    if mailbox is None:
        # The call's thread has ended. Without this event the core would wait for
        # the attempt forever, and so would a planned stop.
        error = CallerDisconnectedError("the thread of the call has ended")
        runtime.post(AttemptEnded(command.attempt_id, error, False, 0))
        return
    handle = AbortHandle()
    runtime.handles[command.attempt_id] = handle
    mailbox.put(AttemptJob(command, handle))


@carry_out.register
def _(command: FinishCall, runtime: Runtime) -> None:
    mailbox = runtime.mailboxes.get(command.call_id)
    if mailbox is not None:
        mailbox.put(command)


@carry_out.register
def _(command: AnswerOperator, runtime: Runtime) -> None:
    mailbox = runtime.mailboxes.get(command.request_id)
    if mailbox is not None:
        mailbox.put(command)


@carry_out.register
def _(command: AbortAttempt, runtime: Runtime) -> None:
    handle = runtime.handles.pop(command.attempt_id, None)
    if handle is not None:
        handle.abort()


@carry_out.register
def _(command: CancelWork, runtime: Runtime) -> None:
    runtime.submit(runtime.cancel_pool, lambda: runtime.cancel(command))


@carry_out.register
def _(command: PollEndpoint, runtime: Runtime) -> None:
    if command.address not in runtime.polls_in_flight:
        runtime.polls_in_flight.add(command.address)
        runtime.submit(runtime.poll_pool, lambda: runtime.poll(command.address))


@carry_out.register
def _(command: FetchCacheEvents, runtime: Runtime) -> None:
    runtime.submit(
        runtime.poll_pool, lambda: runtime.poller.fetch_cache_events(command)
    )


@carry_out.register
def _(command: SendOrder, runtime: Runtime) -> None:
    runtime.submit(runtime.poll_pool, lambda: runtime.send_order(command))


@carry_out.register
def _(command: ReadLog, runtime: Runtime) -> None:
    runtime.submit(runtime.log_read_pool, lambda: runtime.log.read(command))


@carry_out.register
def _(command: AppendLog, runtime: Runtime) -> None:
    runtime.submit(runtime.append_pool, lambda: runtime.log.append(command))


@carry_out.register
def _(command: SendPeer, runtime: Runtime) -> None:
    if runtime.peers is not None:
        runtime.peers.send(command.host, command.message)


@carry_out.register
def _(command: Log, runtime: Runtime) -> None:
    runtime.write_log(command.number, command.call_id, command.fields)


@carry_out.register
def _(command: Stop, runtime: Runtime) -> None:
    runtime.drained.set()
