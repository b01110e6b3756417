"""Host list stand-in, which serves a ``HostListModel`` over ``GET /hosts``."""

from poplarfold._internal.core.events import HostListRow
from poplarfold._internal.standins.host_list_model import HostListModel
from poplarfold._internal.standins.http_server import (
    Reply,
    Request,
    ServerLoop,
    StandIn,
)

__all__ = ["HostListStandIn"]


class HostListStandIn(StandIn):
    """The host list on a loopback port."""

    kind = "host_list"
    faults = StandIn.faults + ("lag", "put_host", "leave_host", "remove_host")

    def __init__(
        self,
        server: ServerLoop,
        lag_s: float = 1.0,
        hosts: tuple[HostListRow, ...] = (),
        port: int = 0,
    ) -> None:
        self.model = HostListModel(lag_s, hosts)
        super().__init__(server, port)

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer with the version of the list that is visible now."""
        if (request.method, request.path) != ("GET", "/hosts"):
            reply.json(404, {"code": "not_found"})
            return
        listed = self.model.listed(self.now())
        hosts = [
            {
                "host": row.host,
                "address": row.address,
                "kind": row.kind,
                "domain": row.domain,
                "service": row.service,
                "state": "leaving" if row.leaving else "live",
            }
            for row in listed.hosts
        ]
        reply.json(200, {"version": listed.version, "hosts": hosts})

    def lag(self, seconds: float) -> None:
        """Make each version visible only after ``seconds``."""

        def run() -> None:
            self.model.lag_s = seconds

        self.apply_fault("lag", run)

    def put_host(
        self,
        host: str,
        address: str,
        kind: str,
        domain: str,
        service: str = "",
        leaving: bool = False,
    ) -> None:
        """Add or replace a host."""
        row = HostListRow(host, address, kind, domain, service, leaving)
        self.server.call(lambda: self.model.put(self.now(), row))

    def leave_host(self, host: str) -> None:
        """Mark a host as leaving."""
        self.server.call(lambda: self.model.leave(self.now(), host))

    def remove_host(self, host: str) -> None:
        """Remove a host from the list."""
        self.server.call(lambda: self.model.remove(self.now(), host))

    def collect_counters(self) -> dict[str, object]:
        """Return the counters."""
        return {**super().collect_counters(), **self.model.counters()}
