"""Stateful fuzzing of several nodes against an independent oracle.

CI runs with fixed seeds. ``python -m tests.functional.fuzz`` runs with fresh
seeds for as long as asked.
"""

from hypothesis import HealthCheck, settings
from tests.lib.fault_machine import FaultMachine

TestPromisesUnderFaults = FaultMachine.TestCase
TestPromisesUnderFaults.settings = settings(
    max_examples=30,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
