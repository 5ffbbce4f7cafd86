"""A planned stop (SIGTERM) of a router aborts no request."""

import http.client
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import KEYS, Cluster, expected_text, stream_text, wait_until

ROUTER = "dc1-vm1-router"
ENGINES = ("dc1-lm1", "dc1-lm2")
HEAD = {"Authorization": "Bearer " + KEYS["drafting"],
        "Content-Type": "application/json"}


@pytest.fixture(name="cluster")
def make_cluster(build):
    with Cluster(build, centres=("dc1",), vms_per_centre=1) as c:
        c.publish_samples()
        call(c, "bulletin-draft", "warm", False, 8)
        yield c


def call(c, model, prompt, stream, tokens):
    a = c.complete(ROUTER, "drafting", model, prompt, stream, tokens)
    assert a.status == 200, a.body
    text, whole = stream_text(a.body) if stream else (
        a.json()["choices"][0]["text"], True)
    assert (text, whole) == (expected_text(prompt, tokens), True)


def send(conn):
    conn.request("POST", "/v1/completions", json.dumps(
        {"model": "bulletin-draft", "prompt": "p"}), HEAD)
    res = conn.getresponse()
    return res, json.loads(res.read())


def test_stop_cuts_nothing(cluster):
    """SIGTERM arrives while streams run, requests wait for a cold model and a
    caller holds an idle connection.  The health check fails at once, while
    accepted requests continue; new requests are refused as not run, on new
    and old connections; accepted ones complete; then the process exits 0."""
    idle = http.client.HTTPConnection("127.0.0.1", cluster.port(ROUTER), 20)
    assert send(idle)[0].status == 200
    for e in ENGINES:
        cluster.set_faults(e, token_ms=40, stall_loads=True)
    with ThreadPoolExecutor(12) as pool:
        work = [pool.submit(call, cluster, "bulletin-draft", "s%d" % i,
                            True, 80) for i in range(4)]
        work += [pool.submit(call, cluster, "board-summary", "w%d" % i,
                             i % 2 == 0, 8) for i in range(4)]
        wait_until(lambda: cluster.dump(ROUTER)["state"]["requests"] == 8,
                   10, "the work")
        cluster.procs[ROUTER].signal(signal.SIGTERM)
        wait_until(lambda: cluster.call(ROUTER, "GET", "/healthz").status
                   == 503, 2, "the failing health check")
        assert not any(w.done() for w in work)
        a = cluster.complete(ROUTER, "drafting", "bulletin-draft", "new")
        assert (a.status, a.outcome) == (503, "refused-not-run")
        assert a.json()["error"]["code"] == "stopping"
        assert int(a.headers["Retry-After"]) >= 1
        assert a.headers["Connection"] == "close"
        res, doc = send(idle)
        assert res.status == 503 and res.getheader("Connection") == "close"
        assert doc["error"]["outcome"] == "refused-not-run"
        for e in ENGINES:
            cluster.set_faults(e, stall_loads=False)
        for w in work:
            w.result()
    assert cluster.procs[ROUTER].popen.wait(10) == 0


def test_idle_connections_do_not_hold_the_stop(cluster):
    """Callers may keep idle connections open for any time; the router closes
    them and exits within a few seconds."""
    idle = [http.client.HTTPConnection("127.0.0.1", cluster.port(ROUTER), 20)
            for _ in range(8)]
    for conn in idle:
        assert send(conn)[0].status == 200
    start = time.monotonic()
    assert cluster.procs[ROUTER].terminate(15) == 0
    assert time.monotonic() - start < 6


def test_callers_during_a_stop_are_never_cut(cluster):
    """The load balancer sends requests until it sees the health check fail.
    Each request in that time is answered or refused; none is reset."""
    seen = []

    def ask_until_refused(i):
        while True:
            a = cluster.complete(ROUTER, "drafting", "bulletin-draft",
                                 "caller %d" % i)
            seen.append(a.status)
            if a.status != 200:
                return (a.status, a.outcome)

    with ThreadPoolExecutor(8) as pool:
        callers = [pool.submit(ask_until_refused, i) for i in range(8)]
        wait_until(lambda: seen.count(200) > 40, 10, "calls")
        cluster.procs[ROUTER].signal(signal.SIGTERM)
        ends = {c.result() for c in callers}
    assert ends == {(503, "refused-not-run")}
    assert cluster.procs[ROUTER].popen.wait(10) == 0


def test_late_caller_is_refused_not_reset(build):
    """The load balancer checks health once a second.  A request that it sends
    between two checks, when all other requests are done, is still refused as
    not run."""
    settings = {"router": {"node": {"drain_notice_ms": 2500}}}
    with Cluster(build, centres=("dc1",), vms_per_centre=1,
                 settings=settings) as c:
        c.publish_samples()
        c.procs[ROUTER].signal(signal.SIGTERM)
        time.sleep(1)
        a = c.complete(ROUTER, "drafting", "bulletin-draft", "late")
        assert (a.status, a.outcome) == (503, "refused-not-run")
        assert c.procs[ROUTER].popen.wait(10) == 0
