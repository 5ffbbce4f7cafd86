"""A request that kills each upstream that runs it is quarantined."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, expected_text, wait_until

ROUTERS = ("dc1-vm1-router", "dc1-vm2-router")
DEADLY = "summarise DIE-NOW please"
MODEL = "bulletin-draft"


def engines(count):
    return [{"id": "dc1-lm%d" % (i + 1), "centre": "dc1",
             "deployment": "parisankhyan-lm"} for i in range(count)]


@pytest.fixture
def cluster(build):
    with Cluster(build, centres=("dc1",), engines=engines(3),
                 services=[]) as c:
        c.publish_samples()
        yield c


def alive(c):
    return [e["id"] for e in c.engines if c.procs[e["id"]].is_running()]


def restart_dead(c):
    for e in c.engines:
        if not c.procs[e["id"]].is_running():
            c.start_engine(e)
            c.wait_port(e["id"])


def restart_small(c):
    """Restarts dead engines with too little memory for the model, so that it
    is loaded on another one."""
    for e in c.engines:
        if not c.procs[e["id"]].is_running():
            e["args"] = {"memory_mb": 1000}
            c.start_engine(e)
            c.wait_port(e["id"])


def ask(c, router, prompt, **more):
    return c.complete(router, "drafting", MODEL, prompt, **more)


def deaths(c, router):
    return c.dump(router)["fold"]["deadly_requests"]


def wait_quarantine(c):
    """Waits until every router has read the second death."""
    for router in ROUTERS:
        wait_until(lambda r=router: c.dump(r)["fold"]["quarantined_requests"]
                   == 1, 10, "quarantine at " + router)


def test_second_death_quarantines_on_every_router(cluster):
    """A request crashes the engine that runs it, is retried on an idle one,
    and crashes that too.  No router sends it to a third.  A repeat is refused
    at once with 422, and other requests are served."""
    a = ask(cluster, ROUTERS[0], DEADLY)
    assert a.outcome == "failed-may-have-run"
    assert a.status in (422, 502)  # 422 once the second death is recorded
    assert len(alive(cluster)) == 1
    wait_quarantine(cluster)
    restart_dead(cluster)
    for router in ROUTERS:
        wait_until(lambda r=router: ask(cluster, r, "fine").status == 200,
                   20, "service at " + router)
        start = time.monotonic()
        c = ask(cluster, router, DEADLY)
        assert (c.status, c.outcome) == (422, "refused-not-run")
        assert c.json()["error"]["code"] == "quarantined"
        assert "Retry-After" not in c.headers
        assert time.monotonic() - start < 2
    assert len(alive(cluster)) == 3


def test_slow_death_counts_too(build):
    """A request crashes its engine, whose dying process still accepts
    connections for a moment and closes them.  So the first probe after the
    break is neither refused nor answered.  If that did not count as a death,
    the request would go on to a third engine and the caller get 504 at its
    deadline."""
    slow = [dict(e, args={"die_slowly_ms": 150}) for e in engines(3)]
    with Cluster(build, centres=("dc1",), engines=slow, services=[]) as c:
        c.publish_samples()
        a = ask(c, ROUTERS[0], DEADLY)
        assert a.status in (422, 502)
        wait_quarantine(c)
        assert len(alive(c)) == 1


def test_request_beside_a_death_is_served_and_cleared(cluster):
    """A slow request runs on an engine that is killed, and a death that it did
    not cause is recorded for it.  It is retried on an idle engine, answered
    completely and cleared, so that a later unrelated death does not quarantine
    it."""
    wait_until(lambda: ask(cluster, ROUTERS[0], "warm").status == 200, 20,
               "a warm replica")
    for e in cluster.engines:
        cluster.set_faults(e["id"], token_ms=100)
    seen = []
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(ask, cluster, ROUTERS[0], "innocent", tokens=20)
        wait_until(lambda: any(cluster.audit(e["id"])["inflight"]
                               for e in cluster.engines), 10, "in flight")
        cluster.procs[busy_engine(cluster)].kill()
        wait_until(lambda: seen.append(deaths(cluster, ROUTERS[1])) or
                   seen[-1] == 1, 10, "the record")
        a = job.result()
    assert a.status == 200, a.body
    assert a.json()["choices"][0]["text"] == expected_text("innocent", 20)
    wait_until(lambda: deaths(cluster, ROUTERS[0]) == 0, 10, "cleared")


def busy_engine(c):
    return next(e["id"] for e in c.engines
                if c.audit(e["id"])["inflight"] > 0)


def test_suspect_runs_alone(cluster):
    """After one death the request is a suspect.  While it runs, its router
    sends no other request to the same engine, so that none fails if the engine
    dies."""
    wait_until(lambda: ask(cluster, ROUTERS[0], "warm").status == 200, 20,
               "a warm replica")
    # Too little time for a second replica to load: one death, no retry.
    ask(cluster, ROUTERS[0], DEADLY, headers={"X-Deadline-Ms": "500"})
    assert len(alive(cluster)) == 2
    restart_small(cluster)
    wait_until(lambda: ask(cluster, ROUTERS[0], "warm").status == 200, 20,
               "a warm replica")
    wait_until(lambda: deaths(cluster, ROUTERS[0]) == 1, 10, "the record")
    for e in alive(cluster):
        cluster.set_faults(e, token_ms=30)
    with ThreadPoolExecutor(17) as pool:
        jobs = [pool.submit(ask, cluster, ROUTERS[0], "beside %d" % i)
                for i in range(8)]
        bad = pool.submit(ask, cluster, ROUTERS[0], DEADLY)
        jobs += [pool.submit(ask, cluster, ROUTERS[0], "later %d" % i)
                 for i in range(8)]
        assert [j.result().status for j in jobs] == [200] * 16
        assert bad.result().outcome == "failed-may-have-run"
    wait_until(lambda: deaths(cluster, ROUTERS[1]) == 1, 10, "one request")


def test_timeout_is_no_death(cluster):
    """An engine is silent until the request's deadline.  It did not die:
    nothing is recorded for the request."""
    cluster.publish_changed("wait_ms = 20000", "wait_ms = 5000")
    wait_until(lambda: ask(cluster, ROUTERS[0], "warm").status == 200, 20,
               "a warm replica")
    for e in cluster.engines:
        cluster.set_faults(e["id"], silent=True)
    a = ask(cluster, ROUTERS[0], "slow one")
    assert (a.status, a.outcome) == (504, "failed-may-have-run")
    for e in cluster.engines:
        cluster.set_faults(e["id"], silent=False)
    assert ask(cluster, ROUTERS[0], "slow one").status == 200
    assert deaths(cluster, ROUTERS[0]) == 0


def test_restart_behind_a_balancer_counts(build):
    """The engine is behind a TCP forwarder that accepts connections even when
    the process is dead, and is restarted.  No connection is refused, but the
    report has another boot id: that counts as a death."""
    with_proxy = Cluster(build, centres=("dc1",), engines=engines(1),
                         services=[])
    with_proxy.add_proxy("dc1-lm1")
    with with_proxy as c:
        c.publish_samples()
        wait_until(lambda: ask(c, ROUTERS[0], "warm").status == 200, 20,
                   "a warm replica")
        ask(c, ROUTERS[0], DEADLY)
        wait_until(lambda: not alive(c), 10, "a death")
        assert deaths(c, ROUTERS[0]) == 0
        restart_dead(c)
        wait_until(lambda: deaths(c, ROUTERS[1]) == 1, 15, "the record")


def test_deadly_call_of_a_service(build):
    """A lookup crashes the service that runs it; service calls are quarantined
    like completions.  After the second death a third instance is not tried."""
    ledgers = [{"id": "dc1-ledger%d" % i, "centre": "dc1",
                "deployment": "sadasya-ledger"} for i in range(3)]
    look = "/v1/services/member-lookup/members/666"
    with Cluster(build, centres=("dc1",), engines=[], services=ledgers) as c:
        c.publish_samples()
        wait_until(lambda: c.ask(ROUTERS[0], "registry", "/v1/services/"
                                 "member-lookup/x", {}).status == 200, 15,
                   "ledgers")
        for s in ledgers:
            c.set_faults(s["id"], die_after_run=True)
        answers = [c.ask(ROUTERS[0], "registry", look, {})]
        wait_until(lambda: deaths(c, ROUTERS[1]) == 1, 10, "the record")
        answers.append(c.ask(ROUTERS[1], "registry", look, {}))
        wait_quarantine(c)
        assert [a.outcome for a in answers] == ["failed-may-have-run"] * 2
        assert [a.status for a in answers] == [502, 422]
        for router in ROUTERS:
            a = c.ask(router, "registry", look, {})
            assert (a.status, a.outcome) == (422, "refused-not-run")
        running = [s["id"] for s in ledgers
                   if c.procs[s["id"]].is_running()]
        assert len(running) == 1
