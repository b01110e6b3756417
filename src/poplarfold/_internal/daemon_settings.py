"""The validated settings of a daemon process."""

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from poplarfold._internal.settings import NodeSettings

__all__ = [
    "DaemonSettings",
    "ListenAddress",
    "PeerSettings",
    "TimeoutSettings",
    "TlsSettings",
]


class ListenAddress(NamedTuple):
    """An address and port on which the daemon listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerSettings(NamedTuple):
    """Another entry host, the address of its peer link and its domain."""

    host: str
    address: str
    domain: str


class TlsSettings(NamedTuple):
    """Paths of the PEM files for mutual TLS between nodes."""

    certificate_path: Path
    key_path: Path
    ca_path: Path


class TimeoutSettings(NamedTuple):
    """Time limits of connections and calls, in seconds."""

    connect_s: float
    endpoint_silence_s: float
    log_append_s: float
    request_read_s: float
    default_deadline_s: float
    max_deadline_s: float


class DaemonSettings(NamedTuple):
    """All settings of one daemon.

    ``accounts`` and ``operators`` map a name to the SHA-256 of its bearer
    token in hexadecimal. ``log_path`` is None for standard error.
    """

    node: NodeSettings
    caller_listen: ListenAddress
    operator_listen: ListenAddress
    peer_listen: ListenAddress
    log_url: str
    host_list_url: str
    weight_store_url: str
    peers: tuple[PeerSettings, ...]
    accounts: Mapping[str, str]
    operators: Mapping[str, str]
    tls: TlsSettings | None
    request_threads: int
    body_limit_bytes: int
    memory_bytes: int
    max_connections: int
    timeouts: TimeoutSettings
    log_path: Path | None
    kept_thread_share: float = 0.15
