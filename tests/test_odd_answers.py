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
    return "HTTP/1.1 %s\r\nX-Server-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s" \
        % (status, fields, len(body), body)


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
