"""The platform's store: newest records of a topic, and reads from an offset."""

import base64
import json
import struct
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from poplarfold._internal.daemon.endpoint_client import (
    Answer,
    EndpointClient,
    Failure,
    Target,
)
from poplarfold._internal.exceptions import (
    PlatformFormatError,
    StoreGapError,
    StoreUnavailableError,
)

__all__ = ["NewestRecords", "Record", "StoreClient", "StoreTopic"]

# The end and the first kept offset come before the records of a read.
READ_HEAD = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
READ_LIMIT_KB = 4096
KEY_LIMIT_BYTES = 255
NEWEST_PATH = "/v1/log-newest"
SERVER_ERROR = 500


class StoreTopic(StrEnum):
    """The keyed topics that the router uses."""

    ROUTES = "keyed.op"
    ENDPOINTS = "keyed.servers"
    # The router's own.
    NODES = "keyed.poplarfold.nodes"


class Record(NamedTuple):
    """One record. ``value`` is None if the key was dropped.

    ``offset`` is its place in the topic, where the call tells it.
    """

    key: str
    value: bytes | None
    offset: int = -1


class NewestRecords(NamedTuple):
    """Records in the order of their offsets, and the offset after the last."""

    records: tuple[Record, ...]
    end: int


class StoreClient:
    """Reads and writes the store over one client. Safe for many threads.

    ``note_call`` takes the kind of each call (newest, read, append) and whether
    the store answered it.
    """

    def __init__(
        self,
        client: EndpointClient,
        address: str,
        note_call: Callable[[str, bool], None] = lambda call, is_ok: None,
    ) -> None:
        self.client = client
        self.address = address
        self.note_call = note_call

    def read_newest(
        self, topic: StoreTopic, timeout_s: float
    ) -> Result[NewestRecords, StoreUnavailableError | PlatformFormatError]:
        """Return the newest record of each key of a topic.

        Pages are no snapshot, so the end of the first page is returned: a
        read from there repeats what changed while the pages were fetched.
        """
        records: list[Record] = []
        first_end: int | None = None
        after: str | None = None
        while True:
            query = {"topic": topic.value, "part": "0"}
            if after is not None:
                query["after"] = after
            answered = self._get(NEWEST_PATH, query, timeout_s)
            if answered.is_err():
                return Err(answered.unwrap_err())
            try:
                page = json.loads(answered.unwrap())
                rows = [
                    Record(
                        str(row["key"]),
                        base64.b64decode(row["value"]),
                        int(row.get("offset", -1)),
                    )
                    for row in page["items"]
                ]
                end = int(page["end"])
                has_more = bool(page.get("has_more")) and bool(rows)
            except (ValueError, KeyError, TypeError) as error:
                return Err(PlatformFormatError(f"newest records: {error!r}"))
            records.extend(rows)
            first_end = end if first_end is None else first_end
            if not has_more:
                return Ok(NewestRecords(tuple(records), first_end))
            after = rows[-1].key

    def read_from(
        self, topic: StoreTopic, offset: int, wait_s: float, timeout_s: float
    ) -> Result[NewestRecords, StoreUnavailableError | PlatformFormatError]:
        """Return the records from an offset, waiting up to ``wait_s`` for one.

        Returns StoreGapError if those records have been deleted.
        """
        query = {
            "topic": topic.value,
            "part": "0",
            "from": str(offset),
            "max_kb": str(READ_LIMIT_KB),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answered = self._get("/v1/log-read", query, wait_s + timeout_s)
        if answered.is_err():
            return Err(answered.unwrap_err())
        try:
            return Ok(decode_read(answered.unwrap(), offset))
        except (struct.error, ValueError) as error:
            return Err(PlatformFormatError(f"records of {topic}: {error!r}"))

    def read_end(
        self, topic: str, offset: int, timeout_s: float
    ) -> Result[int, StoreUnavailableError]:
        """Return the end of a topic's log, read from an offset."""
        query = {"topic": topic, "part": "0", "from": str(offset), "wait_ms": "0"}
        target = Target(self.address, "GET", f"/v1/log-read?{urlencode(query)}")
        result = self._exchange("read", target, timeout_s)
        if result.is_err():
            return Err(StoreUnavailableError(str(result.unwrap_err().error)))
        answer = result.unwrap()
        if answer.status == 404:
            # A topic exists from its first record on.
            return Ok(0)
        if answer.status != 200 or len(answer.body) < READ_HEAD.size:
            return Err(StoreUnavailableError(f"{topic}: status {answer.status}"))
        return Ok(int(READ_HEAD.unpack_from(answer.body)[0]))

    def append_at(
        self, topic: str, end: int, record: bytes, timeout_s: float
    ) -> Result[int, StoreUnavailableError]:
        """Append a record if the log still ends at ``end``; return its offset.

        An error leaves open whether the record was appended.
        """
        query = {"topic": topic, "part": "0", "at": str(end)}
        return self._append(query, record, timeout_s)

    def put_keyed(
        self, topic: StoreTopic, key: str, value: bytes, timeout_s: float
    ) -> Result[int, StoreUnavailableError]:
        """Write the newest record of a key; return its offset."""
        name = key.encode()[:KEY_LIMIT_BYTES]
        query = {"topic": topic.value, "part": "0"}
        return self._append(query, bytes([len(name)]) + name + value, timeout_s)

    def _append(
        self, query: dict[str, str], record: bytes, timeout_s: float
    ) -> Result[int, StoreUnavailableError]:
        topic = query["topic"]
        target = Target(self.address, "POST", f"/v1/log-append?{urlencode(query)}")
        body = RECORD_LENGTH.pack(len(record)) + record
        result = self._exchange("append", target, timeout_s, body)
        if result.is_err():
            return Err(StoreUnavailableError(str(result.unwrap_err().error)))
        answer = result.unwrap()
        offset = answer.json().get("offset")
        if answer.status != 200 or type(offset) is not int:
            return Err(StoreUnavailableError(f"{topic}: status {answer.status}"))
        return Ok(offset)

    def _exchange(
        self, call: str, target: Target, timeout_s: float, body: bytes | None = None
    ) -> Result[Answer, Failure]:
        """Make one call and count it; a write goes out on a new connection."""
        fresh = body is not None
        result = self.client.exchange(target, body, {}, timeout_s, fresh=fresh)
        is_ok = result.is_ok() and result.unwrap().status < SERVER_ERROR
        self.note_call(call, is_ok)
        return result

    def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Result[bytes, StoreUnavailableError]:
        target = Target(self.address, "GET", f"{path}?{urlencode(query)}")
        call = "newest" if path == NEWEST_PATH else "read"
        result = self._exchange(call, target, timeout_s)
        if result.is_err():
            return Err(StoreUnavailableError(str(result.unwrap_err().error)))
        answer = result.unwrap()
        if answer.status == 410:
            return Err(StoreGapError(f"{path}: the records have been deleted"))
        if answer.status != 200:
            return Err(StoreUnavailableError(f"{path}: status {answer.status}"))
        return Ok(answer.body)


def decode_read(data: bytes, offset: int) -> NewestRecords:
    """Decode the body of a read. Raises struct.error or ValueError."""
    READ_HEAD.unpack_from(data)
    at = READ_HEAD.size
    records: list[Record] = []
    count = 0
    while at < len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, at)
        at += RECORD_LENGTH.size
        content = data[at : at + length]
        if len(content) < length:
            raise ValueError("a record is cut off")
        at += length
        count += 1
        record = decode_keyed(content)
        if record is not None:
            records.append(record)
    return NewestRecords(tuple(records), offset + count)


def decode_keyed(content: bytes) -> Record | None:
    """Decode the key and value of one record; None if it is malformed."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return Record(key, value or None)
