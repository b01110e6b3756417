"""The pace of one stream, and what it tells of the cost of others."""

from poplarfold._internal.core.fleet.stream_cost import expected_stream_s
from poplarfold._internal.gateway.context import CallContext

__all__ = ["StreamPace"]

# After this many events, the pace of a stream tells how long it will take.
PACE_EVENTS = 3


class StreamPace:
    """When the events of one stream were sent. Times are those of the runtime's clock.

    What a part of a stream costs would mislead, so streams that are taken up are not
    learned from.
    """

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.fleet = context.services.fleet
        # When events were last sent, and the longest pause between events so far.
        self.last_sent_at = 0.0
        self.longest_pause_s = 0.0
        # When the first events were sent, and how many they were.
        self.first_sent_at = 0.0
        self.first_events = 0
        self.is_recorded = False

    def record_first(self, now: float, events: int) -> None:
        """Record that the first events are sent."""
        self.first_sent_at = self.last_sent_at = now
        self.first_events = events

    def record_events(self, now: float) -> None:
        """Record that further events are sent."""
        self.longest_pause_s = max(self.longest_pause_s, now - self.last_sent_at)
        self.last_sent_at = now

    def record_pace(self, started_at: float, events: int, tokens: int) -> None:
        """Learn the expected duration of a stream once its pace is known.

        It began at ``started_at``, has sent so many ``events``, and has reserved
        memory for so many ``tokens``.
        """
        call, details = self.context.call, self.context.details
        if self.is_recorded or events < PACE_EVENTS or call.resume_after is not None:
            return
        self.is_recorded = True
        if details is None or not call.expected_outputs:
            return
        stream_s = expected_stream_s(
            self.first_sent_at - started_at,
            self.last_sent_at - self.first_sent_at,
            events - self.first_events,
            call.expected_outputs / details.outputs_per_event,
        )
        if stream_s is not None:
            self.fleet.record_pace(stream_s, tokens)

    def record_end(self, stream_s: float, events: int, tokens: int) -> None:
        """Learn from a completed stream's duration and outputs."""
        call, details = self.context.call, self.context.details
        if call.resume_after is not None or details is None:
            return
        self.fleet.record_stream(
            stream_s,
            tokens,
            events * details.outputs_per_event,
            call.expected_outputs,
            call.max_outputs,
        )
