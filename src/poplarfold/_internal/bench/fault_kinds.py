"""Faults of nodes, links, the log and endpoints, of which a run draws random ones."""

from collections.abc import Callable
from typing import Any

from poplarfold._internal.bench.fault_bench import FaultBench
from poplarfold._internal.bench.fault_simulation import PLATFORM, entry_host_row
from poplarfold._internal.standins.engine_model import EngineModel
from poplarfold._internal.standins.service_model import ServiceModel

__all__ = ["FAULTS", "next_fault"]

MEAN_FAULT_INTERVAL_S = 20.0


def next_fault(bench: FaultBench) -> None:
    """Inject one or two faults at the same time and schedule the next ones."""
    simulation = bench.simulation
    if simulation.now >= bench.end_at:
        return
    for _ in range(1 + (bench.rng.random() < 0.5)):
        kind = bench.rng.choice(bench.run.kinds)
        bench.faults[kind] += 1
        FAULTS[kind](bench)
    simulation.schedule(
        simulation.now + bench.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S),
        next_fault,
        bench,
    )


def mark_affected(bench: FaultBench, domain: str, seconds: float) -> None:
    """Record that processes of a domain are affected for some time."""
    until = bench.simulation.now + seconds
    bench.affected_until[domain] = max(until, bench.affected_until.get(domain, 0.0))


def random_node(bench: FaultBench) -> str:
    return bench.rng.choice(list(bench.settings))


def node_death(bench: FaultBench) -> None:
    """Crash a node, at times unlist its host, and restart it later."""
    name = random_node(bench)
    host = bench.simulation.nodes[name]
    if not host.is_alive:
        return
    bench.simulation.crash(name)
    downtime_s = bench.rng.uniform(0.2, 20.0)
    mark_affected(bench, host.domain, downtime_s + 10.0)
    if bench.rng.random() < 0.3:
        bench.simulation.host_list.remove(bench.simulation.now, name)
    bench.simulation.schedule(
        bench.simulation.now + downtime_s, restart_node, bench, name
    )


def restart_node(bench: FaultBench, name: str) -> None:
    """Restart a node's process and measure the time until it is ready."""
    row = entry_host_row(name, bench.settings[name].domain)
    bench.simulation.host_list.put(bench.simulation.now, row)
    bench.simulation.restart(bench.settings[name])
    await_ready(bench, name, bench.simulation.now)


def await_ready(bench: FaultBench, name: str, since: float) -> None:
    """Record how long a new process takes to become ready, polling for it."""
    host = bench.simulation.nodes[name]
    if not host.is_alive or host.is_paused:
        return
    waited_s = bench.simulation.now - since
    if host.node.state.catalogue_ready:
        bench.ready_s.append(waited_s)
    elif waited_s < 60.0:
        bench.simulation.schedule(
            bench.simulation.now + 0.05, await_ready, bench, name, since
        )
    else:
        bench.ready_timeouts += 1


def pause(bench: FaultBench) -> None:
    """Suspend a node's process for some time."""
    name = random_node(bench)
    seconds = bench.rng.uniform(0.5, 30.0)
    mark_affected(bench, bench.settings[name].domain, seconds + 10.0)
    bench.simulation.pause(name, seconds)


def partition(bench: FaultBench) -> None:
    """Cut two domains off from each other."""
    one, other = bench.rng.sample([d.name for d in bench.deployment.domains], 2)
    bench.simulation.cut(one, other, bench.rng.uniform(2.0, 90.0))


def platform_partition(bench: FaultBench) -> None:
    """Cut a domain off from the log and the host list, and sometimes from all other
    domains.
    """
    domain = bench.rng.choice(bench.deployment.domains).name
    seconds = bench.rng.uniform(2.0, 90.0)
    bench.simulation.cut(domain, PLATFORM, seconds)
    if bench.rng.random() < 0.5:
        for other in bench.deployment.domains:
            if other.name != domain:
                bench.simulation.cut(domain, other.name, seconds)


def log_outage(bench: FaultBench) -> None:
    """Make the log return only errors for some time."""
    seconds = bench.rng.choice((5.0, 30.0, 180.0)) * bench.rng.random()
    bench.simulation.log.start_outage(bench.simulation.now, seconds)


def slow_log(bench: FaultBench) -> None:
    """Delay the log's responses."""
    bench.simulation.log.slow_s = bench.rng.uniform(0.1, 2.0)
    seconds = bench.rng.uniform(5.0, 60.0)
    bench.simulation.schedule(bench.simulation.now + seconds, end_slow_log, bench)


def end_slow_log(bench: FaultBench) -> None:
    bench.simulation.log.slow_s = 0.0


def lost_answers(bench: FaultBench) -> None:
    """Lose the responses to the next few appends."""
    bench.simulation.log.lose_append_answers(bench.rng.randint(1, 5))


def silent_connection(bench: FaultBench) -> None:
    """Drop the messages on the connection of two nodes until it is replaced."""
    one, other = bench.rng.sample(list(bench.settings), 2)
    for name in (one, other):
        mark_affected(bench, bench.settings[name].domain, 8.0)
    # The peer link's heartbeat replaces a connection after at most 6 s.
    bench.simulation.drop_messages(one, other, 6.0)


def stalled_transfer(bench: FaultBench) -> None:
    """Stall the KV transfers of an engine."""
    model = random_endpoint(bench, EngineModel)
    if isinstance(model, EngineModel):
        mark_affected(bench, bench.simulation.endpoints[model.address].domain, 10.0)
        model.stall_transfers(bench.simulation.now, bench.rng.uniform(0.5, 3.0))


def random_endpoint(bench: FaultBench, kind: type[Any] = object) -> Any:
    found = [
        endpoint.model
        for endpoint in bench.simulation.endpoints.values()
        if endpoint.is_alive and isinstance(endpoint.model, kind)
    ]
    return bench.rng.choice(found) if found else None


def endpoint_restart(bench: FaultBench) -> None:
    """Restart an endpoint process at the same address."""
    model = random_endpoint(bench)
    if model is None:
        return
    domain = bench.simulation.endpoints[model.address].domain
    seconds = bench.rng.uniform(0.1, 5.0)
    mark_affected(bench, domain, seconds + 30.0)
    if isinstance(model, ServiceModel):
        model.crash(bench.simulation.now)
    bench.simulation.crash_endpoint(model.address)
    bench.simulation.incarnation += 1
    bench.simulation.schedule(
        bench.simulation.now + seconds,
        bench.simulation.restart_endpoint,
        model.address,
        bench.simulation.incarnation,
    )


def endpoint_leaving(bench: FaultBench) -> None:
    """Make an endpoint announce that it is leaving, and replace it later."""
    model = random_endpoint(bench)
    if model is None or model.leaving_since is not None:
        return
    mark_affected(bench, bench.simulation.endpoints[model.address].domain, 50.0)
    model.start_leaving(bench.simulation.now)
    bench.simulation.host_list.leave(bench.simulation.now, model.address)
    bench.simulation.schedule(
        bench.simulation.now + 20.0, replace_leaving, bench, model
    )


def replace_leaving(bench: FaultBench, model: Any) -> None:
    """Replace a leaving endpoint with a new process."""
    if bench.simulation.endpoints[model.address].model is not model:
        return
    bench.update_late_work(model)
    bench.simulation.crash_endpoint(model.address)
    bench.simulation.incarnation += 1
    bench.simulation.restart_endpoint(model.address, bench.simulation.incarnation)


FAULTS: dict[str, Callable[[FaultBench], None]] = {
    "node_death": node_death,
    "pause": pause,
    "partition": partition,
    "platform_partition": platform_partition,
    "log_outage": log_outage,
    "slow_log": slow_log,
    "lost_answers": lost_answers,
    "silent_connection": silent_connection,
    "stalled_transfer": stalled_transfer,
    "endpoint_restart": endpoint_restart,
    "endpoint_leaving": endpoint_leaving,
}
