"""Predictions that are learned from observed durations."""

__all__ = ["LinearCost", "MovingMean"]


class MovingMean:
    """An exponentially weighted mean that starts at a prior value."""

    def __init__(self, prior: float, weight: float = 0.1) -> None:
        self.value = prior
        self.weight = weight
        self.samples = 0

    def add(self, sample: float) -> None:
        """Add one observation. Early samples outweigh the prior quickly."""
        self.samples += 1
        weight = max(self.weight, 1.0 / (self.samples + 1))
        self.value += weight * (sample - self.value)


class LinearCost:
    """Seconds as a linear function of tokens, fitted with forgetting.

    Least squares over decayed sums, with the prior as two light observations,
    so that a slow engine is noticed within a few tens of calls.

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
        """Return a predictor that starts from what this one has learned."""
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
            # A line through the origin fits best among those that are allowed.
            self.per_token_s = self.sum_xy / self.sum_xx
            base = 0.0
        self.base_s = base

    def _accumulate(self, tokens: float, duration_s: float, weight: float) -> None:
        self.count += weight
        self.sum_x += weight * tokens
        self.sum_y += weight * duration_s
        self.sum_xx += weight * tokens * tokens
        self.sum_xy += weight * tokens * duration_s
