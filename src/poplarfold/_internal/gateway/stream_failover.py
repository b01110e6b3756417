"""The move of a stream to another engine while its own one is silent.

An engine that sends nothing for a while may have lost the connection, or may only be
slow: it preempts requests when its memory runs out, and sends on later. So a stream is
taken away from it only once there is a slot for it elsewhere.
"""

import select
import socket

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import StreamVersionUnknownError
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.retry_charge import RetryCharge
from poplarfold._internal.gateway.stream_setup import (
    PreparedDecode,
    Reservation,
    StreamSetup,
)
from poplarfold._internal.utils.clock import boot_time

__all__ = ["StreamFailover"]

# How long a stream of a silent engine waits before it looks for a slot once more.
RECHECK_PERIOD_S = 0.2


class StreamFailover:
    """Looks for a slot elsewhere for one stream, while its engine is silent.

    ``begin`` must be called when an attempt is sent to an engine.
    """

    def __init__(self, context: CallContext, setup: StreamSetup) -> None:
        self.context = context
        self.fleet = context.services.fleet
        self.setup = setup
        # The slot for the next attempt, and the retry that was taken for it.
        self.reservation: Reservation | None = None
        self.charge = RetryCharge(context)
        self.endpoint: FleetEndpoint | None = None
        self.check_at = 0.0
        self.has_noticed = False
        # Whether a look has already waited for an event whose bytes were arriving.
        self.has_waited = False

    def begin(self, endpoint: FleetEndpoint) -> None:
        """Begin an attempt at an engine."""
        self.endpoint = endpoint
        self.record_event()

    def record_event(self) -> None:
        """Record that the engine has just sent a whole event."""
        self.check_at = 0.0
        self.has_noticed = False
        self.has_waited = False

    def record_head(self) -> None:
        """Record that the engine has sent the head of its answer."""
        self.has_waited = False

    def wait_s(self, progress_at: float, silence_s: float) -> float:
        """Return for how long the engine may stay silent before the next look.

        It sent its last whole event at ``progress_at``; ``silence_s`` is the pause
        after which a slot is looked for.
        """
        return max(progress_at + silence_s, self.check_at) - boot_time()

    def find(self, sock: socket.socket, may_repeat: bool) -> bool:
        """Look for a slot elsewhere; return whether the stream goes on there.

        ``sock`` is the connection to the silent engine. Without ``may_repeat`` no other
        attempt is allowed.
        """
        self.check_at = boot_time() + RECHECK_PERIOD_S
        if self._may_wait(sock):
            # This process was held up, not the engine.
            return False
        self._notice()
        if not may_repeat or not self.fleet.may_spend_retry(self.context.service):
            return False
        try:
            version = self.setup.version_to_use()
        except StreamVersionUnknownError:
            # The stream may still go on where it is.
            return False
        endpoint = self.fleet.pick(
            self.context.service,
            EndpointRole.DECODE,
            log=self.context.log,
            version=version,
        )
        if endpoint is None:
            return False
        found = self.setup.take_lease(endpoint)
        self.check_at = boot_time() + RECHECK_PERIOD_S
        # The call to the other engine took its place.
        self.context.abort.attach(sock)
        if found is None:
            return False
        if self._may_wait(sock) or not self.charge.take():
            self._release(found)
            return False
        self.reservation = found
        return True

    def take(self, charge: RetryCharge) -> Reservation | None:
        """Return the slot that was found for the next attempt, if there is one.

        Its retry goes to ``charge``.
        """
        found, self.reservation = self.reservation, None
        charge.take_over(self.charge)
        return found

    def release(self) -> None:
        """Give a slot back that was found and is not used, and its retry."""
        self.charge.settle(has_arrived=False)
        found, self.reservation = self.reservation, None
        if found is not None:
            self._release(found)

    def _release(self, reservation: Reservation) -> None:
        self.fleet.finish_call(reservation.endpoint)
        self.setup.release(PreparedDecode(reservation))

    def _may_wait(self, sock: socket.socket) -> bool:
        """Return whether bytes have come that may complete an event.

        If they complete none, the next ones are no reason to stay: an engine that sends
        a byte now and then would keep its stream for good.
        """
        if self.has_waited or not has_data(sock):
            return False
        self.has_waited = True
        return True

    def _notice(self) -> None:
        """Log the first look since the last event; others avoid the engine then."""
        if self.has_noticed or self.endpoint is None:
            return
        self.has_noticed = True
        self.fleet.record_unresponsive(self.endpoint)
        self.context.log("PF1112", endpoint=self.endpoint.endpoint_id)


def has_data(sock: socket.socket) -> bool:
    """Return whether bytes, or the end of the connection, can be read now."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
