"""A copy of another answer and the answer behind it, cut into two packets at
each byte; and copies whose heads are large."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from platform_cluster import Cluster, ask

STATUS_LINES = {
    "length": "HTTP/1.1 200 OK\r\n%sContent-Length: 12\r\n\r\nof the copy\n",
    "chunks": "HTTP/1.1 500 E\r\n%sTransfer-Encoding: chunked\r\n\r\n"
              "b\r\nof the copy\r\n0\r\n\r\n",
    "204": "HTTP/1.1 204 No\r\n%s\r\n",
    "304": "HTTP/1.1 304 No\r\n%sContent-Length: 12\r\n\r\n",
    "103": "HTTP/1.1 103 Early\r\n%s\r\n"}
FIELDS = "X-Server-Stamp: old\r\nX-Attempt-Id: other\r\n"


class SplitCopy:
    """An engine's on_request: COPY and the answer, in two packets cut where
    the path says."""

    def __init__(self, copy, chunked):
        self.copy, self.chunked = copy, chunked

    def __call__(self, engine, h, rid):
        body = json.dumps({"id": rid})
        how, text = "Content-Length: %d" % len(body), body
        if self.chunked:
            how = "Transfer-Encoding: chunked"
            text = "%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        own = "HTTP/1.1 201 Own\r\nX-Attempt-Id: %s\r\n%s\r\n\r\n%s" % (
            rid, how, text)
        out = self.copy.encode() + own.encode()
        cut = int(h.path.rpartition("/")[2])
        for part in (out[:cut], out[cut:]):
            h.wfile.write(part)
            h.wfile.flush()
            time.sleep(0.001)
        return True


def find_wrong(c, route, cuts):
    def call(cut):
        got = ask(c.gateways[0], route, path="/%s/%d" % (route, cut),
                  deadline_ms=1500, body=b"%d" % cut)
        own = (got[0], got[2]) == (201, json.dumps({"id": got[3]}).encode())
        return None if own else (cut, got)
    with ThreadPoolExecutor(8) as pool:
        return [w for w in pool.map(call, cuts) if w]


# Each caller gets its own answer, wherever the packets are cut.
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("kind", list(STATUS_LINES))
def test_copy_split_at_each_byte(build, kind, chunked):
    with Cluster(build, models=(), apps=1) as c:
        copy = STATUS_LINES[kind] % FIELDS
        c.apps[0].on_request = SplitCopy(copy, chunked)
        assert not find_wrong(c, "read", range(1, len(copy) + 150))


# A copy whose head is larger than any that is taken ends the connection.
def test_large_head_of_a_copy(build):
    with Cluster(build, models=(), apps=1) as c:
        for size, served in ((60000, True), (300000, False)):
            copy = STATUS_LINES["length"] % (
                FIELDS + "X-Large: %s\r\n" % ("l" * size))
            c.apps[0].on_request = SplitCopy(copy, False)
            wrong = find_wrong(c, "pay", [1, 1000, size + 20])
            assert len(wrong) == (0 if served else 3)
            for _, got in wrong:
                assert got[0] == 502 and "X-Server-Stamp" not in got[1]
