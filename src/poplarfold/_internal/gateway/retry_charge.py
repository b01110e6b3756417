"""What a call takes from the retry budget for one request to an endpoint."""

from poplarfold._internal.exceptions import EndpointRefusedError
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.http.failures import Failure

__all__ = ["RetryCharge", "may_have_arrived"]


class RetryCharge:
    """A retry that is taken before a request is sent.

    It is given back if it is certain that nothing has reached an endpoint.

        charge = RetryCharge(context)
        if charge.take():
            charge.settle(has_arrived=send())
    """

    def __init__(self, context: CallContext) -> None:
        self.context = context
        # When the retry was taken, or None without one that is not settled.
        self.taken_at: float | None = None

    def take(self) -> bool:
        """Take a retry unless there is one already; return False if none is left."""
        if self.taken_at is None:
            self.taken_at = self.context.try_spend_retry()
        return self.taken_at is not None

    def take_over(self, other: "RetryCharge") -> None:
        """Take over the retry of another charge, if it has one."""
        if other.taken_at is not None:
            self.taken_at, other.taken_at = other.taken_at, None

    def settle(self, has_arrived: bool) -> None:
        """End the charge; ``has_arrived`` unless nothing has reached an endpoint."""
        if self.taken_at is None:
            return
        taken_at, self.taken_at = self.taken_at, None
        services, service = self.context.services, self.context.service
        if has_arrived:
            services.metrics.count_retry(service)
        else:
            services.fleet.give_back_retry(service, taken_at)


def may_have_arrived(failure: Failure) -> bool:
    """Return whether a failed prefill may have reached its engine.

    One that an engine has refused has reached it, although it was not run.
    """
    return failure.sent or isinstance(failure.error, EndpointRefusedError)
