"""``poplarfold bench goodput``: measures goodput and wasted prefill."""

import json
import sys
from argparse import ArgumentParser, Namespace

from poplarfold._internal.bench.deployments import DEPLOYMENTS
from poplarfold._internal.bench.goodput import (
    GoodputRun,
    format_table,
    policy_names,
    run_goodput,
)
from poplarfold._internal.core.systems.policies import POLICIES

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold bench goodput`` to the parser."""
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), required=True)
    parser.add_argument("--policy", choices=[*POLICIES, "all"], default="owner")
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument(
        "--carry-health",
        action="store_true",
        help="keep the health record of an endpoint when its process restarts",
    )
    parser.add_argument("--json", action="store_true")


def run(options: Namespace) -> int:
    """Run the benchmark for each policy and print the results."""
    results = [
        run_goodput(
            GoodputRun(
                options.deployment,
                policy,
                options.load,
                options.seed,
                options.seconds,
                options.faults,
                options.carry_health,
            )
        )
        for policy in policy_names(options.policy)
    ]
    if options.json:
        found = results if options.policy == "all" else results[0]
        print(json.dumps(found, sort_keys=True))
    else:
        sys.stdout.write(format_table(results))
    return 0
