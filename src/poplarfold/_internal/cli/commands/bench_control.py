"""``poplarfold bench control``: measures the cost of control per node."""

import json
from argparse import ArgumentParser, Namespace

from poplarfold._internal.bench.control import ControlRun, run_control
from poplarfold._internal.cli.status_codes import StatusCode

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print JSON")


def run(options: Namespace) -> int:
    """Print the cost per node."""
    result = run_control(ControlRun(options.nodes, options.seconds, options.seed))
    if options.json:
        print(json.dumps(result))
    else:
        for name, value in result.items():
            print(f"{name}: {value}")
    return int(StatusCode.SUCCESS)
