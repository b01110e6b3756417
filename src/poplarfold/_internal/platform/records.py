"""Decodes the configuration and the endpoint entries of the platform's store."""

import math
from collections.abc import Callable, Mapping
from typing import Any

from poplarfold._internal.core.fleet.rows import (
    CallKind,
    FleetEndpoint,
    RequestLimits,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.platform.account_records import (
    decode_accounts,
    decode_priority,
)
from poplarfold._internal.utils.checks import (
    check_address,
    check_integer,
    check_number,
    check_sendable,
    check_text,
)
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["decode_endpoint", "decode_routes"]

KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_REPEATABLE,
    "streaming": CallKind.STREAM,
}
# Roles by the stage that an endpoint announces; those of plain services announce none.
ROLES = {
    "prefill": EndpointRole.PREFILL,
    "decode": EndpointRole.DECODE,
    None: EndpointRole.SERVICE,
}
# The fields that each endpoint writes into its entry, and their checks. An entry
# without one of them comes from another writer. Engines also write ``stage``.
ENTRY_FIELDS: Mapping[str, Callable[[object, str], Any]] = {
    "service": check_sendable,
    "address": check_address,
    "zone": check_text,
    "version": check_sendable,
    "slots": check_integer,
    "state": check_text,
    "cold_left_ms": check_number,
    "seq": check_integer,
    "born": check_integer,
}
# The longest description of a problem, in characters: an error may quote the value.
PROBLEM_MAX = 300
# Whether an endpoint in this state is draining.
STATES = {"ready": False, "draining": True}


def decode_routes(value: bytes) -> RouteTable:
    """Decode the record of the complete configuration.

    Raises PlatformFormatError if any part of it is malformed. With only the valid
    part, calls to the other routes would get status 404.
    """
    try:
        fields = parse_json(value)
        services = {
            row["name"]: decode_service(row) for row in fields.get("services") or []
        }
        return RouteTable(
            version=check_integer(fields["version"], "version"),
            routes=tuple(decode_route(row) for row in fields["routes"]),
            services=services,
            accounts=decode_accounts(fields.get("tenants")),
            limits=decode_limits(fields.get("limits") or {}),
        )
    except (UnicodeDecodeError, UnicodeEncodeError) as error:
        # Its text quotes the document, which has API keys.
        problem = f"configuration: {type(error).__name__}: {error.reason}"
        raise PlatformFormatError(problem) from None
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise PlatformFormatError(f"configuration: {error!r}"[:PROBLEM_MAX]) from error


def decode_limits(fields: dict[str, Any]) -> RequestLimits:
    """Decode the limits of requests; a missing one is 0."""
    return RequestLimits(
        body_bytes=int(number_in(fields, "max_body_bytes", 0)),
        idle_s=number_in(fields, "idle_timeout_ms", 0) / 1000,
    )


def decode_service(row: dict[str, Any]) -> Service:
    """Decode one service; only services with engines have ``engine``."""
    engine = row.get("engine") or {}
    return Service(
        name=check_text(row["name"], "name"),
        slots=int(number_in(engine, "slots", 0)),
        memory_tokens=int(number_in(engine, "kv_tokens", 0)),
        lease_max_s=number_in(engine, "hold_ms", 0) / 1000,
        outputs_per_event=max(1, int(number_in(engine, "stride", 1))),
        role_change_s=number_in(engine, "swap_s", 0),
    )


def decode_route(row: dict[str, Any]) -> Route:
    """Decode one route, which has one service or a weighted list of services."""
    split = row.get("traffic_split")
    if split:
        services = tuple(
            WeightedService(
                check_text(part["service"], "service"),
                check_number(part["weight"], "weight"),
            )
            for part in split
        )
    else:
        services = (WeightedService(check_text(row["service"], "service"), 1.0),)
    timeout_ms = check_number(row["timeout_ms"], "timeout_ms")
    pause_ms = row.get("gap_aim_ms")
    return Route(
        name=check_text(row["name"], "name"),
        host=check_text(row["host"], "host").lower(),
        path_prefix=check_text(row["path_prefix"], "path_prefix"),
        kind=KINDS[row["kind"]],
        services=services,
        timeout_s=timeout_ms / 1000,
        target_s=number_in(row, "target_latency_ms", timeout_ms) / 1000,
        max_attempts=max(1, int(number_in(row, "max_attempts", 1))),
        resumable=row.get("resumable") is True,
        # The platform marks routes whose requests carry a prompt as sticky.
        uses_engine=row.get("sticky") is True,
        pause_s=math.inf
        if pause_ms is None
        else check_number(pause_ms, "gap_aim_ms") / 1000,
        is_public=row.get("public") is True,
        priority=decode_priority(row),
    )


def number_in(fields: Mapping[str, Any], key: str, default: float) -> float:
    """Return a number from a table, or the default if the table has no such key."""
    return check_number(fields.get(key, default), key)


def decode_endpoint(endpoint_id: str, value: bytes) -> FleetEndpoint:
    """Decode the entry of one endpoint.

    Raises PlatformFormatError if a field is missing or has a wrong type or an
    unknown value, or if the id or a field cannot be sent as it is. Such an entry was
    not written by an endpoint.
    """
    try:
        fields = parse_json(value)
        if not isinstance(fields, dict):
            raise TypeError("entry is not a JSON object")
        entry = {
            name: check(fields[name], name) for name, check in ENTRY_FIELDS.items()
        }
        return FleetEndpoint(
            endpoint_id=check_sendable(endpoint_id, "id"),
            incarnation=entry["born"],
            service=entry["service"],
            address=entry["address"],
            failure_domain=entry["zone"],
            role=ROLES[fields.get("stage")],
            slots=entry["slots"],
            is_leaving=STATES[entry["state"]],
            cold_start_left_s=entry["cold_left_ms"] / 1000,
            software_version=entry["version"],
            revision=entry["seq"],
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        problem = f"endpoint {endpoint_id!r}: {error!r}"
        raise PlatformFormatError(problem[:PROBLEM_MAX]) from error
