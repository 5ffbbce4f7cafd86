"""Answers without their request's id on kept connections: nothing tells whose
they are."""

import threading
import time

import pytest

from platform_cluster import Cluster, ask, event_ids


def leave_out_id(engine, h, rid):
    """Runs the request, and answers without its id."""
    del rid
    if h.headers.get("X-Model"):
        h.start_stream({"X-Server-Stamp": "s-" + engine.name})
        for i in range(3):
            h.send_chunk("id: %d\ndata: event %d\n\n" % (i, i))
        h.end_stream()
    else:
        h.reply(200, {"id": "none"}, {"X-Server-Stamp": "s-" + engine.name})
    return True


class LeaveOutOnce:
    """An engine's on_request: leaves out the id of one request, on a
    connection that carried others."""

    def __init__(self):
        self.lock = threading.Lock()
        self.armed = False
        self.hit = None   # id of that request

    def __call__(self, engine, h, rid):
        with self.lock:
            hits = self.armed and hasattr(h, "served")
            h.served = True
            if hits:
                self.armed, self.hit = False, rid
        return hits and leave_out_id(engine, h, rid)


# The caller waited until its deadline for an answer that had come.
@pytest.mark.parametrize("route,model", [
    ("read", None), ("pay", None), ("chat", "m0"), ("sum", "m0")])
def test_answer_without_the_id_ends_the_wait(build, route, model):
    count = 1 if route in ("pay", "sum") else 2
    with Cluster(build, models=(("m0",),) * count, apps=count) as c:
        ups = c.engines if model else c.apps
        leave_out = LeaveOutOnce()
        for up in ups:
            up.on_request = leave_out
        hits = 0
        for i in range(40):
            leave_out.armed = True
            began = time.monotonic()
            status, _, data, rid = ask(c.gateways[0], route, model,
                                       body=b"%d" % i)
            if leave_out.hit != rid:
                continue
            hits += 1
            assert time.monotonic() - began < 1
            runs = sum(up.runs.count(rid) for up in ups)
            if route in ("pay", "sum"):
                assert (status, runs) == (502, 1)
            else:
                assert (status, runs) == (200, 2)
            assert b"none" not in data
            if status == 200 and model:
                assert event_ids(data) == list(range(5))
        assert hits >= 4
