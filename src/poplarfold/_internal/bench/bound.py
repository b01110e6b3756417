"""Upper bound on the calls that any scheduler can answer within their targets.

Each call j has work w_j that a pool of engines must do inside a window
[r_j, d_j]. The pool is relaxed to one machine that works at the sum of the
engines' best rates, may preempt and split calls, and knows all calls in
advance. Every real schedule is also a schedule of this machine, so the largest
number of calls that the machine can finish in time is an upper bound.

For one interval [s, t], take the calls whose windows start at or after s and
end at or before t, and allow all of them to start at s. The Moore-Hodgson rule
("An n job, one machine sequencing algorithm for minimizing the number of late
jobs", Management Science 15(1), 1968) gives the smallest number of these calls
that must still be late. Disjoint intervals contain different calls, so these
numbers add up. The bound is the number of calls minus the largest such sum over
a family of disjoint intervals. Dynamic programming over a grid of interval
starts finds the family. A coarser grid loosens the bound but keeps it valid.

The prefill pool and the decode pool each give a bound, and the smaller one
applies. Prefill work is counted without fixed costs and as if every block of an
earlier call were still cached. Decode work is counted at the rate of a full
batch, the highest rate of an engine, and may end as late as the target for the
time between outputs allows.
"""

import heapq
from bisect import bisect_left
from typing import NamedTuple

__all__ = ["Job", "max_calls_in_time"]

MAX_INTERVAL_STARTS = 200


class Job(NamedTuple):
    """Work of one call, in seconds of the whole pool, and its time window."""

    release_at: float
    due_at: float
    work_s: float


def max_calls_in_time(jobs: list[Job]) -> int:
    """Return the upper bound on calls in time for one pool."""
    feasible = [job for job in jobs if job.work_s <= job.due_at - job.release_at]
    if not feasible:
        return 0
    by_due = sorted(feasible, key=lambda job: job.due_at)
    releases = sorted(job.release_at for job in feasible)
    stride = max(1, len(releases) // MAX_INTERVAL_STARTS)
    starts = releases[::stride]
    # late_before[i] is the largest number of calls that must be late in disjoint
    # intervals that end at or before starts[i]. The last item covers all intervals.
    late_before = [0] * (len(starts) + 1)
    for index, start in enumerate(starts):
        if index > 0:
            late_before[index] = max(late_before[index], late_before[index - 1])
        late = 0
        total_s = 0.0
        scheduled: list[float] = []
        for job in by_due:
            if job.release_at < start:
                continue
            heapq.heappush(scheduled, -job.work_s)
            total_s += job.work_s
            if total_s > job.due_at - start + 1e-9:
                total_s += heapq.heappop(scheduled)
                late += 1
                next_start = bisect_left(starts, job.due_at)
                late_before[next_start] = max(
                    late_before[next_start], late_before[index] + late
                )
    return len(feasible) - max(late_before)
