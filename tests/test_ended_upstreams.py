"""Streams without a length whose upstream ends between two of their events:
nothing in their own bytes tells them from whole ones."""

import signal
import socket
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


class WholeThenEnd(Stream):
    """Its process ends just after the last event."""

    def __init__(self, proxy):
        super().__init__(0.001)
        self.proxy = proxy

    def finish(self, h):
        time.sleep(0.05)   # the last event is at its caller
        if self.proxy.proc.poll() is None:
            kill(self.proxy)
        h.close_connection = True


# Whether that was the last event is known by another upstream, which goes on.
def test_whole_stream_of_an_ended_upstream_does_not_fail(build):
    with Cluster(build, models=MODELS) as c:
        set_answer(c, WholeThenEnd(put_behind(c, c.engines[0])))
        began = time.monotonic()
        answers, threads = run_streams(c.gateways[0], 4)
        for t in threads:
            t.join()
        whole = Stream.make(0).encode()
        assert [a[2] for a in answers] == [whole] * 4
        assert time.monotonic() - began < MAX_END_S


# Nobody can tell: it must not look complete, nor be held beyond its deadline.
@pytest.mark.parametrize("route", ["chat", "sum"])
@pytest.mark.parametrize("deadline_ms", [400, 4000])
def test_stream_that_nobody_can_confirm_is_broken(build, route, deadline_ms):
    with Cluster(build, models=(("m0",),)) as c:
        set_answer(c, WholeThenEnd(put_behind(c, c.engines[0])))
        began = time.monotonic()
        answers, threads = run_streams(c.gateways[0], 4, route, deadline_ms)
        for t in threads:
            t.join()
        whole = b"INCOMPLETE " + Stream.make(0).encode()
        assert whole in [a[2] for a in answers]
        assert count_short(answers) == 0
        assert all(a[2].startswith(b"INCOMPLETE") for a in answers)
        longest_s = MAX_END_S if route == "sum" else deadline_ms / 1000 + 0.5
        assert time.monotonic() - began < longest_s


# Streams that may not be resumed were passed on short and complete.
def test_streams_that_may_not_be_resumed_are_broken(build):
    with Cluster(build, models=MODELS) as c:
        proxy = put_behind(c, c.engines[0])
        set_answer(c, Stream(0.02))
        answers, threads = run_streams(c.gateways[0], STREAMS, "sum")
        time.sleep(0.25)
        kill(proxy)
        for t in threads:
            t.join()
        assert len(answers) == STREAMS
        assert count_short(answers) == 0
        assert any(a[2].startswith(b"INCOMPLETE") for a in answers)


# Those that may be, of a model that no other upstream held, were ended as
# whole half a second later.
def test_streams_that_nobody_can_take_up_are_broken(build):
    with Cluster(build, models=(("m0",),)) as c:
        proxy = put_behind(c, c.engines[0])
        set_answer(c, Stream(0.02))
        answers, threads = run_streams(c.gateways[0], 6, deadline_ms=2500)
        time.sleep(0.25)
        kill(proxy)
        for t in threads:
            t.join()
        assert len(answers) == 6
        assert all(a[2].startswith(b"INCOMPLETE") for a in answers)


TEXT = "".join("line %d\n" % i for i in range(10))


def make_text(pause_s):
    """An application server's answer without a length."""
    return RawAnswer(BARE, CLOSED, lambda first: TEXT, pieces=10,
                     pause_s=pause_s, content_type="text/plain")


# Half an answer of an application server that was killed was passed on whole.
@pytest.mark.parametrize("route,status", [("pay", 502), ("read", 200)])
def test_plain_answer_of_an_ended_upstream_is_not_whole(build, route, status):
    with Cluster(build) as c:
        for app in c.apps:
            app.on_request = make_text(0.05)
        answers = []
        t = threading.Thread(target=lambda: answers.append(
            ask(c.gateways[0], route)))
        t.start()
        ran = wait_until(lambda: [a for a in c.apps if a.runs])[0]
        time.sleep(0.2)
        ran.end()
        t.join()
        assert answers[0][0] == status
        assert status != 200 or answers[0][2] == TEXT.encode()


def ask_http_1_0(gateway, route, model, rid):
    """The bytes of the answer, and whether its connection ended in order."""
    s = socket.create_connection(("127.0.0.1", gateway.front), timeout=10)
    s.sendall(("POST /%s/x HTTP/1.0\r\nHost: app.example\r\n"
               "X-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n%s"
               "Content-Length: 1\r\n\r\nx" % (
                   route, rid, "X-Model: %s\r\n" % model if model else "")
               ).encode())
    data = b""
    try:
        while True:
            more = s.recv(65536)
            if not more:
                return data, True
            data += more
    except ConnectionResetError:
        return data, False
    finally:
        s.close()


# A caller of HTTP/1.0 tells by the end of the connection alone.
@pytest.mark.parametrize("killed", [False, True])
def test_callers_of_http_1_0_see_the_break(build, killed):
    with Cluster(build, models=(("m0",),)) as c:
        set_answer(c, Stream(0.02))
        got = []
        t = threading.Thread(target=lambda: got.append(ask_http_1_0(
            c.gateways[0], "sum", "m0", "f" * 16)))
        t.start()
        time.sleep(0.2)
        if killed:
            c.engines[0].end()
        t.join()
        whole = got[0][0].endswith(Stream.make(0).encode())
        assert (whole, got[0][1]) == (not killed, not killed)


# A gateway that stops meanwhile can't ask any more: it must not guess.
def test_gateway_that_stops_breaks_what_it_can_not_confirm(build):
    with Cluster(build, models=(("m0",),)) as c:
        set_answer(c, Stream(0.02))
        answers, threads = run_streams(c.gateways[0], 6, "sum")
        time.sleep(0.2)
        c.gateways[0].send(signal.SIGTERM)
        c.engines[0].end()
        for t in threads:
            t.join()
        assert len(answers) == 6
        assert all(a[2].startswith(b"INCOMPLETE") for a in answers)


def set_born(c, known):
    """Whether the upstreams tell which process they are."""
    for e in c.engines + c.apps:
        e.born = e.born if known else 0
        e.publish_entry()
    time.sleep(0.3)


# What is whole arrives whole, also from upstreams that don't tell which process
# they are, and by way of another gateway.
@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("cut_off", [False, True])
def test_whole_answers_without_a_length_arrive(build, known, cut_off):
    with Cluster(build, gateways=3, models=MODELS, paths=True) as c:
        set_born(c, known)
        set_answer(c, Stream(0.001))
        for app in c.apps:
            app.on_request = make_text(0)
        wait_until(c.all_linked)
        g = next(g for g in c.gateways if g is not c.leader())
        if cut_off:
            wait_until(lambda: ask(g, "chat", "m0")[0] == 200)
            c.cut([g], "refuse")
            wait_until(lambda: ask(g, "chat", "m0", deadline_ms=1500)[0] == 200
                       and g.events("detour-opened"))
        took_s, events = [], Stream.make(0).encode()
        for i in range(40):
            route, model, whole = (("chat", "m0", events), ("sum", "m0", events),
                                   ("read", None, TEXT.encode()),
                                   ("pay", None, TEXT.encode()))[i % 4]
            began = time.monotonic()
            answer = ask(g, route, model, b"one %d" % i)
            took_s.append(time.monotonic() - began)
            assert (answer[0], answer[2]) == (200, whole), (i, route)
        print("longest %.0f ms" % (max(took_s) * 1000))
        assert max(took_s) < MAX_END_S


# A question whether the upstream lives goes on a connection of its own, as a
# late copy of a former report would prove nothing.
def test_ends_one_by_one_cost_one_connection_each(build):
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
        before, reports = len(opened), c.engines[0].reports
        for i in range(20):
            assert ask(c.gateways[0], "chat", "m0", b"one %d" % i)[0] == 200
            time.sleep(0.02)
        # At a stream's end, and at its begin where an ended connection leaves
        # doubt which process it is.
        reports = c.engines[0].reports - reports
        assert reports <= 2 * 20
        assert len(opened) - before <= 20 + reports
        for t in threads:
            t.join()
        assert answers[0][0] == 200
