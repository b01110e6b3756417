"""``poplarfold demo``: runs sample calls on two daemons with stand-ins."""

import json
from argparse import ArgumentParser, Namespace
from pathlib import Path

from poplarfold._internal.bench.demo import run_demo
from poplarfold._internal.bench.local_fleet import DEPLOYMENTS
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.exceptions import UsageError

__all__ = ["add_arguments", "run"]


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold demo`` to the parser."""
    parser.add_argument(
        "--input",
        type=Path,
        required=True,
        metavar="FILE",
        help="text file that is sent as the prompt",
    )
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), help="run only this deployment"
    )
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Run the demo of one or both deployments."""
    try:
        prompt = options.input.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{options.input}: cannot be read as text: {error}") from error
    if not prompt:
        raise UsageError(f"{options.input}: the file is empty")
    names = [options.deployment] if options.deployment else list(DEPLOYMENTS)
    reports = []
    for name in names:
        reports.append(run_demo(DEPLOYMENTS[name], prompt))
        if not options.json:
            print("\n".join(reports[-1].lines()), flush=True)
    ok = not any(report.problems for report in reports)
    if options.json:
        rows = [report.as_json() for report in reports]
        print(json.dumps({"ok": ok, "deployments": rows}))
    return int(ExitCode.SUCCESS if ok else ExitCode.FAILED)
