"""Rules for stateful fuzzing: callers, operators and every kind of failure."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from tests.lib.cluster import FREED_LIMIT_S, HOSTS, Cluster

RESTART_S = 3.0
LEAVING_S = 8.0

HOST = st.sampled_from(sorted(HOSTS))
PART = st.sampled_from(["lhr-a", "khi-a", ""])
SECONDS = st.sampled_from([0.2, 1.0, 4.0, 15.0])
ENDPOINT = st.sampled_from(
    [
        f"{domain}-{name}"
        for domain in ("lhr-a", "khi-a")
        for name in ("own-prefill", "own-decode", "registry-0", "registry-1")
    ]
)


class FaultMachine(RuleBasedStateMachine):
    """Drives a cluster; any violation that the oracle sees fails the run."""

    cluster: Cluster
    steps = 0

    @initialize(seed=st.integers(0, 2**16), knows=st.booleans())
    def start(self, seed: int, knows: bool) -> None:
        self.cluster = Cluster(seed, knows)

    # Callers.

    @rule(host=HOST, name=st.sampled_from(["abstract", "caption"]))
    def stream(self, host: str, name: str) -> None:
        self.cluster.make_call(host, name)

    @rule(host=HOST, key=st.sampled_from(["k1", "k2", "k3"]))
    def file(self, host: str, key: str) -> None:
        self.cluster.make_call(host, "filing", key)

    @rule(first=HOST, second=HOST, key=st.sampled_from(["k4", "k5"]))
    def file_twice(self, first: str, second: str, key: str) -> None:
        self.cluster.make_call(first, "filing", key)
        self.cluster.make_call(second, "filing", key)

    @rule()
    def file_everywhere(self) -> None:
        for host in sorted(HOSTS):
            for _ in range(4):
                self.cluster.make_call(host, "filing", f"n{self.cluster.number}")

    @rule()
    def file_through_a_cut_off_node(self) -> None:
        """File through one node, and again through one that can't read the log."""
        self.cluster.wait_until_ready()
        key = f"n{self.cluster.number}"
        self.cluster.cut("khi-a", "", 6.0)
        self.cluster.disturbed(11.0)
        self.cluster.make_call("lhr-a-0", "filing", key)
        self.cluster.run(self.cluster.now + 0.5)
        self.cluster.make_call("khi-a-0", "filing", key)
        self.cluster.run(self.cluster.now + 4.0)

    @rule(host=HOST, delay_s=st.sampled_from([0.03, 0.06, 0.1]))
    def file_at_a_dying_service(self, host: str, delay_s: float) -> None:
        """Restart the service processes that run a filing."""
        self.cluster.wait_until_ready()
        self.cluster.make_call(host, "filing", f"n{self.cluster.number}")
        self.cluster.run(self.cluster.now + delay_s)
        for address, endpoint in list(self.cluster.endpoints.items()):
            if getattr(endpoint.model, "running", None):
                self.restart_endpoint(address)

    @rule(address=ENDPOINT)
    def use_a_leaving_endpoint(self, address: str) -> None:
        """Make calls of every kind well after an endpoint began to leave."""
        self.cluster.wait_until_ready()
        self.leave_endpoint(address)
        self.cluster.run(self.cluster.now + LEAVING_S / 2)
        for host in sorted(HOSTS):
            for name in ("abstract", "caption", "lookup", "lookup"):
                self.cluster.make_call(host, name)
        self.cluster.run(self.cluster.now + 1.0)

    @rule(host=HOST, name=st.sampled_from(["filing", "abstract"]))
    def amend_in_calm(self, host: str, name: str) -> None:
        """Amend an entry when no fault excuses a node that lacks the change."""
        self.cluster.wait_until_ready()
        self.cluster.amend(host, name, self.cluster.number)
        self.cluster.run(self.cluster.now + 6.0)

    @rule(host=HOST)
    def look_up(self, host: str) -> None:
        self.cluster.make_call(host, "lookup")

    @rule(number=st.integers(0, 3))
    def hang_up(self, number: int) -> None:
        answers = self.cluster.oracle.answers
        open_calls = [c for c in self.cluster.caller_host if c not in answers]
        if open_calls:
            self.cluster.hang_up_call(open_calls[-1 - number % len(open_calls)])

    # Operators.

    @rule(
        first=HOST, second=HOST, name=st.sampled_from(["filing", "abstract", "lookup"])
    )
    def amend_in_a_race(self, first: str, second: str, name: str) -> None:
        self.cluster.amend(first, name, 1)
        self.cluster.amend(second, name, 2)

    # Failures.

    @rule(host=HOST)
    def kill(self, host: str) -> None:
        if self.cluster.nodes[host].alive:
            self.cluster.kill(host)
            self.cluster.disturbed(RESTART_S + 5.0)
            self.cluster.at(
                self.cluster.now + RESTART_S, self.cluster.start_again, host
            )

    @rule(host=HOST, seconds=SECONDS)
    def pause(self, host: str, seconds: float) -> None:
        self.cluster.pause(host, seconds)
        self.cluster.disturbed(seconds + 5.0)

    @rule(one=PART, other=PART, seconds=SECONDS)
    def cut(self, one: str, other: str, seconds: float) -> None:
        if one != other:
            self.cluster.cut(one, other, seconds)
            self.cluster.disturbed(seconds + 5.0)

    @rule(one=HOST, other=HOST, seconds=SECONDS)
    def silence(self, one: str, other: str, seconds: float) -> None:
        if one != other:
            self.cluster.silence(one, other, min(seconds, 6.0))
            self.cluster.disturbed(6.0)

    @rule(seconds=SECONDS)
    def stop_log(self, seconds: float) -> None:
        self.cluster.log.start_outage(self.cluster.now, seconds)
        self.cluster.disturbed(seconds + 5.0)

    @rule(seconds=SECONDS)
    def slow_log(self, seconds: float) -> None:
        self.cluster.log.slow_s = 1.0
        self.cluster.at(self.cluster.now + seconds, self.end_slow_log)
        self.cluster.disturbed(seconds + 5.0)

    def end_slow_log(self) -> None:
        self.cluster.log.slow_s = 0.0

    @rule(count=st.integers(1, 4))
    def lose_append_answers(self, count: int) -> None:
        self.cluster.log.lose_append_answers(count)
        self.cluster.disturbed(5.0)

    @rule(address=ENDPOINT)
    def restart_endpoint(self, address: str) -> None:
        model = self.cluster.endpoints[address].model
        if hasattr(model, "crash"):
            model.crash(self.cluster.now)
        self.cluster.kill_endpoint(address)
        self.cluster.incarnation += 1
        self.cluster.restart_endpoint(address, self.cluster.incarnation)
        self.cluster.disturbed(5.0)

    @rule(address=ENDPOINT)
    def leave_endpoint(self, address: str) -> None:
        model = self.cluster.endpoints[address].model
        if model.leaving_since is None:
            model.leave(self.cluster.now)
            self.cluster.host_list.leave(self.cluster.now, address)
            self.cluster.at(self.cluster.now + LEAVING_S, self.replace_left, model)

    def replace_left(self, model: Any) -> None:
        """Replace a process that has left, unless that has been done."""
        if self.cluster.endpoints[model.address].model is model:
            self.restart_endpoint(model.address)

    @rule(address=ENDPOINT, seconds=st.sampled_from([0.5, 3.0]))
    def stall_transfers(self, address: str, seconds: float) -> None:
        model = self.cluster.endpoints[address].model
        if hasattr(model, "stall_transfers"):
            model.stall_transfers(self.cluster.now, seconds)
            self.cluster.disturbed(seconds + 2.0)

    @rule(host=HOST)
    def drain(self, host: str) -> None:
        node = self.cluster.nodes[host]
        if node.alive and not node.paused:
            self.cluster.drain(host)
            self.cluster.disturbed(30.0)

    @rule(host=HOST, name=st.sampled_from(["abstract", "caption"]))
    def drain_while_streaming(self, host: str, name: str) -> None:
        self.cluster.make_call(host, name)
        self.cluster.run(self.cluster.now + 0.5)
        self.drain(host)

    @rule(host=HOST, name=st.sampled_from(["abstract", "caption"]))
    def hang_up_in_calm(self, host: str, name: str) -> None:
        """Let a caller go when no fault excuses memory that stays held."""
        self.cluster.wait_until_ready()
        call_id = self.cluster.make_call(host, name)
        self.cluster.run(self.cluster.now + 0.7)
        self.cluster.hang_up_call(call_id)
        self.cluster.run(self.cluster.now + FREED_LIMIT_S + 0.1)

    # Time.

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.1, 0.5, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)

    @precondition(lambda self: hasattr(self, "cluster"))
    @invariant()
    def promises_hold(self) -> None:
        type(self).steps += 1
        self.cluster.observe()
        self.assert_no_violation()

    def assert_no_violation(self) -> None:
        found = [*self.cluster.oracle.violations, *self.cluster.violations]
        assert not found, found[:3]

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.settle()
            self.assert_no_violation()
