"""Finds out which software version has begun a stream, at whichever host that was.

The rules are those of ``core/fleet/stream_origins``.
"""

import math
import threading
from collections.abc import Callable

from poplarfold._internal.core.fleet.fallback import (
    announce_spread_s,
    fallback_spread_s,
)
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.stream_origins import (
    LIST_AGE_MAX_S,
    BaseVersion,
    Origin,
    must_record,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import StreamVersionUnknownError
from poplarfold._internal.gateway.base_versions import READ_AGE_MAX_S, BaseVersions
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.origin_log import OriginLog, Recording
from poplarfold._internal.gateway.origin_reader import OriginReader
from poplarfold._internal.gateway.origin_records import OriginRecord
from poplarfold._internal.gateway.origin_sweep import OriginSweep
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import CallerCall, StoreClient

__all__ = ["StreamVersions"]

CHECK_PERIOD_S = 1.0
# During a pause after a failed read, a host looks this often whether the store answers.
ANSWER_CHECK_S = 0.1
# A stream lives for as long as its caller waits, in all of the caller's attempts. That
# is taken to be at most twice the longest timeout of a route, and at least this long.
LIFE_MIN_S = 30.0
# The first event of a stream waits so long for the record of its origin, at most. That
# is enough for a second write after the answer to the first one was lost.
RECORD_WAIT_S = 1.5


class StreamVersions:
    """The versions that have begun streams, of this host and of others. Thread-safe.

    recording = versions.begin(call.request_id, endpoint, attempt=1)
    versions.wait_written(recording, limit_s=1.0)
    version = versions.find(call, service)
    """

    def __init__(
        self,
        fleet: Fleet,
        store: StoreClient,
        rank: Callable[[], int],
        write_log: WriteLog,
    ) -> None:
        self.fleet = fleet
        self.write_log = write_log
        timeout_s = fleet.settings.store_call_s
        self.origins = OriginLog(
            store,
            fleet.host.store_parts,
            timeout_s,
            LIFE_MIN_S,
            fleet.clock,
            write_log,
            self.answered_at,
            fleet.rng.random,
        )
        self.reader = OriginReader(
            store,
            fleet.host.store_parts,
            timeout_s,
            LIFE_MIN_S,
            fleet.clock,
            write_log,
        )
        self.sweep = OriginSweep(
            store,
            fleet.host.store_parts,
            timeout_s,
            fleet.clock,
            fleet.rng,
            write_log,
        )
        self.bases = BaseVersions(fleet, store, rank, write_log, self.answered_at)
        # The services for which all origins have been read since the base versions had
        # been read. That takes a call for each partition, and is done when needed.
        self.read_services: set[str] = set()
        # How long streams live at most, by the current configuration.
        self.life_s: float | None = None
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start the threads.

        A base version that is written must delay no record, and the deletion of old
        records must delay neither of these.
        """
        start_thread("stream-origins", self.write_origins, self.write_log)
        start_thread("stream-versions", self.run, self.write_log)
        start_thread("origin-deletions", self.delete_origins, self.write_log)

    def write_origins(self) -> None:
        """Write the origins of this host's streams, until stopped."""
        while not self.stopping.is_set():
            self.origins.wait_pending(CHECK_PERIOD_S)
            self.origins.write_pending()

    def delete_origins(self) -> None:
        """Delete the old origins of this host and of ended ones, until stopped."""
        while not self.stopping.wait(CHECK_PERIOD_S):
            self.delete_old()

    def run(self) -> None:
        """Read what other hosts have written, then do what is due until stopped."""
        while not self.stopping.is_set():
            if not self.bases.has_been_read():
                self.bases.read_unless_paused()
            self.check()
            self.wait_for_check()

    def wait_for_check(self) -> None:
        """Wait for the next check, which is due at once when a pause ends."""
        until = self.fleet.clock() + CHECK_PERIOD_S
        is_paused = self.bases.pause_left_s() > 0.0
        while (left_s := until - self.fleet.clock()) > 0.0:
            if is_paused:
                pause_s = self.bases.pause_left_s()
                if pause_s <= 0.0:
                    return
                left_s = min(left_s, pause_s, ANSWER_CHECK_S)
            if self.stopping.wait(left_s):
                return

    def answered_at(self) -> float:
        """Return when the last read began that is known to have been answered.

        A relay may have made it.
        """
        known = list(self.fleet.knowledge.values())
        return max((row.read_at for row in known), default=-math.inf)

    def check(self) -> None:
        """Write the base versions that should change.

        What the store has lost since it came back from an older copy is written again.
        """
        nodes, host = self.fleet.node_count_assumed(), self.fleet.host
        spread_s = announce_spread_s(nodes, host.store_append_s)
        self.origins.set_spread(spread_s / host.store_parts)
        self.bases.set_spread(fallback_spread_s(nodes))
        self.origins.write_lost(self.fleet.current_era())
        with self.fleet.lock:
            table = self.fleet.directory.route_table
        if table is None:
            return
        longest_s = max((route.timeout_s for route in table.routes), default=0.0)
        life_s = max(LIFE_MIN_S, 2.0 * longest_s + READ_AGE_MAX_S)
        self.life_s = life_s
        self.origins.set_life(life_s)
        self.reader.set_life(life_s)
        for service in table.services.values():
            if service.has_engines:
                self.bases.check(service.name, life_s)

    def delete_old(self) -> None:
        """Delete the origins of this host, and those of ended hosts that are due."""
        self.origins.delete_old()
        if self.life_s is not None and self.fleet.is_store_up:
            self.sweep.step(self.life_s)

    def begin(
        self, request_id: str, endpoint: FleetEndpoint, attempt: int
    ) -> Recording | None:
        """Note that an attempt is made at an endpoint, which may begin a stream.

        Returns the record that the store must accept before the first event is sent, or
        None if it needs none.
        """
        version = endpoint.software_version
        origin = Origin(endpoint.service, version, attempt)
        is_needed = must_record(self.bases.known(endpoint.service), version)
        return self.origins.note(OriginRecord(request_id, origin), is_needed)

    def wait_written(self, recording: Recording, limit_s: float) -> bool:
        """Wait until the store has a record; return whether it has.

        There is no wait if the stream may begin without it and the store is away.
        """
        service = recording.record.origin.service
        if not self.origins.is_healthy() and self.may_begin_unrecorded(service):
            limit_s = 0.0
        return recording.is_written.wait(min(RECORD_WAIT_S, limit_s))

    def may_begin_unrecorded(self, service: str) -> bool:
        """Return whether a stream may begin although its record is not written.

        Another host would take the base version for the one that began it. Without an
        engine of that version the stream cannot go on, so that it is not joined. A host
        that has started while the store is away does not know the base version; if it
        sees one version only, there is no engine of another one.
        """
        base = self.bases.last_read(service)
        if base is not None:
            return not self._has_engine(service, base.version)
        with self.fleet.lock:
            return len(self.fleet.directory.versions(service)) == 1

    def only_version(self, service: str) -> str | None:
        """Return the version at which alone streams should begin now, or None for any.

        While no record can be written, that is the base version, which needs none.
        Raises StreamVersionUnknownError if that is not known.
        """
        if self.origins.is_healthy():
            return None
        if self.may_begin_unrecorded(service):
            return None
        base = self.bases.last_read(service)
        if base is None:
            raise StreamVersionUnknownError("no stream can be recorded at the moment")
        return base.version

    def _has_engine(self, service: str, version: str) -> bool:
        """Return whether a version has a decode engine."""
        with self.fleet.lock:
            directory = self.fleet.directory
            rows = directory.usable_endpoints(service, EndpointRole.DECODE)
            return any(row.software_version == version for row in rows)

    def find(self, call: CallerCall, service: str) -> str:
        """Return the version that began the stream that a caller takes up.

        Raises StreamVersionUnknownError.
        """
        if call.resumes is None:
            return self._find_unnamed(service)
        version = self.origins.find(call.resumes)
        if version is not None:
            return version
        if not self.fleet.is_store_up or not self.reader.read_origin(call.resumes):
            return self._find_without_store(call.resumes, service)
        # The origin first: a stream that began under a later base version has a record.
        version = self.reader.find(call.resumes)
        if version is not None:
            return version
        base = self.bases.current(service)
        if base is None:
            raise StreamVersionUnknownError("the base version cannot be read")
        is_confirmed = self.bases.is_confirmed(service)
        if not is_confirmed and not self._is_only_version(service, base):
            raise StreamVersionUnknownError("the store has just come back older")
        return base.version

    def _find_unnamed(self, service: str) -> str:
        """Return the version of a stream whose first attempt is not named."""
        base = self.bases.current(service)
        # Before it is confirmed, other hosts may have origins to write again.
        is_due = service not in self.read_services and self.bases.is_confirmed(service)
        if is_due and self.reader.read_all() and self.bases.is_confirmed(service):
            self.read_services.add(service)
        if base is not None and self._is_only_version(service, base):
            return base.version
        raise StreamVersionUnknownError("the caller does not say what it resumes")

    def _find_without_store(self, request_id: str, service: str) -> str:
        """Return the version of a stream while its record cannot be read."""
        base = self.bases.last_read(service)
        if base is not None and self._is_only_version(service, base):
            return base.version
        # Only an attempt of the same caller at the same host may have a later record.
        version = self.reader.find(request_id)
        if version is not None:
            return version
        raise StreamVersionUnknownError("the store does not say what began the stream")

    def _is_only_version(self, service: str, base: BaseVersion) -> bool:
        """Return whether only the base version can have begun streams.

        This host must have seen no endpoint of another version since it started, and no
        record of one, and its list must be recent. It must have read all records, or
        run for longer than streams live.
        """
        first_read_at = self.bases.first_read_at
        age_s = self.fleet.clock() - first_read_at
        if service not in self.read_services and age_s < self.origins.life_s:
            return False
        if base.is_ending:
            return False
        begun_by = self.origins.versions(service) | self.reader.versions(service)
        if begun_by - {base.version}:
            return False
        with self.fleet.lock:
            known = self.fleet.knowledge.get("endpoints")
            now, directory = self.fleet.clock(), self.fleet.directory
            if known is None or now - known.read_at > LIST_AGE_MAX_S:
                return False
            is_listed = base.version in directory.versions(service)
            return is_listed and directory.had_only_version(
                service, base.version, first_read_at
            )
