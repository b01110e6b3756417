"""Reads the files of the platform that operators name on the command line."""

from pathlib import Path

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.rows import RouteTable
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.platform import (
    HostSettings,
    decode_routes,
    read_boot_file,
)

__all__ = ["read_configuration", "read_host"]


def read_configuration(path: Path) -> Result[RouteTable, PlatformFormatError]:
    """Read a configuration document, as it is in the store."""
    try:
        return Ok(decode_routes(path.read_bytes()))
    except PlatformFormatError as error:
        return Err(PlatformFormatError(f"{path}: {error}"))
    except OSError as error:
        return Err(PlatformFormatError(f"{path}: cannot be read: {error.strerror}"))


def read_host(path: Path) -> Result[HostSettings, PlatformFormatError]:
    """Read the boot file of a host."""
    try:
        return Ok(read_boot_file(str(path)))
    except PlatformFormatError as error:
        return Err(error)
    except OSError as error:
        return Err(PlatformFormatError(f"{path}: cannot be read: {error.strerror}"))
