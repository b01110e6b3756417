"""The wait of one stream for a decode slot: its place, its limit, and its refusal."""

from poplarfold._internal.core.fleet.admission_queue import WaitingStream, is_retry_call
from poplarfold._internal.core.fleet.fair_order import StreamClass
from poplarfold._internal.core.fleet.slot_outlook import SlotOutlook
from poplarfold._internal.core.fleet.slot_wait import WaitPlan, plan_wait
from poplarfold._internal.exceptions import DecodePoolFullError
from poplarfold._internal.gateway.context import CallContext

__all__ = ["SlotTurn"]


class SlotTurn:
    """A stream's place in the admission queue, from its arrival until it leaves.

    ``version`` is the software version at which the stream goes on, or None if it
    begins. If the service has engines of other versions, those of this one are kept for
    the streams that go on there, and these wait longer. Otherwise all streams need the
    same engines: those that go on wait among new ones in the order of arrival. Behind
    them, few would get a slot in a burst; before them, few new ones would.
    """

    def __init__(self, context: CallContext, version: str | None = None) -> None:
        self.context = context
        self.fleet = context.services.fleet
        self.policy = self.fleet.settings.admission
        route = context.route
        wait_s = context.deadline_at - context.arrived_at
        with self.fleet.lock:
            now = self.fleet.clock()
            self.uses_forecasts = self.fleet.uses_forecasts
            self.shortest_retry_s = self.policy.shortest_retry_s(self.uses_forecasts)
            self.is_late = is_retry_call(wait_s, route.timeout_s, self.shortest_retry_s)
            outlook = self.fleet.slot_outlook(context.service)
            self.plan = self.plan_wait(outlook, now)
            ranks_late, queue_version = self.is_late, version
            if version is not None:
                # Its caller would have to begin anew, and leaves after four targets.
                share = self.policy.begun_wait_share
                if set(self.fleet.directory.versions(context.service)) == {version}:
                    share = self.policy.begun_among_new_share
                    ranks_late, queue_version = False, None
                until = now + share * route.target_s
                until = max(self.plan.until, min(until, context.deadline_at))
                self.plan = self.plan._replace(until=until)
            self.row: WaitingStream = self.fleet.admission_queue.add(
                context.service,
                ranks_late,
                route.target_s,
                now,
                stream_class(context),
                self.plan.on_time_until,
                queue_version,
            )

    def plan_wait(self, outlook: SlotOutlook, now: float) -> WaitPlan:
        """Return how long the stream waits, by the settings."""
        context = self.context
        target_s = context.route.target_s
        if self.uses_forecasts:
            return plan_wait(
                self.policy, outlook, now, context.deadline_at, target_s, self.is_late
            )
        until = self.policy.rejection_time(now, target_s, self.is_late)
        return WaitPlan(min(until, context.deadline_at), until)

    def left_s(self) -> float:
        """Return for how long the stream still waits; less than 0 if it is over."""
        return self.plan.until - self.fleet.clock()

    def check(self) -> float:
        """Return the time that is left. Raises DecodePoolFullError if none is."""
        left_s = self.left_s()
        if not self.fleet.is_waiting(self.row):
            raise self.refusal("queue_full")
        if self.uses_forecasts and not self.fleet.has_decode_engine(self.row):
            raise self.refusal("no_engine")
        if left_s <= 0:
            raise self.refusal("late_wait" if self.is_late else "target")
        return left_s

    def refusal(self, reason: str) -> DecodePoolFullError:
        """Return the error that tells the caller when to come back, and log it."""
        context = self.context
        fleet = self.fleet
        now = self.fleet.clock()
        with fleet.lock:
            outlook = fleet.slot_outlook(context.service)
            position = None
            if fleet.admission_queue.contains(self.row.ticket):
                position = fleet.admission_queue.position(self.row.ticket, now)
            retry_after_s = None
            if self.uses_forecasts:
                retry_after_s = outlook.retry_after_s(
                    self.policy.retry_after_s,
                    self.shortest_retry_s,
                    max(0.0, context.deadline_at - now),
                    fleet.rng,
                )
        expected_s = outlook.expected_s
        context.services.metrics.count_stream_refusal(reason)
        context.log(
            "PF3611",
            reason=reason,
            position=position,
            expected_s=None if expected_s is None else round(expected_s, 3),
            waited_s=round(now - self.row.arrived_at, 3),
            target_s=context.route.target_s,
            is_late=self.is_late,
            retry_after_s=None if retry_after_s is None else round(retry_after_s, 3),
        )
        return DecodePoolFullError("all decode engines are full", retry_after_s)

    def end(self, is_placed: bool) -> None:
        """Leave the queue, with or without a slot."""
        now = self.fleet.clock()
        wait_s = now - self.row.arrived_at
        outcome = "placed" if is_placed else "refused"
        self.context.services.metrics.observe_wait(outcome, wait_s)
        is_gone = self.context.caller_gone.is_set()
        self.fleet.leave_queue(self.row, wait_s, is_placed, is_gone)


def stream_class(context: CallContext) -> StreamClass:
    """Return the account and class of a stream; the account is None without accounts.

    Streams of public routes share the account with the empty name.
    """
    route = context.route.name
    if context.priority is None:
        return StreamClass(route=route)
    call = context.call
    outputs = call.expected_outputs or call.max_outputs
    return StreamClass(
        context.account_name or "",
        route,
        context.priority,
        float(call.prompt_tokens + outputs),
    )
