"""Overhead of the router: direct calls to an engine stand-in compared with the
same calls through one router, alternating within one run (seed 1, three
turns)."""

import argparse
import json
import statistics
import time

from fast_cluster import FastCluster, Window, read_rss_mb, read_threads

ROUTER = "dc1-vm1-router"
TURNS = 3


def format_median(values):
    """Median and range as a string."""
    return "%.4g (%.4g to %.4g)" % (statistics.median(values), min(values),
                                    max(values))


def engine_address(c):
    """Address of the engine that has the model loaded."""
    for i in range(c.engine_count):
        port = c.port("dc1-engines") + i
        text = c.load(["127.0.0.1:%d" % port], "--models", "m0",
                      "--requests", 1)
        if text["answered"] == 1:
            return "127.0.0.1:%d" % port
    raise AssertionError("no engine has the model loaded")


def measure(c, to, *args):
    """One run of the load tool, with the CPU time that the router used."""
    with Window(c, [ROUTER, "dc1-engines"]) as w:
        out = c.load([to], "--models", "m0", *args)
    if out["wrong"] or out["failed"] or not out["answered"]:
        raise AssertionError("wrong or failed calls, or none answered: %s"
                             % out["outcomes"])
    out["router_cpu_s"] = w.used[ROUTER]["cpu"]
    return out


def compare(c, direct, title, *args):
    """Measures direct and routed calls in turns; prints latencies in ms."""
    rows = {"direct": [], "router": []}
    for _ in range(TURNS):
        rows["direct"].append(measure(c, direct, *args))
        rows["router"].append(measure(c, ROUTER, *args))
    print(title)
    for key in ("first_us", "between_us", "whole_us"):
        if not rows["router"][0][key]["count"]:
            continue
        for q in ("p50", "p95", "p99"):
            d = [o[key][q] / 1000 for o in rows["direct"]]
            r = [o[key][q] / 1000 for o in rows["router"]]
            added = [y - x for x, y in zip(d, r)]
            print("  %-10s %s ms: direct %s, router %s, added %s" % (
                key[:-3], q, format_median(d), format_median(r),
                format_median(added)))
    rates = {k: [o["answered"] / o["elapsed_s"] for o in v]
             for k, v in rows.items()}
    print("  requests/s: direct %s, router %s, ratio %s" % (
        format_median(rates["direct"]), format_median(rates["router"]),
        format_median([r / d for d, r in zip(rates["direct"],
                                             rates["router"])])))
    cpu = [o["router_cpu_s"] / o["answered"] * 1e6 for o in rows["router"]]
    print("  router CPU per request: %s us, so %s requests/s per core" % (
        format_median(cpu), format_median([1e6 / x for x in cpu])))
    tokens = [o for o in rows["router"] if o["tokens"]]
    if tokens:
        print("  router CPU per token, requests included: %s us" %
              format_median([o["router_cpu_s"] / o["tokens"] * 1e6
                             for o in tokens]))


def measure_streams(c, count):
    """Opens COUNT streams at once; prints the router's memory and threads."""
    idle_mb = read_rss_mb(c.pid(ROUTER))
    with Window(c, [ROUTER]) as w:
        proc = c.spawn("streams", [
            c.tool, "run", "--json", "--to", "127.0.0.1:%d" % c.port(ROUTER),
            "--key", "samiti-drafting-key", "--models", "m1", "--stream",
            "-c", str(count), "-n", str(count), "--tokens", "200", "-d",
            "30000"])
        time.sleep(2.0)
        open_mb = read_rss_mb(c.pid(ROUTER))
        threads = read_threads(c.pid(ROUTER))
        proc.popen.wait(60)
    out = json.loads(proc.read_log().splitlines()[-1])
    print("  %4d streams: %d whole, %d wrong, %d failed; +%.1f MB (%.0f kB "
          "each), %d threads, first p95 %.1f ms, between p95 %.1f ms, "
          "router CPU %.2f s for %d tokens" % (
              count, out["answered"], out["wrong"], out["failed"],
              open_mb - idle_mb, (open_mb - idle_mb) * 1024 / count, threads,
              out["first_us"]["p95"] / 1000, out["between_us"]["p95"] / 1000,
              w.used[ROUTER]["cpu"], out["tokens"]))
    c.procs.pop("streams").log.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    args = parser.parse_args()
    fast = {"router": {"router": {"per_upstream": "2000"}}}
    with FastCluster(args.build, vms_per_centre=1, engines=2, settings=fast,
                     engine_args=["--token-us", 0]) as c:
        c.publish_fleet(models=2)
        c.warm(ROUTER, ["m0"])
        direct = engine_address(c)
        compare(c, direct, "whole answers, 8 connections", "-c", 8, "-d",
                1500)
        compare(c, direct, "streams of 50 tokens without pause, 8 "
                "connections", "-c", 8, "-d", 1500, "--stream", "-T", 48)
    with FastCluster(args.build, vms_per_centre=1, engines=2, settings=fast,
                     engine_args=["--token-us", 20000, "--threads", 1600],
                     http_threads=1200) as c:
        c.publish_fleet(models=2)
        c.warm(ROUTER, ["m0", "m1"])
        direct = engine_address(c)
        compare(c, direct, "100 streams at 20 ms a token", "-c", 100, "-n",
                200, "-d", 9000, "--stream", "-T", 48)
        print("open streams at 20 ms a token, one router")
        for count in (50, 100, 200, 400, 800):
            measure_streams(c, count)


if __name__ == "__main__":
    main()
