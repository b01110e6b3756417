"""The two sample deployments: sizes, entries and generated calls."""

import random
from typing import NamedTuple

from poplarfold._internal.core.events import CallArrived
from poplarfold._internal.core.model import (
    PREFIX_BLOCK_TOKENS,
    CallClass,
    CatalogueEntry,
    EndpointRole,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.settings import DomainSettings

__all__ = ["DEPLOYMENTS", "Deployment", "PlannedCall", "Workload", "plan_calls"]

BYTES_PER_TOKEN = 4


class Workload(NamedTuple):
    """The distribution of the calls of one entry.

    Prompt lengths follow a log-normal distribution with median ``prompt_tokens``
    and ``sigma``, capped at ``prompt_max``. The first ``shared_blocks`` blocks of
    each prompt are one of ``shared_variants`` common prefixes. The number of
    outputs is uniform in the range ``outputs``. ``share`` is the fraction of the
    engines' capacity that the entry uses at load 1, or the calls per second of a
    plain service.
    """

    entry: CatalogueEntry
    accounts: tuple[str, ...]
    prompt_tokens: int
    sigma: float
    prompt_max: int
    shared_blocks: int
    shared_variants: int
    outputs: tuple[int, int]
    share: float
    deadline_s: float


class Deployment(NamedTuple):
    """Domains, endpoints as (domain, role, identity), and workloads."""

    name: str
    domains: tuple[DomainSettings, ...]
    caller_delay_s: float
    endpoints: tuple[tuple[str, EndpointRole, Identity], ...]
    workloads: tuple[Workload, ...]


class PlannedCall(NamedTuple):
    """A scheduled call, its entry node and the caller's hang-up time, if any."""

    at: float
    domain: str
    slot: int
    arrival: CallArrived
    workload: Workload
    hang_up_after_s: float | None


def make_engines(
    identity: Identity, sizes: dict[str, tuple[int, int]]
) -> tuple[tuple[str, EndpointRole, Identity], ...]:
    """Return the engines for the (prefill, decode) counts of each domain."""
    rows = []
    for domain, (prefills, decodes) in sizes.items():
        rows += [(domain, EndpointRole.PREFILL, identity)] * prefills
        rows += [(domain, EndpointRole.DECODE, identity)] * decodes
    return tuple(rows)


ABSTRACTOR = Identity("association", "abstractor", "sha256:a1")
OTHER_ABSTRACTOR = Identity("glasscairn", "abstractor", "sha256:b1")
REGISTRY = Identity("association", "registry", "sha256:a2")
DESIGN_LLM = Identity("glasscairn", "design-llm", "sha256:c1")
OTHER_DESIGN_LLM = Identity("association", "design-llm", "sha256:d1")
ORDER_DESK = Identity("glasscairn", "order-desk", "sha256:c2")

ABSTRACTS = Workload(
    CatalogueEntry(
        "abstracts",
        EntryKind.MODEL,
        ABSTRACTOR,
        CallClass.PATIENT,
        LatencyTargets(30.0, 0.029),
        EntryLimits(),
    ),
    ("north", "south", "east"),
    prompt_tokens=7000,
    sigma=0.7,
    prompt_max=50_000,
    shared_blocks=4,
    shared_variants=6,
    outputs=(150, 350),
    share=1.0,
    deadline_s=90.0,
)
CAPTIONS = Workload(
    CatalogueEntry(
        "captions",
        EntryKind.MODEL,
        DESIGN_LLM,
        CallClass.INTERACTIVE,
        LatencyTargets(0.46, 0.029),
        EntryLimits(),
    ),
    ("studio-1", "studio-2", "studio-3"),
    prompt_tokens=3500,
    sigma=0.5,
    prompt_max=12_000,
    shared_blocks=3,
    shared_variants=6,
    outputs=(50, 110),
    share=1.0,
    deadline_s=30.0,
)


def make_lookups(identity: Identity) -> Workload:
    """Return the workload of lookups at a plain service."""
    return Workload(
        CatalogueEntry(
            "lookups",
            EntryKind.SERVICE,
            identity,
            CallClass.INTERACTIVE,
            LatencyTargets(0.1, 1.0),
            EntryLimits(),
        ),
        ("studio-1", "studio-2"),
        prompt_tokens=50,
        sigma=0.3,
        prompt_max=500,
        shared_blocks=0,
        shared_variants=1,
        outputs=(1, 1),
        share=20.0,
        deadline_s=5.0,
    )


ASSOCIATION_ENGINES = {"lhr-a": (2, 2), "lhr-b": (1, 2), "khi-a": (1, 2)}
GLASSCAIRN_ENGINES = {"galway-a": (1, 1), "galway-b": (1, 1), "dublin-a": (1, 1)}

DEPLOYMENTS = {
    "association": Deployment(
        "association",
        (
            DomainSettings("lhr-a", "lahore", 3),
            DomainSettings("lhr-b", "lahore", 3),
            DomainSettings("khi-a", "karachi", 3),
        ),
        0.003,
        make_engines(ABSTRACTOR, ASSOCIATION_ENGINES)
        + make_engines(OTHER_ABSTRACTOR, {"lhr-a": (1, 1), "khi-a": (1, 1)})
        + tuple(
            (domain, EndpointRole.SERVICE, REGISTRY) for domain in ASSOCIATION_ENGINES
        ),
        (ABSTRACTS, make_lookups(REGISTRY)),
    ),
    "glasscairn": Deployment(
        "glasscairn",
        (
            DomainSettings("galway-a", "west", 2),
            DomainSettings("galway-b", "west", 2),
            DomainSettings("dublin-a", "east", 2),
        ),
        0.001,
        make_engines(DESIGN_LLM, GLASSCAIRN_ENGINES)
        + make_engines(OTHER_DESIGN_LLM, {"galway-a": (1, 1), "dublin-a": (1, 1)})
        + tuple(
            (domain, EndpointRole.SERVICE, ORDER_DESK) for domain in GLASSCAIRN_ENGINES
        ),
        (CAPTIONS, make_lookups(ORDER_DESK)),
    ),
}


def plan_calls(
    deployment: Deployment,
    rates: dict[str, float],
    seconds: float,
    hang_up_share: float,
    rng: random.Random,
) -> list[PlannedCall]:
    """Return the calls of a run, ordered by time, with Poisson arrivals."""
    planned = []
    for workload in deployment.workloads:
        at = 0.0
        number = 0
        while True:
            at += rng.expovariate(rates[workload.entry.name])
            if at >= seconds:
                break
            number += 1
            domain = rng.choice(deployment.domains)
            arrival = plan_arrival(workload, number, at, rng)
            hangs_up = rng.random() < hang_up_share
            hang_up_after_s = rng.expovariate(0.5) if hangs_up else None
            slot = rng.randrange(domain.host_slots)
            planned.append(
                PlannedCall(at, domain.name, slot, arrival, workload, hang_up_after_s)
            )
    return sorted(planned, key=lambda call: (call.at, call.arrival.call_id))


def plan_arrival(
    workload: Workload, number: int, at: float, rng: random.Random
) -> CallArrived:
    """Return one call, sampled from the workload's distributions."""
    name = workload.entry.name
    sampled_tokens = int(
        rng.lognormvariate(0.0, workload.sigma) * workload.prompt_tokens
    )
    shared = workload.shared_blocks * PREFIX_BLOCK_TOKENS
    tokens = min(
        workload.prompt_max, max(16, sampled_tokens, shared + 16 if shared else 16)
    )
    variant = rng.randrange(workload.shared_variants)
    prefixes = []
    if workload.entry.kind is EntryKind.MODEL:
        for block in range(tokens // PREFIX_BLOCK_TOKENS):
            prefix_group = (
                f"v{variant}" if block < workload.shared_blocks else f"c{number}"
            )
            prefixes.append(f"{name}-{prefix_group}-{block}")
    return CallArrived(
        call_id=f"{name}-{number}",
        account=rng.choice(workload.accounts),
        entry=name,
        is_model_call=workload.entry.kind is EntryKind.MODEL,
        prompt_tokens=tokens,
        prompt_bytes=tokens * BYTES_PER_TOKEN,
        prefixes=tuple(prefixes),
        max_outputs=rng.randint(*workload.outputs),
        deadline=at + workload.deadline_s,
    )
