"""Orders engines to change their role when the pool sizes do not match the load."""

import json
import threading
from collections.abc import Callable

from poplarfold._internal.core.fleet.order_lease import (
    LogEnd,
    OrderLease,
    fencing_number,
)
from poplarfold._internal.core.fleet.roles import RoleChange, plan_role_changes
from poplarfold._internal.core.fleet.rows import Service
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import EngineClient, OrderRequest, StoreClient

__all__ = ["RoleOrders"]

ORDERS_TOPIC = "poplarfold.orders"
ROLE_CHECK_PERIOD_S = 0.25
# A mismatch must persist this long before an order, so that a single wrong entry of
# the store or a single odd sample causes none.
MISMATCH_MIN_S = 0.2
# All nodes see a mismatch. Each waits longer by its rank, so that one claim is usually
# enough, and others claim only if the first nodes are down.
RANK_WAIT_S = 0.4
RANK_MAX = 10
MISMATCH_JITTER_S = 0.2
# Within this time after an order, the other nodes see the changed role in the engine's
# next heartbeat. No node claims the lease before that.
ROLE_CHANGE_VISIBLE_S = 6.0
CLAIM_VALID_S = 1.0
ORDER_TIMEOUT_S = 0.8
# The pause after a first read of the log that failed.
FIRST_READ_RETRY_S = 3.0


class RoleOrders:
    """Plans and sends role orders; the store decides which node may send them."""

    def __init__(
        self,
        fleet: Fleet,
        store: StoreClient,
        engines: EngineClient,
        order_rank: Callable[[], int],
        write_log: WriteLog,
    ) -> None:
        self.order_rank = order_rank
        self.fleet = fleet
        self.store = store
        self.engines = engines
        self.write_log = write_log
        claim_interval_s = fleet.host.bounds.lease_s + ROLE_CHANGE_VISIBLE_S
        self.lease = OrderLease(claim_interval_s, CLAIM_VALID_S)
        self.planned_role: EndpointRole | None = None
        self.mismatch_since = 0.0
        self.required_s = 0.0
        self.first_read_due_at = 0.0
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        start_thread("role-orders", self.run, self.write_log)

    def run(self) -> None:
        """Compare the pool sizes with the load periodically, until stopped."""
        while not self.stopping.wait(ROLE_CHECK_PERIOD_S):
            self.check_pool_sizes()

    def check_pool_sizes(self) -> None:
        """Order role changes if a mismatch has persisted and a claim is allowed."""
        now = self.fleet.clock()
        if self.lease.end_seen_at is None and now >= self.first_read_due_at:
            # A node must know the log for a while before it may claim.
            self.first_read_due_at = now + FIRST_READ_RETRY_S
            self.refresh_order_log_end()
        changes = self.plan_changes()
        role = changes[0].role if changes else None
        if role is not self.planned_role:
            self.planned_role = role
            self.mismatch_since = now
            self.required_s = self.required_duration_s(changes)
        if role is None:
            return
        # While the newest known claim is in force, this node may not claim, and a read
        # of the log would not change that.
        if now - self.mismatch_since < self.required_s or not self.lease.may_claim(now):
            return
        if not self.refresh_order_log_end():
            return
        if not self.lease.may_claim(self.fleet.clock()):
            return
        self.claim_and_order()

    def required_duration_s(self, changes: list[RoleChange]) -> float:
        """Return how long the need for these changes must last before an order.

        A decode engine that changes its role takes room from the streams for as long
        as the change lasts. A prefill engine that has failed is often back sooner.
        """
        wait_s = RANK_WAIT_S * min(RANK_MAX, self.order_rank())
        wait_s += MISMATCH_MIN_S + MISMATCH_JITTER_S * self.fleet.rng.random()
        leaves_decode = any(row.role is EndpointRole.PREFILL for row in changes)
        return wait_s + (self.change_duration_s() if leaves_decode else 0.0)

    def change_duration_s(self) -> float:
        """Return the longest duration of a role change, as the services state it."""
        with self.fleet.lock:
            table = self.fleet.directory.route_table
            services = table.services.values() if table is not None else ()
            return max((row.role_change_s for row in services), default=0.0)

    def plan_changes(self) -> list[RoleChange]:
        """Return the role changes that are needed, for all services."""
        with self.fleet.lock:
            directory = self.fleet.directory
            table = directory.route_table
            if table is None or not directory.is_store_settled(self.fleet.clock()):
                return []
            return [
                change
                for service in table.services.values()
                if service.has_engines
                for change in self.plan_service(service)
            ]

    def plan_service(self, service: Service) -> list[RoleChange]:
        """Return the role changes for one service. The lock must be held."""
        engines = [
            row
            for role in (EndpointRole.PREFILL, EndpointRole.DECODE)
            for row in self.fleet.callable_endpoints(service.name, role)
        ]
        return plan_role_changes(engines, service, self.fleet.cost)

    def refresh_order_log_end(self) -> bool:
        """Read the current end of the order log; return whether the store answered."""
        result = self.store.read_end(ORDERS_TOPIC, self.lease.log.end, ORDER_TIMEOUT_S)
        if result.is_err():
            problem = str(result.unwrap_err())
            self.write_log("PF3502", None, {"problem": problem})
            return False
        return self.note_log_end(result.unwrap())

    def note_log_end(self, log: LogEnd) -> bool:
        """Take over what an answer says of the log, unless that is outdated."""
        known = self.lease
        if known.is_outdated(log):
            return False
        self.lease = known.with_end(log, self.fleet.clock())
        if known.end_seen_at is not None and log.era > known.log.era:
            fields: dict[str, object] = {
                "era": log.era,
                "previous": known.log.era,
                "end_before": known.log.end,
                "end": log.end,
            }
            self.write_log("PF3503", None, fields)
        return True

    def claim_and_order(self) -> None:
        """Claim the right to order, plan again and send the orders."""
        claimed_at = self.fleet.clock()
        record = json.dumps({"host": self.fleet.host.host}).encode()
        result = self.store.append_at(
            ORDERS_TOPIC, self.lease.log.end, record, ORDER_TIMEOUT_S
        )
        if result.is_err():
            # The record may have been appended nevertheless; the next read of the
            # log shows it.
            problem = str(result.unwrap_err())
            self.write_log("PF3502", None, {"problem": problem})
            return
        offset, era = result.unwrap()
        has_returned = era != self.lease.log.era
        if not self.note_log_end(LogEnd(offset + 1, era)) or has_returned:
            # A claim that the store has lost may still be in force.
            return
        fence = fencing_number(offset, era)
        for change in self.plan_changes():
            self.send_order(change, fence, claimed_at)
        self.planned_role = None

    def send_order(self, change: RoleChange, fence: int, claimed_at: float) -> None:
        """Send one order if the claim is still valid and the engine answers."""
        endpoint = change.endpoint
        self.fleet.count_call(endpoint)
        seen = self.engines.accepted_orders(endpoint, ORDER_TIMEOUT_S)
        if seen is None or not self.lease.may_order(claimed_at, self.fleet.clock()):
            problem = f"{endpoint.endpoint_id} is busy, or the claim has expired"
            self.write_log("PF3502", None, {"problem": problem})
            return
        request = OrderRequest(change.role, self.fleet.host.host, fence, seen)
        self.fleet.count_call(endpoint)
        status = self.engines.order_role(endpoint, request, ORDER_TIMEOUT_S)
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
