"""Limits that plain endpoints name, and the check that all hosts keep to them."""

import bisect
import math
import random
import threading
from collections import defaultdict

from tests.functional.gateway_soak.backends import SoakEndpoint
from tests.functional.gateway_soak.records import CUT, LimitRow, Records

__all__ = ["LimitNamer", "check_limits"]

# The platform's rule: from STABLE_S after a limit was first named, its endpoint gets at
# most OVER times the limit and SLACK requests in any window, of the hosts that passed
# on an answer with a limit TOLD_S before or earlier.
STABLE_S = WINDOW_S = 4.0
OVER, SLACK, TOLD_S = 1.5, 5, 0.5
LIMITS_PER_S = (1.0, 3.5)
UNLIMITED_S, LIMITED_S = (0.5, 2.0), (7.0, 12.0)
# What happens to a host excuses it until STABLE_S after its end.
EXCUSES = ("stop", "kill", "pause", "link", CUT)


class LimitNamer(threading.Thread):
    """Has two endpoints at a time name limits for a while, and at times change them."""

    def __init__(self, seed: int, endpoints: list[SoakEndpoint]) -> None:
        super().__init__(daemon=True)
        # Does not draw from the generator of the steps, so that the seeds in seeds.md
        # still draw the same steps.
        self.rng = random.Random(f"limits-{seed}")
        self.endpoints = [row for row in endpoints if row.stage is None]
        self.stopping = threading.Event()

    def run(self) -> None:
        """Name limits until stopped."""
        while not self.stopping.wait(self.rng.uniform(*UNLIMITED_S)):
            chosen = self.rng.sample(self.endpoints, 2)
            for _ in range(self.rng.randint(1, 2)):
                for endpoint in chosen:
                    endpoint.limit_per_s = round(self.rng.uniform(*LIMITS_PER_S), 1)
                self.stopping.wait(self.rng.uniform(*LIMITED_S))
            for endpoint in chosen:
                endpoint.limit_per_s = None


def check_limits(records: Records) -> None:
    """No endpoint gets more requests than the limit that it names allows."""
    hosts = {row.request_id: row.node for row in records.attempts}
    rows: dict[str, list[LimitRow]] = defaultdict(list)
    for row in sorted(records.limit_rows, key=lambda row: row.at):
        rows[row.endpoint].append(row)
    for endpoint, found in rows.items():
        named = [
            (row.at, row.limit_per_s) for row in found if row.limit_per_s is not None
        ]
        counted = counted_times(records, found, hosts)
        for number, start in enumerate(counted):
            end = start + WINDOW_S
            count = bisect.bisect_right(counted, end) - number
            # The limit that was in force at the start, and the later ones.
            first = bisect.bisect_right(named, (start, math.inf)) - 1
            last = bisect.bisect_right(named, (end, math.inf))
            limit = max(limit for _, limit in named[first:last])
            share = count / (OVER * limit * WINDOW_S + SLACK)
            records.highest_limit_share = max(records.highest_limit_share, share)
            if share > 1.0:
                records.add_violation(
                    "endpoint limits",
                    f"{endpoint} got {count} requests in the window from {start:.2f},"
                    f" {count / share:.1f} allowed",
                )
                break


def counted_times(
    records: Records, rows: list[LimitRow], hosts: dict[str, str]
) -> list[float]:
    """Return when an endpoint got the requests that the rule counts, in order.

    A host is told a limit by each answer that it may pass on, also if it calls another
    endpoint instead. It must not pass on an answer with the id of another request,
    which still counts for the limit that is in force, and for when it was first named.
    """
    counted = []
    named_at = math.inf
    told_at: dict[str, float] = {}
    for row in rows:
        # Ids that do not belong to recorded requests end with the host.
        host = hosts.get(row.request_id) or row.request_id.partition("-")[2]
        excused_until = max(
            (
                span.end
                for span in records.spans
                if span.start <= row.at
                and span.kind.startswith(EXCUSES)
                and (span.where == host or span.kind.endswith(row.address))
            ),
            default=-math.inf,
        )
        if not row.is_answer:
            is_told = excused_until <= told_at.get(host, math.inf) <= row.at - TOLD_S
            is_stable = row.at >= max(named_at, excused_until) + STABLE_S
            if is_told and is_stable:
                counted.append(row.at)
        elif row.limit_per_s is None:
            named_at = math.inf
            told_at.clear()
        else:
            named_at = min(named_at, row.at)
            is_told = host in told_at and told_at[host] >= excused_until
            if not is_told and not row.is_foreign:
                told_at[host] = row.at
    return counted
