"""The limits of a workspace hold across all routers, and Retry-After of a
refusal is accurate."""

import hashlib
import os
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, wait_until

KEY = "limited-key"
HEAD = {"Authorization": "Bearer " + KEY}
TEMPLATE = """[template]
name = limited
[upstreams parisankhyan-lm]
kind = engine
fencing = checked
[upstreams sadasya-ledger]
kind = service
[model tiny]
upstreams = parisankhyan-lm
memory_mb = 100
load_ms = 50
[service ledger]
upstreams = sadasya-ledger
[workspace]
"""
VALUES = """[workspace]
name = limited
template = limited
keys_sha256 = %s
""" % hashlib.sha256(KEY.encode()).hexdigest()


def start(build, vms, **limits):
    c = Cluster(build, centres=("dc1",), vms_per_centre=vms,
                settings={"router": {"router": {"limit_lease_ms": 1000}}})
    c.start()
    template = os.path.join(c.dir, "limited.ini")
    values = os.path.join(c.dir, "limited-values.ini")
    with open(template, "w", encoding="utf-8") as f:
        f.write(TEMPLATE + "".join("%s = %d\n" % kv for kv in limits.items()))
    with open(values, "w", encoding="utf-8") as f:
        f.write(VALUES)
    c.bglade("publish", template, values)
    c.wait_ready()
    wait_until(lambda: all(c.dump(r)["state"]["upstreams"]
                           for r in c.routers()), 10, "upstreams")
    # A router lends nothing during its first lease.
    time.sleep(1.8)
    return c


@pytest.fixture(name="start_cluster")
def cluster_factory(build):
    started = []

    def make(vms, **limits):
        started.append(start(build, vms, **limits))
        return started[-1]
    yield make
    for c in started:
        c.stop()


def ask(c, router):
    a = c.call(router, "POST", "/v1/services/ledger/x", {"q": 1}, HEAD)
    if a.status == 429:
        assert a.outcome == "refused-not-run"
        assert a.json()["error"]["code"] == "limit"
        assert int(a.headers["Retry-After"]) >= 1
    return a


def overload(c, routers, seconds, threads=4):
    """Calls each of ROUTERS in closed loops; the number of answers."""
    until = time.monotonic() + seconds

    def run(router):
        answered = 0
        while time.monotonic() < until:
            a = ask(c, router)
            assert a.status in (200, 429), a.body
            answered += a.status == 200
            time.sleep(0.01)
        return answered

    with ThreadPoolExecutor(threads * len(routers)) as pool:
        return sum(pool.map(run, routers * threads))


def test_rate_holds_over_two_routers(start_cluster):
    """Callers overload both routers.  Each alone would admit the whole limit.
    Together they admit no more than the limit plus the two seconds' worth that
    a bucket can hold."""
    c = start_cluster(2, requests_per_second=20)
    answered = overload(c, c.routers(), 5)
    assert 80 <= answered <= 20 * 5 + 20 * 2 + 10


def test_share_moves_to_the_busy_router(start_cluster):
    """All callers use one router.  It admits more than its half of the limit,
    as the other router lends its unused share."""
    c = start_cluster(2, requests_per_second=40)
    router = c.routers()[0]
    overload(c, [router], 3)
    assert overload(c, [router], 4) > 40 / 2 * 4 * 1.15


def test_concurrency_holds_over_two_routers(start_cluster):
    """With twelve slow calls at each of two routers, the service never has
    more calls in flight than the limit."""
    c = start_cluster(2, concurrency=4)
    c.set_faults("dc1-sadasya-ledger", delay_ms=400)
    with ThreadPoolExecutor(24) as pool:
        answers = list(pool.map(lambda i: ask(c, c.routers()[i % 2]).status,
                                range(24)))
    assert answers.count(200) >= 2
    assert set(answers) == {200, 429}
    peak = c.call("dc1-sadasya-ledger", "GET", "/test/peak").json()["peak"]
    assert peak <= 4


def test_tokens_and_retry_after(start_cluster):
    """One answer uses more tokens than the bucket holds.  The next call is
    refused with the time until the debt is paid, and is admitted after it."""
    c = start_cluster(1, tokens_per_minute=6000)
    router = c.routers()[0]
    for e in c.engines:
        c.set_faults(e["id"], token_ms=0)

    def complete(tokens):
        return c.call(router, "POST", "/v1/completions",
                      {"model": "tiny", "prompt": "p",
                       "max_tokens": tokens}, HEAD)
    assert complete(1200).status == 200
    a = complete(5)
    assert a.status == 429, a.body
    wait_s = int(a.headers["Retry-After"])
    assert 1 <= wait_s <= 4
    time.sleep(wait_s)
    assert complete(5).status == 200
