"""Stateful fuzzing of the routing core.  The oracle: each request gets one
final answer and is at one upstream at most; it is refused as not run only if
no upstream has run it; a non-idempotent call is not sent again once it may
have run; an upstream never has more requests than its limit; no request is
sent to an upstream that is leaving or gone; a request suspected of an
upstream's death runs alone and causes the death of two upstreams at most."""

import os
import subprocess

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, precondition, rule,
                                 run_state_machine_as_test)

BUILD = os.environ.get("BGLADE_BUILD", "build")
PER_UPSTREAM = 2
MODELS = ("m", "n")
UPSTREAMS = ("a", "b", "c")


class Routing(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.proc = subprocess.Popen(
            [os.path.join(BUILD, "script_rt")], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True)
        self.now = 1000
        self.epoch = 1
        self.next_id = 0
        self.open = {}      # id -> {"once", "at", "ran"}
        self.inflight = {}  # (upstream, address) -> calls
        self.left = set()   # (upstream, address)
        self.gone = set()
        self.answers = {}   # id -> final words

    # ---- the oracle ----------------------------------------------------

    def command(self, line):
        self.proc.stdin.write(line + "\n.\n")
        self.proc.stdin.flush()
        while (out := self.proc.stdout.readline()) != ".\n":
            assert out, "the core ended"
            self.check(out.split())

    def check(self, words):
        if words[0] == "send":
            self.check_send(int(words[1]), (words[2], words[3]))
        elif words[0] == "refuse":
            q = self.end(int(words[1]), "refused")
            assert not q["ran"], "refused as not run, but it may have run"
            assert int(words[2]) >= 1000, "Retry-After"
        elif words[0] == "finish":
            assert self.end(int(words[1]), "unfinished")["ran"]
        elif words[0] == "dropped":
            self.end(int(words[1]), "dropped")

    def check_send(self, ident, where):
        q = self.open[ident]
        assert q["at"] is None, "sent twice at once"
        assert not (q["once"] and q["ran"]), "a second run is possible"
        assert where not in self.left, "sent to a leaving upstream"
        assert where not in self.gone, "sent to an upstream that is gone"
        assert q["deaths"] < 2, "sent again after two deaths"
        beside = [p for p in self.open.values() if p["at"] == where]
        assert not any(p["suspect"] for p in beside + [q] if beside), \
            "a suspect runs beside others"
        q["at"] = where
        self.inflight[where] = self.inflight.get(where, 0) + 1
        assert self.inflight[where] <= PER_UPSTREAM

    def end(self, ident, word):
        assert ident not in self.answers, "a second final answer"
        q = self.open.pop(ident)
        assert q["at"] is None, "ended while it was sent"
        self.answers[ident] = word
        return q

    # ---- events --------------------------------------------------------

    @rule(model=st.sampled_from(MODELS + ("-",)), once=st.booleans(),
          workspace=st.sampled_from("xyz"),
          kind=st.sampled_from(("lookup", "interactive", "batch")),
          priority=st.integers(0, 9), wait=st.sampled_from((50, 2000, 20000)),
          load=st.sampled_from((20, 1000)), affinity=st.integers(0, 3))
    def arrive(self, model, once, workspace, kind, priority, wait, load,
               affinity):
        self.next_id += 1
        self.open[self.next_id] = {"once": once, "at": None, "ran": False,
                                   "suspect": False, "deaths": 0}
        self.command("arrive %d %s lm %s %s %d %d %d 1 %d %s" % (
            self.next_id, model, workspace, kind, priority, wait, load,
            affinity, "once" if once else "again"))

    def list_sent(self):
        return sorted(i for i, q in self.open.items() if q["at"])

    @precondition(lambda self: self.list_sent())
    @rule(data=st.data(),
          end=st.sampled_from(("ok", "ok", "not_sent", "turned_away",
                               "broken", "cancelled")),
          mark=st.sampled_from(("-", "leaving", "silent", "late", "died")))
    def done(self, data, end, mark):
        ident = data.draw(st.sampled_from(self.list_sent()))
        self.finish_send(ident, end, mark)

    @precondition(lambda self: self.list_sent())
    @rule(data=st.data())
    def die(self, data):
        """An upstream dies while it runs a request, which may be retried on
        another."""
        ident = data.draw(st.sampled_from(self.list_sent()))
        self.finish_send(ident, "broken", "died")
        self.wait(300)

    def finish_send(self, ident, end, mark):
        q = self.open[ident]
        self.inflight[q["at"]] -= 1
        if mark == "leaving":
            self.left.add(q["at"])
        q["at"] = None
        q["ran"] = q["ran"] or end == "broken"
        if end == "broken" and mark == "died":
            q["deaths"] += 1
            q["suspect"] = True
        if end in ("ok", "cancelled"):
            self.end(ident, end)
        self.command("done %d %s %s" % (ident, end, mark))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def cancel(self, data):
        self.command("cancel %d" % data.draw(
            st.sampled_from(sorted(self.open))))

    @rule(name=st.sampled_from(UPSTREAMS), port=st.sampled_from((1, 1, 1, 2)),
          word=st.sampled_from(("live", "live", "live", "leaving", "gone")),
          known=st.booleans(), old=st.booleans(),
          models=st.sampled_from(("m", "n", "m,n", "-")))
    def state(self, name, port, word, known, old, models):
        where = (name, "10.0.0.1:%d" % port)
        self.gone.discard(where)
        if word == "gone":
            self.gone.add(where)
        epoch = self.epoch - 1 if old else self.epoch
        if word == "leaving":
            self.left.add(where)
        self.command("state dc1 %d %s %s %s %s 0 %s" % (
            epoch, *where, word, "known" if known else "unknown", models))

    @precondition(lambda self: self.open)
    @rule(data=st.data(), quarantined=st.booleans())
    def death(self, data, quarantined):
        """An upstream died elsewhere while it ran an identical request."""
        ident = data.draw(st.sampled_from(sorted(self.open)))
        if not self.open[ident]["at"] and not quarantined:
            self.open[ident]["suspect"] = True
        self.command("death %d %s" % (
            ident, "quarantined" if quarantined else "suspect"))

    @rule(name=st.sampled_from(UPSTREAMS), port=st.sampled_from((1, 2)))
    def left_by_a_peer(self, name, port):
        where = (name, "10.0.0.1:%d" % port)
        self.left.add(where)
        self.command("left %s %s" % where)

    @rule()
    def new_epoch(self):
        self.epoch += 1
        self.command("state dc1 %d z 10.0.0.3:1 live known 0 -" % self.epoch)

    @rule(step=st.sampled_from((20, 300, 2000)))
    def wait(self, step):
        self.now += step
        self.command("at %d" % self.now)

    @rule(name=st.sampled_from(UPSTREAMS), well=st.booleans())
    def probe(self, name, well):
        self.command("probe %s 10.0.0.1:1 %s" % (
            name, "well" if well else "ill"))

    @rule(model=st.sampled_from(MODELS))
    def no_room(self, model):
        self.command("no_room %s 500" % model)

    @precondition(lambda self: self.next_id > 20)
    @rule()
    def drain(self):
        self.command("drain")

    # ---- teardown ------------------------------------------------------

    def teardown(self):
        try:
            for ident in self.list_sent():
                self.finish_send(ident, "ok", "-")
            for _ in range(3):
                self.now += 100000
                self.command("at %d" % self.now)
                for ident in self.list_sent():
                    self.finish_send(ident, "ok", "-")
            assert not self.open, "requests without a final answer"
            assert len(self.answers) == self.next_id
        finally:
            self.proc.stdin.close()
            self.proc.wait(10)
            self.proc.stdout.close()
        assert self.proc.returncode == 0


def test_routing_core():
    run_state_machine_as_test(Routing, settings=settings(
        derandomize=True, max_examples=150, stateful_step_count=50,
        deadline=None, suppress_health_check=list(HealthCheck)))
