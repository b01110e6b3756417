"""HTTP client for the platform's log: reads, long polls and appends."""

import base64
from urllib.parse import quote

from urllib3.util import parse_url

from poplarfold._internal.core.commands import AppendLog, ReadLog
from poplarfold._internal.core.events import (
    LogAppended,
    LogAppendFailed,
    LogReadCompleted,
    LogReadFailed,
    LogRecord,
)
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Answer, Target
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["LogClient", "address_of"]

READ_TIMEOUT_S = 2.0
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
STATUS_TOO_MANY = 429


def address_of(url: str) -> str:
    """Return ``host:port`` of an HTTP URL."""
    parts = parse_url(url)
    return f"{parts.host}:{parts.port or 80}"


class LogClient:
    """Reads and appends log records and returns the results as core events."""

    def __init__(
        self, client: EndpointClient, url: str, append_timeout_s: float
    ) -> None:
        self.client = client
        self.address = address_of(url)
        self.append_timeout_s = append_timeout_s
        self.read_failed = False

    def read(self, command: ReadLog) -> LogReadCompleted | LogReadFailed:
        """Read records, waiting up to ``wait_s`` of the command for new ones."""
        path = (
            f"/streams/{quote(command.stream, safe='')}?from={command.start}"
            f"&limit={command.limit}&wait_ms={int(command.wait_s * 1000)}"
        )
        result = self.client.exchange(
            Target(self.address, "GET", path),
            None,
            {},
            command.wait_s + READ_TIMEOUT_S,
            # After a failed read the other pooled connections may be broken too.
            use_new_connection=self.read_failed,
        )
        self.read_failed = result.is_err()
        if result.is_err():
            return LogReadFailed(command.stream, command.start, False, 0)
        return parse_read(command, result.unwrap())

    def append(self, command: AppendLog) -> LogAppended | LogAppendFailed:
        """Append one record. If the response is lost, the outcome is unknown."""
        target = Target(
            self.address, "POST", f"/streams/{quote(command.stream, safe='')}"
        )
        headers = {"Record-Id": command.record_id}
        # A repeat on a second connection could append the record twice.
        result = self.client.exchange(
            target,
            command.data,
            headers,
            self.append_timeout_s,
            use_new_connection=True,
        )
        if result.is_err():
            failure = result.unwrap_err()
            return LogAppendFailed(command.stream, command.record_id, failure.sent)
        answer = result.unwrap()
        offset = answer.json().get("offset")
        if answer.status == 200 and isinstance(offset, int):
            return LogAppended(command.stream, command.record_id, offset)
        is_certain = answer.status in {STATUS_TOO_MANY, STATUS_UNAVAILABLE} or (
            400 <= answer.status < 500
        )
        return LogAppendFailed(command.stream, command.record_id, not is_certain)


def parse_read(command: ReadLog, answer: Answer) -> LogReadCompleted | LogReadFailed:
    """Return the event for a read response, which may be malformed."""
    failed = LogReadFailed(command.stream, command.start, False, 0)
    try:
        body = parse_json(answer.body)
        if answer.status == STATUS_GONE:
            return failed._replace(expired=True, first=int(body["first"]))
        if answer.status != 200:
            return failed
        records = tuple(
            LogRecord(
                int(row["offset"]),
                str(row["record_id"]),
                base64.b64decode(row["data"], validate=True),
            )
            for row in body["records"]
        )
        return LogReadCompleted(
            command.stream,
            command.start,
            int(body["first"]),
            int(body["next"]),
            records,
        )
    except MALFORMED_DOCUMENT_ERRORS:
        return failed
