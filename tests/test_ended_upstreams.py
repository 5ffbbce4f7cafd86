"""Streams without a length whose upstream ends between two of their events:
nothing in their own bytes tells them from whole ones."""

import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, FaultProxy, ask
from raw_answers import BARE, CLOSED, RawAnswer, event

MODELS = (("m0",), ("m0",))
EVENTS = 20
STREAMS = 24
# A stream lasts 0.1 s; its end is held back for half a second at the most.
MAX_END_S = 1.5


class Stream(RawAnswer):
    """A stream of whole events; each is written by itself."""

    def __init__(self, event_s):
        super().__init__(BARE, CLOSED, self.make)
        self.event_s = event_s

    @staticmethod
    def make(first):
        return "".join(event(i) for i in range(first, EVENTS))

    def cut(self, body):
        for text in body.decode().split("\n\n")[:-1]:
            time.sleep(self.event_s)
            yield (text + "\n\n").encode()


def run_streams(gateway, count, route="chat", deadline_ms=4000):
    answers, threads = [], []
    for i in range(count):
        threads.append(threading.Thread(target=lambda n=i: answers.append(
            ask(gateway, route, "m0", b"request %d" % n, deadline_ms))))
        threads[-1].start()
    return answers, threads


def count_short(answers):
    whole = Stream.make(0).encode()
    got = [(a[0], a[2]) for a in answers]
    return sum(status == 200 and data != whole and
               not data.startswith(b"INCOMPLETE") for status, data in got)


def set_answer(c, raw):
    for e in c.engines:
        e.on_request = raw


def kill(proxy):
    """All its connections are closed, and its address, as of one process."""
    proxy.proc.kill()
    proxy.proc.wait()


def put_behind(c, engine):
    """Gateways reach ENGINE through the proxy that is returned."""
    proxy = FaultProxy(engine.address)
    engine.address = proxy.address
    engine.publish_entry()
    c.gateways[0].stop()
    c.gateways[0].start()
    wait_until(c.gateways[0].is_ready)
    return proxy


# Streams of an upstream that ended reached their callers short and complete,
# though other connections to it ended at that moment.
def test_streams_of_an_ended_upstream_are_resumed(build):
    with Cluster(build, models=MODELS) as c:
        proxy = put_behind(c, c.engines[0])
        raw = Stream(0.02)
        set_answer(c, raw)
        answers, threads = run_streams(c.gateways[0], STREAMS)
        time.sleep(0.25)
        kill(proxy)
        for t in threads:
            t.join()
        print("runs %d, short %d" % (len(raw.resumed_at),
                                     count_short(answers)))
        assert len(answers) == STREAMS
        assert all(a[0] == 200 for a in answers)
        assert count_short(answers) == 0


# A doubt must not make a whole answer fail, nor cost a run when all is calm.
def test_whole_streams_without_a_length_are_run_once(build):
    with Cluster(build, models=MODELS) as c:
        raw = Stream(0.001)
        set_answer(c, raw)
        for _ in range(10):
            answers, threads = run_streams(c.gateways[0], STREAMS)
            for t in threads:
                t.join()
            whole = Stream.make(0).encode()
            assert [(a[0], a[2]) for a in answers] == [(200, whole)] * STREAMS
        print("runs %d" % len(raw.resumed_at))
        assert len(raw.resumed_at) == 10 * STREAMS


# The last event had come when the upstream ended, and nobody can go on.
@pytest.mark.parametrize("route", ["chat", "sum"])
@pytest.mark.parametrize("deadline_ms", [400, 4000])
def test_whole_stream_of_an_ended_upstream_does_not_fail(build, route,
                                                         deadline_ms):
    with Cluster(build, models=(("m0",),)) as c:
        proxy = put_behind(c, c.engines[0])

        class WholeThenEnd(Stream):
            def finish(self, h):
                time.sleep(0.05)   # the last event is at its caller
                kill(proxy)
                h.close_connection = True
        set_answer(c, WholeThenEnd(0.001))
        began = time.monotonic()
        answers, threads = run_streams(c.gateways[0], 4, route, deadline_ms)
        for t in threads:
            t.join()
        whole = Stream.make(0).encode()
        assert whole in [a[2] for a in answers]
        assert not any(a[2].startswith(b"INCOMPLETE") for a in answers)
        assert time.monotonic() - began < MAX_END_S


# An end that no other one is near opens no connection to the upstream.
def test_ends_one_by_one_cost_no_connection(build):
    with Cluster(build, models=(("m0",),)) as c:
        server, opened = c.engines[0].server, []
        accept = server.get_request

        def count():
            opened.append(1)
            return accept()
        server.get_request = count
        # One of them is under way all the time.
        set_answer(c, Stream(0.1))
        answers, threads = run_streams(c.gateways[0], 1)
        time.sleep(0.1)
        set_answer(c, Stream(0.001))
        before = len(opened)
        for i in range(20):
            assert ask(c.gateways[0], "chat", "m0", b"one %d" % i)[0] == 200
            time.sleep(0.02)
        assert len(opened) - before == 20
        for t in threads:
            t.join()
        assert answers[0][0] == 200
