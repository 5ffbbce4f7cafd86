"""A gateway that hears the others late, while engines of a new software version
join, takes up no stream at the version before."""

import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster
from stream_callers import Stream
from test_stream_versions import add_engine, prepare, wait_settled

CALLERS = 40
EVENTS, EVENT_S = 4, 0.04   # of a stream
BEFORE_S, AFTER_S = 0.5, 4
# A link whose first frame takes 900 ms is given up.
LEADER_LAG_MS, RELAY_LAG_MS = 800, 450
LEAST_BEGUN, LEAST_SHARE = 10, 0.5
RELAYS = "[relays]\ndirect = 1\n"


def shorten(c):
    for e in c.engines:
        e.events, e.event_s = EVENTS, EVENT_S


def open_late_links(c):
    """All links are opened anew, and late from their first frame on."""
    leader = c.leader()
    for proxy in c.link_proxies:
        proxy.set(cut=True)
    for g, proxy in zip(c.gateways, c.link_proxies):
        proxy.set(lag_ms=LEADER_LAG_MS if g is leader else RELAY_LAG_MS)
    wait_until(c.all_linked, what="late links")


def is_relayed(g):
    """It hears the leader by way of another gateway."""
    links = [e for e in g.events()
             if e["event"] in ("placer-linked", "placer-lost")]
    return links[-1]["event"] == "placer-linked" and "relay" in links[-1]


def find_followers(c, by_relay):
    leader = c.leader()
    return [g for g in c.gateways
            if g is not leader and is_relayed(g) == by_relay]


class Callers:
    """They begin streams at one gateway, and take each up at once at another,
    of OTHERS."""

    def __init__(self, at, others):
        self.at, self.others = at, others
        self.streams, self.stopping = [], False

    def run(self, nth):
        while not self.stopping:
            s = Stream()
            if s.open(self.at):
                s.read(1)
            if s.events() and not s.whole:
                s.take_up(self.others[nth % len(self.others)])
                self.streams.append(s)

    def run_while(self, task):
        threads = [threading.Thread(target=self.run, args=(i,))
                   for i in range(CALLERS)]
        for t in threads:
            t.start()
        time.sleep(BEFORE_S)
        task()
        time.sleep(AFTER_S)
        self.stopping = True
        for t in threads:
            t.join()


# A gateway behind a late relay took the plan for the newest that named one
# version only, as each heartbeat was as late as the fastest.
@pytest.mark.parametrize("by_relay", [False, True], ids=["direct", "relay"])
def test_late_links_while_a_version_joins(build, by_relay):
    with Cluster(build, gateways=4, models=(("m0",),) * 2,
                 extra=RELAYS if by_relay else "", versions=("v1",) * 2,
                 link_proxies=True) as c:
        prepare(c)
        shorten(c)
        c.leader()
        wait_until(c.all_linked, what="links")
        wait_settled(c)
        open_late_links(c)
        late = wait_until(lambda: find_followers(c, by_relay), 20,
                          what="late followers")
        callers = Callers(c.leader(), late)

        def join():
            for i in range(2):
                add_engine(c, "new%d" % i, "v2")
            shorten(c)
        callers.run_while(join)
        begun = [s.events()[0][1] for s in callers.streams]
        mixed = [s.events() for s in callers.streams if s.is_mixed()]
        assert begun.count("v2") >= LEAST_BEGUN and not mixed
        went_on = sum(s.whole for s in callers.streams)
        assert went_on >= LEAST_SHARE * len(callers.streams)
