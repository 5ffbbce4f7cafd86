"""Placement while the log is unreachable, and recovery from it afterwards."""

import time

import pytest

from cluster import wait_until
from placement import (Ask, Watch, check_memory, count_loads, holders,
                       make_cluster, start, wait_owner)

ROUTER = "dc1-vm1-router"


def wait_grant(c, owner):
    """Wait until the grant covers all engines that fence, and is confirmed."""
    def holds():
        state = c.dump(owner)["state"]
        fenced = [u for u in state["upstreams"] if u["fenced"]]
        return state["grant"] == len(fenced) == 2 and all(
            u["confirmed"] for u in fenced)
    wait_until(holds, 20, "the grant confirmed on all engines")


def cut_log(c, owner):
    c.set_faults("log", down=True)
    wait_until(lambda: not c.dump(owner)["log_reachable"], 10,
               "the owner notices the outage")


def wait_recorded(c, model):
    def is_in():
        owner = wait_owner(c)
        return any(i["model"] == model for i in
                   c.dump(owner)["fold"]["data_centres"]["dc1"]["intents"])
    wait_until(is_in, 20, model + " in the log")


def test_owner_goes_on_within_its_grant(build):
    """The log is unreachable for longer than the lease.  Models on engines
    that fence are still loaded, each on the one engine that the owner's grant
    names; requests for models on engines that ignore fencing tokens are
    refused at once as not run.  No placer claims.  When the log is back, the
    loads are recorded; no model ever exceeded its ceiling."""
    with make_cluster(build, vms=2) as c:
        owner = start(c)
        wait_grant(c, owner)
        epoch = c.dump(owner)["state"]["epoch"]
        watch = Watch(c, "fen-one")
        cut_log(c, owner)
        began = time.monotonic()
        asks = [Ask(c, "dc1-vm%d-router" % (i % 2 + 1), "fen-one")
                for i in range(8)]
        for ask in asks:
            assert ask.result().status == 200, ask.answer.body
        a = Ask(c, ROUTER, "fen-small").result()
        assert a.status == 200, a.body
        began_refusal = time.monotonic()
        a = Ask(c, ROUTER, "ign-one").result()
        assert (a.status, a.outcome) == (503, "refused-not-run"), a.body
        assert int(a.headers["Retry-After"]) >= 1
        assert time.monotonic() - began_refusal < 3
        while time.monotonic() - began < 3:
            time.sleep(0.1)
        assert c.dump(owner)["state"]["owner"]
        c.set_faults("log", down=False)
        wait_recorded(c, "fen-one")
        wait_recorded(c, "fen-small")
        assert c.dump(owner)["state"]["epoch"] == epoch
        assert Ask(c, ROUTER, "ign-one").result().status == 200
        assert watch.stop() == 1
        assert count_loads(c, "fen-one") == 1
        check_memory(c)


@pytest.mark.parametrize("dead", ["owner", "every process"])
def test_owner_dies_in_the_outage(build, dead):
    """The owner loads a model under its grant and is killed before the log
    is back; or all processes of the system are.  The log has no record of
    the replica.  The successor fences the engine that the grant names, finds
    the replica there and records it; callers get it without a second load,
    though all routers report demand for the model from the beginning."""
    with make_cluster(build, vms=2) as c:
        owner = start(c)
        wait_grant(c, owner)
        watch = Watch(c, "fen-one")
        cut_log(c, owner)
        assert Ask(c, ROUTER, "fen-one").result().status == 200
        if dead == "owner":
            c.procs[owner].kill()
        else:
            for vm in c.vm_names():
                for role in ("placer", "router"):
                    c.procs[vm + "-" + role].kill()
            for vm in c.vm_names():
                c.start_vm(vm)
        time.sleep(2.5)
        c.set_faults("log", down=False)
        c.wait_ready()
        asks = [Ask(c, r, "fen-one") for r in c.routers() for _ in range(4)]
        for ask in asks:
            assert ask.result().status == 200, ask.answer.body
        wait_recorded(c, "fen-one")
        assert watch.stop() == 1
        assert len(holders(c, "fen-one")) == 1
        assert count_loads(c, "fen-one") == 1
        check_memory(c)


def test_possible_replica_counts_while_its_engine_is_silent(build):
    """As before, but the engine that holds the unrecorded replica is
    unreachable when the log comes back.  The successor cannot know whether
    the grant was used, and counts a possible replica there: requests for a
    model whose ceiling is one are refused, and it is not loaded a second
    time, until that engine answers."""
    c = make_cluster(build, vms=2)
    for e in c.engines:
        c.add_proxy(e["id"])
    with c:
        owner = start(c)
        wait_grant(c, owner)
        watch = Watch(c, "fen-one")
        cut_log(c, owner)
        assert Ask(c, ROUTER, "fen-one").result().status == 200
        there = holders(c, "fen-one")[0]
        c.procs[owner].kill()
        c.set_proxy(there, cut=True)
        # A restarted router has no record of the replica and reports demand.
        c.procs["dc1-vm2-router"].kill()
        c.set_faults("log", down=False)
        wait_owner(c, owner)
        c.start_daemon("dc1-vm2", "router")
        c.wait_port("dc1-vm2-router")
        c.wait_ready()
        for _ in range(2):
            a = Ask(c, "dc1-vm2-router", "fen-one").result()
            assert (a.status, a.outcome) == (503, "refused-not-run"), a.body
        c.set_proxy(there, cut=False)
        wait_until(lambda: Ask(c, "dc1-vm2-router",
                               "fen-one").result().status == 200, 20,
                   "the replica is found")
        assert watch.stop() == 1
        assert count_loads(c, "fen-one") == 1
