"""Reads the file in which the platform describes the host of this process."""

import json
import os
from pathlib import Path
from typing import Any, NamedTuple

from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.utils.checks import check_number
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["Address", "Bounds", "HostSettings", "read_boot_file"]

BOOT_VARIABLE = "POPLARFOLD_BOOT"
# The longest description of a problem, in characters: an error may quote the value.
PROBLEM_MAX = 300
# The store removes an endpoint's entry after so many heartbeats without a write.
MISSED_HEARTBEATS = 3
HEARTBEAT_MS = 1200
APPEND_MS = 4.0


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int


class Bounds(NamedTuple):
    """Limits of the platform that the router's decisions depend on.

    A draining endpoint may still get work for ``leaving_s`` after the store has
    acknowledged its entry. ``grace_s`` is the time between SIGTERM and SIGKILL. A
    configuration must be in force within ``apply_s``. All nodes share the retry
    budget: within ``retry_window_s`` they may make ``retry_ratio`` retries per
    request, plus ``retry_slack``. After one node has given orders, no other node
    may give any within ``lease_s``. If ``strict_revoke``, no node may serve a call
    that was sent later than ``revoke_s`` after its key was removed. Within any
    ``quota_window_s``, all nodes may exceed the quota of an account by the share
    ``quota_over`` and by ``quota_slack`` units.
    """

    leaving_s: float = 2.5
    grace_s: float = 8.0
    apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    lease_s: float = 3.0
    strict_revoke: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0


class HostSettings(NamedTuple):
    """The host of this process and its place on the platform.

    ``regions`` maps each failure domain to its region. On ``peer_ports`` the
    router's own nodes may listen for each other. ``link_mbps`` is the rate of the
    host's network link in Mbit/s, ``memory_mb`` the limit of this process's memory, and
    ``max_files`` that of its descriptors. They are 0 if they are not given. A topic of
    the store has up to ``store_parts`` partitions, and each of them takes one append in
    ``store_append_s``. ``is_first_start`` is whether all nodes start for the first
    time, so that none has served calls before. The store removes the entry of an
    endpoint that has not written for ``endpoint_silence_s``.
    """

    host: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    caller_listen: Address
    ready_listen: Address
    store_address: str
    ip: str
    bounds: Bounds
    peer_ports: tuple[int, ...] = ()
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_files: int = 0
    store_parts: int = 1
    store_append_s: float = APPEND_MS / 1000
    is_first_start: bool = False
    endpoint_silence_s: float = MISSED_HEARTBEATS * HEARTBEAT_MS / 1000


def read_boot_file(path: str | None = None) -> HostSettings:
    """Read and check the file that the platform writes for this process.

    Unknown fields are ignored. Raises PlatformFormatError if a required field is
    missing or malformed, and OSError if the file cannot be read.
    """
    name = path or os.environ.get(BOOT_VARIABLE, "")
    if not name:
        raise PlatformFormatError(f"{BOOT_VARIABLE} is not set")
    try:
        return decode_boot(json.loads(Path(name).read_text()))
    except MALFORMED_DOCUMENT_ERRORS as error:
        problem = f"{name}: {error!r}"
        raise PlatformFormatError(problem[:PROBLEM_MAX]) from error


def decode_boot(fields: dict[str, Any]) -> HostSettings:
    """Decode the fields of the platform's settings file."""
    listen = fields["listen"]
    limits = fields.get("limits") or {}
    store = fields["platform"]
    return HostSettings(
        host=str(fields["node_name"]),
        failure_domain=str(fields["zone"]),
        region=str(fields["region"]),
        regions={str(key): str(value) for key, value in fields["zones"].items()},
        caller_listen=decode_address(listen["front"]),
        ready_listen=decode_address(listen["ready"]),
        store_address=str(store["address"]),
        ip=str(fields["ip"]),
        bounds=decode_bounds(fields.get("bounds") or {}),
        peer_ports=decode_port_range(fields.get("port_range")),
        link_mbps=float(limits.get("link_mbps") or 0.0),
        memory_mb=float(limits.get("memory_mb") or 0.0),
        max_files=int(limits.get("max_fds") or 0),
        store_parts=max(1, int(store.get("parts") or 1)),
        store_append_s=check_number(store.get("append_ms", APPEND_MS), "append_ms")
        / 1000,
        is_first_start=fields.get("bootstrap") is True,
        endpoint_silence_s=MISSED_HEARTBEATS
        * check_number(fields.get("heartbeat_ms", HEARTBEAT_MS), "heartbeat_ms")
        / 1000,
    )


def decode_bounds(fields: dict[str, Any]) -> Bounds:
    """Decode the platform's limits; a missing one keeps its default."""
    defaults = Bounds()

    def number(key: str, default: float) -> float:
        return check_number(fields.get(key, default), key)

    return Bounds(
        leaving_s=number("drain_ms", defaults.leaving_s * 1000) / 1000,
        grace_s=number("grace_s", defaults.grace_s),
        apply_s=number("config_apply_ms", defaults.apply_s * 1000) / 1000,
        retry_ratio=number("retry_budget_ratio", defaults.retry_ratio),
        retry_window_s=number("budget_window_s", defaults.retry_window_s),
        retry_slack=number("budget_slack", defaults.retry_slack),
        lease_s=number("lease_ms", defaults.lease_s * 1000) / 1000,
        strict_revoke=decode_flag(fields, "strict_revoke", defaults.strict_revoke),
        revoke_s=number("revoke_ms", defaults.revoke_s * 1000) / 1000,
        # The rule for quotas is checked as a whole where it is used.
        quota_window_s=float(fields.get("quota_window_s", defaults.quota_window_s)),
        quota_over=float(fields.get("quota_over", defaults.quota_over)),
        quota_slack=float(fields.get("quota_slack", defaults.quota_slack)),
    )


def decode_flag(fields: dict[str, Any], key: str, default: bool) -> bool:
    """Return a truth value. Raises TypeError if it is of another type."""
    value = fields.get(key, default)
    if not isinstance(value, bool):
        raise TypeError(f"{key} is neither true nor false")
    return value


def decode_port_range(value: Any) -> tuple[int, ...]:
    """Decode ``[FIRST, LAST]``; without a range there are no ports."""
    if not value:
        return ()
    first, last = (int(port) for port in value)
    return tuple(range(first, last + 1))


def decode_address(text: str) -> Address:
    """Decode ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
