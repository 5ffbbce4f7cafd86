"""An engine's process ends while it answers streams.

Two gateways stand before four model engines, each a process of its own.
Clients ask for board summaries, which may not be resumed, of a model that all
engines hold, and put surveyors' questions, which may be resumed, to models that
one engine each holds.  A few of the engines' answers have no length and end with
their connection.  With TROUBLE=1 one engine's process is killed every few
seconds, and is back, holding nothing, 2 s later (srv_crash).

Exit: 1 if a stream that lacks its last pieces looked complete to its client;
0 if none did; 2 if the case could not run.
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
ENGINES = 4
CRASHES = 8
DOWN_S = 2.0          # kit: srv_crash share = 0.25, for_s = 2.0
PAUSE_S = 9.0         # between an engine's return and the next crash
EVENTS = {"sum": 10, "ask": 30}
# One that all engines hold, and rare ones that one engine each holds.
MODELS = {"sum": ["m0"], "ask": ["r%d" % i for i in range(2 * ENGINES)]}
WEIGHTS_MB = {"sum": 34300.0, "ask": 16100.0}
DEADLINES_MS = {"sum": 13000, "ask": 15000}
USERS = {"sum": 40, "ask": 4}   # of each model, at each gateway

record = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")
began = time.monotonic()
counts = {"complete": 0, "visibly cut": 0, "refused": 0, "BROKEN sum": 0,
          "BROKEN ask": 0}
unframed = set()      # ids


def note(text):
    record.write("%8.3f %s\n" % (time.monotonic() - began, text))


class Engine:
    def __init__(self, name, store, models):
        self.name, self.store, self.port = name, store, free_port()
        self.held, self.disk = models, list(models)
        self.beats = 0
        self.proc = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.proc = await asyncio.create_subprocess_exec(
            "/usr/bin/python3", os.path.join(HERE, "engine.py"), self.name,
            str(self.port), str(self.born), ",".join(self.held) or "-",
            ",".join(self.disk) or "-", stdout=subprocess.PIPE)
        self.reading = asyncio.create_task(self.read())
        for _ in range(100):
            try:
                _, w = await asyncio.open_connection("127.0.0.1", self.port)
                w.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.beat()

    async def read(self):
        async for line in self.proc.stdout:
            text = line.decode().strip()
            note(text)
            words = text.split()
            if text.endswith("without a length"):
                unframed.add(words[2])
            if words[1] == "holds":
                self.held = [m for m in words[2].split(",") if m != "-"]
                self.disk += [m for m in self.held if m not in self.disk]
                self.beat()

    def beat(self):
        self.beats += 1
        self.store.put("keyed.servers", self.name, json.dumps({
            "service": "summary-lm", "address": "127.0.0.1:%d" % self.port,
            "zone": "z1", "version": "v1", "slots": 96, "state": "ready",
            "cold_left_ms": 0, "sequence": self.beats, "born": self.born,
            "phase": "both",
            "models": [{"name": m, "version": 1, "adapters": []}
                       for m in self.held],
            "at_hand": {"in_memory": [], "on_disk": self.disk}}).encode())

    def kill(self):
        if self.proc and self.proc.returncode is None:
            self.proc.kill()


class Gateway:
    def __init__(self, folder, nth, store):
        ports = {k: free_port() for k in
                 ("front", "ready", "control", "link", "detour")}
        self.front, self.ready = ports["front"], ports["ready"]
        settings = os.path.join(folder, "settings%d.ini" % nth)
        with open(settings, "w", encoding="utf-8") as f:
            f.write("[gateway]\nname = edge-z1-%d\ndata_centre = z1\n" % nth)
            for k, port in ports.items():
                f.write("%s = 127.0.0.1:%d\n" % (k, port))
            f.write("store = %s\ncpu_share = 0.25\n[bounds]\n"
                    "retry_ratio = 0.2\nretry_window_s = 10\n"
                    "retry_slack = 54\nlease_ms = 3000\ngrace_s = 8\n" %
                    store.address)
        self.log = open(os.path.join(folder, "log%d" % nth), "wb")
        self.proc = subprocess.Popen(
            [os.path.join(ROOT, "target/bglade-gateway")], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "BITTERNGLADE_SETTINGS": settings},
            stdout=self.log, stderr=self.log)

    async def wait_ready(self):
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if head.split()[1] == b"200":
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def stop(self):
        if self.proc.poll() is None:
            self.proc.kill()
        self.proc.wait()
        self.log.close()


nth_id = 0


async def read_chunks(reader):
    """The body, and whether its last chunk came."""
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def ask(port, path, model):
    global nth_id
    nth_id += 1
    rid = "%016x" % (0xb0a0000000000000 + nth_id)
    body = path + " " + rid
    last = b"part %d of %d" % (EVENTS[path], EVENTS[path])
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write((
            "POST /%s/x HTTP/1.1\r\nHost: app.example\r\n"
            "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: %s\r\n"
            "X-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:50,%s:50\r\n"
            "Content-Length: %d\r\n\r\n%s" %
            (path, rid, DEADLINES_MS[path], model, rid, len(body),
             body)).encode())
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            counts["visibly cut"] += 1
            note("client: closed without an answer: %s" % rid)
            return
        if head.split()[1] != "200":
            counts["refused"] += 1
            note("client: %s for %s" % (head.split()[1], rid))
            return
        data, ended = await read_chunks(reader)
        events = data.count(b"\n\n")
        if ended and last not in data:
            counts["BROKEN " + path] += 1
            note("BROKEN ORDER: %s of /%s looks complete with %d of %d pieces "
                 "(the engine's answer had %s)" %
                 (rid, path, events, EVENTS[path],
                  "no length" if rid in unframed else "chunks"))
        else:
            counts["complete" if ended else "visibly cut"] += 1
            note("client: %s of /%s, %d pieces, %s" %
                 (rid, path, events, "complete" if ended else "visibly cut"))
    finally:
        writer.close()


async def use(port, path, model):
    while True:
        await ask(port, path, model)
        await asyncio.sleep(0.05)


async def beat_all(engines):
    while True:
        await asyncio.sleep(1.2)
        for e in engines:
            if e.proc.returncode is None:
                e.beat()


def make_config():
    def route(path, attempts, resumable, objective_ms):
        return {"name": path, "host": "app.example",
                "path_prefix": "/%s/" % path, "route_type": "streaming",
                "timeout_ms": DEADLINES_MS[path],
                "target_latency_ms": objective_ms, "gap_target_ms": 400,
                "priority": 1, "service": "summary-lm", "attempts": attempts,
                "sticky": True, "resumable": resumable}
    return {"version": 3,
            "routes": [route("sum", 1, False, 2000),
                       route("ask", 2, True, 1500)],
            "services": [{"name": "summary-lm", "health_path": "/healthz",
                          "max_connections": 490, "engine": {
                              "slots": 96, "kv_capacity": 189118,
                              "weights_mb": 83000.0, "max_adapters": 8,
                              "loads_per_s": 3.1,
                              "models": [
                                  {"name": m, "weights_mb": WEIGHTS_MB[path],
                                   "load_time_s": 6.0, "adapters": 0,
                                   "adapter_mb": 0.0}
                                  for path in MODELS
                                  for m in MODELS[path]]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def play(store):
    engines = [Engine("i-000%d" % i, store,
                      ["m0", "r%d" % (2 * i), "r%d" % (2 * i + 1)])
               for i in range(ENGINES)]
    for e in engines:
        await e.start()
    store.put_config(make_config())
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        gateways = [Gateway(folder, i, store) for i in range(2)]
        tasks = [asyncio.create_task(beat_all(engines))]
        try:
            if not all([await g.wait_ready() for g in gateways]):
                return False
            await asyncio.sleep(2)
            tasks += [asyncio.create_task(use(g.front, path, model))
                      for g in gateways for path in USERS
                      for model in MODELS[path] * USERS[path]]
            for i in range(CRASHES):
                await asyncio.sleep(PAUSE_S)
                e = engines[i % ENGINES]
                if TROUBLE:
                    note("%s, which holds %s, is killed" % (e.name, e.held))
                    e.kill()
                    await e.proc.wait()
                    e.held = []
                await asyncio.sleep(DOWN_S)
                if TROUBLE:
                    await e.start()
                    note("%s is back" % e.name)
            await asyncio.sleep(4)
            return all(g.proc.poll() is None for g in gateways)
        finally:
            for t in tasks:
                t.cancel()
            for g in gateways:
                g.stop()
            for e in engines:
                e.kill()
                await e.proc.wait()


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    store = Store(free_port())
    ran = asyncio.run(play(store))
    store.stop()
    text = "streams: %s; engines' answers without a length: %d" % (
        counts, len(unframed))
    note(text)
    record.close()
    print(text)
    if not ran or counts["complete"] < 100:
        return 2
    return 1 if counts["BROKEN sum"] + counts["BROKEN ask"] else 0


if __name__ == "__main__":
    sys.exit(main())
