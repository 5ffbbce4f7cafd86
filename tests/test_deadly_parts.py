"""One part of a prompt ends each engine that begins an answer on it."""

import functools
import os
import signal
import subprocess
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import ask, now
from prompt_callers import (BAD, MAX_LATE, Callers, check, count_late,
                            make_prompt, play, read_ends)
from raw_answers import BARE, RESET, RawAnswer, event
from test_deadly import linked_cluster
from test_suspects import KEYS, control, with_keys


# The aim for a part that answers had proved.
MAX_ENDS_AFTER_PROOF = 5


def make_cluster(build, engines=8, gateways=3, models=("m0", "m1"), **more):
    return linked_cluster(build, models=(models,) * engines,
                          gateways=gateways, **more)


def explain(build, cluster, rid):
    return subprocess.run(
        [os.path.join(build, "bglade"), "explain", rid,
         *[g.log_path for g in cluster.gateways]], capture_output=True,
        text=True, check=True).stdout


def prompt(**shape):
    return functools.partial(make_prompt, **shape)


def first_of_16(number, deadly):
    return make_prompt(number, deadly, first="f%d" % (number % 16))


def other_tokens(number, deadly):
    return make_prompt(number, deadly).replace(
        "%s:20" % BAD, "%s:%d" % (BAD, number % 50))


def one_of_two(number, deadly):
    return make_prompt(number, deadly, bad="bad%d" % (number % 2))


# Each request with the part was taken for a new one, as no two are alike.
@pytest.mark.parametrize("shape", [
    {}, {"prompt": prompt(place=0)}, {"prompt": prompt(place=3, extra=1)},
    {"prompt": first_of_16}, {"prompt": other_tokens},
    {"models": ("m0", "m1")}, {"sound_s": 120, "deadly_s": 10},
    {"deadly_s": 1}], ids=[
        "third", "first", "fourth-of-five", "16-first-parts", "tokens-differ",
        "two-models", "120-beside-10", "one-a-second"])
def test_part_that_ends_engines(build, shape):
    with make_cluster(build) as c:
        callers, began = play(c, **shape)
        check(callers, c.engines, began)


def test_two_parts_that_end_engines(build):
    with make_cluster(build) as c:
        callers, began = play(c, prompt=one_of_two,
                              deadly_parts=("bad0", "bad1"))
        check(callers, c.engines, began)


def test_part_that_ends_both_engines(build):
    with make_cluster(build, engines=2) as c:
        callers, began = play(c)
        check(callers, c.engines, began)


def test_part_at_seven_gateways(build):
    with make_cluster(build, engines=12, gateways=7) as c:
        callers, began = play(c, sound_s=40, deadly_s=12)
        check(callers, c.engines, began)


# An engine that had written a part of its answer was taken for sound.
@pytest.mark.parametrize("events", [0, 2])
def test_part_that_ends_engines_after_they_answered(build, events):
    with make_cluster(build) as c:
        for e in c.engines:
            e.answer_before_end = lambda engine, h, rid: engine.stream(
                h, rid, stop_after=events)
        callers, began = play(c)
        check(callers, c.engines, began)


def test_part_that_ends_engines_slowly(build):
    with make_cluster(build) as c:
        for e in c.engines:
            e.rest_s = 0.5
        callers, began = play(c, sound_s=60)
        check(callers, c.engines, began)


@pytest.mark.parametrize("new_id, back_s", [(True, 1), (False, 4)])
def test_part_while_engines_come_back(build, new_id, back_s):
    with make_cluster(build) as c:
        for e in c.engines:
            e.new_id, e.ended_s = new_id, back_s
        callers, began = play(c, deadly_s_long=6)
        check(callers, c.engines, began)


# What the leader knew of a part was lost with it.
def test_part_through_a_lost_leader(build):
    with make_cluster(build, gateways=4) as c:
        leader = c.leader()
        others = [g for g in c.gateways if g is not leader]

        def kill():
            leader.send(signal.SIGKILL)
            leader.proc.wait()

        c.gateways = others
        callers, began = play(c, during=kill, deadly_s_long=9)
        c.gateways = others + [leader]
        check(callers, c.engines, began)


def restart(gateways):
    for g in gateways:
        g.send(signal.SIGKILL)
        g.proc.wait()
    for g in gateways:
        g.start()


@pytest.mark.parametrize("together", [True, False])
def test_part_through_restarts_of_all_gateways(build, together):
    with make_cluster(build) as c:
        def restart_all():
            time.sleep(0.5)   # the lease record tells of it
            if together:
                restart(c.gateways)
                return
            for g in c.gateways:
                restart([g])
                wait_until(g.is_ready)

        callers, began = play(c, during=restart_all, deadly_s_long=8)
        ended = read_ends(c.engines)[-1]
        print("last end after %.1f s" % (ended - began))
        assert count_late(c.engines) <= MAX_LATE
        assert callers.share(began + 5) >= 0.95


# A part that was not seen for a while was counted anew.
def test_part_that_comes_again(build):
    with make_cluster(build) as c:
        callers, began = play(c, deadly_s_long=3)
        again, _ = play(c, warm_s=5, deadly_s_long=4)
        callers.sent += again.sent
        check(callers, c.engines, began)


# Engines that end by themselves got parts that all requests share stopped.
def test_engines_that_end_in_turn_stop_no_part(build):
    with make_cluster(build, engines=12) as c:
        def end_all():
            for e in c.engines:
                e.end()
                time.sleep(0.25)

        callers, began = play(c, during=end_all, deadly_parts=(),
                              prompt=lambda n, _deadly: make_prompt(n, False))
        assert len(read_ends(c.engines)) == 12
        assert callers.share(began) >= 0.95
        assert not any(e["what"] == "stopped" for g in c.gateways
                       for e in g.events("suspect"))


# The log of broken requests did not tell what they had in common.
# A release made a part deadly that answers had proved a moment before.
def test_part_that_was_proved_ends_engines(build):
    with make_cluster(build) as c:
        callers = Callers(c.gateways)
        try:
            time.sleep(2.5)
            began = now()
            for e in c.engines:
                e.deadly_parts, e.rest_s, e.ended_s = (BAD,), 0.06, 1
            time.sleep(10)
        finally:
            callers.stop()
        check(callers, c.engines, began)
        assert len(read_ends(c.engines)) <= MAX_ENDS_AFTER_PROOF


def test_logs_name_the_parts_of_a_prompt(build):
    with make_cluster(build, engines=3) as c:
        for e in c.engines:
            e.deadly_parts = (BAD,)
        for number in range(2):
            ask(c.gateways[number], "chat", "m0", b"body %d" % number,
                headers={"X-Prompt-Prefix": make_prompt(number, True)})
        broken = [e for g in c.gateways for e in g.events("request-broken")]
        one, two = (set(next(e["parts"] for e in broken
                             if e["request"] == request).split(","))
                    for request in {e["request"] for e in broken})
        assert len(one) == len(two) == 3 and len(one & two) == 2


# Answers that were broken off got a part that all requests share stopped, though
# no engine had ended.
def test_answers_that_are_broken_off_stop_no_part(build):
    with make_cluster(build, engines=4) as c:
        for e in c.engines:
            e.on_request = RawAnswer(BARE, RESET, lambda _first: event(0))
        for number in range(20):
            status, *_ = ask(c.gateways[number % 3], "sum", "m0",
                             b"body %d" % number, headers={
                                 "X-Prompt-Prefix": make_prompt(number, False)})
            assert status != 503
        assert not any(e["kind"] == "part" for g in c.gateways
                       for e in g.events("suspect"))


# A refused request did not tell which part it was refused for.
def test_explain_and_lift_a_part(build):
    with make_cluster(build, engines=4) as c:
        for e in c.engines:
            e.deadly_parts = (BAD,)

        def send(number, deadly=True):
            return ask(c.gateways[number % 3], "chat", "m0",
                       b"body %d" % number, deadline_ms=1500, headers={
                           "X-Prompt-Prefix": make_prompt(number, deadly)})

        def find_stopped():
            return [e for g in c.gateways for e in g.events("suspect")
                    if e["kind"] == "part" and e["what"] == "stopped"]

        for number in range(100, 110):
            send(number, False)
        numbers = iter(range(1000))
        wait_until(lambda: send(next(numbers)) and find_stopped())
        part = find_stopped()[-1]["request"]
        status, _, body, rid = send(500)
        assert status == 503 and BAD.encode() not in body
        wait_until(lambda: any(e["id"] == rid for g in c.gateways
                               for e in g.events("request-stopped")))
        shown = explain(build, c, rid)
        assert 'key="%s"' % part in shown and 'kind="part"' in shown
        assert 'request="%s"' % part in shown and 'what="stopped"' in shown
        for e in c.engines:
            e.deadly_parts = ()
        assert control(c.gateways[2], "POST",
                       "/suspects/lift/" + part)[0] == 200
        wait_until(lambda: send(501)[0] == 200)


# One workspace got another's prompts stopped by naming the same part.
def test_one_workspace_cannot_stop_parts_of_another(build):
    with make_cluster(build, engines=8) as c:
        c.put_in_force(with_keys(10))
        for e in c.engines:
            e.deadly_parts = (BAD,)

        def send(number, who):
            return ask(c.gateways[number % 3], "chat", "m0",
                       b"body %d" % number, deadline_ms=1500, headers={
                           "X-Api-Key": KEYS[who],
                           "X-Prompt-Prefix": make_prompt(number, True)})[0]

        numbers = iter(range(1000))
        wait_until(lambda: send(next(numbers), "alpha") == 503 and any(
            e["what"] == "stopped" for g in c.gateways
            for e in g.events("suspect")))
        for e in c.engines:
            e.deadly_parts = ()
        wait_until(lambda: any(e.models for e in c.engines))
        assert send(1001, "beta") == 200
        assert send(1002, "alpha") == 503


# A request whose time was over while its upstream's process was asked for was
# answered 503, though it had run.
def test_answer_while_the_process_is_asked_for(build):
    with make_cluster(build, engines=4) as c:
        breaks_s = iter(0.405 + 0.001 * (i % 16) for i in range(32))
        lock = threading.Lock()

        def break_off(_engine, h, _rid):
            with lock:
                after_s = next(breaks_s)
            time.sleep(after_s)
            h.close_connection = True
            return True

        for e in c.engines:
            e.on_request = break_off
        answers = [ask(c.gateways[i % 3], "sum", "m0", b"body %d" % i,
                       deadline_ms=500)[0] for i in range(32)]
        assert set(answers) <= {502, 504}
