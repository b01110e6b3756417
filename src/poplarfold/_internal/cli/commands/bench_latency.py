"""``poplarfold bench latency``: measures the latency that a daemon adds."""

import json
from argparse import ArgumentParser, Namespace

from poplarfold._internal.bench.latency import LATENCY_STREAMS, run_latency
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option, positive_seconds

__all__ = ["add_arguments", "run"]

HEADER = (
    "streams  first output direct/daemon/added ms  between outputs p95 ms  "
    "outputs/s  us per output  core share  lookup p50/p99 ms  calls  failed"
)


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold bench latency`` to the parser."""
    parser.add_argument(
        "--streams",
        type=int,
        action="append",
        help="number of concurrent streams; repeat for several levels "
        f"(default: {', '.join(map(str, LATENCY_STREAMS))})",
    )
    parser.add_argument(
        "--seconds",
        type=positive_seconds,
        default=10.0,
        help="run time per level, direct and through the daemon (default: %(default)s)",
    )
    parser.add_argument("--seed", type=int, default=1)
    add_json_option(parser)


def run(options: Namespace) -> int:
    """Run the benchmark and report whether the targets are met."""
    levels = tuple(options.streams or LATENCY_STREAMS)
    reports = run_latency(levels, options.seconds, options.seed)
    misses = [miss for report in reports for miss in report.missed_targets()]
    if options.json:
        rows = [report._asdict() for report in reports]
        print(json.dumps({"levels": rows, "misses": misses}))
    else:
        print(HEADER)
        for row in reports:
            print(
                f"{row.streams:7}  {row.first_output_direct_s * 1e3:10.1f} "
                f"{row.first_output_daemon_s * 1e3:10.1f} "
                f"{row.added_first_output_s * 1e3:10.1f}  "
                f"{row.between_outputs_p95_direct_s * 1e3:10.1f} "
                f"{row.between_outputs_p95_daemon_s * 1e3:10.1f}  "
                f"{row.outputs_per_s:9.0f}  {row.daemon_us_per_output:13.1f}  "
                f"{row.daemon_core_share:10.2f}  "
                f"{row.lookup_p50_s * 1e3:8.1f} {row.lookup_p99_s * 1e3:8.1f}  "
                f"{row.calls_daemon:5}  {row.failed_daemon:6}"
            )
        for miss in misses:
            print(f"target missed: {miss}")
    return int(ExitCode.FAILED if misses else ExitCode.SUCCESS)
