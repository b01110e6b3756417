"""Reads the use of client accounts from the metrics texts of gateways."""

import math
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import urllib3
from result import Err, Ok, Result

from poplarfold._internal.exceptions import (
    MetricsFormatError,
    MetricsUnavailableError,
    PoplarfoldError,
)

__all__ = ["GatewayUse", "is_address", "parse_metrics", "read_metrics"]

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 5.0
# With 1,200 accounts and ten results each, a gateway's text has about 1 MB.
TEXT_LIMIT_BYTES = 64_000_000
METRICS_PATH = "/metrics"
# Every gateway has this gauge, and no other program does.
VERSION_SAMPLE = re.compile(r"poplarfold_routes_version (\S+)")
# The writer of the text does not escape the values of labels. The value of ``result``
# has no quotes, so the account's name is whatever stands before it.
ACCOUNT_SAMPLE = re.compile(
    r'poplarfold_account_(calls|units)_total\{account="(.*)",result="(\w+)"\} (\S+)'
)


class GatewayUse(NamedTuple):
    """The accounts' calls and units at one process, by account and result.

    ``version`` is that of its configuration, 0 before it has one.
    """

    version: int
    calls: dict[tuple[str, str], int]
    units: dict[tuple[str, str], int]


def is_address(source: str) -> bool:
    """Return whether a source is an HTTP address, not the name of a file."""
    return source.startswith("http://")


def read_metrics(
    source: str, request: Callable[..., Any] | None = None
) -> Result[GatewayUse, PoplarfoldError]:
    """Read a metrics text from a file or from the address of a gateway."""
    if is_address(source):
        content = fetch(source, request or urllib3.PoolManager(retries=False).request)
    else:
        content = read_file(source)
    if isinstance(content, Err):
        return content
    return parse_metrics(source, content.ok_value)


def read_file(source: str) -> Result[bytes, PoplarfoldError]:
    """Read the file of a metrics text."""
    try:
        with Path(source).open("rb") as stream:
            return Ok(stream.read(TEXT_LIMIT_BYTES + 1))
    except OSError as error:
        message = f"{source}: cannot be read: {error.strerror}"
        return Err(MetricsFormatError(message))


def fetch(source: str, request: Callable[..., Any]) -> Result[bytes, PoplarfoldError]:
    """Get the metrics text of a gateway; an address without a path gets one."""
    try:
        has_path = urlsplit(source).path not in ("", "/")
        response = request(
            "GET",
            source if has_path else source.rstrip("/") + METRICS_PATH,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
            redirect=False,
            preload_content=False,
        )
        with response:
            content = response.read(TEXT_LIMIT_BYTES + 1)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        return Err(MetricsUnavailableError(f"{source}: {error}"))
    if response.status != 200:
        message = f"{source}: HTTP status {response.status}"
        return Err(MetricsUnavailableError(message))
    return Ok(content)


def parse_metrics(
    source: str, content: bytes
) -> Result[GatewayUse, MetricsFormatError]:
    """Return the use of accounts from a text; other metrics are ignored."""
    if len(content) > TEXT_LIMIT_BYTES:
        message = f"{source}: the text is over {TEXT_LIMIT_BYTES} bytes"
        return Err(MetricsFormatError(message))
    version: int | None = None
    uses: dict[str, dict[tuple[str, str], int]] = {"calls": {}, "units": {}}
    try:
        for line in content.decode().split("\n"):
            if found := VERSION_SAMPLE.fullmatch(line):
                version = parse_count(found[1])
            elif found := ACCOUNT_SAMPLE.fullmatch(line):
                if not found[2].isprintable():
                    raise ValueError("the name of an account is not printable")
                uses[found[1]][found[2], found[3]] = parse_count(found[4])
    except ValueError as error:
        return Err(MetricsFormatError(f"{source}: {error}"))
    if version is None:
        return Err(MetricsFormatError(f"{source}: the text is not one of a gateway"))
    return Ok(GatewayUse(version, uses["calls"], uses["units"]))


def parse_count(text: str) -> int:
    """Return the value of a counter. Raises ValueError if it is none."""
    value = float(text)
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{text!r} is not the value of a counter")
    return round(value)
