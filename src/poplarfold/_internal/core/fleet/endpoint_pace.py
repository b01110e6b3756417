"""Estimates how long calls take at an endpoint whose pace changes.

Endpoints share their machines, and some state in each response how long work takes
there at that moment. The stated figure changes many times per second, more often than
one node calls an endpoint, so a single figure says little of the next call and is
smoothed. An old estimate fades to the usual time of the service, so that an
endpoint that was slow is used again.
"""

from collections.abc import Iterable
from statistics import median_low
from typing import NamedTuple

__all__ = ["EndpointPace", "typical_answer_s"]

# Smallest weight of the newest figure in the moving averages.
SLOWDOWN_WEIGHT_MIN = 0.25
TIME_WEIGHT_MIN = 0.15
# Stated figures outside of these limits are taken for the limit, so that a faulty one
# neither attracts all calls nor excludes an endpoint.
SLOWDOWN_LIMITS = (0.1, 20.0)
# Half-life of the difference between an endpoint and its service. A shorter one sends
# more calls to endpoints that are still slow.
PACE_HALF_LIFE_S = 16.0


class EndpointPace(NamedTuple):
    """The smoothed pace of one endpoint. Times are seconds of the runtime's clock.

    ``slowdown`` is the smoothed stated figure (1.0 is usual), last stated at
    ``stated_at``. ``measured_s`` is the smoothed time of a call, ``usual_s`` the same
    with each time divided by the slowdown stated with it. Both predict the next time;
    ``measured_error_s`` and ``stated_error_s`` are their smoothed errors.
    """

    slowdown: float = 1.0
    stated_at: float = float("-inf")
    statements: int = 0
    usual_s: float = 0.0
    measured_s: float = 0.0
    measured_at: float = float("-inf")
    answers: int = 0
    stated_error_s: float = 0.0
    measured_error_s: float = 0.0

    @property
    def is_stated(self) -> bool:
        """Whether the endpoint has ever stated its slowdown."""
        return self.statements > 0

    def with_slowdown(self, slowdown: float, now: float) -> "EndpointPace":
        """Return the pace after the endpoint has stated a slowdown."""
        weight = max(SLOWDOWN_WEIGHT_MIN, 1.0 / (self.statements + 1))
        return self._replace(
            slowdown=self.slowdown + weight * (limited(slowdown) - self.slowdown),
            stated_at=now,
            statements=self.statements + 1,
        )

    def with_answer(
        self, answer_s: float, slowdown: float | None, now: float
    ) -> "EndpointPace":
        """Return the pace after a successful call of ``answer_s``.

        ``slowdown`` is the figure stated with the answer, if there is one.
        """
        stated = self.slowdown if slowdown is None else limited(slowdown)
        weight = max(TIME_WEIGHT_MIN, 1.0 / (self.answers + 1))
        pace = self._replace(
            usual_s=self.usual_s + weight * (answer_s / stated - self.usual_s),
            measured_s=self.measured_s + weight * (answer_s - self.measured_s),
            measured_at=now,
            answers=self.answers + 1,
        )
        if self.answers == 0:
            return pace
        by_stated = abs(answer_s - self.usual_s * stated)
        by_measured = abs(answer_s - self.measured_s)
        return pace._replace(
            stated_error_s=self.stated_error_s
            + TIME_WEIGHT_MIN * (by_stated - self.stated_error_s),
            measured_error_s=self.measured_error_s
            + TIME_WEIGHT_MIN * (by_measured - self.measured_error_s),
        )

    def without_times(self) -> "EndpointPace":
        """Return only what was stated, since calls of another role take other times."""
        return EndpointPace(self.slowdown, self.stated_at, self.statements)

    def slowdown_at(self, now: float) -> float:
        """Return the smoothed slowdown, faded with its age to 1; 1 if never stated."""
        if not self.is_stated:
            return 1.0
        return 1.0 + (self.slowdown - 1.0) * fading(now - self.stated_at)

    @property
    def own_s(self) -> float:
        """The time of a call by this endpoint's own figures alone.

        The stated figure is used only as far as it has explained the measured times.
        An endpoint that states a usual pace and responds slowly, or states random
        figures, is judged by the measured times.
        """
        if self.stated_error_s > self.measured_error_s:
            return self.measured_s
        return self.usual_s * self.slowdown

    def expected_s(self, typical_s: float, untried_s: float, now: float) -> float:
        """Return the expected time of a call without queueing.

        ``typical_s`` is the usual time in the service, see ``typical_answer_s``.
        ``untried_s`` is assumed of an endpoint that has not been used yet, and must
        be short enough that it will be: the endpoints used first may be slow ones.
        """
        if self.answers == 0:
            # It may have stated a figure in another response, such as that to a lease.
            return min(typical_s, untried_s) * self.slowdown_at(now)
        return typical_s + (self.own_s - typical_s) * fading(now - self.measured_at)


def typical_answer_s(paces: Iterable[EndpointPace], default_s: float) -> float:
    """Return the median time of the endpoints that have answered, or the default."""
    known = [pace.own_s for pace in paces if pace.answers > 0]
    return median_low(known) if known else default_s


def limited(slowdown: float) -> float:
    """Return a stated slowdown within the limits."""
    low, high = SLOWDOWN_LIMITS
    return min(high, max(low, slowdown))


def fading(age_s: float) -> float:
    """Return the weight of a figure of this age."""
    return float(0.5 ** (max(0.0, age_s) / PACE_HALF_LIFE_S))
