"""Stand-in for the weight store.

GET /v1/fetch?model=M&ms=T answers after T ms at full speed.  --rate fetches
start per second.  Up to --full-speed of them run at full speed; more share
its bandwidth.  PUT /test/faults takes {"slow_factor"}.
"""

import json
import threading
import time

import standin


class Store:
    def __init__(self, rate, full_speed):
        self.lock = threading.Lock()
        self.rate = rate
        self.full_speed = full_speed
        self.next_start = 0.0
        self.running = 0
        self.peak = 0
        self.fetches = {}
        self.slow_factor = 1.0

    def fetch(self, model, ms):
        with self.lock:
            now = time.monotonic()
            start = max(now, self.next_start)
            self.next_start = start + 1.0 / self.rate
        time.sleep(max(0.0, start - now))
        with self.lock:
            self.running += 1
            self.peak = max(self.peak, self.running)
            self.fetches[model] = self.fetches.get(model, 0) + 1
        left = ms / 1000
        while left > 0:
            step = min(left, 0.02)
            with self.lock:
                share = max(1.0, self.running / self.full_speed)
                share *= self.slow_factor
            time.sleep(step * share)
            left -= step
        with self.lock:
            self.running -= 1

    def handle(self, h, method, path, query, body):
        if path == "/v1/fetch":
            self.fetch(query["model"], float(query.get("ms", 1000)))
            return h.reply(200, {"model": query["model"]})
        if path == "/test/faults":
            self.slow_factor = json.loads(body).get("slow_factor", 1.0)
            return h.reply(200, {})
        if path == "/test/state":
            return h.reply(200, {"fetches": self.fetches, "peak": self.peak})
        return h.reply(404, {"error": "no such path"})


if __name__ == "__main__":
    parser = standin.make_parser(__doc__)
    parser.add_argument("--rate", type=float, default=3.0)
    parser.add_argument("--full-speed", type=int, default=4)
    args = parser.parse_args()
    standin.serve(Store(args.rate, args.full_speed), args.port)
