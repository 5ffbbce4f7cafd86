"""Requests under which upstreams ended: whom it touches, and whom not."""

import http.client
import os
import signal
import subprocess
import threading
import time

import pytest

from cluster import wait_until
from fake_platform import config, routes_with_public, workspace
from platform_cluster import Cluster, ask, event_ids
from test_deadly import (DEADLY, MAX_LATE, Copies, all_ends, count_late,
                         linked_cluster)

KEYS = {"alpha": "k-aaaaaaaaaaaaaaaa", "beta": "k-bbbbbbbbbbbbbbbb"}


def events(cluster, what):
    return [e for g in cluster.gateways for e in g.events("suspect")
            if e["what"] == what]


def control(gateway, method, path):
    c = http.client.HTTPConnection("127.0.0.1", gateway.control, timeout=2)
    c.request(method, path)
    r = c.getresponse()
    return r.status, r.read().decode()


def end_three(c, route="read", headers=None):
    """Sends a deadly request until three upstreams have ended."""
    wait_until(lambda: ask(c.gateways[0], route, body=DEADLY,
                           headers=headers) and len(all_ends(c.apps)) >= 3)


def with_keys(version, workspaces=KEYS):
    return config(version, routes_with_public(), workspaces=[
        workspace(name, [key]) for name, key in workspaces.items()])


# A request that ran beside one that ends upstreams stayed blamed for it.
def test_an_answer_clears_a_suspect(build):
    with linked_cluster(build, apps=3) as c:
        for a in c.apps:
            a.work_s = 0.1
        results = []
        callers = [threading.Thread(target=lambda g=g: results.append(
            ask(g, "read", body=b"slow")[0])) for g in c.gateways]
        for t in callers:
            t.start()
        wait_until(lambda: sum(len(a.runs) for a in c.apps) == 3)
        next(a for a in c.apps if a.runs).end()
        for t in callers:
            t.join()
        assert results == [200] * 3
        wait_until(lambda: events(c, "cleared"))
        assert events(c, "suspected") and not events(c, "stopped")
        wait_until(lambda: all(control(g, "GET", "/suspects")[1] == ""
                               for g in c.gateways))


# The same bytes sent with another key got a caller's requests refused.
def test_one_workspace_cannot_stop_another(build):
    with linked_cluster(build, apps=4) as c:
        c.put_in_force(with_keys(10))
        end_three(c, headers={"X-Api-Key": KEYS["alpha"]})
        status, head, data, _ = ask(c.gateways[1], "read", body=DEADLY,
                                    headers={"X-Api-Key": KEYS["alpha"]})
        assert status == 503 and b"not sent again" in data
        assert 5 < float(head["Retry-After"]) <= 10
        for a in c.apps:
            a.deadly = b"nothing"
        assert ask(c.gateways[1], "read", body=DEADLY, headers={
            "X-Api-Key": KEYS["beta"]})[0] == 200


# The log of a stopped copy did not say why it was stopped.
def test_explain_shows_why_a_copy_is_stopped(build):
    with linked_cluster(build, apps=4) as c:
        end_three(c)
        wait_until(lambda: events(c, "stopped"))
        *_, rid = ask(c.gateways[1], "read", body=DEADLY)
        wait_until(lambda: any(e["id"] == rid for e in
                               c.gateways[1].events("request-end")))
        out = subprocess.run(
            [os.path.join(build, "bglade"), "explain", rid,
             *[g.log_path for g in c.gateways]], capture_output=True,
            text=True, check=True).stdout
        for what in ("suspected", "stopped"):
            assert 'what="%s"' % what in out
        assert 'why="upstreams ended while running it"' in out


# An operator could not lift the stop of a request whose cause was mended.
def test_operator_lifts_a_stop(build):
    with linked_cluster(build, apps=4) as c:
        end_three(c)
        for a in c.apps:
            a.deadly = b"nothing"
        g = c.gateways[2]
        wait_until(lambda: "stopped_ms" in control(g, "GET", "/suspects")[1])
        wait_until(lambda: events(c, "stopped"))
        request = events(c, "stopped")[0]["request"]
        assert ask(g, "read", body=DEADLY)[0] == 503
        assert control(g, "GET", "/suspects/lift/" + request)[0] == 405
        assert control(g, "POST", "/suspects/lift/x")[0] == 400
        assert control(g, "POST", "/suspects/lift/" + request)[0] == 200
        wait_until(lambda: ask(c.gateways[1], "read", body=DEADLY)[0] == 200)


# A new leader did not know of the ends that its predecessor had counted.
@pytest.mark.parametrize("ends", [2, 3])
def test_deadly_request_through_a_lost_leader(build, ends):
    with linked_cluster(build, apps=5) as c:
        wait_until(lambda: ask(c.gateways[0], "read", body=DEADLY) and
                   len(all_ends(c.apps)) >= ends)
        leader = c.leader()
        leader.send(signal.SIGKILL)
        leader.proc.wait()
        others = [g for g in c.gateways if g is not leader]
        Copies(others, 60, 0.1, route="read").join()
        assert count_late(c.apps) <= MAX_LATE
        wait_until(lambda: ask(others[0], "read")[0] == 200)


# All gateways died at once, and nobody knew of it any more.
def test_deadly_request_after_all_gateways_were_killed(build):
    with linked_cluster(build, apps=4) as c:
        end_three(c)
        time.sleep(0.7)   # the lease record is renewed
        for g in c.gateways:
            g.send(signal.SIGKILL)
            g.proc.wait()
        for g in c.gateways:
            g.start()
        for g in c.gateways:
            wait_until(g.is_ready)
        Copies(c.gateways, 30, 0.1, route="read").join()
        assert count_late(c.apps) == 0   # it is stopped for ten seconds
        assert ask(c.gateways[0], "read")[0] == 200


# A hundred requests were under way where one ended its upstream: each of them
# was blamed, and where they went on together, all were refused with it.
def test_others_on_an_upstream_that_ends_are_served(build):
    with linked_cluster(build, models=(("m0",),) * 4) as c:
        for e in c.engines:
            e.events, e.event_s = 20, 0.05
        failed = []

        def stream(i):
            status, _, data, rid = ask(c.gateways[i % 3], "chat", "m0",
                                       body=b"stream %d" % i)
            if status != 200 or event_ids(data) != list(range(20)):
                failed.append(rid)

        callers = [threading.Thread(target=stream, args=(i,))
                   for i in range(48)]
        for t in callers:
            t.start()
        time.sleep(0.3)
        copies = Copies(c.gateways, 3, 0.05)
        for t in callers:
            t.join()
        copies.join()
        assert count_late(c.engines) <= MAX_LATE
        # Only one that was under way at two ends may fail: its route has two
        # attempts.  One that ends before it has read the request doesn't list
        # it in its runs.
        ended = {e.name for e in c.engines if e.ends}
        broken = {(b["id"], b["upstream"]) for g in c.gateways
                  for b in g.events("request-broken")}
        assert [rid for rid in failed
                if sum((rid, name) in broken for name in ended) < 2] == []
        assert len(failed) < 24
        assert not [e for e in events(c, "stopped") if e["ends"] < 3]


# A gateway that reaches upstreams by way of another one saw no ends.
def test_deadly_request_by_detour(build):
    with linked_cluster(build, apps=4, paths=True) as c:
        cut = next(g for g in c.gateways if g is not c.leader())
        c.cut([cut], "refuse")
        wait_until(lambda: ask(cut, "read")[0] == 200)
        Copies([cut], 30, 0.1, route="read").join()
        assert count_late(c.apps) <= MAX_LATE
        assert ask(cut, "read")[0] == 200


# A gateway that was killed in its turn left the suspect waiting for ever.
def test_gateway_killed_in_its_turn(build):
    with linked_cluster(build, apps=3) as c:
        for a in c.apps:
            a.work_s = 0.3
        other = next(g for g in c.gateways if g is not c.leader())
        caller = Copies([other], 1, 0.1, route="read", body=b"slow")
        next(a for a in c.apps if a.runs).end()
        time.sleep(0.2)
        other.send(signal.SIGKILL)
        other.proc.wait()
        caller.join()
        leader = c.leader()
        wait_until(lambda: ask(leader, "read", body=b"slow")[0] == 200, 10)
