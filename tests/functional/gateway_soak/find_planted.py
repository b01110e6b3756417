"""Checks that the soak finds each planted fault.

    python -m tests.functional.gateway_soak.find_planted

Prints one line per fault and exits with 1 if a fault was not found.
"""

import sys

from tests.functional.gateway_soak.__main__ import build_parser, run

__all__ = ["EXPECTED", "find_planted"]

# For each planted fault, the step that exposes it soon and the guarantee that it
# violates.
EXPECTED = {
    "repeated_filings": ("break_service", "at most once"),
    "false_refusals": ("break_service", "true refusals"),
    "foreign_answers": ("break_service", "own answers"),
    "short_answers": ("break_service", "own answers"),
    "lost_events": ("break_endpoint", "order"),
    "leaving_endpoints": ("publish", "leaving"),
    "unseen_leavers": ("publish", "gone"),
    "older_configurations": ("compact", "configuration never back"),
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
    "unlimited_bodies": ("crowd", "limits"),
    "stuck_closing": ("crowd", "crowd"),
}


def find_planted(name: str, seconds: float = 30.0) -> bool:
    """Return whether a run with a planted fault reports the expected violation."""
    only, guarantee = EXPECTED[name]
    options = build_parser().parse_args(
        ["--seconds", str(seconds), "--plant", name, "--only", only]
    )
    return guarantee in run(options)["violated"]


def main() -> int:
    """Check all planted faults, or those named on the command line."""
    found = {name: find_planted(name) for name in sys.argv[1:] or EXPECTED}
    for name, is_found in found.items():
        print(f"{name}: {'found' if is_found else 'NOT FOUND'}")
    return 0 if all(found.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
