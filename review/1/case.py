"""A request whose body is over a limit that the operator has just lowered.

A gateway stands before an application server.  The operator lowers
max_body_bytes from 64 KiB to 16 KiB.  Clients send registrations of 20 to
60 KB until then, and up to config_ms after the acknowledgement: each is within
a limit that may be in force, so it may be passed on whole or answered 413.
Half of the bodies hold a captured HTTP message, as text.  With TROUBLE=0 the
new configuration leaves the limit as it is, and all else is the same.

Exit: 1 if the server ran a request with another body than the client's, or one
whose id no client sent; 0 if not; 2 if the case could not run.
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
CONFIG_S = 2.0        # config_ms of bgsps-glade
OLD_LIMIT = 65536
NEW_LIMIT = 16384
CLIENTS = 4
BEFORE_S = 3.0        # clients send for so long before the change
PAUSE_S = 0.08        # of a client, between two requests

record = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")
began = time.monotonic()
sent = {}             # id -> body
counts = {"200": 0, "413": 0, "other": 0, "extra": 0, "ran": 0}
broken = []


def note(text):
    record.write("%8.3f %s\n" % (time.monotonic() - began, text))


def break_rule(rule, text):
    broken.append(rule)
    note("BROKEN %s: %s" % (rule, text))


def read_fields(head):
    lines = head.decode().split("\r\n")
    return lines[0], {k.strip().lower(): v.strip() for k, _, v in
                      (line.partition(":") for line in lines[1:] if line)}


class Server:
    """An application server."""

    def __init__(self, name, store):
        self.name, self.store, self.port = name, store, free_port()
        self.beats = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.beat()

    def beat(self):
        self.beats += 1
        self.store.put("keyed.servers", self.name, json.dumps({
            "service": "ledger", "address": "127.0.0.1:%d" % self.port,
            "zone": "z1", "version": "v1", "slots": 6, "state": "ready",
            "cold_left_ms": 0, "sequence": self.beats,
            "born": self.born}).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line, h = read_fields(await reader.readuntil(b"\r\n\r\n"))
                body = await reader.readexactly(
                    int(h.get("content-length", 0)))
                writer.write(self.answer(line, h, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def answer(self, line, h, body):
        rid = h.get("x-attempt-id", "")
        fields = "X-Attempt-Id: %s\r\nX-Instance-Load: 1,0,6\r\n" % rid
        out, status = b"", "200 OK"
        if h.get("x-expect-instance", self.name) != self.name:
            status = "421 Misdirected Request"
        elif line.split()[1] == "/healthz":
            fields += "X-Instance-Id: %s\r\n" % self.name
        elif not rid:
            status = "400 Bad Request"
            fields += "X-Not-Executed: 1\r\n"
        else:
            self.run(line, rid, body)
            fields += "X-Server-Stamp: s-%s\r\n" % self.name
            out = b"registered"
        return ("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" %
                (status, fields, len(out))).encode() + out

    def run(self, line, rid, body):
        counts["ran"] += 1
        note("%s runs %s (%s) with %d bytes" % (self.name, rid, line,
                                                len(body)))
        if rid not in sent:
            break_rule("UNASKED", "%s ran, no client sent that id: it was in "
                       "the body of another request" % rid)
        elif body != sent[rid]:
            break_rule("UNASKED", "%s ran with %d bytes of body, the client "
                       "sent %d" % (rid, len(body), len(sent[rid])))


def make_body(nth):
    """Of 20 to 60 KB; every second one holds a captured message."""
    text = ("certificate %d\n" % nth).encode()
    if nth % 2:
        text = (b"POST /pay/captured HTTP/1.1\r\nHost: app.example\r\n"
                b"X-Attempt-Id: feed%012x\r\nX-Deadline-Ms: 2500\r\n"
                b"Content-Length: 4\r\n\r\nlevy" % nth)
    return text.ljust(20000 + nth * 1777 % 40000, b".")


class Client:
    """Sends one request after the other, on kept connections."""

    def __init__(self, number, port):
        self.number, self.port, self.nth = number, port, number
        self.reader = self.writer = None

    async def read_answer(self):
        line, h = read_fields(await self.reader.readuntil(b"\r\n\r\n"))
        await self.reader.readexactly(int(h.get("content-length", 0)))
        return int(line.split()[1]), h

    async def ask(self):
        if not self.writer:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port)
        self.nth += CLIENTS
        rid, body = "c0de%012x" % self.nth, make_body(self.nth)
        sent[rid] = body
        self.writer.write((
            "POST /pay/x HTTP/1.1\r\nHost: app.example\r\n"
            "X-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\n"
            "Content-Length: %d\r\n\r\n" % (rid, len(body))).encode() + body)
        status, h = await asyncio.wait_for(self.read_answer(), 5)
        key = str(status) if str(status) in counts else "other"
        counts[key] += 1
        note("client %d: %s with %d bytes, answered %d, id %s" % (
            self.number, rid, len(body), status, h.get("x-attempt-id")))
        if status != 200 or h.get("connection") == "close":
            self.close()

    async def look_for_more(self):
        """Nothing was asked: any answer is one too many."""
        try:
            status, h = await asyncio.wait_for(self.read_answer(), PAUSE_S)
        except asyncio.TimeoutError:
            return
        counts["extra"] += 1
        note("client %d: an answer without a request, %d, id %s" % (
            self.number, status, h.get("x-attempt-id")))
        if h.get("x-attempt-id") not in (None, "c0de%012x" % self.nth):
            break_rule("MIXED", "client %d gets the answer to %s" % (
                self.number, h["x-attempt-id"]))
        self.close()

    def close(self):
        self.writer.close()
        self.writer = None

    async def run(self, until):
        while not until.is_set():
            try:
                await self.ask()
                if self.writer:
                    await self.look_for_more()
                else:
                    await asyncio.sleep(PAUSE_S)
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError) as e:
                note("client %d: %r" % (self.number, e))
                if self.writer:
                    self.close()
        if self.writer:
            self.close()


def make_config(version, max_body_bytes):
    return {"version": version,
            "routes": [{"name": "pay", "host": "app.example",
                        "path_prefix": "/pay/",
                        "route_type": "non_idempotent", "timeout_ms": 2500,
                        "target_latency_ms": 150, "priority": 1,
                        "service": "ledger", "attempts": 1, "sticky": False,
                        "resumable": False}],
            "services": [{"name": "ledger", "health_path": "/healthz",
                          "max_connections": 100}],
            "limits": {"max_header_bytes": 16384,
                       "max_body_bytes": max_body_bytes,
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
    servers = [Server("i-0001", store), Server("i-0002", store)]
    for s in servers:
        await s.start()
    store.put_config(make_config(3, OLD_LIMIT))
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        ports, gateway = start_gateway(folder, store)
        beats = asyncio.create_task(beat_all(servers))
        try:
            if not await wait_ready(ports["ready"]):
                return False
            await asyncio.sleep(2)
            over = asyncio.Event()
            clients = [asyncio.create_task(
                Client(i, ports["front"]).run(over)) for i in range(CLIENTS)]
            await asyncio.sleep(BEFORE_S)
            store.put_config(make_config(
                5, NEW_LIMIT if TROUBLE else OLD_LIMIT))
            note("operator: version 5 is acknowledged")
            # The last request is sent within config_ms.
            await asyncio.sleep(CONFIG_S - 2 * PAUSE_S)
            over.set()
            await asyncio.gather(*clients)
            await asyncio.sleep(1)
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
    text = "sent %d; %s; UNASKED %d, MIXED %d" % (
        len(sent), ", ".join("%s %d" % p for p in counts.items()),
        broken.count("UNASKED"), broken.count("MIXED"))
    note(text)
    record.close()
    print(text)
    if not done or counts["200"] < 20:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
