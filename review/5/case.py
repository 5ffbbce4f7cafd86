"""A configuration that nobody reads.

Three gateways stand before an application server; each reaches the store
through a proxy of its own.  With TROUBLE=1 the store is silent for 4.5 s: what
is sent to it in that time gets no answer, then or later, while connections that
are opened afterwards work.  Half a second into it the machine of the leading
gateway is lost for good (SIGKILL, and not started again).  3.2 s after the
store is back, a configuration is written that has one more route and moves the
route of registrations to another service.  Clients use both routes at the other
two gateways.

Exit: 1 if a request that was sent more than config_ms after the store's
acknowledgement was answered 404 on the new route, or run by the service that
the registrations were moved away from; 0 if none was; 2 if the case could not
run.
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

    def __init__(self, name, service, store):
        self.name, self.service = name, service
        self.store, self.port = store, free_port()
        self.beats = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.beat()

    def beat(self):
        self.beats += 1
        self.store.put("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": "z1", "version": "v1", "slots": 6, "state": "ready",
            "cold_left_ms": 0, "sequence": self.beats,
            "born": self.born}).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                _, h = read_fields(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(int(h.get("content-length", 0)))
                other = h.get("x-expect-instance", self.name) != self.name
                body = b"" if other else self.service.encode()
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


def make_config(version, names, register):
    """REGISTER: the service of the route of registrations."""
    def route(name, kind, service):
        return {"name": name, "host": "app.example",
                "path_prefix": "/%s/" % name, "route_type": kind,
                "timeout_ms": 1200, "target_latency_ms": 150,
                "priority": 2, "service": service,
                "attempts": 2 if kind == "idempotent" else 1,
                "sticky": False, "resumable": False}
    return {"version": version,
            "routes": [route(n, "idempotent", "ledger") for n in names] +
                      [route("pay", "non_idempotent", register)],
            "services": [{"name": n, "health_path": "/healthz",
                          "max_connections": 100}
                         for n in ("ledger", "register")],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def ask(g, nth, path, acked):
    sent_s = time.monotonic() - acked
    status, body = await fetch(
        g.ports["front"], path,
        "X-Attempt-Id: %016x\r\nX-Deadline-Ms: 2500\r\n" %
        (0xf0000000 + nth), "POST")
    note("%s answers %s with %d %s, asked %.1f s after the acknowledgement" %
         (g.name, path, status, body.decode(), sent_s))
    return status, body.decode(), sent_s


async def probe(gateways, acked):
    """Times from ACKED at which the new route was refused with 404, and at
    which registrations were run by the service that they had before."""
    refused, old, nth = [], [], 0
    while time.monotonic() < acked + WATCH_S:
        for g in gateways:
            nth += 2
            status, _, sent_s = await ask(g, nth, "/new/x", acked)
            if status == 404 and sent_s > CONFIG_S:
                refused.append(sent_s)
            status, by, sent_s = await ask(g, nth + 1, "/pay/x", acked)
            if status == 200 and by == "ledger" and sent_s > CONFIG_S:
                old.append(sent_s)
        await asyncio.sleep(0.5)
    return refused, old


async def beat(servers):
    while True:
        await asyncio.sleep(1.2)
        for s in servers:
            s.beat()


async def play(store):
    servers = [Server("i-0001", "ledger", store),
               Server("i-0002", "register", store)]
    for s in servers:
        await s.start()
    store.put_config(make_config(3, ["old"], "ledger"))
    proxies = [StoreProxy(store.port) for _ in range(3)]
    for p in proxies:
        await p.start()
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        gateways = [Gateway(folder, i, p) for i, p in enumerate(proxies)]
        beats = asyncio.create_task(beat(servers))
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
            store.put_config(make_config(4, ["old", "new"], "register"))
            note("configuration 4, with a new route and registrations at "
                 "another service, is acknowledged")
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
    refused, old = late or ([], [])
    text = ("could not run" if late is None else
            "later than config_ms: refused with 404 on the new route %d, run "
            "by the old service %d, the last %.1f s after the acknowledgement" %
            (len(refused), len(old), max(refused + old, default=0)))
    note(text)
    record.close()
    print(text)
    return 2 if late is None else 1 if refused or old else 0


if __name__ == "__main__":
    sys.exit(main())
