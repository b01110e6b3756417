"""The systems of a node, in the order in which they handle each event.

``calls`` comes first, because the others read the rows that it updates.
``membership`` comes before ``health``, which needs the cell owners.
"""

from types import ModuleType

from poplarfold._internal.core.systems import (
    admission,
    calls,
    catalogue,
    checkpoints,
    claims,
    health,
    leaving,
    limits,
    membership,
    orders,
    placement,
    recovery,
    retries,
)

__all__ = ["ALL_SYSTEMS", "DECISION_SYSTEMS"]

ALL_SYSTEMS: tuple[ModuleType, ...] = (
    calls,
    checkpoints,
    catalogue,
    claims,
    membership,
    health,
    recovery,
    leaving,
    limits,
    admission,
    placement,
    retries,
    orders,
)

# The systems that place calls, without those that read or write the log.
DECISION_SYSTEMS: tuple[ModuleType, ...] = (
    calls,
    membership,
    health,
    leaving,
    limits,
    admission,
    placement,
    retries,
)
