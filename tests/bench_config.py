"""Benchmarks of configuration distribution, by number of VMs: the time from
publish to in force everywhere and the cost of an idle control plane.  Also the
start of a VM from a checkpoint with 22,000 adapters, and appends with and
without batching.

    /usr/bin/python3 tests/bench_config.py --build build
"""

import argparse
import calendar
import json
import os
import subprocess
import time

from cluster import Cluster, wait_until
from configs import publish, revise

TICKS = os.sysconf("SC_CLK_TCK")


def make(build, vms, centres=("dc1", "dc2"), **kinds):
    return Cluster(build, centres=centres, vms_per_centre=vms // len(centres),
                   engines=[], services=[], **kinds)


def cpu_s(pid):
    with open("/proc/%d/stat" % pid, encoding="ascii") as f:
        words = f.read().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / TICKS


def rss_mb(pid):
    with open("/proc/%d/status" % pid, encoding="ascii") as f:
        for line in f:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def metric(c, name, key):
    text = c.call(name, "GET", "/metrics").body.decode()
    for line in text.splitlines():
        if line.startswith("bglade_" + key + " "):
            return int(line.split()[1])
    return 0


def quantile(values, q):
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def log_stamps(c, version):
    """Times at which the daemons put VERSION in force, from their logs; None:
    not all have."""
    mark = "Configuration %d is in force" % version
    out = []
    for d in c.daemons():
        lines = [line for line in c.procs[d].read_log().splitlines()
                 if mark in line]
        if not lines:
            return None
        stamp = lines[0].split()[0]
        head, ms = stamp.rstrip("Z").split(".")
        out.append(calendar.timegm(time.strptime(
            head, "%Y-%m-%dT%H:%M:%S")) + int(ms) / 1000)
    return out


def bench_convergence(build, counts, rounds):
    print("publish to in force everywhere, seconds; two data centres")
    for vms in counts:
        with make(build, vms) as c:
            version = publish(c, "t")
            c.wait_in_force(version)
            times = []
            for i in range(rounds):
                start = time.time()
                version = revise(c, "t", version, priority=i % 9)
                stamps = wait_until(lambda v=version: log_stamps(c, v), 15,
                                    "in force")
                times.append(max(stamps) - start)
            print("  VMs %3d: p50 %.3f  p99 %.3f  (%d revisions, the client "
                  "included)" % (vms, quantile(times, .5),
                                 quantile(times, .99), rounds), flush=True)


def bench_idle(build, counts, seconds):
    print("idle control plane, per process; two data centres, %d s" % seconds)
    for vms in counts:
        with make(build, vms) as c:
            c.wait_in_force(publish(c, "t"))
            time.sleep(3)
            names = c.daemons()
            pids = {d: c.procs[d].popen.pid for d in names}
            cpu = {d: cpu_s(pids[d]) for d in names}
            sent = {d: metric(c, d, "peer_sent_bytes_total") for d in names}
            time.sleep(seconds)
            for role in ("placer", "router"):
                mine = [d for d in names if d.endswith(role)]
                used = [(cpu_s(pids[d]) - cpu[d]) / seconds * 100
                        for d in mine]
                out = [(metric(c, d, "peer_sent_bytes_total") - sent[d])
                       / seconds for d in mine]
                print("  VMs %3d %s: %.2f%% of a core (max %.2f%%), %.0f B/s "
                      "sent on links (max %.0f), %.0f MB resident" % (
                          vms, role, sum(used) / len(used), max(used),
                          sum(out) / len(out), max(out),
                          sum(rss_mb(pids[d]) for d in mine) / len(mine)),
                      flush=True)


def time_start(c, vm, version):
    c.kill_vm(vm)
    before = c.call("log", "GET", "/test/state").json().get("sent_bytes", 0)
    start = time.monotonic()
    c.start_vm(vm)
    router = vm + "-router"

    def in_force():
        try:
            return c.dump(router)["config_version"] == version
        except OSError:
            return False
    wait_until(in_force, 30, "in force")
    took = time.monotonic() - start
    after = c.call("log", "GET", "/test/state").json().get("sent_bytes", 0)
    return took, after - before


def bench_start(build):
    print("start of one VM, one template of 22,000 adapters")
    settings = {"log": {"checkpoint_entries": "8",
                        "checkpoint_ms": "3600000"}}
    c = make(build, 2, centres=("dc1",),
             settings={"router": settings, "placer": settings})
    with c:
        version = publish(c, "big", adapters=22000)
        small = publish(c, "small")
        for i in range(10):
            small = revise(c, "small", small, priority=i % 9)
        wait_until(lambda: metric(c, "dc1-vm1-placer",
                                  "feed_checkpoints_total") +
                   metric(c, "dc1-vm2-placer", "feed_checkpoints_total"),
                   15, "checkpoint")
        c.set_faults("log", keep=6)
        small = revise(c, "small", small, priority=1)
        c.wait_in_force(small)
        state = c.call("log", "GET", "/test/state").json()
        print("  the log keeps %d to %d; the template is at %d" % (
            state["first"], state["next"] - 1, version))
        took, got = time_start(c, "dc1-vm1", small)
        print("  from the log's checkpoint: %.2f s, %.2f MB read by both "
              "processes (as JSON), %.0f MB resident" % (
                  took, got / 1e6,
                  rss_mb(c.procs["dc1-vm1-router"].popen.pid)))
        c.set_faults("log", down=True)
        took, _ = time_start(c, "dc1-vm1", small)
        print("  from a peer, log down: %.2f s" % took, flush=True)


def bench_appends(build, seconds):
    """The program build/script_append appends records through the log client
    as fast as its queue accepts them."""
    print("records appended per second through one process's log client; the "
          "stand-in takes 5 ms per append")
    with make(build, 2, centres=("dc1",)) as c:
        c.wait_in_force(publish(c, "t"))
        c.set_faults("log", slow_ms=5)
        for window in (None, 0, 2, 5, 20):
            args = [os.path.join(c.build, "script_append"),
                    "127.0.0.1:%d" % c.port("log"), str(seconds),
                    "-1" if window is None else str(window)]
            res = subprocess.run(args, capture_output=True, text=True,
                                 check=True)
            doc = json.loads(res.stdout)
            print("  %s: %.0f records/s in %.0f appends/s, %.1f ms p50 to "
                  "acknowledgement" % (
                      "one record per append" if window is None else
                      "window %2d ms" % window, doc["records_per_s"],
                      doc["appends_per_s"], doc["p50_ms"]), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--seconds", type=int, default=5)
    args = parser.parse_args()
    bench_convergence(args.build, (2, 4, 8, 16), args.rounds)
    bench_idle(args.build, (2, 4, 8, 16), args.seconds)
    bench_start(args.build)
    bench_appends(args.build, args.seconds)


if __name__ == "__main__":
    main()
