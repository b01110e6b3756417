"""Cells: groups of about ten endpoints of one service in one failure domain.

Each cell is owned by one node of the domain, which grants leases on the cell's
endpoints. Each node computes the owner from the live nodes by rendezvous
hashing, without consensus. Two owners during a partition are harmless, because
engines reject work beyond their capacity.
"""

from collections.abc import Iterable
from typing import NamedTuple

from poplarfold._internal.core.state import NodeState
from poplarfold._internal.utils.rendezvous import choose_host

__all__ = ["CELL_SIZE_TARGET", "Cell", "cell_count", "cell_of", "owner_of"]

CELL_SIZE_TARGET = 10


class Cell(NamedTuple):
    """Cell ``number`` of one service in one failure domain."""

    domain: str
    service: str
    number: int

    @property
    def key(self) -> str:
        """Return the key for rendezvous hashing and lease records."""
        return f"{self.domain}/{self.service}/{self.number}"


def cell_count(endpoints: int) -> int:
    """Return the number of cells for a number of endpoints."""
    return max(1, -(-endpoints // CELL_SIZE_TARGET))


def cell_of(domain: str, service: str, address: str, count: int) -> Cell:
    """Return the cell of an endpoint, out of ``count`` cells of its service.

    Few endpoints change cells when ``count`` changes.
    """
    if count == 1:
        return Cell(domain, service, 0)
    indices: Iterable[str] = (str(index) for index in range(count))
    return Cell(domain, service, int(choose_host(address, indices) or 0))


def owner_of(state: NodeState, cell: Cell) -> str | None:
    """Return the node that owns ``cell``, or None if its domain has no live node."""
    # Imported here because the systems import this module.
    from poplarfold._internal.core.systems.membership import live_hosts

    return choose_host(cell.key, live_hosts(state, cell.domain))
