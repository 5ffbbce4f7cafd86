"""429, 503, 408 and 421 promise callers that a request has not run and never
will: what an upstream, a break or a pause may not turn into one."""

import signal
import tempfile
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask
from upstream_process import Upstream

PROMISES = (408, 421, 429, 503)


def answer_with(status):
    def answer(engine, h, rid):
        del engine
        h.reply(status, {"own": status}, {"X-Attempt-Id": rid,
                                            "X-Server-Stamp": "s"})
        return True
    return answer


# An upstream's own 503, 429 or 408 was passed on as a promise, though it had
# run the request: only "not run" says that it has not.
@pytest.mark.parametrize("status", [503, 429, 408])
@pytest.mark.parametrize("route,model", [("pay", None), ("sum", "m0")])
def test_promise_of_an_upstream_that_ran_it(build, status, route, model):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        up = c.engines[0] if model else c.apps[0]
        up.on_request = answer_with(status)
        got = ask(c.gateways[0], route, model)
        assert got[0] == 502
        assert "X-Server-Stamp" not in got[1]
        assert up.runs == [got[3]]


# Callers of a route that may be repeated get what the upstream says.
@pytest.mark.parametrize("status", [429, 408])
def test_answer_of_a_route_that_may_be_repeated(build, status):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = answer_with(status)
        got = ask(c.gateways[0], "read")
        assert (got[0], got[2]) == (status, b'{"own": %d}' % status)


# Neither are other failures changed.
@pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
def test_other_failures_are_passed_on(build, status):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = answer_with(status)
        got = ask(c.gateways[0], "pay")
        assert (got[0], got[2]) == (status, b'{"own": %d}' % status)
        assert got[1]["X-Server-Stamp"] == "s"


class Paused:
    """One gateway, and one upstream that is a process of its own."""

    def __init__(self, build):
        self.cluster = Cluster(build, models=(), apps=0, first_config=True)
        self.upstream = Upstream(self.cluster.store, "u", tempfile.mkdtemp(),
                                 places=1)
        self.upstream.start()
        wait_until(lambda: ask(self.gateway, "pay")[0] == 200)

    @property
    def gateway(self):
        return self.cluster.gateways[0]

    def ask_beside(self, **more):
        answers = []
        t = threading.Thread(target=lambda: answers.append(
            ask(self.gateway, "pay", **more)))
        t.start()
        return answers, t

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self.upstream.send(signal.SIGCONT)
        self.gateway.send(signal.SIGCONT)
        self.upstream.stop()
        self.cluster.stop()

    def check(self, answers):
        time.sleep(0.5)   # what waits anywhere runs
        ran = self.upstream.read("run")
        for status, _, _, rid in answers:
            assert ran.count(rid) <= 1
            assert status not in PROMISES or rid not in ran


# Its kernel takes connection and bytes, nobody reads them, and it runs them
# once the caller has its answer.
@pytest.mark.parametrize("deadline_ms", [300, 1000])
def test_paused_upstream_runs_late(build, deadline_ms):
    with Paused(build) as p:
        p.upstream.send(signal.SIGSTOP)
        asked = [p.ask_beside(deadline_ms=deadline_ms) for _ in range(4)]
        for _, t in asked:
            t.join()
        p.upstream.send(signal.SIGCONT)
        answers = [a[0] for a, _ in asked]
        assert all(a[0] in (502, 504) for a in answers)
        p.check(answers)


# It wakes while the gateway is paused, which then finds deadline and answer at
# once.
@pytest.mark.parametrize("pause_s", [0.25, 0.6])
def test_paused_gateway_and_upstream(build, pause_s):
    with Paused(build) as p:
        answers = []
        for _ in range(4):
            p.upstream.send(signal.SIGSTOP)
            asked = [p.ask_beside(deadline_ms=400) for _ in range(3)]
            time.sleep(0.05)
            p.gateway.send(signal.SIGSTOP)
            p.upstream.send(signal.SIGCONT)
            time.sleep(pause_s)
            p.gateway.send(signal.SIGCONT)
            for a, t in asked:
                t.join()
                answers += a
        p.check(answers)


@pytest.mark.parametrize("sig", [signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize("end", [False, True])
def test_signals_while_the_upstream_is_paused(build, sig, end):
    with Paused(build) as p:
        p.upstream.send(signal.SIGSTOP)
        asked = [p.ask_beside(deadline_ms=1500) for _ in range(4)]
        time.sleep(0.1)
        p.gateway.send(sig)
        time.sleep(0.3)
        if end:
            p.upstream.kill()
        else:
            p.upstream.send(signal.SIGCONT)
        answers = []
        for a, t in asked:
            t.join()
            answers += a
        p.check(answers)
