"""Mutual TLS between nodes.

The certificate of a peer must be signed by the configured authority and contain
the host id that the peer claims, as a DNS name or as the URI
``poplarfold://host/HOST``.
"""

import ssl
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from poplarfold._internal.exceptions import PeerProtocolError, SettingsError

__all__ = ["PeerTls", "certificate_error", "host_uri"]


def host_uri(host: str) -> str:
    """Return the URI that identifies a host in a certificate."""
    return f"poplarfold://host/{host}"


def certificate_error(
    certificate: dict[str, Any] | None, host: str
) -> PeerProtocolError | None:
    """Return an error if a verified certificate does not belong to the host."""
    names = (certificate or {}).get("subjectAltName", ())
    if ("DNS", host) in names or ("URI", host_uri(host)) in names:
        return None
    return PeerProtocolError(f"the certificate does not contain the host id {host!r}")


class PeerTls:
    """The TLS contexts of this node's peer link.

    ``reload`` loads changed files into the same contexts: new connections use the
    new key, and open ones continue. An authority that is removed from the file
    stays trusted until the process ends.
    """

    def __init__(self, certificate: Path, key: Path, authority: Path) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority
        self.loaded_versions: tuple[tuple[int, int], ...] = ()
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Peers are connected by address; PeerLink checks the host id instead.
        self.client.check_hostname = False
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.verify_mode = ssl.CERT_REQUIRED

    def reload(self) -> Result[bool, SettingsError]:
        """Load the files if they have changed, and return whether they have."""
        paths = (self.certificate, self.key, self.authority)
        try:
            stats = [path.stat() for path in paths]
            loaded_versions = tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)
            if loaded_versions == self.loaded_versions:
                return Ok(False)
            # A key that does not match its certificate must not replace the pair
            # in use.
            candidate = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            candidate.load_cert_chain(self.certificate, self.key)
            candidate.load_verify_locations(self.authority)
            for context in (self.server, self.client):
                context.load_cert_chain(self.certificate, self.key)
                context.load_verify_locations(self.authority)
        except (OSError, ssl.SSLError) as error:
            return Err(SettingsError(f"tls: cannot load the key files: {error}"))
        self.loaded_versions = loaded_versions
        return Ok(True)
