"""Stateful fuzzing with fresh seeds: ``python -m tests.functional.fuzz``.

Prints the seed of each round. A round that finds a violation ends the run with
exit code 1. ``--seed`` repeats such a round.
"""

import argparse
import random
import sys
import time

from tests.lib.fuzzing import steps_to_violation


def main() -> int:
    """Fuzz for the given time and return the exit code."""
    parser = argparse.ArgumentParser(prog="fuzz", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--examples", type=int, default=20, help="runs per seed")
    parser.add_argument("--seed", type=int, help="run one round with this seed")
    options = parser.parse_args()
    end = time.monotonic() + options.seconds
    rounds = steps = 0
    while rounds == 0 or (options.seed is None and time.monotonic() < end):
        seed_value = options.seed
        if seed_value is None:
            seed_value = random.SystemRandom().randrange(2**32)
        made, broken = steps_to_violation(seed_value, options.examples)
        rounds, steps = rounds + 1, steps + made
        print(f"seed {seed_value}: {made} steps, violations: {broken or 'none'}")
        if broken:
            return 1
    print(f"{rounds} rounds, {steps} steps, no violation")
    return 0


if __name__ == "__main__":
    sys.exit(main())
