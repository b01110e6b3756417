"""The usable endpoints of a cell and their free capacity during a plan."""

from typing import NamedTuple

from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.events import EndpointReported
from poplarfold._internal.core.messages import PlaceWanted
from poplarfold._internal.core.model import EndpointRef, EndpointRole, Identity
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import health, leaving
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    decode_load_of,
    prefill_load_of,
)
from poplarfold._internal.core.systems.health import HealthState

__all__ = [
    "Candidate",
    "Pool",
    "is_allowed",
    "pool_for",
]


class Candidate(NamedTuple):
    """A usable endpoint with its latest report."""

    ref: EndpointRef
    report: EndpointReported


class Pool:
    """The usable endpoints of one identity in a cell, while a plan is made.

    ``free_at`` holds the planned end of each prefill engine's work, and ``slots``
    and ``pieces`` the free slots and pieces of each decode or service endpoint.
    ``releases`` holds the predicted times at which further slots become free, and
    ``skipped`` the endpoints left out, each with the reason.
    """

    def __init__(self) -> None:
        self.prefills: list[Candidate] = []
        self.decodes: list[Candidate] = []
        self.services: list[Candidate] = []
        self.free_at: dict[EndpointRef, float] = {}
        self.slots: dict[EndpointRef, int] = {}
        self.pieces: dict[EndpointRef, int] = {}
        self.releases: list[float] = []
        self.skipped: list[tuple[str, str]] = []

    def copy(self) -> "Pool":
        """Return a copy for trial reservations."""
        other = Pool()
        other.prefills, other.decodes = self.prefills, self.decodes
        other.free_at = dict(self.free_at)
        other.slots = dict(self.slots)
        other.pieces = dict(self.pieces)
        other.releases = list(self.releases)
        return other


def pool_for(state: NodeState, now: float, cell: Cell, identity: Identity) -> Pool:
    """Return the endpoints of a cell that serve exactly ``identity``."""
    part = state.part(AdmissionState)
    endpoints = state.part(HealthState)
    pool = Pool()
    for address in endpoints.cells.get(cell, ()):
        row = endpoints.endpoints[address]
        report, reason = health.usable_report(state, now, row)
        if report is None:
            pool.skipped.append((address, reason))
            continue
        if report.identity != identity:
            pool.skipped.append((address, "other identity"))
            continue
        ref = EndpointRef(address, report.incarnation)
        if leaving.is_leaving(state, now, ref):
            pool.skipped.append((address, "leaving"))
            continue
        if ref in part.draining_for_order:
            pool.skipped.append((address, "emptied for an order"))
            continue
        candidate = Candidate(ref, report)
        probation = health.is_on_probation(state, ref)
        if report.role is EndpointRole.PREFILL:
            load = prefill_load_of(part, ref, identity)
            if probation and load.pending:
                pool.skipped.append((address, "on probation and in use"))
                continue
            pool.free_at[ref] = load.free_at(now)
            pool.prefills.append(candidate)
            continue
        decode = decode_load_of(part, ref)
        slots = 1 if probation else report.slots
        pool.slots[ref] = slots - decode.used_slots(now)
        pool.pieces[ref] = report.pieces_total - decode.pieces - decode.foreign_pieces
        if report.role is EndpointRole.DECODE:
            pool.decodes.append(candidate)
            pool.releases.extend(max(now, at) for at in decode.leases.values())
        else:
            pool.services.append(candidate)
    pool.releases.sort()
    return pool


def is_allowed(request: PlaceWanted, ref: EndpointRef) -> bool:
    """Return whether the request allows an endpoint."""
    if request.only is not None:
        return ref == request.only
    return ref.address not in request.excluded
