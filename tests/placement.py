"""Shared by the placement tests: a template with models of one or two
replicas, on engines that check fencing tokens ("fen") and on engines that
ignore them ("ign"), and helpers that inspect the engines themselves."""

import os
import signal
import threading

from cluster import Cluster, wait_until

TEMPLATE = """[template]
name = place
cold_second_cost = 100
idle_hour_cost = 10
[upstreams fen]
kind = engine
fencing = checked
[upstreams ign]
kind = engine
fencing = ignored
[model fen-one]
upstreams = fen
memory_mb = 50000
replicas = 1
load_ms = 300
wait_ms = 8000
[model fen-two]
upstreams = fen
memory_mb = 50000
replicas = 2
load_ms = 300
wait_ms = 8000
[adapter fen-small]
base = fen-one
memory_mb = 100
[model ign-one]
upstreams = ign
memory_mb = 50000
replicas = 1
load_ms = 300
wait_ms = 8000
[workspace]
models = *
"""
KEY_DIGEST = ("d87bddde1ad9dfcb4540dc7229e11092c75539707cefe4b92de608ca8d2c"
              "0f92")
VALUES = """[workspace]
name = place-w
template = place
keys_sha256 = %s
""" % KEY_DIGEST
LEASE_MS = 1000


def make_cluster(build, vms=2, engines=2, settings=None, **more):
    """One data centre; ENGINES of each kind; not started yet."""
    lists = [{"id": "dc1-%s%d" % (kind, i + 1), "centre": "dc1",
              "deployment": kind,
              "args": {"fencing": "checked" if kind == "fen" else "ignored"}}
             for kind in ("fen", "ign") for i in range(engines)]
    placer = {"lease_ms": LEASE_MS, "gone_ms": 1500,
              "store_starts_per_minute": 6000}
    placer.update(settings or {})
    return Cluster(build, centres=("dc1",), vms_per_centre=vms,
                   engines=lists, services=[], settings={"placer": {
                       "placer": placer}}, **more)


def publish(c, template=TEMPLATE):
    paths = []
    for name, text in (("t.ini", template), ("v.ini", VALUES)):
        paths.append(os.path.join(c.dir, name))
        with open(paths[-1], "w", encoding="utf-8") as f:
            f.write(text)
    c.bglade("publish", *paths)
    c.wait_ready()


def wait_owner(c, other_than=None, limit_s=15):
    def find():
        for name in c.placers("dc1"):
            if name == other_than or not c.procs[name].is_running():
                continue
            try:
                state = c.dump(name)["state"]
            except OSError:
                continue
            if state["owner"]:
                return name
        return None
    return wait_until(find, limit_s, "an owner")


def wait_settled(c, owner):
    """Wait until OWNER may send orders to every upstream, and knows which of
    them fence."""
    def is_so():
        ups = [u for u in c.dump(owner)["state"]["upstreams"]
               if not u["gone"]]
        return all(u["settled"] and u["fenced"] == ("fen" in u["id"])
                   for u in ups)
    wait_until(is_so, 15, "upstreams settled")


def start(c):
    """Publish the configuration, and wait for an owner with all upstreams
    settled."""
    publish(c)
    owner = wait_owner(c)
    wait_settled(c, owner)
    return owner


def engine_names(c, kind=""):
    return [e["id"] for e in c.engines if kind in e["id"]]


def holders(c, model):
    """Engines that hold MODEL now, loaded or loading."""
    return [n for n in engine_names(c) if c.procs[n].is_running()
            and model in c.audit(n)["models"]]


def count_loads(c, model):
    return sum(c.audit(n)["loads"].get(model, 0) for n in engine_names(c)
               if c.procs[n].is_running())


def check_memory(c):
    for name in engine_names(c):
        if c.procs[name].is_running():
            assert c.audit(name)["overcommits"] == 0, name


class Ask(threading.Thread):
    """A request in the background."""

    def __init__(self, c, router, model, prompt="p"):
        super().__init__(daemon=True)
        self.args = (router, "drafting", model, prompt)
        self.cluster = c
        self.answer = None
        self.start()

    def run(self):
        self.answer = self.cluster.complete(*self.args)

    def result(self, limit_s=30):
        self.join(limit_s)
        assert self.answer is not None, "the caller was never answered"
        return self.answer


class Watch(threading.Thread):
    """Polls the engines every 50 ms for the largest number of replicas of
    MODEL that were held at once."""

    def __init__(self, c, model):
        super().__init__(daemon=True)
        self.cluster, self.model = c, model
        self.max_held = 0
        self.done = threading.Event()
        self.start()

    def run(self):
        while not self.done.wait(0.05):
            try:
                self.max_held = max(self.max_held, len(
                    holders(self.cluster, self.model)))
            except OSError:
                pass

    def stop(self):
        self.done.set()
        self.join()
        return self.max_held


def stop_process(c, name):
    c.procs[name].signal(signal.SIGSTOP)


def resume_process(c, name):
    c.procs[name].signal(signal.SIGCONT)
