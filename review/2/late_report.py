"""A late extra answer to a gateway's own question, taken for a caller's.

Four gateways stand before an application service of four engines.  Clients
register certificates (non_idempotent) and look filings up (idempotent).  With
TROUBLE=1 two of the engines break off a few of their answers and hand out a
few twice, the second copy late (garble, how = "extra late").  After a call that
broke off, a gateway asks the engine for its /report; that answer may come twice
as well.

Exit: 1 if a client got a success that isn't the engine's answer to its own
request; 0 if not; 2 if the case could not run.
"""

import asyncio
import json
import os
import random
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
SEED = int(os.environ.get("SEED", "1"))
ROUNDS = 16            # of a time of garbled answers
ROUND_S = 6.4
GARBLE_S = 5.0        # kit: garble "extra late", for_s = 5.0
GARBLE_X = 0.03       # ... x = 0.03 of the answers, half of them broken off
GARBLERS = 2          # ... of four engines (share 0.6)
ENGINES, GATEWAYS, USERS = 4, 4, 5
SLOTS, WORK_S = 6, 0.030
DEADLINE_MS, TIMEOUT_MS = 2500, 2500

rnd = random.Random(SEED)
record = open(os.path.join(HERE, "record-report.txt"), "w", encoding="utf-8")
began = time.monotonic()
counts = {}           # answers by status, and what the engines spoilt
broken = []


def note(text):
    record.write("%8.3f %s\n" % (time.monotonic() - began, text))


def count(what):
    counts[what] = counts.get(what, 0) + 1


class Engine:
    """Serves one request at a time on a connection, SLOTS in all."""

    def __init__(self, name, store):
        self.name, self.store = name, store
        self.port = free_port()
        self.places = asyncio.Semaphore(SLOTS)
        self.inside = 0
        self.beats = 0
        self.garbles = False
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.beat()

    def beat(self):
        self.beats += 1
        entry = {"service": "ledger", "address": "127.0.0.1:%d" % self.port,
                 "zone": "z1", "version": "v1", "slots": SLOTS,
                 "state": "ready", "cold_left_ms": 0, "sequence": self.beats,
                 "born": self.born}
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        late = b""       # an extra answer, sent where the next one is due
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                h = {k.strip().lower(): v.strip() for k, _, v in
                     (line.partition(":") for line in lines[1:] if line)}
                await reader.readexactly(int(h.get("content-length", 0)))
                path = lines[0].split()[1]
                if late:
                    note("%s sends an extra answer late, before it answers "
                         "%s %s: %s" % (self.name, path,
                                        h.get("x-attempt-id"), late))
                    writer.write(late)
                    late = b""
                answer = await self.answer(path, h)
                spoilt = self.garbles and rnd.random() < GARBLE_X
                if spoilt and rnd.random() < 0.5:
                    count("broken off")
                    note("%s breaks off its answer to %s %s" % (
                        self.name, path, h.get("x-attempt-id")))
                    writer.write(answer[:len(answer) // 2])
                    return
                writer.write(answer)
                await writer.drain()
                if spoilt:
                    late = answer
                    count("twice, of /report" if path == "/report"
                          else "twice")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def make(self, status, rid, body, more=""):
        """An answer echoes X-Attempt-Id if the request has one."""
        echo = "X-Attempt-Id: %s\r\n" % rid if rid else ""
        return ("HTTP/1.1 %s\r\n%sX-Instance-Id: %s\r\n"
                "X-Instance-Load: %d,%d,%d\r\nContent-Length: %d\r\n%s\r\n%s" %
                (status, echo, self.name, min(self.inside, SLOTS),
                 max(0, self.inside - SLOTS), SLOTS, len(body), more,
                 body)).encode()

    async def answer(self, path, h):
        rid = h.get("x-attempt-id", "")
        if h.get("x-expect-instance", self.name) != self.name:
            return self.make("421 Misdirected", rid, "")
        if path == "/report":
            count("asked for /report")
            return self.make("200 OK", rid, json.dumps(
                {"busy": False, "sequence": 0, "queued": 0, "active": 0,
                 "born": self.born}), "Content-Type: application/json\r\n")
        if path == "/healthz":
            return self.make("200 OK", rid, "")
        if not rid:
            return self.make("400 Bad Request", rid, "",
                             "X-Not-Executed: 1\r\n")
        self.inside += 1
        try:
            async with self.places:
                note("%s runs %s" % (self.name, rid))
                await asyncio.sleep(WORK_S)
        finally:
            self.inside -= 1
        return self.make("200 OK", rid, "done " + rid,
                         "X-Server-Stamp: s-%s\r\n" % self.name)


class Client:
    def __init__(self, port):
        self.port = port

    async def ask(self, route):
        """One attempt on a connection of its own."""
        rid = "%016x" % rnd.getrandbits(64)
        note("client sends %s to /%s" % (rid, route))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write((
                "POST /%s/x HTTP/1.1\r\nHost: app.example\r\n"
                "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                "Content-Length: 4\r\n\r\nbody" %
                (route, rid, DEADLINE_MS)).encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            h = {k.strip().lower(): v.strip() for k, _, v in
                 (line.partition(":") for line in head.split("\r\n")[1:])}
            body = await reader.readexactly(int(h.get("content-length", 0)))
            status = int(head.split()[1])
            count(status)
            self.check(rid, route, status, h, body.decode())
        except (asyncio.IncompleteReadError, ConnectionError):
            count("closed")
            note("client has no whole answer to %s" % rid)
        finally:
            writer.close()

    @staticmethod
    def check(rid, route, status, h, body):
        note("client gets %d for %s" % (status, rid))
        if status == 200 and (body != "done " + rid or
                              not h.get("x-server-stamp")):
            broken.append(rid)
            note("BROKEN MIXED: %s, sent to /%s, is answered %d, stamp %s, "
                 "with the body %r" % (rid, route, status,
                                       h.get("x-server-stamp"), body))

    async def work(self, until):
        nth = 0
        while time.monotonic() < until:
            nth += 1
            await self.ask("look" if nth % 3 == 0 else "pay")


def make_config():
    def route(name, kind, attempts):
        return {"name": name, "host": "app.example",
                "path_prefix": "/%s/" % name, "route_type": kind,
                "timeout_ms": TIMEOUT_MS, "target_latency_ms": 150,
                "priority": 2, "service": "ledger", "attempts": attempts,
                "sticky": False, "resumable": False}
    return {"version": 3,
            "routes": [route("pay", "non_idempotent", 1),
                       route("look", "idempotent", 2)],
            "services": [{"name": "ledger", "health_path": "/healthz",
                          "max_connections": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def write_settings(folder, nth, store):
    ports = {k: free_port() for k in
             ("front", "ready", "control", "link", "detour")}
    path = os.path.join(folder, "settings%d.ini" % nth)
    with open(path, "w", encoding="utf-8") as f:
        f.write("[gateway]\nname = edge-z1-%d\ndata_centre = z1\n" % nth)
        for k, port in ports.items():
            f.write("%s = 127.0.0.1:%d\n" % (k, port))
        f.write("store = %s\ncpu_share = 0.25\n[bounds]\nretry_ratio = 0.2\n"
                "retry_window_s = 10\nretry_slack = 54\nlease_ms = 3000\n"
                "grace_s = 8\n" % store.address)
    return path, ports


async def is_ready(port):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head.split()[1] == b"200"
    except (OSError, asyncio.IncompleteReadError):
        return False


async def beat_all(engines):
    while True:
        await asyncio.sleep(1.2)
        for e in engines:
            e.beat()


async def one_round(clients, engines):
    start = time.monotonic()
    crowd = [asyncio.create_task(c.work(start + ROUND_S))
             for c in clients * USERS]
    for e in engines[:GARBLERS]:
        e.garbles = TROUBLE
    await asyncio.sleep(GARBLE_S)
    for e in engines:
        e.garbles = False
    await asyncio.gather(*crowd)


class Gateway:
    def __init__(self, folder, nth, store):
        self.settings, self.ports = write_settings(folder, nth, store)
        self.log = open(os.path.join(folder, "log%d" % nth), "wb")
        self.proc = subprocess.Popen(
            [os.path.join(ROOT, "target/bglade-gateway")], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "BITTERNGLADE_SETTINGS": self.settings},
            stdout=self.log, stderr=self.log)

    async def wait_ready(self):
        for _ in range(300):
            if await is_ready(self.ports["ready"]):
                return True
            await asyncio.sleep(0.05)
        return False

    def stop(self):
        if self.proc.poll() is None:
            self.proc.kill()
        self.proc.wait()
        self.log.close()


async def play(store):
    engines = [Engine("i-000%d" % i, store) for i in range(ENGINES)]
    for e in engines:
        await e.start()
    store.put_config(make_config())
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        gateways = [Gateway(folder, i, store) for i in range(GATEWAYS)]
        beats = asyncio.create_task(beat_all(engines))
        try:
            if not all([await g.wait_ready() for g in gateways]):
                return False
            await asyncio.sleep(2)
            clients = [Client(g.ports["front"]) for g in gateways]
            for _ in range(ROUNDS):
                await one_round(clients, engines)
            return all(g.proc.poll() is None for g in gateways)
        finally:
            beats.cancel()
            for g in gateways:
                g.stop()


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    store = Store(free_port())
    ran = asyncio.run(play(store))
    store.stop()
    text = "%s; MIXED %d" % (counts, len(broken))
    note(text)
    record.close()
    print(text)
    if not ran or counts.get(200, 0) < 100:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
