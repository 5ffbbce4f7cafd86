"""Stand-in for the platform's list of VMs, which lags behind.

GET /v1/vms -> {"vms": [{"id", "data_centre", "deployment", "address",
"state": "live"|"leaving"}]}.  PUT /test/vms replaces the list; readers see
the new one after --lag-ms.
"""

import json
import threading
import time

import standin


class VmList:
    def __init__(self, vms, lag_ms):
        self.lock = threading.Lock()
        self.lag_s = lag_ms / 1000
        self.versions = [(0.0, vms)]

    def get(self):
        now = time.monotonic()
        with self.lock:
            seen = [v for t, v in self.versions if t + self.lag_s <= now]
            return seen[-1] if seen else self.versions[0][1]

    def handle(self, h, method, path, query, body):
        if path == "/v1/vms":
            return h.reply(200, {"vms": self.get()})
        if path == "/test/vms" and method == "PUT":
            with self.lock:
                self.versions.append((time.monotonic(), json.loads(body)))
            return h.reply(200, {})
        return h.reply(404, {"error": "no such path"})


if __name__ == "__main__":
    parser = standin.make_parser(__doc__)
    parser.add_argument("--file", required=True)
    parser.add_argument("--lag-ms", type=int, default=500)
    args = parser.parse_args()
    with open(args.file, encoding="utf-8") as f:
        standin.serve(VmList(json.load(f), args.lag_ms), args.port)
