"""Cost of the limits that upstreams name, and how well they are kept, on real
gateways of this machine.  By hand:

    bench_upstream_limits.py --build DIR [--gateways N] [--limit R]
                             [--demand R] [--seconds S]

First without a limit, at the rate that the limit allows, then with the limit
and DEMAND, then the same while the leader is killed (what arrives then
includes the time without one). Prints for each part: requests that arrived,
the fullest window over what the users' bound allows, the part of the limit
that was used, and of the leader, the busiest other gateway and the mean:
percent of a core, and KB a second sent over links; not while the leader is
killed.
"""

import argparse
import os
import re
import subprocess
import time

from cluster import wait_until
from fake_platform import config
from platform_cluster import Cluster, now
from test_upstream_limits import (GRACE_S, Callers, allowed,
                                  arrivals_between, largest_window)

TICKS_S = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_S = 90


def cpu_s(gateway):
    with open("/proc/%d/stat" % gateway.proc.pid, encoding="utf-8") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_S


def link_bytes(gateways):
    """Bytes that each gateway sent on its links so far, by pid."""
    ports = {g.link for g in gateways}
    out = subprocess.run(["ss", "-tinpH", "state", "established"],
                         capture_output=True, text=True, check=True).stdout
    sent = {}
    for head, info in re.findall(r"^(\d+ .*)\n\s+(.*)$", out, re.M):
        pid = re.search(r"pid=(\d+)", head)
        ends = {int(p) for p in re.findall(r":(\d+)\s", head)}
        count = re.search(r"bytes_sent:(\d+)", info)
        if pid and count and ends & ports:
            pid = int(pid.group(1))
            sent[pid] = sent.get(pid, 0) + int(count.group(1))
    return sent


class Sample:
    """Use of processor and links of GATEWAYS at one moment."""

    def __init__(self, gateways):
        self.at = now()
        self.cpu = {g.proc.pid: cpu_s(g) for g in gateways}
        self.sent = link_bytes(gateways)

    def since(self, before, pid):
        """(percent of a core, KB a second) of PID."""
        passed_s = self.at - before.at
        sent = self.sent.get(pid, 0) - before.sent.get(pid, 0)
        return (100 * (self.cpu[pid] - before.cpu[pid]) / passed_s,
                sent / 1000 / passed_s)


def report(c, leader, before, after):
    rows = {g.proc.pid: after.since(before, g.proc.pid) for g in c.gateways}
    first = rows.pop(leader.proc.pid)
    busiest = max(rows.values())
    print("  leader %.1f %% %.1f KB/s, busiest other %.1f %% %.1f KB/s, "
          "mean other %.2f %% %.2f KB/s" % (
              *first, *busiest,
              sum(r[0] for r in rows.values()) / len(rows),
              sum(r[1] for r in rows.values()) / len(rows)))


def play(c, title, limit, demand, seconds, limited):
    engine, leader = c.engines[0], c.leader()
    callers = Callers(c.gateways, demand)
    time.sleep(GRACE_S)
    before, begin = Sample(c.gateways), now()
    time.sleep(seconds)
    after, end = Sample(c.gateways), now()
    callers.stop()
    arrived = arrivals_between(engine, begin, end)
    print("%s, %g requests a second asked: %d arrived" % (
        title, demand, len(arrived)))
    if limited:
        print("  fullest window %.2f of the bound, %.2f of the limit used" % (
            largest_window(arrived) / allowed(limit),
            len(arrived) / limit / (end - begin)))
    report(c, leader, before, after)


def play_kill(c, limit, demand, seconds):
    engine = c.engines[0]
    callers = Callers(c.gateways, demand)
    time.sleep(GRACE_S)
    begin = now()
    time.sleep(seconds / 4)
    c.leader().proc.kill()
    time.sleep(seconds * 3 / 4)
    end = now()
    callers.stop()
    arrived = arrivals_between(engine, begin, end)
    gaps = [b - a for a, b in zip(arrived, arrived[1:])]
    print("leader killed: fullest window %.2f of the bound, %.2f of the limit "
          "used in %.0f s, longest gap %.1f s" % (
              largest_window(arrived) / allowed(limit),
              len(arrived) / limit / (end - begin), end - begin, max(gaps)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--gateways", type=int, default=90)
    parser.add_argument("--limit", type=float, default=1)
    parser.add_argument("--demand", type=float, default=10)
    parser.add_argument("--seconds", type=float, default=20)
    args = parser.parse_args()
    with Cluster(args.build, gateways=args.gateways, models=(("m0",),),
                 first_config=False) as c:
        c.store.put_config(config(3, models=("m0",)))
        for g in c.gateways:
            wait_until(g.is_ready, START_TIMEOUT_S, "readiness")
        c.leader()
        wait_until(c.all_linked, START_TIMEOUT_S, "links")
        time.sleep(5)
        play(c, "without a limit", args.limit, args.limit, args.seconds,
             False)
        c.engines[0].rate_limit = str(args.limit)
        play(c, "limit of %g a second" % args.limit, args.limit, args.demand,
             args.seconds, True)
        play_kill(c, args.limit, args.demand, args.seconds)


if __name__ == "__main__":
    main()
