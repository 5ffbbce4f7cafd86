"""Stateful fuzzing of the placement core.

Up to three placers run over one log whose entries reach each of them late.
They are paused, killed, restarted and cut off from the log; engines restart
and lose loads.  An order that a placer gave up on may still arrive until the
engine's process ends, and one that a paused placer has not sent yet, even
later.  The oracle reads no records: it counts memory and replicas on the
engines.

An order reaches only the boot of the engine that it names, since its worker
checks the boot first and sends over the same connection.
"""

import os
import subprocess

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, initialize,
                                 invariant, rule, run_state_machine_as_test)

from cluster import ROOT

MODELS = {"fa": ("fen", 40, 1), "fb": ("fen", 60, 2), "fl": ("fen", 10, 1),
          "ia": ("ign", 40, 1), "ib": ("ign", 60, 2)}
ENGINES = {"f1": "fen", "f2": "fen", "f3": "fen", "i1": "ign", "i2": "ign"}
CAPACITY = 100
BUILD = os.environ.get("BGLADE_BUILD", "build")


class Engine:
    """Simulated engine; the oracle counts the models that it holds."""

    def __init__(self, name):
        self.name = name
        self.checks = ENGINES[name] == "fen"
        self.boots = 0
        self.held = {}
        self.restart()

    def restart(self):
        self.boots += 1
        self.boot = "%s-%d" % (self.name, self.boots)
        self.fence = 0
        self.seq = 0
        self.held = {}
        self.reports = []

    def take(self, order):
        """(outcome, seq) of an order that arrives now."""
        if self.checks:
            if order["fence"] < self.fence:
                return "stale", 0
            self.fence = order["fence"]
        self.seq += 1
        if order["kind"] == "load":
            base = "fb" if order["model"] == "fl" else None
            if base and base not in self.held:
                return "busy", 0
            self.held.setdefault(order["model"], [order["load"], "loading",
                                                  order["mb"]])
        elif order["kind"] == "unload":
            if order["model"] == "fb" and "fl" in self.held:
                return "busy", 0
            self.held.pop(order["model"], None)
        return "acked", self.seq

    def report(self):
        self.seq += 1
        words = ["%s:%s:%s:%d" % (m, h[0], h[1], h[2])
                 for m, h in sorted(self.held.items())]
        line = "%s %d %d %s" % (self.boot, self.seq, CAPACITY,
                                " ".join(words))
        self.reports.append(line)
        return line

    def old_report(self, age):
        self.report()
        return self.reports[max(0, len(self.reports) - 1 - age)]


class PlacementMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.proc = subprocess.Popen(
            [os.path.join(ROOT, BUILD, "script_pl")], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True, cwd=ROOT)
        self.engines = {n: Engine(n) for n in ENGINES}
        self.now = 100000
        self.alive = {}       # node -> paused?
        self.cut = set()      # nodes that cannot reach the log
        self.log_down = False
        self.frozen = set()   # engines that answer nothing
        self.count = 0
        self.appends = []     # (node, id), not decided
        self.unsent = []      # orders held by a worker
        self.wire = []        # given up by their placer, may still arrive
        self.wants = {}
        self.last = {}

    def teardown(self):
        self.proc.stdin.close()
        self.proc.wait()
        self.proc.stdout.close()

    # ---- the script ----------------------------------------------------

    def send(self, line):
        self.proc.stdin.write(line + "\n")
        self.proc.stdin.flush()
        out = []
        while True:
            got = self.proc.stdout.readline()
            assert got, "the core stopped at: " + line
            if got == "ok\n":
                break
            out.append(got.strip())
        for text in out:
            self.take(text)
        return out

    def take(self, text):
        words = text.split()
        assert words[0] != "BROKEN", text
        if words[0] == "append":
            self.appends.append((words[1], words[2]))
        elif words[0] == "order":
            self.unsent.append({
                "node": words[1], "id": words[2], "kind": words[3],
                "engine": words[4], "model": words[5], "load": words[6],
                "mb": int(words[7]), "fence": int(words[8]),
                "boot": words[10]})

    def reaches_log(self, node):
        return not self.log_down and node not in self.cut

    def running(self):
        return [n for n, paused in self.alive.items() if not paused]

    def log_state(self, node):
        self.send("log %s %s" % (
            node, "up" if self.reaches_log(node) else "down"))

    # ---- steps ---------------------------------------------------------

    @initialize()
    def begin(self):
        self.send("config")
        for _ in range(2):
            self.add_node()
        self.wants = {"fb": 1, "ib": 1}
        self.run(6, 0, 250)
        self.run(4, 0, 1000)  # until the grants are confirmed

    def add_node(self):
        self.count += 1
        name = "n%d" % self.count
        self.alive[name] = False
        self.send("time %d" % self.now)
        self.send("place " + name)
        self.sync(name, 10000)

    def sync(self, node, max_entries):
        if self.reaches_log(node):
            self.send("read %s %d" % (node, max_entries))
        self.log_state(node)
        self.send("vms %s %s" % (node, " ".join(
            "%s:%s" % e for e in ENGINES.items())))

    def answer(self, order, outcome, seq=0):
        node = order["node"]
        if self.alive.get(node) is False:
            self.send("done %s %s %s %d" % (node, order["id"], outcome, seq))

    def ask_report(self, order, text):
        if self.alive.get(order["node"]) is False:
            self.send("report %s %s %s" % (order["node"], order["id"], text))

    def arrive(self, order, lag=0):
        """The order reaches its engine, and the answer reaches the placer."""
        engine = self.engines[order["engine"]]
        if engine.name in self.frozen:
            if order["kind"] in ("load", "unload"):
                self.wire.append(order)
            self.answer(order, "unknown")
            return
        if order["kind"] == "poll":
            self.ask_report(order, engine.old_report(lag))
            return
        outcome, seq = engine.take(order)
        if order["kind"] == "fence" and outcome == "acked":
            self.ask_report(order, engine.report())
        else:
            self.answer(order, outcome, seq)

    def is_dropped(self, order):
        """An order goes over a connection to the boot that it is for."""
        return order["boot"] not in ("-", self.engines[order["engine"]].boot)

    def deliver_orders(self, lag=0):
        todo = [o for o in self.unsent if self.alive.get(o["node"]) is False]
        self.unsent = [o for o in self.unsent if o not in todo]
        for order in todo:
            if order.get("sent"):
                self.answer(order, "unknown")
            elif self.is_dropped(order):
                self.answer(order, "unsent")
            else:
                self.arrive(order, lag)

    def commit_all(self):
        todo = [a for a in self.appends
                if self.alive.get(a[0]) is False and self.reaches_log(a[0])]
        self.appends = [a for a in self.appends if a not in todo]
        for _, ident in todo:
            self.send("commit " + ident)

    def finish_loads(self):
        for engine in self.engines.values():
            for held in engine.held.values():
                held[1] = "loaded"

    def run(self, rounds, lag=0, step=100):
        """Time passes; every running placer reads, ticks and is answered."""
        for _ in range(rounds):
            self.now += step
            self.send("time %d" % self.now)
            for node in self.running():
                self.sync(node, 10000)
                self.send("demand %s %s" % (node, " ".join(
                    "%s:%d:0" % w for w in sorted(self.wants.items()))))
                self.send("tick " + node)
            self.commit_all()
            self.deliver_orders(lag)

    @rule(rounds=st.integers(1, 8), lag=st.integers(0, 3),
          step=st.sampled_from([50, 250, 1000]))
    def pass_time(self, rounds, lag, step):
        self.run(rounds, lag, step)

    @rule(model=st.sampled_from(sorted(MODELS)),
          waiting=st.sampled_from([0, 1, 20]))
    def want(self, model, waiting):
        self.wants[model] = waiting
        self.run(3)

    @rule()
    def want_nothing(self):
        self.wants = {}
        self.run(5, 0, 1000)

    @rule()
    def loads_end(self):
        self.finish_loads()
        self.run(2)

    @rule(at=st.integers(0, 50))
    def load_dies(self, at):
        engines = [e for e in self.engines.values() if e.held]
        if engines:
            engine = engines[at % len(engines)]
            model = sorted(engine.held)[at % len(engine.held)]
            if not (model == "fb" and "fl" in engine.held):
                del engine.held[model]

    @rule(at=st.integers(0, 4))
    def engine_restarts(self, at):
        engine = self.engines[sorted(self.engines)[at]]
        self.frozen.discard(engine.name)
        self.wire = [o for o in self.wire if o["engine"] != engine.name]
        engine.restart()

    @rule(at=st.integers(0, 4))
    def engine_freezes_or_thaws(self, at):
        """A frozen engine keeps connections, but reads and answers nothing."""
        self.frozen ^= {sorted(self.engines)[at]}

    @rule(at=st.integers(0, 50))
    def placer_gives_up_order(self, at):
        """The answer is lost: the order may have arrived, or may be in
        transit on a connection that its placer has closed."""
        todo = [o for o in self.unsent if o["kind"] in ("load", "unload")
                and self.alive.get(o["node"]) is False]
        if todo:
            order = todo[at % len(todo)]
            self.unsent.remove(order)
            if not self.is_dropped(order) and not order.get("sent"):
                self.wire.append(order)
            self.answer(order, "unknown")

    @rule(at=st.integers(0, 50))
    def late_order_arrives(self, at):
        todo = [o for o in self.wire if o["engine"] not in self.frozen]
        if todo:
            order = todo[at % len(todo)]
            self.wire.remove(order)
            self.engines[order["engine"]].take(order)

    @rule(at=st.integers(0, 50))
    def paused_worker_sends(self, at):
        """A worker sends an order while the placer's core is paused or slow."""
        todo = [o for o in self.unsent if o["kind"] in ("load", "unload")
                and self.alive.get(o["node"]) is not None]
        if todo:
            order = todo[at % len(todo)]
            if self.is_dropped(order) or order.get("sent"):
                return
            order["sent"] = True
            if order["engine"] in self.frozen:
                self.wire.append(order)
            else:
                self.engines[order["engine"]].take(order)

    @rule()
    def tick_only(self):
        """Placers decide, but the orders stay with their workers."""
        self.now += 250
        self.send("time %d" % self.now)
        for node in self.running():
            self.sync(node, 10000)
            self.send("demand %s %s" % (node, " ".join(
                "%s:%d:0" % w for w in sorted(self.wants.items()))))
            self.send("tick " + node)
        self.commit_all()

    def pause(self, at):
        todo = self.running()
        if todo:
            self.alive[todo[at % len(todo)]] = True

    def resume(self, at):
        todo = [n for n, paused in self.alive.items() if paused]
        if todo:
            self.alive[todo[at % len(todo)]] = False

    def kill(self, at, loses):
        if not self.alive:
            return
        node = sorted(self.alive)[at % len(self.alive)]
        del self.alive[node]
        self.send("kill " + node)
        # Unsent orders end with the process; sent ones may still arrive.
        mine = [o for o in self.unsent if o["node"] == node]
        self.unsent = [o for o in self.unsent if o["node"] != node]
        self.wire += [o for o in mine if o["kind"] in ("load", "unload")
                      and not self.is_dropped(o) and not o.get("sent")
                      and loses]
        gone = [a for a in self.appends if a[0] == node]
        self.appends = [a for a in self.appends if a[0] != node]
        for _, ident in gone:
            self.send(("drop " if loses else "commit ") + ident)

    def start(self, at):
        del at
        if len(self.alive) < 3:
            self.add_node()

    def drain(self, at):
        todo = self.running()
        if todo:
            self.send("drain " + todo[at % len(todo)])

    @rule(down=st.booleans())
    def log_outage(self, down):
        self.log_down = down
        self.run(2)

    def cut_from_log(self, at):
        if self.alive:
            self.cut ^= {sorted(self.alive)[at % len(self.alive)]}

    @rule(kind=st.sampled_from(["pause", "resume", "resume", "start",
                                "start", "drain", "cut_from_log",
                                "cut_from_log"]),
          at=st.integers(0, 5))
    def placer_fault(self, kind, at):
        getattr(self, kind)(at)

    @rule(at=st.integers(0, 5), loses=st.booleans())
    def placer_dies(self, at, loses):
        self.kill(at, loses)
        if not self.alive:
            self.add_node()

    @rule(rounds=st.integers(8, 16))
    def lease_passes(self, rounds):
        self.run(rounds, 0, 500)

    def has_order(self, model):
        return [o for o in self.unsent if o["kind"] == "load"
                and o["model"] == model]

    @rule(model=st.sampled_from(sorted(MODELS)), lag=st.integers(0, 3),
          fault=st.sampled_from(["unknown", "killed", "killed sent", "paused",
                                 "cut", "drain"]),
          rounds=st.integers(0, 8), freeze=st.booleans())
    def owner_is_lost_while_it_orders(self, model, lag, fault, rounds, freeze):
        """There is demand for a model and its load order is decided; then its
        placer fails or the answer is lost."""
        self.wants = {model: 1}
        for _ in range(4):
            if not self.has_order(model):
                self.tick_only()
        for order in self.has_order(model):
            node = order["node"]
            if fault == "unknown":
                self.unsent.remove(order)
                if not self.is_dropped(order):
                    self.wire.append(order)
                self.answer(order, "unknown")
            elif node not in self.alive:
                continue
            elif fault == "paused":
                self.alive[node] = True
            elif fault == "cut":
                self.cut.add(node)
            elif fault == "drain":
                self.send("drain " + node)
            else:
                self.kill(sorted(self.alive).index(node),
                          fault == "killed sent")
            if freeze:
                self.frozen.add(order["engine"])
        if not self.running():
            self.add_node()
        self.run(rounds, lag, 500)

    @rule(model=st.sampled_from(["fa", "fb", "fl"]), killed=st.booleans(),
          rounds=st.integers(1, 4), freeze=st.booleans())
    def outage_of_the_log(self, model, killed, rounds, freeze):
        """There is demand for a model while the log is unreachable; the
        owner may die."""
        self.log_down = True
        self.wants = {model: 1}
        self.run(rounds, 0, 500)
        if killed and self.running():
            self.kill(sorted(self.alive).index(self.running()[0]), True)
            self.add_node()
        if freeze:
            self.frozen |= {e.name for e in self.engines.values()
                            if model in e.held}
        self.log_down = False
        self.run(rounds, 0, 1000)

    # ---- the oracle ----------------------------------------------------

    @invariant()
    def memory_is_never_overcommitted(self):
        for engine in self.engines.values():
            used = sum(h[2] for h in engine.held.values())
            assert used <= CAPACITY, (engine.name, engine.held)

    @invariant()
    def replicas_stay_under_the_ceiling(self):
        for model, (_, _, ceiling) in MODELS.items():
            at = [e.name for e in self.engines.values() if model in e.held]
            assert len(at) <= ceiling, (model, at)


def test_memory_and_replicas_hold():
    run_state_machine_as_test(PlacementMachine, settings=settings(
        max_examples=int(os.environ.get("FUZZ_EXAMPLES", "60")),
        stateful_step_count=25, deadline=None,
        derandomize="FUZZ_SEEDED" not in os.environ, database=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck)))
