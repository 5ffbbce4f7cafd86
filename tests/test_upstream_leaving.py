"""Upstreams that say in their answers that they leave, whatever their entry in
the store says."""

import signal
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, now
from resting import Callers, get_sender, share_served

# The users' rule: after the first answer that a gateway passed on, it may send
# the upstream what callers sent within DRAIN_S; the aim is nothing at all once
# that answer was read.
DRAIN_S = 2.0
# All gateways know, also those that never asked it.
KNOWN_S = 0.5
LEAVING = {"Server-Leaving": "1"}
BEFORE_S, AFTER_S = 1.0, 6.0


class Passed:
    """When each gateway passed on the first answer that says that ENGINE
    leaves, and what reached ENGINE of what callers sent later."""

    def __init__(self, engine, answers):
        said = [a for a in answers if a.head.get("Server-Leaving") == "1" and
                a.head.get("X-Server-Stamp") == "s-" + engine.name]
        self.at = {}
        for a in said:
            name = a.gateway.name
            self.at[name] = min(self.at.get(name, a.ended), a.ended)
        began = {a.rid: a.began for a in answers}
        self.after = [(began[rid] - self.at[get_sender(rid)])
                      for rid, _ in engine.arrivals
                      if rid in began and get_sender(rid) in self.at]
        first = min(self.at.values(), default=0)
        self.after_known = [began[rid] - first for rid, _ in engine.arrivals
                            if rid in began and first and
                            began[rid] > first + KNOWN_S]

    def count_late(self):
        return sum(s > DRAIN_S for s in self.after)


def run(c, engine, act=None, **more):
    """ENGINE says that it leaves; ACT happens just after that.  Returns what
    callers got."""
    c.leader()
    wait_until(c.all_linked)
    callers = Callers(c.gateways, **more)
    time.sleep(BEFORE_S)
    engine.extra_headers = dict(LEAVING)
    if act:
        act(c)
    time.sleep(AFTER_S)
    return callers.stop()


def check(c, engine, act=None, least=0.99, answered=True, **more):
    answers = run(c, engine, act, **more)
    passed = Passed(engine, answers)
    print("late %d, soon %d, after all know %d; served %.2f" % (
        passed.count_late(), sum(0 < s <= DRAIN_S for s in passed.after),
        len(passed.after_known), share_served(answers)))
    assert passed.at or not answered
    assert passed.count_late() == 0
    assert not passed.after_known
    assert share_served(answers) >= least


@pytest.mark.parametrize("engines", [8, 2])
def test_requests_sent_to_one_that_leaves(build, engines):
    with Cluster(build, gateways=3, models=(("m0",),) * engines) as c:
        check(c, c.engines[0])


# Its model was loaded elsewhere only when it was gone.
def test_only_holder_that_leaves_is_not_replaced(build):
    with Cluster(build, gateways=3, models=(("m0",), ("m1",))) as c:
        check(c, c.engines[0])


def test_plain_requests_sent_to_one_that_leaves(build):
    with Cluster(build, gateways=3) as c:
        check(c, c.apps[0], route="read", model=None)


def silence_store(c):
    c.store.mode = "busy"


def test_leaving_is_not_told_while_the_store_is_away(build):
    with Cluster(build, gateways=3, models=(("m0",),) * 8) as c:
        check(c, c.engines[0], silence_store)


def write_entry(c):
    time.sleep(0.5)
    c.engines[0].publish_entry()


def test_entry_written_as_ready_revokes_leaving(build):
    with Cluster(build, gateways=3, models=(("m0",),) * 8) as c:
        check(c, c.engines[0], write_entry)


def kill_leader(c):
    time.sleep(0.5)
    c.leader().send(signal.SIGKILL)


def test_leaving_is_forgotten_with_the_leader(build):
    with Cluster(build, gateways=3, models=(("m0",),) * 8) as c:
        check(c, c.engines[0], kill_leader, least=0.6)


def drain(c):
    c.engines[0].drain()


def test_entry_and_answers_say_that_it_leaves(build):
    with Cluster(build, gateways=3, models=(("m0",),) * 8) as c:
        # The entry may be read before any answer.
        check(c, c.engines[0], drain, answered=False)


# A new process was taken for the former one, which had said that it leaves.
@pytest.mark.parametrize("count", [2, 1])
def test_new_process_under_its_id_is_not_used(build, count):
    with Cluster(build, gateways=3, models=(("m0",),) * count) as c:
        run(c, c.engines[0])
        c.engines[0].extra_headers = {}
        c.engines[0].born += 5000
        c.engines[0].publish_entry()
        time.sleep(0.5)
        began, before = now(), len(c.engines[0].arrivals)
        answers = Callers(c.gateways)
        time.sleep(2)
        answers = answers.stop()
        assert now() > began
        assert len(c.engines[0].arrivals) > before
        assert share_served(answers) >= 0.95
