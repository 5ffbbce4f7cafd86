"""Soak of processes only (soak.py --processes): gateways and upstreams, paused,
killed and restarted at any moment, with callers that keep connections and that
don't.  It checks that what may run once at most does, that what was refused
never runs, and that callers get the answers to their own requests.
"""

import http.client
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

from cluster import free_port
from fake_platform import Store, config, route, workspace
from path_relay import PathRelays
from platform_cluster import Gateway, ask
from upstream_process import Upstream

CALLERS = 24
GATEWAYS = 4
KEY = "k" * 20
REFUSED = (408, 421, 429, 503)   # not run, and never will be
ONCE = ("pay", "sum")
SETTLE_S = 2.0   # after the last fault: what still waits anywhere runs


def make_config(version, rng):
    timeout_ms = rng.choice([1500, 3000, 4000])
    routes = [
        route("read", "app", "idempotent", timeout_ms=timeout_ms),
        route("pay", rng.choice(["app", "app2"]), "non_idempotent", attempts=1,
              timeout_ms=timeout_ms),
        route("chat", "llm", "streaming", resumable=True),
        route("sum", "llm", "streaming", attempts=1)]
    doc = config(version, routes=routes,
                 workspaces=[workspace("w", [KEY], rate_limit=400)])
    doc["services"].append(dict(doc["services"][0], name="app2"))
    doc["limits"]["max_body_bytes"] = rng.choice([65536, 4194304])
    return doc


class ProcessSoak:
    def __init__(self, build, seed, spoil=0.0, cuts=False):
        self.rng = random.Random(seed)
        self.dir = tempfile.mkdtemp(prefix="bglade-soak-")
        self.store = Store(free_port())
        self.version = 3
        self.store.put_config(make_config(3, self.rng))
        self.spoil = spoil
        self.upstreams = [
            self.start_upstream("a%d" % i, service=service, places=3)
            for i, service in enumerate(["app", "app", "app2", "app2"])]
        self.upstreams += [
            self.start_upstream("e%d" % i, service="llm", models=models,
                                places=4)
            for i, models in enumerate(["m0,m1", "m0", "m2"])]
        self.paths = PathRelays(build) if cuts else None
        self.gateways = []
        for i in range(GATEWAYS):
            g = Gateway(build, self.store, "vm%d" % i)
            if i % 2:
                self.set_data_centre(g, "z2")
            if cuts:
                g.env = self.paths.make_env(
                    g.name, [u.address for u in self.upstreams])
            self.gateways.append(g.start())
        self.results = []   # (kind, id, status)
        self.lock = threading.Lock()
        self.stopping = False
        self.violations = []
        self.runs = 0

    def start_upstream(self, name, **options):
        """Each is in one of two data centres; three of five spoil answers."""
        spoils = self.rng.random() < 0.6
        return Upstream(self.store, name, self.dir,
                        zone="z%d" % (1 + int(name[1]) % 2),
                        spoil=self.spoil if spoils else 0,
                        seed=self.rng.getrandbits(30), **options).start()

    @staticmethod
    def set_data_centre(gateway, name):
        with open(gateway.settings, encoding="utf-8") as f:
            text = f.read()
        with open(gateway.settings, "w", encoding="utf-8") as f:
            f.write(text.replace("data_centre = z1", "data_centre = " + name))

    # ---- faults: each takes its time, several overlap

    def pause(self, process):
        process.send(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.1, 3))
        process.send(signal.SIGCONT)

    def fault_pause_upstream(self):
        self.pause(self.rng.choice(self.upstreams))

    def fault_pause_gateway(self):
        self.pause(self.rng.choice(self.gateways))

    def fault_series(self):
        """Short pauses of one process, one after the other."""
        process = self.rng.choice(self.upstreams + self.gateways)
        for _ in range(self.rng.randint(2, 8)):
            process.send(signal.SIGSTOP)
            time.sleep(self.rng.uniform(0.01, 0.4))
            process.send(signal.SIGCONT)
            time.sleep(self.rng.uniform(0.005, 0.2))

    def fault_kill_upstream(self):
        """Another process is back at its address, or it comes elsewhere."""
        u = self.rng.choice(self.upstreams)
        with self.lock:
            if u.proc.poll() is not None:
                return
            u.kill()
        time.sleep(self.rng.uniform(0.05, 1.5))
        if not self.paths and self.rng.random() < 0.3:
            u.port = free_port()
        u.start()

    def fault_end_gateway(self):
        g = self.rng.choice(self.gateways)
        with self.lock:
            if g.proc.poll() is not None:
                return
            proc = g.proc
            proc.send_signal(self.rng.choice(
                [signal.SIGKILL, signal.SIGTERM, signal.SIGTERM]))
        try:
            proc.wait(10)
        except subprocess.TimeoutExpired:   # it is paused meanwhile
            proc.kill()
            proc.wait()
        with self.lock:
            if g.proc is proc:   # another fault may have restarted it
                g.start()

    def fault_hup(self):
        g = self.rng.choice(self.gateways)
        if g.proc.poll() is None and g.has_started():
            g.send(signal.SIGHUP)

    def fault_config(self):
        with self.lock:
            self.version += 1
            self.store.put_config(make_config(self.version, self.rng))

    def fault_paths(self):
        cut = [g.name for g in self.rng.sample(self.gateways,
                                               self.rng.randint(1, 3))]
        to = [u.address for u in self.rng.sample(
            self.upstreams, self.rng.randint(1, len(self.upstreams)))]
        self.paths.set_mode(cut, to, self.rng.choice(
            ["hang", "reset", "refuse", "silent"]))
        time.sleep(self.rng.uniform(0.2, 2.5))
        self.paths.set_mode(cut, to, "open")

    def run_faults(self, until):
        faults = [self.fault_pause_upstream, self.fault_pause_gateway,
                  self.fault_series, self.fault_kill_upstream,
                  self.fault_end_gateway, self.fault_hup, self.fault_config]
        if self.paths:
            faults += [self.fault_paths] * 2
        threads = []
        while time.monotonic() < until:
            threads.append(threading.Thread(target=self.rng.choice(faults)))
            threads[-1].start()
            time.sleep(self.rng.uniform(0.05, 0.7))
        for t in threads:
            t.join()

    # ---- callers

    def send_one(self, rng, conns):
        kind = rng.choice(["pay", "pay", "pay", "sum", "read", "chat"])
        model = "m%d" % rng.choice([0, 0, 1, 2]) if (
            kind in ("sum", "chat")) else None
        g = rng.choice(self.gateways)
        kept = rng.random() < 0.5
        conn = conns.get(g) if kept else None
        if kept and not conn:
            conn = conns[g] = http.client.HTTPConnection(
                "127.0.0.1", g.front, timeout=10)
        rid = "%016x" % rng.getrandbits(64)
        status, data = 0, b""
        try:
            status, _, data, _ = ask(
                g, kind, model, rid=rid, body=rid.encode() * rng.choice(
                    [1, 1, 1, 500]), conn=conn,
                deadline_ms=rng.choice([150, 400, 1000, 2500, 2500]),
                headers={"X-Api-Key": KEY})
        except (OSError, http.client.HTTPException):
            conns.pop(g, None)
        with self.lock:
            self.results.append((kind, rid, status))
        if status == 200 and kind in ("pay", "read") and (
                rid.encode() not in data):
            self.violations.append("%s %s: another's answer %r" % (
                kind, rid, data[:100]))

    def run_caller(self, seed):
        rng, conns = random.Random(seed), {}
        while not self.stopping:
            self.send_one(rng, conns)
            time.sleep(rng.random() * 0.03)

    # ---- the run

    def check(self):
        runs = {}
        for u in self.upstreams:
            for rid in u.read("run"):
                runs[rid] = runs.get(rid, 0) + 1
        self.runs = sum(runs.values())
        for kind, rid, status in self.results:
            if kind not in ONCE:
                continue
            if runs.get(rid, 0) > 1:
                self.violations.append("TWICE %s %s ran %d times, answered %d"
                                       % (kind, rid, runs[rid], status))
            if status in REFUSED and rid in runs:
                self.violations.append("REFUSED %s %s ran, answered %d" % (
                    kind, rid, status))

    def run(self, seconds):
        for _ in range(100):
            if all(g.is_ready() for g in self.gateways):
                break
            time.sleep(0.1)
        callers = [threading.Thread(target=self.run_caller,
                                    args=(self.rng.getrandbits(32),))
                   for _ in range(CALLERS)]
        for t in callers:
            t.start()
        self.run_faults(time.monotonic() + seconds)
        self.stopping = True
        for process in self.upstreams + self.gateways:
            process.send(signal.SIGCONT)
        for t in callers:
            t.join()
        time.sleep(SETTLE_S)
        self.check()

    def remove_files(self):
        shutil.rmtree(self.dir)
        for g in self.gateways:
            shutil.rmtree(g.dir)

    def stop(self):
        for g in self.gateways:
            g.proc.kill()
            g.proc.wait()
        for u in self.upstreams:
            u.stop()
        self.store.stop()
        if self.paths:
            self.paths.stop()


def run_seed(build, seed, args):
    """Whether nothing was broken.  ARGS: seconds, spoil and cuts."""
    soak = ProcessSoak(os.path.abspath(build), seed, args.spoil, args.cuts)
    try:
        soak.run(args.seconds)
    finally:
        soak.stop()
    counts = {}
    for _, _, status in soak.results:
        counts[status] = counts.get(status, 0) + 1
    late = sum(len(u.read("late")) for u in soak.upstreams)
    print("seed %d: %s, %d requests %s, %d runs, %d late copies" % (
        seed, "ok" if not soak.violations else "BROKEN", len(soak.results),
        sorted(counts.items()), soak.runs, late))
    for what in soak.violations[:10]:
        print("    " + what)
    if soak.violations:
        print("    records: %s, logs: %s" % (
            soak.dir, " ".join(g.log_path for g in soak.gateways)))
    else:
        soak.remove_files()
    sys.stdout.flush()
    return not soak.violations
