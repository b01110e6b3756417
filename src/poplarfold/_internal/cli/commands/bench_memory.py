"""``poplarfold bench memory``: measures memory and CPU time per row of state."""

import json
from argparse import ArgumentParser, Namespace

from poplarfold._internal.bench.memory import KINDS, MemoryRun, run_memory
from poplarfold._internal.cli.exit_codes import ExitCode

__all__ = ["add_arguments", "run"]

SIZES = (1_000, 2_000, 4_000, 8_000)


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold bench memory`` to the parser."""
    parser.add_argument("--kind", choices=sorted(KINDS), required=True)
    parser.add_argument(
        "--size",
        type=int,
        action="append",
        help="number of rows; repeat for the fit (default: 1000, 2000, 4000, 8000)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def run(options: Namespace) -> int:
    """Run the benchmark; print the samples and the fitted cost per row."""
    sizes = tuple(sorted(set(options.size or SIZES)))
    if len(sizes) < 2 or sizes[0] < 1:
        raise SystemExit("poplarfold bench memory: give at least two sizes above 0")
    result = run_memory(MemoryRun(options.kind, sizes))
    if options.json:
        print(json.dumps(result))
    else:
        for name, value in result.items():
            print(f"{name}: {value}")
    return int(ExitCode.SUCCESS)
