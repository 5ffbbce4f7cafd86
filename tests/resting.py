"""Upstreams that ask gateways for rest, or say that they leave, and callers
that see what comes of it."""

import http.client
import itertools
import threading
import time

from platform_cluster import ask, now

# The users' rule: from LATE_S after the answer to the end of the rest MAX_LATE
# requests may still reach the upstream from that gateway.
LATE_S = 0.5
MAX_LATE = 2

_numbers = itertools.count(1)


def make_id(gateway):
    return "%s.%08x" % (gateway.name, next(_numbers))


def get_sender(rid):
    """The name of the gateway that the request with that id was sent to."""
    return rid.partition(".")[0]


class Rest:
    """One rest that an upstream asked a gateway for."""

    def __init__(self, sender, at, ends):
        self.sender, self.at, self.ends = sender, at, ends
        self.arrivals = []

    def count_after(self):
        return sum(at >= self.at + LATE_S for at in self.arrivals)


class Resting:
    """For Engine.on_arrival: turns each gateway away, which it asks for REST_S
    of rest, then serves it for AWAKE_S, and so on.  value: Retry-After as sent,
    a text or a list for several; None: the rest of the rest."""

    def __init__(self, rest_s, awake_s=1.0, value=None, status=503):
        self.rest_s, self.awake_s, self.value = rest_s, awake_s, value
        self.status = status
        self.lock = threading.Lock()
        self.rests = []
        self.newest = {}   # sender -> Rest

    def turn_away(self, rid):
        """Seconds of rest that are left; None: it is served."""
        at, sender = now(), get_sender(rid)
        with self.lock:
            rest = self.newest.get(sender)
            if rest and rest.ends <= at < rest.ends + self.awake_s:
                return None
            if rest and at < rest.ends:
                rest.arrivals.append(at)
            else:
                rest = self.newest[sender] = Rest(sender, at,
                                                  at + self.rest_s)
                self.rests.append(rest)
            return rest.ends - at

    def __call__(self, engine, h, rid):
        left_s = self.turn_away(rid)
        if left_s is None:
            return False
        value = "%.3f" % left_s if self.value is None else self.value
        h.reply(self.status, {}, engine.add_limit(
            {"X-Attempt-Id": rid, "X-Not-Executed": "1",
             "Retry-After": value}))
        return True


def set_resting(upstreams, rest_s, **more):
    """Returns the Resting of each."""
    for u in upstreams:
        u.on_arrival = Resting(rest_s, **more)
    return [u.on_arrival for u in upstreams]


def summarize(restings):
    """(late, rests, most arrivals in one)"""
    counts = [r.count_after() for x in restings for r in x.rests]
    return (sum(max(0, n - MAX_LATE) for n in counts), len(counts),
            max(counts, default=0))


class Answer:
    def __init__(self, gateway, rid, began, status, head, data):
        self.gateway, self.rid, self.began = gateway, rid, began
        self.ended, self.status, self.head, self.data = (now(), status, head,
                                                         data)
        self.took_s = self.ended - began
        self.served = (status == 200 and "X-Server-Stamp" in head and
                       not data.startswith(b"INCOMPLETE"))


class Callers:
    """Sends PER_S requests a second on ROUTE to GATEWAYS in turn, each once on
    a new connection and no two alike, until stop()."""

    def __init__(self, gateways, per_s=40, route="chat", model="m0",
                 deadline_ms=4000):
        self.gateways, self.per_s = gateways, per_s
        self.route, self.model = route, model
        self.deadline_ms = deadline_ms
        self.answers, self.threads = [], []
        self.lock = threading.Lock()
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        due = now()
        for i in itertools.count():
            due += 1 / self.per_s
            if self.ends.wait(max(0, due - now())):
                return
            self.threads.append(threading.Thread(
                target=self.one, args=(self.gateways[i % len(self.gateways)],)))
            self.threads[-1].start()

    def one(self, gateway):
        began, rid = now(), make_id(gateway)
        try:
            status, head, data, _ = ask(
                gateway, self.route, self.model, rid.encode(),
                self.deadline_ms, rid=rid)
        except (OSError, http.client.HTTPException):   # the gateway is down
            status, head, data = 0, {}, b""
        with self.lock:
            self.answers.append(Answer(gateway, rid, began, status, head,
                                       data))

    def stop(self):
        self.ends.set()
        self.thread.join()
        for t in self.threads:
            t.join()
        return self.answers


def run_callers(c, seconds, act=None, gateways=None, **more):
    """Answers to callers who ask for SECONDS; ACT happens after a third."""
    callers = Callers(gateways or c.gateways, **more)
    time.sleep(seconds / 3)
    if act:
        act(c)
    time.sleep(seconds * 2 / 3)
    return callers.stop()


def share_served(answers):
    return sum(a.served for a in answers) / len(answers)


def get_end(resting, sender, at):
    """When RESTING serves what SENDER sends at AT, or later."""
    for r in resting.rests:
        if r.sender == sender and r.at <= at < r.ends + resting.awake_s:
            return max(at, r.ends)
    return at + resting.rest_s   # it would ask for rest


def could_wait(answers, upstreams, patience_s):
    """Those which some of UPSTREAMS, all Resting, would have served within
    PATIENCE_S."""
    return [a for a in answers
            if min(get_end(u.on_arrival, a.gateway.name, a.began)
                   for u in upstreams) < a.began + patience_s]
