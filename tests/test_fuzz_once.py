"""Stateful fuzzing of several at-most-once cores on one log, with events in
any order.  The oracle: a key runs at most once; a call gets one final answer;
a call that is answered as not run was not run; a replayed answer is the one
that the run gave."""

import os
import subprocess

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, invariant,
                                 precondition, rule)

BUILD = os.environ.get("BGLADE_BUILD", "build")
ROUTERS = st.integers(0, 2)
KEYS = st.sampled_from(["k1", "k1", "k1", "k2"])
CLAIM_WAIT_MS = 1000
BODIES = st.sampled_from([1, 1, 1, 2])


class Calls(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.proc = subprocess.Popen(
            [os.path.join(BUILD, "script_once"), "--prompt"], text=True,
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.calls = {}    # id -> (router, key)
        self.decided = {}  # id -> verdict
        self.held = {}     # id -> router: may run, nothing sent yet
        self.out = {}      # id -> router: sent, no result yet
        self.ran = {}      # key -> ids that ran
        self.status = {}   # id -> status of the service's answer
        self.clock_ms = 0
        self.begun_ms = {}
        self.killed = False

    def teardown(self):
        try:
            self.settle()
        finally:
            self.stop()

    def stop(self):
        self.proc.stdin.close()
        self.proc.stdout.close()
        self.proc.wait()

    def command(self, *words):
        self.proc.stdin.write(" ".join(map(str, words)) + "\n")
        self.proc.stdin.flush()
        lines = []
        while (line := self.proc.stdout.readline().strip()) != ".":
            assert line, "the script ended"
            lines.append(line)
        if words[0] == "time":
            self.clock_ms += words[1]
        if words[0] == "begin":
            ident = int(lines.pop(0).split()[1])
            self.calls[ident] = (words[1], words[2])
            self.begun_ms[ident] = self.clock_ms
        for line in lines:
            self.take_decision(line.split())
        return lines

    def take_decision(self, words):
        router, ident, verdict = int(words[0]), int(words[1]), words[2]
        assert ident not in self.decided, "two answers for one call"
        assert self.calls[ident][0] == router
        self.decided[ident] = verdict
        key = self.calls[ident][1]
        if verdict == "run":
            assert self.clock_ms < self.begun_ms[ident] + CLAIM_WAIT_MS
            self.held[ident] = router
        elif verdict == "replay":
            answers = [self.status.get(i) for i in self.ran.get(key, [])]
            assert int(words[3]) in answers, "a replay of no answer"

    # ---- calls ---------------------------------------------------------

    @rule(router=ROUTERS, key=KEYS, body=BODIES)
    def begin(self, router, key, body):
        self.command("begin", router, key, body)

    @rule(router=ROUTERS, body=BODIES, end=st.sampled_from(
        ["answered", "broken", "refused", "open", "held"]))
    def whole_call(self, router, body, end):
        """A call without faults, up to the given result."""
        self.command("begin", router, "k1", body)
        ident = max(self.calls)
        self.append_and_read(router)
        if ident not in self.held or end == "held":
            return
        if end == "refused":
            self.command("refused", self.held.pop(ident), ident)
            return
        self.run_call(ident)
        if end != "open":
            self.end_call(ident, end == "answered")
            self.append_and_read(router)

    def run_call(self, ident):
        self.command("sent", self.held[ident], ident)
        self.out[ident] = self.held.pop(ident)
        self.ran.setdefault(self.calls[ident][1], []).append(ident)

    def end_call(self, ident, answered):
        router = self.out.pop(ident)
        if answered:
            self.status[ident] = 200 + ident
            self.command("answered", router, ident, 200 + ident)
        else:
            self.command("broken", router, ident)

    @precondition(lambda self: self.held)
    @rule(data=st.data(), runs=st.booleans())
    def send(self, data, runs):
        """The call is sent; the service runs or rejects it."""
        ident = data.draw(st.sampled_from(sorted(self.held)))
        if runs:
            self.run_call(ident)
        else:
            self.command("sent", self.held[ident], ident)
            self.command("unsent", self.held[ident], ident)

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def refuse(self, data):
        ident = data.draw(st.sampled_from(sorted(self.held)))
        self.command("refused", self.held.pop(ident), ident)

    @precondition(lambda self: self.out)
    @rule(data=st.data(), answered=st.booleans())
    def end(self, data, answered):
        ident = data.draw(st.sampled_from(sorted(self.out)))
        self.end_call(ident, answered)

    # ---- the log -------------------------------------------------------

    @rule(router=ROUTERS, how=st.sampled_from(
        ["flush", "flush", "flush", "lost", "hold", "drop"]))
    def append(self, router, how):
        words = ("flush", router, "lost") if how == "lost" else (how, router)
        self.command(*words)

    @rule(how=st.sampled_from(["arrive", "again"]))
    def arrive(self, how):
        self.command(how)

    @rule(router=ROUTERS)
    def append_and_read(self, router):
        self.command("flush", router)
        self.command("deliver", router, 100)

    @rule(readers=st.sets(ROUTERS))
    def append_all(self, readers):
        """All routers append in turn; only some read."""
        for router in range(3):
            self.command("flush", router)
        for router in readers:
            self.command("deliver", router, 100)

    @rule(router=ROUTERS, count=st.sampled_from([1, 1, 3, 100]))
    def deliver(self, router, count):
        self.command("deliver", router, count)

    @rule(router=ROUTERS, state=st.sampled_from(["up", "up", "down"]))
    def reach(self, router, state):
        self.command("log", router, state)

    # ---- time and death ------------------------------------------------

    @rule(wait_ms=st.sampled_from([10, 500, 1100, 9000]))
    def wait(self, wait_ms):
        self.command("time", wait_ms)

    @rule(router=ROUTERS)
    def tick(self, router):
        self.command("tick", router)

    @rule(router=ROUTERS)
    def kill(self, router):
        """A killed router sends nothing more and loses its calls."""
        self.killed = True
        self.command("kill", router)
        for table in (self.held, self.out):
            for ident in [i for i, r in table.items() if r == router]:
                del table[ident]

    # ---- the oracle ----------------------------------------------------

    @invariant()
    def runs_at_most_once(self):
        for key, idents in self.ran.items():
            assert len(idents) <= 1, "%s ran as %s" % (key, idents)

    @invariant()
    def not_run_is_true(self):
        for idents in self.ran.values():
            for ident in idents:
                assert self.decided[ident] == "run"

    def end_all(self):
        for ident, router in list(self.held.items()):
            self.command("refused", router, ident)
        for ident, router in list(self.out.items()):
            self.command("broken", router, ident)
        self.held.clear()
        self.out.clear()

    def settle(self):
        """The log's faults end.  A repeat of a call then gets its known
        result; no key stays in progress for ever."""
        for _ in range(4):
            self.end_all()
            for router in range(3):
                self.command("log", router, "up")
                self.command("tick", router)
                self.command("flush", router)
            self.command("arrive")
            for router in range(3):
                self.command("deliver", router, 1000)
            self.command("time", 9000)
        for router in range(3):
            self.command("tick", router)
        for key in ("k1", "k2"):
            ident = max(self.calls, default=0) + 1
            self.command("begin", 0, key, 1)
            self.command("flush", 0)
            self.command("deliver", 0, 1000)
            assert self.decided[ident] != "in-progress"
            if not self.killed and not self.ran.get(key):
                assert self.decided[ident] == "run", \
                    "it never ran and every router knows"
            if self.decided[ident] == "run":
                self.command("refused", 0, ident)
                del self.held[ident]
            self.command("flush", 0)
            for router in range(3):
                self.command("deliver", router, 1000)


TestCalls = Calls.TestCase
TestCalls.settings = settings(
    max_examples=int(os.environ.get("BGLADE_FUZZ_EXAMPLES", "150")),
    stateful_step_count=60, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck))
