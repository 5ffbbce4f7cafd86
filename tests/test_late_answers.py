"""Late copies of an upstream's answers: what proves that an answer belongs to
this sending of this request."""

import json
import threading
import time

import pytest

from cluster import wait_until
from fake_platform import config, route
from late_answers import LateCopies
from platform_cluster import Cluster, ask


def is_rejection(path, answer):
    del path
    return b"X-Not-Executed" in answer or b" 421 " in answer.split(b"\r\n")[0]


class Full:
    """An engine's on_arrival: it turns away the first TIMES requests."""

    def __init__(self, times, status=503):
        self.times, self.status = times, status

    def __call__(self, engine, h, rid):
        with engine.lock:
            if self.times == 0:
                return False
            self.times -= 1
        more = {"X-Not-Executed": "1"} if self.status != 421 else {}
        h.reply(self.status, {}, dict(more, **{"X-Attempt-Id": rid}))
        return True


def pay(c, count, headers=None, **more):
    """Registrations, one after the other: their statuses and ids."""
    out = []
    for _ in range(count):
        status, _, body, rid = ask(c.gateways[0], "pay", headers=headers,
                                   deadline_ms=2500, **more)
        out.append((status, rid, body))
    return out


def check_runs(c, answers):
    """Each ran once at most, and not where it was refused; each success is the
    answer to its own request."""
    ran = [rid for app in c.apps for rid in app.runs]
    for status, rid, body in answers:
        assert ran.count(rid) <= 1, (status, rid)
        if status in (429, 503, 408, 421):
            assert rid not in ran, (status, rid)
        if status == 200:
            assert rid in ran
            assert json.loads(body)["id"] == rid


# The copy of a rejection was taken for the answer to the next sending of that
# request: it ran, was sent once more, and ran again or was refused.
@pytest.mark.parametrize("apps", [1, 2])
@pytest.mark.parametrize("status", [503, 429])
def test_late_rejection(build, apps, status):
    with Cluster(build, models=(), apps=apps) as c:
        copies = [LateCopies(app, may_copy=is_rejection) for app in c.apps]
        answers = pay(c, 3)
        for _ in range(6):
            for app in c.apps:
                app.on_arrival = Full(1, status)
            answers += pay(c, 2)
        check_runs(c, answers)
        assert [s for s, _, _ in answers].count(200) >= 12
        assert any(copy.asked for copy in copies)


# The same for a model that isn't there yet.
def test_late_answer_of_an_upstream_without_the_model(build):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        engine = c.engines[0]
        LateCopies(engine, may_copy=is_rejection)
        for _ in range(6):
            engine.on_arrival = Full(1, 421)
            status, _, data, rid = ask(c.gateways[0], "sum", "m0")
            assert engine.runs.count(rid) == 1
            assert (status, data.count(b"data: ")) == (200, engine.events)


# A copy of a report was taken for the answer to a caller's request.
@pytest.mark.parametrize("where", ["late", "at once"])
def test_late_report(build, where):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        for up in c.apps + c.engines:
            LateCopies(up, "/report", where)
        answers = []
        for i in range(20):
            up = c.apps[0]
            up.on_request = break_off if i % 4 == 0 else None
            ask(c.gateways[0], "read", deadline_ms=1500)
            up.on_request = None
            wait_until(c.gateways[0].knows_processes)
            answers += pay(c, 1)
        check_runs(c, answers)
        assert [s for s, _, _ in answers] == [200] * 20


def break_off(engine, h, rid):
    del engine, rid
    h.reply_short(200, {"x": "y" * 100})
    return True


# The other way round: a copy of a caller's answer, or of a former report, was
# taken for a report or the answer to an order.
@pytest.mark.parametrize("path", ["/read", "/report", "/order"])
@pytest.mark.parametrize("where", ["late", "at once"])
def test_question_takes_only_its_own_answer(build, path, where):
    with Cluster(build, models=(("m0",), ("m1",)), apps=1) as c:
        routes = config(1)["routes"] + [route("read2", "llm", "idempotent")]
        c.put_in_force(config(9, routes=routes))
        copies = [LateCopies(e, path, where) for e in c.apps + c.engines]
        for i in range(12):
            ask(c.gateways[0], "chat", "m%d" % (i % 3), b"%d" % i)
            ask(c.gateways[0], "read", body=b"%d" % i)
            c.apps[0].on_request = break_off
            ask(c.gateways[0], "read", deadline_ms=800)
            c.apps[0].on_request = None
        # Each answer was to the last request on its connection.
        for copy in copies:
            for connection, asked in copy.asked:
                others = [p for n, p in copy.asked if n == connection]
                if asked in ("/report", "/order"):
                    assert others == [asked]
        log = open(c.gateways[0].log_path, encoding="utf-8").read()
        assert "answer with status" not in log


# A copy of "already so", taken for the answer to an unload that was refused,
# would let a load follow for which there is no memory.
def test_each_order_has_its_own_connection(build):
    with Cluster(build, models=(("m0",),), apps=1) as c:
        copies = LateCopies(c.engines[0], "/order")
        for i in range(8):
            assert ask(c.gateways[0], "chat", "m%d" % (i % 3), b"%d" % i,
                       deadline_ms=4000)[0] == 200
        orders = [n for n, path in copies.asked if path == "/order"]
        assert len(orders) >= 6
        for nth in orders:
            assert [n for n, _ in copies.asked].count(nth) == 1


# An answer without the id of its request, on a connection that carried others,
# may be of any of them; on a new one it is the request's.
@pytest.mark.parametrize("kept", [False, True])
def test_answer_without_the_id(build, kept):
    with Cluster(build, models=(), apps=1) as c:
        app = c.apps[0]
        if kept:
            assert pay(c, 1)[0][0] == 200
        late = (b"HTTP/1.1 200 OK\r\nX-Server-Stamp: old\r\n"
                b"Content-Length: 3\r\n\r\nold")
        seen = []

        def answer(engine, h, rid):
            del rid
            seen.append(id(h))
            if kept:
                h.wfile.write(late)
            else:
                h.reply(200, {"id": "none"}, {"X-Server-Stamp": "s"})
            return not kept
        app.on_request = answer
        status, _, body, rid = pay_one(c)
        assert status == 200
        assert json.loads(body)["id"] == ("none" if not kept else rid)
        app.on_request = None
        # Neither connection is used again.
        status, _, body, rid = pay_one(c)
        assert (status, json.loads(body)["id"]) == (200, rid)


def pay_one(c):
    status, headers, body, rid = ask(c.gateways[0], "pay", deadline_ms=2500)
    return status, headers, body, rid


# Callers without an id share no connection with others: nothing tells whose an
# answer is.
def test_callers_without_an_id(build):
    with Cluster(build, models=(), apps=1) as c:
        def answer(engine, h, rid):
            more = {"X-Attempt-Id": rid} if rid else {}
            h.reply(200, {"path": h.path},
                    dict(more, **{"X-Server-Stamp": "s-" + engine.name}))
            return True
        c.apps[0].on_request = answer
        copies = LateCopies(c.apps[0], "/read")
        for i in range(12):
            path = "/read/%d" % i
            status, _, body, _ = ask(
                c.gateways[0], "read", path=path,
                headers={"X-Attempt-Id": ""} if i % 2 else None)
            assert (status, json.loads(body)["path"]) == (200, path)
        alone = [n for n, path in copies.asked if path.endswith(tuple("13579"))]
        for nth in alone:
            assert [n for n, _ in copies.asked].count(nth) == 1


# Bytes that came before the request was written are no answer to it: it gets
# another connection, and isn't counted as failed.
def test_copy_that_comes_while_the_connection_is_idle(build):
    with Cluster(build, models=(), apps=1) as c:
        app = c.apps[0]
        LateCopies(app, "/pay", "at once")
        threads, answers = [], []
        for _ in range(4):
            threads.append(threading.Thread(
                target=lambda: answers.extend(pay(c, 25))))
            threads[-1].start()
        for t in threads:
            t.join()
        check_runs(c, answers)
        assert [s for s, _, _ in answers] == [200] * 100


# The copy has no body, as the request was HEAD, and says that it has one.
def test_late_answer_to_head(build):
    with Cluster(build, models=(), apps=1) as c:
        copies = LateCopies(c.apps[0], "/read")

        def answer(engine, h, rid):
            if h.command == "HEAD":
                h.wfile.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                               "X-Server-Stamp: s-%s\r\nContent-Length: 500"
                               "\r\n\r\n" % (rid, engine.name)).encode())
            return h.command == "HEAD"
        c.apps[0].on_request = answer
        began = time.monotonic()
        for i in range(8):
            got = ask(c.gateways[0], "read", body=b"%d" % i, method="HEAD")
            assert (got[0], got[2]) == (200, b"")
            status, _, body, rid = ask(c.gateways[0], "read", body=b"r%d" % i)
            assert (status, json.loads(body)["id"]) == (200, rid)
        assert time.monotonic() - began < 3
        assert copies.asked


# The copies are of other kinds of answers: an interim one, one with two ids.
@pytest.mark.parametrize("late", [
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: other\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Attempt-Id: other\r\n"
    b"Content-Length: 3\r\n\r\nold",
    b"HTTP/1.1 204 No Content\r\nX-Attempt-Id: other\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked"
    b"\r\n\r\n3\r\nold\r\n0\r\n\r\n"])
def test_other_messages_before_the_answer(build, late):
    with Cluster(build, models=(), apps=1) as c:
        def answer(engine, h, rid):
            del engine
            h.wfile.write(late.replace(b"%s", rid.encode()))
            return False
        answers = pay(c, 2)
        c.apps[0].on_request = answer
        answers += pay(c, 3)
        check_runs(c, answers)
        assert [s for s, _, _ in answers] == [200] * 5


# An upstream that answers a long body before it has read it keeps reading: the
# connection carries no other request.
def test_answer_before_the_body_was_sent(build):
    with Cluster(build, models=(), apps=1) as c:
        body = b"z" * (2 * 1024 * 1024)
        for _ in range(4):
            assert ask(c.gateways[0], "pay", body=body)[0] == 200
            time.sleep(0.05)
        check_runs(c, pay(c, 2))
