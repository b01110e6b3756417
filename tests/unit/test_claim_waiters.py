"""Retries of a non-repeatable call while the first one is in progress."""

import json

import pytest

from poplarfold._internal.bench.simulation import Simulation
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.entry_codec import encode_entry
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.standins.service_model import ServiceConfig, ServiceModel

REGISTRY = Identity("association", "registry", "sha256:r1")
FILING = CatalogueEntry(
    "filing",
    EntryKind.SERVICE,
    REGISTRY,
    CallClass.NON_REPEATABLE,
    LatencyTargets(1.0, 1.0),
    EntryLimits(),
)
DOMAINS = (
    DomainSettings("lhr-a", "lahore", 1),
    DomainSettings("khi-a", "karachi", 1),
)


class RecordingSimulation(Simulation):
    """A simulation that keeps the FinishCall command of each call."""

    def __init__(self):
        super().__init__(1, 15_000_000 / 8, 0.001)
        self.finished = {}

    def carry_out(self, command, host):
        if isinstance(command, commands.FinishCall):
            self.finished[command.call_id] = command
        super().carry_out(command, host)


@pytest.fixture
def simulation():
    simulation = RecordingSimulation()
    simulation.regions = {row.name: row.region for row in DOMAINS}
    for number, row in enumerate(DOMAINS):
        settings = NodeSettings(row.name, row.name, DOMAINS, strict_invariants=True)
        simulation.host_list.put(
            0.0,
            events.HostListRow(row.name, row.name, "entry", row.name, "", False),
        )
        simulation.add_node(settings)
        config = ServiceConfig(f"10.0.0.{number}:80", REGISTRY)
        simulation.add_endpoint(ServiceModel(config), row.name, "registry")
    simulation.run(5.0)
    proposed = events.EntryProposed("r1", "clerk", -1, encode_entry(FILING))
    simulation.post(simulation.nodes["lhr-a"], proposed)
    simulation.run(10.0)
    return simulation


def filing(call_id, now, body="same"):
    return events.CallArrived(
        call_id, "account", "filing", False, 10, 40, (), 1, now + 30, "key", None, body
    )


def run_two(simulation, gap_s, second_body="same"):
    simulation.call("lhr-a", filing("first", simulation.now))
    simulation.run(simulation.now + gap_s)
    simulation.call("khi-a", filing("second", simulation.now, second_body))
    simulation.run(simulation.now + 5)
    runs = sum(
        sum(endpoint.model.backend.runs.values())
        for endpoint in simulation.endpoints.values()
    )
    return simulation.finished["first"], simulation.finished["second"], runs


@pytest.mark.parametrize("gap_s", [0.0, 0.003, 0.02, 0.05, 0.5])
def test_prompt_retry_through_another_node_gets_the_same_answer(simulation, gap_s):
    """Guards against "in progress" for a call whose caller has its answer.

    The outcome reaches the log after the first caller has been answered. A retry in
    between must not be rejected because the call is still recorded as running.
    """
    first, second, runs = run_two(simulation, gap_s)
    assert runs == 1
    assert first.error is None or second.error is None
    bodies = {
        json.loads(c.answer_body)["operation_id"]
        for c in (first, second)
        if c.answer_body
    }
    assert len(bodies) == 1
    assert second.error is None


def test_another_body_with_the_same_key_is_rejected_at_once(simulation):
    """Guards against returning the answer to another request with the same key."""
    _, second, runs = run_two(simulation, 0.02, "other")
    assert runs == 1
    assert second.error.code == "idempotency_key_reused"
