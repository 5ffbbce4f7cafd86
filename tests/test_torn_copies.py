"""A copy of an earlier answer that breaks off, and the answer that is due
right behind it, on one connection."""

import itertools
import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_cluster import Cluster, ask

ID_FIRST = ("X-Attempt-Id: other", "X-Server-Stamp: old", "Content-Length: 40",
            "Content-Type: application/json")
ID_LAST = ("Server: app", "Content-Type: application/json",
           "X-Server-Stamp: old", "Content-Length: 40", "X-Attempt-Id: other")
CHUNKED = ("Server: app", "X-Server-Stamp: old", "X-Attempt-Id: other",
           "Transfer-Encoding: chunked", "Trailer: X-Sum")


def make_copy(status, fields):
    text = json.dumps({"id": "other", "pad": "p" * 18})
    body = text if fields is not CHUNKED else (
        "%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n" % (len(text), text))
    return ("\r\n".join(["HTTP/1.1 " + status] + list(fields)) + "\r\n\r\n" +
            body).encode()


class TornCopy:
    """An engine's on_request: writes as many bytes of COPY as the request's
    path says, then the answer, of STATUS, in that many PARTS."""

    def __init__(self, copy, status, parts):
        self.copy, self.status, self.parts = copy, status, parts

    def __call__(self, engine, h, rid):
        body = json.dumps({"id": rid}).encode()
        own = ("HTTP/1.1 %d Own\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s-%s"
               "\r\nContent-Length: %d\r\n\r\n" % (
                   self.status, rid, engine.name, len(body))).encode() + body
        out = self.copy[:int(h.path.rpartition("/")[2])] + own
        step = len(out) // self.parts + 1
        for at in range(0, len(out), step):
            h.wfile.write(out[at:at + step])
            h.wfile.flush()
        return True


def is_own(got, status):
    """The answer itself, or a visible failure of the gateway."""
    failed = "X-Server-Stamp" not in got[1] and got[0] in (502, 503, 504)
    return failed or (got[0], json.loads(got[2])) == (status, {"id": got[3]})


# What is left of the copy's head went out with the answer's body.
@pytest.mark.parametrize("fields", [ID_FIRST, ID_LAST, CHUNKED],
                         ids=["id-first", "id-last", "chunked"])
def test_torn_copy_before_the_answer(build, fields):
    with Cluster(build, models=(), apps=1) as c:
        for of, status, parts in itertools.product(
                ("200 OK", "500 Broken"), (200, 500), (1, 2, 7)):
            copy = make_copy(of, fields)
            c.apps[0].on_request = TornCopy(copy, status, parts)

            def call(cut, status=status):
                got = ask(c.gateways[0], "pay", deadline_ms=500,
                          path="/pay/%d" % cut)
                return None if is_own(got, status) else (cut, got)
            with ThreadPoolExecutor(16) as pool:
                wrong = [w for w in pool.map(call, range(len(copy))) if w]
            assert not wrong, (of, status, parts)
        assert ask(c.gateways[0], "pay", path="/pay/0")[0] == 500
