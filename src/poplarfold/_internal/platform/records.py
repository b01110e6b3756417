"""Decodes the configuration and the endpoint entries of the platform's store."""

import json
import math
from typing import Any

from poplarfold._internal.core.fleet.rows import (
    CallKind,
    FleetEndpoint,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import PlatformFormatError

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
# Whether an endpoint in this state is draining.
STATES = {"ready": False, "draining": True}


def decode_routes(value: bytes) -> RouteTable:
    """Decode the record of the complete configuration.

    Raises PlatformFormatError if any part of it is malformed. With only the valid
    part, calls to the other routes would get status 404.
    """
    try:
        fields = json.loads(value)
        services = {
            row["name"]: decode_service(row) for row in fields.get("services") or []
        }
        return RouteTable(
            version=int(fields["version"]),
            routes=tuple(decode_route(row) for row in fields["routes"]),
            services=services,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PlatformFormatError(f"configuration: {error!r}") from error


def decode_service(row: dict[str, Any]) -> Service:
    """Decode one service; only services with engines have ``engine``."""
    engine = row.get("engine") or {}
    return Service(
        name=str(row["name"]),
        slots=int(engine.get("slots", 0)),
        memory_tokens=int(engine.get("kv_tokens", 0)),
        lease_max_s=float(engine.get("hold_ms", 0.0)) / 1000,
        outputs_per_event=max(1, int(engine.get("stride", 1))),
        role_change_s=float(engine.get("swap_s", 0.0)),
    )


def decode_route(row: dict[str, Any]) -> Route:
    """Decode one route, which has one service or a weighted list of services."""
    split = row.get("traffic_split")
    if split:
        services = tuple(
            WeightedService(str(part["service"]), float(part["weight"]))
            for part in split
        )
    else:
        services = (WeightedService(str(row["service"]), 1.0),)
    timeout_s = float(row["timeout_ms"]) / 1000
    return Route(
        name=str(row["name"]),
        host=str(row["host"]).lower(),
        path_prefix=str(row["path_prefix"]),
        kind=KINDS[row["kind"]],
        services=services,
        timeout_s=timeout_s,
        target_s=float(row.get("target_latency_ms", timeout_s * 1000)) / 1000,
        max_attempts=max(1, int(row.get("max_attempts", 1))),
        resumable=row.get("resumable") is True,
        # The platform marks routes whose requests carry a prompt as sticky.
        uses_engine=row.get("sticky") is True,
        pause_s=float(row.get("gap_aim_ms", math.inf)) / 1000,
    )


def decode_endpoint(endpoint_id: str, value: bytes) -> FleetEndpoint:
    """Decode the entry of one endpoint.

    Raises PlatformFormatError if a field is missing or has a wrong type or an
    unknown value. Such an entry was not written by an endpoint.
    """
    try:
        fields = json.loads(value)
        if not isinstance(fields, dict):
            raise TypeError("entry is not a JSON object")
        cold_ms = fields.get("cold_left_ms", 0)
        return FleetEndpoint(
            endpoint_id=endpoint_id,
            incarnation=check_integer(fields.get("born", 0), "born"),
            service=check_text(fields["service"], "service"),
            address=check_address(fields["address"]),
            failure_domain=check_text(fields["zone"], "zone"),
            role=ROLES[fields.get("stage")],
            slots=check_integer(fields["slots"], "slots"),
            is_leaving=STATES[fields["state"]],
            cold_start_left_s=check_number(cold_ms, "cold_left_ms") / 1000,
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise PlatformFormatError(f"endpoint {endpoint_id}: {error!r}") from error


def check_text(value: object, name: str) -> str:
    """Return a non-empty string. Raises TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def check_integer(value: object, name: str) -> int:
    """Return a non-negative integer. Raises TypeError or ValueError."""
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    if value < 0:
        raise ValueError(f"{name} is negative")
    return value


def check_number(value: object, name: str) -> float:
    """Return a finite number. Raises TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{name} is not finite")
    return float(value)


def check_address(value: object) -> str:
    """Return a valid ``IP:PORT``. Raises TypeError or ValueError."""
    found = check_text(value, "address")
    host, _, port = found.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts):
        raise ValueError("address does not start with an IPv4 address")
    if not 0 < int(port) < 65536:
        raise ValueError("address does not end with a valid port")
    return found
