"""Placement policies by which each node decides alone, to compare with ``owner``."""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.events import EndpointReported, PlacementRequested
from poplarfold._internal.core.model import (
    CatalogueEntry,
    EndpointRef,
    EndpointRole,
    EntryKind,
    Placement,
)
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import health, leaving
from poplarfold._internal.core.systems.health import HealthState

__all__ = ["POLICIES", "LocalPolicy", "OwnerPolicy", "choose_locally"]


class OwnerPolicy(NamedTuple):
    """Cell owners grant leases and know all of their own grants."""


class RandomPolicy(NamedTuple):
    """Chooses a random endpoint."""


class RoundRobinPolicy(NamedTuple):
    """Chooses the endpoints in turn."""


class LeastLoadedPolicy(NamedTuple):
    """Chooses the endpoint with the lowest load in the last reports."""


class TwoChoicesPolicy(NamedTuple):
    """Chooses the less loaded of two random endpoints that do not seem full."""


class FixedPolicy(NamedTuple):
    """Gives each node a fixed share of the slots of each endpoint."""


LocalPolicy = (
    RandomPolicy | RoundRobinPolicy | LeastLoadedPolicy | TwoChoicesPolicy | FixedPolicy
)
Policy = OwnerPolicy | LocalPolicy

POLICIES: dict[str, Policy] = {
    "owner": OwnerPolicy(),
    "p2c": TwoChoicesPolicy(),
    "fixed": FixedPolicy(),
    "random": RandomPolicy(),
    "round-robin": RoundRobinPolicy(),
    "least-loaded": LeastLoadedPolicy(),
}


class Option(NamedTuple):
    """An endpoint with its reported load and the leases of this node on it."""

    ref: EndpointRef
    report: EndpointReported
    own_leases: int

    @property
    def load(self) -> tuple[float, int]:
        """Return a sort key: queued tokens plus 1000 per own lease, then busy slots."""
        return self.report.queued_tokens + 1000.0 * self.own_leases, self.report.busy


def choose_locally(
    policy: Policy,
    state: NodeState,
    now: float,
    entry: CatalogueEntry,
    event: PlacementRequested,
    leases: list[Placement],
) -> tuple[EndpointRef, EndpointRef | None] | None:
    """Return the decode (or service) and prefill endpoints, or None."""
    own: dict[EndpointRef | None, int] = {}
    for lease in leases:
        for ref in (lease.prefill, lease.decode):
            own[ref] = own.get(ref, 0) + 1
    options: dict[EndpointRole, list[Option]] = {role: [] for role in EndpointRole}
    for row in state.part(HealthState).endpoints.values():
        report, _ = health.usable_report(state, now, row)
        if report is None or report.identity != entry.identity:
            continue
        ref = EndpointRef(row.address, report.incarnation)
        allowed = event.only == ref or (
            event.only is None and ref.address not in event.excluded
        )
        if allowed and not leaving.is_leaving(state, now, ref):
            options[report.role].append(Option(ref, report, own.get(ref, 0)))
    if entry.kind is EntryKind.SERVICE:
        found = pick(policy, options[EndpointRole.SERVICE], state)
        return (found, None) if found else None
    decode = pick(policy, options[EndpointRole.DECODE], state)
    prefill = pick(policy, options[EndpointRole.PREFILL], state)
    return (decode, prefill) if decode and prefill else None


@singledispatch
def pick(
    policy: NamedTuple, options: list[Option], state: NodeState
) -> EndpointRef | None:
    """Return the endpoint that a policy chooses; a random one by default."""
    return state.rng.choice(options).ref if options else None


@pick.register
def _(
    policy: RoundRobinPolicy, options: list[Option], state: NodeState
) -> EndpointRef | None:
    state.sequence += 1
    return options[state.sequence % len(options)].ref if options else None


@pick.register
def _(
    policy: LeastLoadedPolicy, options: list[Option], state: NodeState
) -> EndpointRef | None:
    def load(option: Option) -> tuple[int, int, str]:
        report = option.report
        return report.queued_tokens, report.busy, option.ref.address

    return min(options, key=load).ref if options else None


@pick.register
def _(
    policy: TwoChoicesPolicy, options: list[Option], state: NodeState
) -> EndpointRef | None:
    free = [
        option
        for option in options
        if option.report.role is EndpointRole.PREFILL
        or max(option.report.busy, option.own_leases) < option.report.slots
    ]
    if not free:
        return None
    sample = state.rng.sample(free, min(2, len(free)))
    return min(sample, key=lambda option: option.load).ref


@pick.register
def _(
    policy: FixedPolicy, options: list[Option], state: NodeState
) -> EndpointRef | None:
    settings = state.settings
    nodes = sum(
        domain.host_slots
        for domain in settings.domains
        if domain.region == settings.region
    )
    free = [
        option
        for option in options
        if option.report.role is EndpointRole.PREFILL
        or option.own_leases < max(1, option.report.slots // max(1, nodes))
    ]
    best = min(free, key=lambda option: (option.own_leases, option.ref), default=None)
    return best.ref if best else None
