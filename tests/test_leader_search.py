"""Gateways that the store turns away while the lease changes hands: they learn
of the new leader from others."""

import json
import time

import pytest

from cluster import wait_until
from fake_platform import config
from platform_cluster import Cluster, ask

CONFIG_S = 2.0
# The users' bounds: a store that turns some machines away stretches that of
# the configuration (stretch_ms).
STRETCHED_S = CONFIG_S + 5.0
STABLE_S = 3.2


def measure(check, limit_s=30):
    began = time.monotonic()
    wait_until(check, limit_s=limit_s)
    return time.monotonic() - began


def check_news(c, others, blind):
    """A new entry and a new configuration reach OTHERS, and BLIND, which the
    store turns away."""
    before = blind.dump()["upstreams"]
    c.store.put("keyed.servers", "a9", json.dumps(c.apps[0].entry()).encode())
    c.store.put_config(config(50))

    def has_news(g):
        doc = g.dump()
        return doc["config"] == 50 and doc["upstreams"] > before
    took_s = measure(lambda: all(map(has_news, others)))
    blind_s = took_s + measure(lambda: has_news(blind))
    print("%.2f s, the one turned away %.2f s" % (took_s, blind_s))
    assert took_s < CONFIG_S
    assert blind_s < STRETCHED_S
    assert ask(blind, "read")[0] == 200


# The leader lost the lease while the store was silent, and the store went on
# turning it away: nobody linked to it any more, so it went by the old entries
# and configuration for as long as that lasted.
@pytest.mark.parametrize("how", ["lost", "silent", "busy"])
def test_former_leader_that_the_store_turns_away(build, how):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        wait_until(c.all_linked)
        leader = c.leader()
        others = [g for g in c.gateways if g is not leader]
        for proxy in c.store_proxies:
            proxy.mode = how
        time.sleep(1.0)
        for g, proxy in zip(c.gateways, c.store_proxies):
            proxy.mode = how if g is leader else "up"
        time.sleep(STABLE_S)
        check_news(c, others, leader)


# A gateway that the store turns away loses its leader: the next one is known
# in the store alone.
def test_follower_that_the_store_turns_away_loses_its_leader(build):
    with Cluster(build, gateways=4, store_proxies=True) as c:
        wait_until(c.all_linked)
        leader = c.leader()
        time.sleep(1)   # the gateways were named to each other
        blind, *others = [g for g in c.gateways if g is not leader]
        c.store_proxies[c.gateways.index(blind)].mode = "busy"
        time.sleep(0.5)
        leader.proc.kill()
        leader.proc.wait()
        time.sleep(STABLE_S)
        check_news(c, others, blind)
