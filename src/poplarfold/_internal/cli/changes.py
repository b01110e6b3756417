"""Shared parts of ``publish`` and ``amend``: propose a change, wait and report."""

import json
import sys
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from result import Err

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.operator_client import OperatorClient
from poplarfold._internal.cli.parser import add_operator_options, positive_seconds
from poplarfold._internal.exceptions import (
    DaemonUnreachableError,
    PoplarfoldError,
    RevisionConflictError,
)

__all__ = [
    "DomainState",
    "add_change_options",
    "domain_states",
    "propose",
    "rows_by_name",
    "wait_in_force",
]

# An accepted change is in force in every reachable domain within 5 s, so a longer
# wait shows that a domain is behind or unreachable.
DEFAULT_WAIT_S = 10.0
POLL_PERIOD_S = 0.2


class DomainState(NamedTuple):
    """The progress of a change in one failure domain.

    ``state`` is one of ``in_force``, ``behind`` and ``unreachable``.
    """

    domain: str
    state: str
    revision: int


def add_change_options(parser: ArgumentParser) -> None:
    """Add the options that ``publish`` and ``amend`` have in common."""
    parser.add_argument("file", type=Path, metavar="FILE", help="entry as JSON")
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the change is in force in every failure domain",
    )
    parser.add_argument(
        "--timeout",
        type=positive_seconds,
        default=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="time limit of --wait (default: %(default)s)",
    )
    add_operator_options(parser)


def rows_by_name(answer: Mapping[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the entries of a daemon's response by name."""
    rows = answer.get("entries")
    rows = rows if isinstance(rows, list) else []
    return {
        str(row["name"]): row for row in rows if isinstance(row, dict) and "name" in row
    }


def domain_states(status: Mapping[str, Any], revision: int) -> list[DomainState]:
    """Return the state of each domain of a status response for a revision."""
    domains = status.get("domains")
    states = []
    for name, row in sorted(domains.items() if isinstance(domains, dict) else ()):
        seen = row.get("revision") if isinstance(row, dict) else None
        seen = seen if isinstance(seen, int) else -1
        if not isinstance(row, dict) or not row.get("reachable"):
            state = "unreachable"
        else:
            state = "in_force" if seen >= revision else "behind"
        states.append(DomainState(name, state, seen))
    return states


def wait_in_force(
    client: OperatorClient,
    revision: int,
    timeout_s: float,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> list[DomainState]:
    """Poll the status until the revision is in force everywhere or time is up."""
    ends_at = clock() + timeout_s
    states: list[DomainState] = []
    while True:
        answer = client.status()
        if answer.is_ok():
            states = domain_states(answer.unwrap(), revision)
        done = bool(states) and all(state.state == "in_force" for state in states)
        if done or clock() + POLL_PERIOD_S >= ends_at:
            return states
        sleep(POLL_PERIOD_S)


def propose(
    client: OperatorClient,
    options: Namespace,
    base_revision: int,
    fields: Mapping[str, Any],
) -> int:
    """Send a change, wait if asked to, and print the result."""
    answer = client.propose(base_revision, fields)
    if isinstance(answer, Err):
        raise with_advice(answer.err_value, options, str(fields["name"]))
    revision = answer.ok_value.get("revision")
    if not isinstance(revision, int):
        raise DaemonUnreachableError("the response of the daemon contains no revision")
    states = wait_in_force(client, revision, options.timeout) if options.wait else None
    complete = states is None or (
        bool(states) and all(state.state == "in_force" for state in states)
    )
    if options.json:
        result: dict[str, Any] = {"name": fields["name"], "revision": revision}
        if states is not None:
            result["domains"] = [state._asdict() for state in states]
            result["in_force_everywhere"] = complete
        print(json.dumps(result))
    else:
        print(f"{fields['name']}: accepted as revision {revision}")
        for state in states or ():
            print(f"  {state.domain}: {describe(state)}")
        if states == []:
            print("  the daemon did not report the state of any failure domain")
    return int(ExitCode.SUCCESS if complete else ExitCode.INCOMPLETE)


def describe(state: DomainState) -> str:
    """Return the state of one domain as text."""
    if state.state == "in_force":
        return f"in force (revision {state.revision})"
    if state.state == "behind":
        return f"not in force yet (revision {state.revision})"
    return f"cannot be reached (last known revision {state.revision})"


def with_advice(
    error: PoplarfoldError, options: Namespace, name: str
) -> PoplarfoldError:
    """Return the error to report, with advice if the daemon was unreachable.

    For a revision conflict, the current entry is printed first.
    """
    if isinstance(error, DaemonUnreachableError):
        return DaemonUnreachableError(
            f"{error}\nThe change may have been accepted nevertheless: check "
            f"`poplarfold show {name}` before trying again."
        )
    if isinstance(error, RevisionConflictError):
        if options.json:
            print(json.dumps({"error": error.code, "current": error.current}))
        elif error.current is not None:
            print("current entry:", file=sys.stderr)
            print(json.dumps(error.current, indent=2), file=sys.stderr)
    return error
