"""Four processes are fed one log by whatever path: read directly (entries
repeated, reversed, damaged, skipped), relayed, from snapshots and from
checkpoints, while links come and go, frames are lost, doubled and reordered,
processes start anew and retention cuts the log.  The oracle knows only this:
what a process holds at an offset is what the accepted sequence makes up to
there, an offset never steps back, and once the faults end all stand at the
end of the log."""

import os
import subprocess

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, invariant,
                                 precondition, rule)

from cluster import ROOT

FEEDS = 4
KEEPER = 3  # never starts anew, so that the state is never lost for good
ANY = st.integers(0, FEEDS - 1)
SPOILS = st.sampled_from(["", "repeat", "reverse", "damage", "skip"])
LOSSES = st.sampled_from(["", "drop", "twice", "reverse"])


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
        self.say("tick 10")

    def say(self, line):
        self.lines.append(line)
        self.proc.stdin.write(line + "\n")
        self.proc.stdin.flush()

    def ask(self, line):
        """One line of answer: the log's end, then each feed's place."""
        self.say(line)
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
        end, places = self.ask(line)
        for i, (offset, verdict) in enumerate(places):
            assert verdict == "ok", (i, verdict, self.lines)
            assert offset >= self.tops[i], (i, "stepped back", self.lines)
            self.tops[i] = offset
        return end, places

    @rule(name=st.sampled_from(["t", "u"]), priority=st.integers(0, 9))
    def append(self, name, priority):
        self.say("append %s %d" % (name, priority))

    @rule()
    def append_bad(self):
        self.say("bad")

    @rule(cut=st.integers(0, 6))
    @precondition(lambda self: self.tops[KEEPER] > 0)
    def trim(self, cut):
        self.first = max(self.first, self.tops[KEEPER] + 1 - cut)
        self.say("trim %d" % self.first)

    @rule(down=st.booleans())
    def turn(self, down):
        self.say("down %d" % down)

    @rule(i=ANY, how=SPOILS, times=st.integers(1, 4))
    def read(self, i, how, times):
        for _ in range(times):
            self.say("read %d %s" % (i, how))

    @rule(i=ANY, j=ANY, up=st.booleans())
    def set_link(self, i, j, up):
        self.say("%s %d %d" % ("link" if up else "unlink", i, j))

    @rule(i=ANY, j=ANY)
    def beat(self, i, j):
        self.say("link %d %d" % (i, j))
        self.say("beat %d %d" % (i, j))
        self.say("deliver %d" % j)

    @rule(i=ANY, how=LOSSES)
    def deliver(self, i, how):
        self.say("deliver %d %s" % (i, how))

    @rule(ms=st.sampled_from([20, 100, 400, 2000, 6000]))
    def tick(self, ms):
        self.say("tick %d" % ms)

    @rule(i=st.integers(0, KEEPER - 1))
    def restart(self, i):
        self.say("restart %d" % i)
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
