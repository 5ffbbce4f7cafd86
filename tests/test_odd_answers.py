"""Answers that an upstream writes byte for byte: ones that HTTP doesn't know,
and ones that don't say whose they are."""

import json

import pytest

from platform_cluster import Cluster, ask


class Writes:
    """An engine's on_request: writes what make(nth request of the connection,
    id) returns; None: leaves it to the engine."""

    def __init__(self, make):
        self.make = make

    def __call__(self, engine, h, rid):
        h.nth = getattr(h, "nth", 0) + 1
        out = self.make(h.nth, rid)
        if out:
            h.wfile.write(out.encode())
            h.wfile.flush()
        return bool(out)


def answer(body_id, fields="", status="200 OK"):
    body = json.dumps({"id": body_id})
    return ("HTTP/1.1 %s\r\nX-Server-Stamp: s\r\n%sContent-Length: %d\r\n"
            "\r\n%s" % (status, fields, len(body), body))


def named(rid, fields="", status="200 OK"):
    return answer(rid, "X-Attempt-Id: %s\r\n%s" % (rid, fields), status)


# Callers got a status that is none.
@pytest.mark.parametrize("status", ["20 OK", "0 OK", "7 OK", "99 OK"])
def test_status_that_is_none(build, status):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = Writes(
            lambda nth, rid: named(rid, status=status))
        for _ in range(4):
            assert ask(c.gateways[0], "pay", deadline_ms=2000)[0] == 502


# An upstream mixes up its answers on a new connection: the second one, which
# says of no call that it is its own, was taken.
def test_answer_without_id_behind_another_ones(build):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = Writes(
            lambda nth, rid: named("other") + answer("other"))
        for _ in range(4):
            assert ask(c.gateways[0], "pay", deadline_ms=2000)[0] == 502


# The connection is closed after the answer, not after the copy before it.
def test_copy_that_ends_its_connection(build):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = Writes(lambda nth, rid: named(rid) if nth == 1
                                      else named("other", "Connection: close"
                                                 "\r\n") + named(rid))
        for _ in range(6):
            status, _, data, rid = ask(c.gateways[0], "pay", deadline_ms=2000)
            assert (status, json.loads(data)) == (200, {"id": rid})
