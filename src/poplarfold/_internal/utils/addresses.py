"""Addresses of the form HOST:PORT."""

__all__ = ["host_and_port"]


def host_and_port(address: str) -> tuple[str, int]:
    """Split an address; raises ValueError if its port is no number.

    >>> host_and_port("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
