"""Decodes the records of the store's topics, each by itself."""

from collections.abc import Callable
from typing import Any, NamedTuple

from poplarfold._internal.core.fleet.keyed_view import ViewRecord
from poplarfold._internal.core.fleet.rows import RouteTable
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.gateway.member_records import decode_member
from poplarfold._internal.gateway.part_records import decode_part_state
from poplarfold._internal.platform import StoreTopic, decode_endpoint, decode_routes

__all__ = ["DecodedRecord", "decode_record"]

ROUTES_KEY = "config"


class DecodedRecord(NamedTuple):
    """A record and what it says.

    ``row`` is None if the key was deleted, and if the value cannot be decoded; then
    ``error`` tells why.
    """

    record: ViewRecord
    row: Any = None
    error: PlatformFormatError | None = None


def decode_record(topic: StoreTopic, record: ViewRecord) -> DecodedRecord:
    """Decode one record of a topic.

    Any program may have written it. Whatever error that causes must cost this record
    only, and not the others that were read with it.
    """
    if record.value is None:
        return DecodedRecord(record)
    try:
        return DecodedRecord(record, DECODERS[topic](record.key, record.value))
    except PlatformFormatError as error:
        return DecodedRecord(record, None, error)
    except Exception as error:
        problem = f"{topic.value}, key {record.key}: {type(error).__name__}"
        return DecodedRecord(record, None, PlatformFormatError(problem))


def decode_routes_record(key: str, value: bytes) -> RouteTable | None:
    """Decode the configuration; None for any other key. Raises PlatformFormatError."""
    return decode_routes(value) if key == ROUTES_KEY else None


DECODERS: dict[StoreTopic, Callable[[str, bytes], Any]] = {
    StoreTopic.ROUTES: decode_routes_record,
    StoreTopic.ENDPOINTS: decode_endpoint,
    StoreTopic.NODES: decode_member,
    StoreTopic.PARTS: decode_part_state,
}
