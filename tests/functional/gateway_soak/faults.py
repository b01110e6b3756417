"""Draws faults and planned operations from a seed and applies them."""

import random
import signal
import threading
import time
from collections.abc import Callable, Collection, Iterator
from contextlib import ExitStack, contextmanager, nullcontext
from functools import partial

from tests.functional.gateway_soak.accounts import KeyRing
from tests.functional.gateway_soak.backends import (
    SLOW_PREFIX,
    SoakEndpoint,
    SoakStore,
)
from tests.functional.gateway_soak.callers import (
    CONFIG_MARKER,
    ConfigWatcher,
    LateCaller,
    call_status,
)
from tests.functional.gateway_soak.checks import RECOVERY_S, STORE_RETURN
from tests.functional.gateway_soak.nodes import BOUNDS, Node
from tests.functional.gateway_soak.proxy import Link, LinkMode
from tests.functional.gateway_soak.records import CUT, Records, Span
from tests.lib.caller_crowd import Crowd, chunks
from tests.lib.cut_gateway import CutMode
from tests.lib.platform_standin import STREAMED, configuration, route

__all__ = ["FaultInjector"]

APPLY_S = BOUNDS["config_apply_ms"] / 1000
ENDPOINT_FAULTS = ("not_run", "error", "cut_head", "cut_body", "foreign", "no_room")
SERVICE_FAULTS = ("not_run", "error", "cut_body", "foreign")
STREAM_FAULTS = ("cut_stream", "lost_handle")
LINK_MODES = tuple(mode for mode in LinkMode if mode is not LinkMode.PASS)
# How often the log of a process is read while it stops.
LOG_READ_SHARE = 0.3
# A stop without open calls ends 3.0 s after SIGTERM, or 3.5 s if its log is unread.
LATE_CALLERS, LATE_FROM_S, LATE_FOR_S = (3, 10), (2.8, 3.4), 0.5
REVOKE_S = BOUNDS["revoke_ms"] / 1000
# As in tests/functional/test_unfinished_bodies.py.
CROWD, UNENDED_BODY = 40, chunks(65_536, 45)
# Longer than any other fault.
SERVED_AGAIN_S = 30.0
# When the store returns in a phase with faults, how old its copy is, how long it is
# away, and the pause before it returns once more. The copy may precede the phase.
RETURN_AT_S, COPY_AGE_S = (1.0, 5.0), (1.0, 6.0)
AWAY_S, AGAIN_S, AGAIN_SHARE = (0.2, 1.0), (0.1, 1.5), 0.3
# How many configurations it loses at least.
LOST_VERSIONS = (1, 4)
# Operator and endpoints write again within this time what a return has lost.
WRITTEN_AGAIN_S = 2.0
# The share of endpoints that leave by a removal of their entry alone.
REMOVED_SHARE = 0.3
# When in a cycle hosts lose their links to all endpoints, and for how long: from the
# phase with faults on until after it, as calls are counted only in calm seconds.
CUT_AT_S, CUT_FOR_S = (8.0, 14.0), (9.0, 12.0)
CUT_MODES = tuple(mode for mode in CutMode if mode is not CutMode.NONE)
GARBLED = (b"", b"{", b'{"service": 7}', b"\xff\xfe", b'{"state": "lost"}')


class FaultInjector:
    """Runs random steps, in alternating phases with and without faults.

    A calm phase has only planned operations (restarts, reloads, changes of the
    configuration, leaving endpoints), so that the checks skip nothing in it.
    """

    def __init__(
        self,
        seed: int,
        store: SoakStore,
        endpoints: list[SoakEndpoint],
        nodes: list[Node],
        watchers: list[ConfigWatcher],
        records: Records,
        keys: KeyRing,
        only: Collection[str] = (),
    ) -> None:
        self.only = only
        self.rng = random.Random(seed)
        # Draws what is not a step, so that the seeds in seeds.md draw the same steps.
        self.stop_rng = random.Random(f"stops-{seed}")
        self.return_rng = random.Random(f"returns-{seed}")
        self.leave_rng = random.Random(f"leaves-{seed}")
        self.cut_rng = random.Random(f"cuts-{seed}")
        self.unused_service_faults: list[str] = []
        self.store = store
        self.endpoints = endpoints
        self.nodes = nodes
        self.watchers = watchers
        self.records = records
        self.keys = keys
        # The nodes whose process a step is about to end, or has ended.
        self.ending: set[Node] = set()
        self.ending_lock = threading.Lock()
        self.put_lock = threading.Lock()
        self.highest_put = 0
        self.version = 0
        self.steps: list[str] = []
        self.threads: list[threading.Thread] = []

    def run(self, seconds: float, calm_s: float = 6.0, trouble_s: float = 8.0) -> None:
        """Run steps for a while, then wait until all faults have ended."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            has_faults = ends_at - time.monotonic() > calm_s + trouble_s
            if has_faults and (not self.only or "return_store" in self.only):
                self.start_step(partial(self.return_store, calm_s), "return_store")
            is_long = ends_at - time.monotonic() > calm_s
            if is_long and (not self.only or "cut_off" in self.only):
                self.start_step(self.cut_off, "cut_off")
            self.run_steps(
                self.planned_steps(), min(calm_s, ends_at - time.monotonic())
            )
            left_s = ends_at - time.monotonic()
            if left_s > trouble_s:
                self.run_steps(self.trouble_steps(), trouble_s)
                time.sleep(RECOVERY_S)
        for thread in self.threads:
            thread.join()

    def run_steps(self, steps: list[Callable[[], None]], seconds: float) -> None:
        """Start random steps for a while; they may overlap."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            step = self.rng.choice(steps)
            self.start_step(step, step.__name__)
            time.sleep(self.rng.uniform(0.3, 1.5))

    def start_step(self, step: Callable[[], None], name: str) -> None:
        """Start a step in a thread of its own."""
        self.steps.append(name)
        thread = threading.Thread(target=step, daemon=True)
        thread.start()
        self.threads.append(thread)

    def planned_steps(self) -> list[Callable[[], None]]:
        """Return the planned operations from which steps are drawn."""
        return [
            self.restart, self.reload, self.publish, self.publish_series, self.leave,
        ]  # fmt: skip

    def trouble_steps(self) -> list[Callable[[], None]]:
        """Return the steps for a phase with faults: faults and planned operations."""
        steps = [
            self.kill, self.pause, self.break_link, self.break_endpoint,
            self.break_service, self.break_store, self.break_store_link,
            self.crash_endpoint, self.compact, self.garble, self.publish, self.reload,
            self.hide_revocation, self.crowd,
        ]  # fmt: skip
        return [step for step in steps if step.__name__ in self.only] or steps

    @contextmanager
    def span(
        self, kind: str, where: str = "", is_planned: bool = False
    ) -> Iterator[None]:
        """Record the time span of a fault; its end is infinite until the fault ends."""
        row = Span(kind, time.monotonic(), float("inf"), where, is_planned)
        self.records.add(row)
        try:
            yield
        finally:
            self.records.end_span(row, time.monotonic())

    def wait(self, low_s: float, high_s: float) -> None:
        """Sleep for a random time."""
        time.sleep(self.rng.uniform(low_s, high_s))

    def pick_node(self) -> Node | None:
        """Return a random running node, or None if only one runs."""
        running = [node for node in self.nodes if not node.is_stopped]
        return self.rng.choice(running) if len(running) > 1 else None

    def take_node(self) -> Node | None:
        """Return a random node for a step that ends its process and calls start_again.

        It is None if too few run, or if another step ends the process of that node.
        Both would start it, and the second process would find its ports in use.
        """
        with self.ending_lock:
            node = self.pick_node()
            running = {row for row in self.nodes if not row.is_stopped} - self.ending
            if node not in running or len(running) < 2:
                return None
            self.ending.add(node)
            return node

    def start_again(self, node: Node) -> None:
        """Start the process of a node that a step has ended."""
        node.start()
        with self.ending_lock:
            self.ending.discard(node)

    def restart(self) -> None:
        """Stop one node as planned and start it again."""
        node = self.take_node()
        if node is None:
            return
        rng = self.stop_rng
        is_log_read = rng.random() < LOG_READ_SHARE
        late_s = rng.uniform(*LATE_FROM_S)
        with nullcontext() if is_log_read else node.unread_log():
            late = [
                LateCaller(
                    rng.getrandbits(32),
                    node,
                    self.records,
                    self.keys,
                    late_s + rng.uniform(0.0, LATE_FOR_S),
                )
                for _ in range(rng.randint(*LATE_CALLERS))
            ]
            with self.span("stop", node.name, is_planned=True):
                for caller in late:
                    caller.start()
                node.stop_gracefully()
        self.start_again(node)
        node.wait_ready()

    def reload(self) -> None:
        """Send SIGHUP to one node."""
        node = self.pick_node()
        if node is None:
            return
        with self.span("reload", node.name, is_planned=True):
            node.signal(signal.SIGHUP)
            time.sleep(1.0)

    def kill(self) -> None:
        """Kill one node and start it again."""
        node = self.take_node()
        if node is None:
            return
        with self.span("kill", node.name):
            node.kill()
            self.wait(0.0, 1.0)
            self.start_again(node)
            node.wait_ready()

    def pause(self) -> None:
        """Suspend one process for a while."""
        node = self.pick_node()
        if node is None:
            return
        with self.span("pause", node.name):
            node.signal(signal.SIGSTOP)
            self.wait(0.3, 2.0)
            node.signal(signal.SIGCONT)

    def publish(self) -> None:
        """Publish a configuration and check that it is in force in time."""
        with self.records.lock:
            self.version += self.rng.randint(1, 3)
            version = self.version
        self.put_configuration(version)
        published_at = time.monotonic()
        with self.records.lock:
            start_counts = {
                watcher: watcher.node.start_count for watcher in self.watchers
            }
            for watcher in self.watchers:
                watcher.published = [*watcher.published[-3:], (version, published_at)]
        time.sleep(APPLY_S + 0.2)
        if self.version != version:
            return
        for watcher in self.watchers:
            if (
                watcher.node.is_stopped
                or watcher.node.start_count != start_counts[watcher]
            ):
                continue
            status = watcher.fetch_status(version)
            now = time.monotonic()
            name = watcher.node.name
            if self.version != version:
                # A newer configuration without this version's route was published.
                return
            if status == 404 and not self.was_disturbed(published_at, now, name):
                self.records.add_violation(
                    "configuration in time", f"{name} lacks version {version}"
                )

    def was_disturbed(self, start: float, end: float, name: str) -> bool:
        """Return whether a fault affected a node within a time span or just before."""
        return self.records.is_disturbed(start - RECOVERY_S, end, name)

    def put_configuration(self, version: int) -> None:
        """Write a configuration with a route that only this version has."""
        marker = f"{CONFIG_MARKER}{version}/"
        routes = [
            route("caption", "/caption/", "streaming", "llm", **STREAMED),
            route("filing", "/filing/", "non_idempotent", "registry"),
            route("lookup", "/lookup/", "idempotent", "registry"),
            route(
                "marker", marker, "idempotent", "registry", max_attempts=1, public=True
            ),
        ]
        routes[0]["timeout_ms"] = 6000
        with self.put_lock:
            # Nodes ignore a version that another thread has overtaken, and so the
            # removal of a key by it.
            removed = self.keys.rotate() if version >= self.highest_put else []
            self.highest_put = max(self.highest_put, version)
            tenants = self.keys.tenants(removed)
            newest = configuration(version, routes=routes, tenants=tenants)
            self.store.put("keyed.op", "config", newest)
            self.keys.record_removed(removed)

    def publish_series(self) -> None:
        """Publish several configurations in quick succession."""
        for _ in range(self.rng.randint(2, 5)):
            with self.records.lock:
                self.version += 1
                version = self.version
            self.put_configuration(version)
            self.wait(0.02, 0.3)
        self.publish()

    def leave(self) -> None:
        """Announce that a plain endpoint leaves, and restart it under a new id."""
        with self.records.lock:
            ready = [
                row
                for row in self.endpoints
                if row.stage is None and row.state == "ready"
            ]
            if len(ready) < 3:
                return
            endpoint = self.rng.choice(ready)
            endpoint.state = "draining"
        if self.leave_rng.random() < REMOVED_SHARE:
            self.store.put("keyed.servers", endpoint.endpoint_id, None)
        else:
            endpoint.announce(self.store)
        left_at = time.monotonic()
        self.records.leaving[endpoint.endpoint_id] = left_at
        time.sleep(APPLY_S + 2.0)
        self.store.put("keyed.servers", endpoint.endpoint_id, None)
        endpoint.endpoint_id += "n"
        endpoint.begin_incarnation()
        endpoint.state = "ready"
        endpoint.announce(self.store)

    def break_endpoint(self) -> None:
        """Have two endpoints misbehave for a while, each with a fault of its own."""
        chosen = self.rng.sample(self.endpoints, 2)
        for endpoint in chosen:
            kinds = STREAM_FAULTS if endpoint.stage == "decode" else ENDPOINT_FAULTS
            endpoint.faults.add(self.rng.choice(kinds))
        self.clear_faults_later(chosen)

    def break_service(self) -> None:
        """Have all plain endpoints misbehave, as after a faulty release.

        The fault replaces earlier ones, since an endpoint shows only one of them: no
        body is cut while all calls are rejected. Only foreign ids go with other faults.
        """
        fault = self.pick_service_fault()
        chosen = [row for row in self.endpoints if row.stage is None]
        for endpoint in chosen:
            endpoint.faults = {fault} | (endpoint.faults & {"foreign"})
        self.clear_faults_later(chosen)

    def pick_service_fault(self) -> str:
        """Return a random fault that did not occur since all others have.

        Nine independent draws leave out one of four faults in 29% of the runs, which
        then find nothing that only this fault exposes.
        """
        drawn = self.rng.choice(SERVICE_FAULTS)
        with self.records.lock:
            if not self.unused_service_faults:
                self.unused_service_faults = list(SERVICE_FAULTS)
            unused = self.unused_service_faults
            fault = drawn if drawn in unused else unused[0]
            unused.remove(fault)
        return fault

    def clear_faults_later(self, endpoints: list[SoakEndpoint]) -> None:
        """Clear faults of endpoints after a random time, if not replaced by then."""
        begun = [endpoint.faults for endpoint in endpoints]
        with self.span("bad answers"):
            self.wait(1.0, 3.0)
            for endpoint, faults in zip(endpoints, begun, strict=True):
                if endpoint.faults is faults:
                    faults.clear()

    def break_link(self) -> None:
        """Delay, hold, refuse or reset the connections to one endpoint."""
        endpoint = self.rng.choice(self.endpoints)
        self.disturb(endpoint.link, "")

    def break_store_link(self) -> None:
        """Disturb the link between one node and the store."""
        node = self.rng.choice(self.nodes)
        self.disturb(node.store_link, node.name)

    def disturb(self, link: Link, where: str) -> None:
        """Disturb one link for a while."""
        mode = self.rng.choice(LINK_MODES)
        with self.span(f"link {mode} of {link.address}", where):
            link.delay_s = self.rng.uniform(0.05, 0.4)
            link.mode = mode
            if self.rng.random() < 0.5:
                link.reset_all()
            self.wait(0.5, 2.0)
            link.mode = LinkMode.PASS
            if self.rng.random() < 0.5:
                link.reset_all()

    def cut_off(self) -> None:
        """Have some hosts lose their links to all endpoints, later in a cycle."""
        rng = self.cut_rng
        chosen = rng.sample(self.nodes, rng.randint(1, max(1, len(self.nodes) - 1)))
        mode = rng.choice(CUT_MODES)
        time.sleep(rng.uniform(*CUT_AT_S))
        with ExitStack() as spans:
            for node in chosen:
                spans.enter_context(self.span(CUT, node.name, is_planned=True))
                node.set_reach(mode)
            time.sleep(rng.uniform(*CUT_FOR_S))
            for node in chosen:
                node.set_reach(CutMode.NONE)

    def crash_endpoint(self) -> None:
        """Crash one endpoint and restart it under the same id."""
        endpoint = self.rng.choice(self.endpoints)
        with self.span("crash"):
            endpoint.crash()
            self.wait(0.3, 2.0)
            endpoint.restart()
            endpoint.announce(self.store)

    def break_store(self) -> None:
        """Have the store misbehave towards all nodes."""
        kind = self.rng.choice(("busy", "reset", "silent", "losing"))
        with self.span(f"store {kind}"):
            if kind == "losing":
                self.store.loses_append_answers = True
            else:
                self.store.mode = kind
            self.wait(0.5, 2.5)
            self.store.loses_append_answers = False
            self.store.mode = "up"

    def compact(self) -> None:
        """Compact the store's topics after a change that no node can read yet."""
        with self.span("store compact"):
            self.store.mode = "reset"
            self.publish_unchecked()
            self.store.compact("keyed.op")
            self.store.compact("keyed.servers")
            self.wait(0.5, 1.0)
            self.store.mode = "up"
            self.wait(0.2, 1.0)

    def return_store(self, after_s: float) -> None:
        """Have the store come back from a copy in the phase that begins later."""
        rng = self.return_rng
        age_s = rng.uniform(*COPY_AGE_S)
        time.sleep(max(0.0, after_s + rng.uniform(*RETURN_AT_S) - age_s))
        copy = self.store.copy()
        time.sleep(age_s)
        for _ in range(rng.randint(*LOST_VERSIONS)):
            self.publish_unchecked()
            time.sleep(rng.uniform(0.02, 0.3))
        away_at = time.monotonic()
        pauses_s = [WRITTEN_AGAIN_S]
        if rng.random() < AGAIN_SHARE:
            pauses_s.insert(0, rng.uniform(*AGAIN_S))
        with self.span(STORE_RETURN):
            for pause_s in pauses_s:
                self.store.mode = rng.choice(("busy", "reset"))
                time.sleep(rng.uniform(*AWAY_S))
                self.store.return_to(copy)
                returned_at = time.monotonic()
                self.store.mode = "up"
                self.write_again(pause_s)
        self.keys.record_lost(copy.newest["keyed.op"]["config"], away_at, returned_at)

    def write_again(self, seconds: float) -> None:
        """Write for a while what a return of the store has lost, in random order."""
        started_at = time.monotonic()
        lost = sorted(
            (self.return_rng.uniform(0.0, WRITTEN_AGAIN_S), row)
            for row in self.store.lost()
        )
        for at_s, row in lost:
            time.sleep(max(0.0, started_at + min(at_s, seconds) - time.monotonic()))
            if at_s <= seconds:
                self.store.write_again(*row)
        time.sleep(max(0.0, started_at + seconds - time.monotonic()))

    def publish_unchecked(self) -> None:
        """Publish a configuration without checking when it is in force."""
        with self.records.lock:
            self.version += 1
            version = self.version
        self.put_configuration(version)
        with self.records.lock:
            for watcher in self.watchers:
                row = (version, time.monotonic())
                watcher.published = [*watcher.published[-3:], row]

    def hide_revocation(self) -> None:
        """Remove a key while no node can read the store, for longer than the bound."""
        if self.store.mode != "up":
            return
        with self.span("store silent"):
            self.store.mode = "silent"
            # Reads that wait at the store would still get the new configuration.
            for node in self.nodes:
                node.store_link.reset_all()
            self.publish_unchecked()
            self.wait(REVOKE_S + 1.0, REVOKE_S + 3.0)
            self.store.mode = "up"

    def crowd(self) -> None:
        """Have callers at one node that do not end their bodies or do not read, and
        check that an ordinary call is served afterwards."""
        node = self.pick_node()
        if node is None:
            return
        start_count = node.start_count
        front = ("127.0.0.1", node.ports["front"])
        key = self.keys.ordinary_key()
        head = f"Host: entry.example\r\nPoplarfold-Key: {key}\r\n"
        head += f"Poplarfold-Request-Id: {SLOW_PREFIX}{node.name}\r\n"
        unended = f"POST /filing/1 HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\n"
        unread = f"GET /lookup/1 HTTP/1.1\r\n{head}\r\n".encode()
        with (
            self.span("crowd", node.name),
            Crowd(front, CROWD, unended.encode() + UNENDED_BODY),
            Crowd(front, CROWD // 2, unread),
        ):
            self.wait(2.0, 4.0)
        deadline = time.monotonic() + SERVED_AGAIN_S
        while node.start_count == start_count and not node.is_stopped:
            if call_status(node, self.keys.ordinary_key(), body=b"x" * 3000) == 200:
                return
            if time.monotonic() > deadline:
                self.records.add_violation("crowd", f"{node.name} does not serve")
                return
            time.sleep(0.2)

    def garble(self) -> None:
        """Write malformed entries, for an unknown endpoint and for a known one."""
        with self.span("garbled entries"):
            endpoint = self.rng.choice(self.endpoints)
            self.store.put("keyed.servers", "i-odd", self.rng.choice(GARBLED))
            self.store.put("keyed.servers", endpoint.endpoint_id, b"[]")
            self.wait(0.1, 0.5)
            endpoint.announce(self.store)
