"""Processes start without state while the log is down or has lost, damaged or
replaced entries."""

import os
import signal
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, call, wait_until
from configs import log_kinds, publish, revise

SOON = {"log": {"checkpoint_entries": "20", "checkpoint_ms": "600000"}}
RARE = {"log": {"checkpoint_entries": "1000000",
                "checkpoint_ms": "2000000000"}}


def make(build, centres=("dc1",), vms=2, log_args=(), settings=None):
    per_role = {"router": settings or RARE, "placer": settings or RARE}
    return Cluster(build, centres=centres, vms_per_centre=vms, engines=[],
                   services=[], log_args=log_args, settings=per_role)


def wait_gone(c, vms):
    for vm in vms:
        c.kill_vm(vm)


def wait_same(c):
    """All daemons have the same offset and the same digest."""
    def same():
        dumps = [c.dump(d) for d in c.daemons()]
        if len({d["fold"]["offset"] for d in dumps}) != 1:
            return None
        return {d["digest"] for d in dumps}
    digests = wait_until(same, 15, "one offset everywhere")
    assert len(digests) == 1


def append_some(c, name, base, count):
    for i in range(count):
        base = revise(c, name, base, priority=i % 9)
    return base


def emit(build, word):
    """The bytes of a batch, made by script_fold."""
    res = subprocess.run([os.path.join(build, "script_fold")],
                         input="emit %s\n" % word, capture_output=True,
                         text=True, timeout=20, check=True)
    return bytes.fromhex(res.stdout.strip())


def test_start_after_retention_cut_the_tail(build):
    """Guards against a template lost to the log's retention.  It is published
    once; then other records follow until the log no longer keeps its entry,
    and all VMs are replaced at once.  Without a checkpoint in the kept part of
    the log, the new VMs would not know the template and would refuse its
    callers."""
    with make(build, log_args=("--keep", "250"), settings=SOON) as c:
        old = publish(c, "steady")
        version = append_some(c, "busy", publish(c, "busy"), 270)
        state = c.call("log", "GET", "/test/state").json()
        assert state["first"] > old, "retention did not reach it"
        wait_gone(c, c.vm_names())
        for vm in c.vm_names():
            c.start_vm(vm)
        c.wait_ready()
        c.wait_in_force(version)
        wait_same(c)
        for d in c.daemons():
            assert c.dump(d)["fold"]["templates"] == {
                "steady": old, "busy": version}


def test_start_with_the_log_down_takes_a_peers_state(build):
    """A VM is replaced while the log is down.  It starts from the state of
    its peers and serves."""
    with make(build) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        c.set_faults("log", down=True)
        c.kill_vm("dc1-vm1")
        c.start_vm("dc1-vm1")
        c.wait_ready()
        assert c.wait_in_force(version) < 10


def read_first_answer(port, target):
    """The answer to the first call of TARGET that reaches the process."""
    def ask():
        try:
            return call(port, "GET", target)
        except OSError:
            return None  # not listening yet
    return wait_until(ask, what="an answer")


def test_first_answer_of_a_process_is_its_own(build, monkeypatch):
    """Guards against the web server's own 404 while a process starts: a caller
    takes it for a model or workspace that doesn't exist."""
    with make(build, vms=1) as c:
        wait_gone(c, c.vm_names())
        library = os.path.abspath(os.path.join(build, "slow_start.so"))
        monkeypatch.setenv("LD_PRELOAD", library)
        monkeypatch.setenv("ASAN_OPTIONS", "verify_asan_link_order=0")
        c.start_vm(c.vm_names()[0])
        monkeypatch.undo()
        a = read_first_answer(c.port(c.routers()[0]), "/v1/models")
        assert a.status == 503
        assert a.outcome == "refused-not-run"


def test_start_with_neither_log_nor_peers_refuses(build):
    """All VMs are replaced while the log is down, so no process has a state.
    Callers get 503 with refused-not-run and Retry-After (a 401 or 404 could
    be wrong), and /readyz fails.  Once the log is back they serve."""
    with make(build) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        c.set_faults("log", down=True)
        wait_gone(c, c.vm_names())
        for vm in c.vm_names():
            c.start_vm(vm)
        for name in c.routers():
            c.wait_port(name)
            a = c.call(name, "GET", "/readyz")
            assert a.status == 503
            a = c.ask(name, "registry", "/v1/completions",
                      {"model": "t-m", "prompt": "p"})
            assert (a.status, a.outcome) == (503, "refused-not-run")
            assert int(a.headers["Retry-After"]) > 0
        c.set_faults("log", down=False)
        c.wait_ready()
        c.wait_in_force(version)


def is_read_by_all(c):
    end = c.call("log", "GET", "/test/state").json()["next"]
    return all(c.dump(d)["fold"]["offset"] == end - 1 for d in c.daemons())


def test_outage_longer_than_retention(build):
    """The log is down for longer than its retention, so it is empty when it is
    back.  The VMs still have the state, and routers have records queued
    (claims of idempotency keys).  The checkpoint must be appended before
    those, so that VMs which start later, with all others gone, find the
    state."""
    service = {"id": "dc1-sadasya-ledger", "centre": "dc1",
               "deployment": "sadasya-ledger"}
    rare = {"router": RARE, "placer": RARE}
    with Cluster(build, centres=("dc1",), vms_per_centre=2, engines=[],
                 services=[service], settings=rare) as c:
        c.publish_samples()
        version = max(c.dump("dc1-vm1-router")["fold"]["templates"].values())
        c.wait_in_force(version)
        wait_until(lambda: c.owner("dc1"), 15, "owner")
        # A record that nobody has read yet would be lost with the log.
        c.set_faults("log", appends_down=True)
        wait_until(lambda: is_read_by_all(c), what="reads to the end")
        c.set_faults("log", down=True, appends_down=False)
        c.call("log", "PUT", "/test/expire")
        with ThreadPoolExecutor(8) as pool:
            for i in range(8):
                pool.submit(c.ask, c.routers()[i % 2], "registry",
                            "/v1/services/member-registry/x", {"n": i},
                            {"Idempotency-Key": "certificate-%d" % i})
            time.sleep(1.5)  # appends of their claims are tried and fail
            # The log takes appends again before it can be read.
            c.set_faults("log", reads_down=True, down=False)
            time.sleep(2.5)
            c.set_faults("log", reads_down=False)
        wait_until(lambda: any("checkpoint" in k for _, k in log_kinds(c)),
                   15, "checkpoint")
        kinds = [k for _, entry in log_kinds(c) for k in entry]
        assert kinds[0] == "checkpoint", kinds
        wait_gone(c, c.vm_names())
        for vm in c.vm_names():
            c.start_vm(vm)
        c.wait_ready()
        c.wait_in_force(version)
        wait_same(c)


def test_replaced_log_reverts_nothing(build):
    """The log was replaced by an empty one that begins at offset 1.  The VMs
    keep their state and report the fault, and a VM that starts takes its
    state from them."""
    with make(build) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        # No append may be in flight to the new log: it would hide the loss.
        wait_until(lambda: c.owner("dc1"), 15, "owner")
        c.call("log", "PUT", "/test/reset")
        wait_until(lambda: any("below what was seen" in c.dump(d)["fault"]
                               for d in c.placers("dc1")), 15, "fault")
        c.kill_vm("dc1-vm1")
        c.start_vm("dc1-vm1")
        c.wait_ready()  # routers; placers may still be without state
        for d in c.placers("dc1"):
            wait_until(lambda n=d: c.call(n, "GET", "/readyz").status == 200,
                       15, d + " ready")
        assert set(c.versions().values()) == {version}


def test_paused_owner_comes_back_behind_the_log(build):
    """The owner of a data centre is paused and another placer claims it.  So
    many entries follow that neither the log nor any process keeps those in
    between.  The former owner resumes and restores a state whose offset is far
    above the other's claim.  It must notice at once that it no longer owns the
    data centre: its next order would carry the state's offset, which is higher
    than its successor's fencing token."""
    with make(build, settings=SOON) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        old = wait_until(lambda: c.owner("dc1"), 15, "owner")
        names = [old, old.replace("placer", "router")]
        for name in names:
            c.procs[name].signal(signal.SIGSTOP)
        other = [p for p in c.placers("dc1") if p != old][0]
        wait_until(lambda: c.dump(other)["state"]["owner"], 15, "new owner")
        c.set_faults("log", keep=30)
        for _ in range(60):  # entries that take space but change no state
            at = c.call("log", "POST", "/test/raw",
                        b"x" * 100000).json()["offset"]
            wait_until(lambda n=at: c.dump(other)["fold"]["offset"] >= n, 15,
                       "the other reads on")
        wait_until(lambda: any("checkpoint" in k for _, k in log_kinds(c)),
                   15, "checkpoint")
        version = revise(c, "t", version, priority=7)
        for name in names:
            c.procs[name].signal(signal.SIGCONT)
        c.wait_in_force(version)
        wait_same(c)
        assert "State at offset" in c.procs[old].read_log()
        wait_until(lambda: not c.dump(old)["state"]["owner"], 5,
                   "the old owner steps down")
        assert c.dump(other)["state"]["owner"]


def test_newer_format_holds(build):
    """A newer version appends a batch of an unknown format.  Skipping an entry
    that newer processes apply would give two different states at one offset.
    So the process stays at the offset before it, reports that, and goes on
    serving."""
    with make(build) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        data = emit(c.build, "newer")
        at = c.call("log", "POST", "/test/raw", data).json()["offset"]
        c.bglade("revise", "--base", version, *[
            os.path.join(c.dir, n) for n in ("t.ini", "t-w0.ini")],
            check=False)
        for d in c.daemons():
            wait_until(lambda n=d: "Held at offset %d" % at
                       in c.dump(n)["fault"], 15, d + " held")
        for d in c.routers():
            assert c.dump(d)["config_version"] == version
            wait_until(lambda n=d: b"Held at offset" in
                       c.call(n, "GET", "/readyz").body, 15, "said so")
            assert c.call(d, "GET", "/readyz").status == 200


@pytest.mark.parametrize("word", ["truncated", "corrupt", "garbage"])
def test_bad_entry_is_skipped(build, word):
    """The log holds an entry that does not decode.  Every process skips the
    whole entry, logs that, and applies the next; all have the same state."""
    with make(build) as c:
        version = publish(c, "t")
        at = c.call("log", "POST", "/test/raw",
                    emit(c.build, word)).json()["offset"]
        version = revise(c, "t", version, priority=7)
        c.wait_in_force(version)
        wait_same(c)
        text = c.procs["dc1-vm1-placer"].read_log()
        assert "Entry %d is skipped" % at in text


@pytest.mark.parametrize("fault", ["damage", "shuffle"])
def test_bad_read_loses_nothing(build, fault):
    """Entries are intact in the log but are read damaged or out of order.  A
    process that skipped them would lack them for good; it reads them again
    instead."""
    with make(build) as c:
        base = publish(c, "t")
        c.wait_in_force(base)
        names = ["dc1-vm1-placer", "dc1-vm1-router", "dc1-vm2-placer",
                 "dc1-vm2-router"]
        for name in names:
            c.procs[name].signal(signal.SIGSTOP)
        version = append_some(c, "t", base, 3)
        c.set_faults("log", **{fault: 3})
        for name in names:
            c.procs[name].signal(signal.SIGCONT)
        c.wait_in_force(version)
        wait_same(c)
        assert c.set_faults("log")[fault] < 3, "no read was spoiled"
