"""``poplarfold drain``: starts a planned stop of a node."""

import json
import time
from argparse import ArgumentParser, Namespace

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.operator_client import (
    OperatorClient,
    client_from_options,
)
from poplarfold._internal.cli.parser import add_operator_options, positive_seconds
from poplarfold._internal.exceptions import DaemonUnreachableError
from poplarfold._internal.utils.results import value_or_raise

__all__ = ["add_arguments", "run"]

POLL_PERIOD_S = 0.2
DEFAULT_WAIT_S = 600.0


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold drain`` to the parser."""
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the node has finished its calls and exited",
    )
    parser.add_argument(
        "--timeout",
        type=positive_seconds,
        default=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="time limit of --wait (default: %(default)s)",
    )
    add_operator_options(parser)


def run(options: Namespace) -> int:
    """Start the planned stop. The node finishes its open calls first."""
    client = client_from_options(options)
    value_or_raise(client.drain())
    stopped = wait_until_stopped(client, options.timeout) if options.wait else None
    if options.json:
        print(json.dumps({"draining": True, "stopped": stopped}))
    elif stopped is None:
        print("the node takes no new calls and ends when its calls are finished")
    elif stopped:
        print("the node has finished its calls and ended")
    else:
        print(f"the node is still running after {options.timeout:g} s")
    return int(ExitCode.INCOMPLETE if stopped is False else ExitCode.SUCCESS)


def wait_until_stopped(client: OperatorClient, timeout_s: float) -> bool:
    """Poll until the daemon is unreachable. Return False at the timeout."""
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        if isinstance(client.status().err(), DaemonUnreachableError):
            return True
        time.sleep(POLL_PERIOD_S)
    return False
