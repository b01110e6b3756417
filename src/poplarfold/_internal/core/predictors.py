"""Predictors that learn from observed durations."""

__all__ = ["LinearCost", "MovingAverage"]


class MovingAverage:
    """An exponentially weighted moving average.

    ``prior`` is its value before the first sample. ``weight`` is the weight of a
    new sample once there are many.
    """

    def __init__(self, prior: float, weight: float = 0.1) -> None:
        self.value = prior
        self.weight = weight
        self.samples = 0

    def add(self, sample: float) -> None:
        """Add one sample.

        Early samples get a higher weight, so that they soon replace the prior.
        """
        self.samples += 1
        weight = max(self.weight, 1.0 / (self.samples + 1))
        self.value += weight * (sample - self.value)


class LinearCost:
    """Predicts a duration in seconds as a linear function of tokens.

    The fit is least squares over exponentially decaying sums, so that it adapts to
    a slow engine within a few tens of calls. The initial parameters count as two
    observations of low weight.

        cost = LinearCost(base_s=0.01, per_token_s=5e-5)
        cost.predict(1000)  # 0.06
    """

    DECAY = 0.95

    def __init__(self, base_s: float, per_token_s: float) -> None:
        self.base_s = base_s
        self.per_token_s = per_token_s
        self.count = self.sum_x = self.sum_y = self.sum_xx = self.sum_xy = 0.0
        for tokens in (100.0, 10000.0):
            self._accumulate(tokens, base_s + per_token_s * tokens, 0.2)

    def copy(self) -> "LinearCost":
        """Return a new predictor whose initial parameters are the current ones.

        The observations are not copied.
        """
        return LinearCost(self.base_s, self.per_token_s)

    def predict(self, tokens: float) -> float:
        """Return the expected duration in seconds."""
        return self.base_s + self.per_token_s * tokens

    def add(self, tokens: float, duration_s: float) -> None:
        """Add one observation."""
        for name in ("count", "sum_x", "sum_y", "sum_xx", "sum_xy"):
            setattr(self, name, getattr(self, name) * self.DECAY)
        self._accumulate(tokens, duration_s, 1.0)
        spread = self.count * self.sum_xx - self.sum_x**2
        if spread > 1e-9 * self.count * self.sum_xx:
            slope = (self.count * self.sum_xy - self.sum_x * self.sum_y) / spread
            self.per_token_s = max(0.0, slope)
        base = (self.sum_y - self.per_token_s * self.sum_x) / self.count
        if base < 0.0:
            # base_s must not be negative, so fit a line through the origin.
            self.per_token_s = self.sum_xy / self.sum_xx
            base = 0.0
        self.base_s = base

    def _accumulate(self, tokens: float, duration_s: float, weight: float) -> None:
        self.count += weight
        self.sum_x += weight * tokens
        self.sum_y += weight * duration_s
        self.sum_xx += weight * tokens * tokens
        self.sum_xy += weight * tokens * duration_s
