"""``poplarfold bench faults``: counts violations under random faults."""

import json
from argparse import ArgumentParser, Namespace

from poplarfold._internal.bench.deployments import DEPLOYMENTS
from poplarfold._internal.bench.faults import FaultsRun, run_faults
from poplarfold._internal.cli.exit_codes import ExitCode

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold bench faults`` to the parser."""
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="association"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--json", action="store_true", help="print JSON")


def run(options: Namespace) -> int:
    """Run the simulation and print its result.

    The exit code is 1 if an invariant was violated.
    """
    result = run_faults(FaultsRun(options.deployment, options.seed, options.seconds))
    if options.json:
        print(json.dumps(result))
    else:
        for name, value in result.items():
            print(f"{name}: {value}")
    is_clean = not result["violations"]
    return int(ExitCode.SUCCESS if is_clean else ExitCode.FAILED)
