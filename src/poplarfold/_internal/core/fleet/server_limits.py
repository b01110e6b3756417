"""The limits that endpoints name in their answers, and this host's share of them.

An endpoint in need names how many calls a second it takes from all hosts together. The
limit holds for one incarnation, until an answer without one. The hosts keep to it
without a message between them: each ranks all hosts by the endpoint's id, and only as
many of the first ones send calls as the limit has room for, each an equal part of it.
The others rarely send one, to learn when the limit has ended.

    >>> share_of(LimitHosts("a", frozenset("ab")), "i-1", 4.0, 1).calls_per_s
    2.0
"""

import math
from collections.abc import Container
from functools import lru_cache
from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.core.state import Table
from poplarfold._internal.utils.rendezvous import rank_hosts

__all__ = ["LimitHosts", "LimitRow", "LimitShare", "ServerLimits", "share_of"]

ENDPOINTS_MAX = 4096
# How many calls an endpoint gets for one use: a decode engine one for the lease and one
# for the stream.
CALLS_PER_USE = {
    EndpointRole.SERVICE: 1,
    EndpointRole.PREFILL: 1,
    EndpointRole.DECODE: 2,
}
# A limit below this one, zero too, counts as this one, since only an answer tells when
# the limit has ended.
LIMIT_MIN_PER_S = 0.25
# All hosts together may save up what a second of the limit allows, and so many calls.
# An endpoint that names no calls at all stands four at once, and each host must be able
# to save up one.
SAVED_CALLS = 3.0
# The part of a limit that the hosts without a share of it may use to ask for its end.
TRIAL_SHARE = 0.1
# How long each turn of such a host lasts. A call that it does not send in its turn is
# not saved up.
TRIAL_TURN_S = 1.0


class LimitHosts(NamedTuple):
    """The hosts that may call an endpoint, ``me`` among them.

    ``names`` is empty while they are unknown; ``number`` is how many they are, or an
    assumed number.
    """

    me: str
    names: frozenset[str]
    number: int = 0


class LimitShare(NamedTuple):
    """What one host may send of a limit.

    ``calls_at_once`` is how many calls it may save up. If it ``is_trial``, it sends one
    call in each turn instead, and a turn comes every ``1 / calls_per_s``. ``pace_s`` is
    the time between two uses of the endpoint by a host that has a share.
    """

    calls_per_s: float
    calls_at_once: float
    is_trial: bool
    pace_s: float


class LimitRow(NamedTuple):
    """The limit of an incarnation of an endpoint, which it named last at a time.

    ``calls`` could be sent at ``counted_at``; less than zero if more were sent than
    the share allows. ``phase`` shifts the turns of trials, as a part of their period.
    """

    incarnation: int
    limit_per_s: float
    named_at: float
    calls: float
    counted_at: float
    phase: float
    tried_at: float = -math.inf


class ServerLimits:
    """The limits by endpoint id. Times are seconds of the runtime's clock.

    Every call to an endpoint counts, also those that reserve or release something.
    """

    def __init__(self) -> None:
        self.rows: Table[str, LimitRow] = Table()

    def record(
        self,
        endpoint: FleetEndpoint,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
        phase: float = 0.0,
    ) -> bool:
        """Record the limit in an answer to a call; return whether it has changed.

        ``sent_at`` is the time of the call. An answer to a call that was sent before
        the limit was last named does not end it. ``phase`` is a random number from 0
        to 1.
        """
        row = self.rows.get(endpoint.endpoint_id)
        if row is not None and row.incarnation > endpoint.incarnation:
            return False
        if limit_per_s is None:
            return self._end(endpoint, row, sent_at)
        if row is None or row.incarnation != endpoint.incarnation:
            # Nothing is saved up: other hosts may have sent what the limit allows.
            row = LimitRow(endpoint.incarnation, -1.0, now, 0.0, now, phase)
        if len(self.rows) >= ENDPOINTS_MAX and endpoint.endpoint_id not in self.rows:
            del self.rows[next(iter(self.rows))]
        changed = row._replace(limit_per_s=limit_per_s, named_at=now)
        self.rows.put(endpoint.endpoint_id, changed)
        return row.limit_per_s != limit_per_s

    def may_use(self, endpoint: FleetEndpoint, hosts: LimitHosts, now: float) -> bool:
        """Return whether this host may use an endpoint now."""
        return self.wait_s(endpoint, hosts, now) <= 0.0

    def wait_s(self, endpoint: FleetEndpoint, hosts: LimitHosts, now: float) -> float:
        """Return after which time this host may use an endpoint, in seconds."""
        row, share = self._row(endpoint), self.share(endpoint, hosts)
        if row is None or share is None:
            return 0.0
        if share.is_trial:
            return trial_wait_s(row, share, now)
        missing = CALLS_PER_USE[endpoint.role] - available_calls(row, share, now)
        return max(0.0, missing / share.calls_per_s)

    def share(self, endpoint: FleetEndpoint, hosts: LimitHosts) -> LimitShare | None:
        """Return this host's share of an endpoint's limit; None without a limit."""
        row = self._row(endpoint)
        if row is None:
            return None
        calls = CALLS_PER_USE[endpoint.role]
        return share_of(hosts, endpoint.endpoint_id, row.limit_per_s, calls)

    def charge(self, endpoint: FleetEndpoint, hosts: LimitHosts, now: float) -> None:
        """Count a call that is about to be sent, also if the share allows none."""
        row, share = self._row(endpoint), self.share(endpoint, hosts)
        if row is None or share is None:
            return
        calls = available_calls(row, share, now) - 1.0
        changed = row._replace(calls=calls, counted_at=now, tried_at=now)
        self.rows.put(endpoint.endpoint_id, changed)

    def remove_except(self, kept: Container[str]) -> None:
        """Forget the limits of endpoints that are not in ``kept``."""
        for endpoint_id, _ in self.rows.rows():
            if endpoint_id not in kept:
                del self.rows[endpoint_id]

    def _row(self, endpoint: FleetEndpoint) -> LimitRow | None:
        row = self.rows.get(endpoint.endpoint_id)
        if row is None or row.incarnation != endpoint.incarnation:
            return None
        return row

    def _end(
        self, endpoint: FleetEndpoint, row: LimitRow | None, sent_at: float
    ) -> bool:
        if row is None or (
            row.incarnation == endpoint.incarnation and sent_at < row.named_at
        ):
            return False
        del self.rows[endpoint.endpoint_id]
        return True


def share_of(
    hosts: LimitHosts, endpoint_id: str, limit_per_s: float, calls: int
) -> LimitShare:
    """Return this host's share of a limit, if each use takes so many calls.

    In any time ``t``, all hosts with a share together send at most
    ``limit x t + limit + SAVED_CALLS`` calls.
    """
    count = max(1, len(hosts.names) or hosts.number)
    limit = max(limit_per_s, LIMIT_MIN_PER_S)
    saved = limit_per_s + SAVED_CALLS
    senders = int(min(count, max(1.0, saved // calls)))
    pace_s = calls * senders / limit
    if not has_share(hosts, endpoint_id, senders, count):
        others = max(1, count - senders)
        return LimitShare(TRIAL_SHARE * limit / others, calls, True, pace_s)
    return LimitShare(limit / senders, saved / senders, False, pace_s)


@lru_cache(maxsize=4096)
def has_share(hosts: LimitHosts, endpoint_id: str, senders: int, count: int) -> bool:
    """Return whether this host is one of the hosts that may send calls."""
    if senders >= count:
        return True
    if not hosts.names:
        return False
    return hosts.me in rank_hosts(endpoint_id, hosts.names)[:senders]


def available_calls(row: LimitRow, share: LimitShare, now: float) -> float:
    """Return how many calls a host with a share may send now."""
    gained = max(0.0, now - row.counted_at) * share.calls_per_s
    return min(share.calls_at_once, row.calls + gained)


def trial_wait_s(row: LimitRow, share: LimitShare, now: float) -> float:
    """Return the time until the next turn of a host without a share."""
    period_s = 1.0 / share.calls_per_s
    since_turn_s = (now + row.phase * period_s) % period_s
    is_used = now - row.tried_at <= since_turn_s
    if since_turn_s < TRIAL_TURN_S and not is_used:
        return 0.0
    return period_s - since_turn_s
