"""The systems of a node, in the order in which they see each event.

``calls`` comes first, since the others read the rows that it has just changed.
"""

from types import ModuleType

from poplarfold._internal.core.systems import (
    calls,
    catalogue,
    health,
    membership,
    placement,
    retries,
)

__all__ = ["ALL_SYSTEMS"]

ALL_SYSTEMS: tuple[ModuleType, ...] = (
    calls,
    membership,
    catalogue,
    health,
    placement,
    retries,
)
