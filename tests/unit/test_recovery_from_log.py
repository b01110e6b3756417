"""Starting from checkpoints and from peers, in the fault simulation."""

import pytest

from poplarfold._internal.bench.control import propose_entry
from poplarfold._internal.bench.fault_simulation import FaultSimulation, entry_host_row
from poplarfold._internal.core.claims_codec import Batch, Claim, Done, encode_batch
from poplarfold._internal.core.events import WorkItem
from poplarfold._internal.core.model import EndpointRole, HostKey, Identity
from poplarfold._internal.core.systems import claims
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.standins.engine_model import (
    EngineConfig,
    EngineModel,
    Work,
)

DOMAINS = (DomainSettings("lhr-a", "lahore", 2),)


@pytest.fixture
def simulation():
    simulation = FaultSimulation(1, 1e6, 0.001)
    simulation.regions = {"lhr-a": "lahore"}
    settings = {
        name: NodeSettings(name, "lhr-a", DOMAINS, strict_invariants=True)
        for name in ("a", "b")
    }
    simulation.settings = settings
    for name, row in settings.items():
        simulation.host_list.put(0.0, entry_host_row(name, "lhr-a"))
        simulation.add_node(row)
    for number in range(4):
        simulation.schedule(3.0 + number * 0.1, propose_entry, simulation, "a", number)
    simulation.run(10.0)
    return simulation


def entries_of(simulation, name):
    rows = simulation.nodes[name].node.state.entries.values()
    return {row.name: row.revision for row in rows}


def restart(simulation, name, seconds=5.0):
    simulation.crash(name)
    simulation.run(simulation.now + 0.5)
    simulation.restart(simulation.settings[name])
    simulation.run(simulation.now + seconds)
    return simulation.nodes[name].node.state


def test_a_corrupt_checkpoint_is_skipped_for_an_older_one(simulation):
    """Guards against a fleet that cannot start once the log has dropped old records.

    The newest checkpoint of each stream is corrupt and the records are truncated, so
    that only an older checkpoint has the state.
    """
    owner = HostKey("z", 1)
    simulation.log.append(10.0, "claims", "r1", encode_batch(Batch(owner, (CLAIM,))))
    simulation.log.append(10.0, "claims", "r2", encode_batch(Batch(owner, (DONE,))))
    simulation.run(60.0)
    stream = simulation.log.streams["checkpoints"]
    assert len(stream.records) >= 2
    simulation.log.truncate("catalogue", simulation.log.streams["catalogue"].next)
    simulation.log.truncate("claims", simulation.log.streams["claims"].next)
    for record in list(stream.records):
        broken = record.data[:-1] + bytes([record.data[-1] ^ 1])
        simulation.log.append(simulation.now, "checkpoints", "broken", broken)
    before = entries_of(simulation, "a")
    assert len(before) == 4
    for name in ("a", "b"):
        simulation.crash(name)
    simulation.run(simulation.now + 0.5)
    for name in ("a", "b"):
        simulation.restart(simulation.settings[name])
    simulation.run(simulation.now + 5.0)
    for name in ("a", "b"):
        state = simulation.nodes[name].node.state
        assert state.catalogue_ready and entries_of(simulation, name) == before
        row = state.part(claims.Claims).rows[CLAIM.digest]
        assert (row.state, row.status, row.body) == ("done", 201, b"x")


CLAIM = Claim(b"k" * 16, "op-1", "d")
DONE = Done(b"k" * 16, 0, 201, b"x")


def test_a_node_starts_from_its_peers_when_the_log_is_down(simulation):
    """Guards against a start that waits for the end of a long log outage."""
    simulation.log.start_outage(simulation.now, 600.0)
    simulation.run(simulation.now + 3.0)
    assert restart(simulation, "b").catalogue_ready
    assert entries_of(simulation, "b") == entries_of(simulation, "a")


def test_a_node_without_log_and_peers_is_never_ready(simulation):
    """Guards against a node that serves an empty or outdated catalogue."""
    simulation.log.start_outage(simulation.now, 600.0)
    simulation.crash("a")
    assert not restart(simulation, "b", 30.0).catalogue_ready


def add_engine(simulation):
    identity = Identity("o", "engines", "v1")
    # The lease outlasts the test, so that only a cancel releases the memory.
    config = EngineConfig("e:1", identity, EndpointRole.DECODE, lease_s=60.0)
    engine = EngineModel(config)
    simulation.add_endpoint(engine, "lhr-a", "engines")
    simulation.run(simulation.now + 4.0)
    return engine, identity


def test_a_new_node_cancels_work_of_processes_that_died_before_it(simulation):
    """Guards against orphaned work that is never cancelled.

    That happens if no running node observed the crash of the process that owned it.
    """
    engine, identity = add_engine(simulation)
    for owner in (HostKey("a", 1), HostKey("b", 1)):
        engine.reserve(simulation.now, Work(f"x-{owner.host}", owner, identity, 0), 10)
    simulation.crash("b")
    simulation.crash("a")
    simulation.host_list.remove(simulation.now, "b")
    simulation.run(simulation.now + 2.0)
    simulation.restart(simulation.settings["a"])
    simulation.run(simulation.now + 4.0)
    assert {item.owner for item in engine.report(simulation.now).work} == {
        HostKey("b", 1)
    }
    # The host list lags, so a host that it lacks counts as removed after 10 s.
    simulation.run(simulation.now + 11.0)
    assert not engine.report(simulation.now).work


def test_only_work_of_a_dead_process_is_cancelled_and_within_three_seconds(simulation):
    """Guards against orphaned memory, and against cancelling a paused node's work."""
    engine, identity = add_engine(simulation)

    def held():
        return {item.owner for item in engine.report(simulation.now).work}

    engine.reserve(simulation.now, Work("a-1", HostKey("b", 1), identity, 0), 10)
    assert all(
        isinstance(item, WorkItem) for item in engine.report(simulation.now).work
    )
    simulation.pause("b", 1.0)
    simulation.run(simulation.now + 0.9)
    assert held() == {HostKey("b", 1)}
    simulation.run(simulation.now + 1.0)
    engine.reserve(simulation.now, Work("a-2", HostKey("b", 1), identity, 0), 10)
    simulation.crash("b")
    simulation.run(simulation.now + 3.0)
    assert held() == set()
