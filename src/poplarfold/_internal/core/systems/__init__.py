"""The systems of a node, in the order in which they see each event.

``calls`` comes first, since the others read the rows that it has just changed.
``membership`` comes before ``health``, which needs the owners of the cells.
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

# Those that place calls, without the ones that read or write the log.
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
