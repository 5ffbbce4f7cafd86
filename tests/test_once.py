"""Non-idempotent calls run at most once, whatever fails on the way."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, wait_until

PATH = "/v1/services/member-registry/certificates"
LEDGER = "dc1-sadasya-ledger"
ROUTERS = ("dc1-vm1-router", "dc1-vm2-router")


def start(build, *proxied):
    """One data centre, two routers, one ledger; proxies before PROXIED."""
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
        # A fault that a test sets next is meant for its own records.
        wait_until(lambda r=router: c.dump(r)["state"]["once"]["ending"] == 0,
                   10, "recorded results of " + router)


@pytest.fixture
def cluster(build):
    with start(build, "log") as c:
        warm(c)
        yield c


def register(c, router, key, doc=None, headers=None, timeout=40.0, path=PATH):
    """Register a certificate; its runs are counted under KEY."""
    head = {"Idempotency-Key": key, "X-Run-Id": key}
    head.update(headers or {})
    return c.ask(router, "registry", path, doc or {"plot": 7}, head, timeout)


def runs(c, key):
    return c.call(LEDGER, "GET", "/test/runs").json().get(key, 0)


def wait_step(c, key_count, router=ROUTERS[1]):
    """Wait until ROUTER's fold holds KEY_COUNT keys."""
    wait_until(lambda: c.dump(router)["fold"]["keys"] == key_count, 10,
               "%d keys" % key_count)


def test_repeat_gets_the_recorded_answer(cluster):
    """The caller lost the first answer and sends the call again, to another
    router.  It gets the first answer once more, marked as replayed, with
    status, type and body; the ledger ran it once.  The same key with another
    body is turned away."""
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
    """Two workspaces use one key by chance; neither sees the other's answer
    and both calls run."""
    register(cluster, ROUTERS[0], "shared")
    a = cluster.ask(ROUTERS[1], "care", "/v1/services/card-charge/x", {},
                    {"Idempotency-Key": "shared"})
    assert a.status == 200
    assert "X-Bglade-Replayed" not in a.headers


def test_same_moment_at_two_routers_runs_once(cluster):
    """On a busy morning one certificate is sent to both routers at the same
    moment, ten times each, while the ledger takes its time.  Both append a
    claim; the fold names one winner, the others hear "in progress" or get
    the winner's answer."""
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
    """The ledger runs the call, the router is killed before the answer is
    recorded.  The repeat at the other router finds the claim without an
    ending: "in progress" until the claim expires, then "may have run",
    never a second run."""
    # Calls of at most 1 s: their claims expire 6 s after they were made.
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
    """The claim is in the log and the router dies before it sends: its own
    reading of the log is held up, so it cannot know yet that it won.  Nothing
    ran, but nobody can know: the repeat is not run."""
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
    """The log takes the claim but its acknowledgement is lost.  The router
    writes the batch again and takes its win from what it reads, not from the
    acknowledgement: the call runs, once, and its repeat is replayed.  The
    second copy comes while the call runs and must not be taken for a loss."""
    cluster.set_faults(LEDGER, delay_ms=700)
    cluster.set_faults("log", drop_acks=2)
    a = register(cluster, ROUTERS[0], "ack")
    assert a.status == 200
    wait_until(lambda: register(cluster, ROUTERS[1], "ack").status == 200, 10,
               "replay")
    assert runs(cluster, "ack") == 1


def test_outage_of_the_log(cluster):
    """The log service is down.  The call is refused at once as not run, not
    after the claim's bound; after the outage the same key runs once."""
    cluster.set_faults("log", down=True)
    wait_until(lambda: not cluster.dump(ROUTERS[0])["log_reachable"], 10,
               "outage seen")
    start = time.monotonic()
    a = register(cluster, ROUTERS[0], "outage")
    assert time.monotonic() - start < 1.0
    assert (a.status, a.outcome) == (503, "refused-not-run")
    assert int(a.headers["Retry-After"]) >= 1
    # What is recorded is still answered.
    kept = register(cluster, ROUTERS[0], "warm-" + ROUTERS[0])
    assert kept.headers["X-Bglade-Replayed"] == "true"
    cluster.set_faults("log", down=False)
    wait_until(lambda: register(cluster, ROUTERS[0], "outage").status == 200,
               15, "run after the outage")
    assert runs(cluster, "outage") == 1


def test_slow_log_refuses_and_never_sends_late(cluster):
    """The log takes 4 s for an append, the claim may wait 1.5 s.  The caller
    is refused as not run at the bound.  The claim wins later all the same;
    nothing is sent for it, it is released, and the key can run then."""
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
    """The ledger runs the call and its answer never comes: it dies, or the
    connection closes.  The caller is told that the call may have run, the
    router does not send it again, and neither does a repeat."""
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
    """The ledger is gone and refuses connections: the claim is held, no byte
    goes out, and the call is refused as not run.  When the ledger is back
    the same key runs, once."""
    cluster.procs[LEDGER].kill()
    a = register(cluster, ROUTERS[0], "later")
    assert (a.status, a.outcome) == (503, "refused-not-run")
    cluster.standin(LEDGER, "fake_service.py")
    cluster.wait_port(LEDGER)
    wait_until(lambda: register(cluster, ROUTERS[1], "later").status == 200,
               15, "run by the other router")
    assert runs(cluster, "later") == 1


def test_answer_too_large_to_keep(cluster):
    """The ledger echoes 100 KB.  The first caller gets it all; the record
    keeps no answer of that size and the repeat is told that the call ran."""
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
    """A router is paused right after its claim was appended and resumes when
    its caller's bound has long passed.  The claim has won meanwhile; nothing
    may be sent for it now."""
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
    """A router is told to stop while a call waits for its claim and while
    another runs.  Both are finished and recorded before it exits, so that
    their repeats are replayed."""
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
    """A lookup leaves a connection that could be used again; the ledger
    closes connections without an answer.  On a connection that was used
    before, an HTTP library sends the call a second time by itself.  And a
    device forgets the old connections, so that they go silent."""
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
