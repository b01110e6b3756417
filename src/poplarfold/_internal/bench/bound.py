"""An upper bound on the calls that any scheduler can answer within targets.

Let each call j have work w_j that a pool of engines must do for it inside a
window [r_j, d_j]. Replace the pool by one machine that works at the sum of the
engines' best rates, may interrupt and split calls, and knows all calls in
advance. Every real schedule is a schedule of this machine, so the largest
number of calls that the machine can finish in time is an upper bound.

For one interval [s, t], take the calls whose windows start at or after s and
end at or before t, and let them all start at s already. Moore and Hodgson's
rule ("An n job, one machine sequencing algorithm for minimizing the number of
late jobs", Management Science 15(1), 1968) gives the least number of these
calls that must be late even so. Calls of disjoint intervals are different
calls, so these numbers add up over disjoint intervals. The bound is the number
of calls less the largest such sum over a family of disjoint intervals. The
family is found by dynamic programming over a grid of interval starts; a coarser
grid only makes the bound looser, never wrong.

The prefill pool and the decode pool each give a bound; the smaller one holds.
Prefill work is counted without fixed costs and as if every block that an
earlier call had was still cached. Decode work is counted at the rate of a full
batch, the highest that an engine reaches, and may end as late as the target
for the time between outputs allows.
"""

import heapq
from bisect import bisect_left
from typing import NamedTuple

__all__ = ["Job", "calls_in_time_at_most"]

STARTS_MAX = 200


class Job(NamedTuple):
    """Work of one call in seconds of a whole pool, and its window."""

    release: float
    due: float
    work_s: float


def calls_in_time_at_most(jobs: list[Job]) -> int:
    """Return the bound for one pool."""
    feasible = [job for job in jobs if job.work_s <= job.due - job.release]
    if not feasible:
        return 0
    by_due = sorted(feasible, key=lambda job: job.due)
    releases = sorted(job.release for job in feasible)
    stride = max(1, len(releases) // STARTS_MAX)
    starts = releases[::stride]
    # lost[i] is the most that must be late in disjoint intervals that end at
    # or before starts[i]; the last one collects all intervals.
    lost = [0] * (len(starts) + 1)
    for index, start in enumerate(starts):
        if index > 0:
            lost[index] = max(lost[index], lost[index - 1])
        late = 0
        total_s = 0.0
        kept: list[float] = []
        for job in by_due:
            if job.release < start:
                continue
            heapq.heappush(kept, -job.work_s)
            total_s += job.work_s
            if total_s > job.due - start + 1e-9:
                total_s += heapq.heappop(kept)
                late += 1
                after = bisect_left(starts, job.due)
                lost[after] = max(lost[after], lost[index] + late)
    return len(feasible) - max(lost)
