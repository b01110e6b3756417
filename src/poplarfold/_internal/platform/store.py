"""Client of the platform's store, a log with topics and newest records by key."""

import base64
import struct
import threading
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.order_lease import LogEnd
from poplarfold._internal.exceptions import (
    PlatformFormatError,
    StoreGapError,
    StoreTopicMissingError,
    StoreUnavailableError,
)
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Answer, Target
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.utils.checks import check_integer, check_text
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = [
    "ORIGINS_TOPIC",
    "VERSIONS_TOPIC",
    "AppendPlace",
    "Appended",
    "Record",
    "RecordBatch",
    "StoreClient",
    "StoreTopic",
]

# The body of a read begins with the end offset and the first offset that is kept.
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
READ_LIMIT_KB = 4096
KEY_LIMIT_BYTES = 255
# Rises each time the store comes back from an older copy. Offsets of another era name
# other records.
ERA_HEADER = "Store-Era"
ERA_DIGITS_MAX = 7
# With a higher era, fencing numbers would not be exact in JSON (2**53).
ERA_MAX = 2**21 - 1
# An answer may take longer than a call's timeout if it arrives at this rate. That is a
# tenth of the slowest link, which a host shares with its callers.
BYTES_PER_S_MIN = 62_500
NEWEST_PATH = "/v1/log-newest"
# Which software versions have begun streams, by the id of the caller's attempt.
ORIGINS_TOPIC = "keyed.poplarfold.origins"
# The base version of each service, by its name.
VERSIONS_TOPIC = "keyed.poplarfold.versions"
OK = 200
NOT_FOUND = 404
GONE = 410
SERVER_ERROR = 500
# The longest description of a problem, in characters: an error may quote the answer.
PROBLEM_MAX = 300


class StoreTopic(StrEnum):
    """Keyed topics that the router uses."""

    ROUTES = "keyed.op"
    ENDPOINTS = "keyed.servers"
    # Presence records of the router's own nodes.
    NODES = "keyed.poplarfold.nodes"
    # Parts of prompts under which engines have crashed.
    PARTS = "keyed.poplarfold.parts"


class Record(NamedTuple):
    """One record. ``value`` is None if the key was deleted.

    ``offset`` is its position in the topic, or -1 if the call does not return it.
    """

    key: str
    value: bytes | None
    offset: int = -1


class RecordBatch(NamedTuple):
    """Records in the order of their offsets, and the offset to read on from.

    An answer ``has_more`` if its topic has records that did not fit into it. The
    offsets are those of an ``era`` of the store.
    """

    records: tuple[Record, ...]
    end: int
    has_more: bool = False
    era: int = 0


class Appended(NamedTuple):
    """The offset of the first record of an append, in an era of the store."""

    offset: int
    era: int


class AppendPlace(NamedTuple):
    """The place of an append in the order of a producer's appends to a partition.

    The store rejects appends of an earlier epoch than it has seen. Within an epoch,
    numbers follow each other; a higher epoch may begin with any number.
    """

    producer: str
    epoch: int
    seq: int


class StoreClient:
    """Reads and writes the store over one HTTP client. Thread-safe.

    ``on_call`` is called after each call with its kind (newest, read or append) and
    whether the store answered it without a server error. ``on_era`` gets the era in
    each answer.
    """

    def __init__(
        self,
        endpoint_client: EndpointClient,
        address: str,
        on_call: Callable[[str, bool], None] = lambda kind, is_ok: None,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self.endpoint_client = endpoint_client
        self.address = address
        self.on_call = on_call
        self.on_era = on_era
        self.lock = threading.Lock()
        # The highest era that an answer has named.
        self.last_era = 0

    def read_newest(
        self, topic: str, timeout_s: float, part: int = 0
    ) -> Result[RecordBatch, StoreUnavailableError | PlatformFormatError]:
        """Return the newest record of each key of a partition.

        The pages are not a snapshot, so the end offset of the first page is
        returned: a read from there repeats all changes made while the pages were
        fetched.
        """
        records: list[Record] = []
        first_end: int | None = None
        first_era: int | None = None
        after: str | None = None
        while True:
            query = {"topic": str(topic), "part": str(part)}
            if after is not None:
                query["after"] = after
            page_result = self._get(NEWEST_PATH, query, timeout_s)
            if page_result.is_err():
                return Err(page_result.unwrap_err())
            answer = page_result.unwrap()
            era = self.era_of(answer)
            if first_era not in (None, era):
                return Err(StoreGapError("the store came back older between pages"))
            first_era = era
            try:
                page = parse_json(answer.body)
                rows = page["items"]
                end = check_integer(page["end"], "end")
                has_more = bool(page.get("has_more")) and bool(rows)
                if has_more:
                    after = check_text(rows[-1]["key"], "key")
                records.extend(filter(None, map(decode_newest, rows)))
            except MALFORMED_DOCUMENT_ERRORS as error:
                problem = f"newest records: {error!r}"
                return Err(PlatformFormatError(problem[:PROBLEM_MAX]))
            first_end = end if first_end is None else first_end
            if not has_more:
                return Ok(RecordBatch(tuple(records), first_end, era=era))

    def read_from(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        timeout_s: float,
        part: int = 0,
    ) -> Result[RecordBatch, StoreUnavailableError | PlatformFormatError]:
        """Return the records from an offset, waiting up to ``wait_s`` for the first.

        Returns StoreGapError if the records at that offset have been deleted.
        """
        query = {
            "topic": str(topic),
            "part": str(part),
            "from": str(offset),
            "max_kb": str(READ_LIMIT_KB),
            "wait_ms": str(int(wait_s * 1000)),
        }
        read_result = self._get("/v1/log-read", query, wait_s + timeout_s)
        if read_result.is_err():
            return Err(read_result.unwrap_err())
        answer = read_result.unwrap()
        try:
            return Ok(
                decode_read(answer.body, offset)._replace(era=self.era_of(answer))
            )
        except (struct.error, ValueError) as error:
            return Err(PlatformFormatError(f"records of {topic}: {error!r}"))

    def read_end(
        self, topic: str, offset: int, timeout_s: float
    ) -> Result[LogEnd, StoreUnavailableError]:
        """Return the end of a topic, from a read that starts at ``offset``.

        If the log has no such offset any more, the read starts at its first record.
        """
        result = self._read_head(topic, offset, timeout_s)
        if result.is_ok() and result.unwrap().status == GONE:
            first = result.unwrap().json().get("first")
            if type(first) is int:
                result = self._read_head(topic, first, timeout_s)
        if result.is_err():
            return Err(StoreUnavailableError(str(result.unwrap_err().error)))
        answer = result.unwrap()
        if answer.status == NOT_FOUND:
            # A topic does not exist before its first record.
            return Ok(LogEnd(0, self.era_of(answer)))
        if answer.status != OK or len(answer.body) < READ_HEADER.size:
            return Err(
                StoreUnavailableError(
                    f"{topic}: the store answered with status {answer.status}"
                )
            )
        return Ok(LogEnd(READ_HEADER.unpack_from(answer.body)[0], self.era_of(answer)))

    def _read_head(
        self, topic: str, offset: int, timeout_s: float
    ) -> Result[Answer, Failure]:
        """Make a read of which only the head of the answer is of interest."""
        query = {"topic": topic, "part": "0", "from": str(offset), "wait_ms": "0"}
        target = Target(self.address, "GET", f"/v1/log-read?{urlencode(query)}")
        return self._send_request("read", target, timeout_s)

    def append_at(
        self, topic: str, end: int, record: bytes, timeout_s: float
    ) -> Result[Appended, StoreUnavailableError]:
        """Append a record if the log still ends at ``end``; return its position.

        After an error it is unknown whether the record was appended.
        """
        query = {"topic": topic, "part": "0", "at": str(end)}
        return self._append(query, (record,), timeout_s)

    def put_records(
        self,
        topic: str,
        part: int,
        rows: Sequence[tuple[str, bytes]],
        timeout_s: float,
        place: AppendPlace | None = None,
    ) -> Result[Appended, StoreUnavailableError]:
        """Append records for keys to a partition, all or none.

        An empty value deletes its key. Returns the position of the first record. After
        an error it is unknown whether they were appended, or will be. With a place,
        they will not be once an append of a later epoch was accepted.
        """
        records = [keyed_record(key, value) for key, value in rows]
        query = {"topic": topic, "part": str(part)}
        if place is not None:
            query["producer"] = place.producer
            query |= {"epoch": str(place.epoch), "seq": str(place.seq)}
        return self._append(query, records, timeout_s)

    def delete_keys_at(
        self,
        topic: str,
        part: int,
        keys: Sequence[str],
        end: int,
        timeout_s: float,
    ) -> Result[Appended, StoreUnavailableError]:
        """Delete keys of a partition, all or none, if it still ends at ``end``.

        After an error it is unknown whether they were deleted.
        """
        records = [keyed_record(key, b"") for key in keys]
        query = {"topic": topic, "part": str(part), "at": str(end)}
        return self._append(query, records, timeout_s)

    def put_keyed(
        self, topic: StoreTopic, key: str, value: bytes, timeout_s: float
    ) -> Result[Appended, StoreUnavailableError]:
        """Append a record for a key; return its position."""
        query = {"topic": topic.value, "part": "0"}
        return self._append(query, (keyed_record(key, value),), timeout_s)

    def put_keyed_at(
        self, topic: str, key: str, value: bytes, end: int, timeout_s: float
    ) -> Result[Appended, StoreUnavailableError]:
        """Append a record for a key if the topic still ends at ``end``.

        Returns its position. After an error it is unknown whether it was appended.
        """
        return self.append_at(topic, end, keyed_record(key, value), timeout_s)

    def _append(
        self, query: dict[str, str], records: Sequence[bytes], timeout_s: float
    ) -> Result[Appended, StoreUnavailableError]:
        topic = query["topic"]
        target = Target(self.address, "POST", f"/v1/log-append?{urlencode(query)}")
        body = b"".join(RECORD_LENGTH.pack(len(row)) + row for row in records)
        result = self._send_request("append", target, timeout_s, body)
        if result.is_err():
            return Err(StoreUnavailableError(str(result.unwrap_err().error)))
        answer = result.unwrap()
        offset = answer.json().get("offset")
        if answer.status != OK or type(offset) is not int:
            return Err(
                StoreUnavailableError(
                    f"{topic}: the store answered with status {answer.status}"
                )
            )
        return Ok(Appended(offset, self.era_of(answer)))

    def _send_request(
        self, kind: str, target: Target, timeout_s: float, body: bytes | None = None
    ) -> Result[Answer, Failure]:
        """Make one call and pass it to ``on_call``; a write uses a new connection."""
        use_new_connection = body is not None
        result = self.endpoint_client.exchange(
            target,
            body,
            {},
            timeout_s,
            use_new_connection=use_new_connection,
            bytes_per_s_min=BYTES_PER_S_MIN,
        )
        is_ok = result.is_ok() and result.unwrap().status < SERVER_ERROR
        self.on_call(kind, is_ok)
        if result.is_ok():
            self.on_era(self.era_of(result.unwrap()))
        return result

    def era_of(self, answer: Answer) -> int:
        """Return the era in an answer, or the last one if it names none."""
        text = answer.headers.get(ERA_HEADER, "")
        is_number = text.isascii() and text.isdigit() and len(text) <= ERA_DIGITS_MAX
        if not is_number or int(text) > ERA_MAX:
            return self.last_era
        era = int(text)
        with self.lock:
            # An answer that comes late names an earlier one.
            self.last_era = max(self.last_era, era)
        return era

    def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Result[Answer, StoreUnavailableError]:
        target = Target(self.address, "GET", f"{path}?{urlencode(query)}")
        kind = "newest" if path == NEWEST_PATH else "read"
        result = self._send_request(kind, target, timeout_s)
        if result.is_err():
            return Err(StoreUnavailableError(str(result.unwrap_err().error)))
        answer = result.unwrap()
        if answer.status == GONE:
            return Err(
                StoreGapError(f"{path}: the requested records have been deleted")
            )
        if answer.status == NOT_FOUND:
            return Err(StoreTopicMissingError(f"{path}: the topic does not exist"))
        if answer.status != OK:
            return Err(
                StoreUnavailableError(
                    f"{path}: the store answered with status {answer.status}"
                )
            )
        return Ok(answer)


def keyed_record(key: str, value: bytes) -> bytes:
    """Return the content of a record with a key."""
    name = key.encode()[:KEY_LIMIT_BYTES]
    return bytes([len(name)]) + name + value


def decode_newest(row: Any) -> Record | None:
    """Decode one row of the newest records, or return None if it is malformed."""
    try:
        return Record(
            check_text(row["key"], "key"),
            base64.b64decode(check_text(row["value"], "value"), validate=True),
            check_integer(row["offset"], "offset") if "offset" in row else -1,
        )
    except MALFORMED_DOCUMENT_ERRORS:
        return None


def decode_read(data: bytes, offset: int) -> RecordBatch:
    """Decode the body of a read. Raises struct.error or ValueError."""
    contents = split_records(data)
    log_end, _ = READ_HEADER.unpack_from(data)
    records = []
    for count, content in enumerate(contents):
        record = decode_keyed(content)
        if record is not None:
            records.append(record._replace(offset=offset + count))
    end = offset + len(contents)
    # Without any record an answer would be read again and again.
    return RecordBatch(tuple(records), end, bool(contents) and end < log_end)


def split_records(data: bytes) -> list[bytes]:
    """Return the records in the body of a read. Raises struct.error or ValueError."""
    READ_HEADER.unpack_from(data)
    at = READ_HEADER.size
    contents = []
    while at < len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, at)
        at += RECORD_LENGTH.size
        content = data[at : at + length]
        if len(content) < length:
            raise ValueError("record is truncated")
        at += length
        contents.append(content)
    return contents


def decode_keyed(content: bytes) -> Record | None:
    """Decode the key and value of one record, or return None if malformed."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return Record(key, value or None)
