"""Upstreams that ask for rest when their queues are full, before random fleets
with random faults, in virtual time.
By hand: test_fuzz_un.py --build DIR FIRST LAST [burst|leader|none]."""

import os
import random
import subprocess
import sys

import pytest

LENGTH_S = 20
# The aim: nothing beyond the two that are allowed in a rest; callers are served
# as before where the upstreams have room for them.
MIN_SERVED = 0.95
SPARE = 0.6   # the part of the upstreams' rate that calm callers want


def add_faults(r, lines, vms, upstreams):
    for _ in range(r.choice([0, 0, 1, 3])):
        at = r.uniform(0.5, LENGTH_S)
        lines.append(r.choice([
            "kill %d %.2f" % (r.randrange(vms), at),
            "kill all %.2f" % at,
            "reborn %d %.2f" % (r.randrange(upstreams), at)]))


def make_script(seed, policy="alone"):
    """The script, and whether its upstreams have room for all."""
    r = random.Random(seed)
    vms = r.choice([3, 3, 7, 7, 12, 30, 90, 300])
    upstreams = r.choice([1, 2, 4, 8, 20])
    slots, work_ms = r.choice([2, 8, 32]), r.choice([20, 200, 1000])
    rate = min(upstreams * slots * 1000 / work_ms, 1500)
    factor = r.choice([0.3, SPARE, 1.1, 2, 5])
    queue = r.choice([0, 4, 16])
    lines = ["fleet %d %d" % (vms, upstreams),
             "policy %s" % policy,
             "upstream %d %d %d" % (slots, queue, work_ms),
             "rest %d %d" % (r.choice([600, 1000, 3000, 8000]),
                             r.choice([0, 50, 150])),
             "patience %d" % r.choice([1500, 4000, 15000]),
             "hop %d" % r.choice([1, 3, 10]),
             "connect %d" % r.choice([1, 10, 250]),
             "load %g 0 %d" % (min(factor * rate, 2000), LENGTH_S)]
    add_faults(r, lines, vms, upstreams)
    lines.append("run %d %d" % (LENGTH_S + 5, seed))
    calm = factor == 0.3 and len(lines) == 9 and slots >= 8 and queue >= 4
    return "\n".join(lines) + "\n", calm


def run_script(build, text):
    out = subprocess.run([os.path.join(build, "script_un")], input=text,
                         capture_output=True, text=True, timeout=300,
                         check=True).stdout.split()
    return dict(zip(out[::2], map(float, out[1::2])))


def check(build, seed, policy="alone"):
    """What the run of SEED breaks, or None."""
    text, calm = make_script(seed, policy)
    got = run_script(build, text)
    if got["late"] > 0:
        return "seed %d: %d late, %d in one rest" % (seed, got["late"],
                                                     got["most"])
    if calm and got["served"] < MIN_SERVED:
        return "seed %d: %.2f served" % (seed, got["served"])
    return None


@pytest.mark.parametrize("first", range(1, 81, 20))
def test_nothing_is_sent_in_a_rest(build, first):
    faults = [check(build, seed) for seed in range(first, first + 20)]
    assert [f for f in faults if f] == []


def test_check_is_red_without_a_memory(build):
    """The check can fail: 60 ms of pause after each refusal."""
    assert [f for f in (check(build, seed, "none") for seed in range(1, 11))
            if f]


def main():
    build, first, last = sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    policy = sys.argv[5] if len(sys.argv) > 5 else "alone"
    faults = [f for f in (check(build, seed, policy)
                          for seed in range(first, last + 1)) if f]
    print("\n".join(faults))
    print("%d of %d seeds break a bound" % (len(faults), last - first + 1))


if __name__ == "__main__":
    main()
