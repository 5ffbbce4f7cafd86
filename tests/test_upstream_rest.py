"""Upstreams that turn a gateway away and ask it for rest."""

import os
import signal

import pytest

from cluster import wait_until
from fake_platform import config, routes_with_public
from platform_cluster import Cluster
from resting import (could_wait, run_callers, set_resting, share_served,
                     summarize)

SECONDS = 9.0
# Served at the first attempt, where another upstream could serve, and where
# all that could rest for most of a request's time.
MIN_SERVED = 0.95
MIN_SERVED_NO_OTHER = 0.8
# A request whose time is over before the rest is refused by then.
AT_ONCE_S = 0.25

SAME = (("m0",),) * 8


def check(c, resting, rest_s=3.0, least=MIN_SERVED, act=None, **more):
    """RESTING, upstreams of C, ask for rest while callers ask."""
    c.leader()
    wait_until(c.all_linked)
    restings = set_resting(resting, rest_s)
    answers = run_callers(c, SECONDS, act, **more)
    late, rests, most = summarize(restings)
    served = share_served(answers)
    print("late %d in %d rests, %d in one; served %.2f" % (
        late, rests, most, served))
    assert rests > 0
    assert late == 0
    assert served >= least
    return answers


def check_refusals(answers):
    """What could not wait for the end of a rest was refused at once."""
    refused = [a for a in answers if not a.served and a.status]
    assert {a.status for a in refused} <= {503}
    assert all(float(a.head["Retry-After"]) > 0 for a in refused)
    assert all(a.took_s < AT_ONCE_S for a in refused), sorted(
        a.took_s for a in refused)[-5:]


@pytest.mark.parametrize("resting,rest_s", [(1, 3), (1, 8), (4, 3)])
def test_requests_sent_to_some_that_rest(build, resting, rest_s):
    with Cluster(build, gateways=3, models=SAME) as c:
        check(c, c.engines[:resting], rest_s)


def test_requests_sent_to_one_of_two_that_rests(build):
    with Cluster(build, gateways=3, models=SAME[:2]) as c:
        check(c, c.engines[:1])


# The only holder of a model rested, and requests waited for it although
# another upstream had room for the model.
def test_requests_wait_for_the_only_holder_that_rests(build):
    with Cluster(build, gateways=3, models=(("m0",), ("m1",))) as c:
        answers = check(c, c.engines[:1])
        assert sorted(a.took_s for a in answers)[int(len(answers) * .99)] < 1.5


# Callers leave a stream without an event after four times its objective.
PATIENCE_S = 2.0
# The way of an answer to the caller, and the time that the model needs.
MARGIN_S = 0.25


def set_patience(c, patience_s):
    routes = routes_with_public()
    for r in routes:
        r["target_latency_ms"] = patience_s * 1000 / 4
    c.put_in_force(config(4, routes))


@pytest.mark.parametrize("upstreams", [8, 1])
def test_requests_sent_though_all_rest(build, upstreams):
    with Cluster(build, gateways=3, models=SAME[:upstreams]) as c:
        set_patience(c, 4.0)
        check_refusals(check(c, c.engines, least=MIN_SERVED_NO_OTHER))


def check_impatient(build, upstreams):
    with Cluster(build, gateways=3, models=SAME[:upstreams]) as c:
        answers = check(c, c.engines, least=0)
        check_refusals(answers)
        patient = could_wait(answers, c.engines, PATIENCE_S - MARGIN_S)
        assert share_served(patient) >= MIN_SERVED


# Callers that leave before the end of the rest are not kept waiting; all
# others are.
def test_callers_leave_while_eight_rest(build):
    check_impatient(build, 8)


def test_callers_leave_while_the_only_one_rests(build):
    check_impatient(build, 1)


# A request that was sent later than the tick began counted as silent for ever:
# it was dropped, and answered 502 as it may have run.
def test_request_sent_within_a_slow_tick(build):
    library = os.path.abspath(os.path.join(build, "slow_clock.so"))
    slow = {"LD_PRELOAD": library,
            "ASAN_OPTIONS": "verify_asan_link_order=0"}
    with Cluster(build, gateways=2, models=SAME) as c:
        for g in c.gateways:
            g.stop()
            g.env = dict(os.environ, **slow)
            g.start()
        for g in c.gateways:
            wait_until(g.is_ready)
        answers = check(c, c.engines, least=0)
        assert {a.status for a in answers} <= {200, 503}
        silent = [e["after_ms"] for g in c.gateways
                  for e in g.events("request-broken")
                  if e["why"] == "silent"]
        assert all(ms > 100 for ms in silent), silent


# Requests went to a resting upstream 60 ms after each refusal.
def test_plain_requests_sent_to_one_of_two_that_rests(build):
    with Cluster(build, gateways=3) as c:
        check(c, c.apps[:1], route="read", model=None)


@pytest.mark.parametrize("route", ["read", "pay"])
def test_plain_requests_sent_though_all_rest(build, route):
    with Cluster(build, gateways=3) as c:
        check_refusals(check(c, c.apps, least=MIN_SERVED_NO_OTHER,
                             route=route, model=None))


def test_what_cannot_wait_for_a_rest_is_refused_late(build):
    with Cluster(build, gateways=3, models=SAME[:1]) as c:
        check_refusals(check(c, c.engines, 8.0, least=0))


def test_rest_is_forgotten_with_the_leader(build):
    with Cluster(build, gateways=3, models=SAME) as c:
        check(c, c.engines[:4], least=0,
              act=lambda c: c.leader().send(signal.SIGKILL))


# A gateway without a path of its own sent by a neighbour what it had been
# asked to hold back.
@pytest.mark.parametrize("resting", [1, 2])
def test_rest_is_evaded_by_detours(build, resting):
    with Cluster(build, gateways=3, models=SAME[:2], paths=True) as c:
        cut = next(g for g in c.gateways if g is not c.leader())
        c.cut([cut], "hang")
        set_patience(c, 4.0)
        least = MIN_SERVED if resting == 1 else MIN_SERVED_NO_OTHER
        check(c, c.engines[:resting], least=least, gateways=[cut], per_s=13)


# What can't be read as a number of seconds asks for nothing, and breaks
# nothing.
@pytest.mark.parametrize("value", [
    "abc", "-5", "1e9", "12345678901234567890",
    "Fri, 04 Dec 2026 12:00:00 GMT", "nan", "inf", "3, 4", "0x10", ["3", "4"],
    ""])
def test_unreadable_rest_fails_callers(build, value):
    with Cluster(build, gateways=1, models=SAME[:2]) as c:
        c.leader()
        set_resting(c.engines[:1], 3.0, value=value)
        answers = run_callers(c, 3.0)
        assert share_served(answers) >= MIN_SERVED
