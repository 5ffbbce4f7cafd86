"""A configuration that nobody reads.

Three gateways stand before an application server; each reaches the store
through a proxy of its own.  With TROUBLE=1 the store is silent for 4.5 s: what
is sent to it in that time gets no answer, then or later, while connections that
are opened afterwards work.  Half a second into it the machine of the leading
gateway is lost for good (SIGKILL, and not started again).  3.2 s after the
store is back, a configuration with one more route is written, and the new route
is asked for at the other two gateways.

Exit: 1 if a request for the new route, sent more than config_ms after the
store's acknowledgement, was answered 404; 0 if none was; 2 if the case could
not run.
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
SILENT_S = 4.5        # kit: platform_down "silent" for up to 8.0 s
CONTACT_S = 3.0       # contact_ms
CONFIG_S = 2.0        # config_ms
WATCH_S = 30.0

record = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")
began = time.monotonic()


def note(text):
    record.write("%8.3f %s\n" % (time.monotonic() - began, text))


def read_fields(head):
    lines = head.decode().split("\r\n")
    return lines[0], {k.strip().lower(): v.strip() for k, _, v in
                      (line.partition(":") for line in lines[1:] if line)}


class StoreProxy:
    """Between one gateway and the store."""

    def __init__(self, target):
        self.target, self.port = target, free_port()
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1",
                                                 self.port)

    async def accept(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1",
                                                             self.target)
        lost = asyncio.Event()   # a call of it got no answer: none comes now
        await asyncio.gather(self.pump(reader, up_writer, lost, True),
                             self.pump(up_reader, writer, lost, False))

    async def pump(self, reader, writer, lost, calls):
        try:
            while data := await reader.read(65536):
                if self.silent and calls:
                    lost.set()
                if not (lost.is_set() or self.silent):
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if calls or not lost.is_set():
            writer.close()


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
                _, h = read_fields(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(int(h.get("content-length", 0)))
                other = h.get("x-expect-instance", self.name) != self.name
                body = b"" if other else b"registered"
                writer.write(("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
                              "X-Server-Stamp: s-%s\r\nContent-Length: %d"
                              "\r\n\r\n" % (
                                  "421 Misdirected Request" if other else
                                  "200 OK", h.get("x-attempt-id", ""),
                                  self.name, len(body))).encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def fetch(port, path, fields="", method="GET"):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(("%s %s HTTP/1.1\r\nHost: app.example\r\n%s"
                      "Content-Length: 0\r\n\r\n" %
                      (method, path, fields)).encode())
        line, h = read_fields(await reader.readuntil(b"\r\n\r\n"))
        body = await reader.readexactly(int(h.get("content-length", 0)))
        return int(line.split()[1]), body
    finally:
        writer.close()


class Gateway:
    def __init__(self, folder, nth, proxy):
        self.name, self.proxy = "edge-z1-%d" % nth, proxy
        self.ports = {k: free_port() for k in
                      ("front", "ready", "control", "link", "detour")}
        settings = os.path.join(folder, "settings%d.ini" % nth)
        with open(settings, "w", encoding="utf-8") as f:
            f.write("[gateway]\nname = %s\ndata_centre = z1\n" % self.name)
            for k, port in self.ports.items():
                f.write("%s = 127.0.0.1:%d\n" % (k, port))
            f.write("store = 127.0.0.1:%d\ncpu_share = 0.25\n[bounds]\n"
                    "retry_ratio = 0.2\nretry_window_s = 10\n"
                    "retry_slack = 54\nlease_ms = 3000\ngrace_s = 8\n" %
                    proxy.port)
        self.log = open(os.path.join(folder, "log%d" % nth), "wb")
        self.proc = subprocess.Popen(
            [os.path.join(ROOT, "target/bglade-gateway")], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "BITTERNGLADE_SETTINGS": settings},
            stdout=self.log, stderr=self.log)

    async def dump(self):
        _, body = await fetch(self.ports["control"], "/dump")
        return json.loads(body)

    def stop(self):
        if self.proc.poll() is None:
            self.proc.kill()
        self.proc.wait()
        self.log.close()


async def wait_until(check, limit_s=15.0):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        try:
            if await check():
                return True
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    return False


def make_config(version, names):
    return {"version": version,
            "routes": [{"name": n, "host": "app.example",
                        "path_prefix": "/%s/" % n, "route_type": "idempotent",
                        "timeout_ms": 1200, "target_latency_ms": 150,
                        "priority": 2, "service": "ledger", "attempts": 2,
                        "sticky": False, "resumable": False} for n in names],
            "services": [{"name": "ledger", "health_path": "/healthz",
                          "max_connections": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def probe(gateways, acked):
    """Times from ACKED at which the new route was refused with 404."""
    late, nth = [], 0
    while time.monotonic() < acked + WATCH_S:
        for g in gateways:
            nth += 1
            sent_s = time.monotonic() - acked
            status, _ = await fetch(
                g.ports["front"], "/new/x",
                "X-Attempt-Id: %016x\r\nX-Deadline-Ms: 2500\r\n" %
                (0xf0000000 + nth))
            note("%s answers %d on the new route, asked %.1f s after the "
                 "acknowledgement" % (g.name, status, sent_s))
            if status == 404 and sent_s > CONFIG_S:
                late.append(sent_s)
        await asyncio.sleep(0.5)
    return late


async def beat(server):
    while True:
        await asyncio.sleep(1.2)
        server.beat()


async def play(store):
    server = Server("i-0001", store)
    await server.start()
    store.put_config(make_config(3, ["old"]))
    proxies = [StoreProxy(store.port) for _ in range(3)]
    for p in proxies:
        await p.start()
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        gateways = [Gateway(folder, i, p) for i, p in enumerate(proxies)]
        beats = asyncio.create_task(beat(server))
        try:
            async def ready():
                dumps = [await g.dump() for g in gateways]
                return all(d["ready"] and (d["places"] or d["linked"])
                           for d in dumps)
            if not await wait_until(ready):
                return None
            await asyncio.sleep(3)
            dumps = [await g.dump() for g in gateways]
            leader = next(g for g, d in zip(gateways, dumps) if d["places"])
            others = [g for g in gateways if g is not leader]
            for p in proxies:
                p.silent = TROUBLE
            note("the store is %s" % ("silent" if TROUBLE else "well"))
            await asyncio.sleep(0.5)
            if TROUBLE:
                leader.proc.kill()
                note("the leader %s is lost for good" % leader.name)
            await asyncio.sleep(SILENT_S - 0.5)
            for p in proxies:
                p.silent = False
            note("the store is back")
            await asyncio.sleep(CONTACT_S + 0.2)
            store.put_config(make_config(4, ["old", "new"]))
            note("configuration 4, with a new route, is acknowledged")
            late = await probe(others, time.monotonic())
            alive = all(g.proc.poll() is None for g in others)
            return late if alive else None
        finally:
            beats.cancel()
            for g in gateways:
                g.stop()


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    store = Store(free_port())
    late = asyncio.run(play(store))
    store.stop()
    text = ("could not run" if late is None else
            "refused with 404 later than config_ms: %d requests, the last "
            "%.1f s after the acknowledgement" % (
                len(late), max(late, default=0)))
    note(text)
    record.close()
    print(text)
    return 2 if late is None else 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
