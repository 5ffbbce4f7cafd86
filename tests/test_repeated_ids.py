"""Callers whose ids name more than one request, and an upstream that answers
twice, the second time late."""

import collections
import json
import threading

import pytest

from late_answers import LateCopies
from platform_cluster import Cluster, ask

ROUTES = (("read", None), ("pay", None), ("chat", "m0"), ("sum", "m0"))


def name_path(engine, h, rid):
    """An answer that names the request that it answers."""
    h.reply(200, {"path": h.path, "body": h.asked_body},
            {"X-Attempt-Id": rid, "X-Server-Stamp": "s-" + engine.name})
    return True


def keep_bodies(engine):
    """Its handlers know the body of the request being answered."""
    run = engine.run_request

    def run_request(h, rid, wanted, body):
        h.asked_body = body.decode()
        run(h, rid, wanted, body)
    engine.run_request = run_request


def serve_named(c):
    for up in c.apps + c.engines:
        keep_bodies(up)
        up.on_request = name_path
        LateCopies(up)


# Two requests under one id: the second caller gets no copy of the first one's
# answer.
@pytest.mark.parametrize("route,model", ROUTES)
def test_id_of_an_earlier_request(build, route, model):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        serve_named(c)
        for i in range(8):
            rid = "%016x" % (7000 + i)
            for n in range(2):
                path = "/%s/%d-%d" % (route, i, n)
                body = b"%d %d" % (i, n)
                status, _, data, _ = ask(c.gateways[0], route, model,
                                         rid=rid, path=path, body=body)
                assert status == 200
                assert json.loads(data) == {"path": path,
                                            "body": body.decode()}


# The caller of a refused request comes back with its id: a copy of the refusal
# isn't its answer.
@pytest.mark.parametrize("status", [503, 429, 500])
def test_caller_comes_back_with_its_id(build, status):
    with Cluster(build, models=(), apps=1) as c:
        app = c.apps[0]
        copies = LateCopies(app, may_copy=lambda path, answer:
                            b" %d " % status in answer.split(b"\r\n")[0])

        def refuse(engine, h, rid):
            more = {} if status == 500 else {"X-Not-Executed": "1"}
            h.reply(status, {}, dict(more, **{
                "X-Attempt-Id": rid, "X-Server-Stamp": "s-" + engine.name}))
            return True
        for i in range(6):
            rid = "%016x" % (8000 + i)
            app.on_arrival = refuse
            first = ask(c.gateways[0], "pay", rid=rid, deadline_ms=500)
            app.on_arrival = None
            got = ask(c.gateways[0], "pay", rid=rid, deadline_ms=2500)
            assert first[0] in (status, 503)
            assert (got[0], json.loads(got[2])["id"]) == (200, rid), i
            assert app.runs.count(rid) == 1
        assert copies.asked


# Many callers at once draw from few ids.
def test_few_ids_of_many_callers(build):
    with Cluster(build, models=(("m0",),), apps=2) as c:
        serve_named(c)
        wrong = []

        def call(caller):
            for i in range(60):
                route, model = ROUTES[(caller + i) % 4]
                path = "/%s/c%d-%d" % (route, caller, i)
                got = ask(c.gateways[0], route, model, path=path,
                          rid="%016x" % (i % 5), body=b"%d" % caller)
                if got[0] == 200 and json.loads(got[2])["path"] != path:
                    wrong.append((path, got))
        callers = [threading.Thread(target=call, args=(n,)) for n in range(8)]
        for t in callers:
            t.start()
        for t in callers:
            t.join()
        assert not wrong


# A connection that has forgotten an id would take a copy for its answer.
def test_connection_ends_before_it_forgets_an_id(build):
    with Cluster(build, models=(), apps=1) as c:
        asked = LateCopies(c.apps[0], may_copy=lambda *_: False).asked
        for i in range(1100):
            ask(c.gateways[0], "read", body=b"%d" % i)
        carried = collections.Counter(nth for nth, path in asked
                                      if path.startswith("/read"))
        assert max(carried.values()) <= 512
        assert len(carried) <= 6
