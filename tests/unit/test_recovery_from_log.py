"""Starting from checkpoints and from peers, in the fault simulation."""

import pytest

from poplarfold._internal.bench.control import propose
from poplarfold._internal.bench.fault_simulation import FaultWorld, entry_host_row
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
def world():
    world = FaultWorld(1, 1e6, 0.001)
    world.regions = {"lhr-a": "lahore"}
    settings = {
        name: NodeSettings(name, "lhr-a", DOMAINS, strict_invariants=True)
        for name in ("a", "b")
    }
    world.settings = settings
    for name, row in settings.items():
        world.host_list.put(0.0, entry_host_row(name, "lhr-a"))
        world.add_node(row)
    for number in range(4):
        world.at(3.0 + number * 0.1, propose, world, "a", number)
    world.run(10.0)
    return world


def entries_of(world, name):
    rows = world.nodes[name].node.state.entries.values()
    return {row.name: row.revision for row in rows}


def restart(world, name, seconds=5.0):
    world.kill(name)
    world.run(world.now + 0.5)
    world.restart(world.settings[name])
    world.run(world.now + seconds)
    return world.nodes[name].node.state


def test_a_corrupt_checkpoint_is_skipped_for_an_older_one(world):
    """Guards against a fleet that cannot start once the log has dropped old records.

    The newest checkpoint of each stream is corrupt and the records are truncated, so
    that only an older checkpoint has the state.
    """
    owner = HostKey("z", 1)
    world.log.append(10.0, "claims", "r1", encode_batch(Batch(owner, (CLAIM,))))
    world.log.append(10.0, "claims", "r2", encode_batch(Batch(owner, (DONE,))))
    world.run(60.0)
    stream = world.log.streams["checkpoints"]
    assert len(stream.records) >= 2
    world.log.truncate("catalogue", world.log.streams["catalogue"].next)
    world.log.truncate("claims", world.log.streams["claims"].next)
    for record in list(stream.records):
        broken = record.data[:-1] + bytes([record.data[-1] ^ 1])
        world.log.append(world.now, "checkpoints", "broken", broken)
    before = entries_of(world, "a")
    assert len(before) == 4
    for name in ("a", "b"):
        world.kill(name)
    world.run(world.now + 0.5)
    for name in ("a", "b"):
        world.restart(world.settings[name])
    world.run(world.now + 5.0)
    for name in ("a", "b"):
        state = world.nodes[name].node.state
        assert state.catalogue_ready and entries_of(world, name) == before
        row = state.part(claims.Claims).rows[CLAIM.digest]
        assert (row.state, row.status, row.body) == ("done", 201, b"x")


CLAIM = Claim(b"k" * 16, "op-1", "d")
DONE = Done(b"k" * 16, 0, 201, b"x")


def test_a_node_starts_from_its_peers_when_the_log_is_down(world):
    """Guards against a start that waits for the end of a long log outage."""
    world.log.start_outage(world.now, 600.0)
    world.run(world.now + 3.0)
    assert restart(world, "b").catalogue_ready
    assert entries_of(world, "b") == entries_of(world, "a")


def test_a_node_without_log_and_peers_is_never_ready(world):
    """Guards against a node that serves an empty or outdated catalogue."""
    world.log.start_outage(world.now, 600.0)
    world.kill("a")
    assert not restart(world, "b", 30.0).catalogue_ready


def add_engine(world):
    identity = Identity("o", "engines", "v1")
    # The lease outlasts the test, so that only a cancel releases the memory.
    config = EngineConfig("e:1", identity, EndpointRole.DECODE, lease_s=60.0)
    engine = EngineModel(config)
    world.add_endpoint(engine, "lhr-a", "engines")
    world.run(world.now + 4.0)
    return engine, identity


def test_a_new_node_cancels_work_of_processes_that_died_before_it(world):
    """Guards against orphaned work that is never cancelled.

    That happens if no running node observed the crash of the process that owned it.
    """
    engine, identity = add_engine(world)
    for owner in (HostKey("a", 1), HostKey("b", 1)):
        engine.reserve(world.now, Work(f"x-{owner.host}", owner, identity, 0), 10)
    world.kill("b")
    world.kill("a")
    world.host_list.remove(world.now, "b")
    world.run(world.now + 2.0)
    world.restart(world.settings["a"])
    world.run(world.now + 4.0)
    assert {item.owner for item in engine.report(world.now).work} == {HostKey("b", 1)}
    # The host list lags, so a host that it lacks counts as removed after 10 s.
    world.run(world.now + 11.0)
    assert not engine.report(world.now).work


def test_only_work_of_a_dead_process_is_cancelled_and_within_three_seconds(world):
    """Guards against orphaned memory, and against cancelling a paused node's work."""
    engine, identity = add_engine(world)

    def held():
        return {item.owner for item in engine.report(world.now).work}

    engine.reserve(world.now, Work("a-1", HostKey("b", 1), identity, 0), 10)
    assert all(isinstance(item, WorkItem) for item in engine.report(world.now).work)
    world.pause("b", 1.0)
    world.run(world.now + 0.9)
    assert held() == {HostKey("b", 1)}
    world.run(world.now + 1.0)
    engine.reserve(world.now, Work("a-2", HostKey("b", 1), identity, 0), 10)
    world.kill("b")
    world.run(world.now + 3.0)
    assert held() == set()
