"""Fields of heads on their way through a gateway, in both directions: empty
values, folded lines, blanks before the colon, trailers, repeated fields."""

import socket

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask

PROMPT = [("X-Model", "m0"), ("X-Token-Count", "100,20"),
          ("X-Prompt-Prefix", "aa:50,bb:50")]
KEPT_FIELDS = [("X-Model", "m0"), ("X-Token-Count", "100,20"),
               ("X-Prompt-Prefix", "aa:50,bb:50"), ("X-Attempt-Id", None),
               ("Last-Event-Id", "1")]


def send(gateway, head, body=b"", pieces=1):
    """Sends HEAD (text) and BODY; returns the answer's bytes."""
    data = head.encode() + body
    with socket.create_connection(("127.0.0.1", gateway.front),
                                  timeout=5) as s:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        size = -(-len(data) // pieces)
        for at in range(0, len(data), size):
            s.sendall(data[at:at + size])
        got = b""
        while b"0\r\n\r\n" not in got and b"Content-Length" not in got:
            more = s.recv(65536)
            if not more:
                break
            got += more
        return got


def make_head(rid, lines, path="/chat/x?q=1"):
    return "POST %s HTTP/1.1\r\nHost: app.example\r\n%s" % (path, "".join(
        line + "\r\n" for line in ["X-Attempt-Id: " + rid,
                                   "X-Deadline-Ms: 4000"] + lines))


def last_request(c):
    return dict(c.engines[0].last_fields)


@pytest.fixture(scope="module")
def cluster(build):
    with Cluster(build, models=(("m0",),)) as c:
        yield c


_ids = iter(range(0xf1e1d0000000, 0xf1e1dfffffff))


def next_id():
    return "%016x" % next(_ids)


# A field without a value swallowed the one behind it, whichever that was.
@pytest.mark.parametrize("empty", ["Accept-Encoding:", "Accept-Encoding: ",
                                   "X-Api-Key:", "Keep-Alive:", "Te: "])
@pytest.mark.parametrize("behind", [name for name, _ in KEPT_FIELDS])
@pytest.mark.parametrize("pieces", [1, 1000])
def test_field_behind_an_empty_one(cluster, empty, behind, pieces):
    rid = next_id()
    lines = []
    for name, value in KEPT_FIELDS:
        lines += [empty] if name == behind else []
        if name != "X-Attempt-Id":
            lines.append("%s: %s" % (name, value))
    head = make_head(rid, lines + ["Content-Length: 0", ""])
    if behind == "X-Attempt-Id":
        head = head.replace("X-Attempt-Id", empty + "\r\nX-Attempt-Id")
    assert send(cluster.gateways[0], head,
                pieces=pieces).startswith(b"HTTP/1.1 200 ")
    got = last_request(cluster)
    for name, value in KEPT_FIELDS:
        assert got.get(name) == (value or rid)
    assert len(cluster.engines[0].runs) == len(set(cluster.engines[0].runs))


# The same of an answer: the stamp and the id were lost.
@pytest.mark.parametrize("empty", ["Server:", "Via: ", "Content-Language:\t"])
@pytest.mark.parametrize("where", range(3))
def test_field_of_an_answer_behind_an_empty_one(build, empty, where):
    with Cluster(build, models=()) as c:
        def answer(engine, h, rid):
            lines = ["X-Attempt-Id: " + rid, "X-Server-Stamp: s-" + engine.name,
                     "Content-Length: 2"]
            lines.insert(where, empty)
            h.wfile.write(("HTTP/1.1 200 OK\r\n%s\r\n\r\nok" % "\r\n".join(
                lines)).encode())
            return True
        for app in c.apps:
            app.on_request = answer
        for _ in range(4):
            status, headers, body, _ = ask(c.gateways[0], "pay")
            assert (status, body) == (200, b"ok")
            assert headers["X-Server-Stamp"] in ("s-a0", "s-a1")
            assert headers[empty.split(":")[0]] == ""


# An upstream's rejection behind an empty field: it has not run.
def test_rejection_behind_an_empty_field(build):
    with Cluster(build, models=(), apps=1) as c:
        def reject(engine, h, rid):
            del engine
            h.wfile.write(("HTTP/1.1 503 Full\r\nServer:\r\nX-Not-Executed: 1"
                           "\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                           % rid).encode())
            return True
        c.apps[0].on_arrival = reject
        assert ask(c.gateways[0], "pay", deadline_ms=800)[0] == 503


FOLDED = [("X-Note: a\r\n b", "a b"), ("X-Note: a\r\n\tb", "a\tb"),
          ("X-Note:\r\n a", "a"), ("X-Note: a\r\n \r\n b", "a  b"),
          ("X-Note:  a \t ", "a"), ("X-Note:a", "a")]


@pytest.mark.parametrize("line,value", FOLDED)
@pytest.mark.parametrize("pieces", [1, 1000])
def test_folded_and_padded_fields(cluster, line, value, pieces):
    rid = next_id()
    head = make_head(rid, [line] + ["%s: %s" % p for p in PROMPT] +
                     ["Content-Length: 0", ""])
    assert send(cluster.gateways[0], head,
                pieces=pieces).startswith(b"HTTP/1.1 200 ")
    got = last_request(cluster)
    assert got.get("X-Note") == value
    assert got.get("X-Model") == "m0"


def test_repeated_fields_keep_their_order(cluster):
    head = make_head(next_id(), ["X-Note: a", "x-note:", "X-NOTE: c"] +
                     ["%s: %s" % p for p in PROMPT] + ["Content-Length: 0", ""])
    assert send(cluster.gateways[0], head).startswith(b"HTTP/1.1 200 ")
    got = cluster.engines[0].last_fields
    assert [v for k, v in got if k.lower() == "x-note"] == ["a", "", "c"]


# Others may read them as the fields that they look like.
@pytest.mark.parametrize("line", [
    "Transfer-Encoding : chunked", "Content-Length : 5", "X-Model : m1",
    "X Model: m1", "X-Model\x80: m1", ": m1", "X-Model",
    "X-Note: a\x00b", "X-Note: a\x01b", "Host: app.example",
    "host: other.example", "Host:"])
def test_malformed_field_is_refused(cluster, line):
    before = len(cluster.engines[0].runs)
    head = make_head(next_id(), ["%s: %s" % p for p in PROMPT] +
                     [line, "Content-Length: 0", ""])
    got = send(cluster.gateways[0], head)
    assert got.startswith(b"HTTP/1.1 400 ")
    assert len(cluster.engines[0].runs) == before


# Fields behind the last chunk were passed on as fields of the head.
def test_trailers_are_dropped(cluster):
    rid = next_id()
    head = make_head(rid, ["%s: %s" % p for p in PROMPT] +
                     ["Transfer-Encoding: chunked", ""])
    body = (b"1\r\nx\r\n0\r\nX-Model: m1\r\nX-Note: late\r\nX-Empty:\r\n"
            b"Last-Event-Id: 3\r\n\r\n")
    assert send(cluster.gateways[0], head, body).startswith(b"HTTP/1.1 200 ")
    got = last_request(cluster)
    assert got.get("X-Attempt-Id") == rid
    assert got.get("X-Model") == "m0"
    assert "X-Note" not in got and "X-Empty" not in got
    assert "Last-Event-Id" not in got


# Of an answer: blanks before the colon go, unless they hide how it ends.
@pytest.mark.parametrize("line,status", [
    ("X-Note : a", 200), ("Content-Length : 2", 502),
    ("Transfer-Encoding : chunked", 502), ("Connection : close", 502),
    ("X Note: a", 502), ("Transfer-Encoding: gzip, chunked", 502)])
def test_malformed_field_of_an_answer(build, line, status):
    with Cluster(build, models=(), apps=1) as c:
        def answer(engine, h, rid):
            del engine
            length = "" if "chunked" in line else "Content-Length: 2\r\n"
            h.wfile.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s%s\r\n"
                           "X-Server-Stamp: s\r\n\r\nok" % (
                               rid, length, line)).encode())
            return True
        c.apps[0].on_request = answer
        got = ask(c.gateways[0], "pay", deadline_ms=1500)
        assert got[0] == status
        if status == 200:
            assert (got[1]["X-Note"], got[2]) == ("a", b"ok")


# By way of another gateway, in both directions.
def test_empty_fields_by_detour(build):
    with Cluster(build, gateways=3, models=(("m0",),), paths=True) as c:
        wait_until(c.all_linked)
        g = next(g for g in c.gateways if g is not c.leader())
        c.cut([g], "refuse")

        def answer(engine, h, rid):
            h.wfile.write(("HTTP/1.1 200 OK\r\nServer:\r\nX-Attempt-Id: %s\r\n"
                           "Via:\r\nX-Server-Stamp: s-%s\r\nContent-Length: 2"
                           "\r\n\r\nok" % (rid, engine.name)).encode())
            return True
        for app in c.apps:
            app.on_request = answer
        wait_until(lambda: ask(g, "read", deadline_ms=1500)[0] == 200)
        assert g.events("detour-opened")
        for app in c.apps:
            app.requests.clear()
        got = ask(g, "pay", headers={"Accept-Encoding": "", "X-Note": "a"})
        assert (got[0], got[2]) == (200, b"ok")
        assert got[1]["X-Server-Stamp"] in ("s-a0", "s-a1")
        ran = [r for app in c.apps for r in app.requests]
        assert ran[0][2].get("X-Note") == "a"
