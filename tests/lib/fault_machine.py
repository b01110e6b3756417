"""Stateful fuzzing rules for callers, operators and failures."""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from tests.lib.cluster import HOSTS, RELEASE_LIMIT_S, Cluster

RESTART_S = 3.0
LEAVING_S = 8.0

HOST = st.sampled_from(sorted(HOSTS))
# A domain, or "" for the platform: a side of a network partition.
NETWORK_SIDE = st.sampled_from(["lhr-a", "khi-a", ""])
SECONDS = st.sampled_from([0.2, 1.0, 4.0, 15.0])
ENDPOINT = st.sampled_from(
    [
        f"{domain}-{name}"
        for domain in ("lhr-a", "khi-a")
        for name in ("own-prefill", "own-decode", "registry-0", "registry-1")
    ]
)


class FaultMachine(RuleBasedStateMachine):
    """Drives a cluster. Any violated invariant fails the run.

    Hypothesis orders rules by name, so renaming one changes the runs of a seed.
    """

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
                self.cluster.make_call(host, "filing", f"n{self.cluster.request_count}")

    @rule()
    def file_through_a_cut_off_node(self) -> None:
        """Retry a filing through a node that cannot read the log."""
        self.cluster.wait_until_recovered()
        key = f"n{self.cluster.request_count}"
        self.cluster.cut("khi-a", "", 6.0)
        self.cluster.record_disturbance(11.0)
        self.cluster.make_call("lhr-a-0", "filing", key)
        self.cluster.run(self.cluster.now + 0.5)
        self.cluster.make_call("khi-a-0", "filing", key)
        self.cluster.run(self.cluster.now + 4.0)

    @rule(host=HOST, delay_s=st.sampled_from([0.03, 0.06, 0.1]))
    def file_at_a_dying_service(self, host: str, delay_s: float) -> None:
        """Make a filing, then restart the service processes that run filings."""
        self.cluster.wait_until_recovered()
        self.cluster.make_call(host, "filing", f"n{self.cluster.request_count}")
        self.cluster.run(self.cluster.now + delay_s)
        for address, endpoint in list(self.cluster.endpoints.items()):
            if getattr(endpoint.model, "running", None):
                self.restart_endpoint(address)

    @rule(address=ENDPOINT)
    def use_a_leaving_endpoint(self, address: str) -> None:
        """Make calls of several kinds some time after an endpoint started to leave."""
        self.cluster.wait_until_recovered()
        self.leave_endpoint(address)
        self.cluster.run(self.cluster.now + LEAVING_S / 2)
        for host in sorted(HOSTS):
            for name in ("abstract", "caption", "lookup", "lookup"):
                self.cluster.make_call(host, name)
        self.cluster.run(self.cluster.now + 1.0)

    @rule(host=HOST, name=st.sampled_from(["filing", "abstract"]))
    def amend_in_calm(self, host: str, name: str) -> None:
        """Amend an entry without faults, so that all nodes must have it in time."""
        self.cluster.wait_until_recovered()
        self.cluster.amend(host, name, self.cluster.request_count)
        self.cluster.run(self.cluster.now + 6.0)

    @rule(host=HOST)
    def look_up(self, host: str) -> None:
        self.cluster.make_call(host, "lookup")

    @rule(number=st.integers(0, 3))
    def hang_up(self, number: int) -> None:
        answers = self.cluster.oracle.answers
        open_calls = [c for c in self.cluster.call_processes if c not in answers]
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
        if self.cluster.nodes[host].is_alive:
            self.cluster.crash(host)
            self.cluster.record_disturbance(RESTART_S + 5.0)
            self.cluster.schedule(
                self.cluster.now + RESTART_S, self.cluster.restart_if_ended, host
            )

    @rule(host=HOST, seconds=SECONDS)
    def pause(self, host: str, seconds: float) -> None:
        self.cluster.pause(host, seconds)
        self.cluster.record_disturbance(seconds + 5.0)

    @rule(one=NETWORK_SIDE, other=NETWORK_SIDE, seconds=SECONDS)
    def cut(self, one: str, other: str, seconds: float) -> None:
        if one != other:
            self.cluster.cut(one, other, seconds)
            self.cluster.record_disturbance(seconds + 5.0)

    @rule(one=HOST, other=HOST, seconds=SECONDS)
    def silence(self, one: str, other: str, seconds: float) -> None:
        if one != other:
            self.cluster.drop_messages(one, other, min(seconds, 6.0))
            self.cluster.record_disturbance(6.0)

    @rule(seconds=SECONDS)
    def stop_log(self, seconds: float) -> None:
        self.cluster.log.start_outage(self.cluster.now, seconds)
        self.cluster.record_disturbance(seconds + 5.0)

    @rule(seconds=SECONDS)
    def slow_log(self, seconds: float) -> None:
        self.cluster.log.slow_s = 1.0
        self.cluster.schedule(self.cluster.now + seconds, self.end_slow_log)
        self.cluster.record_disturbance(seconds + 5.0)

    def end_slow_log(self) -> None:
        self.cluster.log.slow_s = 0.0

    @rule(count=st.integers(1, 4))
    def lose_append_answers(self, count: int) -> None:
        self.cluster.log.lose_append_answers(count)
        self.cluster.record_disturbance(5.0)

    @rule(address=ENDPOINT)
    def restart_endpoint(self, address: str) -> None:
        model = self.cluster.endpoints[address].model
        if hasattr(model, "crash"):
            model.crash(self.cluster.now)
        self.cluster.crash_endpoint(address)
        self.cluster.incarnation += 1
        self.cluster.restart_endpoint(address, self.cluster.incarnation)
        self.cluster.record_disturbance(5.0)

    @rule(address=ENDPOINT)
    def leave_endpoint(self, address: str) -> None:
        model = self.cluster.endpoints[address].model
        if model.leaving_since is None:
            model.start_leaving(self.cluster.now)
            self.cluster.host_list.leave(self.cluster.now, address)
            self.cluster.schedule(
                self.cluster.now + LEAVING_S, self.replace_after_leaving, model
            )

    def replace_after_leaving(self, model: Any) -> None:
        """Restart an endpoint that has left, unless it was already restarted."""
        if self.cluster.endpoints[model.address].model is model:
            self.restart_endpoint(model.address)

    @rule(address=ENDPOINT, seconds=st.sampled_from([0.5, 3.0]))
    def stall_transfers(self, address: str, seconds: float) -> None:
        model = self.cluster.endpoints[address].model
        if hasattr(model, "stall_transfers"):
            model.stall_transfers(self.cluster.now, seconds)
            self.cluster.record_disturbance(seconds + 2.0)

    @rule(host=HOST)
    def drain(self, host: str) -> None:
        node = self.cluster.nodes[host]
        if node.is_alive and not node.is_paused:
            self.cluster.drain(host)
            self.cluster.record_disturbance(30.0)

    @rule(host=HOST, name=st.sampled_from(["abstract", "caption"]))
    def drain_while_streaming(self, host: str, name: str) -> None:
        self.cluster.make_call(host, name)
        self.cluster.run(self.cluster.now + 0.5)
        self.drain(host)

    @rule(host=HOST, name=st.sampled_from(["abstract", "caption"]))
    def hang_up_in_calm(self, host: str, name: str) -> None:
        """Disconnect a caller without faults, so that memory must be released."""
        self.cluster.wait_until_recovered()
        call_id = self.cluster.make_call(host, name)
        self.cluster.run(self.cluster.now + 0.7)
        self.cluster.hang_up_call(call_id)
        self.cluster.run(self.cluster.now + RELEASE_LIMIT_S + 0.1)

    # Time.

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.1, 0.5, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)

    @precondition(lambda self: hasattr(self, "cluster"))
    @invariant()
    def guarantees_hold(self) -> None:
        type(self).steps += 1
        self.cluster.observe()
        self.assert_no_violation()

    def assert_no_violation(self) -> None:
        found = [*self.cluster.oracle.violations, *self.cluster.violations]
        assert not found, found[:3]

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.recover_and_check()
            self.assert_no_violation()
