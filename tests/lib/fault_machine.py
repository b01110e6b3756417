"""Rules for stateful fuzzing: callers, operators and every kind of failure."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from tests.lib.cluster import HOSTS, Cluster

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

    @rule(host=HOST)
    def file_many(self, host: str) -> None:
        for number in range(6):
            self.cluster.make_call(host, "filing", f"{self.cluster.number}-{number}")

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
            self.cluster.disturbed(5.0)

    @rule(host=HOST)
    def start_again(self, host: str) -> None:
        self.cluster.start_again(host)
        self.cluster.disturbed(5.0)

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
        self.cluster.endpoints[address].model.leave(self.cluster.now)
        self.cluster.host_list.leave(self.cluster.now, address)

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

    # Time.

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.1, 0.5, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)

    @precondition(lambda self: hasattr(self, "cluster"))
    @invariant()
    def promises_hold(self) -> None:
        self.cluster.observe()
        self.assert_no_violation()

    def assert_no_violation(self) -> None:
        found = [*self.cluster.oracle.violations, *self.cluster.violations]
        assert not found, found[:3]

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.settle()
            self.assert_no_violation()
