"""Long run of the state machine for claims: ``python -m tests.fuzz_claims``."""

from __future__ import annotations

import argparse
import time

import hypothesis
from hypothesis.stateful import run_state_machine_as_test

from tests.test_agaterail.test_claims import ClaimMachine


class CountedMachine(ClaimMachine):
    """State machine that counts examples, requests, executions and crashes."""

    examples = 0
    requests = 0
    executed = 0
    crashes = 0

    def teardown(self):
        """Add the counts of one example."""
        super().teardown()
        CountedMachine.examples += 1
        CountedMachine.requests += len(self.all_calls)
        CountedMachine.executed += len(self.journal)
        CountedMachine.crashes += sum(self.incarnations)


def main():
    """Run the state machine and print the counts."""
    parser = argparse.ArgumentParser(prog="tests.fuzz_claims")
    parser.add_argument("--examples", type=int, default=5000)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    settings = hypothesis.settings(
        max_examples=arguments.examples,
        stateful_step_count=arguments.steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    started = time.monotonic()
    hypothesis.seed(arguments.seed)(CountedMachine)
    run_state_machine_as_test(CountedMachine, settings=settings)
    print(
        f"seed {arguments.seed}: {CountedMachine.examples} examples of up to"
        f" {arguments.steps} steps, {CountedMachine.requests} requests,"
        f" {CountedMachine.executed} executions, {CountedMachine.crashes} crashes,"
        f" no fault, {time.monotonic() - started:.0f} s"
    )


if __name__ == "__main__":
    main()
