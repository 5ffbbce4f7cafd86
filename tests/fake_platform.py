"""Stand-ins for the users' platform, which speak its published protocol: the
store (topics of records over HTTP), engines and application servers.

They run on threads of the test's process.  Tests read their fields (requests,
orders, calls) and set others to inject faults (mode, on_request, drop_*).
"""

import base64
import errno
import io
import json
import struct
import threading
import time

from standin import Handler, Server


class App:
    """An HTTP server on its own thread; subclasses define handle()."""

    def __init__(self, port):
        self.port = port
        self.address = "127.0.0.1:%d" % port
        self.lock = threading.RLock()
        self.listen()

    def listen(self):
        handler = type("Bound", (Handler,), {"app": self})
        self.server = self.bind(handler)
        self.thread = threading.Thread(target=self.serve, args=(self.server,),
                                       daemon=True)
        self.thread.start()

    def bind(self, handler):
        """The socket of a former process is closed once its thread has left
        poll(), which may come a moment later."""
        until = time.monotonic() + 1
        while True:
            try:
                return Server(("127.0.0.1", self.port), handler)
            except OSError as e:
                if e.errno != errno.EADDRINUSE or time.monotonic() > until:
                    raise
                time.sleep(0.005)

    @staticmethod
    def serve(server):
        try:
            server.serve_forever(poll_interval=0.05)
        except (OSError, ValueError):
            if not server.ended:
                raise

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


RAW = None   # key of a record whose bytes are given whole

# Written by the platform only: /log-append refuses them with 403.
TOPICS = {"op": "keyed.op", "servers": "keyed.servers"}


def count_call(call_counts, path, query):
    what = "%s %s" % (path, query.get("topic"))
    call_counts[what] = call_counts.get(what, 0) + 1


class Store(App):
    """The platform's store: topics of one partition, each a log of keyed
    records.

    put() and put_config() write as the platform does.
    """

    def __init__(self, port):
        super().__init__(port)
        self.topics = {}   # topic -> list of (key, value or None)
        self.first = {}    # topic -> lowest offset that can be read
        self.changed = threading.Condition(self.lock)
        self.calls = 0
        self.call_counts = {}   # "PATH TOPIC" -> calls
        # up; busy: 503; silent: the connection is closed without a response
        # after 3 s.
        self.mode = "up"
        # Topics whose appends fail.
        self.refused_topics = set()
        # Number of appends to carry out without a response.
        self.drop_append_replies = 0

    def put(self, topic, key, value):
        with self.lock:
            log = self.topics.setdefault(topic, [])
            log.append((key, value))
            self.changed.notify_all()
            return len(log)

    def put_raw(self, topic, record):
        """A record as another writer may have left it, its key included."""
        self.put(topic, RAW, record)

    def put_config(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())

    def newest(self, topic):
        with self.lock:
            found = {}
            for offset, (key, value) in enumerate(self.topics.get(topic, [])):
                if key is not RAW:
                    found[key] = (value, offset)
            return {k: v for k, v in found.items() if v[0] is not None}

    def compact(self, topic):
        """Drops all records: readers of older offsets get 410."""
        with self.lock:
            self.first[topic] = len(self.topics.get(topic, []))

    def handle(self, h, method, path, query, body):
        self.calls += 1
        with self.lock:
            count_call(self.call_counts, path, query)
        if self.mode == "silent":
            time.sleep(3)
            h.close_connection = True
            return
        if self.mode == "busy":
            h.reply(503, {})
            return
        getattr(self, path[1:].replace("-", "_"))(h, query, body)

    def log_newest(self, h, query, _body):
        items = [{"key": k, "value": base64.b64encode(v).decode(),
                  "offset": offset}
                 for k, (v, offset) in sorted(
                     self.newest(query["topic"]).items())
                 if k > query.get("after", "")]
        page = items[:3]   # small, so that clients must read several pages
        h.reply(200, {"items": page, "has_more": len(items) > len(page),
                      "end": len(self.topics.get(query["topic"], []))})

    def log_read(self, h, query, _body):
        topic, at = query["topic"], int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while (len(self.topics.get(topic, [])) <= at and
                   time.monotonic() < until and self.mode == "up"):
                self.changed.wait(0.05)
            log = self.topics.get(topic, [])
            first = self.first.get(topic, 0)
            records = log[at:]
        if at < first:
            h.reply(410, {"first": first})
            return
        out = struct.pack(">QQ", len(log), first)
        for key, value in records:
            rec = value if key is RAW else (
                bytes([len(key.encode())]) + key.encode() + (value or b""))
            out += struct.pack(">I", len(rec)) + rec
        h.send_response(200)
        h.send_header("Content-Length", str(len(out)))
        h.end_headers()
        h.wfile.write(out)

    def stand_in_put(self, h, _query, body):
        """put() of an upstream in another process."""
        doc = json.loads(body)
        value = doc["value"]
        self.put(doc["topic"], doc["key"],
                 None if value is None else value.encode())
        h.reply(200, {})

    def log_append(self, h, query, body):
        topic = query["topic"]
        if topic in TOPICS.values():
            h.reply(403, {})
            return
        if topic in self.refused_topics:
            h.reply(503, {})
            return
        with self.lock:
            log = self.topics.setdefault(topic, [])
            if "at" in query and int(query["at"]) != len(log):
                h.reply(412, {"end": len(log)})
                return
            offset = len(log)
            size, = struct.unpack(">I", body[:4])
            rec = body[4:4 + size]
            key = rec[1:1 + rec[0]].decode()
            log.append((key, rec[1 + rec[0]:]))
            self.changed.notify_all()
            lost = self.drop_append_replies > 0
            self.drop_append_replies -= lost
        if lost:
            h.close_connection = True
            return
        h.reply(200, {"offset": offset, "end": offset + 1})


class StoreProxy(App):
    """One gateway's connection to the store, with faults of its own."""

    def __init__(self, port, store):
        self.store = store
        self.call_counts = {}   # "PATH TOPIC" -> calls
        self.mode = "up"   # as in Store; lost: no answer ever comes
        self.stopped = threading.Event()
        self.delay_s = 0   # added to each call
        self.lost_topics = set()   # as mode lost, for these alone
        self.silent = set()   # connections that carry nothing any more
        super().__init__(port)

    def silence_open(self):
        """Connections that are open now carry nothing any more, in either
        direction, and aren't closed; new ones work."""
        self.silent |= self.server.open

    def pass_on(self, h, method, path, query, body):
        out, h.wfile = h.wfile, io.BytesIO()
        self.store.handle(h, method, path, query, body)
        answer, h.wfile = h.wfile.getvalue(), out
        if h.connection in self.silent:
            self.stopped.wait()
        else:
            out.write(answer)

    def handle(self, h, method, path, query, body):
        with self.store.lock:
            count_call(self.call_counts, path, query)
        if self.mode == "silent":
            time.sleep(3)
            h.close_connection = True
        elif self.mode == "busy":
            h.reply(503, {})
        elif self.mode == "lost" or query.get("topic") in self.lost_topics:
            h.close_connection = True
            self.stopped.wait()
        elif h.connection in self.silent:
            h.close_connection = True
            self.stopped.wait()
        else:
            time.sleep(self.delay_s)
            self.pass_on(h, method, path, query, body)

    def stop(self):
        self.stopped.set()
        super().stop()


class Engine(App):
    """A model engine, or an application server where MODELS is None.

    It publishes its entry in topic keyed.servers, takes orders to load and
    unload, and answers requests: an engine with a stream of EVENTS events, an
    application server with JSON.
    """

    def __init__(self, port, store, name, service="llm", models=None,
                 zone="z1", version="v1"):
        self.store, self.name, self.service, self.zone = (store, name,
                                                          service, zone)
        self.models = None if models is None else {m: set() for m in models}
        self.sizes = {}
        self.memory_mb = 83000
        self.max_adapters = 8
        self.load_s = 0.05
        self.sequence = 0       # number of orders accepted
        self.entries_published = 0
        self.busy = False       # a load is running
        self.born = int(time.time() * 1000)
        self.version = version  # of its software
        self.next_version = None   # of its next process; None: the same
        self.entry_late_s = 0.0    # entry of that process, after its start
        # Its events name the version that made them.
        self.names_version = False
        self.reports = 0        # times it was asked for a report
        self.state = "ready"
        # "memory" or "adapters" once an order exceeded that limit.
        self.overcommitted = None
        self.runs = []          # ids of the requests that were run
        self.arrivals = []      # (id, time) of all requests received
        self.orders = []        # (time, holder, token, op, model, adapter)
        # Number of orders to carry out without a response.
        self.drop_order_replies = 0
        # (id, time) of streams whose connection was closed before their end.
        self.cancelled = []
        # (method, path, headers, body) of the requests that were run.
        self.requests = []
        self.last_fields = []   # (name, value) of the last of them
        # f(engine, handler, id), called for each request; True: it answered.
        self.on_request = None
        self.events = 5         # events in a stream
        self.event_s = 0.01     # between two events
        self.work_s = 0.0       # before an application server's answer
        # Limit on requests a second that its answers name: a text, or a list
        # to name several; None: none.
        self.rate_limit = None
        # Brittle: it says that it falls over once it turns away more requests
        # a second; None: it does not fall.
        self.brittle = None
        self.room = None        # requests at a time, if brittle
        self.inside = 0
        self.rejected = []      # times
        self.falls = []         # times
        self.down_s = 1.5       # from a fall until it is back
        # f(engine, handler, id), called for each request before it is run;
        # True: it was turned away.
        self.on_arrival = None
        self.extra_headers = {}   # of all its answers
        # Its process ends REST_S after it began to run a request whose body
        # contains DEADLY, and is back, empty if it is a model engine, after
        # ENDED_S; under its id, or under a new one (NEW_ID).
        self.deadly = b"DIE-NOW"
        # Or one whose prompt has one of these parts, but as its last.
        self.deadly_parts = ()
        self.rest_s = 0.03
        self.ended_s = 0.3
        self.new_id = False
        self.keeps_models = False   # they are loaded again before it listens
        self.events_before_end = 0   # of a stream, sent before it ends
        self.answer_before_end = None   # as on_request, sent before it ends
        self.deadly_arrivals = []    # times
        self.ends = []               # times at which its process ended
        self.ends_by = []            # (time, body) of these, by a request
        self.deadly_copies = []      # (time, id, body)
        super().__init__(port)
        self.publish_entry()

    def entry(self):
        doc = {"service": self.service, "address": self.address,
               "zone": self.zone, "version": self.version, "slots": 8,
               "state": self.state, "cold_left_ms": 0, "phase": "both",
               "sequence": self.entries_published, "born": self.born}
        if self.models is not None:
            doc["models"] = self.list_models()
            doc["at_hand"] = {"in_memory": [], "on_disk": []}
        return doc

    def list_models(self):
        return [{"name": m, "version": 1, "adapters": sorted(a)}
                for m, a in self.models.items()]

    def publish_entry(self):
        self.entries_published += 1
        self.store.put("keyed.servers", self.name,
                       json.dumps(self.entry()).encode())

    def drain(self):
        self.state = "draining"
        self.publish_entry()

    def leave(self):
        self.store.put("keyed.servers", self.name, None)

    # ---- requests of gateways

    def handle(self, h, method, path, query, body):
        expected = h.headers.get("X-Expect-Instance")
        if expected and expected != self.name:
            rid = h.headers.get("X-Attempt-Id")
            h.reply(421, {}, self.add_limit(
                dict({"X-Attempt-Id": rid} if rid else {},
                     **{"X-Instance-Id": self.name})))
        elif path == "/report":
            self.reports += 1
            h.reply(200, dict(self.entry(), sequence=self.sequence,
                              busy=self.busy, queued=0, active=0, coming=[]),
                    dict(self.extra_headers))
        elif path == "/order":
            self.order(h, json.loads(body))
        else:
            self.request(h, path, body)

    def order(self, h, o):
        with self.lock:
            self.orders.append((time.monotonic(), o["holder"],
                                o["fence_token"], o["op_type"], o["model"],
                                o.get("adapter")))
            if self.busy or o.get("expect", self.sequence) != self.sequence:
                h.reply(409, {}, dict(self.extra_headers))
                return
            self.sequence += 1
            if o["op_type"] == "load" and not o.get("adapter"):
                self.busy = True
                threading.Timer(self.load_s, self.finish_load,
                                [o["model"]]).start()
                used = sum(self.sizes.get(m, 0) for m in self.models)
                if used + self.sizes.get(o["model"], 0) > self.memory_mb:
                    self.overcommitted = "memory"
            elif o["op_type"] == "load":
                self.models[o["model"]].add(o["adapter"])
                if sum(map(len, self.models.values())) > self.max_adapters:
                    self.overcommitted = "adapters"
            elif o.get("adapter"):
                self.models[o["model"]].discard(o["adapter"])
            else:
                self.models.pop(o["model"], None)
            lost = self.drop_order_replies > 0
            self.drop_order_replies -= lost
        if lost:
            h.close_connection = True
        else:
            done = o["op_type"] == "unload" and o.get("adapter")
            h.reply(200 if done else 202, {}, dict(self.extra_headers))

    def finish_load(self, model):
        with self.lock:
            self.models[model] = set()
            self.busy = False
        self.publish_entry()

    def is_loaded(self, wanted):
        model, _, adapter = wanted.partition("/")
        return model in self.models and (
            not adapter or adapter in self.models[model])

    def add_limit(self, headers):
        headers.update(self.extra_headers)
        if self.rate_limit is not None:
            headers["Server-Limit"] = self.rate_limit
        if self.brittle is not None:
            headers["Server-Brittle"] = str(self.brittle)
        return headers

    def turn_away(self, h, rid):
        """No room.  True: the answer was given, or the engine is down."""
        with self.lock:
            at = time.monotonic()
            down = self.falls and at < self.falls[-1] + self.down_s
            full = not down and self.inside >= self.room
            if full:
                self.rejected.append(at)
                if sum(t > at - 1 for t in self.rejected) > self.brittle:
                    self.falls.append(at)
                    self.rejected = []
            elif not down:
                self.inside += 1
        if down:
            h.close_connection = True
        elif full:
            h.reply(503, {}, self.add_limit({"X-Attempt-Id": rid,
                                             "X-Not-Executed": "1"}))
        return down or full

    def request(self, h, path, body):
        rid = h.headers.get("X-Attempt-Id")
        with self.lock:
            self.arrivals.append((rid, time.monotonic()))
        wanted = h.headers.get("X-Model")
        if self.models is not None and wanted and not self.is_loaded(wanted):
            h.reply(421, {}, self.add_limit({"X-Attempt-Id": rid}))
            return
        if self.on_arrival and self.on_arrival(self, h, rid):
            return
        if self.brittle is not None and self.turn_away(h, rid):
            return
        try:
            self.run_request(h, rid, wanted, body)
        finally:
            with self.lock:
                self.inside = max(0, self.inside - 1)

    def end(self, by=None):
        """Its process ends, BY the request with that body, and another one
        starts later."""
        with self.lock:
            if self.server.ended:
                return
            self.ends.append(time.monotonic())
            self.ends_by.append((self.ends[-1], by))
            self.server.end_process()
        back = threading.Timer(self.ended_s, self.come_back)
        back.daemon = True   # the tests may be over by then
        back.start()

    def come_back(self):
        if self.new_id:
            self.leave()
            self.name += "+"
        self.born = int(time.time() * 1000)
        self.version = self.next_version or self.version
        self.sequence = 0
        self.busy = False
        if not self.keeps_models:
            self.models = None if self.models is None else {}
        self.listen()
        threading.Timer(self.entry_late_s, self.publish_entry).start()

    def run_deadly(self, h, rid, wanted, body):
        self.deadly_arrivals.append(time.monotonic())
        self.deadly_copies.append((self.deadly_arrivals[-1], rid, body))
        if self.answer_before_end:
            self.answer_before_end(self, h, rid)
        elif wanted and self.events_before_end:
            self.stream(h, rid, stop_after=self.events_before_end)
        time.sleep(self.rest_s)
        self.end(body)
        h.close_connection = True

    def is_deadly(self, h, body):
        prompt = h.headers.get("X-Prompt-Prefix", "").split(",")
        parts = {p.split(":")[0] for p in prompt[:-1]}
        return (self.deadly in body or self.deadly.decode() in h.path or
                not parts.isdisjoint(self.deadly_parts))

    def run_request(self, h, rid, wanted, body):
        with self.lock:
            self.runs.append(rid)
            self.requests.append((h.command, h.path, dict(h.headers), body))
            self.last_fields = h.headers.items()
        if self.is_deadly(h, body):
            self.run_deadly(h, rid, wanted, body)
            return
        if self.on_request and self.on_request(self, h, rid):
            return
        if wanted:
            self.stream(h, rid)
        else:
            if self.work_s:
                time.sleep(self.work_s)
            h.reply(200, {"by": self.name, "id": rid}, self.add_limit(
                {"X-Attempt-Id": rid, "X-Server-Stamp": "s-" + self.name}))

    def stream(self, h, rid, stop_after=None, tear=False):
        """Sends events from the one after Last-Event-Id on.  Closes the
        connection before event STOP_AFTER; TEAR sends half of that event."""
        first = int(h.headers.get("Last-Event-Id") or -1) + 1
        h.start_stream(self.add_limit({"X-Attempt-Id": rid,
                                       "X-Server-Stamp": "s-" + self.name}))
        try:
            for i in range(first, self.events):
                if stop_after is not None and i >= stop_after:
                    if tear:
                        h.send_chunk("id: %d\ndata: half" % i)
                    h.close_connection = True
                    return
                h.send_chunk("id: %d\ndata: event %d%s\n\n" % (
                    i, i, " of " + self.version if self.names_version else ""))
                time.sleep(self.event_s)
            h.end_stream()
        except OSError:
            with self.lock:
                self.cancelled.append((rid, time.monotonic()))
            raise


def route(name, service, kind, **more):
    doc = {"name": name, "host": "app.example", "path_prefix": "/%s/" % name,
           "route_type": kind, "timeout_ms": 4000, "target_latency_ms": 500,
           "priority": 1, "service": service, "attempts": 2,
           "sticky": kind == "streaming", "resumable": False}
    if kind == "streaming":
        doc["gap_target_ms"] = 200
    doc.update(more)
    return doc


def routes_with_public():
    """The routes of config() and a public one, "open"."""
    return config(1)["routes"] + [
        route("open", "app", "idempotent", public=True)]


def workspace(name, keys, **more):
    return dict({"name": name, "api_keys": list(keys)}, **more)


def config(version, routes=None, models=("m0", "m1", "m2"), mb=30000,
           workspaces=None):
    doc = {
        "version": version,
        "routes": routes or [
            route("read", "app", "idempotent"),
            route("pay", "app", "non_idempotent", attempts=1),
            route("chat", "llm", "streaming", resumable=True),
            route("sum", "llm", "streaming", attempts=1)],
        "services": [
            {"name": "app", "health_path": "/healthz",
             "max_connections": 100},
            {"name": "llm", "health_path": "/healthz",
             "max_connections": 100, "engine": {
                 "slots": 8, "kv_capacity": 100000, "weights_mb": 83000.0,
                 "max_adapters": 8, "loads_per_s": 3.0,
                 "models": [{"name": m, "weights_mb": mb + 0.000001,
                             "load_time_s": 0.05, "adapters": 20,
                             "adapter_mb": 40.0, "disk_s": 0.05,
                             "warm_s": 0.05} for m in models]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if workspaces is not None:
        doc["tenants"] = workspaces
    return doc
