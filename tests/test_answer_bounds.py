"""Answers that are too large, callers that read slowly, and callers of
HTTP/1.0, who can't read chunks."""

import itertools
import socket
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask
from raw_answers import (AS_FRAMED, BARE, CHUNKS, CLOSE, CLOSED, LENGTH, RESET,
                         RawAnswer, event)

MODELS = (("m0",), ("m0",))
KB, MB = 1024, 1024 * 1024
# Bounds of this file's cluster, and what a gateway may keep beyond them: its
# buffers of one read and one write.
MAX_EVENT_KB, MAX_BODY_KB, MAX_UNSENT_KB = 256, 1024, 128
SLACK_MB = 4
COUNT = 20000   # events of 1 KB
_bodies = itertools.count()


@pytest.fixture(name="cluster", scope="module")
def fixture_cluster(build):
    with Cluster(build, gateways=1, models=MODELS, extra="""[answers]
max_event_kb = %d
max_body_kb = %d
max_unsent_kb = %d
""" % (MAX_EVENT_KB, MAX_BODY_KB, MAX_UNSENT_KB)) as c:
        yield c


def set_answer(c, answer):
    for u in c.engines + c.apps:
        u.on_request = answer


def read_rss_mb(gateway):
    with open("/proc/%d/status" % gateway.proc.pid, encoding="utf-8") as f:
        line = next(x for x in f if x.startswith("VmRSS:"))
    return int(line.split()[1]) / KB


def connect(gateway, route="sum", version="1.1", receive_bytes=None):
    """Sends a request; returns the socket."""
    s = socket.socket()
    if receive_bytes:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    s.settimeout(10)
    s.connect(("127.0.0.1", gateway.front))
    body = "request %d" % next(_bodies)
    s.sendall(("POST /%s/x HTTP/%s\r\nHost: app.example\r\nX-Attempt-Id: %x\r\n"
               "X-Model: m0\r\nX-Token-Count: 100,20\r\n"
               "X-Prompt-Prefix: aa:50,bb:50\r\nX-Deadline-Ms: 20000\r\n"
               "Content-Length: %d\r\n\r\n%s" % (
                   route, version, next(_bodies), len(body), body)).encode())
    return s


def read_all(s):
    """(bytes, whether the connection ended in order)."""
    pieces = []
    try:
        while not pieces or pieces[-1]:
            pieces.append(s.recv(65536))
        return b"".join(pieces), True
    except ConnectionResetError:
        return b"".join(pieces), False


# An event without an end was kept without a bound.
def test_event_beyond_its_bound_breaks_the_stream(cluster):
    big = event(0) + "id: 1\n" + "data: 0123456789\n" * (
        2 * MAX_EVENT_KB * KB // 17)
    raw = RawAnswer(CHUNKS, AS_FRAMED, lambda _first: big, pieces=50)
    set_answer(cluster, raw)
    status, _, data, rid = ask(cluster.gateways[0], "chat", "m0",
                               body=b"request %d" % next(_bodies))
    set_answer(cluster, None)
    assert (status, data) == (200, b"INCOMPLETE " + event(0).encode())
    assert len(raw.resumed_at) == 1   # another run would end alike

    def find_end():
        return [e for e in cluster.gateways[0].events("request-end")
                if e["id"] == rid]
    wait_until(find_end)
    assert find_end()[0]["why"] == "too large"


class Endless:
    """Sends BYTES again and again until the caller closes."""

    def __init__(self, data, before=b""):
        self.data, self.before, self.sent = data * 64, before, 0

    def __call__(self, _engine, h, _rid):
        h.close_connection = True
        try:
            h.wfile.write(self.before)
            while True:
                h.wfile.write(self.data)
                self.sent += len(self.data)
        except OSError:
            return True


# Interim answers without end were read until the deadline.
@pytest.mark.parametrize("data, before", [
    (b"HTTP/1.1 100 Continue\r\n\r\n", b""), (b"\r\n", b""),
    (b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", b""),
    (b"x" * 1000, b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n\r\n"),
    (b"3e8\r\n" + b"x" * 1000 + b"\r\n", b"HTTP/1.1 200 OK\r\n"
     b"X-Attempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n")],
    ids=["100", "blank-lines", "103", "of-another", "chunks-of-another"])
def test_bytes_without_end_that_are_no_answer(cluster, data, before):
    endless = Endless(data, before)
    set_answer(cluster, endless)
    began = time.monotonic()
    status, _, data, _ = ask(cluster.gateways[0], "read",
                             body=b"request %d" % next(_bodies))
    took_s = time.monotonic() - began
    set_answer(cluster, None)
    print("%.2f s, %d KB sent" % (took_s, endless.sent / KB))
    assert (status, data) == (502, b"")
    assert took_s < 2 and endless.sent < 64 * MB


# A few interim answers come before the answer.
def test_answer_behind_interim_answers_arrives(cluster):
    raw = RawAnswer(LENGTH, AS_FRAMED, lambda _first: "whole",
                    content_type="text/plain")

    def answer(engine, h, rid):
        h.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n" * 20)
        return raw(engine, h, rid)

    set_answer(cluster, answer)
    status, _, data, _ = ask(cluster.gateways[0], "read",
                             body=b"request %d" % next(_bodies))
    set_answer(cluster, None)
    assert (status, data) == (200, b"whole")


# ... or a large one that belongs to another request.
def test_answer_behind_a_large_one_of_another_arrives(cluster):
    raw = RawAnswer(LENGTH, AS_FRAMED, lambda _first: "whole",
                    content_type="text/plain")

    def answer(engine, h, rid):
        h.wfile.write(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n"
                      b"Content-Length: %d\r\n\r\n" % MB + b"x" * MB)
        time.sleep(0.1)
        return raw(engine, h, rid)

    set_answer(cluster, answer)
    status, _, data, _ = ask(cluster.gateways[0], "read",
                             body=b"request %d" % next(_bodies))
    set_answer(cluster, None)
    assert (status, data) == (200, b"whole")


# An answer to a plain route was kept whole without a bound.
@pytest.mark.parametrize("framing, end", [
    (CHUNKS, AS_FRAMED), (BARE, CLOSED)])
def test_answer_beyond_its_bound_is_refused(cluster, framing, end):
    raw = RawAnswer(framing, end, lambda _first: "x" * (2 * MAX_BODY_KB * KB),
                    content_type="text/plain")
    set_answer(cluster, raw)
    before = read_rss_mb(cluster.gateways[0])
    status, _, data, _ = ask(cluster.gateways[0], "read")
    set_answer(cluster, None)
    assert (status, data) == (502, b"")
    assert len(raw.resumed_at) == 1
    assert read_rss_mb(cluster.gateways[0]) - before < SLACK_MB


def test_answer_within_its_bound_arrives(cluster):
    text = "x" * (MAX_BODY_KB * KB)
    set_answer(cluster, RawAnswer(CHUNKS, AS_FRAMED, lambda _first: text,
                                  content_type="text/plain"))
    status, _, data, _ = ask(cluster.gateways[0], "read")
    set_answer(cluster, None)
    assert (status, data) == (200, text.encode())


# A caller that read slowly made the gateway keep its whole stream; and an
# upstream that is held back is not silent.
@pytest.mark.parametrize("route", ["sum", "chat"])
def test_slow_caller_holds_its_upstream_back(cluster, route):
    gateway = cluster.gateways[0]
    many = "".join("id: %d\ndata: %s\n\n" % (i, "x" * 1000)
                   for i in range(COUNT))
    raw = RawAnswer(CHUNKS, AS_FRAMED, lambda _first: many, pieces=300)
    set_answer(cluster, raw)
    before = read_rss_mb(gateway)
    with connect(gateway, route, receive_bytes=4096) as s:
        time.sleep(2)
        grown = read_rss_mb(gateway) - before
        pieces = [s.recv(1 << 20)]
        while not pieces[-1].endswith(b"0\r\n\r\n"):
            pieces.append(s.recv(1 << 20))
    set_answer(cluster, None)
    assert grown < SLACK_MB
    assert len(raw.resumed_at) == 1
    assert b"".join(pieces).count(b"\ndata: ") == COUNT


# A connection whose answer ended while it was held back was not read again: the
# next request on it got no answer.
def test_connection_is_used_after_its_answer_was_held_back(build):
    with Cluster(build, models=(("m0",),),
                 extra="[answers]\nmax_unsent_kb = 1\n") as c:
        many = "".join("id: %d\ndata: %s\n\n" % (i, "x" * 100)
                       for i in range(100))
        set_answer(c, RawAnswer(LENGTH, AS_FRAMED, lambda _first: many))
        for _ in range(5):
            status, _, data, _ = ask(c.gateways[0], "sum", "m0", body=b"%d" %
                                     next(_bodies), deadline_ms=1500)
            assert (status, data) == (200, many.encode())


# A caller of HTTP/1.0 got chunks, which it can't read, and no sign of a broken
# answer.
def test_caller_of_http_1_0_reads_a_stream(cluster):
    text = "".join(event(i) for i in range(5))
    set_answer(cluster, RawAnswer(CHUNKS, AS_FRAMED, lambda _first: text))
    with connect(cluster.gateways[0], version="1.0") as s:
        data, orderly = read_all(s)
    set_answer(cluster, None)
    head, _, body = data.partition(b"\r\n\r\n")
    assert b"chunked" not in head and b"Connection: close" in head
    assert (body, orderly) == (text.encode(), True)


# Broken in each framing, behind an event and inside one.
@pytest.mark.parametrize("framing, end", [
    (LENGTH, CLOSED), (LENGTH, RESET), (CHUNKS, CLOSED), (CHUNKS, RESET),
    (CLOSE, RESET), (BARE, RESET)])
@pytest.mark.parametrize("body", [event(0), event(0) + "id: 1\nda"])
def test_caller_of_http_1_0_sees_a_broken_stream(cluster, framing, end, body):
    set_answer(cluster, RawAnswer(framing, end, lambda _first: body))
    with connect(cluster.gateways[0], version="1.0") as s:
        _, orderly = read_all(s)
    set_answer(cluster, None)
    assert not orderly


@pytest.mark.parametrize("framing, end", [
    (LENGTH, AS_FRAMED), (CHUNKS, AS_FRAMED), (CLOSE, CLOSED), (BARE, CLOSED)])
def test_caller_of_http_1_0_sees_half_an_event(cluster, framing, end):
    set_answer(cluster, RawAnswer(framing, end,
                                  lambda _first: event(0) + "id: 1\nda"))
    with connect(cluster.gateways[0], version="1.0") as s:
        data, orderly = read_all(s)
    set_answer(cluster, None)
    assert not orderly and b"id: 1" not in data
