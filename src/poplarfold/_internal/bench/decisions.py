"""Measures processor time per placement decision by number of endpoints.

One node receives the whole host list, owns its share of the cells and places
calls in them. The endpoints exist only as reports, so the figures cover the core
alone.
"""

import time
from typing import Any

from poplarfold._internal.bench.deployments import CAPTIONS, DESIGN_LLM
from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.events import (
    AttemptEnded,
    CallArrived,
    EndpointReported,
    HostListReceived,
    HostListRow,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import (
    DECISION_SYSTEMS,
    health,
)
from poplarfold._internal.core.systems.calls import attempt_of_lease
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.utils.rendezvous import choose_host

__all__ = ["decision_cost"]

DOMAINS = 21
NODES_PER_ENDPOINT = 0.1
CALLS = 2000
START_S = 2.0


def decision_cost(endpoints: int, seed: int = 1) -> dict[str, Any]:
    """Place CALLS calls on one node of a fleet with ``endpoints`` endpoints."""
    domains = max(1, min(DOMAINS, endpoints // 20))
    nodes = max(1, round(endpoints * NODES_PER_ENDPOINT / domains))
    names = [f"domain-{number}" for number in range(domains)]
    settings = tuple(DomainSettings(name, "west", nodes) for name in names)
    rows = [
        HostListRow(
            f"e{number}", f"e{number}:80", "endpoint", names[number % domains],
            DESIGN_LLM.service, False,
        )
        for number in range(endpoints)
    ]  # fmt: skip
    rows += [
        HostListRow(f"{name}-{slot}", f"{name}-{slot}:80", "entry", name, "", False)
        for name in names
        for slot in range(nodes)
    ]
    # Measures the node that owns the first cell of its domain.
    hosts = [f"{names[0]}-{slot}" for slot in range(nodes)]
    host = choose_host(Cell(names[0], DESIGN_LLM.service, 0).key, hosts) or hosts[0]
    node = Node(NodeSettings(host, names[0], settings), 1, seed, DECISION_SYSTEMS)
    node.state.entries.put("captions", CAPTIONS.entry)
    node.state.catalogue_ready = True
    node.step(0.0, [HostListReceived(1, tuple(rows))])
    # A new node takes ownership of cells only some time after its first host list.
    node.step(START_S - 0.1, [])
    owned = sorted(node.state.part(health.HealthState).polled)
    reports = []
    for number, address in enumerate(owned):
        role = EndpointRole.DECODE if number % 2 else EndpointRole.PREFILL
        reports.append(
            EndpointReported(
                address,
                1,
                DESIGN_LLM,
                role,
                20,
                0,
                0,
                2000,
                2000,
                False,
                True,
                False,
                (),
                0,
            )
        )
    node.step(START_S, reports)
    placed = 0
    started = time.process_time()
    for number in range(CALLS):
        now = START_S + number * 0.001
        call_id = f"c{number}"
        arrival = CallArrived(
            call_id, "a", "captions", True, 500, 2000, ("p",), 10, now + 30.0
        )
        node.step(now, [arrival])
        call = node.state.calls.get(call_id)
        if call is not None and call.attempt_id is not None:
            placed += 1
            placement = node.state.attempts[call.attempt_id].placement
            ended = AttemptEnded(attempt_of_lease(placement.lease_id), None, True, 10)
            node.step(now, [ended])
    cpu_s = time.process_time() - started
    return {
        "endpoints": endpoints,
        "own_endpoints": len(owned),
        "placed": placed,
        "microseconds_per_call": round(1e6 * cpu_s / CALLS, 1),
    }
