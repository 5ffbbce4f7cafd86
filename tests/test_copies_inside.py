"""An answer that breaks off in its body, and a copy of another answer behind
it, on one connection: the copy's bytes are no part of the body."""

import itertools
import json

import pytest

from platform_cluster import Cluster, ask
from raw_answers import event

EVENTS = "".join(event(i) for i in range(16))
STEP = 7   # bytes, from one case to the next


def make_answer(engine, rid, body, chunked):
    lines = ["HTTP/1.1 200 OK", "X-Server-Stamp: s-" + engine.name,
             "X-Attempt-Id: " + rid, "Content-Type: " + (
                 "text/event-stream" if body == EVENTS else
                 "application/json"),
             "Transfer-Encoding: chunked" if chunked else
             "Content-Length: %d" % len(body)]
    body = "%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class CopyInside:
    """An engine's on_request: where the path says "cut", it leaves out so many
    bytes of the answer's end, and sends a copy behind: of its OWN whole
    answer, or of the former one on that connection."""

    def __init__(self, body, own, chunked, packets):
        self.body, self.own = body, own
        self.chunked, self.packets = chunked, packets
        self.cut = 0

    def __call__(self, engine, h, rid):
        body = self.body or json.dumps({"id": rid, "pad": "p" * 400})
        answer = make_answer(engine, rid, body, self.chunked)
        former, h.former = getattr(h, "former", None), answer
        if "cut" not in h.path or not (former or self.own):
            h.wfile.write(answer)
            return True
        self.cut += 1
        left_out = int(h.path.rpartition("-")[2])
        out = [answer[:-left_out], answer if self.own else former]
        for data in out if self.packets == 2 else [b"".join(out)]:
            h.wfile.write(data)
            h.wfile.flush()
        h.close_connection = True
        return True


def is_own(got, body):
    """The answer itself, or a visible failure."""
    if got[0] != 200 or got[2].startswith(b"INCOMPLETE"):
        return True
    return got[2] == (body or json.dumps(
        {"id": got[3], "pad": "p" * 400})).encode()


def find_wrong(c, route, model, inside):
    """Answers that are neither their own nor visible failures."""
    wrong, gateway = [], c.gateways[0]
    for left_out in range(1, 330, STEP):
        for path in ("/%s/whole-%d", "/%s/cut-%d"):
            got = ask(gateway, route, model, deadline_ms=300,
                      body=b"%d" % left_out, path=path % (route, left_out))
            if not is_own(got, inside.body):
                wrong.append((left_out, got))
    assert inside.cut >= 30
    return wrong


# The caller got a part of its answer, filled up with the head of a copy.
@pytest.mark.parametrize("route,model", [("pay", None), ("read", None),
                                         ("sum", "m0"), ("chat", "m0")])
def test_copy_behind_a_broken_body(build, route, model):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        up = c.engines[0] if model else c.apps[0]
        for own, chunked, packets in itertools.product(
                (False, True), (False, True), (1, 2)):
            up.on_request = inside = CopyInside(EVENTS if model else None,
                                                own, chunked, packets)
            wrong = find_wrong(c, route, model, inside)
            assert not wrong, (own, chunked, packets)
