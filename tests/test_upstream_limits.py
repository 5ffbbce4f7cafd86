"""Limits that upstreams name, which hold over all gateways together."""

import signal
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask, now


def limit_events(gateway):
    return [(e["what"], e.get("text"), e.get("limit_per_1000_s"))
            for e in gateway.events("upstream-limit")]


def name_limit(gateway, engine, named, what):
    """ENGINE names NAMED in its answers until GATEWAY logs WHAT."""
    engine.rate_limit = named

    # A leader hands out no slot in its first second.
    wait_until(lambda: ask(gateway, "chat", "m0")[0] == 200 and
               limit_events(gateway)[-1:] == [what])


def test_a_named_limit_is_logged(build):
    """Guards against a limit that nobody can see in the logs: begun, lowered,
    not readable (which changes nothing), raised, ended."""
    with Cluster(build, models=(("m0",),)) as c:
        g, engine = c.gateways[0], c.engines[0]
        c.leader()
        name_limit(g, engine, "60.5", ("named", None, 60500))
        name_limit(g, engine, "40", ("changed", None, 40000))
        name_limit(g, engine, "x", ("not read", "x", 40000))
        name_limit(g, engine, "45", ("changed", None, 45000))
        name_limit(g, engine, ["7", "7"], ("not read", "7", 45000))
        name_limit(g, engine, None, ("ended", None, None))
        assert len(limit_events(g)) == 6


# The users' bound: in a window of WINDOW_S, from GRACE_S after an upstream
# first named its limit, at most EXCESS times what that allows, and SLACK.
WINDOW_S = 4
GRACE_S = 3
EXCESS = 1.5
SLACK = 5
# Part of its limit that an upstream must still get while callers want it.
LEAST_USE = 0.8


def allowed(per_s):
    return EXCESS * per_s * WINDOW_S + SLACK


class Callers:
    """Sends PER_S requests a second on ROUTE, for model MODEL, to GATEWAYS in
    turn until stop(); answers has (time, status, headers) of each."""

    def __init__(self, gateways, per_s, route="chat", model="m0"):
        self.gateways, self.per_s = gateways, per_s
        self.route, self.model = route, model
        self.answers, self.threads = [], []
        self.lock = threading.Lock()
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        i = 0
        while not self.ends.wait(1 / self.per_s):
            self.threads.append(threading.Thread(
                target=self.one, args=(self.gateways[i % len(self.gateways)],)))
            self.threads[-1].start()
            i += 1

    def one(self, gateway):
        at = now()
        try:
            status, head, _, _ = ask(gateway, self.route, self.model)
        except OSError:   # the gateway is down
            return
        with self.lock:
            self.answers.append((at, status, head))

    def stop(self):
        self.ends.set()
        self.thread.join()
        for t in self.threads:
            t.join()
        return self.answers


def arrivals_between(engine, begin, end):
    return [at for _, at in engine.arrivals if begin <= at < end]


def largest_window(times):
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times),
               default=0)


@pytest.mark.parametrize("gateways", [3, 7])
def test_sum_over_gateways_above_a_named_limit(build, gateways):
    """Guards against a limit that each gateway keeps by itself, or none: the
    sum of their requests is far above it."""
    with Cluster(build, gateways=gateways, models=(("m0",),)) as c:
        c.leader()
        wait_until(c.all_linked)
        engine = c.engines[0]
        engine.rate_limit = "2"
        callers = Callers(c.gateways, per_s=14)
        wait_until(lambda: len(engine.arrivals) > 0)
        begin = now() + GRACE_S
        time.sleep(GRACE_S + 2.5 * WINDOW_S)
        end = now()
        answers = callers.stop()
        arrived = arrivals_between(engine, begin, end)
        assert largest_window(arrived) <= allowed(2)
        assert len(arrived) >= LEAST_USE * 2 * (end - begin)
        # What does not fit is refused, and told when to come back.
        refused = [(s, h) for at, s, h in answers if at > begin and s != 200]
        assert {s for s, _ in refused} == {503}
        assert all(float(h["Retry-After"]) > 0 for _, h in refused)


def check_bound(engine, per_s, begin, end, least_use=0):
    arrived = arrivals_between(engine, begin, end)
    assert largest_window(arrived) <= allowed(per_s)
    assert len(arrived) >= least_use * per_s * (end - begin)


def name_and_load(c, per_s, demand_per_s):
    """The first engine names PER_S, and callers ask for more; returns them
    once every gateway knows the limit."""
    c.leader()
    wait_until(c.all_linked)
    c.engines[0].rate_limit = str(per_s)
    callers = Callers(c.gateways, demand_per_s)
    wait_until(lambda: all(g.events("upstream-limit") for g in c.gateways))
    return callers


def test_another_process_ends_no_limit(build):
    """Guards against a limit set or ended by an answer of another process
    that has the upstream's address."""
    with Cluster(build, models=(("m0",),)) as c:
        g, engine = c.gateways[0], c.engines[0]
        c.leader()
        name_limit(g, engine, "40", ("named", None, 40000))
        engine.rate_limit = "7"
        name, engine.name = engine.name, "another"
        assert ask(g, "chat", "m0", deadline_ms=500)[0] == 503
        engine.name, engine.rate_limit = name, "40"
        # The model counts as absent for a moment after those answers.
        wait_until(lambda: ask(g, "chat", "m0")[0] == 200)
        assert len(limit_events(g)) == 1


def test_another_replica_takes_what_a_limit_does_not_allow(build):
    """Guards against callers refused for a limit while another upstream holds
    the model, and against a limited upstream that is left unused."""
    with Cluster(build, gateways=3, models=(("m0",), ("m0",))) as c:
        callers = name_and_load(c, 4, 20)
        begin = now() + GRACE_S
        time.sleep(GRACE_S + 8)
        end = now()
        answers = callers.stop()
        check_bound(c.engines[0], 4, begin, end, LEAST_USE)
        assert {s for at, s, _ in answers if at < end} == {200}


def test_a_whole_service_names_limits(build):
    """Guards against one limit that is kept for all upstreams of a service,
    or for none, where all of them name theirs at the same moment."""
    with Cluster(build, gateways=3, apps=3) as c:
        c.leader()
        wait_until(c.all_linked)
        for app, per_s in zip(c.apps, (1, 2, 4)):
            app.rate_limit = str(per_s)
        callers = Callers(c.gateways, 30, "read", None)
        time.sleep(GRACE_S)
        begin = now()
        time.sleep(8)
        end = now()
        answers = callers.stop()
        for app, per_s in zip(c.apps, (1, 2, 4)):
            check_bound(app, per_s, begin, end, LEAST_USE)
        refused = [(s, h) for at, s, h in answers
                   if begin < at < end and s != 200]
        assert {s for s, _ in refused} == {503}
        assert all(float(h["Retry-After"]) > 0 for _, h in refused)


def test_an_ended_limit_binds_nobody(build):
    """Guards against a limit that outlives its naming."""
    with Cluster(build, gateways=3, models=(("m0",),)) as c:
        callers = name_and_load(c, 2, 12)
        time.sleep(2)
        c.engines[0].rate_limit = None
        wait_until(lambda: all(limit_events(g)[-1][0] == "ended"
                               for g in c.gateways))
        begin = now()
        time.sleep(3)
        answers = callers.stop()
        assert {s for at, s, _ in answers if at > begin} == {200}


def test_a_new_process_under_the_id_has_no_limit(build):
    """Guards against the limit of an upstream's former process."""
    with Cluster(build, gateways=3, models=(("m0",),)) as c:
        callers = name_and_load(c, 2, 12)
        engine = c.engines[0]
        engine.rate_limit = None
        engine.born += 5000
        engine.publish_entry()
        begin = now() + 1
        time.sleep(3)
        answers = callers.stop()
        assert {s for at, s, _ in answers if at > begin} == {200}


def kill_leader(c):
    c.leader().send(signal.SIGKILL)


def kill_and_restart_all(c):
    for g in c.gateways:
        g.send(signal.SIGKILL)
    for g in c.gateways:
        g.proc.wait()
        g.start()


def pause_leader(c):
    leader = c.leader()
    leader.send(signal.SIGSTOP)
    time.sleep(4)
    leader.send(signal.SIGCONT)


def restart_in_turn(c):
    for g in c.gateways:
        g.send(signal.SIGTERM)
        g.proc.wait(12)
        g.start()
        wait_until(g.is_ready)


def cut_links(c):
    for p in c.link_proxies:
        p.set(cut=True)
    time.sleep(4)
    for p in c.link_proxies:
        p.set()


def delay_links(c):
    for p in c.link_proxies:
        p.set(delay_ms=700)
    time.sleep(4)
    for p in c.link_proxies:
        p.set()


# From a fault until an upstream gets what it allows again: the change of the
# leader, and the second in which a new leader hands out no slot.
RECOVERY_S = 5.2 + 1


def aware_requests(c):
    """Ids of the requests that were sent by processes that knew a limit."""
    return {e["id"] for g in c.gateways for e in g.events("request-sent")
            if "limit_per_1000_s" in e}


def check_fault(c, per_s, fault):
    """FAULT happens while callers ask for far more than PER_S."""
    callers = name_and_load(c, per_s, 8 * per_s)
    begin = now() + GRACE_S
    time.sleep(GRACE_S)
    fault(c)
    time.sleep(RECOVERY_S + WINDOW_S)
    end = now()
    callers.stop()
    aware = aware_requests(c)
    arrived = [at for rid, at in c.engines[0].arrivals
               if rid in aware and begin <= at < end]
    assert largest_window(arrived) <= allowed(per_s)
    check_bound(c.engines[0], per_s, end - WINDOW_S, end, LEAST_USE)


@pytest.mark.parametrize("fault", [
    kill_leader, kill_and_restart_all, pause_leader, restart_in_turn,
    cut_links, delay_links], ids=lambda f: f.__name__)
def test_a_limit_holds_through(build, fault):
    """Guards against a sum that is above the limit while the gateway that
    hands out the slots is lost, paused, replaced or out of reach, and against
    an upstream that gets too little afterwards."""
    with Cluster(build, gateways=4, models=(("m0",),),
                 link_proxies=fault in (cut_links, delay_links)) as c:
        check_fault(c, 2, fault)


def kill_relay(c):
    for g in c.gateways:
        if g.dump()["peers"] > 0 and not g.dump()["places"]:
            g.send(signal.SIGKILL)


def no_fault(_c):
    pass


@pytest.mark.parametrize("fault", [no_fault, kill_relay, kill_leader],
                         ids=lambda f: f.__name__)
def test_a_limit_holds_behind_relays(build, fault):
    """Guards against slots that don't reach the members of a relay, or reach
    another one, and against a limit lost with the relay."""
    with Cluster(build, gateways=6, models=(("m0",),),
                 extra="[relays]\ndirect = 1\n") as c:
        wait_until(lambda: sum(bool(g.dump()["relay"] and g.dump()["linked"])
                               for g in c.gateways) == 3, what="relays")
        check_fault(c, 4, fault)
