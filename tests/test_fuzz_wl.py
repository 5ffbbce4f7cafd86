"""Limits over a whole fleet under random loads and faults, in virtual time.
By hand: test_fuzz_wl.py --build DIR FIRST LAST."""

import os
import random
import subprocess
import sys

import pytest

# Those after the first forty exceeded their bounds once.
SEEDS = [*range(1, 41), 1135, 1559, 1773, 1848, 2510, 2812, 3049,
         5016, 5607]


def make_script(seed):
    r = random.Random(seed)
    vms = r.choice([4, 7, 12, 30, 90, 150])
    centres = min(vms, 4)
    lines = ["fleet %d %d" % (vms, centres)]
    tokens = r.random() < 0.7
    cost = r.choice([4000, 9200]) if tokens else 1
    slack = 8 * cost
    lines.append("bound 8000 0.1 %d" % slack)
    for i in range(r.randint(1, 5)):
        name = "w%d" % i
        rate = cost * r.choice([2, 4, 8, 20, 40])
        lines.append("workspace %s %d %d" % (name, rate, rate))
        per_s = rate / cost
        lines.append("load %s %.2f %d 0 30%s" % (
            name, per_s * r.uniform(0.3, 0.8), cost,
            r.choice(["", " 1", " 3"])))
        if r.random() < 0.7:
            at = r.uniform(0, 20)
            lines.append("load %s %.2f %d %.1f %.1f" % (
                name, per_s * r.uniform(1, 4), cost, at,
                at + r.uniform(3, 14)))
    at = 2.0
    while at < 24 and r.random() < 0.8:
        kind = r.choice(["cut", "leader", "all", "centre"])
        if kind == "cut":
            length = r.uniform(2, 7)
            lines.append("cut %d %.1f %.1f" % (
                r.randrange(centres), at, at + length))
        else:
            length = r.uniform(0.5, 3)
            who = r.randrange(centres) if kind == "centre" else kind
            lines.append("kill %s %.1f %.1f" % (who, at, length))
        at += length + r.uniform(4, 10)
    lines.append("run 30 %d" % seed)
    return "\n".join(lines) + "\n"


def find_excess(build, seed):
    """Lines of workspaces that ran more than the bound allows."""
    out = subprocess.run([os.path.join(build, "script_wl")],
                         input=make_script(seed), capture_output=True,
                         text=True, timeout=120, check=True).stdout
    rows = [line for line in out.splitlines() if " worst " in line]
    assert rows
    return [row for row in rows if float(row.split()[-1]) > 1]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_window_exceeds_its_bound(build, seed):
    assert find_excess(build, seed) == []


def main():
    build, first, last = sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    failed = 0
    for seed in range(first, last + 1):
        rows = find_excess(build, seed)
        failed += bool(rows)
        for row in rows:
            print("seed %d:%s" % (seed, row))
    print("%d of %d seeds exceed their bound" % (failed, last - first + 1))


if __name__ == "__main__":
    main()
