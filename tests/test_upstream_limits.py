"""Limits that upstreams name, which hold over all gateways together."""

import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask, now


def test_a_named_limit_is_logged(build):
    """Guards against a limit that nobody can see in the logs: begun, changed,
    not readable, ended."""
    with Cluster(build, models=(("m0",),)) as c:
        g, engine = c.gateways[0], c.engines[0]
        for named in (None, "40", "60.5", "x", ["7", "7"], "60.5", None):
            engine.rate_limit = named
            assert ask(g, "chat", "m0")[0] == 200
        wait_until(lambda: len(g.events("upstream-limit")) == 4)
        assert [(e["what"], e.get("text"), e.get("limit_per_1000_s"))
                for e in g.events("upstream-limit")] == [
                    ("named", None, 40000), ("changed", None, 60500),
                    ("not read", "x", 60500), ("ended", None, None)]


# The users' bound: in a window of WINDOW_S, from GRACE_S after an upstream
# first named its limit, at most EXCESS times what that allows, and SLACK.
WINDOW_S = 4
GRACE_S = 3
EXCESS = 1.5
SLACK = 5
# Part of its limit that an upstream must still get while callers want it.
LEAST_USE = 0.8


def allowed(per_s):
    return EXCESS * per_s * WINDOW_S + SLACK


class Callers:
    """Sends PER_S requests a second for model MODEL to GATEWAYS in turn until
    stop(); answers has (time, status, headers) of each."""

    def __init__(self, gateways, per_s, model="m0", **more):
        self.gateways, self.per_s, self.model = gateways, per_s, model
        self.more = more
        self.answers, self.threads = [], []
        self.lock = threading.Lock()
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        i = 0
        while not self.ends.wait(1 / self.per_s):
            self.threads.append(threading.Thread(
                target=self.one, args=(self.gateways[i % len(self.gateways)],)))
            self.threads[-1].start()
            i += 1

    def one(self, gateway):
        at = now()
        try:
            status, head, _, _ = ask(gateway, "chat", self.model, **self.more)
        except OSError:   # the gateway is down
            return
        with self.lock:
            self.answers.append((at, status, head))

    def stop(self):
        self.ends.set()
        self.thread.join()
        for t in self.threads:
            t.join()
        return self.answers


def arrivals_between(engine, begin, end):
    return [at for _, at in engine.arrivals if begin <= at < end]


def largest_window(times):
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times),
               default=0)


@pytest.mark.parametrize("gateways", [3, 7])
def test_gateways_keep_a_named_limit_together(build, gateways):
    """Guards against a limit that each gateway keeps by itself, or none: the
    sum of their requests is far above it."""
    with Cluster(build, gateways=gateways, models=(("m0",),)) as c:
        c.leader()
        wait_until(c.all_linked)
        engine = c.engines[0]
        engine.rate_limit = "2"
        callers = Callers(c.gateways, per_s=14)
        wait_until(lambda: len(engine.arrivals) > 0)
        begin = now() + GRACE_S
        time.sleep(GRACE_S + 2.5 * WINDOW_S)
        end = now()
        answers = callers.stop()
        arrived = arrivals_between(engine, begin, end)
        assert largest_window(arrived) <= allowed(2)
        assert len(arrived) >= LEAST_USE * 2 * (end - begin)
        # What does not fit is refused, and told when to come back.
        refused = [(s, h) for at, s, h in answers if at > begin and s != 200]
        assert {s for s, _ in refused} == {503}
        assert all(float(h["Retry-After"]) > 0 for _, h in refused)
