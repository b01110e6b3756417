"""Tests of the soak's check that hosts keep to the limits of endpoints."""

import pytest
from tests.functional.gateway_soak.limits import (
    OVER,
    SLACK,
    STABLE_S,
    TOLD_S,
    WINDOW_S,
    check_limits,
)
from tests.functional.gateway_soak.records import LimitRow, Records, Span

LIMIT_PER_S = 2.0
ALLOWED = int(OVER * LIMIT_PER_S * WINDOW_S + SLACK)


class EndpointRecords(Records):
    """Records of one endpoint that names a limit from the time 0 on."""

    def exchange(self, host, at, limit_per_s=LIMIT_PER_S, is_foreign=False):
        """Add a request of a host and its answer."""
        row = LimitRow("i-1 7", "127.0.0.1:80", f"watcher-{host}", at)
        self.add(row)
        self.add(
            row._replace(is_answer=True, limit_per_s=limit_per_s, is_foreign=is_foreign)
        )

    def exchange_often(self, host, start, count, is_foreign=False):
        """Add evenly spaced requests of a host within one window from a time on."""
        for number in range(count):
            at = start + WINDOW_S * number / count
            self.exchange(host, at, is_foreign=is_foreign)

    def check(self):
        """Return the violations that the check finds."""
        check_limits(self)
        return self.violations


def test_hosts_that_got_only_answers_to_other_requests_are_not_counted():
    """Guards against a host that counts as told by an answer that it must drop."""
    records = EndpointRecords()
    records.exchange("a", 0.0, is_foreign=True)
    records.exchange_often("a", STABLE_S, 3 * ALLOWED, is_foreign=True)
    assert records.check() == []
    assert records.highest_limit_share == 0.0


@pytest.mark.parametrize("more", [0, 1])
def test_hosts_that_passed_a_limit_on_are_counted(more):
    """Guards against a check that finds no host which goes over a limit."""
    records = EndpointRecords()
    records.exchange("a", 0.0)
    records.exchange_often("a", STABLE_S, ALLOWED + more)
    violations = records.check()
    assert len(violations) == more
    assert all(
        f"i-1 7 got {ALLOWED + 1} requests" in violation for violation in violations
    )


def test_later_answers_to_other_requests_excuse_no_host():
    """Guards against a host that counts as not told any more after such answers."""
    records = EndpointRecords()
    records.exchange("a", 0.0)
    records.exchange_often("a", STABLE_S, ALLOWED + 1, is_foreign=True)
    assert len(records.check()) == 1


@pytest.mark.parametrize("more", [0, 1])
def test_only_the_hosts_that_passed_a_limit_on_are_counted(more):
    """Guards against requests of hosts that were not told in the sum of the others."""
    records = EndpointRecords()
    records.exchange("a", 0.0)
    records.exchange("b", 0.0, is_foreign=True)
    records.exchange("c", 0.0)
    records.exchange_often("a", STABLE_S, ALLOWED // 2)
    records.exchange_often("b", STABLE_S, ALLOWED, is_foreign=True)
    records.exchange_often("c", STABLE_S, ALLOWED - ALLOWED // 2 + more)
    assert len(records.check()) == more


@pytest.mark.parametrize("is_late", [False, True])
def test_hosts_are_counted_from_the_first_answer_that_they_passed_on(is_late):
    """Guards against a host that is counted too early or never after answers to other
    requests; the time since the endpoint first named its limit begins with them."""
    records = EndpointRecords()
    records.exchange("a", 0.0, is_foreign=True)
    told_at = STABLE_S - TOLD_S
    records.exchange("a", told_at + 2 * WINDOW_S if is_late else told_at)
    records.exchange_often("a", STABLE_S, ALLOWED + 1, is_foreign=True)
    assert len(records.check()) == (0 if is_late else 1)


def test_a_host_is_told_anew_after_its_restart():
    """Guards against a restarted host that counts as told by an answer that it must
    drop."""
    records = EndpointRecords()
    records.exchange("a", 0.0)
    records.add(Span("kill", 1.0, 2.0, "a", False))
    records.exchange("a", 3.0, is_foreign=True)
    records.exchange_often("a", 2.0 + STABLE_S, ALLOWED + 1, is_foreign=True)
    assert records.check() == []
    records.exchange("a", 3.5)
    assert len(records.check()) == 1
