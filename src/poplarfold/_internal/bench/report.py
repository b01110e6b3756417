"""Plots goodput against load, and both latency distributions."""

from pathlib import Path
from typing import Any

from poplarfold._internal.bench.goodput import GoodputRun, run_goodput
from poplarfold._internal.core.systems.policies import POLICIES

__all__ = ["write_report"]

QUANTILES = ("p50", "p95", "p99", "max")


def write_report(
    deployment: str, loads: tuple[float, ...], seed: int, seconds: float, output: Path
) -> None:
    """Run every policy at every load and write one PNG file.

    Requires matplotlib, from the optional extra ``report``.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    results = {
        policy: [
            model_entry_results(
                run_goodput(GoodputRun(deployment, policy, load, seed, seconds))
            )
            for load in loads
        ]
        for policy in POLICIES
    }
    figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.5))
    for policy, rows in results.items():
        axes[0].plot(loads, [row["good"] / seconds for row in rows], label=policy)
    bounds = [row["bound"] / seconds for row in results["owner"]]
    axes[0].plot(loads, bounds, "k--", label="bound")
    axes[0].set_xlabel("load, as a factor of capacity")
    axes[0].set_ylabel("calls within both targets per second")
    axes[0].legend()
    names = ("first_output_ms", "between_outputs_ms")
    for axis, name in zip(axes[1:], names, strict=True):
        for policy, rows in results.items():
            values = [rows[-1][name].get(quantile, 0.0) for quantile in QUANTILES]
            axis.plot(QUANTILES, values, marker="o", label=policy)
        axis.set_title(f"{name} at load {loads[-1]}")
        axis.set_yscale("log")
    figure.suptitle(f"{deployment}, seed {seed}")
    figure.savefig(output, dpi=120, metadata={"Software": None})


def model_entry_results(result: dict[str, Any]) -> dict[str, Any]:
    """Return the results of the model entry of a run."""
    return next(row for name, row in result["entries"].items() if name != "lookups")
