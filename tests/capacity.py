"""Measures what each role costs as each driver grows, on one machine, and
writes docs/capacity.json and a plot per slope into docs/plots/.

Each slope runs at four or more sizes; each size is measured in several
windows (repeats), given as median and range, with the load average of the
machine before it, for other work may run beside.  Fits are least squares
over the medians.  --only NAME,... measures these again and keeps the rest.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import time

import svg
from cluster import ROOT, call, wait_until
from fast_cluster import (FastCluster, Window, make_template, make_values,
                          read_rss_mb, read_threads)

JSON_PATH = os.path.join(ROOT, "docs", "capacity.json")
PLOTS = os.path.join(ROOT, "docs", "plots")
REPEATS = 3
R1 = "dc1-vm1-router"
BUSY_ROUTER = {"router": {"router": {"per_upstream": "4000",
                                     "max_waiting_interactive": "4000"}}}


class Slope:
    """Points of several measures over one driver."""

    def __init__(self, driver):
        self.driver = driver
        self.points = {}
        self.loads = []

    def add(self, measure, unit, x, values):
        self.points.setdefault((measure, unit), []).append(
            {"x": x, "value": round(statistics.median(values), 6),
             "low": round(min(values), 6), "high": round(max(values), 6),
             "repeats": len(values)})

    def note_size(self, x):
        load = round(os.getloadavg()[0], 1)
        self.loads.append({"x": x, "load_average_before": load})
        print("  %s: %g (load average %.1f)" % (self.driver, x, load),
              flush=True)

    def to_json(self):
        return {"driver": self.driver, "sizes": self.loads, "measures": [
            {"name": m, "unit": u, "points": p, "fit": fit_line(p)}
            for (m, u), p in self.points.items()]}


def fit_line(points):
    """Least squares over the medians."""
    n = len(points)
    mx = sum(p["x"] for p in points) / n
    my = sum(p["value"] for p in points) / n
    sxx = sum((p["x"] - mx) ** 2 for p in points)
    sxy = sum((p["x"] - mx) * (p["value"] - my) for p in points)
    syy = sum((p["value"] - my) ** 2 for p in points)
    slope = sxy / sxx if sxx else 0.0
    return {"slope": slope, "intercept": my - slope * mx,
            "r2": sxy * sxy / (sxx * syy) if sxx and syy else 1.0}


def windows(c, names, seconds, during=None):
    """REPEATS windows; DURING runs inside each, else the time passes."""
    out = []
    for _ in range(REPEATS):
        with Window(c, names) as w:
            if during:
                w.result = during()
            else:
                time.sleep(seconds)
        out.append(w)
    return out


def add_rates(s, x, runs, names, role, with_http=True):
    """CPU and bytes a second of the mean process of NAMES."""
    s.add(role + "_cpu", "% of a core", x,
          [w.rate(names, "cpu") * 100 for w in runs])
    s.add(role + "_link_bytes", "B/s sent on links", x,
          [w.rate(names, "peer_sent_bytes_total") for w in runs])
    if with_http:
        s.add(role + "_http_bytes", "B/s of HTTP calls, both ways", x,
              [w.rate(names, "http_sent_bytes_total") +
               w.rate(names, "http_got_bytes_total") for w in runs])


def add_memory(s, x, c, names, role):
    s.add(role + "_memory", "MB resident", x,
          [read_rss_mb(c.pid(n)) for n in names])


def check_clean(out):
    if out["wrong"] or out["failed"]:
        raise AssertionError("not clean: %s" % out["outcomes"])
    return out


# ---- idle costs ---------------------------------------------------------

def measure_nodes():
    """VMs of one data centre, idle."""
    s = Slope("VMs in a data centre")
    for x in (4, 8, 16, 32):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=x, engines=4,
                         http_threads=64) as c:
            c.publish_fleet(models=10)
            owner = c.owner("dc1")
            placers = [p for p in c.placers("dc1") if p != owner]
            time.sleep(1)
            runs = windows(c, c.routers() + placers + [owner], 4)
            add_rates(s, x, runs, c.routers(), "router")
            add_rates(s, x, runs, placers, "placer")
            add_rates(s, x, runs, [owner], "owner")
            add_memory(s, x, c, c.routers(), "router")
            add_memory(s, x, c, placers, "placer")
            s.add("router_links", "links", x,
                  [len(c.dump(r)["links"]) for r in c.routers()[:3]])
            s.add("placer_links", "links", x,
                  [len(c.dump(p)["links"]) for p in placers[:3]])
            s.add("log_reads", "reads a second, all processes", x,
                  [w.log["reads"] / w.seconds for w in runs])
    return s


def measure_centres():
    """Data centres of three VMs each, idle: links reach all placers."""
    s = Slope("VMs in all data centres, three in each")
    for x in (2, 4, 8, 11):
        s.note_size(3 * x)
        centres = ["dc%d" % (i + 1) for i in range(x)]
        with FastCluster(build, centres=centres, vms_per_centre=3, engines=2,
                         http_threads=64) as c:
            c.publish_fleet(models=10)
            time.sleep(1)
            placers = c.placers("dc1")
            runs = windows(c, c.routers() + placers, 4)
            add_rates(s, 3 * x, runs, c.routers(), "router", False)
            add_rates(s, 3 * x, runs, placers, "placer", False)
            s.add("router_links", "links", 3 * x,
                  [len(c.dump(r)["links"]) for r in c.routers()[:3]])
            s.add("placer_links", "links", 3 * x,
                  [len(c.dump(p)["links"]) for p in placers])
    return s


def measure_upstreams():
    """Upstreams of one owner: reports, and the router's choice."""
    s = Slope("upstreams of one owner")
    for x in (8, 32, 64, 128, 245):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=2, engines=x,
                         settings=BUSY_ROUTER,
                         engine_args=["--threads", 400, "--token-us",
                                      0]) as c:
            c.publish_fleet(models=10)
            c.warm(R1, ["m0"])
            owner = c.owner("dc1")
            time.sleep(2)
            runs = windows(c, c.routers() + [owner], 4)
            add_rates(s, x, runs, [owner], "owner")
            add_rates(s, x, runs, c.routers(), "router", False)
            s.add("owner_calls", "HTTP calls a second", x,
                  [w.rate([owner], "http_calls_total") for w in runs])
            add_memory(s, x, c, [owner], "owner")
            runs = windows(c, [R1], 0, lambda: check_clean(
                c.load([R1], "--models", "m0", "-r", 400, "-c", 64, "-d",
                       2000)))
            s.add("router_cpu_request", "us of CPU a request", x,
                  [w.used[R1]["cpu"] / w.result["answered"] * 1e6
                   for w in runs])
    return s


def measure_polls():
    """Reports a second of 245 upstreams, by the poll interval."""
    s = Slope("reports a second that one owner asks for, 245 upstreams")
    for poll_ms in (200, 500, 1000, 2500):
        x = 245 * 1000 / poll_ms
        s.note_size(x)
        with FastCluster(build, vms_per_centre=2, engines=245,
                         settings={"placer": {"placer": {
                             "poll_ms": str(poll_ms)}}},
                         engine_args=["--threads", 400]) as c:
            c.publish_fleet(models=10)
            owner = c.owner("dc1")
            time.sleep(1)
            runs = windows(c, [owner], 5)
            add_rates(s, x, runs, [owner], "owner")
    return s


def measure_heartbeats():
    """Heartbeats on each link of 16 VMs, idle."""
    s = Slope("heartbeats a second on a link, 16 VMs")
    for beat_ms in (200, 400, 1000, 2500):
        x = 1000 / beat_ms
        s.note_size(x)
        common = {"peers": {"heartbeat_ms": str(beat_ms),
                            "silence_ms": "20000"}}
        settings = {"router": common,
                    "placer": dict(common, placer={"lease_ms": "20000"})}
        with FastCluster(build, vms_per_centre=16, engines=4,
                         settings=settings, http_threads=64) as c:
            c.publish_fleet(models=10)
            time.sleep(1)
            names = c.routers() + c.placers("dc1")
            runs = windows(c, names, 5)
            add_rates(s, x, runs, c.routers(), "router", False)
            add_rates(s, x, runs, c.placers("dc1"), "placer", False)
    return s


def measure_models():
    """Models in the configuration, idle."""
    s = Slope("models in the configuration")
    for x in (10, 28, 56, 110, 220):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=2, engines=4) as c:
            c.publish_fleet(models=x)
            owner = c.owner("dc1")
            time.sleep(1)
            runs = windows(c, c.routers() + [owner], 4)
            add_rates(s, x, runs, c.routers(), "router", False)
            add_rates(s, x, runs, [owner], "owner", False)
            add_memory(s, x, c, c.routers(), "router")
            add_memory(s, x, c, [owner], "owner")
    return s


# ---- configuration ------------------------------------------------------

def count_in_force(c):
    """Configurations that each router has put in force so far, least."""
    return min(c.procs[n].read_log().count("is in force")
               for n in c.routers())


def wait_change(c, before):
    """When every router has one more in force than BEFORE; seconds."""
    since = time.monotonic()
    wait_until(lambda: count_in_force(c) > before, 60, "configuration")
    return time.monotonic() - since


def change_small(c, number):
    """A new one-model template; the window's CPU is the change's cost."""
    name = "extra%d" % number
    c.publish(make_template(name=name, models=1, prefix="x%d-" % number),
              [make_values("ws%d" % number, name, "%064x" % number)])


def measure_changes(s, x, c, changes):
    """Cost of one small change when X is in force already."""
    names = c.routers() + c.placers("dc1")
    cpu, lag = [], []
    for i in range(changes):
        before = count_in_force(c)
        with Window(c, names) as w:
            change_small(c, i)
            lag.append(wait_change(c, before) * 1000)
            time.sleep(0.3)
        cpu.append(sum(w.used[n]["cpu"] for n in names) / len(names) * 1000)
    s.add("change_cpu", "ms of CPU a change and process", x, cpu)
    s.add("change_lag", "ms from the publish's end to all in force", x, lag)


def measure_adapters():
    """Adapters of one template: memory, compile time, cost of a change."""
    s = Slope("adapters in the configuration")
    for x in (1000, 5000, 10000, 22000):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=2, engines=4) as c:
            template = make_template(models=110, adapters=x)
            files = [os.path.join(c.dir, n) for n in ("t.ini", "v.ini")]
            for path, text in zip(files, (template, make_values())):
                with open(path, "w", encoding="utf-8") as f:
                    f.write(text)
            took = []
            for _ in range(REPEATS):
                since = time.monotonic()
                subprocess.run([os.path.join(build, "bglade"), "check",
                                *files], check=True, capture_output=True)
                took.append((time.monotonic() - since) * 1000)
            s.add("check_time", "ms of bglade check, process and all", x,
                  took)
            s.add("template_bytes", "bytes", x, [len(template)])
            c.publish(template, [make_values()])
            wait_change(c, 0)
            wait_until(lambda: c.owner("dc1"), 20, "owner")
            time.sleep(1)
            add_memory(s, x, c, c.routers(), "router")
            add_memory(s, x, c, c.placers("dc1"), "placer")
            runs = windows(c, c.routers() + c.placers("dc1"), 3)
            s.add("router_cpu", "% of a core, idle", x,
                  [w.rate(c.routers(), "cpu") * 100 for w in runs])
            measure_changes(s, x, c, 5)
            s.add("router_memory_after_5_changes", "MB resident", x,
                  [read_rss_mb(c.pid(r)) for r in c.routers()])
    return s


def measure_templates():
    """Templates of five models and one workspace each."""
    s = Slope("templates, five models each")
    for x in (5, 20, 40, 80):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=2, engines=4) as c:
            for i in range(x):
                name = "t%d" % i
                c.publish(make_template(name=name, models=5,
                                        prefix="t%d-" % i),
                          [make_values("w%d" % i, name, "%064x" % (i + 999))])
            wait_change(c, x - 1)
            add_memory(s, x, c, c.routers(), "router")
            add_memory(s, x, c, c.placers("dc1"), "placer")
            measure_changes(s, x, c, 5)
            s.add("log_bytes", "bytes in the log", x,
                  [c.log_state()["bytes"]])
    return s


# ---- traffic ------------------------------------------------------------

def measure_requests():
    """Whole answers of ten tokens at once, open loop."""
    s = Slope("requests a second at one router")
    with FastCluster(build, vms_per_centre=1, engines=4,
                     settings=BUSY_ROUTER,
                     engine_args=["--token-us", 0]) as c:
        c.publish_fleet(models=2)
        c.warm(R1, ["m0"])
        for x in (25, 50, 100, 200, 400, 800):
            s.note_size(x)
            runs = windows(c, [R1], 0, lambda x=x: check_clean(
                c.load([R1], "--models", "m0", "-r", x, "-c", 64, "-d",
                       2500)))
            s.add("router_cpu", "% of a core", x,
                  [w.used[R1]["cpu"] / w.result["elapsed_s"] * 100
                   for w in runs])
            s.add("whole_p95", "ms", x,
                  [w.result["whole_us"]["p95"] / 1000 for w in runs])
    return s


def run_streams(c, streams, tokens):
    return check_clean(c.load(
        [R1], "--models", "m0", "--stream", "-c", streams, "-n", streams,
        "-T", tokens, "-d", 60000, "--ramp", 300))


def measure_tokens():
    """Streams at 33 ms a token: 30 tokens a second each."""
    s = Slope("tokens a second at one router")
    with FastCluster(build, vms_per_centre=1, engines=4,
                     settings=BUSY_ROUTER, http_threads=1000,
                     engine_args=["--token-us", 33000, "--threads",
                                  1000]) as c:
        c.publish_fleet(models=2)
        c.warm(R1, ["m0"])
        for streams in (33, 66, 133, 266, 533):
            x = streams * 30
            s.note_size(x)
            runs = windows(c, [R1], 0,
                           lambda n=streams: run_streams(c, n, 98))
            rates = [w.result["tokens"] / w.result["elapsed_s"]
                     for w in runs]
            x = round(statistics.median(rates))
            s.add("router_cpu", "% of a core", x,
                  [w.used[R1]["cpu"] / w.result["elapsed_s"] * 100
                   for w in runs])
            s.add("between_p95", "ms", x,
                  [w.result["between_us"]["p95"] / 1000 for w in runs])
            s.add("first_p95", "ms", x,
                  [w.result["first_us"]["p95"] / 1000 for w in runs])
    return s


def measure_streams():
    """Open streams of a fresh router, five tokens a second each."""
    s = Slope("open streams at one router")
    for x in (50, 100, 200, 400, 800):
        s.note_size(x)
        added, threads, idle = [], [], []
        for _ in range(2):
            with FastCluster(build, vms_per_centre=1, engines=4,
                             settings=BUSY_ROUTER, http_threads=1000,
                             engine_args=["--token-us", 200000, "--threads",
                                          1000]) as c:
                c.publish_fleet(models=2)
                c.warm(R1, ["m0"])
                before = read_rss_mb(c.pid(R1))
                proc = c.spawn("streams", [
                    c.tool, "run", "--json", "--to", "127.0.0.1:%d"
                    % c.port(R1), "--key", "samiti-drafting-key", "--models",
                    "m0", "--stream", "-c", str(x), "-n", str(x), "-T", "13",
                    "-d", "60000"])
                time.sleep(1.5)
                added.append(read_rss_mb(c.pid(R1)) - before)
                threads.append(read_threads(c.pid(R1)))
                idle.append(before)
                proc.popen.wait(60)
                check_clean(json.loads(proc.read_log().splitlines()[-1]))
        s.add("router_memory", "MB added", x, added)
        s.add("router_threads", "threads", x, threads)
        s.add("router_idle_memory", "MB resident, 1000 HTTP threads", x, idle)
    return s


# ---- loads --------------------------------------------------------------

def measure_wakes():
    """Cold models through the real placer: each request wakes one of 2000
    models, which falls idle again about three seconds later."""
    s = Slope("loads a second in one data centre")
    for rate in (1, 2, 4, 8):
        s.note_size(rate)
        with FastCluster(build, vms_per_centre=2, engines=8,
                         settings=BUSY_ROUTER,
                         engine_args=["--token-us", 0, "--load-scale",
                                      100]) as c:
            c.publish_fleet(models=2000, load_ms=50)
            owner = c.owner("dc1")
            time.sleep(1)
            idle = windows(c, [owner], 2)
            base = statistics.median(
                w.used[owner]["cpu"] / w.seconds for w in idle)
            points = []
            for i in range(REPEATS):
                loads = c.metric(owner, "placer_intents_total")
                with Window(c, [owner, R1]) as w:
                    out = check_clean(c.load(
                        [R1], "--models", "m%", "--count", 2000, "-r", rate,
                        "-c", 64, "-d", 5000, "--seed", i + 1))
                    time.sleep(4)
                loads = c.metric(owner, "placer_intents_total") - loads
                points.append((loads, w, out))
            x = round(statistics.mean(
                n / w.seconds for n, w, _ in points), 3)
            s.add("log_appends", "appends a load", x,
                  [w.log["appends"] / n for n, w, _ in points])
            s.add("log_bytes", "bytes a load, all its records", x,
                  [w.log["bytes"] / n for n, w, _ in points])
            s.add("owner_cpu", "ms of CPU a load beside the idle cost", x,
                  [(w.used[owner]["cpu"] - base * w.seconds) / n * 1000
                   for n, w, _ in points])
            s.add("first_p95", "ms to the first byte, load of 50 ms", x,
                  [o["first_us"]["p95"] / 1000 for _, _, o in points])
            s.add("owner_link_bytes", "B sent on links a load", x,
                  [w.used[owner]["peer_sent_bytes_total"] / n
                   for n, w, _ in points])
    return s


def measure_loads():
    """Models held loaded by one owner on 64 upstreams, and requests that
    spread over them.  The stand-in needs a thread for each connection that
    the router keeps: up to 16 for each request that ran at once."""
    s = Slope("loaded models of one owner, 64 upstreams")
    for x in (20, 80, 160, 320):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=2, engines=64,
                         settings=dict(BUSY_ROUTER, placer={
                             "placer": {"max_loads": "64"}}),
                         engine_args=["--token-us", 0, "--load-scale", 1,
                                      "--threads", 2400]) as c:
            c.publish_fleet(models=x, cold=100000, idle=1)
            owner = c.owner("dc1")
            check_clean(c.load([R1], "--models", "m%", "--count", x, "-c",
                               64, "-d", 8000, "-n", x * 8))
            loads = len([1 for m in c.dump(owner)["state"]["loads"]])
            time.sleep(3)
            runs = windows(c, c.routers() + [owner], 4)
            add_rates(s, loads, runs, [owner], "owner")
            s.add("router_cpu", "% of a core, idle", loads,
                  [w.rate(c.routers(), "cpu") * 100 for w in runs])
            add_memory(s, loads, c, [owner], "owner")
            runs = windows(c, [R1], 0, lambda: check_clean(
                c.load([R1], "--models", "m%", "--count", x, "-r", 400,
                       "-c", 64, "-d", 2000)))
            s.add("router_cpu_request", "us of CPU a request", loads,
                  [w.used[R1]["cpu"] / w.result["answered"] * 1e6
                   for w in runs])
    return s


# ---- what a router has to look through ----------------------------------

def cpu_of_requests(c, router):
    """Microseconds of the router's CPU for a request on a warm model."""
    runs = windows(c, [router], 0, lambda: check_clean(
        c.load([router], "--models", "m0", "-r", 200, "-c", 32, "-d", 2000)))
    return [w.used[router]["cpu"] / w.result["answered"] * 1e6 for w in runs]


def measure_used():
    """Adapters that a router has seen a request for.  Their callers cannot
    wait for a load, so each request is refused at once and loads nothing."""
    s = Slope("models that a router has seen requests for")
    for x in (1000, 5000, 10000, 22000):
        s.note_size(x)
        with FastCluster(build, vms_per_centre=1, engines=4,
                         settings=BUSY_ROUTER,
                         engine_args=["--token-us", 0]) as c:
            template = make_template(models=2, adapters=x).replace(
                "memory_mb = 1\n", "memory_mb = 1\nwait_ms = 1\n")
            c.publish(template, [make_values()])
            c.wait_ready()
            wait_until(lambda: c.owner("dc1"), 20, "owner")
            c.warm(R1, ["m0"])
            out = check_clean(c.load([R1], "--models", "m-a%", "--count", x,
                                     "-c", 8, "-n", 4 * x, "-d", 30000))
            used = len([t for t in c.dump(R1)["state"]["targets"]
                        if t["name"].startswith("m-a")])
            assert out["refused"] > 0 and used > x * 0.9, (out, used)
            time.sleep(6)
            runs = windows(c, [R1], 3)
            s.add("router_cpu", "% of a core, idle", used,
                  [w.rate([R1], "cpu") * 100 for w in runs])
            s.add("router_cpu_request", "us of CPU a request", used,
                  cpu_of_requests(c, R1))
            add_memory(s, used, c, [R1], "router")
    return s


def measure_known():
    """Upstreams of all data centres that a router knows, 245 in each."""
    s = Slope("upstreams that a router knows")
    slow = {"placer": {"placer": {"poll_ms": "2000"},
                       "vms": {"poll_ms": "5000"}}}
    for centres in (1, 2, 4, 8):
        x = 245 * centres
        s.note_size(x)
        with FastCluster(build, centres=["dc%d" % (i + 1)
                                         for i in range(centres)],
                         vms_per_centre=1, engines=245,
                         settings=dict(BUSY_ROUTER, **slow),
                         engine_args=["--token-us", 0, "--threads",
                                      400]) as c:
            c.publish_fleet(models=2)
            wait_until(lambda: len(c.dump(R1)["state"]["upstreams"]) == x,
                       30, "upstreams known")
            time.sleep(3)
            c.warm(R1, ["m0"])
            runs = windows(c, [R1], 3)
            s.add("router_cpu", "% of a core, idle", x,
                  [w.rate([R1], "cpu") * 100 for w in runs])
            s.add("router_cpu_request", "us of CPU a request", x,
                  cpu_of_requests(c, R1))
            add_memory(s, x, c, [R1], "router")
    return s


SLOPES = {"used": measure_used, "known": measure_known, "nodes": measure_nodes, "centres": measure_centres,
          "upstreams": measure_upstreams,
          "polls": measure_polls, "heartbeats": measure_heartbeats,
          "models": measure_models,
          "adapters": measure_adapters, "templates": measure_templates,
          "requests": measure_requests, "tokens": measure_tokens,
          "streams": measure_streams, "wakes": measure_wakes,
          "loads": measure_loads}


# ---- output -------------------------------------------------------------

def read_commit():
    res = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT,
                         capture_output=True, text=True, check=False)
    dirty = subprocess.run(["git", "status", "--porcelain", "src"], cwd=ROOT,
                           capture_output=True, text=True, check=False)
    return res.stdout.strip() + ("+" if dirty.stdout.strip() else "")


def read_conditions():
    with open("/proc/meminfo", encoding="ascii") as f:
        total_kb = int(f.readline().split()[1])
    return {"cores": os.cpu_count(), "memory_mb": total_kb // 1024,
            "transport": "loopback", "repeats": REPEATS, "seed": 1}


def write(data):
    os.makedirs(PLOTS, exist_ok=True)
    with open(JSON_PATH, "w", encoding="utf-8") as f:
        json.dump(data, f, indent=1, sort_keys=True)
        f.write("\n")
    for name, slope in data["slopes"].items():
        for m in slope["measures"]:
            path = os.path.join(PLOTS, "%s-%s.svg" % (name, m["name"]))
            with open(path, "w", encoding="utf-8") as f:
                f.write(svg.plot("%s: %s" % (name, m["name"]),
                                 slope["driver"], m["unit"], m["points"],
                                 m["fit"]))


def print_slope(name, slope):
    for m in slope["measures"]:
        print("  %-9s %-28s %s; slope %.4g, at 0 %.4g, r2 %.2f (%s)" % (
            name, m["name"], " ".join("%g:%.4g" % (p["x"], p["value"])
                                      for p in m["points"]),
            m["fit"]["slope"], m["fit"]["intercept"], m["fit"]["r2"],
            m["unit"]), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    global build
    build = os.path.abspath(args.build)
    names = [n for n in args.only.split(",") if n] or list(SLOPES)
    data = {"slopes": {}}
    if os.path.exists(JSON_PATH):
        with open(JSON_PATH, encoding="utf-8") as f:
            data = json.load(f)
    data["conditions"] = read_conditions()
    failed = []
    for name in names:
        since = time.monotonic()
        try:
            slope = SLOPES[name]().to_json()
        except (AssertionError, OSError, subprocess.SubprocessError) as e:
            failed.append(name)
            print("  %s FAILED: %s" % (name, e), flush=True)
            continue
        slope["commit"] = read_commit()
        slope["command"] = "make capacity ONLY=%s" % name
        slope["seconds"] = round(time.monotonic() - since)
        data["slopes"][name] = slope
        print_slope(name, slope)
        write(data)
    print("%d slopes measured, %d failed" % (len(names) - len(failed),
                                             len(failed)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
