"""Callers whose prompts share parts: sound ones, and ones with a part that
ends each engine that begins an answer on it.  No two requests are alike."""

import http.client
import itertools
import threading
import time

from platform_cluster import ask, event_ids, now

BAD = "bad0"
# The users' rule: after the fifth end and LATE_S, in which all are told, three
# more requests with the part may reach engines.  The aim is none.
ENDS = 5
LATE_S = 0.6
MAX_LATE = 3
# Sound requests are served as before within SETTLED_S of that end.
SETTLED_S = 1.2
MIN_SHARE = 0.95

_numbers = itertools.count()


def make_prompt(number, deadly, first="f1", bad=BAD, place=2, extra=0):
    """place: of the bad part; extra: further shared parts."""
    parts = ["%s:50" % first, "5e%d:40" % (number % 4)]
    parts += ["ad%d:10" % i for i in range(extra)]
    if deadly:
        parts.insert(place, "%s:20" % bad)
    return ",".join(parts + ["0%x:30" % (0x5000000 + number)])


class Callers:
    """Sends sound and deadly requests, so many a second, until stop()."""

    def __init__(self, gateways, sound_s=25, deadly_s=6, models=("m0",),
                 prompt=make_prompt, deadline_ms=3000):
        self.gateways, self.models, self.prompt = gateways, models, prompt
        self.deadline_ms = deadline_ms
        self.sent = []   # (deadly, time, status, whole)
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.deadly = threading.Event()
        self.deadly.set()
        self.threads = []
        for every_s, deadly in ((1 / sound_s, False), (1 / deadly_s, True)):
            self.start(self.run, every_s, deadly)

    def start(self, target, *args):
        t = threading.Thread(target=target, args=args)
        with self.lock:
            self.threads.append(t)
        t.start()

    def run(self, every_s, deadly):
        due = now()
        while not self.stopped.wait(max(0, due - now())):
            due += every_s
            if deadly and not self.deadly.is_set():
                continue
            number = next(_numbers)
            self.start(self.one, number, deadly)

    def one(self, number, deadly):
        gateway = self.gateways[number * 7 % len(self.gateways)]
        began = now()
        status, data = 0, b""
        try:
            status, _, data, _ = ask(
                gateway, "chat", self.models[number % len(self.models)],
                b"body %d" % number, self.deadline_ms,
                {"X-Prompt-Prefix": self.prompt(number, deadly)})
        except (OSError, http.client.HTTPException):   # the gateway is down
            pass
        whole = status == 200 and event_ids(data) == list(range(5))
        with self.lock:
            self.sent.append((deadly, began, status, whole))

    def stop(self):
        self.stopped.set()
        for t in self.threads:
            t.join()

    def share(self, since, until=1e9):
        """Of the sound requests sent from SINCE to UNTIL, those served."""
        asked = [whole for deadly, began, _, whole in self.sent
                 if not deadly and since <= began < until]
        assert len(asked) >= 20, len(asked)
        return sum(asked) / len(asked)


def read_ends(engines):
    return sorted(t for e in engines for t in e.ends)


def find_fifth(engines):
    """Time of the fifth end; of the last if there are fewer."""
    return read_ends(engines)[:ENDS][-1]


def count_late(engines):
    """Requests with the part that reached engines too late."""
    fifth = find_fifth(engines)
    late = sum(t > fifth + LATE_S for e in engines for t in e.deadly_arrivals)
    print("ends %d, late %d" % (len(read_ends(engines)), late))
    return late


def check(callers, engines, began):
    """BEGAN: when the first request with the part was sent."""
    late = count_late(engines)
    fifth = find_fifth(engines)
    before = callers.share(0, began)
    after = callers.share(fifth + SETTLED_S)
    print("sound: %.2f before, %.2f after" % (before, after))
    assert late <= MAX_LATE
    assert after >= MIN_SHARE * before


def play(cluster, warm_s=1.5, deadly_s_long=5, during=None, **more):
    """Sound callers, then deadly ones beside them; DURING is called after the
    fifth end, or a while later."""
    for e in cluster.engines:
        e.deadly_parts = more.pop("deadly_parts", (BAD,))
        e.rest_s = e.rest_s if e.rest_s != 0.03 else 0.06
        e.ended_s = e.ended_s if e.ended_s != 0.3 else 1
    callers = Callers(cluster.gateways, **more)
    callers.deadly.clear()
    try:
        time.sleep(warm_s)
        began = now()
        callers.deadly.set()
        if during:
            while len(read_ends(cluster.engines)) < ENDS and now() < began + 2:
                time.sleep(0.02)
            during()
        time.sleep(max(0, began + deadly_s_long - now()))
    finally:
        callers.stop()
    return callers, began
