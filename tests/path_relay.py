"""Relays between gateways and upstreams, one for each pair, in one thread.

A gateway that runs with make_env() connects to an upstream through the relay
of that pair, so that a path can fail for one gateway alone.  Modes of a path:

open     bytes pass
refuse   new connections are refused, open ones live on
reset    new connections are refused, open ones are reset
hang     new connections are not answered, open ones carry nothing
silent   connections are accepted, but carry nothing
one_way  new connections are not answered, open ones carry what goes to the
         upstream, and nothing back
"""

import asyncio
import glob
import os
import socket
import struct
import tempfile
import threading
import time

from cluster import free_port

HELD_S = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def find_holders(port):
    """The sockets at PORT: (state as a number, open files that are this)."""
    with open("/proc/net/tcp", encoding="ascii") as f:
        rows = [line.split() for line in f][1:]
    links = {}
    for name in glob.glob("/proc/[0-9]*/fd/*"):
        try:
            links.setdefault(os.readlink(name), []).append(name)
        except OSError:
            pass   # closed meanwhile
    return [(row[3], links.get("socket:[%s]" % row[9])) for row in rows
            if row[1].endswith(":%04X" % port)]


def bind(s, port):
    """Something may hold PORT for a moment after its listener was closed; who
    it was is told."""
    until = time.monotonic() + HELD_S
    while True:
        try:
            s.bind(("127.0.0.1", port))
            return
        except OSError:
            print("port %d is held: %s" % (port, find_holders(port)))
            if time.monotonic() > until:
                raise
            time.sleep(0.01)


def listen(port, backlog):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(s, port)
    s.listen(backlog)
    s.setblocking(False)
    return s


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock and sock.fileno() >= 0:   # else it is closed already
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Path:
    """The relay from one gateway to one upstream."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.port = free_port()
        self.mode = "open"
        self.server = None
        self.blocked = []   # sockets that keep new connections unanswered
        self.writers = set()
        self.accepted = 0   # connections

    def is_held(self, back):
        return (self.mode in ("hang", "silent") or
                (self.mode == "one_way" and back))

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                while self.is_held(back):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            reset(writer)

    async def accept(self, reader, writer):
        self.accepted += 1
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        pair = {writer, up_writer}
        self.writers |= pair
        await asyncio.gather(self.pump(reader, up_writer, False),
                             self.pump(up_reader, writer, True))
        self.writers -= pair

    async def open(self):
        self.server = await asyncio.start_server(
            self.accept, sock=listen(self.port, 100))

    def close(self):
        if self.server:
            self.server.close()
        self.server = None
        for s in self.blocked:
            s.close()
        self.blocked = []

    def block(self):
        """Fills the queue of new connections: the kernel drops any other."""
        self.blocked = [listen(self.port, 0)]
        for _ in range(3):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex(("127.0.0.1", self.port))
            self.blocked.append(s)

    async def set_mode(self, mode):
        self.close()
        self.mode = mode
        if mode in ("open", "silent"):
            await self.open()
        elif mode in ("hang", "one_way"):
            self.block()
        elif mode == "reset":
            for w in list(self.writers):
                reset(w)


class PathRelays:
    def __init__(self, build):
        self.library = os.path.abspath(os.path.join(build, "redirect.so"))
        self.dir = tempfile.mkdtemp(prefix="bglade-paths-")
        self.paths = {}   # (gateway, target) -> Path
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine,
                                                self.loop).result(10)

    def make_env(self, gateway, targets):
        """The environment of GATEWAY, whose connections to TARGETS go through
        relays."""
        name = os.path.join(self.dir, gateway)
        with open(name, "w", encoding="utf-8") as f:
            for t in targets:
                path = self.paths[gateway, t] = Path(t)
                self.run(path.open())
                f.write("%s 127.0.0.1:%d\n" % (t, path.port))
        return dict(os.environ, LD_PRELOAD=self.library,
                    BGLADE_TEST_PATHS=name,
                    ASAN_OPTIONS="verify_asan_link_order=0")

    def set_mode(self, gateways, targets, mode):
        async def set_all():
            for g in gateways:
                for t in targets:
                    await self.paths[g, t].set_mode(mode)
        self.run(set_all())

    def count_accepted(self, gateway):
        return sum(p.accepted for (g, _), p in self.paths.items()
                   if g == gateway)

    async def cancel_all(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for t in tasks:
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        self.run(self.cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
