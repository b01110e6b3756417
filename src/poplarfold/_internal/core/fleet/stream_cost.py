"""Learns what a stream costs its engines, from the streams that were served.

Nothing is assumed in advance: engines, models and prompts differ between
deployments, so a guess would move engines or reject streams for no reason.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from poplarfold._internal.core.fleet.relay_messages import CostReport

__all__ = [
    "OWN_PREFILL_SLOWDOWN",
    "StreamCost",
    "expected_stream_s",
    "merge_costs",
]

# A decode engine takes this many times as long for a prefill as a prefill engine, as
# the platform's protocol says.
OWN_PREFILL_SLOWDOWN = 2.0
# The cost counts as learned after this many prefills and streams.
SAMPLES_MIN = 4
# The estimate of the prefill rate is the one that this share of the prefills stay
# below: most prefills have waited in the queue and look too slow, and a few found their
# prompt cached and look too fast.
RATE_QUANTILE = 0.85
# The first prefills are kept and sorted; after them, each prefill moves the estimate.
FIRST_RATES_MAX = 20
RATE_INCREASE_FACTOR = 1.03
RATE_DECREASE_FACTOR = 0.9967
# Smallest weight of the newest stream in the moving averages.
AVERAGE_WEIGHT_MIN = 0.02
# The same for waits, which follow the load.
WAIT_WEIGHT_MIN = 0.1


class StreamCost(NamedTuple):
    """The cost of an average stream.

    ``prompt_tokens`` are prefilled at ``prefill_tokens_per_s``. Decoding takes
    ``decode_s`` and reserves memory for ``reserved_tokens`` tokens. ``prefill_wait_s``
    and ``slot_wait_s`` are the recent waits for a prefill engine and for a decode
    slot. The values are 0 until the first prefill or stream.

        cost = StreamCost().with_prefill(0.1, 5000)
        cost.prefill_s
    """

    prefill_count: int = 0
    stream_count: int = 0
    prompt_tokens: float = 0.0
    prefill_tokens_per_s: float = 0.0
    first_rates: tuple[float, ...] = ()
    decode_s: float = 0.0
    reserved_tokens: float = 0.0
    prefill_wait_s: float = 0.0
    slot_wait_s: float = 0.0

    @property
    def sample_count(self) -> int:
        """The number of prefills and streams that the cost was learned from."""
        return self.prefill_count + self.stream_count

    @property
    def is_learned(self) -> bool:
        """Whether enough streams were seen to plan the engines' roles by them."""
        return min(self.prefill_count, self.stream_count) >= SAMPLES_MIN

    @property
    def prefill_s(self) -> float:
        """The duration of an average prefill without queueing, or 0 if unknown."""
        return self.prefill_duration_s(self.prompt_tokens)

    def prefill_duration_s(self, tokens: float) -> float:
        """Return how long a prefill of ``tokens`` takes, or 0 if that is unknown."""
        if self.prefill_tokens_per_s <= 0:
            return 0.0
        return tokens / self.prefill_tokens_per_s

    def report(self) -> CostReport:
        """Return the values to pass on to other nodes."""
        return CostReport(
            self.prefill_count,
            self.stream_count,
            self.prompt_tokens,
            self.prefill_tokens_per_s,
            self.decode_s,
            self.reserved_tokens,
            self.prefill_wait_s,
            self.slot_wait_s,
        )

    @classmethod
    def of_report(cls, report: CostReport) -> "StreamCost":
        """Return the cost that another node has passed on."""
        known = report._asdict()
        return cls(**{name: known[name] for name in cls._fields if name in known})

    def with_prefill(self, seconds: float, tokens: int) -> "StreamCost":
        """Return the cost updated with another prefill."""
        rate = tokens / max(0.001, seconds)
        first_rates = self.first_rates
        if len(first_rates) < FIRST_RATES_MAX:
            first_rates = tuple(sorted((*first_rates, rate)))
            rate_estimate = first_rates[int(RATE_QUANTILE * (len(first_rates) - 1))]
        elif rate > self.prefill_tokens_per_s:
            rate_estimate = self.prefill_tokens_per_s * RATE_INCREASE_FACTOR
        else:
            rate_estimate = self.prefill_tokens_per_s * RATE_DECREASE_FACTOR
        count = self.prefill_count
        wait_s = max(0.0, seconds - tokens / max(1.0, rate_estimate))
        return self._replace(
            prefill_count=count + 1,
            prefill_wait_s=moved_average(
                self.prefill_wait_s, wait_s, count, WAIT_WEIGHT_MIN
            ),
            prompt_tokens=moved_average(self.prompt_tokens, tokens, count),
            prefill_tokens_per_s=rate_estimate,
            first_rates=first_rates,
        )

    def with_slot_wait(self, seconds: float) -> "StreamCost":
        """Return the cost updated with a wait for a decode slot, granted or not."""
        average_s = self.slot_wait_s
        average_s += WAIT_WEIGHT_MIN * (seconds - average_s)
        return self._replace(slot_wait_s=average_s)

    def with_stream(self, seconds: float, tokens: int) -> "StreamCost":
        """Return the cost updated with a stream that reserved ``tokens`` tokens."""
        count = self.stream_count
        return self._replace(
            stream_count=count + 1,
            decode_s=moved_average(self.decode_s, seconds, count),
            reserved_tokens=moved_average(self.reserved_tokens, tokens, count),
        )


def moved_average(
    average: float, value: float, count: int, weight_min: float = AVERAGE_WEIGHT_MIN
) -> float:
    """Return a moving average after another value; ``count`` values came before."""
    weight = max(weight_min, 1.0 / (count + 1))
    return average + weight * (value - average)


def expected_stream_s(
    first_s: float, elapsed_s: float, events: int, expected_events: float
) -> float | None:
    """Return how long a stream will take by its pace so far, or None if unknown.

    Its first events came after ``first_s``, and ``events`` more of them within
    ``elapsed_s`` after that. A stream may end with bytes that complete no event.
    """
    if events <= 0:
        return None
    return first_s + elapsed_s / events * expected_events


def merge_costs(costs: Iterable[StreamCost]) -> StreamCost:
    """Combine what several nodes have learned, weighted by their recent samples.

    A node's older samples have little weight in its averages and count no further.
    """
    rows = list(costs)
    sample_max = 1.0 / AVERAGE_WEIGHT_MIN
    prefills = [min(sample_max, row.prefill_count) for row in rows]
    streams = [min(sample_max, row.stream_count) for row in rows]
    return StreamCost(
        prefill_count=sum(row.prefill_count for row in rows),
        stream_count=sum(row.stream_count for row in rows),
        prompt_tokens=weighted_mean([row.prompt_tokens for row in rows], prefills),
        prefill_tokens_per_s=weighted_mean(
            [row.prefill_tokens_per_s for row in rows], prefills
        ),
        decode_s=weighted_mean([row.decode_s for row in rows], streams),
        reserved_tokens=weighted_mean([row.reserved_tokens for row in rows], streams),
        prefill_wait_s=weighted_mean([row.prefill_wait_s for row in rows], prefills),
        slot_wait_s=weighted_mean([row.slot_wait_s for row in rows], streams),
    )


def weighted_mean(values: Sequence[float], weights: Sequence[float]) -> float:
    """Return the weighted mean, or 0 if all weights are 0."""
    total = sum(weights)
    if total <= 0:
        return 0.0
    pairs = zip(values, weights, strict=True)
    return sum(value * weight for value, weight in pairs) / total
