"""Runs stand-ins in a separate process until SIGTERM, SIGINT or, optionally, EOF.

    python -m poplarfold._internal.standins fleet association
    python -m poplarfold._internal.standins engine --role decode --port 9001 \\
        --identity association/abstractor/v1

Prints one line of JSON with the addresses once all stand-ins listen. Faults are
applied with ``POST /control``, and counters are read with ``GET /counters``.
With ``--follow-stdin`` the process also stops when standard input closes.
"""

import argparse
import json
import signal
import sys
import threading

from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins.engine import EngineStandIn
from poplarfold._internal.standins.engine_model import EngineConfig
from poplarfold._internal.standins.fleet import DEPLOYMENTS, Fleet
from poplarfold._internal.standins.host_list import HostListStandIn
from poplarfold._internal.standins.http_server import ServerLoop, StandIn
from poplarfold._internal.standins.log import LogStandIn
from poplarfold._internal.standins.service import ServiceStandIn
from poplarfold._internal.standins.service_model import ServiceConfig
from poplarfold._internal.standins.weight_store import WeightStoreStandIn


def identity_argument(text: str) -> Identity:
    """Parse OWNER/SERVICE/VERSION."""
    parts = text.split("/")
    if len(parts) != 3 or not all(parts):
        raise argparse.ArgumentTypeError("must be OWNER/SERVICE/VERSION")
    return Identity(*parts)


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m poplarfold._internal.standins",
        description="Runs stand-ins for the systems that poplarfold talks to.",
    )
    parser.add_argument(
        "--follow-stdin",
        action="store_true",
        help="stop when standard input closes, to leave no process behind",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    fleet = commands.add_parser("fleet", help="all stand-ins of a deployment")
    fleet.add_argument("deployment", choices=sorted(DEPLOYMENTS))
    fleet.add_argument(
        "--foreign-owner",
        help="adds endpoints of another owner with the same service names",
    )
    for name in ("engine", "service", "log", "host_list", "weight_store"):
        command = commands.add_parser(name, help=f"one or more stand-ins: {name}")
        command.add_argument(
            "--port",
            type=int,
            action="append",
            help="loopback port; repeat it to start several stand-ins",
        )
        if name in ("engine", "service"):
            command.add_argument("--identity", type=identity_argument, required=True)
        if name == "engine":
            roles = [EndpointRole.PREFILL.value, EndpointRole.DECODE.value]
            command.add_argument("--role", choices=roles, required=True)
    return parser


def start_standin(
    server: ServerLoop, options: argparse.Namespace, port: int
) -> StandIn:
    """Start one stand-in of the kind given on the command line."""
    match options.command:
        case "engine":
            role = EndpointRole(options.role)
            return EngineStandIn(server, EngineConfig("", options.identity, role), port)
        case "service":
            return ServiceStandIn(server, ServiceConfig("", options.identity), port)
        case "log":
            return LogStandIn(server, port=port)
        case "host_list":
            return HostListStandIn(server, port=port)
        case _:
            return WeightStoreStandIn(server, port=port)


def main(arguments: list[str] | None = None) -> int:
    """Start the stand-ins, print their addresses and wait until stopped."""
    options = build_parser().parse_args(arguments)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    server = ServerLoop()
    if options.command == "fleet":
        fleet = Fleet(
            options.deployment, server=server, foreign_owner=options.foreign_owner
        )
        started = fleet.addresses()
    else:
        ports = options.port or [0]
        standins = [start_standin(server, options, port) for port in ports]
        started = {"addresses": [standin.address for standin in standins]}
    print(json.dumps(started), flush=True)
    if options.follow_stdin:

        def wait_for_eof() -> None:
            sys.stdin.read()
            stopped.set()

        threading.Thread(target=wait_for_eof, name="stdin", daemon=True).start()
    stopped.wait()
    server.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
