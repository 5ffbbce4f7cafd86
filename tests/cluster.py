"""Starts the real processes and the stand-ins on loopback, for tests and
the demo.  Stops only the processes that it started."""

import http.client
import collections
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PYTHON = "/usr/bin/python3"
SHARED_KEY = "test-key"
SANITIZER = re.compile(r"WARNING: ThreadSanitizer|ERROR: AddressSanitizer|"
                       r"runtime error:")
KEYS = {"drafting": "samiti-drafting-key", "registry": "samiti-registry-key",
        "care": "kuura-care-key"}


# Of one process that runs tests: far more than one test needs, and few enough
# for a dozen such processes: two whole runs beside each other, and more.
MAX_RESERVED = 500
RESERVED_SOCKETS = collections.deque()
PORTS = range(12000, 21000)
_ports = itertools.cycle(PORTS)
for _ in range(os.getpid() * 37 % len(PORTS)):
    next(_ports)


def free_port():
    """A port that nobody listens on now.  It is below the range of ports for
    outgoing connections: one of those, opened between this check and the
    daemon's start, would keep the daemon from listening.  The UDP socket of
    the same number stays bound until MAX_RESERVED others were taken, so that
    concurrent runs take other ports."""
    if len(RESERVED_SOCKETS) >= MAX_RESERVED:
        RESERVED_SOCKETS.popleft().close()
    for port in itertools.islice(_ports, len(PORTS)):
        twin = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            twin.bind(("127.0.0.1", port))
            with socket.socket() as s:
                s.bind(("127.0.0.1", port))
        except OSError:
            twin.close()
            continue
        RESERVED_SOCKETS.append(twin)
        return port
    raise AssertionError("no port is free")


def wait_until(check, limit_s=15.0, what="condition"):
    """Polls CHECK until it is true.  Tests wait only by this function."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        value = check()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError("timed out waiting for " + what)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("X-Bglade-Outcome")

    def json(self):
        return json.loads(self.body)


def call(port, method, path, doc=None, headers=None, timeout=40.0):
    """One HTTP call.  DOC: bytes, or a value to send as JSON."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        body = doc if isinstance(doc, (bytes, type(None))) \
            else json.dumps(doc).encode()
        head = dict(headers or {})
        if body is not None:
            head.setdefault("Content-Type", "application/json")
        conn.request(method, path, body, head)
        res = conn.getresponse()
        return Answer(res.status, dict(res.getheaders()), res.read())
    finally:
        conn.close()


class Process:
    """One process that this run started."""

    def __init__(self, name, argv, log_dir):
        self.name = name
        self.argv = argv
        self.log_path = os.path.join(log_dir, name + ".log")
        self.start()

    def start(self):
        self.log = open(self.log_path, "ab")
        self.popen = subprocess.Popen(self.argv, stdout=self.log,
                                      stderr=self.log, cwd=HERE)

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.send_signal(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()
        self.log.close()

    def terminate(self, limit_s=20.0):
        """Sends SIGTERM and returns the exit code."""
        self.popen.terminate()
        code = self.popen.wait(limit_s)
        self.log.close()
        return code

    def is_running(self):
        return self.popen.poll() is None

    def read_log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()


class Cluster:
    """Stand-ins, and VMs with a router and a placer each."""

    def __init__(self, build, centres=("dc1", "dc2"), vms_per_centre=2,
                 engines=None, services=None, log_args=(), store_args=(),
                 vm_lag_ms=200, settings=None):
        self.build = os.path.abspath(build)
        self.dir = tempfile.mkdtemp(prefix="bglade-test-")
        self.centres = centres
        self.vms_per_centre = vms_per_centre
        self.engines = engines if engines is not None \
            else default_engines(centres)
        self.services = services if services is not None \
            else default_services(centres)
        self.log_args = list(log_args)
        self.store_args = list(store_args)
        self.vm_lag_ms = vm_lag_ms
        self.settings = settings or {}
        self.node_settings = {}  # daemon's name -> section -> values
        self.procs = {}
        self.ports = {}
        self.vms = []
        self.proxies = {}
        self.addresses = {}
        self.targets = {}
        self.bridge_proxies = False

    # ---- start ---------------------------------------------------------

    def spawn(self, name, argv):
        self.procs[name] = Process(name, argv, self.dir)
        return self.procs[name]

    def port(self, name):
        if name not in self.ports:
            self.ports[name] = free_port()
        return self.ports[name]

    def standin(self, name, script, *args):
        self.spawn(name, [PYTHON, os.path.join(HERE, script), "--port",
                          str(self.port(name)), *map(str, args)])

    def address(self, name):
        """Address at which others reach NAME: its own, or that of its proxy."""
        return self.addresses.get(name,
                                  "127.0.0.1:%d" % self.port(name))

    def add_proxy(self, name, for_all=True):
        """Adds a fault proxy in front of NAME; call before start()."""
        proxy = name + "-proxy"
        self.proxies[name] = proxy
        if for_all:
            self.addresses[name] = "127.0.0.1:%d" % self.port(proxy)
        return "127.0.0.1:%d" % self.port(proxy)

    def add_log_proxy(self, centre):
        """Adds a fault proxy between CENTRE's VMs and the log; call before
        start().  set_proxy("log-CENTRE", cut=True) disconnects them."""
        name = "log-" + centre
        self.targets[name] = "log"
        return self.add_proxy(name)

    def log_address(self, centre):
        name = "log-" + centre
        return self.address(name if name in self.proxies else "log")

    def bridge_address(self, name):
        """Address at which placers of other data centres reach NAME.  With
        bridge_proxies it is that of NAME's proxy, even if processes of its
        own data centre connect directly."""
        if self.bridge_proxies and name in self.proxies:
            return "127.0.0.1:%d" % self.port(self.proxies[name])
        return self.address(name)

    def set_proxy(self, name, **faults):
        control = self.port(self.proxies[name] + "-control")
        with socket.create_connection(("127.0.0.1", control), 5) as s:
            s.sendall(json.dumps(faults).encode() + b"\n")
            assert s.recv(16) == b"ok\n"

    def start_proxies(self):
        for name, proxy in self.proxies.items():
            self.spawn(proxy, [
                PYTHON, os.path.join(HERE, "fault_proxy.py"), "--port",
                str(self.port(proxy)), "--target",
                "127.0.0.1:%d" % self.port(self.targets.get(name, name)),
                "--control-port",
                str(self.port(proxy + "-control"))])

    def start_engine(self, e):
        args = ["--id", e["id"], "--store", self.address("store")]
        for key, value in e.get("args", {}).items():
            args += ["--" + key.replace("_", "-"), value]
        self.standin(e["id"], "fake_engine.py", *args)

    def start(self):
        self.standin("log", "fake_log.py", *self.log_args)
        self.standin("store", "fake_store.py", *self.store_args)
        for e in self.engines:
            self.start_engine(e)
        for s in self.services:
            self.standin(s["id"], "fake_service.py")
        self.vms = [{"id": u["id"], "data_centre": u["centre"],
                     "deployment": u["deployment"],
                     "address": self.address(u["id"]), "state": "live"}
                    for u in self.engines + self.services]
        path = os.path.join(self.dir, "vms.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(self.vms, f)
        self.standin("vms", "fake_vms.py", "--file", path, "--lag-ms",
                     self.vm_lag_ms)
        self.start_proxies()
        names = ["log", "store", "vms"] + [u["id"] for u in
                                           self.engines + self.services]
        names += list(self.proxies.values())
        for name in names:
            self.wait_port(name)
        for vm in self.vm_names():
            self.start_vm(vm)
        for vm in self.vm_names():
            self.wait_port(vm + "-router")
            self.wait_port(vm + "-placer")
        return self

    def wait_port(self, name):
        def is_open():
            try:
                socket.create_connection(
                    ("127.0.0.1", self.port(name)), 0.5).close()
                return True
            except OSError:
                return False
        wait_until(is_open, 20, "port of " + name)

    def vm_names(self):
        return ["%s-vm%d" % (c, i + 1) for c in self.centres
                for i in range(self.vms_per_centre)]

    def routers(self):
        return [vm + "-router" for vm in self.vm_names()]

    def placers(self, centre):
        return [vm + "-placer" for vm in self.vm_names()
                if vm.startswith(centre + "-")]

    def write_settings(self, vm, role):
        name = vm + "-" + role
        centre = vm.split("-")[0]
        near = [p for p in self.placers(centre) if p != name]
        far = [p for c in self.centres if c != centre
               for p in self.placers(c)]
        if role == "router":
            # Routers of a data centre lend each other shares of limits.  Of
            # each pair, the one with the later name dials.
            near += [vm + "-router" for vm in self.vm_names()
                     if vm.startswith(centre + "-")
                     and vm + "-router" < name]
        doc = {
            "node": {"name": name, "data_centre": centre,
                     "http": "127.0.0.1:%d" % self.port(name),
                     "http_threads": "256" if role == "router" else "8",
                     "log_level": "info"},
            "log": {"address": self.log_address(centre)},
            "peers": {"listen": "127.0.0.1:%d" % self.port(name + "-peer"),
                      "dial": ",".join(self.address(p + "-peer")
                                       for p in near),
                      "shared_key": SHARED_KEY}}
        if role == "placer":
            doc["vms"] = {"address": self.address("vms"), "poll_ms": "200"}
            doc["placer"] = {"data_centres": len(self.centres)}
            if far:
                doc["peers"]["bridges"] = ",".join(
                    self.bridge_address(p + "-peer") for p in far)
        else:
            doc["router"] = {"routers": len(self.routers())}
        for section, values in self.settings.get(role, {}).items():
            doc.setdefault(section, {}).update(values)
        for section, values in self.node_settings.get(name, {}).items():
            doc.setdefault(section, {}).update(values)
        if not doc["peers"]["dial"]:
            del doc["peers"]["dial"]
        path = os.path.join(self.dir, name + ".ini")
        with open(path, "w", encoding="utf-8") as f:
            for section, values in doc.items():
                f.write("[%s]\n" % section)
                for key, value in values.items():
                    f.write("%s = %s\n" % (key, value))
        return path

    def start_daemon(self, vm, role):
        name = vm + "-" + role
        path = self.write_settings(vm, role)
        return self.spawn(name, [os.path.join(self.build, "bglade-" + role),
                                 "--config", path])

    def start_vm(self, vm):
        self.start_daemon(vm, "placer")
        self.start_daemon(vm, "router")

    def kill_vm(self, vm):
        """Kills the VM's processes; start_vm() starts new ones without their
        state."""
        for role in ("router", "placer"):
            self.procs[vm + "-" + role].kill()

    def daemons(self):
        return [vm + "-" + role for vm in self.vm_names()
                for role in ("placer", "router")]

    def versions(self):
        """Configuration version in force at each daemon; None: no answer."""
        out = {}
        for name in self.daemons():
            try:
                out[name] = self.dump(name)["config_version"]
            except (OSError, ValueError, KeyError):
                out[name] = None
        return out

    def wait_in_force(self, version, limit_s=15.0):
        """Waits until VERSION is in force at every daemon; returns seconds."""
        start = time.monotonic()
        wait_until(lambda: set(self.versions().values()) == {version},
                   limit_s, "version %d everywhere" % version)
        return time.monotonic() - start

    def stop(self):
        """Stops everything.  Fails if a daemon crashed, or if a sanitizer
        reported an error."""
        crashed = [p.name for p in self.procs.values()
                   if p.popen.poll() not in (None, 0, -signal.SIGKILL)
                   and "-vm" in p.name]
        for p in self.procs.values():
            if p.is_running():
                p.kill()
        crashed += [p.name for p in self.procs.values()
                    if SANITIZER.search(p.read_log())]
        if not crashed:
            shutil.rmtree(self.dir, ignore_errors=True)
            return
        for name in crashed:
            sys.stderr.write(self.procs[name].read_log()[-4000:])
        raise AssertionError("crashed: " + ", ".join(crashed))

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, kind, value, trace):
        if kind is not None:
            for p in self.procs.values():
                if "-vm" in p.name:
                    sys.stderr.write("---- %s\n%s" % (
                        p.name, p.read_log()[-3000:]))
        self.stop()

    # ---- use -----------------------------------------------------------

    def bglade(self, *args, check=True, log=None):
        argv = [os.path.join(self.build, "bglade"), "--log",
                log or "127.0.0.1:%d" % self.port("log"), *map(str, args)]
        res = subprocess.run(argv, capture_output=True, text=True,
                             timeout=60, cwd=ROOT, check=False)
        if check and res.returncode != 0:
            raise AssertionError("%s: %s%s" % (args, res.stdout, res.stderr))
        return res

    def publish_samples(self):
        s = os.path.join(ROOT, "samples")
        self.bglade("publish", s + "/samiti.ini", s + "/samiti-drafting.ini",
                    s + "/samiti-registry.ini")
        self.bglade("publish", s + "/kuura.ini", s + "/kuura-care.ini")
        self.wait_ready()

    def is_ready(self, name):
        try:
            return self.call(name, "GET", "/readyz").status == 200
        except OSError:
            return False  # not listening yet

    def publish_changed(self, old, new):
        """Revises the Samiti's template: replaces OLD by NEW in it."""
        s = os.path.join(ROOT, "samples")
        with open(s + "/samiti.ini", encoding="utf-8") as f:
            text = f.read()
        assert old in text
        path = os.path.join(self.dir, "changed.ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text.replace(old, new))
        def version(name):
            return self.dump(name)["fold"]["templates"]["samiti"]

        before = version(self.routers()[0])
        self.bglade("--base", before, "revise", path,
                    s + "/samiti-drafting.ini", s + "/samiti-registry.ini")
        for name in self.routers():
            wait_until(lambda n=name: version(n) > before, 10,
                       "the changed template at " + name)

    def wait_ready(self):
        for name in self.routers():
            wait_until(lambda n=name: self.is_ready(n), 15, name + " ready")

    def call(self, name, method, path, doc=None, headers=None, timeout=40.0):
        return call(self.port(name), method, path, doc, headers, timeout)

    def ask(self, router, key, path, doc, headers=None, timeout=40.0,
            method="POST"):
        head = {"Authorization": "Bearer " + KEYS[key]}
        head.update(headers or {})
        return self.call(router, method, path, doc, head, timeout)

    def complete(self, router, key, model, prompt, stream=False, tokens=8,
                 timeout=40.0, headers=None):
        return self.ask(router, key, "/v1/completions",
                        {"model": model, "prompt": prompt, "stream": stream,
                         "max_tokens": tokens}, headers, timeout)

    def audit(self, engine):
        return self.call(engine, "GET", "/control/audit").json()

    def set_faults(self, name, **faults):
        answer = self.call(name, "PUT", "/test/faults", faults)
        assert answer.status == 200
        return answer.json()

    def set_vms(self, vms):
        self.call("vms", "PUT", "/test/vms", vms)

    def dump(self, name):
        return self.call(name, "GET", "/dump", timeout=10).json()

    def owner(self, centre):
        """The placer that owns CENTRE, or None."""
        for name in self.placers(centre):
            if self.procs[name].is_running():
                try:
                    if self.dump(name)["state"]["owner"]:
                        return name
                except OSError:
                    pass
        return None


def default_engines(centres):
    out = []
    for c in centres:
        for i in range(2):
            out.append({"id": "%s-lm%d" % (c, i + 1), "centre": c,
                        "deployment": "parisankhyan-lm"})
        out.append({"id": c + "-neuvo1", "centre": c,
                    "deployment": "neuvo-llm",
                    "args": {"fencing": "ignored"}})
    return out


def default_services(centres):
    return [{"id": "%s-%s" % (c, d), "centre": c, "deployment": d}
            for c in centres for d in ("sadasya-ledger", "tilaus-app")]


def expected_text(prompt, tokens):
    """The stand-in engine's complete answer."""
    import hashlib
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:12]
    return digest + "".join(" t%d" % i for i in range(tokens)) + " end"


def stream_text(body):
    """The text of a streamed completion, and whether it ended by [DONE]."""
    text, whole = "", False
    for line in body.decode().split("\n"):
        if line == "data: [DONE]":
            whole = True
        elif line.startswith("data: "):
            doc = json.loads(line[6:])
            if "choices" in doc:
                part = doc["choices"][0]
                text += part.get("text") or part.get("delta", {}).get(
                    "content", "")
    return text, whole
