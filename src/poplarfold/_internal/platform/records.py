"""Decodes the configuration and the endpoints' entries in the platform's store."""

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
# Plain services announce no stage.
ROLES = {
    "prefill": EndpointRole.PREFILL,
    "decode": EndpointRole.DECODE,
    None: EndpointRole.SERVICE,
}
STATES = {"ready": False, "draining": True}


def decode_routes(value: bytes) -> RouteTable:
    """Decode the record of the whole configuration.

    Raises PlatformFormatError if any part of it is malformed: half a
    configuration would answer 404 for routes that exist.
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
    """Decode one service; only engines have ``engine``."""
    engine = row.get("engine") or {}
    return Service(
        name=str(row["name"]),
        slots=int(engine.get("slots", 0)),
        memory_tokens=int(engine.get("kv_tokens", 0)),
        hold_s=float(engine.get("hold_ms", 0.0)) / 1000,
        event_outputs=max(1, int(engine.get("stride", 1))),
    )


def decode_route(row: dict[str, Any]) -> Route:
    """Decode one route; it names one service or a weighted list of them."""
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
        # Routes whose requests carry a prompt are marked as sticky.
        uses_engine=row.get("sticky") is True,
    )


def decode_endpoint(endpoint_id: str, value: bytes) -> FleetEndpoint:
    """Decode the entry of one endpoint.

    Raises PlatformFormatError if a field is missing, of another type or not
    known: such an entry comes from another writer and names no endpoint.
    """
    try:
        fields = json.loads(value)
        if not isinstance(fields, dict):
            raise TypeError("not an object")
        cold_ms = fields.get("cold_left_ms", 0)
        return FleetEndpoint(
            endpoint_id=endpoint_id,
            born=whole_number(fields.get("born", 0), "born"),
            service=text(fields["service"], "service"),
            address=address(fields["address"]),
            failure_domain=text(fields["zone"], "zone"),
            role=ROLES[fields.get("stage")],
            slots=whole_number(fields["slots"], "slots"),
            is_leaving=STATES[fields["state"]],
            cold_left_s=finite_number(cold_ms, "cold_left_ms") / 1000,
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise PlatformFormatError(f"endpoint {endpoint_id}: {error!r}") from error


def text(value: object, name: str) -> str:
    """Return a string that is not empty. Raises TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a string")
    return value


def whole_number(value: object, name: str) -> int:
    """Return a whole number of at least 0. Raises TypeError or ValueError."""
    if type(value) is not int:
        raise TypeError(f"{name} is not a whole number")
    if value < 0:
        raise ValueError(f"{name} is negative")
    return value


def finite_number(value: object, name: str) -> float:
    """Return a finite number. Raises TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{name} is not finite")
    return float(value)


def address(value: object) -> str:
    """Return ``IP:PORT``. Raises TypeError or ValueError."""
    found = text(value, "address")
    host, _, port = found.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts):
        raise ValueError("address has no IPv4 address")
    if not 0 < int(port) < 65536:
        raise ValueError("address has no port")
    return found
