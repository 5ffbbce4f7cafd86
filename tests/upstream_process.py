"""An upstream as a process of its own, which can be paused and killed.

It serves like Engine of fake_platform, with places and a short queue, and
writes what it runs to a file before it works on it.  With --spoil it spoils
some of its answers, as the platform's engines may: sends them twice (at once,
or late: just before the next answer on that connection), breaks them off, or
loses them once the request has run.

Upstream is the side of the test: it starts, signals and reads the process.
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

from cluster import PYTHON, free_port          # noqa: E402
from fake_platform import Engine               # noqa: E402

QUEUE = 2         # requests that wait for a place
FULL_WAIT_S = 0.2


class RemoteStore:
    """The stand-in store of another process; see Store.stand_in_put."""

    def __init__(self, address):
        self.address = address

    def put(self, topic, key, value):
        doc = {"topic": topic, "key": key,
               "value": None if value is None else value.decode()}
        urllib.request.urlopen("http://%s/stand-in-put" % self.address,
                               json.dumps(doc).encode(), timeout=5).read()


class Server(Engine):
    """The upstream inside its process."""

    def __init__(self, args):
        self.args = args
        self.record = os.open(args.record, os.O_WRONLY | os.O_APPEND |
                              os.O_CREAT)
        self.places = threading.Semaphore(args.places)
        self.waiting = 0
        self.rng = random.Random(args.seed)
        super().__init__(args.port, RemoteStore(args.store), args.name,
                         args.service, args.models.split(",")
                         if args.models else None, zone=args.zone)
        self.sizes = {"m%d" % i: 30001 for i in range(6)}

    def note(self, *words):
        os.write(self.record, (" ".join(map(str, words)) + "\n").encode())

    def handle(self, h, method, path, query, body):
        late = h.__dict__.pop("late", b"")
        if late:
            self.note("late", path)
            h.wfile.write(late)
        write, written = h.wfile.write, []

        def tee(data):
            written.append(bytes(data))
            return write(data)
        h.wfile.write = tee
        super().handle(h, method, path, query, body)
        h.wfile.write = write
        self.spoil(h, b"".join(written))

    def spoil(self, h, answer):
        with self.lock:
            spoilt = self.rng.random() < self.args.spoil
            how = self.rng.choice(["late", "late", "at once"])
        if spoilt and how == "late":
            h.late = answer
        elif spoilt:
            h.wfile.write(answer)

    def request(self, h, path, body):
        rid = h.headers.get("X-Attempt-Id")
        wanted = h.headers.get("X-Model")
        if self.models is not None and wanted and not self.is_loaded(wanted):
            h.reply(421, {}, {"X-Attempt-Id": rid})
            return
        with self.lock:
            full = self.waiting >= QUEUE
            self.waiting += 1
        try:
            if full or not self.places.acquire(timeout=FULL_WAIT_S):
                self.note("rejected", rid)
                h.reply(503, {}, {"X-Attempt-Id": rid, "X-Not-Executed": "1"})
                return
        finally:
            with self.lock:
                self.waiting -= 1
        try:
            self.run(h, rid, wanted)
        finally:
            self.places.release()

    def run(self, h, rid, wanted):
        self.note("run", rid)
        with self.lock:
            self.events = self.rng.choice([3, 5])
            lost = self.rng.random() < self.args.spoil / 2
            time_s = self.rng.uniform(0.005, 0.06)
        if lost:
            time.sleep(time_s)
            h.close_connection = True
        elif wanted:
            self.stream(h, rid)
        else:
            time.sleep(time_s)
            h.reply(200, {"by": self.name, "id": rid}, {
                "X-Attempt-Id": rid, "X-Server-Stamp": "s-" + self.name})


class Upstream:
    """Starts, signals and reads the process."""

    def __init__(self, store, name, directory, **options):
        self.store, self.name, self.options = store, name, options
        self.port = free_port()
        self.record = os.path.join(directory, name)
        self.starts = 0
        self.proc = None

    def start(self):
        self.starts += 1
        # Each process has an id of its own: the entry of the former one goes.
        if self.starts > 1:
            self.store.put("keyed.servers", self.get_id(self.starts - 1), None)
        words = [PYTHON, os.path.abspath(__file__), "--store",
                 self.store.address, "--name", self.get_id(self.starts),
                 "--port", str(self.port), "--record", self.record]
        for key, value in self.options.items():
            words += ["--" + key, str(value)]
        self.proc = subprocess.Popen(words, stderr=subprocess.DEVNULL)
        return self

    def get_id(self, nth):
        return "%s-%d" % (self.name, nth)

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def send(self, sig):
        if self.proc.poll() is None:
            self.proc.send_signal(sig)

    def kill(self):
        self.send(signal.SIGKILL)
        self.proc.wait()

    def stop(self):
        if self.proc:
            self.kill()

    def read(self, what):
        """The words behind WHAT in its record, one for each line."""
        if not os.path.exists(self.record):
            return []
        with open(self.record, encoding="utf-8") as f:
            lines = [line.split() for line in f]
        return [words[1] for words in lines if words[0] == what]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("store", "name", "record"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", default="app")
    parser.add_argument("--models", default="")
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--places", type=int, default=6)
    parser.add_argument("--spoil", type=float, default=0)
    parser.add_argument("--seed", type=int, default=1)
    Server(parser.parse_args())
    while True:
        time.sleep(60)


if __name__ == "__main__":
    main()
