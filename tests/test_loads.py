"""Loads that fail, stall or end with their upstream."""

import signal
import time

from cluster import wait_until
from placement import (Ask, Watch, check_memory, count_loads, engine_names,
                       holders, make_cluster, start, wait_owner)

ROUTER = "dc1-vm1-router"


def test_load_that_dies_is_decided_again(build):
    """An engine accepts the order and the load fails, so its report lacks the
    model again.  The placer decides anew once, not twice, and the caller, who
    waits all the time, is served."""
    with make_cluster(build, vms=2) as c:
        start(c)
        for name in engine_names(c):
            c.set_faults(name, fail_loads=1)
        for model in ("fen-one", "ign-one"):
            watch = Watch(c, model)
            assert Ask(c, ROUTER, model).result().status == 200
            assert watch.stop() == 1
            assert count_loads(c, model) in (2, 3)
        check_memory(c)


def test_loads_that_keep_dying_refuse_their_callers(build):
    """Every load of the model fails.  The placer retries at growing
    intervals, and a caller that can't be served in time is refused as not run,
    with Retry-After, before its deadline."""
    with make_cluster(build, vms=1) as c:
        start(c)
        for name in engine_names(c, "ign"):
            c.set_faults(name, fail_loads=1000)
        began = time.monotonic()
        a = Ask(c, ROUTER, "ign-one").result()
        assert a.status == 503, a.body
        assert a.outcome == "refused-not-run"
        assert int(a.headers["Retry-After"]) >= 1
        assert time.monotonic() - began < 16
        assert count_loads(c, "ign-one") < 12


def test_engine_killed_in_a_load(build):
    """An engine is killed during a load and restarts empty, with a new boot
    id.  Orders to the former process are settled; the model is loaded once
    more and its caller served."""
    with make_cluster(build, vms=2) as c:
        start(c)
        for model, kind in (("fen-one", "fen"), ("ign-one", "ign")):
            for name in engine_names(c, kind):
                c.set_faults(name, stall_loads=True)
            ask = Ask(c, ROUTER, model)
            wait_until(lambda m=model: holders(c, m), 10, "load begun")
            dead = holders(c, model)[0]
            c.procs[dead].kill()
            c.procs[dead].start()
            c.wait_port(dead)
            watch = Watch(c, model)
            for name in engine_names(c, kind):
                c.set_faults(name, stall_loads=False)
            assert ask.result().status == 200, ask.answer.body
            assert watch.stop() == 1
        check_memory(c)


def test_stalled_load_is_not_begun_elsewhere(build):
    """A load stalls, as when the weight store hangs.  The model is not loaded
    on a second engine.  Its callers are refused at their deadlines, and later
    ones are served once the load has completed."""
    with make_cluster(build, vms=1) as c:
        start(c)
        for name in engine_names(c, "fen"):
            c.set_faults(name, stall_loads=True)
        asks = [Ask(c, ROUTER, "fen-one", "p%d" % i) for i in range(3)]
        wait_until(lambda: holders(c, "fen-one"), 10, "load begun")
        for ask in asks:
            a = ask.result()
            assert (a.status, a.outcome) == (503, "refused-not-run"), a.body
            assert int(a.headers["Retry-After"]) >= 1
        assert count_loads(c, "fen-one") == 1
        for name in engine_names(c, "fen"):
            c.set_faults(name, stall_loads=False)
        assert Ask(c, ROUTER, "fen-one").result().status == 200
        assert count_loads(c, "fen-one") == 1
        check_memory(c)


def test_vm_that_is_gone_frees_its_replica(build):
    """The VM of the only replica disappears: it answers nothing and is removed
    from the platform's list.  After gone_ms the placer no longer counts its
    replica and loads the model elsewhere."""
    with make_cluster(build, vms=1) as c:
        start(c)
        for model in ("fen-one", "ign-one"):
            assert Ask(c, ROUTER, model).result().status == 200
            dead = holders(c, model)[0]
            c.procs[dead].kill()
            c.vms = [v for v in c.vms if v["id"] != dead]
            c.set_vms(c.vms)
            wait_until(lambda m=model: c.complete(
                ROUTER, "drafting", m, "x").status == 200, 20,
                       "served elsewhere")
            assert len(holders(c, model)) == 1


def test_list_that_is_wrong_frees_nothing(build):
    """The platform's list omits a VM that is alive.  The VM still reports, so
    its replica counts and no second one is loaded."""
    with make_cluster(build, vms=1) as c:
        start(c)
        assert Ask(c, ROUTER, "ign-one").result().status == 200
        engine = holders(c, "ign-one")[0]
        watch = Watch(c, "ign-one")
        c.set_vms([v for v in c.vms if v["id"] != engine])
        until = time.monotonic() + 4
        while time.monotonic() < until:
            a = c.complete(ROUTER, "drafting", "ign-one", "x")
            assert a.status in (200, 503), a.body
        c.set_vms(c.vms)
        wait_until(lambda: c.complete(
            ROUTER, "drafting", "ign-one", "x").status == 200, 15, "back")
        assert watch.stop() == 1


def test_frozen_vm_that_comes_back_is_counted_first(build):
    """A VM is paused and off the platform's list for so long that it is taken
    for gone, and its model is loaded elsewhere.  Then it comes back with the
    replica still in memory.  The placer finds the replica, which is in no
    record, and unloads it before it places anything there."""
    with make_cluster(build, vms=1) as c:
        owner = start(c)
        assert Ask(c, ROUTER, "fen-one").result().status == 200
        frozen = holders(c, "fen-one")[0]
        c.procs[frozen].signal(signal.SIGSTOP)
        c.set_vms([v for v in c.vms if v["id"] != frozen])
        wait_until(lambda: c.complete(
            ROUTER, "drafting", "fen-one", "x").status == 200, 25,
                   "served elsewhere")
        c.procs[frozen].signal(signal.SIGCONT)
        c.set_vms(c.vms)
        wait_until(lambda: len(holders(c, "fen-one")) == 1, 15,
                   "the second replica unloaded")
        assert "fen-one" not in c.audit(frozen)["models"]
        assert Ask(c, ROUTER, "fen-two").result().status == 200
        assert wait_owner(c) == owner
        check_memory(c)


def test_replica_on_a_leaving_vm_moves(build):
    """The VM of the only replica leaves while it runs a long answer and
    callers keep coming.  No new work goes there, so they wait for a replica,
    which the limit of one replica forbids as long as the old one counts.  Once
    the answer is complete the replica is unloaded, although there is demand
    for its model, and loaded elsewhere in time for every caller."""
    with make_cluster(build, vms=1) as c:
        start(c)
        assert Ask(c, ROUTER, "fen-one").result().status == 200
        engine = holders(c, "fen-one")[0]
        watch = Watch(c, "fen-one")
        c.set_faults(engine, token_ms=200)
        long = Ask(c, ROUTER, "fen-one", "long")
        wait_until(lambda: c.audit(engine)["inflight"], 5, "the answer begun")
        c.set_vms([dict(v, state="leaving") if v["id"] == engine else v
                   for v in c.vms])
        asks = []
        for i in range(30):
            asks.append(Ask(c, ROUTER, "fen-one", "p%d" % i))
            time.sleep(0.1)
        for ask in asks:
            assert ask.result().status == 200, ask.answer.body
        assert long.result().status == 200
        assert holders(c, "fen-one") not in ([], [engine])
        assert watch.stop() == 1
