"""The systems of a node, in the order in which they see each event.

``calls`` comes before ``retries``, which decides on the attempt that ``calls``
has just closed.
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
