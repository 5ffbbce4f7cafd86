"""Stand-in for a plain service: runs every request and counts the runs of
each X-Run-Id, which the caller sets.

PUT /test/faults takes {"delay_ms", "drop_answers", "short_answers",
"die_after_run", "refuse_new" (refuse with 503, but don't report leaving)}.
PUT /test/leave: refuse with 503 and report leaving.
GET /test/runs -> {run id: runs}.
GET /test/peak -> maximum of concurrent runs, number of refused calls.
"""

import json
import os
import threading
import time

import standin


class Service:
    def __init__(self):
        self.lock = threading.Lock()
        self.runs = {}
        self.running = 0
        self.peak = 0
        self.leaving = False
        self.turned_away = 0
        self.faults = {"delay_ms": 0, "drop_answers": 0,
                       "short_answers": 0,
                       "die_after_run": False, "refuse_new": False}

    def run(self, h, path, body):
        run_id = h.headers.get("X-Run-Id") or path
        if self.leaving or self.faults["refuse_new"]:
            self.turned_away += 1
            return h.reply(503, {"error": "leaving", "run": False},
                           {"X-Upstream-State": "leaving"})
        with self.lock:
            self.runs[run_id] = self.runs.get(run_id, 0) + 1
            count = self.runs[run_id]
            self.running += 1
            self.peak = max(self.peak, self.running)
        if self.faults["die_after_run"]:
            os._exit(1)
        time.sleep(self.faults["delay_ms"] / 1000)
        with self.lock:
            self.running -= 1
        if self.faults["drop_answers"] > 0:
            self.faults["drop_answers"] -= 1
            h.close_connection = True
            h.connection.close()
            return None
        if self.faults["short_answers"] > 0:
            self.faults["short_answers"] -= 1
            return h.reply_short(200, {"mark": run_id, "runs": count})
        return h.reply(200, {"mark": run_id, "runs": count, "path": path,
                             "echo": body.decode("utf-8", "replace")})

    def handle(self, h, method, path, query, body):
        if path == "/test/runs":
            return h.reply(200, self.runs)
        if path == "/test/peak":
            return h.reply(200, {"peak": self.peak,
                                 "turned_away": self.turned_away})
        if path == "/test/faults":
            self.faults.update(json.loads(body))
            return h.reply(200, self.faults)
        if path == "/test/leave":
            self.leaving = True
            return h.reply(200, {})
        if path == "/control/report":
            return h.reply(200, {"leaving": self.leaving})
        if path.startswith("/control/"):
            return h.reply(404, {"error": "no such path"})
        return self.run(h, path, body)


if __name__ == "__main__":
    args = standin.make_parser(__doc__).parse_args()
    standin.serve(Service(), args.port)
