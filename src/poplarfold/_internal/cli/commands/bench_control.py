"""``poplarfold bench control``: measures traffic and CPU time per node."""

import json
from argparse import ArgumentParser, Namespace

from poplarfold._internal.bench.control import ControlRun, run_control
from poplarfold._internal.cli.exit_codes import ExitCode

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold bench control`` to the parser."""
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print JSON")


def run(options: Namespace) -> int:
    """Run the benchmark and print the cost per node."""
    result = run_control(ControlRun(options.nodes, options.seconds, options.seed))
    if options.json:
        print(json.dumps(result))
    else:
        for name, value in result.items():
            print(f"{name}: {value}")
    return int(ExitCode.SUCCESS)
