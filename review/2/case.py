"""A late extra answer to a request that is sent again to the same engine.

Seven gateways stand before an application service of two engines.  Clients
register certificates (a non_idempotent route).  Now and then more of them
come than the engines have places, so an engine rejects some with 503 and
X-Not-Executed.
With TROUBLE=1 one engine hands out a few of its answers twice, the second
copy late (garble, how = "extra late").

Exit: 1 if a request ran more than once, or ran although it was refused; 0 if
not; 2 if the case could not run.
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
ROUNDS = 15            # of a burst; garble comes with each
ROUND_S = 6.4
BURST_S = 6.0
GARBLE_S = 5.0        # kit: garble "extra late", for_s = 5.0
GARBLE_X = 0.03       # ... x = 0.03, at one engine of two (share 0.6)
GATEWAYS = 7
# At each gateway, and those that come in a burst besides, to one gateway each
# (kit: burst, x = 1.7 and more; here 16 / 14).
USERS, BURST_USERS = 2, 2
SLOTS, QUEUE, WORK_S = 6, 1, 0.030
DEADLINE_MS, TIMEOUT_MS = 2500, 1200

rnd = random.Random(SEED)
record = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")
began = time.monotonic()
runs = {}             # id -> [(engine, time)]
answers = {}          # id -> status, or "closed"
extras = []


def note(text):
    record.write("%8.3f %s\n" % (time.monotonic() - began, text))


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
                if late:
                    note("%s sends an extra answer late, before it answers "
                         "%s: %s" % (self.name, h.get("x-attempt-id"), late[:80]))
                    writer.write(late)
                    late = b""
                answer = await self.answer(lines[0], h)
                writer.write(answer)
                await writer.drain()
                if self.garbles and rnd.random() < GARBLE_X:
                    late = answer
                    extras.append(h.get("x-attempt-id"))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def make(self, status, rid, body, more=""):
        echo = "X-Attempt-Id: %s\r\n" % rid if rid else ""
        return ("HTTP/1.1 %s\r\n%sX-Instance-Id: %s\r\n"
                "X-Instance-Load: %d,%d,%d\r\nContent-Length: %d\r\n%s\r\n%s" %
                (status, echo, self.name, min(self.inside, SLOTS),
                 max(0, self.inside - SLOTS), SLOTS, len(body), more,
                 body)).encode()

    async def answer(self, line, h):
        rid = h.get("x-attempt-id", "")
        path = line.split()[1]
        if h.get("x-expect-instance", self.name) != self.name:
            return self.make("421 Misdirected", rid, "")
        if path == "/report":
            return self.make("200 OK", rid, json.dumps(
                {"busy": False, "sequence": 0, "queued": 0, "active": 0,
                 "born": self.born}))
        if path == "/healthz":
            return self.make("200 OK", rid, "")
        if self.inside >= SLOTS + QUEUE:
            note("%s rejects %s" % (self.name, rid))
            return self.make("503 Service Unavailable", rid, "",
                             "X-Not-Executed: 1\r\n")
        self.inside += 1
        try:
            async with self.places:
                runs.setdefault(rid, []).append(self.name)
                note("%s runs %s" % (self.name, rid))
                await asyncio.sleep(WORK_S)
        finally:
            self.inside -= 1
        return self.make("200 OK", rid, "registered " + rid,
                         "X-Server-Stamp: s-%s\r\n" % self.name)


class Client:
    def __init__(self, port):
        self.port = port

    async def ask(self):
        """One attempt on a connection of its own."""
        rid = "%016x" % rnd.getrandbits(64)
        answers[rid] = "closed"
        body = "certificate " + rid
        note("client sends %s" % rid)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write((
                "POST /pay/x HTTP/1.1\r\nHost: app.example\r\n"
                "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                "Content-Length: %d\r\n\r\n%s" %
                (rid, DEADLINE_MS, len(body), body)).encode())
            head = await reader.readuntil(b"\r\n\r\n")
            answers[rid] = int(head.split()[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
        note("client gets %s for %s" % (answers[rid], rid))

    async def work(self, until):
        while time.monotonic() < until:
            await self.ask()


def make_config():
    return {"version": 3,
            "routes": [{"name": "pay", "host": "app.example",
                        "path_prefix": "/pay/", "route_type": "non_idempotent",
                        "timeout_ms": TIMEOUT_MS, "target_latency_ms": 150,
                        "priority": 2, "service": "ledger", "attempts": 1,
                        "sticky": False, "resumable": False}],
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
    crowd += [asyncio.create_task(c.work(start + BURST_S))
              for c in clients[:BURST_USERS]]
    engines[0].garbles = TROUBLE     # one of two: share 0.6 at most
    await asyncio.sleep(GARBLE_S)
    engines[0].garbles = False
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
    engines = [Engine("i-000%d" % i, store) for i in (1, 2)]
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
    twice = {r for r, by in runs.items() if len(by) > 1}
    refused = {r for r in runs if answers.get(r) in (408, 421, 429, 503)}
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    for r in sorted(twice):
        note("BROKEN TWICE: %s ran %d times, by %s; its client got %s" %
             (r, len(runs[r]), runs[r], answers.get(r)))
    for r in sorted(refused):
        note("BROKEN REFUSED: %s ran, its client got %s" % (r, answers[r]))
    note("answers %s, extra answers %d, ran twice %d, refused and run %d" %
         (counts, len(extras), len(twice), len(refused)))
    record.close()
    print("answers %s, extra answers %d, ran twice %d, refused and run %d" %
          (counts, len(extras), len(twice), len(refused)))
    if not ran or counts.get(200, 0) < 100:
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(main())
