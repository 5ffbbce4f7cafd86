"""Measures placement: cold first-token latency against idle accelerator hours.

One second of the run represents a minute.  For each user the same seeded trace
runs in one small data centre for each policy, all in parallel, with real
routers and placers and simulated engines, store and log.  Then a burst of
callers requests cold models.  Prints markdown tables.
"""

import argparse
import os
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from cluster import Cluster

SCALE = 60  # seconds that one second of the run represents
KEYS_SHA = "d87bddde1ad9dfcb4540dc7229e11092c75539707cefe4b92de608ca8d2c0f92"
CAPACITY_MB = 80000
USERS = {
    "Samiti": {"fencing": "checked", "engines": 4, "models": 12,
               "memory_mb": 30000, "load_ms": 400, "cold": 10, "idle": 600},
    "Kuura": {"fencing": "ignored", "engines": 3, "models": 8,
              "memory_mb": 30000, "load_ms": 300, "cold": 100, "idle": 300}}
POLICIES = [("break-even", "break_even", 1.0),
            ("fixed 10 min", "fixed", 1.0),
            ("LRU, until memory is needed", "lru", 1.0)]
WEIGHTS = [0.3, 0.1, 0.01]


def write_template(user, weight, path):
    u = USERS[user]
    text = ("[template]\nname = bench\ncold_second_cost = %d\n"
            "idle_hour_cost = %d\n[upstreams lm]\nkind = engine\n"
            "fencing = %s\n" % (round(100 * u["cold"] * weight), 100 * u["idle"],
                                u["fencing"]))
    for i in range(u["models"]):
        text += ("[model m%d]\nupstreams = lm\nmemory_mb = %d\nreplicas = 1\n"
                 "load_ms = %d\nwait_ms = 10000\n" % (i, u["memory_mb"],
                                                      u["load_ms"]))
    text += ("[workspace]\nmodels = *\nrequests_per_second = 1000\n"
             "tokens_per_minute = 9999999\n")
    with open(path, "w", encoding="utf-8") as f:
        f.write(text)


def make_trace(user, seconds, seed):
    """(time, model) pairs: sessions of a few requests with long gaps."""
    rng = random.Random(seed)
    out = []
    for i in range(USERS[user]["models"]):
        gap_s = rng.choice([4, 8, 15, 30])
        at = rng.expovariate(1 / gap_s)
        while at < seconds:
            burst = at
            for _ in range(1 + int(rng.expovariate(1 / 3))):
                out.append((burst, "m%d" % i))
                burst += rng.expovariate(1 / 0.5)
            at = burst + rng.expovariate(1 / gap_s)
    return sorted(o for o in out if o[0] < seconds)


def make_cluster(build, user, policy, weight):
    u = USERS[user]
    engines = [{"id": "dc1-lm%d" % i, "centre": "dc1", "deployment": "lm",
                "args": {"fencing": u["fencing"]}}
               for i in range(u["engines"])]
    c = Cluster(build, centres=("dc1",), vms_per_centre=2, engines=engines,
                services=[], settings={"placer": {"placer": {
                    "keep_policy": policy, "keep_min_ms": 200,
                    "fixed_keep_ms": int(600000 / SCALE)}}})
    c.start()
    paths = [os.path.join(c.dir, n) for n in ("t.ini", "v.ini")]
    write_template(user, weight, paths[0])
    with open(paths[1], "w", encoding="utf-8") as f:
        f.write("[workspace]\nname = w\ntemplate = bench\nkeys_sha256 = %s\n"
                % KEYS_SHA)
    c.bglade("publish", *paths)
    c.wait_ready()
    while not c.owner("dc1"):
        time.sleep(0.05)
    time.sleep(3)
    return c


class Sampler(threading.Thread):
    """Integrates idle memory over time, in accelerator seconds."""

    def __init__(self, c):
        super().__init__(daemon=True)
        self.c, self.idle_s, self.done = c, 0.0, threading.Event()
        self.start()

    def run(self):
        last = time.monotonic()
        while not self.done.wait(0.1):
            idle = sum(self.c.audit(e["id"])["idle_mb"]
                       for e in self.c.engines)
            now = time.monotonic()
            self.idle_s += (now - last) * idle / CAPACITY_MB
            last = now


def ask(c, model, at):
    began = time.monotonic()
    a = c.complete("dc1-vm%d-router" % (1 + at % 2), "drafting", model,
                   "p%d" % at, tokens=1)
    return a.status, (time.monotonic() - began) * 1000


def run_trace(c, trace):
    start = time.monotonic() + 0.2
    sampler = Sampler(c)
    with ThreadPoolExecutor(64) as pool:
        jobs = []
        for i, (at, model) in enumerate(trace):
            time.sleep(max(0.0, start + at - time.monotonic()))
            jobs.append(pool.submit(ask, c, model, i))
        results = [j.result() for j in jobs]
    sampler.done.set()
    sampler.join()
    return results, sampler.idle_s


def percentile(values, q):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * q))] if values \
        else 0.0


def report(name, user, results, idle_s, c):
    cold = [ms for status, ms in results
            if status == 200 and ms > USERS[user]["load_ms"] / 2]
    refused = sum(status != 200 for status, _ in results)
    over = sum(c.audit(e["id"])["overcommits"] for e in c.engines)
    print("| %s | %s | %d | %d | %d | %.0f | %.0f | %.0f | %.0f | %.2f | %d |"
          % (user, name, len(results), refused, len(cold),
             percentile(cold, 0.5), percentile(cold, 0.95),
             percentile(cold, 0.99),
             percentile([ms for _, ms in results], 0.99),
             idle_s * SCALE / 3600, over), flush=True)


def run_user(build, user, seconds, seed):
    cases = POLICIES + [("break-even, cold x %g" % w, "break_even", w)
                        for w in WEIGHTS]
    trace = make_trace(user, seconds, seed)
    clusters = [make_cluster(build, user, p, w) for _, p, w in cases]
    with ThreadPoolExecutor(len(cases)) as pool:
        jobs = [pool.submit(run_trace, c, trace) for c in clusters]
        for (name, _, _), job, c in zip(cases, jobs, clusters):
            results, idle_s = job.result()
            report(name, user, results, idle_s, c)
    for c in clusters:
        c.stop()


def run_burst(build, user, callers):
    """All models are cold; callers use both routers at once."""
    c = make_cluster(build, user, "lru", 1.0)
    u = USERS[user]
    models = min(u["models"], u["engines"] * 2)
    with ThreadPoolExecutor(callers) as pool:
        results = list(pool.map(
            lambda i: ask(c, "m%d" % (i % models), i), range(callers)))
    made = sum(sum(c.audit(e["id"])["loads"].values()) for e in c.engines)
    floor_ms = (models - 1) / 3 * 1000 + u["load_ms"]
    print("| %s | %d | %d | %d | %.2f | %d | %.0f | %.0f |" % (
        user, callers, models, made, made / models,
        sum(s != 200 for s, _ in results),
        max(ms for _, ms in results), floor_ms), flush=True)
    c.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print("| user | policy | requests | refused | cold | cold p50 ms | "
          "p95 | p99 | p99 of all ms | idle accelerator hours | "
          "overcommits |\n|---|---|---|---|---|---|---|---|---|---|---|")
    for user in USERS:
        run_user(args.build, user, args.seconds, args.seed)
    print("\n| user | callers | models wanted | loads made | made/needed | "
          "refused | slowest ms | store's floor ms |\n"
          "|---|---|---|---|---|---|---|---|")
    for user in USERS:
        run_burst(args.build, user, 160)


if __name__ == "__main__":
    main()
