"""Hunt for answers that aren't the caller's own, or not whole: gateways as
processes, upstreams that stutter in every way that a seed draws, and callers
that read the bytes plainly.

Each answer of an upstream has a stamp of its own, so a stamp tells to which
request it was given, and whether it was given whole.
"""

import argparse
import collections
import itertools
import json
import os
import random
import select
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time

from cluster import PYTHON, ROOT, free_port, wait_until
from fake_platform import Engine, Store, config, route
from path_relay import PathRelays
from platform_cluster import Gateway
from raw_answers import reset
from standin import Handler

CALLERS = 10
EVENTS = 4
ONCE = ("pay", "sum")
REFUSED = (408, 421, 429, 503)   # not run, and never will be
STATUSES = (200,) * 12 + (201, 204, 304, 404, 500, 500)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %s\r\n\r\n"
PLACES = ("late", "late", "early", "at once", "in one packet", "gap")
SHAPES = ("whole", "whole", "whole", "torn", "long", "short")
LONG_BODY = 600000   # more than the sockets' buffers hold
MAX_PIECES = 6
LEAST_SERVED = 0.5   # else it shows nothing
SETTLE_S = 1.0       # what still waits anywhere runs
_serials = itertools.count(1)

Given = collections.namedtuple("Given", "nonce status body whole")


def read_fields(lines):
    return {n.lower(): v.strip() for n, _, v in
            (line.partition(":") for line in lines)}


class Connection:
    """A caller's; what it reads is kept as it came."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), 2)
        self.data, self.ended = b"", False

    def send(self, data):
        """False: bytes were here before the request."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        early = self.data or (poll.poll(0) and self.sock.recv(1))
        self.sock.sendall(data)
        return not early

    def more(self):
        """False: an orderly end."""
        got = b"" if self.ended else self.sock.recv(65536)
        self.ended = not got
        self.data += got
        return not self.ended

    def take(self, size):
        while len(self.data) < size:
            if not self.more():
                raise EOFError
        out, self.data = self.data[:size], self.data[size:]
        return out

    def take_line(self, end=b"\r\n"):
        while end not in self.data:
            if not self.more():
                raise EOFError
        return self.take(self.data.index(end) + len(end))[:-len(end)]

    def read(self, method):
        """(status, fields, body or None if it isn't whole)."""
        status = 100
        while status < 200:
            first, *lines = self.take_line(b"\r\n\r\n").decode().split("\r\n")
            status, fields = int(first.split()[1]), read_fields(lines)
        try:
            return status, fields, self.read_body(method, status, fields)
        except (OSError, EOFError, ValueError):
            return status, fields, None

    def read_body(self, method, status, fields):
        if method == "HEAD" or status in (204, 304):
            return b""
        if "content-length" in fields:
            return self.take(int(fields["content-length"]))
        body = b""
        if "transfer-encoding" in fields:
            while size := int(self.take_line(), 16):
                body += self.take(size)
                if self.take(2) != b"\r\n":
                    raise ValueError
            return body if self.take_line() == b"" else None
        while self.more():
            pass
        return self.take(len(self.data))


class Stutterer(Handler):
    """An upstream's side of a connection."""

    def setup(self):
        super().setup()
        self.writing = threading.Lock()
        self.late, self.ahead, self.broke_off = [], b"", False
        self.out = self.wfile

    def write(self, data, pieces=1, behind=True):
        """BEHIND: also behind an answer that was broken off."""
        step = max(1, -(-len(data) // pieces))
        with self.writing:
            if self.broke_off and not behind:
                return
            for at in range(0, len(data), step):
                self.out.write(data[at:at + step])
                if pieces > 1:
                    time.sleep(0.0005)

    def write_late(self, place):
        """Copies of former answers, where the next one is due."""
        due = [copy for where, copy in self.late if where == place]
        self.late = [x for x in self.late if x[0] != place]
        for copy in due:
            self.app.copied += 1
            self.write(copy, self.app.rng.choice([1, 1, 2, MAX_PIECES]))

    def _run(self):
        self.write_late("early")
        if self.app.may_answer_early(self):
            self.app.answer_early(self)
        super()._run()

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = _run


class Upstream(Engine):
    """ODDS: what it does to its answers, see draw_odds."""

    def __init__(self, hunt, name, seed, **more):
        self.hunt, self.odds = hunt, hunt.odds
        self.rng, self.copied, self.ran = random.Random(seed), 0, []
        super().__init__(free_port(), hunt.store, name, **more)
        self.sizes = {"m%d" % i: 30001 for i in range(3)}

    def listen(self):
        handler = type("Bound", (Stutterer,), {"app": self})
        self.server = self.bind(handler)
        threading.Thread(target=self.serve, args=(self.server,),
                         daemon=True).start()

    def handle(self, h, method, path, query, body):
        h.write_late("late")
        h.wfile = Recorder()
        try:
            super().handle(h, method, path, query, body)
        finally:
            written, h.wfile = h.wfile.take(), h.out
        self.send(h, written, path)

    def send(self, h, answer, path):
        """Sends ANSWER as drawn, with a copy of it behind."""
        ahead, h.ahead = h.ahead, b""
        pieces = self.rng.choice([1, 1, 1, 2, MAX_PIECES])
        question = path in ("/report", "/order")
        copies = (answer and not h.close_connection and self.rng.random() <
                  self.odds["question" if question else "copy"])
        place, copy = self.rng.choice(PLACES), self.shape(answer or b" ")
        own = answer + copy if copies and place == "at once" else answer
        h.write(ahead + own, pieces)
        if not copies:
            return
        self.copied += place in ("at once", "in one packet")
        if place == "in one packet":
            h.ahead = copy
        elif place == "gap":
            threading.Timer(self.rng.uniform(0, 0.03), self.write_copy,
                            [h, copy]).start()
        elif place != "at once":
            h.late.append((place, copy))

    def write_copy(self, h, copy):
        try:
            h.write(copy, behind=self.odds["behind"])
            self.copied += 1
        except (OSError, ValueError):
            pass   # closed meanwhile

    def shape(self, answer):
        """A copy of ANSWER: whole, broken off, or with another length."""
        shape = self.rng.choice(SHAPES)
        if self.rng.random() >= self.odds["mangled"] or shape == "whole":
            return answer
        if shape == "torn":
            return answer[:self.rng.randrange(1, len(answer) + 1)]
        head, name, rest = answer.partition(b"Content-Length: ")
        size, _, rest = rest.partition(b"\r\n")
        more = self.rng.randrange(1, 300) * (1 if shape == "long" else -1)
        new = max(0, int(size or 0) + more)
        return head + name + b"%d\r\n" % new + rest if name else answer

    def request(self, h, path, body):
        refused = (self.models is None and
                   self.rng.random() < self.odds["refused"])
        if refused and not h.__dict__.get("answered_early"):
            rid = h.headers.get("X-Attempt-Id")
            h.reply(self.rng.choice([503, 429]), {}, dict(
                {"X-Attempt-Id": rid} if rid else {}, **{
                    "X-Not-Executed": "1"}))
            return
        super().request(h, path, body)

    def may_answer_early(self, h):
        size = int(h.headers.get("Content-Length") or 0)
        return (size > LONG_BODY and self.models is None and
                self.rng.random() < self.odds["early answer"])

    def answer_early(self, h):
        """Before the body is read; it is read later, and then dropped."""
        h.answered_early = True
        h.wfile = Recorder()
        self.write_answer(h, h.headers.get("X-Attempt-Id"), 500, b"early",
                          h.headers.get("X-Nonce"))
        early, h.wfile = h.wfile.take(), h.out
        h.write(early)
        time.sleep(self.rng.uniform(0, 0.05))

    def run_request(self, h, rid, wanted, body):
        if h.__dict__.pop("answered_early", False):
            return
        if len(body) < int(h.headers.get("Content-Length") or 0):
            h.close_connection = True   # the rest never came
            return
        nonce = h.headers.get("X-Nonce")
        self.ran.append(nonce)
        if self.hunt.sent.get(nonce) != (h.command, h.path, body):
            self.hunt.wrong.append("%s: another request was run" % h.path)
        time.sleep(self.rng.uniform(0, self.odds["work_s"]))
        if self.rng.random() < self.odds["interim"]:
            h.wfile.write(INTERIM % (rid or "").encode())
        status = 200 if wanted else self.rng.choice(STATUSES)
        answer = self.make_events(h, nonce) if wanted else json.dumps(
            {"nonce": nonce, "path": h.path, "id": rid, "by": self.name,
             "pad": "p" * self.rng.choice([0, 40, 3000])}).encode()
        self.write_answer(h, rid, status, answer, nonce)

    def make_events(self, h, nonce):
        first = int(h.headers.get("Last-Event-Id") or -1) + 1
        return b"".join(b"id: %d\ndata: %s %d\n\n" % (
            i, nonce.encode(), i) for i in range(first, EVENTS))

    def write_answer(self, h, rid, status, body, nonce):
        stamp = "s-%d" % next(_serials)
        framing = self.rng.choice(["length", "length", "chunks", "close"])
        lines = ["HTTP/1.1 %d Own" % status, "X-Server-Stamp: " + stamp]
        if rid and self.rng.random() >= self.odds["unnamed"]:
            lines.insert(self.rng.randrange(1, 3), "X-Attempt-Id: " + rid)
        lines.append("Content-Type: " + (
            "text/event-stream" if h.headers.get("X-Model") else
            "application/json"))
        bare = h.command == "HEAD" or status in (204, 304)
        if framing == "length" and status != 204:
            lines.append("Content-Length: %d" % len(body))
        elif framing == "chunks" and status != 204:
            lines.append("Transfer-Encoding: chunked")
        elif framing == "close":
            lines.append("Connection: close")
            h.close_connection = True
        out = ("\r\n".join(lines) + "\r\n\r\n").encode()
        if not bare:
            out += frame(body, framing, self.rng)
        broken = self.rng.random() < self.odds["broken"]
        by_reset = self.rng.random() < 0.5 or bool(h.headers.get("X-Model"))
        head_len = out.index(b"\r\n\r\n") + 4
        out = out[:self.rng.randrange(len(out))] if broken else out
        # What ends by an orderly end of its connection is whole.
        whole = not broken or (framing == "close" and not by_reset and
                               len(out) >= head_len)
        self.hunt.given[stamp] = Given(
            nonce, status, b"" if bare else out[head_len:]
            if framing == "close" else body, whole)
        h.wfile.write(out)
        if broken:
            h.close_connection = True
            with h.writing:
                h.broke_off = True
                h.out.write(h.wfile.take())
            if by_reset:
                reset(h.connection)


def frame(body, framing, rng):
    if framing != "chunks":
        return body
    at = rng.randrange(len(body) + 1)
    return b"".join(b"%x\r\n%s\r\n" % (len(c), c)
                    for c in (body[:at], body[at:]) if c) + b"0\r\n\r\n"


class Recorder:
    """Keeps what is written."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data

    def flush(self):
        pass

    def take(self):
        out, self.data = self.data, b""
        return out


def shorten(data):
    at = max(0, data.find(b"HTTP/") - 60)
    return data[:60] + b" ... " + data[at:at + 200]


def draw_odds(rng):
    return {"copy": rng.choice([0.1, 0.3, 0.6]),
            "question": rng.choice([0.5, 1]),
            "mangled": rng.choice([0, 0, 0.3]),
            "refused": rng.choice([0, 0.1]),
            "interim": rng.choice([0, 0.1]),
            "unnamed": rng.choice([0, 0, 0.02]),
            "early answer": rng.choice([0, 0.3]),
            "broken": rng.choice([0.02, 0.06]),
            # A copy may come behind an answer that was broken off.
            "behind": rng.choice([False, False, True]),
            "work_s": rng.choice([0.002, 0.02])}


class Hunt:
    """What is drawn once for a seed: the odds of the upstreams' faults, how
    many gateways, whether ways are cut, and the bounds of connections."""

    def __init__(self, args, seed):
        self.rng = random.Random(seed)
        self.odds = draw_odds(self.rng)
        self.cuts = self.rng.random() < 0.5 or bool(args.former)
        self.max_connections = self.rng.choice([2, 4, 100])
        self.ids = self.rng.choice([0, 0, 5, 100])   # 0: all differ
        self.sent, self.given, self.results, self.wrong = {}, {}, [], []
        self.stopping, self.version = False, 3
        self.store = Store(free_port())
        self.store.put_config(self.make_config())
        self.upstreams = [
            Upstream(self, "a%d" % i, self.rng.random(), service=service)
            for i, service in enumerate(["app", "app", "app2", "app2"])]
        self.upstreams += [
            Upstream(self, "e%d" % i, self.rng.random(), models=models)
            for i, models in enumerate([["m0"], ["m0", "m1"]])]
        self.paths = PathRelays(args.build) if self.cuts else None
        # At least two that are called: a fault may stop one.
        size = self.rng.randint(2, 4) + (1 if args.former else 0)
        self.gateways = [self.start_gateway(args, i) for i in range(size)]
        # Those of a former release link, lead and detour; none calls them.
        step = 2 if args.former else 1
        self.called = self.gateways[::step]
        self.former = self.gateways[1::2] if args.former else []

    def make_config(self):
        timeout = {"timeout_ms": 2000 + self.version % 3 * 500}
        doc = config(self.version, routes=[
            route("read", "app", "idempotent", attempts=3, **timeout),
            route("pay", "app2", "non_idempotent", **timeout),
            route("chat", "llm", "streaming", resumable=True, **timeout),
            route("sum", "llm", "streaming", attempts=1, **timeout)])
        doc["services"].append(dict(doc["services"][0], name="app2"))
        for service in doc["services"]:
            service["max_connections"] = self.max_connections
        return doc

    def start_gateway(self, args, nth):
        g = Gateway(args.build, self.store, "vm%d" % nth, grace_s=2)
        g.program = args.former if args.former and nth % 2 else args.gateway
        if self.paths:
            g.env = self.paths.make_env(g.name,
                                        [u.address for u in self.upstreams])
        return g.start()

    # ---- faults

    def fault_config(self):
        for _ in range(self.rng.randint(1, 5)):
            self.version += 1
            self.store.put_config(self.make_config())
            time.sleep(0.02)

    def fault_hup(self):
        g = self.rng.choice(self.gateways)
        if g.proc.poll() is None and g.has_started():
            g.send(signal.SIGHUP)

    def fault_restart(self):
        g = self.rng.choice(self.gateways)
        if g.has_started():
            g.stop()
            g.start()

    def fault_replace(self):
        """Another upstream at the address, maybe of another service."""
        u = self.rng.choice(self.upstreams[:4])
        u.new_id, u.ended_s = True, self.rng.uniform(0.05, 0.4)
        u.service = self.rng.choice(["app", "app2"])
        u.end()

    def fault_paths(self):
        if self.paths:
            cut = [self.rng.choice(self.gateways).name]
            to = [u.address for u in self.rng.sample(self.upstreams, 4)]
            how = self.rng.choice(["hang", "reset", "refuse", "silent"])
            wait_until(lambda: self.set_ways(cut, to, how))
            time.sleep(self.rng.uniform(0.2, 1))
            wait_until(lambda: self.set_ways(cut, to, "open"))

    def set_ways(self, cut, to, how):
        """False: something still listens at a relay's port."""
        try:
            self.paths.set_mode(cut, to, how)
        except OSError:
            return False
        return True

    def run_faults(self, until):
        faults = [self.fault_config, self.fault_hup, self.fault_restart,
                  self.fault_replace] + [self.fault_paths] * 3
        while time.monotonic() < until:
            self.rng.choice(faults)()
            time.sleep(self.rng.uniform(0.05, 0.6))

    # ---- callers

    def run_caller(self, seed):
        rng, conns = random.Random(seed), {}
        while not self.stopping:
            g = rng.choice(self.called)
            try:
                conn = conns.pop(g, None) or Connection(g.front)
                if self.send_one(rng, conn) and rng.random() < 0.8:
                    conns[g] = conn
                else:
                    conn.sock.close()
            except OSError:
                time.sleep(0.01)
            time.sleep(rng.random() * 0.02)

    def send_one(self, rng, conn):
        """Whether the connection can be used again."""
        nonce = "n%d" % next(_serials)
        kind = rng.choice(["pay", "read", "chat", "sum"])
        method = "HEAD" if rng.random() < 0.05 and kind == "read" else "POST"
        path = "/%s/%s" % (kind, nonce)
        body = nonce.encode() + b"b" * rng.choice([0] * 9 + [LONG_BODY])
        number = rng.randrange(self.ids) if self.ids else rng.getrandbits(64)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: app.example",
                 "X-Nonce: " + nonce, "Content-Length: %d" % len(body),
                 "X-Deadline-Ms: %d" % rng.choice([300, 1500, 2500])]
        if rng.random() < 0.9:
            lines.append("X-Attempt-Id: %016x" % number)
        if kind in ("chat", "sum"):
            lines += ["X-Model: " + rng.choice(["m0", "m0", "m1"]),
                      "X-Token-Count: 100,20",
                      "X-Prompt-Prefix: aa:50,%x:50" % rng.getrandbits(32)]
        leaves = rng.random() < 0.05
        conn.sock.settimeout(rng.uniform(0, 0.03) if leaves else 5)
        self.sent[nonce] = (method, path, body)
        asked = (kind, method, nonce, path)
        try:
            quiet = conn.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            status, fields, data = conn.read(method)
        except (OSError, EOFError):
            self.results.append((asked, 0))
            return False
        except (ValueError, IndexError) as e:
            self.wrong.append("%s: no answer in the protocol: %r" % (path, e))
            return False
        self.results.append((asked, status))
        what = None if quiet else "an answer before the request"
        what = what or self.check(asked, status, fields, data)
        if what:
            self.wrong.append("%s %s id %x: %s; %d %s %r" % (
                method, path, number, what, status, fields,
                
                shorten(data or b"")))
        return data is not None and fields.get("connection") != "close"

    # ---- the oracle

    def check(self, asked, status, fields, data):
        """What is wrong with this answer, or None."""
        kind, method, nonce, _ = asked
        stamp = fields.get("x-server-stamp")
        given = self.given.get(stamp)
        if not stamp:
            return "a success without a stamp" if status < 300 else None
        if not given or given.nonce != nonce:
            return "another's answer: %s" % (given and given.nonce)
        if given.status != status:
            return "the upstream's status was %d" % given.status
        if data is None:
            return None
        if kind in ("chat", "sum"):
            want = b"".join(b"id: %d\ndata: %s %d\n\n" % (
                i, nonce.encode(), i) for i in range(EVENTS))
            return None if data == want else "not the stream"
        if not given.whole:
            return "it looks whole, and wasn't given so"
        if method == "HEAD" or status in (204, 304):
            return None
        return None if data == given.body else "not the body"

    def check_runs(self):
        ran = collections.Counter(n for u in self.upstreams for n in u.ran)
        for (kind, _, nonce, path), status in self.results:
            if kind in ONCE and ran[nonce] > 1:
                self.wrong.append("%s ran %d times" % (path, ran[nonce]))
            if kind in ONCE and status in REFUSED and ran[nonce]:
                self.wrong.append("%s ran, and %d" % (path, status))

    # ---- the run

    def run(self, seconds):
        for g in self.gateways:
            wait_until(g.is_ready)
        callers = [threading.Thread(target=self.run_caller,
                                    args=(self.rng.random(),))
                   for _ in range(CALLERS)]
        for t in callers:
            t.start()
        self.run_faults(time.monotonic() + seconds)
        self.stopping = True
        for t in callers:
            t.join()
        time.sleep(SETTLE_S)
        self.check_runs()
        served = sum(200 <= s < 500 for _, s in self.results)
        if served < LEAST_SERVED * len(self.results):
            self.wrong.append("only %d were served" % served)

    def describe_former(self):
        """How many requests' last answers came by a former gateway's way,
        and how often one of them began to lead."""
        ways = ["127.0.0.1:%d" % g.detour for g in self.former]
        return ", %d by detour, %d leases of former ones" % (
            sum(e.get("by") in ways for g in self.called
                for e in g.events("request-end")),
            sum(len(g.events("lease-held")) for g in self.former))

    def stop(self):
        for g in self.gateways:
            g.proc.kill()
            g.proc.wait()
        for u in self.upstreams:
            u.stop()
        self.store.stop()
        if self.paths:
            self.paths.stop()


def run_seed(args, seed):
    hunt = Hunt(args, seed)
    try:
        hunt.run(args.seconds)
    finally:
        hunt.stop()
    statuses = collections.Counter(s for _, s in hunt.results)
    print("seed %d: %d wrong of %d %s, %d copies, %d reports, odds %s, "
          "%d gateways, cuts %s, ids %d, connections %d%s" % (
              seed, len(hunt.wrong), len(hunt.results),
              sorted(statuses.items()), sum(u.copied for u in hunt.upstreams),
              sum(u.reports for u in hunt.upstreams), hunt.odds,
              len(hunt.gateways), hunt.cuts, hunt.ids, hunt.max_connections,
              hunt.describe_former() if hunt.former else ""))
    for what in hunt.wrong[:8]:
        print("    " + what)
    for g in hunt.gateways:
        if hunt.wrong:
            print("    log: " + g.log_path)
        else:
            shutil.rmtree(g.dir)
    sys.stdout.flush()
    return not hunt.wrong


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--gateway", help="a program of another build")
    parser.add_argument("--former",
                        help="a former release's program, for every second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    args = parser.parse_args()
    args.build = os.path.abspath(args.build)
    args.gateway = args.gateway or os.path.join(args.build, "bglade-gateway")
    if args.seeds == 1:
        sys.exit(0 if run_seed(args, args.seed) else 1)
    # Each in a process of its own, so that none inherits sockets.
    words = [PYTHON, os.path.abspath(__file__), "--build", args.build,
             "--gateway", args.gateway, "--seconds", str(args.seconds)]
    words += ["--former", args.former] if args.former else []
    failed = [seed for seed in range(args.seed, args.seed + args.seeds)
              if subprocess.call(words + ["--seed", str(seed)])]
    print("%d seeds, red: %s" % (args.seeds, failed or "none"))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
