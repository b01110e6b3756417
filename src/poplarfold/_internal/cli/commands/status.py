"""``poplarfold status``: shows the state of a node and its domains."""

import json
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator, Mapping
from typing import Any

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.operator_client import client_from_options
from poplarfold._internal.cli.parser import add_operator_options
from poplarfold._internal.utils.results import value_or_raise
from poplarfold._internal.utils.text_table import text_table

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold status`` to the parser."""
    add_operator_options(parser)


def run(options: Namespace) -> int:
    """Print the status. The exit code is 1 if the node accepts no calls."""
    client = client_from_options(options)
    status = dict(value_or_raise(client.status()))
    status["endpoints"] = value_or_raise(client.endpoints()).get("endpoints", [])
    if options.json:
        print(json.dumps(status))
    else:
        for line in describe(status):
            print(line)
    accepts_calls = status.get("ready") and not status.get("draining")
    return int(ExitCode.SUCCESS if accepts_calls else ExitCode.FAILED)


def describe(status: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines of the status as text."""
    state = "draining" if status.get("draining") else "ready"
    if not status.get("ready") and not status.get("draining"):
        state = "not ready"
    yield (
        f"{status.get('host')} (incarnation {status.get('incarnation')}) in "
        f"{status.get('domain')}: {state}, catalogue revision "
        f"{status.get('revision')}, {status.get('open_calls')} open calls, "
        f"{status.get('unconfirmed_cancels')} unconfirmed cancels"
    )
    domains = status.get("domains")
    if isinstance(domains, dict) and domains:
        yield ""
        yield from text_table(
            ("domain", "state", "revision", "live hosts"),
            (
                (
                    name,
                    "reachable" if row.get("reachable") else "cannot be reached",
                    str(row.get("revision")),
                    str(row.get("live_hosts", "")),
                )
                for name, row in sorted(domains.items())
                if isinstance(row, dict)
            ),
        )
    endpoints = status.get("endpoints")
    if isinstance(endpoints, list) and endpoints:
        yield ""
        yield from text_table(
            ("endpoint", "role", "busy", "identity"), map(endpoint_row, endpoints)
        )


def endpoint_row(row: Mapping[str, Any]) -> list[str]:
    """Return the columns of one endpoint; most are empty without a report."""
    report = row.get("report") or {}
    identity = report.get("identity") or {}
    state = "leaving" if report.get("leaving") else f"of {report.get('slots')}"
    return [
        str(row.get("address")),
        str(report.get("role", "no report")),
        f"{report.get('busy')} {state}" if report else "",
        " ".join(str(identity.get(key, "")) for key in ("owner", "service", "version")),
    ]
