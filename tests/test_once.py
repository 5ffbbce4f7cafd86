"""Non-idempotent calls run at most once under faults of routers, log and
service."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, wait_until

PATH = "/v1/services/member-registry/certificates"
LEDGER = "dc1-sadasya-ledger"
ROUTERS = ("dc1-vm1-router", "dc1-vm2-router")


def start(build, *proxied):
    """One data centre, two routers, one ledger service; a proxy in front of
    each of PROXIED."""
    c = Cluster(build, centres=("dc1",), engines=[],
                settings={"router": {"router": {"claim_wait_ms": 1500}}})
    for name in proxied:
        c.add_proxy(name)
    return c


def warm(c):
    c.publish_samples()
    for router in ROUTERS:
        wait_until(lambda r=router: register(c, r, "warm-" + r).status
                   == 200, 15, "ledger at " + router)
        # Faults that a test sets must affect only its own records.
        wait_until(lambda r=router: c.dump(r)["state"]["once"]["ending"] == 0,
                   10, "recorded results of " + router)


@pytest.fixture
def cluster(build):
    with start(build, "log") as c:
        warm(c)
        yield c


def register(c, router, key, doc=None, headers=None, timeout=40.0, path=PATH):
    """Registers a certificate; the service counts its runs under KEY."""
    head = {"Idempotency-Key": key, "X-Run-Id": key}
    head.update(headers or {})
    return c.ask(router, "registry", path, doc or {"plot": 7}, head, timeout)


def runs(c, key):
    return c.call(LEDGER, "GET", "/test/runs").json().get(key, 0)


def wait_step(c, key_count, router=ROUTERS[1]):
    """Waits until ROUTER's fold has KEY_COUNT keys."""
    wait_until(lambda: c.dump(router)["fold"]["keys"] == key_count, 10,
               "%d keys" % key_count)


def test_repeat_gets_the_recorded_answer(cluster):
    """A caller that lost the first answer repeats the call at another router.
    It gets the recorded status, type and body, marked as replayed; the ledger
    ran the call once.  The same key with another body is refused."""
    first = register(cluster, ROUTERS[0], "k1")
    assert (first.status, first.outcome) == (200, "answered")
    assert "X-Bglade-Replayed" not in first.headers
    again = wait_until(
        lambda: (lambda a: a if a.status == 200 else None)(
            register(cluster, ROUTERS[1], "k1")), 10, "the recorded answer")
    assert again.headers["X-Bglade-Replayed"] == "true"
    assert again.body == first.body
    assert again.headers["Content-Type"] == first.headers["Content-Type"]
    other = register(cluster, ROUTERS[1], "k1", {"plot": 8})
    assert (other.status, other.outcome) == (422, "refused-not-run")
    assert runs(cluster, "k1") == 1


def test_a_key_belongs_to_its_workspace(cluster):
    """Two workspaces use the same key: both calls run, and neither gets the
    other's answer."""
    register(cluster, ROUTERS[0], "shared")
    a = cluster.ask(ROUTERS[1], "care", "/v1/services/card-charge/x", {},
                    {"Idempotency-Key": "shared"})
    assert a.status == 200
    assert "X-Bglade-Replayed" not in a.headers


def test_same_moment_at_two_routers_runs_once(cluster):
    """One call is sent to both routers concurrently, ten times each, while
    the ledger is slow.  Both routers append a claim and one wins in the fold;
    the other calls get "in progress" or the winner's answer."""
    cluster.set_faults(LEDGER, delay_ms=300)
    with ThreadPoolExecutor(20) as pool:
        answers = list(pool.map(
            lambda i: register(cluster, ROUTERS[i % 2], "twice"), range(20)))
    assert runs(cluster, "twice") == 1
    assert {a.status for a in answers} <= {200, 409}
    assert len([a for a in answers if a.status == 200 and
                "X-Bglade-Replayed" not in a.headers]) == 1
    for a in answers:
        if a.status == 409:
            assert a.outcome == "refused-not-run"
            assert int(a.headers["Retry-After"]) >= 1


def test_router_killed_between_send_and_record(cluster):
    """The ledger runs the call, and the router is killed before it records
    the answer.  The other router finds the claim without a final record: it
    answers "in progress" until the claim expires, then "may have run", and
    never runs the call again."""
    # With calls of at most 1 s, claims expire after 6 s.
    cluster.publish_changed("idempotency = required",
                            "idempotency = required\nwait_ms = 1000")
    cluster.set_faults(LEDGER, delay_ms=3000)
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(register, cluster, ROUTERS[0], "killed")
        wait_until(lambda: runs(cluster, "killed") == 1, 10, "the run")
        cluster.procs[ROUTERS[0]].kill()
        with pytest.raises(OSError):
            job.result()
    a = register(cluster, ROUTERS[1], "killed")
    assert a.status == 409
    a = wait_until(
        lambda: (lambda x: x if x.status != 409 else None)(
            register(cluster, ROUTERS[1], "killed")), 15, "expiry")
    assert (a.status, a.outcome) == (502, "failed-may-have-run")
    assert runs(cluster, "killed") == 1


def test_router_killed_between_claim_and_send(cluster):
    """The claim is in the log and the router is killed before it sends, as
    its reads of the log are delayed and it has not seen that it won.  Nothing
    ran, but that can't be known: the repeat is not run."""
    cluster.set_proxy("log", one_way="down")
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(register, cluster, ROUTERS[0], "claimed")
        time.sleep(0.5)
        cluster.procs[ROUTERS[0]].kill()
        with pytest.raises(OSError):
            job.result()
    cluster.set_proxy("log", one_way="")
    wait_step(cluster, 3)
    a = register(cluster, ROUTERS[1], "claimed")
    assert a.status == 409, a.body
    assert runs(cluster, "claimed") == 0


def test_lost_acknowledgement_of_the_claim(cluster):
    """The log stores the claim but its acknowledgement is lost.  The router
    writes the batch again, and sees that it won when it reads the log: the
    call runs once, and its repeat is replayed.  The duplicate arrives while
    the call runs and must not count as a lost claim."""
    cluster.set_faults(LEDGER, delay_ms=700)
    cluster.set_faults("log", drop_acks=2)
    a = register(cluster, ROUTERS[0], "ack")
    assert a.status == 200
    wait_until(lambda: register(cluster, ROUTERS[1], "ack").status == 200, 10,
               "replay")
    assert runs(cluster, "ack") == 1


def test_outage_of_the_log(cluster):
    """While the log service is down a call is refused at once as not run, not
    after the claim's timeout; after the outage the same key runs once."""
    cluster.set_faults("log", down=True)
    wait_until(lambda: not cluster.dump(ROUTERS[0])["log_reachable"], 10,
               "outage seen")
    start = time.monotonic()
    a = register(cluster, ROUTERS[0], "outage")
    assert time.monotonic() - start < 1.0
    assert (a.status, a.outcome) == (503, "refused-not-run")
    assert int(a.headers["Retry-After"]) >= 1
    # A recorded answer is still replayed.
    kept = register(cluster, ROUTERS[0], "warm-" + ROUTERS[0])
    assert kept.headers["X-Bglade-Replayed"] == "true"
    cluster.set_faults("log", down=False)
    wait_until(lambda: register(cluster, ROUTERS[0], "outage").status == 200,
               15, "run after the outage")
    assert runs(cluster, "outage") == 1


def test_slow_log_refuses_and_never_sends_late(cluster):
    """An append takes 4 s, and the claim's timeout is 1.5 s: the call is
    refused as not run.  The claim still wins later; nothing is sent for it,
    it is released, and the key can run then."""
    cluster.set_faults("log", slow_ms=4000)
    start = time.monotonic()
    a = register(cluster, ROUTERS[0], "slow")
    assert (a.status, a.outcome) == (503, "refused-not-run")
    assert time.monotonic() - start < 3.5
    cluster.set_faults("log", slow_ms=0)
    wait_until(lambda: cluster.dump(ROUTERS[0])["state"]["once"]["ending"]
               == 0, 20, "claim and release in the log")
    assert runs(cluster, "slow") == 0
    wait_until(lambda: register(cluster, ROUTERS[1], "slow").status == 200,
               15, "the released key to run")
    assert runs(cluster, "slow") == 1


@pytest.mark.parametrize("fault", [{"die_after_run": True},
                                   {"drop_answers": 5}],
                         ids=["dies-after-run", "answer-lost"])
def test_broken_after_send_may_have_run(cluster, fault):
    """The ledger runs the call and then dies, or closes the connection
    without an answer.  The caller gets "may have run"; neither the router nor
    a repeat sends the call again."""
    cluster.set_faults(LEDGER, **fault)
    a = register(cluster, ROUTERS[0], "broken")
    assert (a.status, a.outcome) == (502, "failed-may-have-run")
    if "die_after_run" in fault:
        cluster.procs[LEDGER].kill()
        cluster.standin(LEDGER, "fake_service.py")
        cluster.wait_port(LEDGER)
        before = 0
    else:
        cluster.set_faults(LEDGER, drop_answers=0)
        before = 1
    time.sleep(0.3)
    for router in ROUTERS:
        a = register(cluster, router, "broken")
        assert (a.status, a.outcome) == (502, "failed-may-have-run"), a.body
    assert runs(cluster, "broken") == before


def test_released_claim_can_run_next_time(cluster):
    """The ledger is down and refuses connections: the claim wins, no byte is
    sent, and the call is refused as not run.  When the ledger is up again the
    same key runs once."""
    cluster.procs[LEDGER].kill()
    a = register(cluster, ROUTERS[0], "later")
    assert (a.status, a.outcome) == (503, "refused-not-run")
    cluster.standin(LEDGER, "fake_service.py")
    cluster.wait_port(LEDGER)
    wait_until(lambda: register(cluster, ROUTERS[1], "later").status == 200,
               15, "run by the other router")
    assert runs(cluster, "later") == 1


def test_answer_too_large_to_keep(cluster):
    """The ledger echoes 100 KB.  The first caller gets it all; an answer of
    that size is not recorded, and the repeat is told that the call ran."""
    first = register(cluster, ROUTERS[0], "large", {"x": "y" * 100000})
    assert first.status == 200
    assert len(first.body) > 100000
    again = wait_until(
        lambda: (lambda a: a if a.status == 200 else None)(
            register(cluster, ROUTERS[1], "large", {"x": "y" * 100000})), 10,
        "replay")
    assert again.headers["X-Bglade-Answer-Kept"] == "false"
    assert again.json()["answer_kept"] is False
    assert runs(cluster, "large") == 1


def test_paused_router_never_sends_late(cluster):
    """A router is paused after it appended its claim, and resumes after the
    claim's timeout.  The claim has won meanwhile; nothing may be sent for
    it."""
    cluster.set_proxy("log", delay_ms=400)
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(register, cluster, ROUTERS[0], "paused")
        time.sleep(0.2)
        cluster.procs[ROUTERS[0]].signal(signal.SIGSTOP)
        time.sleep(3)
        cluster.procs[ROUTERS[0]].signal(signal.SIGCONT)
        a = job.result()
    assert (a.status, a.outcome) == (503, "refused-not-run"), a.body
    assert runs(cluster, "paused") == 0


def test_stop_between_claim_and_record(cluster):
    """A router gets SIGTERM while one call runs and another waits for its
    claim.  Both are finished and recorded before it exits, so that their
    repeats are replayed."""
    cluster.set_faults(LEDGER, delay_ms=700)
    cluster.set_faults("log", slow_ms=200)
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(register, cluster, ROUTERS[0], "stop-1")
        wait_until(lambda: runs(cluster, "stop-1") == 1, 10, "the run")
        second = pool.submit(register, cluster, ROUTERS[0], "stop-2")
        time.sleep(0.1)
        code = cluster.procs[ROUTERS[0]].terminate()
        assert code == 0
        assert first.result().status == 200
        assert second.result().status == 200
    cluster.set_faults("log", slow_ms=0)
    for key in ("stop-1", "stop-2"):
        a = wait_until(
            lambda k=key: (lambda x: x if x.status == 200 else None)(
                register(cluster, ROUTERS[1], k)), 10, "replay of " + key)
        assert a.headers["X-Bglade-Replayed"] == "true"
        assert runs(cluster, key) == 1


def test_pooled_connection_is_never_used(build):
    """Lookups leave pooled connections, which a non-idempotent call must not
    use.  If the ledger closes one without an answer, curl sends the call
    again by itself; or it is silent, as a network device dropped its
    state."""
    look = "/v1/services/member-lookup/members/1"
    with start(build, LEDGER) as c:
        warm(c)
        for router in ROUTERS:
            assert c.ask(router, "registry", look, {}).status == 200
        c.set_faults(LEDGER, drop_answers=1)
        a = register(c, ROUTERS[0], "pooled")
        assert (a.status, a.outcome) == (502, "failed-may-have-run")
        assert runs(c, "pooled") == 1
        c.set_proxy(LEDGER, freeze_old=True)
        assert register(c, ROUTERS[1], "silent").status == 200
        assert runs(c, "silent") == 1
