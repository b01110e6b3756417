"""Checks of API keys and quotas, on the records of callers and endpoints."""

from collections.abc import Iterator

from tests.functional.gateway_soak.accounts import KeyRing, quota_bound
from tests.functional.gateway_soak.nodes import BOUNDS
from tests.functional.gateway_soak.records import Arrival, Attempt, Records

__all__ = ["check_accounts"]

REVOKE_S = BOUNDS["revoke_ms"] / 1000
WINDOW_S = float(BOUNDS["quota_window_s"])


def check_accounts(records: Records, keys: KeyRing) -> None:
    """Check what endpoints got against the keys that callers sent."""
    for attempt, arrival in known_arrivals(records):
        owner = keys.rows.get(attempt.key)
        work = f"{attempt.request_id} of {attempt.node}"
        if owner is None:
            records.add_violation("unknown keys", f"{work} was sent to an endpoint")
            continue
        if arrival.accounts != (owner.account,):
            records.add_violation(
                "account names", f"{work}: {arrival.accounts}, not {owner.account}"
            )
        late_s = attempt.sent_at - owner.removed_at
        if late_s > REVOKE_S and (arrival.ran or arrival.is_prefill):
            records.add_violation(
                "revocation", f"{work} ran, sent {late_s:.2f} s after the removal"
            )
    check_quota(records)


def known_arrivals(records: Records) -> Iterator[tuple[Attempt, Arrival]]:
    """Return the arrivals of recorded requests, each with its request."""
    attempts = {row.request_id: row for row in records.attempts}
    for arrival in records.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is not None:
            yield attempt, arrival


def check_quota(records: Records) -> None:
    """Requests that are sent and run within one window stay within the quota."""
    first: dict[str, tuple[float, float, int]] = {}
    for attempt, arrival in known_arrivals(records):
        if attempt.units and arrival.ran:
            row = (attempt.sent_at, arrival.at, attempt.units)
            known = first.setdefault(attempt.request_id, row)
            first[attempt.request_id] = min(known, row)
    rows = sorted(first.values())
    worst = max(
        (
            (sum(row[2] for row in rows[at:] if row[1] <= start + WINDOW_S), start)
            for at, (start, _, _) in enumerate(rows)
        ),
        default=(0, 0.0),
    )
    records.highest_window_share = worst[0] / quota_bound()
    if worst[0] > quota_bound():
        records.add_violation(
            "quota",
            f"{worst[0]} units in the window from {worst[1]:.2f},"
            f" {quota_bound():.0f} allowed",
        )
