"""What a node learns from streams, and what the nodes of its region have learned."""

from collections.abc import Sequence

from poplarfold._internal.core.fleet.outputs import OutputForecast
from poplarfold._internal.core.fleet.relay_messages import CostReport
from poplarfold._internal.core.fleet.slot_outlook import (
    SetupTime,
    SlotWaits,
    add_waits,
)
from poplarfold._internal.core.fleet.stream_cost import StreamCost, merge_costs

__all__ = ["StreamLearning"]


class StreamLearning:
    """The learned costs, waits and outputs of streams. Not thread-safe.

    ``own_cost`` and ``own_waits`` are those of this node, ``region_cost`` and
    ``region_waits`` those of all nodes of its region. Times are seconds of the
    runtime's clock.
    """

    def __init__(self) -> None:
        self.own_cost = StreamCost()
        self.region_cost = StreamCost()
        self.own_waits = SlotWaits()
        self.region_waits = SlotWaits()
        self.setup_time = SetupTime()
        self.output_forecast = OutputForecast()

    @property
    def cost(self) -> StreamCost:
        """The best known cost of a stream."""
        if self.region_cost.sample_count > self.own_cost.sample_count:
            return self.region_cost
        return self.own_cost

    def waits(self, now: float) -> SlotWaits:
        """Return the waits for slots that say the most about the present."""
        own, region = self.own_waits.at_time(now), self.region_waits.at_time(now)
        return region if region.weight > own.weight else own

    def own_report(self, now: float) -> CostReport:
        """Return what this node has learned, for its relays."""
        return report_waits(self.own_cost.report(), self.own_waits, now)

    def merge(self, reports: Sequence[CostReport], now: float) -> CostReport:
        """Combine the reports of other nodes with what this node has learned."""
        others = [StreamCost.of_report(report) for report in reports]
        self.region_cost = merge_costs([self.own_cost, *others])
        waits = [reported_waits(report, now) for report in reports]
        self.region_waits = add_waits([self.own_waits, *waits], now)
        return report_waits(self.region_cost.report(), self.region_waits, now)

    def set_region(self, report: CostReport, now: float) -> None:
        """Record what the nodes of the region have learned together."""
        self.region_cost = StreamCost.of_report(report)
        self.region_waits = reported_waits(report, now)

    def record_stream(
        self, seconds: float, tokens: int, outputs: int, hint: int, limit: int
    ) -> None:
        """Record a completed stream's duration, reserved tokens and outputs."""
        self.own_cost = self.own_cost.with_stream(seconds, tokens)
        self.output_forecast = self.output_forecast.with_outputs(outputs, hint, limit)

    def record_pace(self, seconds: float, tokens: int) -> None:
        """Record the expected duration of a stream that has just begun.

        Only the first streams count: their durations are known seconds before any
        of them ends.
        """
        if not self.cost.is_learned:
            self.own_cost = self.own_cost.with_stream(seconds, tokens)

    def outputs_to_reserve(self, hint: int, limit: int) -> int:
        """Return the number of outputs for which a new stream reserves memory."""
        self.output_forecast = self.output_forecast.with_hint(hint)
        return self.output_forecast.outputs_to_reserve(hint, limit)


def report_waits(report: CostReport, waits: SlotWaits, now: float) -> CostReport:
    """Return a report with recent waits, rounded so that old ones become 0."""
    row = waits.at_time(now)
    return report._replace(
        recent_waited_s=round(row.waited_s, 1),
        recent_placed=round(row.placed, 1),
        recent_refused=round(row.refused, 1),
    )


def reported_waits(report: CostReport, now: float) -> SlotWaits:
    """Return the recent waits of a report that has just arrived."""
    return SlotWaits(
        report.recent_waited_s, report.recent_placed, report.recent_refused, now
    )
