"""Connections that go silent for good while new ones work, and upstreams that
go silent."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, expected_text, stream_text, wait_until

ROUTER = "dc1-vm1-router"
SETTINGS = {"router": {"router": {
    "answer_ms": 1000, "first_byte_ms": 1000, "idle_ms": 700,
    "retry_percent": 100, "eject_ms": 500, "return_ms": 300,
    "eject_failures": 2}}, "placer": {"placer": {"per_replica": 1}}}


def make_cluster(build, engines):
    c = Cluster(build, centres=("dc1",), vms_per_centre=1, settings=SETTINGS,
                engines=[{"id": "dc1-lm%d" % (i + 1), "centre": "dc1",
                          "deployment": "parisankhyan-lm"}
                         for i in range(engines)])
    for i in range(engines):
        c.add_proxy("dc1-lm%d" % (i + 1))
    c.add_proxy("dc1-sadasya-ledger")
    return c


@pytest.fixture(name="one", scope="module")
def cluster_of_one(build):
    """One router and one engine, shared by the tests of this module."""
    with make_cluster(build, 1) as c:
        c.publish_samples()
        yield c


@pytest.fixture(name="two", scope="module")
def cluster_of_two(build):
    """One router and two engines, both with the model loaded."""
    with make_cluster(build, 2) as c:
        c.publish_samples()
        call_many(c, 16)
        wait_until(lambda: all(
            c.audit(e)["models"].get("bulletin-draft") == "loaded"
            for e in ("dc1-lm1", "dc1-lm2")), 10, "both replicas")
        yield c


def call(c, prompt, stream=False, tokens=8):
    a = c.complete(ROUTER, "drafting", "bulletin-draft", prompt, stream,
                   tokens)
    assert a.status == 200, a.body
    text = stream_text(a.body)[0] if stream \
        else a.json()["choices"][0]["text"]
    assert text == expected_text(prompt, tokens)


def call_many(c, count):
    """COUNT streams at once, so that as many connections get pooled."""
    with ThreadPoolExecutor(count) as pool:
        list(pool.map(lambda i: call(c, "many %d" % i, True), range(count)))


def read_metrics(c):
    text = c.call(ROUTER, "GET", "/metrics").body.decode()
    rows = [line.split() for line in text.split("\n")
            if line.startswith("bglade_")]
    return {row[0][7:]: int(row[1]) for row in rows}


def count(c, name):
    return read_metrics(c).get(name, 0)


def find_upstream(c, name):
    return next(u for u in c.dump(ROUTER)["state"]["upstreams"]
                if u["id"] == name)


def test_pooled_connection_forgotten_in_between(one):
    """A device between router and engine drops six pooled connections without
    an error.  The next call uses one of them and gets no response.  It is
    repeated on a new connection, and the other five are not used any more."""
    call_many(one, 6)
    before = count(one, "router_silent_connections_total")
    one.set_proxy("dc1-lm1", freeze_old=True)
    call(one, "finds out", True)
    call_many(one, 6)
    assert count(one, "router_silent_connections_total") == before + 1


def test_silent_connections_do_not_eject_the_upstream(one):
    """Six concurrent calls get no response on six pooled connections.  As
    failures of the upstream they would eject the only one there is; a new
    connection shows that it is healthy."""
    call_many(one, 6)
    before = count(one, "router_ejections_total")
    one.set_proxy("dc1-lm1", freeze_old=True)
    call_many(one, 6)
    assert count(one, "router_ejections_total") == before


def test_stream_that_falls_silent_goes_on(one):
    """A connection goes silent in the middle of a stream, without an error or
    an end.  The caller gets the rest over a new one, from the next token on.
    """
    one.set_faults("dc1-lm1", token_ms=40)
    with ThreadPoolExecutor(1) as pool:
        f = pool.submit(call, one, "silent stream", True, 40)
        wait_until(lambda: one.audit("dc1-lm1")["inflight"], 5, "the run")
        time.sleep(0.4)
        one.set_proxy("dc1-lm1", freeze_old=True)
        f.result()
    one.set_faults("dc1-lm1", token_ms=2)


def test_call_without_response_ends_at_its_deadline(one):
    """Requests reach the engine and its responses are lost.  Generation may be
    run again; without a response the call ends at its deadline, as
    failed-may-have-run, and never hangs."""
    call(one, "loads the model")
    one.set_proxy("dc1-lm1", one_way="down")
    start = time.monotonic()
    a = one.complete(ROUTER, "drafting", "bulletin-draft", "one way",
                     headers={"X-Deadline-Ms": "2500"})
    assert (a.status, a.outcome) == (504, "failed-may-have-run")
    assert time.monotonic() - start < 5
    one.set_proxy("dc1-lm1", one_way="")
    call(one, "both ways")


def test_service_call_into_silence_is_sent_once(one):
    """A service's response is lost.  The call may have run, so it is never
    sent again and fails as failed-may-have-run at its deadline."""
    mark = "silent-service"
    one.set_proxy("dc1-sadasya-ledger", one_way="down")
    a = one.ask(ROUTER, "registry", "/v1/services/member-lookup/m", {"q": 1},
                {"X-Run-Id": mark, "X-Deadline-Ms": "1500"})
    one.set_proxy("dc1-sadasya-ledger", one_way="")
    assert (a.status, a.outcome) == (504, "failed-may-have-run")
    runs = one.call("dc1-sadasya-ledger", "GET", "/test/runs").json()
    assert runs[mark] == 1


def test_service_call_never_uses_an_old_connection(one):
    """A device in between dropped the connections to the service.  A call on
    one of them would end as failed-may-have-run though nothing ran."""
    def ask():
        return one.ask(ROUTER, "registry", "/v1/services/member-lookup/m",
                       {"q": 1})
    assert ask().status == 200
    one.set_proxy("dc1-sadasya-ledger", freeze_old=True)
    assert ask().status == 200


def test_whole_generation_uses_a_new_connection(one):
    """An unstreamed completion sends nothing before its end, so a dropped
    connection would be noticed at the deadline only."""
    call_many(one, 2)
    before = count(one, "router_silent_connections_total")
    one.set_proxy("dc1-lm1", freeze_old=True)
    call(one, "unstreamed")
    assert count(one, "router_silent_connections_total") == before


def test_long_generation_is_not_taken_for_silence(one):
    """After short calls, one for eight times the tokens takes longer than
    answer_ms.  Its connection is not silent: the engine is healthy, and to run
    it again would take as long."""
    one.set_faults("dc1-lm1", token_ms=30)
    for i in range(10):
        call(one, "short %d" % i)
    before = count(one, "router_silent_connections_total")
    call(one, "long", tokens=64)
    assert count(one, "router_silent_connections_total") == before
    one.set_faults("dc1-lm1", token_ms=2)


def test_idle_connection_is_not_used_again(build):
    """A connection that was idle for longer than pool_idle_ms may have been
    dropped on the way.  It is closed and not used, so no call waits for it."""
    c = make_cluster(build, 1)
    c.settings = {"router": {"router": {"pool_idle_ms": 1000}}}
    with c:
        c.publish_samples()
        call(c, "first", True)
        time.sleep(2.5)
        c.set_proxy("dc1-lm1", freeze_old=True)
        call(c, "second", True)
        assert count(c, "router_silent_connections_total") == 0


def test_silent_upstream_is_ejected_and_returns_slowly(two):
    """One of two engines goes silent, on new connections too.  Its calls are
    continued at the other and it is ejected.  Once it is back, a probe on a
    new connection finds it healthy, and its share of the traffic grows in
    steps."""
    two.set_proxy("dc1-lm1", freeze=True)
    wait_until(lambda: call_many(two, 8) or find_upstream(
        two, "dc1-lm1")["ejected"], 25, "ejection")
    silent = count(two, "router_silent_connections_total")
    call_many(two, 8)
    assert count(two, "router_silent_connections_total") == silent
    two.set_proxy("dc1-lm1", freeze=False)
    shares = []

    def is_back():
        u = find_upstream(two, "dc1-lm1")
        if not u["ejected"] and u["share"] not in shares:
            shares.append(u["share"])
        return shares and shares[-1] == 16
    wait_until(is_back, 15, "return")
    assert len(shares) >= 3 and shares == sorted(shares)
    call_many(two, 8)


def open_connections(port):
    """Established connections to PORT on this machine."""
    with open("/proc/net/tcp", encoding="ascii") as f:
        rows = [line.split() for line in f.readlines()[1:]]
    return sum(r[2].endswith(":%04X" % port) and r[3] == "01" for r in rows)


def test_unstreamed_completions_leave_no_connections(one):
    """Each unstreamed completion opens a connection of its own, which is never
    reused.  If these stayed in the pool, idle connections would accumulate at
    the engine until it has no thread left for a caller and goes silent."""
    port = one.port("dc1-lm1")
    call_many(one, 2)
    before = open_connections(port)
    for i in range(20):
        call(one, "left %d" % i)
    assert open_connections(port) <= before + 1
