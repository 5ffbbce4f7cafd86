"""Entries of other writers among those of the upstreams: they name no upstream
to use, and hide none of those beside and behind them."""

import json
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask

TOPIC = "keyed.servers"
UPSTREAMS = 4    # of a Cluster


def nest(depth, closed=True):
    return b"[" * depth + (b"]" * depth if closed else b"")


def with_field(field, value):
    """f(good entry): that entry with FIELD as VALUE, as bytes."""
    return lambda good: json.dumps(dict(good, **{field: value})).encode()


def with_number(field, text):
    """f(good entry): that entry with FIELD as the number TEXT."""
    return lambda good: json.dumps(dict(good, **{field: "@"})).replace(
        '"@"', text).encode()


# Calls can't be sent to it, or the type or range of a field is another.
UNUSABLE = {
    "port too large": with_field("address", "127.0.0.1:70000"),
    "port that wraps": with_field("address", "127.0.0.1:%d" % (65536 + 80)),
    "port 0": with_field("address", "127.0.0.1:0"),
    "port below 0": with_field("address", "127.0.0.1:-80"),
    "no port": with_field("address", "127.0.0.1:"),
    "port with a rest": with_field("address", "127.0.0.1:80x"),
    "port with a sign": with_field("address", "127.0.0.1:+80"),
    "port with a blank": with_field("address", "127.0.0.1:80 "),
    "host name": with_field("address", "localhost:80"),
    "IPv6": with_field("address", "[::1]:80"),
    "all addresses": with_field("address", "0.0.0.0:80"),
    "address in a line of its own": with_field(
        "address", "127.0.0.1:80\r\nX-Injected: 1"),
    "slots below 0": with_number("slots", "-1"),
    "slots beyond 32 bits": with_number("slots", "4294967296"),
    "slots of 30 digits": with_number("slots", "9" * 30),
    "slots of 1e400": with_number("slots", "1e400"),
    "slots with a fraction": with_number("slots", "1.5"),
    "nested": lambda _: nest(100000),
    "nested and cut off": lambda _: nest(100000, False),
    "a field nested": with_number("more", nest(100000).decode()),
    "service of 100 KB": with_field("service", "s" * 100000),
    "100,000 models": with_field("models", [
        {"name": "m%d" % i, "adapters": []} for i in range(100000)]),
}


def put_entry(c, engine, nth):
    """The entry of ENGINE's next heartbeat."""
    engine.entries_published = nth
    c.store.put(TOPIC, engine.name, json.dumps(engine.entry()).encode())


def count_upstreams(c):
    return [g.dump()["upstreams"] for g in c.gateways]


# Such an engine counted in its service's upstreams and got its share of the
# requests, placements and orders, each of which failed.
@pytest.mark.parametrize("kinds", [
    list(UNUSABLE)[i::4] for i in range(4)], ids="abcd")
def test_entry_that_cannot_be_used_names_no_upstream(build, kinds):
    with Cluster(build, gateways=3) as c:
        c.leader()
        wait_until(c.all_linked)
        for nth in range(5):   # heartbeats
            for i, kind in enumerate(kinds):
                c.store.put(TOPIC, "odd-%d" % i,
                            UNUSABLE[kind](c.apps[0].entry()))
            for e in c.apps + c.engines:
                put_entry(c, e, nth + 2)
            time.sleep(0.6)
            assert count_upstreams(c) == [UPSTREAMS] * 3
            for g in c.gateways:
                assert ask(g, "read")[0] == 200
                assert ask(g, "chat", "m0")[0] == 200
        reader = c.leader()
        noted = [e["upstream"] for e in reader.events("entry-not-taken")]
        assert sorted(noted) == sorted("odd-%d" % i for i in range(len(kinds)))
        assert all(g.proc.poll() is None for g in c.gateways)


# The process of a good entry that becomes odd may be gone; once the entry is
# good again, so is the engine.
def test_good_entry_becomes_odd_and_good_again(build):
    with Cluster(build, gateways=3) as c:
        c.leader()
        wait_until(c.all_linked)
        app = c.apps[0]
        for nth in range(3):
            odd = dict(app.entry(), address="127.0.0.1:99999")
            c.store.put(TOPIC, app.name, json.dumps(odd).encode())
            wait_until(lambda: count_upstreams(c) == [UPSTREAMS - 1] * 3)
            assert all(ask(g, "read")[0] == 200 for g in c.gateways)
            put_entry(c, app, nth + 2)
            wait_until(lambda: count_upstreams(c) == [UPSTREAMS] * 3)


# With odd entries only, callers wait for no upstream: there is none.
def test_service_of_odd_entries_only_is_refused_at_once(build):
    with Cluster(build, gateways=2, apps=1) as c:
        odd = dict(c.apps[0].entry(), address="127.0.0.1:99999")
        c.store.put(TOPIC, c.apps[0].name, json.dumps(odd).encode())
        wait_until(lambda: count_upstreams(c) == [2, 2])
        time.sleep(1)   # an upstream may just be on its way to another list
        for g in c.gateways:
            began = time.monotonic()
            status, head, _, _ = ask(g, "read")
            assert status == 503 and float(head["Retry-After"]) > 0
            assert time.monotonic() - began < 0.25


# A thousand odd engines before two good ones: neither places nor requests go
# to them, and nothing is logged at each heartbeat.
def test_thousand_odd_entries_cost_nothing(build):
    with Cluster(build, gateways=3) as c:
        c.leader()
        wait_until(c.all_linked)
        good = c.engines[0].entry()
        for beat in range(3):
            for i in range(1000):
                odd = dict(good, address="127.0.0.1:%d" % (65536 + i),
                           slots=1000000, sequence=beat)
                c.store.put(TOPIC, "odd-%04d" % i, json.dumps(odd).encode())
            time.sleep(0.8)
        assert count_upstreams(c) == [UPSTREAMS] * 3
        for _ in range(20):
            for g in c.gateways:
                assert ask(g, "chat", "m0")[0] == 200
        assert sum(len(g.events("entry-not-taken")) for g in c.gateways) <= 3000


def make_odd_engines(c, count, models):
    """Entries of COUNT engines that claim MODELS, at addresses that can't be
    used."""
    for i in range(count):
        odd = dict(c.engines[0].entry(), address="127.0.0.1:%d" % (65536 + i),
                   slots=1000000,
                   models=[{"name": m, "version": 1, "adapters": []}
                           for m in models])
        c.store.put(TOPIC, "odd-%02d" % i, json.dumps(odd).encode())


def names_odd_one(event):
    return event.get("upstream", "").startswith("odd-")


# Engines that can't be reached were taken for holders of a model, and asked
# for reports.
def test_model_that_odd_engines_claim_is_loaded_elsewhere(build):
    with Cluster(build, gateways=3) as c:
        c.leader()
        wait_until(c.all_linked)
        make_odd_engines(c, 30, ["m0", "m1", "m2"])
        time.sleep(1)
        for g in c.gateways:
            began = time.monotonic()
            assert ask(g, "chat", "m2")[0] == 200
            assert time.monotonic() - began < 1
        assert any("m2" in e.models for e in c.engines)
        for g in c.gateways:
            used = [e for e in g.events() if names_odd_one(e) and
                    e["event"] != "entry-not-taken"]
            assert used == []   # no send, order, report or path


# The room of a service is that of its good upstreams: callers are served or
# refused as without the odd ones.
@pytest.mark.parametrize("odd", [0, 30])
def test_odd_engines_add_no_room(build, odd):
    with Cluster(build, gateways=3, models=(("m0",),)) as c:
        c.leader()
        wait_until(c.all_linked)
        make_odd_engines(c, odd, ["m0"])
        time.sleep(1)
        engine = c.engines[0]
        engine.rate_limit = "4"
        for g in c.gateways:   # the limit is known to all
            ask(g, "chat", "m0")
        time.sleep(1)
        before, began = len(engine.arrivals), time.monotonic()
        statuses, waits = [], []
        while time.monotonic() < began + 4:
            for g in c.gateways:
                sent = time.monotonic()
                status, head, _, _ = ask(g, "chat", "m0", deadline_ms=600)
                statuses.append(status)
                waits.append(time.monotonic() - sent)
                assert status == 200 or float(head["Retry-After"]) > 0
        assert len(engine.arrivals) - before <= 4 * 4 * 1.5 + 5
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 4 * 4 * 0.5
        assert max(waits) < 1
