"""The presence records by which the nodes of the fleet know each other."""

import json
from collections.abc import Callable
from typing import Any

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.utils.checks import check_address, check_integer, check_number
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["decode_member", "encode_member"]


def encode_member(member: Member) -> bytes:
    """Return the value of a node's presence record."""
    fields = {
        "incarnation": member.incarnation,
        "region": member.region,
        "relay": member.address,
        "link_mbps": member.link_mbps,
        "failure_domain": member.failure_domain,
        "tunnel": member.tunnel_address,
    }
    return json.dumps(fields).encode()


def decode_member(host: str, value: bytes) -> Member:
    """Decode a presence record.

    A record of an earlier release has no address. Its node and one whose record is
    malformed count as members, but are no relays.
    """
    try:
        fields: Any = parse_json(value)
    except MALFORMED_DOCUMENT_ERRORS:
        fields = None
    if not isinstance(fields, dict):
        fields = {}
    region, domain = fields.get("region"), fields.get("failure_domain")
    return Member(
        host,
        value_or(check_integer, fields, "incarnation", 0),
        region if isinstance(region, str) else "",
        value_or(check_address, fields, "relay", None),
        value_or(check_number, fields, "link_mbps", 0.0),
        domain if isinstance(domain, str) else "",
        value_or(check_address, fields, "tunnel", None),
    )


def value_or(
    check: Callable[[object, str], Any], fields: dict[str, Any], key: str, default: Any
) -> Any:
    """Return a valid value of a table, or the default if it is missing or invalid."""
    try:
        return check(fields.get(key), key)
    except (TypeError, ValueError):
        return default
