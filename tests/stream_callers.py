"""Callers of streams that break off: they take them up again, and say which
software versions made the events that they got."""

import http.client
import itertools
import re
import threading
import time

from platform_cluster import ask

_attempts = itertools.count(1)


def new_attempt():
    """Ids are spread over all of their range, as callers' are."""
    return "%016x" % (next(_attempts) * 0x9e3779b97f4a7c15 % 2 ** 64)


class Stream:
    """One stream of route "chat" over its caller's tries."""

    def __init__(self, model="m0", deadline_ms=4000, route="chat"):
        self.model, self.deadline_ms, self.route = model, deadline_ms, route
        self.resumes = None   # sent in place of first_attempt; "": nothing is
        self.took_s = 0.0     # until the last answer began
        self.retry_after = None
        self.first_attempt = None   # that brought the first event
        self.data = b""
        self.statuses = []
        self.whole = False
        self.conn = self.answer = None

    def events(self):
        """(id, version) of the whole events so far."""
        return [(int(i), v.decode()) for i, v in re.findall(
            rb"id: (\d+)\ndata: event \d+ of (\S+)\n\n", self.data)]

    def versions(self):
        return {v for _, v in self.events()}

    def is_mixed(self):
        return len(self.versions()) > 1

    def is_in_order(self):
        ids = [i for i, _ in self.events()]
        return ids == list(range(len(ids)))

    def headers(self, attempt):
        head = {"Host": "app.example", "X-Attempt-Id": attempt,
                "X-Deadline-Ms": str(self.deadline_ms),
                "X-Model": self.model, "X-Token-Count": "100,20",
                "X-Prompt-Prefix": "aa:50,%s:50" % attempt}
        if self.first_attempt:
            resumes = (self.first_attempt if self.resumes is None
                       else self.resumes)
            if resumes:
                head["Resumes"] = resumes
            head["Last-Event-Id"] = str(self.events()[-1][0])
        return head

    def open(self, gateway):
        """Sends an attempt to GATEWAY; True: a stream began."""
        attempt = new_attempt()
        began = time.monotonic()
        self.conn = http.client.HTTPConnection("127.0.0.1", gateway.front,
                                               timeout=6)
        try:
            self.conn.request("POST", "/%s/x" % self.route, b"x",
                              self.headers(attempt))
            self.answer = self.conn.getresponse()
        except OSError:
            self.statuses.append(0)
            return False
        self.took_s = time.monotonic() - began
        self.retry_after = self.answer.getheader("Retry-After")
        self.statuses.append(self.answer.status)
        if self.answer.status == 200:
            self.first_attempt = self.first_attempt or attempt
        return self.answer.status == 200

    def read(self, events=10 ** 9):
        """Reads until it has EVENTS, or to the end.  True: it is whole."""
        kept = self.data
        try:
            while len(self.events()) < events:
                more = self.answer.read1(65536)
                if not more:
                    self.whole = self.answer.isclosed()
                    return self.whole
                self.data += more
        except (OSError, http.client.HTTPException):
            pass
        if not self.data.endswith(b"\n\n"):   # an event that was cut
            self.data = self.data[:self.data.rfind(b"\n\n") + 2]
        return self.whole and self.data != kept

    def close(self):
        if self.conn:
            self.conn.close()

    def take_up(self, gateway):
        """Goes on at GATEWAY, to the end.  True: the stream is whole."""
        self.close()
        return self.open(gateway) and self.read()


def run_all(count, task):
    """Calls TASK(i) for each i below COUNT, side by side."""
    threads = [threading.Thread(target=task, args=(i,)) for i in range(count)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()


def begin_streams(count, gateway_of, events=3):
    """COUNT streams, stream i at gateway_of(i), each with EVENTS read."""
    streams = [Stream() for _ in range(count)]

    def begin(i):
        if streams[i].open(gateway_of(i)):
            streams[i].read(events)
    run_all(count, begin)
    assert all(s.events() for s in streams), [s.statuses for s in streams]
    return streams


def take_up_all(streams, gateway_of, tries=1):
    def take_up(i):
        for _ in range(tries):
            if streams[i].take_up(gateway_of(i)):
                return
    run_all(len(streams), take_up)


def check_streams(streams, share=0.95):
    """None is mixed, and SHARE of them went on to their end."""
    mixed = [s.events() for s in streams if s.is_mixed()]
    assert not mixed, "%d of %d mixed, such as %s" % (
        len(mixed), len(streams), mixed[0])
    assert all(s.is_in_order() for s in streams)
    went_on = sum(s.whole for s in streams)
    assert went_on >= share * len(streams), (
        went_on, len(streams), [s.statuses for s in streams if not s.whole])


def ask_once(gateway, **more):
    return ask(gateway, "chat", "m0", rid=new_attempt(), **more)
