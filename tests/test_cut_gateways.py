"""Gateways that are cut from upstreams which other gateways reach."""

import http.client
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask, now

LEARN_S = 3.0     # a cut gateway may take so long until it serves as before
MEASURE_S = 4.0
ROUTES = (("chat", "m0"), ("read", None), ("pay", None), ("sum", "m1"))


class Callers:
    """Callers of each gateway: ten requests a second, each on a new connection
    and without a retry, however long others take.  VARY: no two are alike."""

    def __init__(self, gateways, vary=False):
        self.vary = vary
        self.results = {g.name: [] for g in gateways}   # (time, served)
        self.stopped = False
        self.threads = [threading.Thread(target=self.run, args=(g,))
                        for g in gateways]
        for t in self.threads:
            t.start()

    def ask_once(self, gateway, route, model):
        started = now()
        try:
            body = b"%r" % started if self.vary else b"x"
            status, head, data, _ = ask(gateway, route, model, body=body)
            served = (status == 200 and "X-Server-Stamp" in head and
                      not data.startswith(b"INCOMPLETE"))
        except (OSError, http.client.HTTPException):
            served = False
        self.results[gateway.name].append((started, served))

    def run(self, gateway):
        threads = []
        while not self.stopped:
            route, model = ROUTES[len(threads) % len(ROUTES)]
            threads.append(threading.Thread(target=self.ask_once,
                                            args=(gateway, route, model)))
            threads[-1].start()
            time.sleep(0.1)
        for t in threads:
            t.join()

    def stop(self):
        self.stopped = True
        for t in self.threads:
            t.join()

    def count(self, gateways, since):
        """(served, asked) of the requests to GATEWAYS from SINCE on."""
        found = [served for g in gateways
                 for at, served in self.results[g.name] if at >= since]
        return sum(found), len(found)


def measure(c, cut, others, how, upstreams=None):
    """Cuts CUT; returns counts at these and at OTHERS once LEARN_S is
    over."""
    callers = Callers(c.gateways)
    try:
        time.sleep(1)
        c.cut(cut, how, upstreams)
        began = now()
        time.sleep(LEARN_S + MEASURE_S)
    finally:
        callers.stop()
    return (callers.count(cut, began + LEARN_S),
            callers.count(others, began + LEARN_S))


def assert_served_alike(at_cut, at_others):
    """At least two thirds as often as at the others, and one of fifty or fewer
    not served."""
    served, asked = at_cut
    others_served, others_asked = at_others
    assert asked > 20 and others_asked > 20
    assert served * others_asked * 3 >= others_served * asked * 2
    assert (asked - served) * 50 <= asked, "%d of %d" % (served, asked)
    assert (others_asked - others_served) * 50 <= others_asked, (
        "%d of %d at the others" % (others_served, others_asked))


MODELS = (("m0",), ("m0", "m1"), ("m1",))


def close_after_answer(_engine, handler, _rid):
    handler.close_connection = True
    return False


def start(build, gateways, how):
    c = Cluster(build, gateways=gateways, models=MODELS, paths=True)
    if how == "refuse":
        # Else all requests find a connection that lives on.
        for u in c.apps + c.engines:
            u.on_request = close_after_answer
    return c


def check_cut_gateways(build, gateways, cut, how):
    with start(build, gateways, how) as c:
        leader = c.leader()
        wait_until(c.all_linked)
        order = [g for g in c.gateways if g is not leader] + [leader]
        at_cut, at_others = measure(c, order[:cut], order[cut:], how)
        assert_served_alike(at_cut, at_others)


# A gateway without a path to the upstreams failed its callers, although other
# gateways reached all of them.
@pytest.mark.parametrize("gateways,cut,how", [
    (3, 1, "hang"), (3, 1, "reset"), (3, 1, "refuse"), (7, 3, "hang"),
    (7, 3, "reset"), (7, 6, "hang"), (7, 6, "refuse")])
def test_cut_gateway_fails_its_callers(build, gateways, cut, how):
    check_cut_gateways(build, gateways, cut, how)


# One request under way at several gateways whose connections were reset at the
# same moment counted as one that ends upstreams.
def test_six_of_seven_cut_gateways_fail_callers_when_reset(build):
    check_cut_gateways(build, 7, 6, "reset")


def test_three_of_seven_cut_gateways_fail_callers_when_refused(build):
    check_cut_gateways(build, 7, 3, "refuse")


# A leader without a path to the upstreams failed its callers; the others must
# not leave alone what it alone can't reach.
@pytest.mark.parametrize("how", ["hang", "reset", "refuse"])
def test_cut_leader_fails_callers(build, how):
    with start(build, 3, how) as c:
        leader = c.leader()
        wait_until(c.all_linked)
        others = [g for g in c.gateways if g is not leader]
        at_cut, at_others = measure(c, [leader], others, how)
        assert_served_alike(at_cut, at_others)


# Cut from some upstreams only, or in one direction, a gateway kept to those
# that it reached, or lost the answers.
@pytest.mark.parametrize("what", ["models", "plain", "all but one", "one way",
                                  "one of each"])
def test_partly_cut_gateway_fails_its_callers(build, what):
    how = "one_way" if what == "one way" else "hang"
    with start(build, 3, how) as c:
        leader = c.leader()
        wait_until(c.all_linked)
        cut = next(g for g in c.gateways if g is not leader)
        upstreams = {"models": c.engines, "plain": c.apps,
                     "all but one": c.apps + c.engines[1:],
                     "one way": None,
                     "one of each": [c.apps[0], c.engines[1]]}[what]
        others = [g for g in c.gateways if g is not cut]
        at_cut, at_others = measure(c, [cut], others, how, upstreams)
        assert_served_alike(at_cut, at_others)
        runs = {}
        for u in c.apps + c.engines:
            for rid, path in zip(u.runs, (r[1] for r in u.requests)):
                if path.startswith(("/pay/", "/sum/")):
                    runs[rid] = runs.get(rid, 0) + 1
        assert set(runs.values()) == {1}
