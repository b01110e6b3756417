"""The systems of a node, in the order in which they see each event."""

from types import ModuleType

from poplarfold._internal.core.systems import calls, catalogue, membership

__all__ = ["ALL_SYSTEMS"]

ALL_SYSTEMS: tuple[ModuleType, ...] = (calls, membership, catalogue)
