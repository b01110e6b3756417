"""Which software version has begun a stream, for the hosts at which it is taken up.

A stream may go on only at the version that began it, and its caller may take it up at
any host, also after all hosts have been killed. Each service has a base version in the
store. A stream that another version begins is recorded in the store before its first
event is sent, so that a stream without a record was begun by the base version.

The base version changes in two steps once it has no endpoint any more, see
``next_base``: while it is ending, all streams are recorded. All streams without a
record have then ended when another base version follows.
"""

from collections.abc import Mapping
from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = [
    "LIST_AGE_MAX_S",
    "VERSION_SETTLED_S",
    "BaseVersion",
    "Origin",
    "OriginTable",
    "must_record",
    "next_base",
]

# Without the store, a list of endpoints tells which versions are in service for so
# long. No stream begins at a version before all hosts have seen it, or rely on their
# lists no more.
LIST_AGE_MAX_S = 3.0
VERSION_SETTLED_S = LIST_AGE_MAX_S + 0.2


class BaseVersion(NamedTuple):
    """The version that has begun the streams of a service without a record.

    While it ``is_ending``, the streams that it begins are recorded too. ``era`` is that
    of the store when it was written, or None if a release wrote it that knew no eras.
    In a later era, the record may be a copy that undoes a change, and records of
    streams may be missing.
    """

    version: str
    is_ending: bool = False
    era: int | None = None

    def is_confirmed(self, era: int) -> bool:
        """Return whether it was written in the current era of the store."""
        return self.era is None or self.era >= era

    def is_same_step(self, other: "BaseVersion | None") -> bool:
        """Return whether another one says the same of streams without a record."""
        return other is not None and self[:2] == other[:2]


class Origin(NamedTuple):
    """The service and version at which a caller's attempt began its stream.

    ``attempt`` counts the router's attempts, of which the last one counts.
    """

    service: str
    version: str
    attempt: int


class OriginTable:
    """Origins of streams by the id of the caller's attempt. Times are in seconds.

    An origin is forgotten ``life_s`` after it was last put.

    >>> table = OriginTable(life_s=30.0)
    >>> table.put("9c41", Origin("llm", "v2", 1), now=0.0)
    >>> table.find("9c41", now=29.0)
    'v2'
    >>> table.find("9c41", now=31.0) is None
    True
    """

    def __init__(self, life_s: float) -> None:
        self.life_s = life_s
        # In the order in which they were last put.
        self.rows: Table[str, tuple[Origin, float]] = Table()

    def put(self, request_id: str, origin: Origin, now: float) -> None:
        """Keep an origin, unless one of a later attempt is known."""
        known = self.rows.pop(request_id, None)
        if known is not None and known[0].attempt > origin.attempt:
            origin = known[0]
        self.rows.put(request_id, (origin, now))
        self._forget(now)

    def find(self, request_id: str, now: float) -> str | None:
        """Return the version that began a stream, or None if that is not known."""
        found = self.rows.get(request_id)
        if found is None or now - found[1] > self.life_s:
            return None
        return found[0].version

    def versions(self, service: str, now: float) -> set[str]:
        """Return the versions that have begun the known streams of a service."""
        self._forget(now)
        rows = (origin for origin, _ in self.rows.values())
        return {row.version for row in rows if row.service == service}

    def _forget(self, now: float) -> None:
        """Remove the origins that are too old."""
        while self.rows:
            request_id, (_, put_at) = next(iter(self.rows.items()))
            if now - put_at <= self.life_s:
                return
            del self.rows[request_id]


def must_record(base: BaseVersion | None, version: str) -> bool:
    """Return whether a stream that a version begins needs a record.

    ``base`` is None if the base version is not known.
    """
    return base is None or base.is_ending or base.version != version


def next_base(
    base: BaseVersion | None,
    endpoints: Mapping[str, int],
    absent_s: float,
    ending_s: float,
    life_s: float,
) -> BaseVersion | None:
    """Return the base version that should replace another one, or None.

    ``endpoints`` are the numbers of a service's endpoints by version. The base version
    has had none for ``absent_s``, and is known to be ending for ``ending_s``. Streams,
    and what hosts know of the base version, are at most ``life_s`` old.
    """
    if not endpoints:
        return None
    if base is not None and not base.is_ending:
        return base._replace(is_ending=True) if absent_s >= life_s else None
    if base is not None and ending_s < life_s:
        return None
    # The names break ties, so that all hosts choose the same version.
    return BaseVersion(max(endpoints, key=lambda name: (endpoints[name], name)))
