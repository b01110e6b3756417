"""Simulation of the platform's list of live and leaving hosts, with a lag.

>>> hosts = HostListModel(lag_s=1.0)
>>> hosts.put(5.0, HostListRow("h1", "127.0.0.1:1", "entry", "lhr-a", "", False))
>>> len(hosts.listed(5.5).hosts), len(hosts.listed(6.0).hosts)
(0, 1)
"""

from collections import deque

from poplarfold._internal.core.events import HostListReceived, HostListRow

__all__ = ["HostListModel"]


class HostListModel:
    """The current hosts, and versions of the list that readers see with a lag."""

    def __init__(self, lag_s: float = 1.0, hosts: tuple[HostListRow, ...] = ()) -> None:
        self.lag_s = lag_s
        self.version = 1
        self.hosts = {row.host: row for row in hosts}
        self.versions: deque[tuple[float, HostListReceived]] = deque()
        first = HostListReceived(self.version, tuple(self.hosts.values()))
        self.versions.append((float("-inf"), first))
        self.reads = 0

    def put(self, now: float, row: HostListRow) -> None:
        """Add or replace a host."""
        self.hosts[row.host] = row
        self.publish(now)

    def leave(self, now: float, host: str) -> None:
        """Mark a host as leaving."""
        row = self.hosts.get(host)
        if row is not None and not row.leaving:
            self.put(now, row._replace(leaving=True))

    def remove(self, now: float, host: str) -> None:
        """Remove a host from the list."""
        if self.hosts.pop(host, None) is not None:
            self.publish(now)

    def publish(self, now: float) -> None:
        """Add a version of the list, which becomes visible after the lag."""
        self.version += 1
        listed = HostListReceived(self.version, tuple(self.hosts.values()))
        self.versions.append((now, listed))

    def listed(self, now: float) -> HostListReceived:
        """Return the newest version that is at least ``lag_s`` old."""
        self.reads += 1
        while len(self.versions) > 1 and self.versions[1][0] + self.lag_s <= now:
            self.versions.popleft()
        return self.versions[0][1]

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values."""
        return {"version": self.version, "hosts": len(self.hosts), "reads": self.reads}
