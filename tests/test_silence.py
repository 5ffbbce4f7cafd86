"""Connections that go silent for good while new ones work, and upstreams
that do."""

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
    with make_cluster(build, 1) as c:
        c.publish_samples()
        yield c


@pytest.fixture(name="two", scope="module")
def cluster_of_two(build):
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
    """Streams at once, so that as many connections are pooled."""
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
    """Six pooled connections are forgotten by a device in between.  The
    next call is sent into one of them and hears nothing.  It goes on over
    a new connection, and the five others are not tried after it."""
    call_many(one, 6)
    before = count(one, "router_silent_connections_total")
    one.set_proxy("dc1-lm1", freeze_old=True)
    call(one, "finds out", True)
    call_many(one, 6)
    assert count(one, "router_silent_connections_total") == before + 1


def test_silent_connections_do_not_eject_the_upstream(one):
    """Six calls at once hear nothing on six pooled connections.  Taken as
    failures of the upstream they would eject the only one there is; a new
    connection tells that it is well."""
    call_many(one, 6)
    before = count(one, "router_ejections_total")
    one.set_proxy("dc1-lm1", freeze_old=True)
    call_many(one, 6)
    assert count(one, "router_ejections_total") == before


def test_stream_that_falls_silent_goes_on(one):
    """The connection goes silent in the middle of a stream: no error, no
    end.  The caller gets the rest over a new one, from the next token."""
    one.set_faults("dc1-lm1", token_ms=40)
    with ThreadPoolExecutor(1) as pool:
        f = pool.submit(call, one, "silent stream", True, 40)
        wait_until(lambda: one.audit("dc1-lm1")["inflight"], 5, "the run")
        time.sleep(0.4)
        one.set_proxy("dc1-lm1", freeze_old=True)
        f.result()
    one.set_faults("dc1-lm1", token_ms=2)


def test_call_without_response_ends_at_its_deadline(one):
    """Bytes reach the engine and its answers vanish.  Generation may be
    run again; while nothing comes back it ends by its deadline, told as
    may-have-run, and never hangs."""
    one.set_proxy("dc1-lm1", one_way="down")
    start = time.monotonic()
    a = one.complete(ROUTER, "drafting", "bulletin-draft", "one way",
                     headers={"X-Deadline-Ms": "2500"})
    assert (a.status, a.outcome) == (504, "failed-may-have-run")
    assert time.monotonic() - start < 5
    one.set_proxy("dc1-lm1", one_way="")
    call(one, "both ways")


def test_service_call_into_silence_is_sent_once(one):
    """A service's answer never comes.  The call may have run: it is told
    so at its deadline and is never sent again."""
    mark = "silent-service"
    one.set_proxy("dc1-sadasya-ledger", one_way="down")
    a = one.ask(ROUTER, "registry", "/v1/services/member-lookup/m", {"q": 1},
                {"X-Run-Id": mark, "X-Deadline-Ms": "1500"})
    one.set_proxy("dc1-sadasya-ledger", one_way="")
    assert (a.status, a.outcome) == (504, "failed-may-have-run")
    runs = one.call("dc1-sadasya-ledger", "GET", "/test/runs").json()
    assert runs[mark] == 1


def test_service_call_never_uses_an_old_connection(one):
    """Connections to the service were forgotten in between.  A call sent
    into one would end as may-have-run though nothing ran."""
    def ask():
        return one.ask(ROUTER, "registry", "/v1/services/member-lookup/m",
                       {"q": 1})
    assert ask().status == 200
    one.set_proxy("dc1-sadasya-ledger", freeze_old=True)
    assert ask().status == 200


def test_whole_generation_uses_a_new_connection(one):
    """Nothing is heard of an unstreamed completion before its end, so a
    forgotten connection would be found out by the deadline only."""
    call_many(one, 2)
    before = count(one, "router_silent_connections_total")
    one.set_proxy("dc1-lm1", freeze_old=True)
    call(one, "unstreamed")
    assert count(one, "router_silent_connections_total") == before


def test_long_generation_is_not_taken_for_silence(one):
    """Calls were short so far; one that asks for eight times the tokens
    takes longer than answer_ms.  It is not silent: running it again would
    take as long, and the engine is well."""
    one.set_faults("dc1-lm1", token_ms=30)
    for i in range(10):
        call(one, "short %d" % i)
    before = count(one, "router_silent_connections_total")
    call(one, "long", tokens=64)
    assert count(one, "router_silent_connections_total") == before
    one.set_faults("dc1-lm1", token_ms=2)


def test_idle_connection_is_not_used_again(build):
    """A connection idle for longer than pool_idle_ms may have been
    forgotten; it is closed instead of tried, so nothing waits for it."""
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
    """One of two engines hears and says nothing more, on new connections
    too.  Its calls go on at the other; it is ejected.  When it is back a
    probe on a fresh connection finds it well, and its share of the traffic
    grows step by step."""
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
    """Each unstreamed completion opens a connection of its own.  If it were
    kept in the pool, where none of its kind is ever used again, idle ones
    would pile up at the engine until it has no thread for a caller and falls
    silent."""
    port = one.port("dc1-lm1")
    call_many(one, 2)
    before = open_connections(port)
    for i in range(20):
        call(one, "left %d" % i)
    assert open_connections(port) <= before + 1
