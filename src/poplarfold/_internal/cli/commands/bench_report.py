"""``poplarfold bench report``: plots the results of goodput runs."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from poplarfold._internal.bench.deployments import DEPLOYMENTS
from poplarfold._internal.bench.report import write_report

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold bench report`` to the parser."""
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument(
        "--loads", type=float, nargs="+", default=[0.4, 0.7, 1.0, 1.25, 1.5]
    )
    parser.add_argument("--output", type=Path, default=Path("goodput.png"))


def run(options: Namespace) -> int:
    """Run the goodput benchmark at each load and write the plots."""
    write_report(
        options.deployment,
        tuple(options.loads),
        options.seed,
        options.seconds,
        options.output,
    )
    print(options.output)
    return 0
