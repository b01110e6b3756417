"""Cells: the endpoints of one service in one failure domain, at most ten each.

One node of the domain owns a cell and grants leases on its endpoints. The
owner follows from the live nodes by rendezvous hashing, without agreement:
two owners during a partition are harmless, as engines refuse the excess.
"""

from collections.abc import Iterable
from typing import NamedTuple

from poplarfold._internal.core.state import NodeState
from poplarfold._internal.utils.rendezvous import choose

__all__ = ["CELL_SIZE_MAX", "Cell", "cell_count", "cell_of", "owner_of"]

CELL_SIZE_MAX = 10


class Cell(NamedTuple):
    """Part ``number`` of the endpoints of one service in one failure domain."""

    domain: str
    service: str
    number: int

    @property
    def key(self) -> str:
        """Return the key for rendezvous hashing and lease records."""
        return f"{self.domain}/{self.service}/{self.number}"


def cell_count(endpoints: int) -> int:
    """Return how many cells ``endpoints`` endpoints form."""
    return max(1, -(-endpoints // CELL_SIZE_MAX))


def cell_of(domain: str, service: str, address: str, count: int) -> Cell:
    """Return the cell of an endpoint; few endpoints move if ``count`` changes."""
    if count == 1:
        return Cell(domain, service, 0)
    indices: Iterable[str] = (str(index) for index in range(count))
    return Cell(domain, service, int(choose(address, indices) or 0))


def owner_of(state: NodeState, cell: Cell) -> str | None:
    """Return the node that owns ``cell``, or None if its domain has none."""
    # The systems import this module, so it can't import them at its top.
    from poplarfold._internal.core.systems.membership import live_hosts

    return choose(cell.key, live_hosts(state, cell.domain))
