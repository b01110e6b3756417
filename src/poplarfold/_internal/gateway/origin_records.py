"""The records by which hosts tell each other which versions have begun streams."""

import json
import zlib
from typing import NamedTuple

from poplarfold._internal.core.fleet.stream_origins import BaseVersion, Origin
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.utils.checks import check_integer, check_text
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = [
    "OriginRecord",
    "decode_base",
    "decode_origin",
    "encode_base",
    "encode_origin",
    "partition_of",
]


class OriginRecord(NamedTuple):
    """The origin of the stream that a caller's attempt has begun."""

    request_id: str
    origin: Origin


def partition_of(request_id: str, partitions: int) -> int:
    """Return the partition that has the records of a caller's attempt."""
    return zlib.crc32(request_id.encode("utf-8", "surrogatepass")) % partitions


def encode_origin(origin: Origin) -> bytes:
    """Return the value of the record of an origin."""
    return json.dumps(list(origin)).encode()


def decode_origin(value: bytes) -> Origin:
    """Decode the value of the record of an origin. Raises PlatformFormatError."""
    try:
        service, version, attempt = parse_json(value)
        return Origin(
            check_text(service, "service"),
            check_text(version, "version"),
            check_integer(attempt, "attempt"),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise PlatformFormatError(f"origin of a stream: {error!r}"[:300]) from error


def encode_base(base: BaseVersion) -> bytes:
    """Return the value of the record of a base version."""
    fields = {"version": base.version, "ending": base.is_ending, "era": base.era}
    return json.dumps(fields).encode()


def decode_base(service: str, value: bytes) -> BaseVersion:
    """Decode the record of a service's base version. Raises PlatformFormatError."""
    try:
        fields = parse_json(value)
        version = check_text(fields["version"], "version")
        era = fields.get("era")
        if era is not None:
            era = check_integer(era, "era")
        return BaseVersion(version, fields["ending"] is True, era)
    except MALFORMED_DOCUMENT_ERRORS as error:
        problem = f"base version of {service}: {error!r}"
        raise PlatformFormatError(problem[:300]) from error
