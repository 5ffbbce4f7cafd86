"""Stand-in for a model engine.

Serves the OpenAI-style API for the models that are loaded and takes orders
under /control.  The answer to a prompt is fixed: a digest of the prompt, then
"t0 t1 ...", then "end", so that a test can check that an answer is complete
and belongs to its prompt.  A prompt that contains --die-word ends the process.

POST /control/load {model, memory_mb, fence, load_id, base, load_ms} -> 202;
     409 {"error": "fence"} for an outdated fence (--fencing checked).
POST /control/unload {model, fence} -> 200, 409 while in use.
POST /control/fence {fence} -> 200 with a report made after it.
POST /control/role {role, fence}.
GET  /control/report: state as it was --report-lag-ms ago.
GET  /control/audit: current state and counters, for tests.
GET  /control/cache_events?from=N: delayed, and some events are missing.
PUT  /test/faults {stall_loads, fail_loads, cut_stream_after, cut_streams,
     short_answers, cross_answers, silent, leaving, token_ms, refuse_new,
     report_lag_ms, tiers, stray_bytes, filled_chunks}.
     stray_bytes: texts, each written once before the answer to a streamed
     completion, on a connection that carried another one.
     filled_chunks: number of streams of which a chunk breaks off, and is
     filled up with the head of another answer.
     cut_streams: number of streams to cut; short_answers: number of answers
     that end before their Content-Length; cross_answers: number of answers
     that repeat the previous call's answer and X-Attempt-Id.
"""

import hashlib
import json
import os
import random
import socket
import threading
import time
import urllib.request

import standin


# Of a stream with filled_chunks.
FILLED_TOKEN = 3
OTHER_HEAD = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n"


class Cancelled(Exception):
    """The caller closed its connection before it had its answer."""


class Engine:
    def __init__(self, args):
        self.args = args
        self.lock = threading.RLock()
        self.seq = 0
        self.boot = "%d-%d" % (os.getpid(), time.time_ns())
        self.fence = 0
        self.models = {}
        self.tiers = dict(p.split("=") for p in args.tiers.split(",") if p)
        self.dying = False
        self.inflight = 0
        self.in_use = {}
        self.audit = {"loads": {}, "peak_mb": 0, "overcommits": 0,
                      "runs": {}, "orders": [], "stale_orders": 0,
                      "cancels": 0, "attempts": [], "turned_away": 0}
        self.previous_answer = None
        self.reports = []
        self.events = []
        self.rng = random.Random(args.seed)
        self.faults = {"stall_loads": False, "fail_loads": 0,
                       "cut_stream_after": 0, "cut_streams": 1,
                       "short_answers": 0, "cross_answers": 0,
                       "silent": False,
                       "leaving": False, "token_ms": args.token_ms,
                       "refuse_new": False,
                       "report_lag_ms": args.report_lag_ms,
                       "stray_bytes": [], "filled_chunks": 0}
        self.role = "any"

    # ---- orders --------------------------------------------------------

    def check_fence(self, order):
        """False if a newer fence was accepted before."""
        if self.args.fencing == "ignored":
            return True
        if order.get("fence", 0) < self.fence:
            self.audit["stale_orders"] += 1
            return False
        self.fence = order["fence"]
        return True

    def order_load(self, h, order):
        with self.lock:
            if not self.check_fence(order):
                return h.reply(409, {"error": "fence", "fence": self.fence})
            name = order["model"]
            self.audit["orders"].append(["load", name, order.get("fence")])
            self.seq += 1
            if name in self.models:
                return h.reply(202, {"state": self.models[name]["state"],
                                     "seq": self.seq})
            self.models[name] = {"state": "loading",
                                 "memory_mb": order["memory_mb"],
                                 "load_id": order["load_id"],
                                 "base": order.get("base")}
            self.audit["loads"][name] = self.audit["loads"].get(name, 0) + 1
            used = self.used_mb()
            self.audit["peak_mb"] = max(self.audit["peak_mb"], used)
            if used > self.args.memory_mb:
                self.audit["overcommits"] += 1
            seq = self.seq
        threading.Thread(target=self.load, args=(order,),
                         daemon=True).start()
        return h.reply(202, {"state": "loading", "seq": seq})

    def load(self, order):
        name = order["model"]
        tier = self.tiers.get(name, "remote")
        ms = order.get("load_ms", 500) * self.args.load_scale
        try:
            if order.get("base"):
                time.sleep(0.005)
            elif tier == "memory":
                time.sleep(ms / 10000)
            elif tier == "disk":
                time.sleep(ms / 3000)
            elif self.args.store:
                urllib.request.urlopen(
                    "http://%s/v1/fetch?model=%s&ms=%d" %
                    (self.args.store, name, ms), timeout=600).read()
            else:
                time.sleep(ms / 1000)
        except OSError:
            with self.lock:
                self.models.pop(name, None)
            return
        while self.faults["stall_loads"]:
            time.sleep(0.05)
        with self.lock:
            if self.faults["fail_loads"] > 0:
                self.faults["fail_loads"] -= 1
                self.models.pop(name, None)
            elif name in self.models:
                self.models[name]["state"] = "loaded"
                self.tiers[name] = "memory"
                self.events.append({"n": len(self.events), "loaded": name})

    def order_unload(self, h, order):
        with self.lock:
            if not self.check_fence(order):
                return h.reply(409, {"error": "fence", "fence": self.fence})
            name = order["model"]
            self.audit["orders"].append(["unload", name, order.get("fence")])
            if self.in_use.get(name, 0) > 0:
                return h.reply(409, {"error": "in use"})
            if any(m.get("base") == name for m in self.models.values()):
                return h.reply(409, {"error": "adapters loaded"})
            self.models.pop(name, None)
            self.seq += 1
            return h.reply(200, {"state": "absent", "seq": self.seq})

    # ---- reports -------------------------------------------------------

    def used_mb(self):
        return sum(m["memory_mb"] for m in self.models.values())

    def make_report(self):
        with self.lock:
            self.seq += 1
            return {"id": self.args.id, "boot": self.boot, "seq": self.seq,
                    "capacity_mb": self.args.memory_mb,
                    "used_mb": self.used_mb(), "fence": self.fence,
                    "inflight": self.inflight, "role": self.role,
                    "leaving": self.faults["leaving"],
                    "tiers": dict(self.tiers),
                    "models": [{"name": n, "state": m["state"],
                                "memory_mb": m["memory_mb"],
                                "load_id": m["load_id"]}
                               for n, m in sorted(self.models.items())]}

    def lagged_report(self):
        now = time.monotonic()
        with self.lock:
            self.reports.append((now, self.make_report()))
            lag = self.faults["report_lag_ms"] / 1000
            while len(self.reports) > 1 and self.reports[1][0] <= now - lag:
                self.reports.pop(0)
            return self.reports[0][1]

    # ---- requests ------------------------------------------------------

    @staticmethod
    def read_prompt(doc):
        if "messages" in doc:
            return "\n".join(str(m.get("content")) for m in doc["messages"])
        return str(doc.get("prompt", ""))

    @staticmethod
    def make_tokens(prompt, count):
        digest = hashlib.sha256(prompt.encode()).hexdigest()[:12]
        return ([digest] + [" t%d" % i for i in range(count)] + [" end"])

    def is_loaded(self, name):
        m = self.models.get(name)
        if not m or m["state"] != "loaded":
            return False
        return not m["base"] or self.is_loaded(m["base"])

    def complete(self, h, doc, chat):
        name = doc.get("model", "")
        prompt = self.read_prompt(doc)
        with self.lock:
            if self.faults["leaving"] and self.faults["refuse_new"]:
                self.audit["turned_away"] += 1
                return h.reply(503, {"error": "leaving", "run": False},
                               {"X-Upstream-State": "leaving"})
            if not self.is_loaded(name):
                return h.reply(404, {"error": "not loaded", "run": False},
                               {"X-Upstream-State": "not-loaded"})
            self.inflight += 1
            self.in_use[name] = self.in_use.get(name, 0) + 1
            request_id = h.headers.get("X-Request-Id", "")
            self.audit["runs"][request_id] = self.audit["runs"].get(
                request_id, 0) + 1
            self.audit["attempts"].append(h.headers.get("X-Attempt-Id"))
        try:
            if self.args.die_word in prompt:
                self.die(h)
            tokens = self.make_tokens(prompt, int(doc.get("max_tokens", 8)))
            start = int(doc.get("resume_from_token", 0))
            if doc.get("stream"):
                return self.stream(h, name, tokens, start, chat)
            for _ in tokens:
                self.wait_token(h)
            return self.answer(h, self.make_answer(name, tokens, chat))
        except Cancelled:
            with self.lock:
                self.audit["cancels"] += 1
            h.close_connection = True
            return None
        finally:
            with self.lock:
                self.inflight -= 1
                self.in_use[name] -= 1

    def die(self, h):
        """Ends the process.  On a busy machine its sockets are closed one
        after the other, so its port accepts connections for a moment longer
        (--die-slowly-ms)."""
        self.dying = True
        h.connection.shutdown(2)
        time.sleep(self.args.die_slowly_ms / 1000)
        os._exit(1)

    def wait_token(self, h):
        """Waits for one token; raises Cancelled once the caller has closed
        its connection."""
        time.sleep(self.faults["token_ms"] / 1000)
        self.check_caller(h)
        while self.faults["silent"]:
            time.sleep(0.05)
            self.check_caller(h)

    @staticmethod
    def check_caller(h):
        try:
            if h.connection.recv(1, socket.MSG_PEEK |
                                 socket.MSG_DONTWAIT) == b"":
                raise Cancelled
        except BlockingIOError:
            pass
        except OSError as e:
            raise Cancelled from e

    def take_fault(self, name):
        """True if fault NAME has a count left, which it reduces by one."""
        with self.lock:
            if self.faults[name] <= 0:
                return False
            self.faults[name] -= 1
            return True

    def answer(self, h, doc):
        own = (h.headers.get("X-Attempt-Id", ""), doc)
        crossed = (self.previous_answer
                   if self.take_fault("cross_answers") else None)
        attempt, doc = crossed or own
        self.previous_answer = own
        if self.take_fault("short_answers"):
            return h.reply_short(200, doc)
        return h.reply(200, doc, {"X-Attempt-Id": attempt})

    @staticmethod
    def make_answer(name, tokens, chat):
        text = "".join(tokens)
        choice = {"index": 0, "finish_reason": "stop"}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {"id": "cmpl-1", "model": name, "choices": [choice],
                "usage": {"completion_tokens": len(tokens)}}

    def write_stray(self, h):
        with self.lock:
            texts = self.faults["stray_bytes"] if hasattr(h, "streamed") \
                else []
            text = texts.pop(0) if texts else ""
            h.streamed = True
        h.wfile.write(text.encode())

    def fill_chunk(self, h, text):
        left_out = len(OTHER_HEAD)
        h.wfile.write(("%x\r\n%s%s\r\n" % (
            len(text), text[:-left_out], OTHER_HEAD)).encode())
        h.wfile.flush()
        h.close_connection = True

    def stream(self, h, name, tokens, start, chat):
        self.write_stray(h)
        h.start_stream({"X-Attempt-Id": h.headers.get("X-Attempt-Id", "")})
        for i, token in enumerate(tokens):
            if i < start:
                continue
            self.wait_token(h)
            cut = self.faults["cut_stream_after"]
            if cut and i >= cut and self.take_fault("cut_streams"):
                h.close_connection = True
                h.connection.shutdown(2)
                return None
            part = {"delta": {"content": token}} if chat else {"text": token}
            part.update({"index": 0, "finish_reason":
                         "stop" if i == len(tokens) - 1 else None})
            text = "data: %s\n\n" % json.dumps(
                {"id": "cmpl-1", "model": name, "choices": [part]})
            if i == FILLED_TOKEN and self.take_fault("filled_chunks"):
                return self.fill_chunk(h, text)
            h.send_chunk(text)
        h.send_chunk("data: [DONE]\n\n")
        return h.end_stream()

    # ---- paths ---------------------------------------------------------

    def handle(self, h, method, path, query, body):
        if self.dying:
            h.close_connection = True
            h.connection.shutdown(2)
            return None
        doc = json.loads(body) if body else {}
        if path == "/v1/chat/completions":
            return self.complete(h, doc, True)
        if path == "/v1/completions":
            return self.complete(h, doc, False)
        if path == "/control/load":
            return self.order_load(h, doc)
        if path == "/control/unload":
            return self.order_unload(h, doc)
        if path in ("/control/fence", "/control/role"):
            with self.lock:
                if not self.check_fence(doc):
                    return h.reply(409, {"error": "fence",
                                         "fence": self.fence})
                self.role = doc.get("role", self.role)
                return h.reply(200, self.make_report())
        if path == "/control/report":
            return h.reply(200, self.lagged_report())
        if path == "/control/audit":
            with self.lock:
                return h.reply(200, dict(self.audit, models={
                    n: m["state"] for n, m in self.models.items()},
                    used_mb=self.used_mb(), inflight=self.inflight,
                    idle_mb=sum(m["memory_mb"] for n, m in
                                self.models.items()
                                if not self.in_use.get(n))))
        if path == "/control/cache_events":
            late = self.events[int(query.get("from", 0)):-1]
            return h.reply(200, {"events": [
                e for e in late if self.rng.random() > 0.2]})
        if path == "/test/faults":
            self.tiers.update(doc.pop("tiers", {}))
            self.faults.update(doc)
            return h.reply(200, self.faults)
        return h.reply(404, {"error": "no such path"})


if __name__ == "__main__":
    parser = standin.make_parser(__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--memory-mb", type=int, default=80000)
    parser.add_argument("--fencing", choices=["checked", "ignored"],
                        default="checked")
    parser.add_argument("--store", default="")
    parser.add_argument("--tiers", default="")
    parser.add_argument("--load-scale", type=float, default=1.0)
    parser.add_argument("--token-ms", type=float, default=2.0)
    parser.add_argument("--report-lag-ms", type=int, default=100)
    parser.add_argument("--die-word", default="DIE-NOW")
    parser.add_argument("--die-slowly-ms", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    standin.serve(Engine(args), args.port)
