"""Forecasts how many outputs a stream makes, to size the memory of its lease.

A caller's hint is the number of outputs that it expects. The median hint is right, but
many are far off. A lease that is too small gets the stream preempted when memory runs
out. A lease that is too large keeps other streams out.
"""

import math
from typing import NamedTuple

__all__ = ["OutputForecast"]

# Hints and outputs vary about equally, so the best estimate lies halfway between the
# hint and the mean hint on a logarithmic scale.
HINT_WEIGHT = 0.5
# The margin settles where this share of the streams makes more outputs than their lease
# covers.
EXCEEDED_LEASE_SHARE = 0.06
# Relative increase of the margin after a stream that exceeded its lease.
MARGIN_STEP = 0.05
MARGIN_MIN = 1.0
MARGIN_MAX = 4.0
# Smallest weight of the newest hint in the moving average.
MEAN_HINT_WEIGHT_MIN = 0.02


class OutputForecast(NamedTuple):
    """The mean hint and the margin above the best estimate, as learned by one node.

    ``mean_log_hint`` is the moving average of the logarithms of the hints,
    ``hint_count`` the number of hints. ``margin`` is the factor by which a
    reservation exceeds the estimate.

        forecast = OutputForecast().with_hint(4000)
        forecast.reserve(4000, 9000)
    """

    mean_log_hint: float = 0.0
    hint_count: int = 0
    margin: float = 1.67

    def with_hint(self, hint: int) -> "OutputForecast":
        """Return the forecast updated with the number of outputs a caller expects."""
        if hint <= 0:
            return self
        weight = max(MEAN_HINT_WEIGHT_MIN, 1.0 / (self.hint_count + 1))
        mean = self.mean_log_hint + weight * (math.log(hint) - self.mean_log_hint)
        return self._replace(mean_log_hint=mean, hint_count=self.hint_count + 1)

    def outputs_to_reserve(self, hint: int, limit: int) -> int:
        """Return how many outputs to reserve memory for, at most ``limit``."""
        if hint <= 0:
            return limit
        log_estimate = (
            HINT_WEIGHT * math.log(hint) + (1.0 - HINT_WEIGHT) * self.mean_log_hint
        )
        if not self.hint_count:
            log_estimate = math.log(hint)
        return min(limit, math.ceil(self.margin * math.exp(log_estimate)))

    def with_outputs(self, outputs: int, hint: int, limit: int) -> "OutputForecast":
        """Return the forecast updated with a complete stream of ``outputs`` outputs."""
        if outputs > self.outputs_to_reserve(hint, limit):
            factor = 1.0 + MARGIN_STEP
        else:
            factor = 1.0 - MARGIN_STEP * EXCEEDED_LEASE_SHARE / (
                1.0 - EXCEEDED_LEASE_SHARE
            )
        margin = min(MARGIN_MAX, max(MARGIN_MIN, self.margin * factor))
        return self._replace(margin=margin)
