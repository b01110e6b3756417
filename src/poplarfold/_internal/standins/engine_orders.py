"""Orders to a model engine: another model or role, once its work has ended."""

from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins.engine_state import EngineState

__all__ = ["accept_order", "apply_change", "start_change"]


def accept_order(
    engine: EngineState,
    order_id: str,
    kind: str,
    fencing: int,
    identity: Identity | None,
    role: EndpointRole | None,
) -> str | None:
    """Accept or reject an order, see ``EngineModel.accept_order``."""
    if order_id in engine.order_answers:
        return engine.order_answers[order_id]
    code = None
    if fencing < engine.highest_fencing:
        if engine.config.rejects_stale_fencing:
            code = engine.refuse("stale_fencing")
        else:
            engine.stale_orders_applied += 1
    elif kind not in ("load", "role"):
        code = engine.refuse("unknown_order")
    engine.order_answers[order_id] = code
    if code is not None:
        return code
    engine.highest_fencing = max(engine.highest_fencing, fencing)
    target_identity, target_role = engine.pending_change or (
        engine.identity,
        engine.role,
    )
    if kind == "load" and identity is not None:
        target_identity = identity
    if kind == "role" and role is not None:
        target_role = role
    if (target_identity, target_role) == (engine.identity, engine.role):
        if not engine.change_started:
            engine.pending_change = None
    else:
        engine.pending_change = (target_identity, target_role)
        start_change(engine)
    return None


def start_change(engine: EngineState) -> None:
    """Start the pending change if no work is left."""
    if engine.pending_change is None or engine.change_started:
        return
    if engine.streams or engine.jobs:
        return
    engine.change_started = True
    engine.set_timer(
        engine.now + engine.config.load_duration_s * engine.slow_factor, "change", None
    )


def apply_change(engine: EngineState) -> None:
    """Switch to the identity and role of the last accepted order."""
    engine.change_started = False
    if engine.pending_change is None:
        return
    identity, engine.role = engine.pending_change
    engine.pending_change = None
    engine.orders_applied += 1
    if identity != engine.identity:
        # KV computed with other weights cannot be used.
        engine.cache.clear(engine.now)
    engine.identity = identity
