"""Stateful fuzzing of the feed.  Four processes replicate one log on every
path: direct reads (with entries repeated, reversed, damaged or skipped),
relayed entries, snapshots and checkpoints.  Meanwhile links go up and down,
frames are lost, doubled and reordered, processes restart and retention trims
the log.  The oracle: the state of a process at an offset is the one that the
log's entries up to there give, no offset goes back, and once the faults end
all processes reach the end of the log."""

import os
import subprocess

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, invariant,
                                 precondition, rule)

from cluster import ROOT

FEEDS = 4
NEVER_RESTARTED = 3  # so that the state is never lost for good
ANY = st.integers(0, FEEDS - 1)
READ_FAULTS = st.sampled_from(["", "repeat", "reverse", "damage", "skip"])
FRAME_FAULTS = st.sampled_from(["", "drop", "twice", "reverse"])


class FeedMachine(RuleBasedStateMachine):
    build = "build"

    def __init__(self):
        super().__init__()
        path = os.path.join(ROOT, self.build, "script_feed")
        self.proc = subprocess.Popen([path], stdin=subprocess.PIPE,
                                     stdout=subprocess.PIPE,
                                     stderr=subprocess.DEVNULL, text=True)
        self.lines = []
        self.tops = [0] * FEEDS
        self.first = 1
        self.command("tick 10")

    def command(self, line):
        self.lines.append(line)
        self.proc.stdin.write(line + "\n")
        self.proc.stdin.flush()

    def query(self, line):
        """One line of answer: the log's last offset, then the offset and the
        check's result of each feed."""
        self.command(line)
        words = self.proc.stdout.readline().split()
        assert words, "crashed after: " + " / ".join(self.lines)
        out = []
        for word in words[1:]:
            if ":" not in word:
                continue
            place, verdict = word.split(":", 1)
            out.append((int(place.rstrip("-")), verdict))
        assert len(out) == FEEDS, words
        return int(words[0]), out

    def verify(self, line):
        end, places = self.query(line)
        for i, (offset, verdict) in enumerate(places):
            assert verdict == "ok", (i, verdict, self.lines)
            assert offset >= self.tops[i], (i, "stepped back", self.lines)
            self.tops[i] = offset
        return end, places

    @rule(name=st.sampled_from(["t", "u"]), priority=st.integers(0, 9))
    def append(self, name, priority):
        self.command("append %s %d" % (name, priority))

    @rule()
    def append_bad(self):
        self.command("bad")

    @rule(cut=st.integers(0, 6))
    @precondition(lambda self: self.tops[NEVER_RESTARTED] > 0)
    def trim(self, cut):
        self.first = max(self.first, self.tops[NEVER_RESTARTED] + 1 - cut)
        self.command("trim %d" % self.first)

    @rule(down=st.booleans())
    def turn(self, down):
        self.command("down %d" % down)

    @rule(i=ANY, how=READ_FAULTS, times=st.integers(1, 4))
    def read(self, i, how, times):
        for _ in range(times):
            self.command("read %d %s" % (i, how))

    @rule(i=ANY, j=ANY, up=st.booleans())
    def set_link(self, i, j, up):
        self.command("%s %d %d" % ("link" if up else "unlink", i, j))

    @rule(i=ANY, j=ANY)
    def beat(self, i, j):
        self.command("link %d %d" % (i, j))
        self.command("beat %d %d" % (i, j))
        self.command("deliver %d" % j)

    @rule(i=ANY, how=FRAME_FAULTS)
    def deliver(self, i, how):
        self.command("deliver %d %s" % (i, how))

    @rule(ms=st.sampled_from([20, 100, 400, 2000, 6000]))
    def tick(self, ms):
        self.command("tick %d" % ms)

    @rule(i=st.integers(0, NEVER_RESTARTED - 1))
    def restart(self, i):
        self.command("restart %d" % i)
        self.tops[i] = 0

    @rule()
    def settle(self):
        end, places = self.verify("settle")
        assert all(offset == end for offset, _ in places), (
            end, places, self.lines)

    @invariant()
    def holds(self):
        self.verify("check")

    def teardown(self):
        if self.proc.poll() is None and self.lines:
            try:
                self.settle()
            finally:
                self.proc.stdin.close()
                self.proc.stdout.close()
                self.proc.wait(10)


def test_feeds_agree_by_every_path(build):
    FeedMachine.build = build
    from hypothesis.stateful import run_state_machine_as_test
    run_state_machine_as_test(FeedMachine, settings=settings(
        derandomize=True, deadline=None, max_examples=300, database=None,
        stateful_step_count=40, suppress_health_check=list(HealthCheck)))
