"""Benchmarks of the request path: the latency that a router adds to a call,
the effect of early refusal in a burst, and how evenly the choice of an upstream
spreads load.  Every comparison is made in one run.  The client and the
stand-ins are small threaded Python programs: absolute times are mostly theirs,
only the differences are the router's.

    /usr/bin/python3 tests/bench_router.py --build build
"""

import argparse
import heapq
import http.client
import os
import random
import subprocess
import threading
import time

from cluster import KEYS, ROOT, Cluster

ROUTER = "dc1-vm1-router"
SERVICE = "dc1-sadasya-ledger"


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


def make_cluster(build, **router):
    engines = [{"id": "dc1-lm1", "centre": "dc1",
                "deployment": "parisankhyan-lm"}]
    return Cluster(build, centres=("dc1",), vms_per_centre=1,
                   engines=engines, settings={"router": {"router": router}})


def publish(c):
    """Publishes the samples with limits that no benchmark reaches."""
    samples = os.path.join(ROOT, "samples")
    paths = [os.path.join(samples, "samiti.ini")]
    for name in ("samiti-drafting.ini", "samiti-registry.ini"):
        with open(os.path.join(samples, name), encoding="utf-8") as f:
            text = f.read() + "rate = 1000000\ntokens = 2000000000\n"
        paths.append(os.path.join(c.dir, name))
        with open(paths[-1], "w", encoding="utf-8") as f:
            f.write(text)
    c.bglade("publish", *paths)
    c.wait_ready()


# ---- overhead of a router ---------------------------------------------

def read_cpu_s(c):
    path = "/proc/%d/stat" % c.procs[ROUTER].popen.pid
    with open(path, encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def make_caller(c, through_router):
    port = c.port(ROUTER if through_router else SERVICE)
    path = "/v1/services/member-lookup/m" if through_router else "/m"
    head = {"Authorization": "Bearer " + KEYS["registry"]}
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=30)

    def call():
        start = time.perf_counter()
        conn.request("POST", path, b"{}", head)
        res = conn.getresponse()
        res.read()
        assert res.status == 200, res.status
        return (time.perf_counter() - start) * 1000
    return call


def measure_overhead(build, calls):
    with make_cluster(build) as c:
        publish(c)
        direct, routed = make_caller(c, False), make_caller(c, True)
        times = {direct: [], routed: []}
        for i in range(calls + 50):
            for call in (direct, routed):
                took_ms = call()
                if i >= 50:
                    times[call].append(took_ms)
        for name, share in (("p50", 0.5), ("p99", 0.99)):
            a = percentile(times[direct], share)
            b = percentile(times[routed], share)
            print("one call %s: direct %.2f ms, routed %.2f ms, added "
                  "%.2f ms" % (name, a, b, b - a))
        measure_cpu(c, 4.0)


def measure_cpu(c, seconds):
    counts = []
    before = read_cpu_s(c)
    threads = [threading.Thread(target=run_caller, args=(
        c, seconds, counts)) for _ in range(8)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    used_s = read_cpu_s(c) - before
    print("router CPU: %d calls, %.2f s of CPU, %.0f calls a second of one "
          "core" % (sum(counts), used_s, sum(counts) / used_s))


def run_caller(c, seconds, counts):
    call = make_caller(c, True)
    until = time.monotonic() + seconds
    count = 0
    while time.monotonic() < until:
        call()
        count += 1
    counts.append(count)


# ---- a burst of twice the capacity ------------------------------------

def measure_burst(build, early):
    """Capacity: 4 concurrent calls of 200 ms, so 20 a second.  Demand: 40
    calls a second for 6 s, each with a deadline of 1000 ms."""
    with make_cluster(build, per_upstream=4,
                      early_refusal="true" if early else "false") as c:
        publish(c)
        c.complete(ROUTER, "drafting", "bulletin-draft", "warm")
        c.set_faults("dc1-lm1", token_ms=20)
        for i in range(6):
            c.complete(ROUTER, "drafting", "bulletin-draft", "w%d" % i)
        seen = []

        def ask(i):
            start = time.monotonic()
            a = c.complete(ROUTER, "drafting", "bulletin-draft", "b%d" % i,
                           headers={"X-Deadline-Ms": "1000"})
            seen.append((a.status, a.outcome,
                         (time.monotonic() - start) * 1000))
        threads = []
        begin = time.monotonic()
        for i in range(240):
            wait_s = begin + i / 40 - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            threads.append(threading.Thread(target=ask, args=(i,)))
            threads[-1].start()
        for t in threads:
            t.join()
    report_burst(seen, early)


def report_burst(seen, early):
    answered = [ms for status, _, ms in seen if status == 200]
    refused = [ms for _, outcome, ms in seen if outcome == "refused-not-run"]
    unfinished = [ms for status, outcome, ms in seen
                  if status != 200 and outcome != "refused-not-run"]
    late = [ms for ms in refused if ms > 100]
    print("burst, early refusal %s: %d answered, p50 %.0f ms, p99 %.0f ms; "
          "%d refused, p50 %.0f ms, %d of them after more than 100 ms; "
          "%d exceeded their deadline" % (
              "on" if early else "off", len(answered),
              percentile(answered, 0.5), percentile(answered, 0.99),
              len(refused), percentile(refused, 0.5) if refused else 0,
              len(late), len(unfinished)))


# ---- the choice of an upstream ----------------------------------------

class CoreChoice:
    """Routers that choose by the routing core."""

    def __init__(self, build, routers, upstreams, affinity):
        self.affinity = affinity
        self.upstreams = upstreams
        self.procs = [subprocess.Popen(
            [os.path.join(build, "script_rt")], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True) for _ in range(routers)]
        for r in range(routers):
            self.send(r, "set per_upstream 100000")
        self.report([0] * upstreams, 1000)

    def send(self, router, line):
        p = self.procs[router]
        p.stdin.write(line + "\n.\n")
        p.stdin.flush()
        out = []
        while (text := p.stdout.readline()) != ".\n":
            out.append(text.split())
        return out

    def report(self, inflight, now_ms):
        for r in range(len(self.procs)):
            self.send(r, "at %d" % now_ms)
            for u in range(self.upstreams):
                self.send(r, "state dc1 1 u%d 10.0.0.1:%d live known %d m" %
                          (u, u + 1, inflight[u]))

    def choose(self, router, now_ms, ident, prefix):
        self.send(router, "at %d" % now_ms)
        out = self.send(router, "arrive %d m lm w interactive 5 1000000 500 "
                        "1 %d again" % (ident, prefix if self.affinity
                                        else 0))
        return int(out[0][2][1:])

    def done(self, router, ident):
        self.send(router, "done %d ok -" % ident)

    def close(self):
        for p in self.procs:
            p.stdin.close()
            p.wait()
            p.stdout.close()


class RandomChoice:
    def __init__(self, routers, upstreams):
        del routers
        self.rng = random.Random(2)
        self.upstreams = upstreams

    def choose(self, router, now_ms, ident, prefix):
        del router, now_ms, ident, prefix
        return self.rng.randrange(self.upstreams)

    def report(self, inflight, now_ms):
        pass

    def done(self, router, ident):
        pass

    def close(self):
        pass


class RoundRobin(RandomChoice):
    def __init__(self, routers, upstreams):
        super().__init__(routers, upstreams)
        self.next = [r * 5 for r in range(routers)]

    def choose(self, router, now_ms, ident, prefix):
        self.next[router] += 1
        return self.next[router] % self.upstreams


def simulate(choice, mean_ms, report_ms=200, requests=12000, routers=4,
             upstreams=18):
    """Simulates Poisson arrivals at four routers, 4.5 concurrent calls per
    upstream, answers of very uneven length (Pareto) and periodic reports of
    all loads.  Returns the highest load divided by the mean load, averaged
    over time, and the share of requests whose prefix the upstream has seen
    before."""
    rng = random.Random(1)
    inflight = [0] * upstreams
    seen = [set() for _ in range(upstreams)]
    now, ratio, weight, hits, ends = 0.0, 0.0, 0.0, 0, []
    next_report = report_ms
    at = 0.0
    for i in range(requests):
        at += rng.expovariate(4.5 * upstreams / mean_ms)
        while ends and ends[0][0] <= at:
            end, router, ident, u = heapq.heappop(ends)
            now, ratio, weight = step(now, end, inflight, ratio, weight)
            inflight[u] -= 1
            choice.done(router, ident)
        now, ratio, weight = step(now, at, inflight, ratio, weight)
        if at >= next_report:
            next_report = at + report_ms
            choice.report(inflight, 1000 + int(at))
        router = rng.randrange(routers)
        prefix = 1 + int(rng.paretovariate(0.8)) % 400
        u = choice.choose(router, 1000 + int(at), i + 1, prefix)
        hits += prefix in seen[u]
        seen[u].add(prefix)
        inflight[u] += 1
        heapq.heappush(ends, (at + mean_ms / 3 * rng.paretovariate(1.5), router,
                              i + 1, u))
    choice.close()
    return ratio / weight, hits / requests


def step(now, until, inflight, ratio, weight):
    total = sum(inflight)
    if total and until > now:
        ratio += max(inflight) * len(inflight) / total * (until - now)
        weight += until - now
    return until, ratio, weight


def measure_choice(build):
    """Answers of 8 s (250 tokens of 33 ms), and of 180 ms, about the interval
    between load reports."""
    for mean_ms in (8000, 180):
        for name, choice in (
                ("random", RandomChoice(4, 18)),
                ("round robin", RoundRobin(4, 18)),
                ("core, no prefix", CoreChoice(build, 4, 18, False)),
                ("core, by prefix", CoreChoice(build, 4, 18, True))):
            ratio, hits = simulate(choice, mean_ms)
            print("choice, answers of %d ms, %-16s highest load %.2f of the "
                  "mean, prefix seen before %.0f%%" % (
                      mean_ms, name + ":", ratio, hits * 100))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--calls", type=int, default=1500)
    parser.add_argument("--only-choice", action="store_true")
    args = parser.parse_args()
    if not args.only_choice:
        measure_overhead(args.build, args.calls)
        for early in (False, True):
            measure_burst(args.build, early)
    measure_choice(args.build)


if __name__ == "__main__":
    main()
