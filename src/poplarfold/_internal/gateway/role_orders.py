"""A thread that has engines change their role when the pools do not match."""

import json
import threading

from poplarfold._internal.core.fleet.order_lease import FIRST_FENCE, OrderLease
from poplarfold._internal.core.fleet.roles import RoleChange, plan_role_changes
from poplarfold._internal.core.fleet.rows import Service
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.logs.writer import LogWriter
from poplarfold._internal.platform import EngineCalls, OrderRequest, StoreClient

__all__ = ["RoleOrders"]

LOG_TOPIC = "poplarfold.orders"
LOOK_PERIOD_S = 1.0
# A mismatch has to last: endpoints that restart are back within seconds, and an
# engine that changes its role serves nothing for seconds.
NEED_LASTS_S = 1.0
NEED_LASTS_UNDER_LOAD_S = 3.0
# Nodes that see the same need ask at different times, so that one claim is
# enough.
JITTER_S = 1.0
# Others see the changed role in the endpoint's next heartbeat.
QUIET_AFTER_LEASE_S = 6.0
CLAIM_USE_S = 1.0
ORDER_TIMEOUT_S = 0.8


class RoleOrders:
    """Plans and gives orders for one node; the store decides which node may order."""

    def __init__(
        self,
        fleet: Fleet,
        store: StoreClient,
        engines: EngineCalls,
        write_log: LogWriter,
    ) -> None:
        self.fleet = fleet
        self.store = store
        self.engines = engines
        self.write_log = write_log
        quiet_s = fleet.host.bounds.lease_s + QUIET_AFTER_LEASE_S
        self.lease = OrderLease(quiet_s, CLAIM_USE_S)
        self.needed_since: float | None = None
        self.pause_s = 0.0
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("role-orders", self.run, self.write_log)

    def run(self) -> None:
        """Look for a mismatch until the process ends."""
        while not self.stopping.wait(LOOK_PERIOD_S):
            self.look()

    def look(self) -> None:
        """Order one change if it is needed for long enough and may be claimed."""
        now = self.fleet.clock()
        if not self.plan():
            self.needed_since = None
            return
        if self.needed_since is None:
            self.needed_since = now
            is_loaded = self.fleet.cost.is_learned
            lasts_s = NEED_LASTS_UNDER_LOAD_S if is_loaded else NEED_LASTS_S
            self.pause_s = lasts_s + JITTER_S * self.fleet.rng.random()
        # While another claim holds, a read of the log would tell nothing new.
        if now - self.needed_since < self.pause_s or not self.lease.may_claim(now):
            return
        if not self.read_end():
            return
        if not self.lease.may_claim(self.fleet.clock()):
            return
        self.claim_and_order()

    def plan(self) -> list[RoleChange]:
        """Return the changes that are wanted, over all services."""
        with self.fleet.lock:
            directory = self.fleet.directory
            table = directory.table
            if table is None or not directory.is_store_settled(self.fleet.clock()):
                return []
            return [
                change
                for service in table.services.values()
                if service.has_engines
                for change in self.plan_service(service)
            ]

    def plan_service(self, service: Service) -> list[RoleChange]:
        """Return changes among one service's engines. The lock must be held."""
        engines = [
            row
            for role in (EndpointRole.PREFILL, EndpointRole.DECODE)
            for row in self.fleet.directory.usable(service.name, role)
        ]
        return plan_role_changes(engines, service, self.fleet.cost)

    def read_end(self) -> bool:
        """Read the log of orders on; return whether the store answered."""
        end = self.store.read_end(LOG_TOPIC, self.lease.end, ORDER_TIMEOUT_S)
        if end.is_err():
            problem = str(end.unwrap_err())
            self.write_log("PF3502", None, {"problem": problem})
            return False
        self.lease = self.lease.note_end(end.unwrap(), self.fleet.clock())
        return True

    def claim_and_order(self) -> None:
        """Claim the right to order, plan anew and give the order."""
        claimed_at = self.fleet.clock()
        record = json.dumps({"host": self.fleet.host.host}).encode()
        result = self.store.append_at(
            LOG_TOPIC, self.lease.end, record, ORDER_TIMEOUT_S
        )
        if result.is_err():
            # The record may be in the log all the same: the next read tells.
            problem = str(result.unwrap_err())
            self.write_log("PF3502", None, {"problem": problem})
            return
        fence = result.unwrap() + FIRST_FENCE
        self.lease = self.lease.note_end(result.unwrap() + 1, self.fleet.clock())
        for change in self.plan():
            self.order(change, fence, claimed_at)
        self.needed_since = None

    def order(self, change: RoleChange, fence: int, claimed_at: float) -> None:
        """Give one order under a claim that is still fresh."""
        endpoint = change.endpoint
        seen = self.engines.accepted_orders(
            endpoint.address, endpoint.endpoint_id, ORDER_TIMEOUT_S
        )
        if seen is None or not self.lease.may_order(claimed_at, self.fleet.clock()):
            problem = f"{endpoint.endpoint_id} is busy, or the claim is too old"
            self.write_log("PF3502", None, {"problem": problem})
            return
        request = OrderRequest(change.role, self.fleet.host.host, fence, seen)
        status = self.engines.order_role(
            endpoint.address, endpoint.endpoint_id, request, ORDER_TIMEOUT_S
        )
        self.write_log(
            "PF3501",
            None,
            {
                "endpoint": endpoint.endpoint_id,
                "role": change.role.value,
                "fence": fence,
                "gain": round(change.gain, 2),
                "status": status,
            },
        )
