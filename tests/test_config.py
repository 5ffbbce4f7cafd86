"""An accepted configuration is in force in every process within seconds and
is never replaced by an older one, during partitions, restarts and outages of
the log."""

import http.client
import threading
import time

import pytest

from cluster import Cluster, wait_until
from configs import publish, revise

IN_FORCE_S = 3.0


class Watcher:
    """Polls every daemon.  Records an error if the version in force
    decreases, or if a ready daemon that had a configuration has none."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.highest = {}
        self.faults = []
        self.polls = 0
        self.completed = False  # the thread was stopped, not ended by an error
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        while not self.stopping.is_set():
            for name in self.cluster.daemons():
                try:
                    dump = self.cluster.dump(name)
                except (OSError, ValueError, http.client.HTTPException):
                    continue  # it is starting, or was killed meanwhile
                self.check(name, dump["config_version"], dump["ready"])
        self.completed = True

    def check(self, name, version, ready):
        self.polls += 1
        top = self.highest.get(name, 0)
        # A process that is not ready refuses all calls, so it may start
        # without a configuration.
        if version < top and (ready or version > 0):
            self.faults.append((name, top, version))
        self.highest[name] = max(version, top)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *args):
        self.stopping.set()
        self.thread.join()
        if args[0] is None:
            assert self.completed and self.polls > 0 and self.faults == []


def make(build, centres=("dc1", "dc2"), vms=2, cut=(), **kinds):
    c = Cluster(build, centres=centres, vms_per_centre=vms, engines=[],
                services=[], **kinds)
    for centre in cut:
        c.add_log_proxy(centre)
    return c


def test_in_force_everywhere_in_seconds(build):
    with make(build) as c:
        version = publish(c, "t")
        assert c.wait_in_force(version) < 10
        for i in range(5):
            version = revise(c, "t", version, priority=i)
            assert c.wait_in_force(version) < IN_FORCE_S


@pytest.mark.parametrize("fault", [{"cut": True}, {"freeze": True},
                                   {"one_way": "down"}],
                         ids=["cut", "frozen", "one-way"])
def test_centre_cut_off_from_the_log(build, fault):
    """One data centre can't reach the log, the other one can.  It must get
    the entries from there over a bridge within seconds, instead of keeping
    the old configuration, and read the log itself again afterwards."""
    with make(build, cut=("dc2",)) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        c.set_proxy("log-dc2", **fault)
        for i in range(3):
            version = revise(c, "t", version, priority=i)
            assert c.wait_in_force(version) < IN_FORCE_S
        c.set_proxy("log-dc2", cut=False, freeze=False, one_way="")
        version = revise(c, "t", version, priority=7)
        assert c.wait_in_force(version) < IN_FORCE_S
        wait_until(lambda: 1 in [c.dump(p)["log_hops"]
                                 for p in c.placers("dc2")], 15,
                   "a reader in dc2")


def test_all_vms_are_replaced_while_the_log_is_down(build):
    """The log is down, and every VM in turn is replaced by an empty one.
    Each new VM gets the state from the running ones: the last accepted
    version stays in force everywhere."""
    with make(build) as c:
        version = publish(c, "t")
        version = revise(c, "t", version, priority=9)
        c.wait_in_force(version)
        c.set_faults("log", down=True)
        with Watcher(c):
            for vm in c.vm_names():
                c.kill_vm(vm)
                c.start_vm(vm)
                c.wait_ready()
                c.wait_in_force(version)
        c.set_faults("log", down=False)
        version = revise(c, "t", version, priority=8)
        c.wait_in_force(version)


def test_starting_vm_never_serves_an_old_version(build):
    """A VM starts when the log holds many versions and reads them page by
    page.  No old version may come into force meanwhile: callers would see an
    older configuration."""
    with make(build, centres=("dc1",)) as c:
        version = publish(c, "t")
        for i in range(40):
            version = revise(c, "t", version, priority=i % 9)
        # An accepted version is not in force everywhere at once, and the
        # watcher treats any lower version from now on as an error.
        c.wait_in_force(version)
        c.set_faults("log", slow_ms=20, page=5)
        with Watcher(c) as w:
            w.highest = {d: version for d in c.daemons()}
            for vm in c.vm_names():
                c.kill_vm(vm)
                c.start_vm(vm)
                c.wait_ready()
        log = c.procs["dc1-vm2-router"].read_log()
        start = log.rindex("serves on")
        assert log[start:].count("is in force") == 1


def test_readers_of_the_log_are_killed(build):
    """The placers that read the log for a data centre are killed right after
    a revision is accepted.  Processes that got entries from them must switch
    to other sources, or to the log, in time for the usual bound."""
    with make(build, vms=3) as c:
        version = publish(c, "t")
        c.wait_in_force(version)
        readers = [p for p in c.placers("dc1")
                   if c.dump(p)["log_hops"] == 1]
        assert readers
        version = revise(c, "t", version, priority=2)
        for name in readers:
            c.procs[name].kill()
        start = time.monotonic()
        alive = [d for d in c.daemons() if d not in readers]
        wait_until(lambda: {c.dump(d)["config_version"] for d in alive}
                   == {version}, 15, "in force")
        assert time.monotonic() - start < IN_FORCE_S
        version = revise(c, "t", version, priority=3)
        wait_until(lambda: {c.dump(d)["config_version"] for d in alive}
                   == {version}, IN_FORCE_S + 2, "in force")
