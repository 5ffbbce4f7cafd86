"""Claims of idempotency keys per second, and the latency that a claim adds, by
the batch window of the log client.  The log takes about 300 appends a second.

Each caller sends non-idempotent calls with new keys through one of two
routers, the next one as soon as the last is answered.  The baseline is a
service called without keys.  Prints a table.
"""

import argparse
import http.client
import threading
import time

from cluster import KEYS, Cluster, wait_until

KEYED = "/v1/services/member-registry/certificates"
PLAIN = "/v1/services/member-lookup/members/1"
RATE = 300


class Caller(threading.Thread):
    def __init__(self, port, path, name, until):
        super().__init__()
        self.conn = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        self.path, self.label, self.until = path, name, until
        self.times_ms, self.refused = [], 0

    def run(self):
        n = 0
        while time.monotonic() < self.until:
            n += 1
            head = {"Authorization": "Bearer " + KEYS["registry"],
                    "Idempotency-Key": "%s-%d" % (self.label, n)}
            start = time.monotonic()
            self.conn.request("POST", self.path, b"{}", head)
            res = self.conn.getresponse()
            res.read()
            if res.status == 200:
                self.times_ms.append((time.monotonic() - start) * 1000)
            else:
                self.refused += 1


def percentile(values, share):
    values = sorted(values)
    return values[min(int(len(values) * share), len(values) - 1)]


def measure(c, path, callers, seconds, label):
    before = c.call("log", "GET", "/test/state").json()["appends"]
    until = time.monotonic() + seconds
    routers = c.routers()
    threads = [Caller(c.port(routers[i % len(routers)]), path,
                      "%s-%d" % (label, i), until) for i in range(callers)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    appends = c.call("log", "GET", "/test/state").json()["appends"] - before
    times = [ms for t in threads for ms in t.times_ms]
    return {"rate": len(times) / seconds, "appends": appends / seconds,
            "refused": sum(t.refused for t in threads),
            "p50": percentile(times, 0.5), "p99": percentile(times, 0.99)}


def run_window(args, window_ms):
    settings = {"router": {"log": {"window_ms": window_ms}}}
    with Cluster(args.build, centres=("dc1",), engines=[], settings=settings,
                 log_args=("--rate", RATE)) as c:
        c.publish_samples()
        for router in c.routers():
            wait_until(lambda r=router: c.ask(
                r, "registry", PLAIN, {}).status == 200, 15, "service")
        for callers in args.callers:
            base = measure(c, PLAIN, callers, args.seconds, "plain")
            keyed = measure(c, KEYED, callers, args.seconds,
                            "w%d-%d" % (window_ms, callers))
            print("| %d | %d | %.0f | %.0f | %.1f / %.1f | %.1f / %.1f | "
                  "%.1f / %.1f | %d |" % (
                      window_ms, callers, keyed["rate"], keyed["appends"],
                      base["p50"], base["p99"], keyed["p50"], keyed["p99"],
                      keyed["p50"] - base["p50"], keyed["p99"] - base["p99"],
                      keyed["refused"]), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--windows", type=int, nargs="*",
                        default=[0, 2, 5, 20])
    parser.add_argument("--callers", type=int, nargs="*", default=[1, 16, 64])
    args = parser.parse_args()
    print("| window ms | callers | calls/s | appends/s | plain p50 / p99 ms |"
          " keyed p50 / p99 ms | added p50 / p99 ms | refused |")
    print("|---|---|---|---|---|---|---|---|")
    for window_ms in args.windows:
        run_window(args, window_ms)


if __name__ == "__main__":
    main()
