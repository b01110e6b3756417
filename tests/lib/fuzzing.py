"""Runs the fault machine with a given seed and number of examples."""

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from tests.lib.fault_machine import FaultMachine

STEPS = 40


def fuzz_settings(examples: int) -> settings:
    """Return Hypothesis settings that neither store nor shrink examples."""
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )


def steps_to_violation(
    seed_value: int, examples: int, invariant: str | None = None
) -> tuple[int, list[str]]:
    """Fuzz with a seed, and return the step count and the violated invariants.

    With ``invariant``, only a violation of that invariant ends the run.
    """
    broken: list[str] = []

    class CountedMachine(FaultMachine):
        def assert_no_violation(self) -> None:
            found = [v[0] for v in self.cluster.oracle.violations]
            found += [v.name for v in self.cluster.violations]
            broken.extend(name for name in found if name not in broken)
            if invariant is None:
                super().assert_no_violation()
            assert invariant not in found, found

    machine = seed(seed_value)(CountedMachine)
    try:
        run_state_machine_as_test(machine, settings=fuzz_settings(examples))
    except AssertionError:
        pass
    return CountedMachine.steps, broken
