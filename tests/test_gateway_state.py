"""Gateways and the platform's store: configuration, upstreams, the lease of
the leader, outages, and messages left in the store where links are cut."""

import json
import signal
import threading
import time

import pytest

from cluster import wait_until
from fake_platform import Engine, config, route
from cluster import free_port
from platform_cluster import LEASE_GUARD_MS, Cluster, ask, now


def all_orders(c):
    """Orders received by all engines, in order of time."""
    return sorted(o for e in c.engines for o in e.orders)


def test_no_configuration_is_503_not_404(build):
    """A gateway without a configuration is not ready and refuses requests as
    not run (503); it serves as soon as a configuration is written."""
    with Cluster(build, first_config=False) as c:
        g = c.gateways[0]
        wait_until(lambda: g.events("store-reached"))
        assert not g.is_ready()
        assert ask(g, "read")[0] == 503
        c.store.put_config(config(1))
        wait_until(g.is_ready)
        assert ask(g, "read")[0] == 200


def test_control_address_may_be_left_out(build):
    """Guards against a gateway that doesn't start without an optional
    setting."""
    with Cluster(build) as c:
        g = c.gateways[0]
        g.stop()
        with open(g.settings, encoding="utf-8") as f:
            lines = [x for x in f if not x.startswith("control =")]
        with open(g.settings, "w", encoding="utf-8") as f:
            f.writelines(lines)
        g.start()
        wait_until(g.is_ready, what="readiness")
        assert ask(g, "read")[0] == 200


def ask_at_start(gateway):
    """Starts GATEWAY; returns the status of a request sent as soon as it
    accepts connections."""
    gateway.start()

    def try_request():
        try:
            return ask(gateway, "read")[0]
        except ConnectionRefusedError:
            return None
    return wait_until(try_request, what="a connection")


def test_start_keeps_its_first_callers(build):
    """Guards against refused callers, who retry only once, while all gateways
    start together: requests wait for the first configuration."""
    with Cluster(build, store_proxies=True) as c:
        c.gateways[0].stop()
        c.store_proxies[0].delay_s = 0.1
        assert ask_at_start(c.gateways[0]) == 200


def test_start_serves_from_the_first_page(build):
    """Guards against refused callers while a long list of upstreams is read in
    pages: upstreams of the first pages are used before the last is read."""
    with Cluster(build, store_proxies=True, models=(("m0",),) * 13) as c:
        c.gateways[0].stop()
        c.store_proxies[0].delay_s = 0.08
        assert ask_at_start(c.gateways[0]) == 200
        assert not c.gateways[0].is_ready()


def test_start_that_takes_long_refuses(build):
    """Guards against callers that wait long for a gateway that can't serve, as
    the store does not answer it."""
    with Cluster(build, store_proxies=True) as c:
        c.gateways[0].stop()
        c.store_proxies[0].mode = "silent"
        began = now()
        assert ask_at_start(c.gateways[0]) == 503
        assert now() - began < 1.5
        wait_until(lambda: now() - began > 1.5)
        began = now()
        assert ask(c.gateways[0], "read")[0] == 503
        assert now() - began < 0.3


def test_start_without_the_store(build):
    """A gateway starts while the store is unreachable: it gets configuration
    and upstreams from another gateway and serves with them.  Once the store is
    back it follows the store."""
    with Cluster(build, gateways=2) as c:
        first = c.leader()
        other = [g for g in c.gateways if g is not first][0]
        other.proc.kill()
        other.proc.wait()
        other.add_setting("seeds", "127.0.0.1:%d,127.0.0.1:%d" %
                          (other.control, first.control))
        c.store.mode = "busy"
        other.start()
        wait_until(other.is_ready, limit_s=4)
        assert ask(other, "read")[0] == 200
        assert ask(other, "chat", "m0")[0] == 200
        assert ask(other, "none")[0] == 404
        c.store.put_config(config(21))
        c.store.mode = "up"
        wait_until(lambda: other.dump()["config"] == 21, limit_s=3)
        assert ask(other, "read")[0] == 200


def test_loads_are_published_through_an_outage(build):
    """Guards against gateways that know only the load of their own requests,
    and overload an engine, while the store is unreachable for all and no VM
    holds the lease: the last leader goes on publishing the load of upstreams,
    and gives no orders."""
    with Cluster(build, gateways=3, models=(("m0",),), apps=1) as c:
        leader = c.leader()
        wait_until(c.all_linked, what="links")
        one, other = [g for g in c.gateways if g is not leader]
        engine = c.engines[0]
        engine.events, engine.event_s = 60, 0.1
        c.store.mode = "busy"
        wait_until(lambda: not leader.dump()["places"], limit_s=4,
                   what="the end of the lease")
        ordered = len(engine.orders)
        busy = [threading.Thread(target=ask, args=(one, "chat", "m0"),
                                 kwargs={"deadline_ms": 9000})
                for _ in range(6)]
        for t in busy:
            t.start()
        time.sleep(1.2)
        rid = ask(other, "chat", "m0", deadline_ms=9000)[3]
        sent = [e for e in other.events("request-sent") if e["id"] == rid]
        assert sent[0]["load"] >= 4
        assert len(engine.orders) == ordered
        for t in busy:
            t.join()
        c.store.mode = "up"
        wait_until(lambda: any(g.dump()["places"] for g in c.gateways),
                   limit_s=6, what="a leader")


def test_newest_configuration_in_force_and_never_an_older(build):
    with Cluster(build, gateways=2) as c:
        c.store.put_config(config(10, [route("new", "app", "idempotent")]))
        c.store.put_config(config(7))
        for g in c.gateways:
            wait_until(lambda g=g: g.dump()["config"] == 10, limit_s=2)
        time.sleep(0.3)
        for g in c.gateways:
            assert ask(g, "new")[0] == 200
            assert ask(g, "read")[0] == 404


def test_configuration_after_a_silent_outage(build):
    """The store does not answer for 5 s.  A configuration written after that
    is in force within 2 s, also at a follower, which seldom polls the store as
    it is linked to the leader."""
    with Cluster(build, gateways=2) as c:
        c.leader()
        wait_until(c.all_linked)
        c.store.mode = "silent"
        time.sleep(5)
        c.store.mode = "up"
        c.store.put_config(config(40))
        written = now()
        for g in c.gateways:
            wait_until(lambda g=g: g.dump()["config"] == 40)
        assert now() - written < 2.0


def test_configuration_after_history_was_dropped(build):
    with Cluster(build) as c:
        c.store.put_config(config(11))
        c.store.compact("keyed.op")
        c.store.put_config(config(12, [route("new", "app", "idempotent")]))
        wait_until(lambda: c.gateways[0].dump()["config"] == 12, limit_s=3)


def test_serving_goes_on_without_the_store(build):
    """Requests are served while the store is unreachable, and a configuration
    written meanwhile is in force soon after its return."""
    with Cluster(build, gateways=2) as c:
        c.leader()
        c.store.mode = "busy"
        for _ in range(20):
            for g in c.gateways:
                assert ask(g, "read")[0] == 200
                assert ask(g, "chat", "m0")[0] == 200
            time.sleep(0.02)
        calls = c.store.calls
        time.sleep(1)
        assert c.store.calls - calls < 40
        c.store.put_config(config(20))
        c.store.mode = "up"
        for g in c.gateways:
            wait_until(lambda g=g: g.dump()["config"] == 20, limit_s=3)


def test_leaving_upstream_gets_nothing_more(build):
    """No gateway, leader or follower, sends anything to an upstream later than
    2 s after it has announced that it drains."""
    with Cluster(build, gateways=2) as c:
        c.leader()
        c.apps[0].drain()
        time.sleep(1.5)
        before = len(c.apps[0].arrivals)
        for _ in range(10):
            for g in c.gateways:
                assert ask(g, "read")[0] == 200
        assert len(c.apps[0].arrivals) == before


def test_foreign_entries_harm_nobody(build):
    """Entries that are malformed or lack fields are ignored."""
    with Cluster(build) as c:
        good = c.apps[0].entry()
        for i, bad in enumerate([
                b"\xff\xfe", b"[]", b"{}", b"null",
                json.dumps(dict(good, state="odd")).encode(),
                json.dumps(dict(good, address=7)).encode(),
                json.dumps(dict(good, slots="many")).encode(),
                json.dumps(dict(good, service=None)).encode()]):
            c.store.put("keyed.servers", "bad%d" % i, bad)
        wait_until(lambda: len(c.gateways[0].events("entry-not-taken")) >= 8)
        assert c.gateways[0].dump()["upstreams"] == 4
        assert ask(c.gateways[0], "read")[0] == 200


def test_reused_address(build):
    """The address of an upstream is reused by another.  Requests name the
    upstream that they are meant for (X-Expect-Instance), so they are refused
    there as not run, and another upstream answers."""
    with Cluster(build) as c:
        c.apps[0].name = "other"
        for _ in range(8):
            assert ask(c.gateways[0], "pay")[0] == 200
        assert not c.apps[0].runs


def test_same_id_born_again_is_empty(build):
    """An engine restarts under the same id with no model loaded: callers of
    its model are served after one more load, and get no error from it."""
    with Cluster(build, models=(("m0",),)) as c:
        c.leader()
        assert ask(c.gateways[0], "chat", "m0")[0] == 200
        e = c.engines[0]
        with e.lock:
            e.models, e.sequence, e.born = {}, 0, e.born + 5000
        e.publish_entry()
        assert ask(c.gateways[0], "chat", "m0")[0] == 200
        assert [o[3] for o in e.orders if o[4] == "m0"] == ["load"]


def check_one_holder(c):
    """Checks that orders of two VMs are a guard interval apart, and that the
    fencing token rises with each change of leader."""
    last = None
    for at, holder, token, *_ in all_orders(c):
        if last and holder != last[1]:
            assert at - last[0] >= LEASE_GUARD_MS / 1000, (last, at, holder)
            assert token > last[2]
        last = (at, holder, token)


def request_cold_models(c, gateway, until_s):
    """Requests changing models and adapters for UNTIL_S, so that the leader
    keeps giving orders."""
    until = now() + until_s
    n = 0
    while now() < until:
        ask(gateway, "chat", "m%d/a%d" % (n % 3, n % 20), deadline_ms=800)
        n += 1


def test_one_holder_through_a_kill(build):
    """The leader is killed while it gives orders.  The next leader has a
    higher token, and gives no order within the guard interval after the last
    order."""
    with Cluster(build, gateways=3) as c:
        first = c.leader()
        wait_until(c.all_linked)
        others = [g for g in c.gateways if g is not first]
        request_cold_models(c, others[0], 0.5)
        first.proc.kill()
        first.proc.wait()
        c.gateways = others
        request_cold_models(c, others[0], 7)
        c.leader()
        assert len({o[1] for o in all_orders(c)}) == 2
        check_one_holder(c)


def test_one_holder_through_a_freeze(build):
    """The leader is paused for longer than its lease and resumed: it gives no
    order until it holds the lease again."""
    with Cluster(build, gateways=3) as c:
        first = c.leader()
        wait_until(c.all_linked)
        others = [g for g in c.gateways if g is not first]
        request_cold_models(c, others[0], 0.5)
        first.send(signal.SIGSTOP)
        request_cold_models(c, others[0], 6)
        first.send(signal.SIGCONT)
        request_cold_models(c, others[0], 1.5)
        assert len({o[1] for o in all_orders(c)}) == 2
        check_one_holder(c)


def test_lost_acknowledgements_of_the_lease(build):
    """The store appends renewals of the lease without a response: the leader
    finds them in the topic and keeps the lease, and no other VM takes it."""
    with Cluster(build, gateways=2) as c:
        first = c.leader()
        wait_until(c.all_linked)
        c.store.drop_append_replies = 3
        time.sleep(3)
        assert c.leader() is first
        request_cold_models(c, c.gateways[0], 0.5)
        check_one_holder(c)


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_leader_renews_through_linked_gateways(build, mode):
    """The store refuses the leader, or does not answer it, and serves the
    followers, to which the leader is linked.  It renews the lease through
    them, and requests for models that are not loaded wait for the load only.
    """
    with Cluster(build, gateways=3, store_proxies=True) as c:
        first = c.leader()
        wait_until(c.all_linked)
        c.store_proxies[c.gateways.index(first)].mode = mode
        others = [g for g in c.gateways if g is not first]
        until = now() + 5
        n = 0
        while now() < until:
            began = now()
            assert ask(others[0], "chat", "m2/a%d" % (n % 20))[0] == 200
            assert now() - began < 1.0
            time.sleep(0.1)
            n += 1
        assert first.dump()["places"]
        assert {o[1] for o in all_orders(c)} == {first.name}
        assert first.events("lease-relayed")
        c.store_proxies[c.gateways.index(first)].mode = "up"
        time.sleep(0.7)
        assert c.leader() is first


def test_claim_goes_before_a_relayed_renewal(build):
    """The leader loses the store and then, when it is paused, its links.
    Renewals that followers append for it come too late, and it gives no order
    beside the next leader."""
    with Cluster(build, gateways=3, store_proxies=True) as c:
        first = c.leader()
        wait_until(c.all_linked)
        request_cold_models(c, c.gateways[0], 0.3)
        c.store_proxies[c.gateways.index(first)].mode = "silent"
        time.sleep(0.5)
        first.send(signal.SIGSTOP)
        others = [g for g in c.gateways if g is not first]
        request_cold_models(c, others[0], 5)
        first.send(signal.SIGCONT)
        request_cold_models(c, others[0], 1)
        assert len({o[1] for o in all_orders(c)}) == 2
        check_one_holder(c)


def test_stopped_placer_places_to_its_end_and_again(build):
    """The leader is stopped and started again.  It places until its process
    ends, and the next process on that VM takes over within 1 s, without the
    guard interval that another VM must wait."""
    with Cluster(build, gateways=2) as c:
        first = c.leader()
        wait_until(c.all_linked)
        other = [g for g in c.gateways if g is not first][0]
        first.send(signal.SIGTERM)
        time.sleep(0.3)
        assert ask(other, "chat", "m2/a1")[0] == 200
        assert first.proc.wait(9) == 0
        first.start()
        started = now()
        wait_until(lambda: first.proc.poll() is None and first.is_ready() and
                   first.dump()["places"])
        assert now() - started < 1.0
        assert ask(other, "chat", "m0/a9")[0] == 200
        assert {o[1] for o in all_orders(c)} == {first.name}


def test_placer_that_stays_away_is_succeeded(build):
    """The leader is stopped and not started again: another VM takes over once
    the lease has expired, and gives orders after the guard interval."""
    with Cluster(build, gateways=2) as c:
        first = c.leader()
        wait_until(c.all_linked)
        other = [g for g in c.gateways if g is not first][0]
        request_cold_models(c, other, 0.5)
        first.send(signal.SIGTERM)
        assert first.proc.wait(9) == 0
        c.gateways = [other]
        stopped = now()
        wait_until(lambda: other.dump()["places"])
        assert now() - stopped < 3.0
        request_cold_models(c, other, 1.5)
        check_one_holder(c)


# From the last contact with a leader until the next one gives orders.
LEADER_CHANGE_S = 5.2


def test_leader_behind_an_open_port_is_succeeded(build):
    """Guards against a lease that nobody claims: the address of a dead leader
    accepts links and closes them again, as another process there would."""
    with Cluster(build, gateways=3, link_proxies=True) as c:
        first = c.leader()
        wait_until(c.all_linked)
        first.send(signal.SIGKILL)
        first.proc.wait()
        killed = now()
        c.leader()
        assert now() - killed < LEADER_CHANGE_S


def test_unanswered_orders_never_overcommit(build):
    """Engines carry out orders without a response.  What may have been loaded
    is counted until a report shows the state: no engine is ordered over its
    memory or adapter slots (checked when the cluster stops), and callers are
    served in the end."""
    with Cluster(build) as c:
        c.leader()
        for e in c.engines:
            e.drop_order_replies = 4
        request_cold_models(c, c.gateways[0], 4)
        assert ask(c.gateways[0], "chat", "m2")[0] == 200


def test_demand_reaches_the_placer_through_the_store(build):
    """A follower can't link to the leader but reaches the store: the models
    that its callers wait for are loaded all the same."""
    with Cluster(build, gateways=2, link_proxies=True) as c:
        first = c.leader()
        wait_until(c.all_linked)
        other = [g for g in c.gateways if g is not first][0]
        c.link_proxies[c.gateways.index(first)].set(cut=True)
        wait_until(lambda: not other.dump()["linked"])
        assert ask(other, "chat", "m2")[0] == 200
        assert not other.dump()["linked"]
        assert first.dump()["places"]


# A follower without a link counted the leader as lost a second after its last
# frame, though it read its renewals in the store, and refused its callers.
def test_follower_without_a_link_reads_that_its_leader_lives(build):
    with Cluster(build, gateways=2, link_proxies=True,
                 extra="[gateway]\nprefetch = false\n") as c:
        first = c.leader()
        wait_until(c.all_linked)
        other = [g for g in c.gateways if g is not first][0]
        c.link_proxies[c.gateways.index(first)].set(cut=True)
        wait_until(lambda: not other.dump()["linked"])
        time.sleep(2)
        assert ask(other, "chat", "m2")[0] == 200
        assert not other.dump()["linked"]


# A leader that stopped while its renewal was under way used its links after they
# were freed (seen by the address sanitizer).
def test_leader_stops_while_its_renewal_is_under_way(build):
    with Cluster(build, store_proxies=True,
                 extra="[gateway]\nprefetch = false\n") as c:
        g = c.leader()
        c.store_proxies[0].delay_s = 0.4
        time.sleep(1)
        g.send(signal.SIGTERM)
        assert g.proc.wait(10) == 0


def test_unknown_service_has_no_upstream(build):
    with Cluster(build) as c:
        c.store.put_config(config(30, [route("lone", "nobody",
                                             "non_idempotent")]))
        wait_until(lambda: c.gateways[0].dump()["config"] == 30)
        started = now()
        status, head, _, _ = ask(c.gateways[0], "lone")
        assert status == 503 and float(head["Retry-After"]) > 0
        assert now() - started < 0.6


def test_new_upstream_is_used(build):
    with Cluster(build) as c:
        late = Engine(free_port(), c.store, "a9", "app")
        c.apps.append(late)
        wait_until(lambda: ask(c.gateways[0], "read")[0] == 200 and late.runs)
