"""Runs every bench_*.py of this directory, one after the other, and shows their
output.  A benchmark takes --build DIR, compares only figures of its own run,
and exits 1 if it could not measure.  CI does not run it, as the figures depend
on the machine."""

import argparse
import glob
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("names", nargs="*",
                        help="benchmarks to run, e.g. bench_load; default: all")
    args = parser.parse_args()
    names = args.names or sorted(
        os.path.basename(p)[:-3]
        for p in glob.glob(os.path.join(HERE, "bench_*.py")))
    failed = []
    for name in names:
        since = time.monotonic()
        print("== %s (load average %.1f)" % (name, os.getloadavg()[0]),
              flush=True)
        code = subprocess.run(
            ["/usr/bin/python3", os.path.join(HERE, name + ".py"), "--build",
             os.path.abspath(args.build)], check=False).returncode
        print("== %s: exit %d, %.0f s" % (name, code,
                                          time.monotonic() - since),
              flush=True)
        if code != 0:
            failed.append(name)
    print("%d benchmarks, %d failed%s" % (len(names), len(failed),
                                       ": " + ", ".join(failed)
                                       if failed else ""))
    sys.exit(1 if failed or not names else 0)


if __name__ == "__main__":
    main()
