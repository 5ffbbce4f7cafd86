"""Small stand-ins for the cases of this review: the platform's store, model
engines, application servers, gateway processes and callers, on loopback.

They follow the platform's pages (PROTOCOL.md, DEPLOY.md).
"""

import base64
import collections
import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HEARTBEAT_S = 1.2
HOST = "ficu95.example"
RESET = struct.pack("ii", 1, 0)


LIMIT_S = 110   # of a case


class CannotRun(Exception):
    pass


def on_alarm(_signal, _frame):
    raise CannotRun("it took more than %d s" % LIMIT_S)


def run(main):
    """The exit status of MAIN; 2 if it fails."""
    signal.signal(signal.SIGALRM, on_alarm)
    signal.alarm(LIMIT_S)
    status = 2
    try:
        status = main()
    except CannotRun as e:
        print("the case couldn't run: %s" % e)
    except Exception:   # a fault of the case, not of the gateway
        traceback.print_exc()
    signal.alarm(0)
    for g in Gateway.started:
        g.stop()
    return status


def wait_until(test, seconds, what):
    until = time.monotonic() + seconds
    while not test():
        if time.monotonic() > until:
            raise CannotRun("timed out: " + what)
        time.sleep(0.02)


PORTS = range(14000, 30000)   # below those of outgoing connections
_ports = itertools.cycle(PORTS)
for _ in range(os.getpid() * 61 % len(PORTS)):
    next(_ports)


def free_port():
    for port in itertools.islice(_ports, len(PORTS)):
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise CannotRun("no free port")


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.begin,
                                            text))
            self.file.flush()


# ---- servers --------------------------------------------------------------

class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address, handler):
        self.open = set()
        self.ended = False
        super().__init__(address, handler)

    def handle_error(self, request, client_address):
        pass   # the far end is gone

    def end_process(self):
        """As if the process was killed: open connections are closed by the
        kernel, new ones are refused."""
        self.ended = True
        self.socket.close()
        for c in list(self.open):
            try:
                c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    app = None

    def setup(self):
        super().setup()
        self.server.open.add(self.connection)

    def finish(self):
        self.server.open.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def log_message(self, *_args):
        pass

    def run_app(self):
        url = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        try:
            self.app.handle(self, url.path, query, body)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = do_PUT = do_HEAD = run_app

    def reply(self, status, doc, headers=None, raw=None):
        data = json.dumps(doc).encode() if raw is None else raw
        self.send_response(status)
        if raw is None:
            self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class App:
    def __init__(self):
        self.lock = threading.RLock()
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.listen()

    def listen(self):
        handler = type("Bound", (Handler,), {"app": self})
        until = time.monotonic() + 2
        while True:
            try:
                self.server = Server(("127.0.0.1", self.port), handler)
                break
            except OSError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.01)
        threading.Thread(target=self.serve, args=(self.server,),
                         daemon=True).start()

    @staticmethod
    def serve(server):
        try:
            server.serve_forever(poll_interval=0.05)
        except (OSError, ValueError):
            if not server.ended:
                raise


class Store(App):
    """The store: topics of one partition, logs of keyed records."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.topics = collections.defaultdict(list)   # of (key, value)
        super().__init__()
        self.changed = threading.Condition(self.lock)

    def put(self, topic, key, value):
        with self.lock:
            self.topics[topic].append((key, value))
            self.changed.notify_all()

    def put_config(self, doc):
        self.record.write("configuration %d" % doc["version"])
        self.put("keyed.op", "config", json.dumps(doc).encode())

    def handle(self, h, path, query, body):
        {"/log-newest": self.newest, "/log-read": self.read,
         "/log-append": self.append}[path](h, query, body)

    def newest(self, h, query, _body):
        with self.lock:
            log = list(self.topics[query["topic"]])
        found = {}
        for offset, (key, value) in enumerate(log):
            found[key] = (value, offset)
        keys = [k for k in sorted(found) if found[k][0] is not None and
                k > query.get("after", "")]
        items = [{"key": k, "value": base64.b64encode(found[k][0]).decode(),
                  "offset": found[k][1]} for k in keys[:self.PAGE]]
        h.reply(200, {"items": items, "has_more": len(keys) > self.PAGE,
                      "end": len(log)})

    def read(self, h, query, _body):
        topic, at = query["topic"], int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while len(self.topics[topic]) <= at and time.monotonic() < until:
                self.changed.wait(max(0, min(0.2, until - time.monotonic())))
            log = self.topics[topic]
            out = struct.pack(">QQ", len(log), 0)
            for key, value in log[at:]:
                rec = bytes([len(key)]) + key.encode() + (value or b"")
                out += struct.pack(">I", len(rec)) + rec
        h.reply(200, None, raw=out)

    def append(self, h, query, body):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            h.reply(403, {})
            return
        with self.lock:
            log = self.topics[topic]
            if "at" in query and int(query["at"]) != len(log):
                h.reply(412, {"end": len(log)})
                return
            offset = len(log)
            while body:
                size, = struct.unpack(">I", body[:4])
                rec, body = body[4:4 + size], body[4 + size:]
                log.append((rec[1:1 + rec[0]].decode(),
                            rec[1 + rec[0]:] or None))
            end = len(log)
            self.changed.notify_all()
        h.reply(200, {"offset": offset, "end": end})


class Upstream(App):
    """What engines and application servers share: the entry in the store."""

    def __init__(self, store, name, service, record, zone="z1"):
        self.store, self.name, self.service = store, name, service
        self.record, self.zone = record, zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.up = True
        self.beating = True
        self.running = {}   # attempt id -> handler, of requests at work
        super().__init__()
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 6,
                "state": self.state, "cold_left_ms": 0,
                "sequence": self.beats, "born": self.born}

    def publish(self):
        self.beats += 1
        self.store.put("keyed.servers", self.name,
                       json.dumps(self.entry()).encode())

    def beat(self):
        while True:
            if self.up and self.beating:
                self.publish()
            time.sleep(HEARTBEAT_S)

    def handle(self, h, path, query, body):
        rid = h.headers.get("X-Attempt-Id")
        expected = h.headers.get("X-Expect-Instance")
        if expected and expected != self.name:
            h.reply(421, {}, {"X-Instance-Id": self.name,
                              **({"X-Attempt-Id": rid} if rid else {})})
        elif path == "/healthz":
            h.reply(200, {}, {"X-Instance-Id": self.name})
        else:
            self.request(h, path, body, rid)


class ModelEngine(Upstream):
    """A model engine.  SIZES: model -> MB; LOADED: what it holds at first."""

    def __init__(self, store, name, service, sizes, loaded, *, weights_mb,
                 adapter_mb, max_adapters, record, adapter_s=0.007,
                 load_s=0.39, events=10, event_s=0.03, first_s=0.05,
                 down_s=2.0):
        self.sizes, self.weights_mb = dict(sizes), weights_mb
        self.adapter_mb, self.max_adapters = adapter_mb, max_adapters
        self.models = {m: set() for m in loaded}
        self.adapter_s, self.load_s = adapter_s, load_s
        self.events, self.event_s = events, event_s
        self.first_s, self.down_s = first_s, down_s
        self.sequence = 0
        self.busy = False
        self.loading = None       # the model that is being loaded
        self.orders = []          # (time, holder, token, op, model, adapter)
        self.overcommitted = []   # texts
        self.crashes = 0
        super().__init__(store, name, service, record)

    def entry(self):
        return dict(super().entry(), slots=96, phase="both",
                    models=self.list_models(),
                    at_hand={"in_memory": [], "on_disk": []})

    def list_models(self):
        with self.lock:
            return [{"name": m, "version": 1, "adapters": sorted(a)}
                    for m, a in self.models.items()]

    def request(self, h, path, body, rid):
        if path == "/report":
            with self.lock:
                h.reply(200, {
                    "phase": "both", "models": self.list_models(),
                    "busy": self.busy, "sequence": self.sequence,
                    "queued": 0, "active": len(self.running), "kv_used": 0,
                    "kv_total": 189118, "handles": 0, "coming": [],
                    "born": self.born,
                    "at_hand": {"in_memory": [], "on_disk": []}})
        elif path == "/order":
            self.order(h, json.loads(body))
        else:
            self.run_stream(h, rid)

    def count_mb(self):
        held = sum(self.sizes[m] + len(a) * self.adapter_mb
                   for m, a in self.models.items())
        return held + (self.sizes[self.loading] if self.loading else 0)

    def order(self, h, o):
        if not o.get("holder") or "fence_token" not in o:
            h.reply(400, {})
            return
        with self.lock:
            model, adapter = o["model"], o.get("adapter")
            what = "%s %s%s" % (o["op_type"], model,
                                "/" + adapter if adapter else "")
            self.orders.append((time.monotonic(), o["holder"],
                                o["fence_token"], o["op_type"], model,
                                adapter))
            status = self.take_order(o["op_type"], model, adapter,
                                     o.get("expect"))
            self.record.write("%s: order %s by %s, token %d: %d; %d of %d MB, "
                              "%d adapters" % (
                                  self.name, what, o["holder"],
                                  o["fence_token"], status, self.count_mb(),
                                  self.weights_mb, self.count_adapters()))
            over = (self.count_mb() > self.weights_mb or
                    self.count_adapters() > self.max_adapters)
            if over:
                self.overcommitted.append(
                    "%s was ordered to %s: %d of %d MB, %d of %d adapters; it "
                    "crashes with %d streams at work" % (
                        self.name, what, self.count_mb(), self.weights_mb,
                        self.count_adapters(), self.max_adapters,
                        len(self.running)))
                self.record.write(self.overcommitted[-1])
        if over:
            self.crash()
            h.close_connection = True
            return
        h.reply(status, {})

    def count_adapters(self):
        return sum(len(a) for a in self.models.values())

    def take_order(self, op, model, adapter, expect):
        """The status of the answer."""
        if self.busy or (expect is not None and expect != self.sequence):
            return 409
        if model not in self.sizes:
            return 400
        if adapter:
            return self.take_adapter_order(op, model, adapter)
        if (op == "load") == (model in self.models):
            return 200
        self.sequence += 1
        if op == "unload":
            del self.models[model]
            return 202
        self.busy = True
        self.loading = model   # its memory is taken from now on
        timer = threading.Timer(self.load_s, self.end_load, [self.born])
        timer.daemon = True
        timer.start()
        return 202

    def take_adapter_order(self, op, model, adapter):
        if model not in self.models:
            return 400
        held = self.models[model]
        if (op == "load") == (adapter in held):
            return 200
        self.sequence += 1
        if op == "load":
            held.add(adapter)
            return 202
        held.discard(adapter)
        return 200

    def end_load(self, born):
        with self.lock:
            if born != self.born or not self.loading:
                return   # its process ended
            self.models[self.loading] = set()
            self.loading = None
            self.busy = False
        self.publish()

    def crash(self):
        with self.lock:
            if self.server.ended:
                return
            self.crashes += 1
            self.up = False
            self.server.end_process()
            self.models = {}
            self.loading = None
            self.running.clear()
        timer = threading.Timer(self.down_s, self.come_back)
        timer.daemon = True
        timer.start()

    def come_back(self):
        with self.lock:
            self.sequence = 0
            self.busy = False
            self.born = int(time.time() * 1000)
            self.listen()
            self.up = True
        self.publish()

    def run_stream(self, h, rid):
        wanted = h.headers.get("X-Model") or ""
        model, _, adapter = wanted.partition("/")
        with self.lock:
            held = self.models.get(model)
            ready = held is not None and (not adapter or adapter in held)
        if not ready:
            h.reply(421, {}, {"X-Attempt-Id": rid})
            return
        self.running[rid] = h
        self.record.write("%s runs %s (%s)" % (self.name, rid, wanted))
        try:
            time.sleep(self.first_s)
            h.send_response(200)
            h.send_header("Content-Type", "text/event-stream")
            h.send_header("Transfer-Encoding", "chunked")
            h.send_header("X-Attempt-Id", rid)
            h.send_header("X-Server-Stamp", "s-%s" % rid)
            h.end_headers()
            first = int(h.headers.get("Last-Event-Id") or -1) + 1
            for n in range(first, self.events):
                data = b"id: %d\ndata: piece %d of %s\n\n" % (
                    n, n, rid.encode())
                h.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                h.wfile.flush()
                time.sleep(self.event_s)
            h.wfile.write(b"0\r\n\r\n")
            h.wfile.flush()
        finally:
            self.running.pop(rid, None)


# ---- configuration --------------------------------------------------------

def make_route(name, service, kind, **more):
    doc = {"name": name, "host": HOST, "path_prefix": "/%s/" % name,
           "route_type": kind, "timeout_ms": 1200, "target_latency_ms": 150,
           "priority": 1, "service": service, "attempts": 1,
           "sticky": False, "resumable": False}
    doc.update(more)
    return doc


def make_config(version, routes, services, **more):
    doc = {"version": version, "routes": routes, "services": services,
           "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    doc.update(more)
    return doc


# ---- gateways -------------------------------------------------------------

class Gateway:
    """A gateway process, with settings as platform/settings.ini makes them for
    a small deployment."""

    started = []

    def __init__(self, root, store, name, record, extra="", zone="z1",
                 store_address=None):
        self.root, self.name, self.record = root, name, record
        (self.front, self.ready, self.control, self.link,
         self.detour) = (free_port() for _ in range(5))
        self.dir = tempfile.mkdtemp(prefix="bglade-case-")
        self.settings = os.path.join(self.dir, "settings.ini")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write("""[gateway]
name = %s
data_centre = %s
front = 127.0.0.1:%d
ready = 127.0.0.1:%d
control = 127.0.0.1:%d
link = 127.0.0.1:%d
detour = 127.0.0.1:%d
store = %s
cpu_share = 0.25
[machine]
memory_mb = 260
max_fds = 4100
[bounds]
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
lease_ms = 3000
grace_s = 8
%s""" % (name, zone, self.front, self.ready, self.control, self.link,
                self.detour, store_address or store.address, extra))
        self.proc = None
        Gateway.started.append(self)
        self.start()

    def start(self):
        program = os.path.join(self.root, "target", "bglade-gateway")
        if not os.path.exists(program):
            raise CannotRun("no %s" % program)
        self.log = open(os.path.join(self.dir, "log"), "ab")
        self.proc = subprocess.Popen(
            [program], stdout=self.log, stderr=self.log, cwd=self.root,
            env=dict(os.environ, BITTERNGLADE_SETTINGS=self.settings))
        self.record.write("%s starts" % self.name)

    def is_ready(self):
        c = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
        try:
            c.request("GET", "/readyz")
            return c.getresponse().status == 200
        except OSError:
            return False
        finally:
            c.close()

    def dump(self):
        c = http.client.HTTPConnection("127.0.0.1", self.control, timeout=2)
        try:
            c.request("GET", "/dump")
            return json.loads(c.getresponse().read())
        finally:
            c.close()

    def send_signal(self, sig):
        self.record.write("%s gets %s" % (self.name, signal.Signals(sig).name))
        self.proc.send_signal(sig)

    def stop(self):
        if self.proc and self.proc.poll() is None:
            self.proc.kill()
        if self.proc:
            self.proc.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


# ---- callers --------------------------------------------------------------

_ids = itertools.count(1)


def make_id():
    return "%08x%08x" % (os.getpid(), next(_ids))


class Result:
    def __init__(self, rid):
        self.rid = rid
        self.status = 0       # 0: no answer
        self.headers = {}
        self.body = b""
        self.complete = False  # as HTTP tells it
        self.whole = False     # a success, complete

    def __str__(self):
        return "%s: %s, %d bytes%s" % (
            self.rid, self.status or "no answer", len(self.body),
            "" if self.complete else ", cut")


def ask(gateway, route, record, *, method="POST", body=b"x", headers=None,
        deadline_ms=2500, rid=None, path=None):
    r = Result(rid or make_id())
    head = {"Host": HOST, "X-Attempt-Id": r.rid,
            "X-Deadline-Ms": str(deadline_ms)}
    head.update(headers or {})
    record.write("%s sent to %s: %s %s" % (r.rid, gateway.name, method,
                                           path or route))
    c = http.client.HTTPConnection("127.0.0.1", gateway.front,
                                   timeout=deadline_ms / 1000)
    try:
        c.request(method, path or "/%s/2f" % route, body, head)
        a = c.getresponse()
        r.status, r.headers = a.status, dict(a.getheaders())
        r.body = a.read()
        r.complete = True
    except http.client.IncompleteRead as e:
        r.body = e.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        c.close()
    r.whole = r.complete and r.status // 100 == 2
    record.write("answered %s" % r)
    return r


def stream(gateway, route, model, record, *, deadline_ms=15000, body=b"x",
           headers=None):
    rid = make_id()
    head = {"X-Model": model, "X-Token-Count": "826,290",
            "X-Prompt-Prefix": "5c1e07a2:119,91bd3f06:79,%s:628" % rid[8:]}
    head.update(headers or {})
    return ask(gateway, route, record, body=body, headers=head,
               deadline_ms=deadline_ms, rid=rid)
