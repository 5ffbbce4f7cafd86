"""Stateful fuzzing of the shared limits.  Messages between routers are lost,
doubled and delayed, and routers restart.  The sum of the shares of all routers
never exceeds the limit."""

import os
import subprocess

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, invariant, rule,
                                 run_state_machine_as_test)

BUILD = os.environ.get("BGLADE_BUILD", "build")
ROUTERS = 4
LEASE_MS = 1000
LIMITS = (40, 6000, 8)


class Limits(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.proc = subprocess.Popen(
            [os.path.join(BUILD, "script_lim")], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True)
        self.now = 1000
        self.held = [0] * ROUTERS
        self.command("routers %d %d %d %d %d" % (ROUTERS, LEASE_MS, *LIMITS))
        # Nothing is lent in a router's first lease.
        self.wait(3000)

    def command(self, line, answers=False):
        self.proc.stdin.write(line + "\n")
        self.proc.stdin.flush()
        return self.proc.stdout.readline().split() if answers else None

    @rule(router=st.integers(0, ROUTERS - 1), count=st.integers(1, 12))
    def take(self, router, count):
        for _ in range(count):
            answer = self.command("take %d 100" % router, True)
            self.held[router] += answer == ["taken"]
            if answer[0] == "refused":
                assert int(answer[1]) >= 1000

    @rule(router=st.integers(0, ROUTERS - 1), used=st.integers(0, 100))
    def give(self, router, used):
        if self.held[router]:
            self.held[router] -= 1
            self.command("give %d 100 %d" % (router, used))

    @rule(what=st.sampled_from(("deliver", "deliver", "deliver", "double",
                                "drop")), which=st.integers(0, 50))
    def message(self, what, which):
        self.command("%s %d" % (what, which))

    @rule(step=st.sampled_from((10, 100, 400, 1500)))
    def wait(self, step):
        self.now += step
        self.command("at %d" % self.now)

    @rule(router=st.integers(0, ROUTERS - 1),
          heard=st.sampled_from((0, 300, 700)),
          answered=st.sampled_from((0, 300, 700)),
          lost=st.integers(0, 3))
    def borrow(self, router, heard, answered, lost):
        """A busy router asks for more; requests and loans are delayed, and
        some of the loans are lost."""
        self.take(router, 12)
        self.wait(heard)
        for _ in range(ROUTERS - 1):
            self.message("deliver", 0)
        self.wait(answered)
        for i in range(ROUTERS - 1):
            self.message("drop" if i < lost else "deliver", 0)

    @rule(router=st.integers(0, ROUTERS - 1))
    def restart(self, router):
        self.command("restart %d" % router)
        self.held[router] = 0

    @invariant()
    def shares_fit_the_limit(self):
        sums = [int(n) for n in self.command("shares", True)]
        for total, limit in zip(sums, LIMITS):
            assert total <= limit * 1000, sums

    def teardown(self):
        self.proc.stdin.close()
        self.proc.wait(10)
        self.proc.stdout.close()
        assert self.proc.returncode == 0


def test_shares():
    run_state_machine_as_test(Limits, settings=settings(
        derandomize=True, max_examples=200, stateful_step_count=40,
        deadline=None, suppress_health_check=list(HealthCheck)))
