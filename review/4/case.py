"""Header fields without a value.

One gateway stands before a model engine and an application server.  Clients
ask for no encoding by a field Accept-Encoding with an empty value, which stands
before X-Token-Count, X-Prompt-Prefix or X-Model; the server sends an empty
field Server before its X-Server-Stamp.  With TROUBLE=0 these fields have a
value ("identity", "ledger"), and all else is the same.

Exit: 1 if an engine ran a request whose X-Model, X-Token-Count or
X-Prompt-Prefix isn't the client's, or a client got a success without the
engine's X-Server-Stamp; 0 if not; 2 if the case could not run.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests"))
sys.dont_write_bytecode = True

from cluster import free_port                 # noqa: E402
from fake_platform import Store               # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENCODING = "" if TROUBLE else " identity"
SERVER = "" if TROUBLE else " ledger"
REQUESTS = 20         # of each kind
PROMPT = (("X-Model", "m0"), ("X-Token-Count", "1460,80"),
          ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"))

record = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")
began = time.monotonic()
ran = {}              # id -> header fields that the engine received
served = 0
broken = []


def note(text):
    record.write("%8.3f %s\n" % (time.monotonic() - began, text))


def read_fields(head):
    lines = head.decode().split("\r\n")
    return lines[0], {k.strip().lower(): v.strip() for k, _, v in
                      (line.partition(":") for line in lines[1:] if line)}


class Server:
    """A model engine if it has a MODEL, else an application server."""

    def __init__(self, name, service, model, store):
        self.name, self.service, self.model = name, service, model
        self.store, self.port = store, free_port()
        self.beats = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.beat()

    def beat(self):
        self.beats += 1
        entry = {"service": self.service,
                 "address": "127.0.0.1:%d" % self.port, "zone": "z1",
                 "version": "v1", "slots": 96, "state": "ready",
                 "cold_left_ms": 0, "sequence": self.beats, "phase": "both",
                 "born": self.born}
        if self.model:
            entry["models"] = [{"name": self.model, "version": 1,
                                "adapters": []}]
            entry["at_hand"] = {"in_memory": [self.model],
                                "on_disk": [self.model]}
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line, h = read_fields(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(int(h.get("content-length", 0)))
                writer.write(self.answer(line.split()[1], h))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def answer(self, path, h):
        rid = h.get("x-attempt-id", "")
        fields = "X-Attempt-Id: %s\r\nX-Instance-Load: 1,0,96\r\n" % rid
        body, status = b"", "200 OK"
        if h.get("x-expect-instance", self.name) != self.name:
            status = "421 Misdirected Request"
        elif path == "/report":
            body = json.dumps({
                "phase": "both", "busy": False, "sequence": 0, "queued": 0,
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "active": 0, "kv_used": 0, "kv_total": 189118, "handles": 0,
                "born": self.born}).encode()
        elif path == "/order":
            status = "409 Conflict"
        elif not rid:
            status = "400 Bad Request"
            fields += "X-Not-Executed: 1\r\n"
        elif path != "/healthz":
            ran[rid] = h
            note("%s runs %s with %s" % (self.name, rid, {
                k: h.get(k.lower()) for k, _ in PROMPT}))
            fields += "Server:%s\r\nX-Server-Stamp: s-%s\r\n" % (
                SERVER if not self.model else " summary-lm", self.name)
            if self.model:
                fields += "Content-Type: text/event-stream\r\n"
                body = b"id: 0\ndata: whole\n\n"
            else:
                body = b"registered"
        return ("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" %
                (status, fields, len(body))).encode() + body


async def ask(port, nth, path, prompt, empty_before):
    """Sends a request with Accept-Encoding before the field so called."""
    global served
    rid = "%016x" % (0xc0de000000000000 + nth)
    sent = [("Host", "app.example"), ("X-Attempt-Id", rid),
            ("X-Deadline-Ms", "5000")] + list(prompt)
    fields = "".join("%s%s: %s\r\n" % (
        "Accept-Encoding:%s\r\n" % ENCODING if k == empty_before else "", k,
        v)
        for k, v in sent)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(("POST %s HTTP/1.1\r\n%sContent-Length: 4\r\n\r\nbody" %
                  (path, fields)).encode())
    line, h = read_fields(await asyncio.wait_for(
        reader.readuntil(b"\r\n\r\n"), 10))
    writer.close()
    status = int(line.split()[1])
    note("client sends %s%s, gets %d, stamp %s" % (
        rid, " with Accept-Encoding before " + empty_before
        if empty_before else "", status, h.get("x-server-stamp")))
    served += status == 200
    for k, v in prompt:
        if rid in ran and ran[rid].get(k.lower()) != v:
            broken.append("BROKEN UNASKED: %s ran with %s: %s, the client "
                          "sent %s" % (rid, k, ran[rid].get(k.lower()), v))
    if status // 100 == 2 and not h.get("x-server-stamp"):
        broken.append("BROKEN MIXED: %s got %d without the engine's "
                      "X-Server-Stamp" % (rid, status))


def make_config():
    def route(name, service, kind, sticky):
        doc = {"name": name, "host": "app.example",
               "path_prefix": "/%s/" % name, "route_type": kind,
               "timeout_ms": 5000, "target_latency_ms": 800, "priority": 1,
               "service": service, "attempts": 1, "sticky": sticky,
               "resumable": False}
        return dict(doc, gap_target_ms=400) if sticky else doc
    return {"version": 3,
            "routes": [route("sum", "summary-lm", "streaming", True),
                       route("pay", "ledger", "non_idempotent", False)],
            "services": [
                {"name": "ledger", "health_path": "/healthz",
                 "max_connections": 100},
                {"name": "summary-lm", "health_path": "/healthz",
                 "max_connections": 490, "engine": {
                     "slots": 96, "kv_capacity": 189118,
                     "weights_mb": 83000.0, "max_adapters": 8,
                     "loads_per_s": 3.1,
                     "models": [{"name": "m0", "weights_mb": 34300.0,
                                 "load_time_s": 6.0, "adapters": 0,
                                 "adapter_mb": 40.0}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def start_gateway(folder, store):
    ports = {k: free_port() for k in
             ("front", "ready", "control", "link", "detour")}
    settings = os.path.join(folder, "settings.ini")
    with open(settings, "w", encoding="utf-8") as f:
        f.write("[gateway]\nname = edge-z1-1\ndata_centre = z1\n")
        for k, port in ports.items():
            f.write("%s = 127.0.0.1:%d\n" % (k, port))
        f.write("store = %s\ncpu_share = 0.25\n[bounds]\nretry_ratio = 0.2\n"
                "retry_window_s = 10\nretry_slack = 54\nlease_ms = 3000\n"
                "grace_s = 8\n" % store.address)
    with open(os.path.join(folder, "log"), "wb") as log:
        return ports, subprocess.Popen(
            [os.path.join(ROOT, "target/bglade-gateway")], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "BITTERNGLADE_SETTINGS": settings}, stdout=log, stderr=log)


async def wait_ready(port):
    for _ in range(300):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = read_fields(await reader.readuntil(b"\r\n\r\n"))
            writer.close()
            if line.split()[1] == "200":
                return True
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    return False


async def beat_all(servers):
    while True:
        await asyncio.sleep(1.2)
        for s in servers:
            s.beat()


async def play(store):
    servers = [Server("i-0001", "summary-lm", "m0", store),
               Server("i-0002", "ledger", None, store)]
    for s in servers:
        await s.start()
    store.put_config(make_config())
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        ports, gateway = start_gateway(folder, store)
        beats = asyncio.create_task(beat_all(servers))
        try:
            if not await wait_ready(ports["ready"]):
                return False
            await asyncio.sleep(2)
            nth = 0
            for _ in range(REQUESTS):
                for before in [k for k, _ in PROMPT]:
                    nth += 1
                    await ask(ports["front"], nth, "/sum/x", PROMPT, before)
                nth += 1
                await ask(ports["front"], nth, "/pay/x", (), None)
            return gateway.poll() is None
        finally:
            beats.cancel()
            if gateway.poll() is None:
                gateway.kill()
            gateway.wait()


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    store = Store(free_port())
    done = asyncio.run(play(store))
    store.stop()
    for text in broken:
        note(text)
    unasked = sum("UNASKED" in t for t in broken)
    text = "requests %d, answered 200: %d, UNASKED %d, MIXED %d" % (
        REQUESTS * 4, served, unasked, len(broken) - unasked)
    note(text)
    record.close()
    print(text)
    if not done or served < REQUESTS:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
