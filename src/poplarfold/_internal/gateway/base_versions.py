"""The base versions of services in the store, see ``core/fleet/stream_origins``."""

import math
import threading
from collections.abc import Callable
from typing import NamedTuple

from poplarfold._internal.core.fleet.stream_origins import BaseVersion, next_base
from poplarfold._internal.core.fleet.write_retries import WriteRetries
from poplarfold._internal.exceptions import PlatformFormatError, StoreTopicMissingError
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.origin_records import decode_base, encode_base
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import VERSIONS_TOPIC, RecordBatch, StoreClient

__all__ = ["READ_AGE_MAX_S", "BaseVersions"]

# A base version that was read this long ago is read again before it is relied on. This
# is less than half of the shortest life of streams, so that each host learns in time
# that a base version is ending.
READ_AGE_MAX_S = 10.0
# The same for a host that has seen endpoints of no other version since. A base version
# takes at least two of the shortest lives of streams to be replaced.
READ_AGE_ALONE_S = 60.0
# A host reads the base versions again after this time while the store answers, so that
# it can rely on them through an outage of at least READ_AGE_ALONE_S less this.
READ_REFRESH_S = 30.0
# After a return of the store from an older copy, hosts have written their records of
# streams again within this time. Then the base version is confirmed.
CONFIRM_AFTER_S = 3.0
# A base version that is not confirmed is read again after this time.
UNCONFIRMED_READ_AGE_S = 0.3
# The longest pauses of the thread after the first failed read and after many. A call
# takes up to 0.8 s, so that the base versions are known within 4 s of an outage, when
# the rules' bounds hold again. 400 hosts make at most 178 calls a second.
READ_RETRY_FIRST_S = 0.3
READ_RETRY_LONGEST_S = 3.0
# The topic has one partition.
VERSIONS_PART = 0
# Hosts wait by their rank before they write a base version, so that mostly one does.
RANK_WAIT_S = 0.3
RANK_MAX = 10


class NextBase(NamedTuple):
    """A base version to write, if the topic still ends where it was decided."""

    base: BaseVersion
    end: int


class BaseVersions:
    """Reads the base versions, and chooses those that are missing. Thread-safe.

    ``rank`` returns the place of this host among those that may write, and
    ``answered_at`` when the last call began that the store has answered, as far as is
    known.
    """

    def __init__(
        self,
        fleet: Fleet,
        store: StoreClient,
        rank: Callable[[], int],
        write_log: WriteLog,
        answered_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.fleet = fleet
        self.store = store
        self.rank = rank
        self.answered_at = answered_at
        self.write_log = write_log
        self.timeout_s = fleet.settings.store_call_s
        self.lock = threading.Lock()
        self.bases: dict[str, BaseVersion] = {}
        # The offset behind the newest record of the topic, and when it was read.
        self.end = 0
        self.era = 0
        # By service, what the older copy says from which the store has come back, where
        # that is not the step that this host knew.
        self.undone: dict[str, BaseVersion | None] = {}
        # When this host saw that the store had come back, if it ran before that.
        self.returned_at: float | None = None
        self.read_at = float("-inf")
        self.first_read_at = float("inf")
        # By service, since when this host has known its base version to be ending.
        self.ending_since: dict[str, float] = {}
        # The pauses between reads that fail.
        self.retries = WriteRetries(
            READ_RETRY_FIRST_S, READ_RETRY_LONGEST_S, fleet.rng.random
        )
        self.stopping = threading.Event()

    def has_been_read(self) -> bool:
        """Return whether the store has answered a read."""
        return not math.isinf(self.first_read_at)

    def set_spread(self, spread_s: float) -> None:
        """Set the time within which all hosts read again after an outage."""
        with self.lock:
            self.retries.spread_s = spread_s

    def pause_left_s(self) -> float:
        """Return how long the pause after a failed read still lasts.

        It ends early, at a random time, if the store has answered another call since,
        of this host or of its relays.
        """
        with self.lock:
            now, answered_at = self.fleet.clock(), self.answered_at()
            return self.retries.left_s(VERSIONS_PART, now, answered_at)

    def read_unless_paused(self) -> bool:
        """Read the base versions for the thread that checks them.

        Returns whether the store answered. The reads of calls take no part in the
        pauses: they are made for a caller, and must not delay those of the thread.
        """
        if self.pause_left_s() > 0.0:
            return False
        began_at = self.fleet.clock()
        if self.read():
            return True
        with self.lock:
            self.retries.note_failure(VERSIONS_PART, began_at, self.fleet.clock())
        return False

    def read(self) -> bool:
        """Read the base versions; return whether the store answered."""
        started_at = self.fleet.clock()
        result = self.store.read_newest(VERSIONS_TOPIC, self.timeout_s)
        if result.is_ok():
            self._apply(result.unwrap(), started_at)
            return True
        error = result.unwrap_err()
        if isinstance(error, StoreTopicMissingError):
            # Nothing has been written to it yet.
            era = self.fleet.current_era()
            self._apply(RecordBatch((), 0, era=era), started_at)
            return True
        self.write_log("PF7117", None, {"problem": str(error)})
        return False

    def _apply(self, batch: RecordBatch, read_at: float) -> None:
        """Put the records of all base versions into force."""
        bases = {}
        for row in batch.records:
            try:
                bases[row.key] = decode_base(row.key, row.value or b"")
            except PlatformFormatError as error:
                self.write_log("PF7117", None, {"problem": str(error)})
        with self.lock:
            self.retries.note_success(VERSIONS_PART, self.fleet.clock())
            if read_at < self.read_at or batch.era < self.era:
                return
            if batch.era > self.era and self.has_been_read():
                self._note_return(bases, read_at)
            self.era = batch.era
            self._keep_undone(bases)
            self.bases, self.end, self.read_at = bases, batch.end, read_at
            self.first_read_at = min(self.first_read_at, read_at)
            versions = {service: base.version for service, base in bases.items()}
            self.ending_since = {
                service: self.ending_since.get(service, read_at)
                for service, base in bases.items()
                if base.is_ending
            }
        with self.fleet.lock:
            self.fleet.base_versions = versions

    def _note_return(self, copied: dict[str, BaseVersion], read_at: float) -> None:
        """Note what an older copy of the store has undone. The lock must be held."""
        self.returned_at = read_at
        self.ending_since = {}
        self.undone = {
            service: copied.get(service)
            for service, base in self.bases.items()
            if not base.is_same_step(copied.get(service))
        }

    def _keep_undone(self, bases: dict[str, BaseVersion]) -> None:
        """Keep to the known steps until some host has written them again.

        The lock must be held.
        """
        for service, copied in list(self.undone.items()):
            if bases.get(service) == copied:
                bases[service] = self.bases[service]
            else:
                del self.undone[service]

    def is_confirmed(self, service: str) -> bool:
        """Return whether streams without a record are those of the base version.

        In a new era of the store, that is so once records that it has lost have been
        written again.
        """
        base, era = self.last_read(service), self.fleet.current_era()
        if base is not None and base.era is None:
            # An earlier release wrote it. That says nothing of the eras since.
            return self.returned_at is None and self.era >= era
        return base is not None and base.is_confirmed(era)

    def is_trusted(self, base: BaseVersion) -> bool:
        """Return whether a base version is the newest step.

        That is not certain of a copy that this host has read at its start.
        """
        return self.returned_at is not None or base.is_confirmed(self.era)

    def known(self, service: str) -> BaseVersion | None:
        """Return the base version if it need not be read again, else None.

        It has hardly changed while this host has seen endpoints of no other version.
        """
        with self.lock:
            base, read_at = self.bases.get(service), self.read_at
            if base is not None and not self.is_trusted(base):
                return None
        age_s = self.fleet.clock() - read_at
        if base is None or age_s <= READ_AGE_MAX_S:
            return base
        if age_s > READ_AGE_ALONE_S:
            return None
        with self.fleet.lock:
            directory = self.fleet.directory
            is_only = directory.had_only_version(service, base.version, read_at)
        return base if is_only and not base.is_ending else None

    def current(self, service: str) -> BaseVersion | None:
        """Return the base version, which is read if it may have changed."""
        base = self.known(service)
        is_confirmed = self.is_confirmed(service)
        # An ending one may have been replaced since it was read.
        if base is not None and not base.is_ending and is_confirmed:
            return base
        with self.lock:
            age_s = self.fleet.clock() - self.read_at
            if not is_confirmed and age_s < UNCONFIRMED_READ_AGE_S:
                return self.bases.get(service)
        if not self.read():
            return None
        with self.lock:
            return self.bases.get(service)

    def last_read(self, service: str) -> BaseVersion | None:
        """Return the base version as it was last read."""
        with self.lock:
            return self.bases.get(service)

    def check(self, service: str, life_s: float) -> None:
        """Write a service's base version if it is missing or should change."""
        with self.lock:
            age_s = self.fleet.clock() - self.read_at
            is_outdated = self.era < self.fleet.current_era()
        if is_outdated and not self.read_unless_paused():
            return
        is_unknown = age_s > READ_AGE_MAX_S and self.known(service) is None
        with self.fleet.lock:
            is_store_settled = self.fleet.directory.is_store_settled(self.fleet.clock())
        is_due = age_s > READ_REFRESH_S and is_store_settled
        must_read = is_unknown or is_due
        if must_read and not self.read_unless_paused() and is_unknown:
            return
        if self.next(service, life_s) is None:
            return
        # Another host may write it meanwhile.
        self.stopping.wait(RANK_WAIT_S * min(RANK_MAX, self.rank()))
        if not self.read_unless_paused():
            return
        found = self.next(service, life_s)
        if found is not None:
            self._write(service, found)

    def next(self, service: str, life_s: float) -> NextBase | None:
        """Return the base version that a service should get, or None."""
        now = self.fleet.clock()
        with self.fleet.lock:
            is_settled = self.fleet.directory.is_store_settled(now)
        with self.lock:
            base, end, era = self.bases.get(service), self.end, self.era
            lost = self._lost_step(service, now, life_s, is_settled)
            if lost is not None:
                return NextBase(lost, end)
            ending_s = now - self.ending_since.get(service, now)
            first_read_at = self.first_read_at
        with self.fleet.lock:
            directory = self.fleet.directory
            # An endpoint's entry may be missing because the store was away.
            if base is not None and not is_settled:
                return None
            endpoints = directory.versions(service)
            absent_s = 0.0
            if base is not None and base.version not in endpoints:
                left_at = directory.version_left_at(service, base.version)
                absent_s = now - max(left_at, first_read_at)
        found = next_base(base, endpoints, absent_s, ending_s, life_s)
        return None if found is None else NextBase(found._replace(era=era), end)

    def _lost_step(
        self, service: str, now: float, life_s: float, is_settled: bool
    ) -> BaseVersion | None:
        """Return what to write again in a new era of the store, if it is time.

        A step that the store has lost is written at once, as it was, and one without an
        era with that of the first read. It is confirmed later, by a host that ran
        before the return, or that has run for so long that no earlier stream
        is left. The lock must be held.
        """
        base = self.bases.get(service)
        if base is None:
            return None
        if base.era is None and self.returned_at is None:
            return base._replace(era=self.era)
        if base.era is not None and base.is_confirmed(self.era):
            return None
        if service in self.undone:
            return base
        since, wait_s = self.returned_at, CONFIRM_AFTER_S
        if since is None:
            since, wait_s = self.first_read_at, life_s
        # Hosts write again what is lost once the store answers them.
        is_due = is_settled and now - since >= wait_s
        return base._replace(era=self.era) if is_due else None

    def _write(self, service: str, found: NextBase) -> None:
        """Write a base version, unless another host has written one meanwhile."""
        base = found.base
        result = self.store.put_keyed_at(
            VERSIONS_TOPIC, service, encode_base(base), found.end, self.timeout_s
        )
        fields = {
            "service": service,
            "software_version": base.version,
            "is_ending": base.is_ending,
            "problem": str(result.unwrap_err()) if result.is_err() else "",
        }
        self.write_log("PF7115", None, fields)
        self.read_unless_paused()
