"""The presence records by which the nodes of the fleet know each other."""

import json
from typing import Any

from poplarfold._internal.core.fleet.relays import Member

__all__ = ["decode_member", "encode_member"]


def encode_member(member: Member) -> bytes:
    """Return the value of a node's presence record."""
    fields = {
        "incarnation": member.incarnation,
        "region": member.region,
        "relay": member.address,
        "link_mbps": member.link_mbps,
    }
    return json.dumps(fields).encode()


def decode_member(host: str, value: bytes) -> Member:
    """Decode a presence record.

    A record of an earlier release has no address. Its node and one whose record is
    malformed count as members, but are no relays.
    """
    try:
        fields: Any = json.loads(value)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict):
        fields = {}
    address, incarnation = fields.get("relay"), fields.get("incarnation")
    link_mbps = fields.get("link_mbps")
    return Member(
        host,
        incarnation if type(incarnation) is int else 0,
        str(fields.get("region", "")),
        address if isinstance(address, str) and ":" in address else None,
        float(link_mbps) if type(link_mbps) in (int, float) else 0.0,
    )
