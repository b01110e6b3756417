"""Checks that the soak finds each planted fault.

    python -m tests.functional.gateway_soak.find_planted --seed 2 short_answers

Checks the faults that are named, or all of them. Prints one line per fault and exits
with 1 if a fault was not found.
"""

import argparse
import sys

from tests.functional.gateway_soak.__main__ import build_parser, run

__all__ = ["EXPECTED", "find_planted"]

# For each planted fault, the steps that expose it soon and the guarantee that it
# violates.
EXPECTED = {
    "repeated_filings": ("break_service", "at most once"),
    "false_refusals": ("break_service", "true refusals"),
    "foreign_answers": ("break_service", "own answers"),
    "short_answers": ("break_service", "own answers"),
    "lost_events": ("break_endpoint", "order"),
    "leaving_endpoints": ("publish", "leaving"),
    "unseen_leavers": ("publish", "gone"),
    "older_configurations": ("reload return_store", "configuration never back"),
    "ignored_eras": ("reload return_store", "configuration in time"),
    "late_configurations": ("publish", "configuration in time"),
    "hasty_stops": ("publish", "planned stop"),
    "late_calls": ("publish", "planned stop"),
    "fatal_reloads": ("reload", "own end"),
    "unlimited_retries": ("break_service", "budget"),
    "passed_keys": ("publish", "keys"),
    "claimed_accounts": ("publish", "account names"),
    "any_keys": ("publish", "unknown keys"),
    "ignored_revocations": ("publish", "revocation"),
    "outdated_keys": ("hide_revocation", "revocation"),
    "whole_quotas": ("publish", "quota"),
    "whole_limits": ("publish", "endpoint limits"),
    # Some answers are to other requests, which tell no host a limit.
    "ignored_limits": ("publish break_service", "endpoint limits"),
    "unlimited_bodies": ("crowd", "limits"),
    "stuck_closing": ("crowd", "crowd"),
    "unused_peers": ("publish cut_off", "cut off"),
}


def find_planted(name: str, seconds: float = 30.0, seed: int = 1) -> bool:
    """Return whether a run with a planted fault reports the expected violation."""
    only, guarantee = EXPECTED[name]
    options = build_parser().parse_args(
        ["--seed", str(seed), "--seconds", str(seconds)]
        + ["--plant", name, "--only", *only.split()]
    )
    return guarantee in run(options)["violated"]


def main() -> int:
    """Check all planted faults, or those named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("names", nargs="*", metavar="name", help="a planted fault")
    options = parser.parse_args()
    names = options.names or EXPECTED
    found = {name: find_planted(name, seed=options.seed) for name in names}
    for name, is_found in found.items():
        print(f"{name}: {'found' if is_found else 'NOT FOUND'}")
    return 0 if all(found.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
