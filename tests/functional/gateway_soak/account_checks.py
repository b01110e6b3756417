"""Checks of API keys and quotas, on the records of callers and endpoints."""

from collections.abc import Iterator

from tests.functional.gateway_soak.accounts import KeyRing, KeyRow, quota_bound
from tests.functional.gateway_soak.checks import RECOVERY_S
from tests.functional.gateway_soak.nodes import BOUNDS
from tests.functional.gateway_soak.records import Arrival, Attempt, Records

__all__ = ["check_accounts"]

APPLY_S = BOUNDS["config_apply_ms"] / 1000
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
        late_s = attempt.sent_at - removal_at(records, owner, attempt.node)
        if late_s > REVOKE_S and (arrival.ran or arrival.is_prefill):
            records.add_violation(
                "revocation", f"{work} ran, sent {late_s:.2f} s after the removal"
            )
    check_quota(records)


def removal_at(records: Records, row: KeyRow, node: str) -> float:
    """Return when the removal of a key was acknowledged, for a node.

    A removal that a return of the store has lost is acknowledged once more when it is
    written again. That counts for a node that had not yet to know the lost one, or that
    has started since: the store could not tell it in between.
    """
    may_lack_it = row.lost_at - row.removed_at < APPLY_S
    may_lack_it |= records.is_disturbed(row.removed_at - RECOVERY_S, row.lost_at, node)
    started = records.has_restarted(row.removed_at - RECOVERY_S, row.again_at, node)
    is_lost = row.lost_at < float("inf")
    return row.again_at if is_lost and (may_lack_it or started) else row.removed_at


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
