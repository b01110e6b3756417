"""How many outputs a stream is expected to make, for the memory of its lease.

Answers hints that are right at the median and often far off: a lease that is
too small has the stream preempted when memory runs out, and a lease that is too
large refuses others.
"""

import math
from typing import NamedTuple

__all__ = ["OutputForecast"]

# Hints and outputs vary about equally, so the best guess lies halfway between
# the hint and the usual hint, on a logarithmic scale.
HINT_WEIGHT = 0.5
# The share of streams that may outgrow their lease.
OUTGROWN_SHARE = 0.06
MARGIN_STEP = 0.05
MARGIN_MIN = 1.0
MARGIN_MAX = 4.0
USUAL_WEIGHT = 0.02


class OutputForecast(NamedTuple):
    """The usual hint and the margin above the best guess, learned by one node.

    ``usual`` is the mean of the logarithms of the hints, ``hints`` their number.

        forecast = OutputForecast().with_hint(4000)
        forecast.reserve(4000, 9000)
    """

    usual: float = 0.0
    hints: int = 0
    margin: float = 1.67

    def with_hint(self, hint: int) -> "OutputForecast":
        """Return the forecast after another call's hint."""
        if hint <= 0:
            return self
        weight = max(USUAL_WEIGHT, 1.0 / (self.hints + 1))
        usual = self.usual + weight * (math.log(hint) - self.usual)
        return self._replace(usual=usual, hints=self.hints + 1)

    def reserve(self, hint: int, limit: int) -> int:
        """Return for how many outputs to reserve memory, ``limit`` at most."""
        if hint <= 0:
            return limit
        guess = HINT_WEIGHT * math.log(hint) + (1.0 - HINT_WEIGHT) * self.usual
        if not self.hints:
            guess = math.log(hint)
        return min(limit, math.ceil(self.margin * math.exp(guess)))

    def with_outputs(self, outputs: int, hint: int, limit: int) -> "OutputForecast":
        """Return the forecast after a stream that made ``outputs`` to its end."""
        if outputs > self.reserve(hint, limit):
            factor = 1.0 + MARGIN_STEP
        else:
            factor = 1.0 - MARGIN_STEP * OUTGROWN_SHARE / (1.0 - OUTGROWN_SHARE)
        margin = min(MARGIN_MAX, max(MARGIN_MIN, self.margin * factor))
        return self._replace(margin=margin)
