"""Calls of streams, without a caller, as far as the wait for a slot needs them."""

import threading
from types import SimpleNamespace

from poplarfold._internal.core.fleet.rows import CallKind, Route, WeightedService
from poplarfold._internal.gateway.fleet import Fleet

SERVICE = "llm"
TIMEOUT_S = 14.0


def ignore(*_: object, **__: object) -> None:
    """Take the place of a log or metric."""


METRICS = SimpleNamespace(count_stream_refusal=ignore, observe_wait=ignore)


def call_context(
    fleet: Fleet, now: float, deadline_at: float, target_s: float
) -> SimpleNamespace:
    """Return what ``SlotTurn`` needs of a call that has just arrived."""
    route = Route(
        "r", "h", "/", CallKind.STREAM, (WeightedService(SERVICE, 1.0),), TIMEOUT_S,
        target_s, 2, True, True,
    )  # fmt: skip
    return SimpleNamespace(
        services=SimpleNamespace(fleet=fleet, metrics=METRICS), route=route,
        service=SERVICE, arrived_at=now, deadline_at=deadline_at, priority=None,
        caller_gone=threading.Event(), log=ignore,
    )  # fmt: skip
