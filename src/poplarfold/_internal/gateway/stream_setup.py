"""The setup of a stream: reserves a decode slot and has the prompt prefilled.

The slot is reserved before the prefill starts, so that no prefill is wasted for
lack of a slot. Unused reservations are released at once.
"""

import threading
from typing import NamedTuple

from poplarfold._internal.core.fleet.admission_queue import WaitingStream
from poplarfold._internal.core.fleet.paced_choice import AttemptNeeds
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import EndpointRefusedError
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.retry_charge import RetryCharge, may_have_arrived
from poplarfold._internal.gateway.slot_turn import SlotTurn
from poplarfold._internal.platform import CallTarget
from poplarfold._internal.utils.clock import boot_time

__all__ = ["PreparedDecode", "Reservation", "StreamSetup"]

# A stream waiting for a slot checks again after this time even without a
# notification.
SLOT_RECHECK_PERIOD_S = 0.03
PREFILL_ATTEMPTS_MAX = 2
# A prefill whose failure took longer than this is not retried, because no time is
# left for the queue of another engine.
PREFILL_RETRY_WITHIN_S = 0.1
# A lease lasts this much longer than the prefill timeout.
LEASE_MARGIN_S = 0.5


class Reservation(NamedTuple):
    """A reserved slot at a decode engine."""

    endpoint: FleetEndpoint
    lease_id: str


class PreparedDecode(NamedTuple):
    """A reservation and, after a prefill, the source of the KV cache."""

    reservation: Reservation
    prefill: FleetEndpoint | None = None
    handle: str | None = None

    @property
    def kv_source(self) -> str | None:
        """The address and handle from which the decode engine fetches the KV cache."""
        if self.prefill is None or self.handle is None:
            return None
        return f"{self.prefill.address}/{self.handle}"


class StreamSetup:
    """Takes the leases and prefills of one stream, for all of its attempts."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.services = context.services
        self.fleet = context.services.fleet
        self.settings = self.fleet.settings
        call = context.call
        self.lease_tokens = call.prompt_tokens + self.fleet.outputs_to_reserve(
            call.expected_outputs, call.max_outputs
        )
        # False after a prefilled KV cache was lost on the way to its decode engine.
        self.may_prefill = True
        # The first prefill of a request that an engine accepts is not counted as an
        # arrival by the retry budget; each further one is.
        self.has_prefilled = False
        self.prefill_charge = RetryCharge(context)
        self.reserved_at = 0.0
        # The software version that has begun the stream, None before its first event.
        self.version: str | None = None

    def reserve(self) -> Reservation:
        """Wait for a decode slot.

        Raises DecodePoolFullError if all stay full, and StreamVersionGoneError if the
        version that began the stream has no engine any more.
        """
        turn = SlotTurn(self.context, self.version)
        is_placed = False
        try:
            reservation = self.wait_for_slot(turn, turn.row)
            is_placed = True
            self.reserved_at = boot_time()
            return reservation
        finally:
            turn.end(is_placed)

    def wait_for_slot(self, turn: SlotTurn, row: WaitingStream) -> Reservation:
        """Request slots from engines while this stream is first in the queue."""
        fleet = self.fleet
        while True:
            self.context.check_caller()
            endpoint = fleet.pick_in_turn(
                row,
                AttemptNeeds(self.context.route.repeatable),
                self.context.log,
                self.version_to_use(),
            )
            if endpoint is not None:
                reservation = self.take_lease(endpoint)
                if reservation is not None:
                    return reservation
                fleet.requeue(row)
            if endpoint is None:
                fleet.check_version(row.service, self.version)
                fleet.check_pool(row.service, EndpointRole.DECODE, turn.left_s())
            left_s = turn.check()
            if endpoint is None:
                with fleet.lock:
                    fleet.changed.wait(min(SLOT_RECHECK_PERIOD_S, left_s))

    def version_to_use(self) -> str | None:
        """Return the software version at which the stream goes on, or should begin."""
        if self.version is not None or not self.context.route.resumable:
            return self.version
        return self.services.versions.only_version(self.context.service)

    def take_lease(self, endpoint: FleetEndpoint) -> Reservation | None:
        """Request a slot from one engine; return None if it was not granted.

        Without a slot, the call that ``pick_in_turn`` counted at the engine ends here.
        """
        context = self.context
        tokens = self.lease_tokens
        lease_max_s = context.details.lease_max_s if context.details else 0.0
        result = self.services.engines.take_lease(
            endpoint,
            tokens,
            lease_max_s or self.settings.prefill_s + LEASE_MARGIN_S,
            self.settings.lease_call_s,
            context.abort,
        )
        if result.is_ok():
            lease = result.unwrap()
            self.services.metrics.count_lease("granted")
            self.fleet.record_load(endpoint, lease.load)
            context.log(
                "PF1105",
                endpoint=endpoint.endpoint_id,
                software_version=endpoint.software_version,
                tokens=tokens,
                waited_s=round(boot_time() - context.arrived_at, 4),
            )
            reservation = Reservation(endpoint, lease.lease_id)
            if self.fleet.is_usable(endpoint):
                return reservation
            # The engine granted it and said that it leaves, or has left meanwhile.
            self.fleet.finish_call(endpoint)
            self.release(PreparedDecode(reservation))
            return None
        self.fleet.finish_call(endpoint)
        if context.abort.aborted.is_set():
            # The call ended while the engine was asked, which is no failure of it.
            return None
        failure = result.unwrap_err()
        is_refused = isinstance(failure.error, EndpointRefusedError)
        self.services.metrics.count_lease("refused" if is_refused else "failed")
        if is_refused:
            self.fleet.mark_full(endpoint)
        else:
            if not failure.is_own_shortage:
                self.fleet.record_unresponsive(endpoint)
            context.log_failure(endpoint.endpoint_id, failure.error, maybe_sent=False)
        return None

    def prefill(self, reservation: Reservation, is_first: bool) -> PreparedDecode:
        """Have the prompt prefilled, or leave it to the decode engine.

        The slot is kept if the prefill fails: another engine is tried once, and
        then the decode engine does the prefill itself.
        """
        context = self.context
        for _ in range(PREFILL_ATTEMPTS_MAX if self.may_prefill else 0):
            endpoint = self.fleet.pick_prefill(
                context.service,
                context.route,
                reservation.endpoint,
                context.call.prompt_tokens,
                context.log,
            )
            if endpoint is None:
                break
            if self.has_prefilled and not self.prefill_charge.take():
                self.fleet.finish_call(endpoint)
                break
            started_at = boot_time()
            prepared = self.request_prefill(reservation, endpoint, is_first)
            if prepared is not None:
                return prepared
            took_s = boot_time() - started_at
            # What has reached an engine is paid for already.
            if took_s > PREFILL_RETRY_WITHIN_S or not self.fleet.may_spend_retry(
                context.service
            ):
                break
        context.log("PF1110", endpoint=reservation.endpoint.endpoint_id)
        return PreparedDecode(reservation)

    def request_prefill(
        self, reservation: Reservation, endpoint: FleetEndpoint, is_first: bool
    ) -> PreparedDecode | None:
        """Have the prompt prefilled by one engine; return None if that failed."""
        context = self.context
        started_at = boot_time()
        context.was_sent = True
        # Unless it is certain that nothing has reached the engine.
        has_arrived = False
        try:
            target = CallTarget(
                endpoint.endpoint_id,
                context.remaining_s(),
                EndpointRole.PREFILL,
                account=context.account_name,
                priority=context.priority,
            )
            timeout_s = min(self.settings.prefill_s, context.remaining_s())
            has_arrived = True
            result = self.services.engines.prefill(
                endpoint, context.call, context.body, target, timeout_s, context.abort
            )
            has_arrived = result.is_ok() or may_have_arrived(result.unwrap_err())
        finally:
            self.fleet.finish_call(endpoint)
            self.prefill_charge.settle(has_arrived)
        self.context.check_caller()
        outcome = "ok" if result.is_ok() else "failed"
        self.services.metrics.count_prefill(outcome)
        if result.is_err():
            failure = result.unwrap_err()
            if not failure.is_own_shortage:
                self.fleet.record_unresponsive(endpoint)
            if has_arrived and not self.has_prefilled:
                self.fleet.charge_failed_prefill(context.service)
            context.log_failure(endpoint.endpoint_id, failure.error, failure.sent)
            return None
        done = result.unwrap()
        self.has_prefilled = True
        prefill_s = boot_time() - started_at
        self.fleet.record_answer(endpoint, started_at, True, done.load)
        if is_first:
            # Only the prefill of a first attempt is measured. In later attempts the
            # prompt may be cached, and the prefill would look too fast.
            self.fleet.record_prefill_time(
                endpoint, prefill_s, context.call.prompt_tokens
            )
        context.log(
            "PF1106",
            endpoint=endpoint.endpoint_id,
            tokens=done.tokens,
            prefill_s=round(prefill_s, 4),
        )
        return PreparedDecode(reservation, endpoint, done.handle)

    def release(self, prepared: PreparedDecode, is_reachable: bool = True) -> None:
        """Release an unused slot and the prefilled KV cache.

        Without ``is_reachable`` the decode engine is not called: its lease expires
        by itself, and the next attempt must not wait for a timeout.

        Once the call's time is over, its caller does not wait for the engines either.
        """
        if boot_time() < self.context.deadline_at:
            self._release(prepared, is_reachable)
            return
        threading.Thread(
            target=self._release,
            args=(prepared, is_reachable),
            name="release",
            daemon=True,
        ).start()

    def _release(self, prepared: PreparedDecode, is_reachable: bool) -> None:
        """Release a slot and a KV cache, like ``release``, and wait for the engines."""
        engines = self.services.engines
        release_timeout_s = self.settings.lease_call_s
        endpoint, lease_id = prepared.reservation
        if is_reachable:
            self.fleet.count_call(endpoint)
        is_dropped = is_reachable and engines.release_lease(
            endpoint.address, lease_id, release_timeout_s
        )
        if not is_dropped:
            self.context.log("PF1108", endpoint=endpoint.endpoint_id, kind="lease")
        if prepared.handle is not None and prepared.prefill is not None:
            self.services.metrics.count_wasted_tokens(self.context.call.prompt_tokens)
            engine = prepared.prefill
            self.fleet.count_call(engine)
            if not engines.release_prefill(
                engine.address, prepared.handle, release_timeout_s
            ):
                self.context.log("PF1108", endpoint=engine.endpoint_id, kind="prefill")
