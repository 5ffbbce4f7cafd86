"""Real daemons with the fast stand-ins of bglade-load, in fleets of any size,
for benchmarks."""

import json
import os
import re
import socket
import subprocess
import time

from cluster import Cluster, call, wait_until

KEY = "samiti-drafting-key"
KEY_SHA256 = ("d87bddde1ad9dfcb4540dc7229e11092c75539707cefe4b92de608ca8d2c0f"
              "92")
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


def read_cpu(pid):
    """CPU seconds of a process so far, user and system."""
    with open("/proc/%d/stat" % pid, encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def read_status(pid, key):
    with open("/proc/%d/status" % pid, encoding="ascii") as f:
        return int(re.search(r"^%s:\s+(\d+)" % key, f.read(), re.M).group(1))


def read_rss_mb(pid):
    return read_status(pid, "VmRSS") / 1024


def read_threads(pid):
    return read_status(pid, "Threads")


def free_range(count):
    """The first of COUNT consecutive ports that nobody listens on now.
    Connections in TIME_WAIT on them do not matter."""
    for first in range(21000 + os.getpid() % 97 * 100, 31900, 50):
        try:
            for port in range(first, first + count):
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
    raise OSError("no free range of ports")


def make_template(name="fleet", models=10, adapters=0, load_ms=50,
                  memory_mb=100, first=0, cold=10, idle=600, prefix="m"):
    """A template with MODELS models and ADAPTERS adapters on the first."""
    out = ["[template]\nname = %s\ncold_second_cost = %d\n"
           "idle_hour_cost = %d\n" % (name, cold, idle),
           "[upstreams lm%s]\nkind = engine\nfencing = checked\n"
           % ("" if name == "fleet" else "-" + name)]
    group = "lm" if name == "fleet" else "lm-" + name
    for i in range(first, first + models):
        out.append("[model %s%d]\nupstreams = %s\nmemory_mb = %d\n"
                   "replicas = 2\nload_ms = %d\nwait_ms = 20000\n"
                   % (prefix, i, group, memory_mb, load_ms))
    for i in range(adapters):
        out.append("[adapter %s-a%d]\nbase = %s%d\nmemory_mb = 1\n"
                   % (prefix, i, prefix, first))
    out.append("[workspace]\nmodels = *\nrequests_per_second = 100000\n"
               "concurrency = 100000\ntokens_per_minute = 100000000\n")
    return "\n".join(out)


def make_values(workspace="drafting", template="fleet", digest=KEY_SHA256):
    return ("[workspace]\nname = %s\ntemplate = %s\nkeys_sha256 = %s\n"
            % (workspace, template, digest))


class FastCluster(Cluster):
    """A Cluster with ENGINES engines in each data centre, all of which run in
    one process."""

    def __init__(self, build, centres=("dc1",), vms_per_centre=2, engines=4,
                 engine_args=(), log_args=(), settings=None, http_threads=256):
        base = {"placer": {"node": {"log_level": "warn"}},
                "router": {"node": {"log_level": "info",
                                    "http_threads": str(http_threads)}}}
        for role, sections in (settings or {}).items():
            for section, values in sections.items():
                base[role].setdefault(section, {}).update(values)
        super().__init__(build, centres=centres,
                         vms_per_centre=vms_per_centre, engines=[],
                         services=[], settings=base, vm_lag_ms=0)
        self.engine_count = engines
        self.engine_args = list(engine_args)
        self.fast_log_args = list(log_args)
        self.tool = os.path.join(self.build, "bglade-load")

    def start(self):
        self.spawn("log", [self.tool, "log", "--listen", "127.0.0.1:%d"
                           % self.port("log"), "--threads", "400",
                           *map(str, self.fast_log_args)])
        vms = []
        for c in self.centres:
            first = free_range(self.engine_count)
            name = c + "-engines"
            self.ports[name] = first
            self.spawn(name, [self.tool, "engine", "--port", str(first),
                              "--engines", str(self.engine_count),
                              *map(str, self.engine_args)])
            vms += [{"id": "%s-e%d" % (c, i), "data_centre": c,
                     "deployment": "lm", "state": "live",
                     "address": "127.0.0.1:%d" % (first + i)}
                    for i in range(self.engine_count)]
            self.wait_port(name)
        path = os.path.join(self.dir, "vms.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(vms, f)
        self.standin("vms", "fake_vms.py", "--file", path, "--lag-ms", 0)
        self.wait_port("vms")
        self.wait_port("log")
        for vm in self.vm_names():
            self.start_vm(vm)
        for vm in self.vm_names():
            self.wait_port(vm + "-router")
            self.wait_port(vm + "-placer")
        return self

    # ---- use -----------------------------------------------------------

    def publish(self, template, values, verb="publish", base=None):
        paths = []
        for i, text in enumerate([template, *values]):
            paths.append(os.path.join(self.dir, "publish%d.ini" % i))
            with open(paths[-1], "w", encoding="utf-8") as f:
                f.write(text)
        args = ["--base", base] if base is not None else []
        self.bglade(*args, verb, *paths)

    def publish_fleet(self, **sizes):
        self.publish(make_template(**sizes), [make_values()])
        self.wait_ready()
        for c in self.centres:
            wait_until(lambda c=c: self.owner(c), 20, "owner of " + c)

    def pid(self, name):
        return self.procs[name].popen.pid

    def metric(self, name, key):
        text = self.call(name, "GET", "/metrics").body.decode()
        found = re.search(r"^bglade_%s (\d+)" % key, text, re.M)
        return int(found.group(1)) if found else 0

    def log_state(self):
        return call(self.port("log"), "GET", "/test/state").json()

    def load(self, to, *args, key=KEY):
        """Runs the load tool against TO: names or IP:PORT strings."""
        targets = ",".join(t if ":" in t else "127.0.0.1:%d" % self.port(t)
                           for t in to)
        res = subprocess.run([self.tool, "run", "--json", "--to", targets,
                              "--key", key, *map(str, args)],
                             capture_output=True, text=True, timeout=120,
                             check=False)
        if not res.stdout:
            raise AssertionError("load: " + res.stderr)
        return json.loads(res.stdout)

    def warm(self, router, models):
        """Loads MODELS by one request each."""
        for m in models:
            out = self.load([router], "--models", m, "--requests", 1)
            assert out["answered"] == 1, out


class Window:
    """Context manager that measures the resources processes use inside it."""

    METRICS = ("peer_sent_bytes_total", "http_sent_bytes_total",
               "http_got_bytes_total", "http_calls_total")

    def __init__(self, cluster, names):
        self.cluster = cluster
        self.names = list(names)

    def __enter__(self):
        self.before = self.read()
        return self

    def __exit__(self, kind, value, trace):
        if kind is None:
            after = self.read()
            self.seconds = after["t"] - self.before["t"]
            self.log = {k: after["state"][k] - self.before["state"][k]
                        for k in ("appends", "bytes", "reads")}
            self.used = {n: {k: after[n][k] - self.before[n][k]
                             for k in after[n]} for n in self.names}

    def read(self):
        out = {"t": time.monotonic(), "state": self.cluster.log_state()}
        for n in self.names:
            out[n] = {"cpu": read_cpu(self.cluster.pid(n))}
            if "-vm" in n:
                text = self.cluster.call(n, "GET", "/metrics").body.decode()
                for key in self.METRICS:
                    found = re.search(r"^bglade_%s (\d+)" % key, text, re.M)
                    out[n][key] = int(found.group(1)) if found else 0
        return out

    def rate(self, names, key):
        """Mean over NAMES, per second."""
        return sum(self.used[n][key] for n in names) / len(names) \
            / self.seconds
