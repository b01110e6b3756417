"""Keys of a settings file, with their bounds and defaults."""

import math
import re
from typing import NamedTuple
from urllib.parse import urlsplit

from poplarfold._internal.daemon_settings import ListenAddress

__all__ = [
    "KEYS",
    "NAME_PATTERN",
    "POLICIES",
    "KeySpec",
    "check_value",
    "split_address",
]

POLICIES = ("owner", "p2c", "fixed", "random", "round-robin", "least-loaded")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class KeySpec(NamedTuple):
    """One key of the file. ``*`` in the path stands for any name.

    ``kind`` selects the check in ``check_value``. ``default`` is None for a key that
    must be set. ``minimum`` and ``maximum`` bound numbers, both inclusive.
    """

    path: str
    kind: str
    default: object
    meaning: str
    minimum: float = -math.inf
    maximum: float = math.inf


KEYS: tuple[KeySpec, ...] = (
    KeySpec("node.host", "name", None, "host id of this entry host"),
    KeySpec("node.domain", "name", None, "failure domain of this entry host"),
    KeySpec(
        "node.host_slot",
        "integer",
        0,
        "number of this entry host in its domain; selects its share of each limit",
        0,
        10_000,
    ),
    KeySpec("node.policy", "policy", "owner", "placement policy"),
    KeySpec(
        "node.strict_invariants",
        "boolean",
        False,
        "stop when an invariant is violated instead of only logging it",
    ),
    KeySpec("domains.*.region", "name", None, "region of the failure domain"),
    KeySpec(
        "domains.*.host_slots",
        "integer",
        None,
        "number of entry hosts over which the domain's part of a limit is split",
        1,
        10_000,
    ),
    KeySpec("listen.callers", "listen", None, "address for callers"),
    KeySpec("listen.operators", "listen", None, "address for operators"),
    KeySpec("listen.peers", "listen", None, "address for other nodes"),
    KeySpec("platform.log_url", "url", None, "URL of the log service"),
    KeySpec("platform.host_list_url", "url", None, "URL of the host list"),
    KeySpec("platform.weight_store_url", "url", None, "URL of the weight store"),
    KeySpec("peers.*.address", "address", None, "address of the node's peer link"),
    KeySpec("peers.*.domain", "name", None, "failure domain of the node"),
    KeySpec("accounts.*", "digest", None, "SHA-256 of the account's bearer token"),
    KeySpec("operators.*", "digest", None, "SHA-256 of the operator's bearer token"),
    KeySpec("tls.certificate_path", "path", "", "PEM certificate with the host id"),
    KeySpec("tls.key_path", "path", "", "PEM key of the certificate"),
    KeySpec("tls.ca_path", "path", "", "PEM certificate of the authority of peers"),
    KeySpec(
        "requests.threads",
        "integer",
        256,
        "number of request threads; bounds the open streams of the process",
        1,
        4096,
    ),
    KeySpec(
        "requests.kept_thread_share",
        "number",
        0.15,
        "share of the request threads, and at least one, that serve no model calls; "
        "further model calls are rejected with 503",
        0.0,
        0.9,
    ),
    KeySpec(
        "requests.body_limit_bytes",
        "integer",
        4_000_000,
        "size limit of a request body",
        1024,
        256_000_000,
    ),
    KeySpec(
        "requests.memory_bytes",
        "integer",
        48_000_000,
        "memory that request bodies and answers may hold in the process; at least "
        "twice the size limit of a body",
        1_000_000,
        64_000_000_000,
    ),
    KeySpec(
        "requests.max_connections",
        "integer",
        4096,
        "open connections of callers and operators",
        16,
        1_000_000,
    ),
    KeySpec(
        "timeouts.connect_s",
        "number",
        0.5,
        "connect timeout for an endpoint, the log or a peer",
        0.01,
        60,
    ),
    KeySpec(
        "timeouts.endpoint_silence_s",
        "number",
        1.5,
        "idle time of a stream after which a new connection is tried; engines send "
        "a heartbeat every 0.5 s",
        0.6,
        60,
    ),
    KeySpec(
        "timeouts.log_append_s",
        "number",
        2.0,
        "timeout of an append to the log",
        0.05,
        60,
    ),
    KeySpec(
        "timeouts.request_read_s",
        "number",
        10.0,
        "timeout for receiving the whole request of a caller",
        0.1,
        600,
    ),
    KeySpec(
        "timeouts.default_deadline_s",
        "number",
        60.0,
        "deadline of a call that sets none",
        0.1,
        86_400,
    ),
    KeySpec(
        "timeouts.max_deadline_s",
        "number",
        600.0,
        "longest deadline that a call may set",
        0.1,
        86_400,
    ),
    KeySpec("log.path", "path", "", "log file; standard error if empty"),
    KeySpec(
        "claims.horizon_s",
        "number",
        7 * 86_400.0,
        "age of an idempotency key from which the outcome of its call is unknown",
        60,
        365 * 86_400,
    ),
    KeySpec(
        "link.rate_mbit_per_s",
        "number",
        15.0,
        "rate of the link between regions, each way",
        0.001,
        1_000_000,
    ),
    KeySpec(
        "endpoint_rules.*.refuses_old_fencing",
        "boolean",
        False,
        "whether endpoints of this service reject old fencing numbers",
    ),
    KeySpec(
        "endpoint_rules.*.knows_operations",
        "boolean",
        False,
        "whether endpoints of this service recognise operation ids",
    ),
)


def check_value(spec: KeySpec, value: object) -> str | None:
    """Return the problem with the value of one key, or None."""
    if spec.kind == "boolean":
        return None if isinstance(value, bool) else "must be true or false"
    if spec.kind in ("integer", "number"):
        return _check_number(spec, value)
    if not isinstance(value, str):
        return "must be a string"
    return _check_string(spec.kind, value)


def _check_number(spec: KeySpec, value: object) -> str | None:
    allowed = (int,) if spec.kind == "integer" else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        return "must be an integer" if spec.kind == "integer" else "must be a number"
    if not spec.minimum <= value <= spec.maximum:
        # The message omits the value: a hexadecimal integer can be too long to print.
        return f"must be from {spec.minimum:g} to {spec.maximum:g}"
    return None


def _check_string(kind: str, value: str) -> str | None:
    if any(ord(character) < 32 for character in value):
        return "must not contain control characters"
    if kind == "name" and not NAME_PATTERN.fullmatch(value):
        return "must be 1 to 64 letters, digits, dots, dashes or underscores"
    if kind == "policy" and value not in POLICIES:
        return f"must be one of {', '.join(POLICIES)}"
    if kind == "digest" and not DIGEST_PATTERN.fullmatch(value):
        return "must be a SHA-256 digest: 64 lower-case hexadecimal digits"
    if kind == "listen" and split_address(value, 0) is None:
        return "must be HOST:PORT with a port from 0 to 65535"
    if kind == "address" and split_address(value, 1) is None:
        return "must be HOST:PORT with a port from 1 to 65535"
    if kind == "url" and not is_http_url(value):
        return "must be a http:// or https:// URL without query"
    return None


def split_address(value: str, lowest_port: int) -> ListenAddress | None:
    """Split HOST:PORT, with brackets around an IPv6 host. Return None if invalid."""
    host, colon, port = value.rpartition(":")
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    valid = host and colon and port.isascii() and port.isdigit() and len(port) <= 5
    if not valid or not lowest_port <= int(port) <= 65535 or " " in host:
        return None
    return ListenAddress(host, int(port))


def is_http_url(value: str) -> bool:
    """Return whether the value is the base URL of an HTTP service."""
    try:
        parts = urlsplit(value)
        valid_port = parts.port is None or parts.port > 0
    except ValueError:
        return False
    plain = not parts.query and not parts.fragment and not parts.username
    return bool(
        parts.scheme in ("http", "https") and parts.hostname and valid_port and plain
    )
