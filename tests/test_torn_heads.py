"""Answers that end inside their head: no caller may get a success for one."""

import itertools
import signal
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask
from raw_answers import reset

TEXT = "a whole answer"
EVENT = "id: 0\ndata: a\n\n"


class TornHead:
    """An engine's on_request: writes the first CUT bytes of an answer's head,
    after BEFORE, and ends the connection."""

    def __init__(self, cut, end, eol="\r\n", before=b"", large=0):
        self.cut, self.end, self.eol, self.before = cut, end, eol, before
        self.large = large
        self.torn = 0

    def make_head(self, engine, rid):
        lines = ["HTTP/1.1 200 OK", "Server:", "X-Attempt-Id: " + rid,
                 "X-Server-Stamp: s-" + engine.name,
                 "Content-Type: text/event-stream",
                 "X-Large: " + "l" * self.large,
                 "Content-Length: %d" % len(EVENT)]
        return (self.eol.join(lines) + self.eol * 2).encode()

    def __call__(self, engine, h, rid):
        head = self.make_head(engine, rid)
        h.wfile.write(self.before.replace(b"%s", rid.encode()) +
                      head[:self.cut(head)])
        h.wfile.flush()
        self.torn += 1
        h.close_connection = True
        if self.end == "reset":
            reset(h.connection)
        return True


def cut_at(nth, count=26):
    """The NTH of COUNT places in a head; the last is before its last byte."""
    return lambda head: 1 + (len(head) - 2) * nth // (count - 1)


def is_refusal(answer):
    """No success, or one that is visibly broken off."""
    return answer[0] >= 500 or answer[2].startswith(b"INCOMPLETE")


@pytest.fixture(name="cluster", scope="module")
def fixture_cluster(build):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        yield c


@pytest.fixture(name="detour", scope="module")
def fixture_detour(build):
    with Cluster(build, gateways=3, models=(("m0",),), apps=1,
                 paths=True) as c:
        cut = next(g for g in c.gateways if g is not c.leader())
        wait_until(c.all_linked)
        c.cut([cut], "refuse")
        wait_until(lambda: ask(cut, "read", deadline_ms=1500)[0] == 200
                   and cut.events("detour-opened"))
        yield c, cut


ROUTES = (("pay", None), ("read", None), ("sum", "m0"), ("chat", "m0"))
_bodies = itertools.count()


def ask_torn(c, gateway, torn, route, model, **more):
    up = c.engines[0] if model else c.apps[0]
    up.on_request = torn
    try:
        return ask(gateway, route, model, body=b"%d" % next(_bodies),
                   deadline_ms=700, **more)
    finally:
        up.on_request = None


@pytest.mark.parametrize("route,model", ROUTES)
@pytest.mark.parametrize("end", ["closed", "reset"])
@pytest.mark.parametrize("eol", ["\r\n", "\n"])
def test_torn_head(cluster, route, model, end, eol):
    for nth in range(26):
        torn = TornHead(cut_at(nth), end, eol)
        got = ask_torn(cluster, cluster.gateways[0], torn, route, model)
        assert is_refusal(got), (nth, got)
        assert torn.torn >= 1 or got[0] == 503   # held back after breaks


@pytest.mark.parametrize("route", ["pay", "read"])
@pytest.mark.parametrize("end", ["closed", "reset"])
def test_torn_head_of_an_answer_to_head(cluster, route, end):
    for nth in range(26):
        got = ask_torn(cluster, cluster.gateways[0],
                       TornHead(cut_at(nth), end), route, None, method="HEAD")
        assert got[0] >= 500, nth


# Behind an interim answer, and a late copy of another's.
@pytest.mark.parametrize("before", [
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s\r\n"
    b"Content-Length: 3\r\n\r\nold",
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp:\r\nX-Attempt-Id: other\r\n"
    b"Content-Length: 0\r\n\r\n"])
@pytest.mark.parametrize("route,model", ROUTES)
def test_torn_head_behind_another_message(cluster, before, route, model):
    for nth in range(0, 26, 5):
        got = ask_torn(cluster, cluster.gateways[0],
                       TornHead(cut_at(nth), "closed", before=before), route,
                       model)
        assert is_refusal(got), (nth, got)


# A head larger than one read.
@pytest.mark.parametrize("end", ["closed", "reset"])
def test_large_torn_head(cluster, end):
    for nth in (20, 24, 25):
        got = ask_torn(cluster, cluster.gateways[0],
                       TornHead(cut_at(nth), end, large=70000), "pay", None)
        assert is_refusal(got), nth


@pytest.mark.parametrize("route,model", ROUTES)
@pytest.mark.parametrize("end", ["closed", "reset"])
def test_torn_head_by_detour(detour, route, model, end):
    c, gateway = detour
    for nth in range(0, 26, 3):
        got = ask_torn(c, gateway, TornHead(cut_at(nth), end), route, model)
        assert is_refusal(got), (nth, got)


# The kept failure of a first upstream is passed on whole.
@pytest.mark.parametrize("end", ["closed", "reset"])
def test_torn_head_after_a_kept_answer(build, end):
    with Cluster(build, models=(), apps=2) as c:
        def fail(engine, h, rid):
            del engine
            h.reply(500, {"own": 1}, {"X-Attempt-Id": rid,
                                      "X-Server-Stamp": "s"})
            return True
        c.apps[0].on_request = fail
        c.apps[1].on_request = TornHead(cut_at(13), end)
        for _ in range(10):
            got = ask(c.gateways[0], "read", body=b"%d" % next(_bodies),
                      deadline_ms=800)
            assert got[0] in (500, 502, 503, 504)
            if got[0] == 500:
                assert got[2] == b'{"own": 1}'


# The upstream stops in the head, and the gateway is told to stop meanwhile.
@pytest.mark.parametrize("route,model", ROUTES)
def test_torn_head_while_the_gateway_stops(build, route, model):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        up, go = (c.engines[0] if model else c.apps[0]), threading.Event()

        class Paused(TornHead):
            def __call__(self, engine, h, rid):
                head = self.make_head(engine, rid)
                h.wfile.write(head[:len(head) // 2])
                h.wfile.flush()
                go.wait(3)
                h.close_connection = True
                return True
        up.on_request = Paused(None, "closed")
        answers = []
        t = threading.Thread(target=lambda: answers.append(
            ask(c.gateways[0], route, model, deadline_ms=3000)))
        t.start()
        wait_until(lambda: up.runs)
        c.gateways[0].send(signal.SIGTERM)
        time.sleep(0.2)
        go.set()
        t.join()
        assert is_refusal(answers[0])


# What the gateway itself asks for: a torn answer tells nothing, and it asks
# again.
@pytest.mark.parametrize("path", ["/report", "/order"])
def test_torn_head_of_an_answer_to_a_question(build, path):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        engine, left = c.engines[0], [3]
        handle = engine.handle

        def tear(h, method, asked, query, body):
            if asked == path and left[0]:
                left[0] -= 1
                h.wfile.write(b"HTTP/1.1 202 Accepted\r\nContent-Le")
                h.close_connection = True
                return
            handle(h, method, asked, query, body)
        engine.handle = tear
        engine.end()   # another process is back, without a model
        wait_until(lambda: ask(c.gateways[0], "chat", "m0",
                               body=b"%d" % next(_bodies))[0] == 200)
        assert left[0] == 0
