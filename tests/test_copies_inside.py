"""An answer that breaks off in its body, and a copy of another answer behind
it, on one connection: the copy's bytes are no part of the body."""

import itertools
import json
import time

import pytest

from platform_cluster import Cluster, ask
from raw_answers import CHUNKS, CLOSE, LENGTH, event

EVENTS = "".join(event(i) for i in range(16))
STEP = 11   # bytes, from one case to the next
# Less than the time after which a broken answer may not be followed by more.
APART_S = 0.05
SWALLOWED_S = 1.0   # of a deadline of 3 s


def make_answer(engine, rid, body, framing):
    lines = ["HTTP/1.1 200 OK", "X-Server-Stamp: s-" + engine.name,
             "X-Attempt-Id: " + rid, "Content-Type: " + (
                 "text/event-stream" if body == EVENTS else
                 "application/json"),
             {LENGTH: "Content-Length: %d" % len(body), CLOSE:
              "Connection: close", CHUNKS: "Transfer-Encoding: chunked"}[
                  framing]]
    if framing == CHUNKS:
        body = "%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class CopyInside:
    """An engine's on_request: where the path says "cut", it leaves out so many
    bytes of the answer's end, and sends a copy behind: of its OWN whole
    answer, or of the former one on that connection."""

    def __init__(self, body, own, framing, packets):
        self.body, self.own = body, own
        self.framing, self.packets = framing, packets
        self.cut = 0

    def __call__(self, engine, h, rid):
        body = self.body or json.dumps({"id": rid, "pad": "p" * 400})
        answer = make_answer(engine, rid, body, self.framing)
        former, h.former = getattr(h, "former", None), answer
        if "cut" not in h.path or not (former or self.own):
            h.wfile.write(answer if self.framing != CLOSE else
                          make_answer(engine, rid, body, LENGTH))
            return True
        self.cut += 1
        left_out = int(h.path.rpartition("-")[2])
        out = [answer[:-left_out or self.find_last_line_end(answer)],
               answer if self.own else former]
        for data in out if self.packets == 2 else [b"".join(out)]:
            h.wfile.write(data)
            h.wfile.flush()
        h.close_connection = True
        return True

    def find_last_line_end(self, answer):
        """Its last byte is the next one: behind the head, or a chunk's size."""
        at = answer.index(b"\r\n\r\n") + 3
        return answer.index(b"\n", at + 1) if self.framing == CHUNKS else at


def is_own(got, body):
    """The answer itself, or a visible failure."""
    if got[0] != 200 or got[2].startswith(b"INCOMPLETE"):
        return True
    return got[2] == (body or json.dumps(
        {"id": got[3], "pad": "p" * 400})).encode()


def find_wrong(c, route, model, inside):
    """Answers that are neither their own nor visible failures."""
    wrong, gateway = [], c.gateways[0]
    for left_out in [0, *range(1, 330, STEP)]:
        for path in ("/%s/whole-%d", "/%s/cut-%d"):
            got = ask(gateway, route, model, deadline_ms=300,
                      body=b"%d" % left_out, path=path % (route, left_out))
            if not is_own(got, inside.body):
                wrong.append((left_out, got))
    assert inside.cut >= 20
    return wrong


# The caller got a part of its answer, filled up with the head of a copy.
@pytest.mark.parametrize("route,model", [("pay", None), ("read", None),
                                         ("sum", "m0"), ("chat", "m0")])
def test_copy_behind_a_broken_body(build, route, model):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        up = c.engines[0] if model else c.apps[0]
        for own, framing, packets in itertools.product(
                (False, True), (LENGTH, CHUNKS, CLOSE), (1, 2)):
            up.on_request = inside = CopyInside(EVENTS if model else None,
                                                own, framing, packets)
            wrong = find_wrong(c, route, model, inside)
            assert not wrong, (own, framing, packets)


class LateRest:
    """An engine's on_request: the body breaks off, the first bytes of a copy
    fill it up, and the rest of the copy comes later."""

    def __init__(self):
        self.cut = 0

    def __call__(self, engine, h, rid):
        answer = make_answer(engine, rid,
                             json.dumps({"id": rid, "pad": "p" * 400}), LENGTH)
        left_out = int(h.path.rpartition("-")[2])
        self.cut += 1
        h.wfile.write(answer[:-left_out] + answer[:left_out])
        h.wfile.flush()
        time.sleep(APART_S)
        h.wfile.write(answer[left_out:])
        h.close_connection = True
        return True


# As above; the copy's id came after the body had counted as whole.
@pytest.mark.parametrize("route", ["pay", "read"])
def test_copy_whose_rest_comes_later(build, route):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = late = LateRest()
        wrong = []
        for left_out in range(1, 100, 3):
            got = ask(c.gateways[0], route, deadline_ms=1000,
                      path="/%s/cut-%d" % (route, left_out))
            if not is_own(got, None):
                wrong.append((left_out, got))
        assert late.cut >= 30 and not wrong


# A text that ends as an answer begins is whole, however late it is known.
@pytest.mark.parametrize("text", ["HTTP/1.1 200", "see HTTP/1.1 200 OK\r\nA: ",
                                  "AH", "HTTP/1.1 200 OK\r\nA: 1\r\n\r\nb"])
def test_text_about_http_is_served(build, text):
    with Cluster(build, models=(), apps=1) as c:
        def answer(engine, h, rid):
            h.wfile.write(make_answer(engine, rid, text, LENGTH))
            return True
        c.apps[0].on_request = answer
        for i in range(3):
            status, _, data, _ = ask(c.gateways[0], "pay", body=b"%d" % i)
            assert (status, data) == (200, text.encode())


class Swallowing:
    """An engine's on_request: before every other answer comes a copy of a
    longer one, which breaks off early in its body."""

    def __init__(self):
        self.cut = 0

    def __call__(self, engine, h, rid):
        body = json.dumps({"id": rid, "pad": "p" * 40})
        answer = make_answer(engine, rid, body, LENGTH)
        former, h.former = getattr(h, "former", None), rid
        if former and "cut" in h.path and not self.cut:
            self.cut += 1
            copy = make_answer(engine, former, "p" * 4000, LENGTH)
            h.wfile.write(copy[:-3900])
        h.wfile.write(answer)
        return True


# The answer was read as the copy's body, and its caller waited to the end.
@pytest.mark.parametrize("route", ["pay", "read"])
def test_copy_that_swallows_the_answer(build, route):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = swallowing = Swallowing()
        ask(c.gateways[0], route)
        begun = time.monotonic()
        got = ask(c.gateways[0], route, deadline_ms=3000,
                  path="/%s/cut" % route)
        assert swallowing.cut == 1 and time.monotonic() - begun < SWALLOWED_S
        if route == "read":
            assert json.loads(got[2])["id"] == got[3]
        else:
            assert got[0] == 502 and "X-Server-Stamp" not in got[1]


# Bytes behind a whole answer are nobody's, and don't spoil it.
@pytest.mark.parametrize("extra", [b"x", b"garbage\r\n\r\n", b"\0" * 300],
                         ids=["one", "line", "zeros"])
def test_bytes_behind_a_whole_answer(build, extra):
    with Cluster(build, models=(), apps=1) as c:
        def answer(engine, h, rid):
            h.wfile.write(make_answer(engine, rid, json.dumps({"id": rid}),
                                      LENGTH) + extra)
            return True
        c.apps[0].on_request = answer
        for i in range(6):
            status, _, data, rid = ask(c.gateways[0], "pay", body=b"%d" % i)
            assert (status, json.loads(data)) == (200, {"id": rid})
