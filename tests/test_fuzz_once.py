"""Several at-most-once cores over one log, in any order of events, against
an oracle that knows only: a key runs at most once, a call gets one final
answer, "not run" is true, a replay is what the run answered."""

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
        self.held = {}     # id -> router: told to run, nothing sent
        self.out = {}      # id -> router: bytes are out
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

    def tell(self, *words):
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
        self.tell("begin", router, key, body)

    @rule(router=ROUTERS, body=BODIES, end=st.sampled_from(
        ["answered", "broken", "refused", "open", "held"]))
    def whole_call(self, router, body, end):
        """A call without disturbance, up to its ending."""
        self.tell("begin", router, "k1", body)
        ident = max(self.calls)
        self.append_and_read(router)
        if ident not in self.held or end == "held":
            return
        if end == "refused":
            self.tell("refused", self.held.pop(ident), ident)
            return
        self.run_call(ident)
        if end != "open":
            self.end_call(ident, end == "answered")
            self.append_and_read(router)

    def run_call(self, ident):
        self.tell("sent", self.held[ident], ident)
        self.out[ident] = self.held.pop(ident)
        self.ran.setdefault(self.calls[ident][1], []).append(ident)

    def end_call(self, ident, answered):
        router = self.out.pop(ident)
        if answered:
            self.status[ident] = 200 + ident
            self.tell("answered", router, ident, 200 + ident)
        else:
            self.tell("broken", router, ident)

    @precondition(lambda self: self.held)
    @rule(data=st.data(), runs=st.booleans())
    def send(self, data, runs):
        """Bytes leave; the service runs the call or turns it away."""
        ident = data.draw(st.sampled_from(sorted(self.held)))
        if runs:
            self.run_call(ident)
        else:
            self.tell("sent", self.held[ident], ident)
            self.tell("unsent", self.held[ident], ident)

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def refuse(self, data):
        ident = data.draw(st.sampled_from(sorted(self.held)))
        self.tell("refused", self.held.pop(ident), ident)

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
        self.tell(*words)

    @rule(how=st.sampled_from(["arrive", "again"]))
    def arrive(self, how):
        self.tell(how)

    @rule(router=ROUTERS)
    def append_and_read(self, router):
        self.tell("flush", router)
        self.tell("deliver", router, 100)

    @rule(readers=st.sets(ROUTERS))
    def append_all(self, readers):
        """Everybody appends, in turn; not everybody reads."""
        for router in range(3):
            self.tell("flush", router)
        for router in readers:
            self.tell("deliver", router, 100)

    @rule(router=ROUTERS, count=st.sampled_from([1, 1, 3, 100]))
    def deliver(self, router, count):
        self.tell("deliver", router, count)

    @rule(router=ROUTERS, state=st.sampled_from(["up", "up", "down"]))
    def reach(self, router, state):
        self.tell("log", router, state)

    # ---- time and death ------------------------------------------------

    @rule(wait_ms=st.sampled_from([10, 500, 1100, 9000]))
    def wait(self, wait_ms):
        self.tell("time", wait_ms)

    @rule(router=ROUTERS)
    def tick(self, router):
        self.tell("tick", router)

    @rule(router=ROUTERS)
    def kill(self, router):
        """A killed router sends nothing more and forgets its calls."""
        self.killed = True
        self.tell("kill", router)
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
            self.tell("refused", router, ident)
        for ident, router in list(self.out.items()):
            self.tell("broken", router, ident)
        self.held.clear()
        self.out.clear()

    def settle(self):
        """The log heals: whatever is known then, a repeat hears of it; none
        stays in progress for ever."""
        for _ in range(4):
            self.end_all()
            for router in range(3):
                self.tell("log", router, "up")
                self.tell("tick", router)
                self.tell("flush", router)
            self.tell("arrive")
            for router in range(3):
                self.tell("deliver", router, 1000)
            self.tell("time", 9000)
        for router in range(3):
            self.tell("tick", router)
        for key in ("k1", "k2"):
            ident = max(self.calls, default=0) + 1
            self.tell("begin", 0, key, 1)
            self.tell("flush", 0)
            self.tell("deliver", 0, 1000)
            assert self.decided[ident] != "in-progress"
            if not self.killed and not self.ran.get(key):
                assert self.decided[ident] == "run", \
                    "it never ran and every router knows"
            if self.decided[ident] == "run":
                self.tell("refused", 0, ident)
                del self.held[ident]
            self.tell("flush", 0)
            for router in range(3):
                self.tell("deliver", router, 1000)


TestCalls = Calls.TestCase
TestCalls.settings = settings(
    max_examples=int(os.environ.get("BGLADE_FUZZ_EXAMPLES", "150")),
    stateful_step_count=60, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck))
