"""A request that ends each upstream that runs it, sent again and again."""

import http.client
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask, now
from raw_answers import AS_FRAMED, BARE, CHUNKS, CLOSED, RawAnswer, event

# The users' rule: after the third end, and LATE_S for all to know of it, the
# request reaches upstreams three times more at the most.
ENDS = 3
LATE_S = 0.6
MAX_LATE = 3
DEADLY = b"DIE-NOW"


class Copies:
    """Sends COUNT copies of one request, one each EVERY_S, to GATEWAYS in
    turn; answers has (status, headers, body, seconds)."""

    def __init__(self, gateways, count, every_s, route="chat", model="m0",
                 body=DEADLY, deadline_ms=4000):
        self.answers, self.threads = [], []
        for i in range(count):
            self.threads.append(threading.Thread(target=self.one, args=(
                gateways[i % len(gateways)], route, model, body, deadline_ms)))
            self.threads[-1].start()
            time.sleep(every_s)

    def one(self, gateway, route, model, body, deadline_ms):
        began = now()
        try:
            status, head, data, _ = ask(gateway, route, model, body,
                                        deadline_ms)
        except (OSError, http.client.HTTPException):   # the gateway is down
            return
        self.answers.append((status, head, data, now() - began))

    def join(self):
        for t in self.threads:
            t.join()
        return self.answers


def all_ends(upstreams):
    return sorted(t for u in upstreams for t in u.ends)


def count_late(upstreams):
    ends = all_ends(upstreams)
    assert len(ends) >= ENDS
    arrivals = sorted(t for u in upstreams for t in u.deadly_arrivals)
    late = sum(t > ends[ENDS - 1] + LATE_S for t in arrivals)
    print("ends %d, late %d" % (len(ends), late))
    return late


def linked_cluster(build, models=(), apps=2, gateways=3, **more):
    c = Cluster(build, gateways=gateways, models=models, apps=apps, **more)
    c.leader()
    wait_until(c.all_linked)
    return c


# Copies were admitted before the third end, waited for a load and were sent
# when it ended.
def test_waiting_copies_of_a_deadly_request(build):
    with linked_cluster(build, models=(("m0", "m1"),) * 3 + ((),)) as c:
        for e in c.engines:
            e.load_s = 1
            e.ended_s = 4
        waiting = Copies(c.gateways, 12, 0.01, model="m2")
        for i in range(6):
            ask(c.gateways[i % 3], "chat", "m0", DEADLY)
        assert len(all_ends(c.engines)) >= ENDS
        # They are answered when the third end is known, not when the load ends.
        assert len(waiting.join()) == 12
        assert max(seconds for *_, seconds in waiting.answers) < 1
        assert count_late(c.engines) <= MAX_LATE


# Upstreams that come back empty, under their id or a new one: the model is
# loaded elsewhere for the copies that wait, and each load ended that upstream.
@pytest.mark.parametrize("new_id", [True, False])
def test_copies_of_a_deadly_request_that_load_its_model(build, new_id):
    with linked_cluster(build, models=(("m0",), ("m1",), ("m2",))) as c:
        for i, e in enumerate(c.engines):
            e.ended_s = 0.3 + 0.45 * i
            e.load_s = 0.5
            e.rest_s = 0
            e.new_id = new_id
        Copies(c.gateways, 100, 0.02).join()
        assert count_late(c.engines) <= MAX_LATE
        wait_until(lambda: ask(c.gateways[0], "chat", "m0")[0] == 200)


# Ends of two upstreams never made three distinct ids.
def test_deadly_request_where_two_upstreams_hold_the_model(build):
    with linked_cluster(build, models=(("m0",),) * 2) as c:
        for _ in range(16):
            ask(c.gateways[0], "chat", "m0", DEADLY)
        assert count_late(c.engines) <= MAX_LATE


@pytest.mark.parametrize("route", ["read", "pay"])
def test_deadly_request_of_a_plain_service_of_two(build, route):
    with linked_cluster(build, apps=2) as c:
        for i in range(24):
            ask(c.gateways[i % 3], route, body=DEADLY)
            time.sleep(0.1)
        assert count_late(c.apps) <= MAX_LATE
        assert ask(c.gateways[0], route)[0] == 200


# What a gateway knew of a deadly request was lost with its process.
def test_deadly_request_after_a_restart_of_each_gateway(build):
    with linked_cluster(build, apps=4) as c:
        wait_until(lambda: ask(c.gateways[0], "read", body=DEADLY) and
                   len(all_ends(c.apps)) >= ENDS)
        time.sleep(LATE_S)
        for g in c.gateways:
            g.stop()
            g.start()
            wait_until(g.is_ready)
            wait_until(c.all_linked)
            ask(g, "read", body=DEADLY)
        for _ in range(4):
            for g in c.gateways:
                ask(g, "read", body=DEADLY)
        assert count_late(c.apps) <= 1   # it is tried again after ten seconds


# An upstream that ended after it had sent a part of its answer, or after its
# caller had left, was blamed on nobody.
def test_deadly_request_whose_callers_leave(build):
    with linked_cluster(build, apps=3) as c:
        for a in c.apps:
            a.rest_s = 0.2
        for i in range(24):
            ask(c.gateways[i % 3], "read", body=DEADLY, deadline_ms=190)
            time.sleep(0.25)
        assert count_late(c.apps) <= MAX_LATE


def test_deadly_stream_that_breaks_after_some_events(build):
    with linked_cluster(build, models=(("m0",),) * 4) as c:
        for e in c.engines:
            e.events_before_end = 3
        Copies(c.gateways, 40, 0.1, route="sum").join()
        assert count_late(c.engines) <= MAX_LATE


# An upstream that ends inside an event of a stream without a length closes its
# connection in order.
@pytest.mark.parametrize("back_s", [0.3, 3])
@pytest.mark.parametrize("route", ["sum", "chat"])
def test_deadly_stream_without_a_length(build, route, back_s):
    with linked_cluster(build, models=(("m0",),) * 4) as c:
        for e in c.engines:
            e.ended_s = back_s
            e.answer_before_end = RawAnswer(
                BARE, CLOSED, lambda _first: event(0) + "id: 1\nda")
        Copies(c.gateways, 60, 0.1, route=route).join()
        assert count_late(c.engines) <= MAX_LATE


# Upstreams that cut a stream and live on were taken for ended ones, and the
# request was stopped.
@pytest.mark.parametrize("framing, end", [(BARE, CLOSED), (CHUNKS, AS_FRAMED)])
def test_stream_that_is_cut_ends_no_upstream(build, framing, end):
    with linked_cluster(build, models=(("m0",),) * 4) as c:
        for e in c.engines:
            e.on_request = RawAnswer(framing, end, lambda _first:
                                     event(0) + "id: 1\nda")
        answers = [ask(c.gateways[i % 3], "sum", "m0", b"common")
                   for i in range(20)]
        assert [a[0] for a in answers] == [200] * 20
        assert not any(g.events("suspect") for g in c.gateways)


# Four upstreams ended under a common request, for another one's doing; it was
# refused for two minutes after that.
def test_common_request_beside_a_deadly_one_is_served(build):
    with linked_cluster(build, apps=4) as c:
        for a in c.apps:
            a.work_s = 0.1
        stop = threading.Event()

        def look_up(gateway):
            while not stop.is_set():
                ask(gateway, "read", body=b"common", deadline_ms=1000)

        callers = [threading.Thread(target=look_up, args=(g,))
                   for g in c.gateways * 4]
        for t in callers:
            t.start()
        time.sleep(0.3)
        for a in c.apps:
            a.end()
            time.sleep(0.2)
        stop.set()
        for t in callers:
            t.join()
        time.sleep(1)
        served = [ask(c.gateways[i % 3], "read", body=b"common")[0]
                  for i in range(20)]
        assert served == [200] * 20
