"""Mutual TLS between nodes.

The certificate of a peer must come from the configured authority and carry the
host id that the peer claims, as a DNS name or as the URI
``poplarfold://host/HOST``.
"""

import ssl
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from poplarfold._internal.exceptions import PeerProtocolError, SettingsError

__all__ = ["PeerTls", "certificate_error", "host_uri"]


def host_uri(host: str) -> str:
    """Return the URI that stands for a host in a certificate."""
    return f"poplarfold://host/{host}"


def certificate_error(
    certificate: dict[str, Any] | None, host: str
) -> PeerProtocolError | None:
    """Return why a verified certificate does not belong to a host, or None."""
    names = (certificate or {}).get("subjectAltName", ())
    if ("DNS", host) in names or ("URI", host_uri(host)) in names:
        return None
    return PeerProtocolError(f"the certificate does not carry the host id {host!r}")


class PeerTls:
    """The TLS contexts of this node's peer link.

    ``reload`` takes changed files over into the same contexts: new connections
    use the new key, and open ones go on. An authority that is removed from the
    file stays trusted until the process ends.
    """

    def __init__(self, certificate: Path, key: Path, authority: Path) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority
        self.stamps: tuple[tuple[int, int], ...] = ()
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Peers are reached by address; the link compares the host id instead.
        self.client.check_hostname = False
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.verify_mode = ssl.CERT_REQUIRED

    def reload(self) -> Result[bool, SettingsError]:
        """Load the files if they have changed; true if they have."""
        paths = (self.certificate, self.key, self.authority)
        try:
            stats = [path.stat() for path in paths]
            stamps = tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)
            if stamps == self.stamps:
                return Ok(False)
            # A pair that does not match must not replace the one in use.
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(self.certificate, self.key)
            trial.load_verify_locations(self.authority)
            for context in (self.server, self.client):
                context.load_cert_chain(self.certificate, self.key)
                context.load_verify_locations(self.authority)
        except (OSError, ssl.SSLError) as error:
            return Err(SettingsError(f"tls: the keys cannot be loaded: {error}"))
        self.stamps = stamps
        return Ok(True)
