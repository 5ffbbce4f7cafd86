"""Reads of the configuration that are held open at the store: none outlives the
reason to hold it."""

import time

import pytest

from cluster import wait_until
from fake_platform import config
from platform_cluster import Cluster, ask

CONFIG_S = 2.0    # the users' bound, from the acknowledgement
STABLE_S = 3.2    # after the outage; their bound counts from 3 s on


def measure_config(c, gateways, version):
    """Seconds until each of GATEWAYS has VERSION."""
    doc = config(version)
    doc["routes"].append(dict(doc["routes"][0], name="new",
                              path_prefix="/new/"))
    c.store.put_config(doc)
    began = time.monotonic()
    wait_until(lambda: all(g.dump()["config"] == version for g in gateways),
               limit_s=30)
    return time.monotonic() - began


# The read that was begun when the link broke got lost, and was waited for up to
# 25 s: new routes were refused with 404, moved ones run by the former service.
@pytest.mark.parametrize("silent_s", [1.0, 4.5])
@pytest.mark.parametrize("killed_after_s", [0.2, 0.8])
def test_configuration_after_an_outage_and_a_lost_leader(
        build, silent_s, killed_after_s):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        wait_until(c.all_linked)
        leader = c.leader()
        others = [g for g in c.gateways if g is not leader]
        for proxy in c.store_proxies:
            proxy.mode = "lost"
        time.sleep(killed_after_s)
        leader.proc.kill()
        leader.proc.wait()
        time.sleep(silent_s)
        for proxy in c.store_proxies:
            proxy.mode = "up"
        time.sleep(STABLE_S)
        took_s = measure_config(c, others, 50)
        print("in force after %.2f s" % took_s)
        assert took_s < CONFIG_S
        assert all(ask(g, "new")[0] == 200 for g in others)


# A gateway that becomes the leader reads as one, whatever it held open before.
def test_configuration_after_a_lost_leader(build):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        for version in (50, 60):
            wait_until(c.all_linked)
            leader = c.leader()
            others = [g for g in c.gateways if g is not leader]
            leader.proc.kill()
            leader.proc.wait()
            assert measure_config(c, others, version) < CONFIG_S
            leader.start()
            wait_until(leader.is_ready)


# The connections to the store went silent, while new ones worked: each call
# that took another of the old ones was lost, too.
def test_configuration_after_silent_connections(build):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        wait_until(c.all_linked)
        c.leader()
        for version in (50, 60, 70):
            time.sleep(2)
            for proxy in c.store_proxies:
                proxy.silence_open()
            time.sleep(STABLE_S)
            assert measure_config(c, c.gateways, version) < CONFIG_S


# The reads that the others hold open were lost, and the leader, which was to
# publish the configuration, doesn't reach the store: 25 s.
@pytest.mark.parametrize("how", ["lost", "busy"])
def test_configuration_beside_a_leader_without_the_store(build, how):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        wait_until(c.all_linked)
        leader = c.leader()
        others = [g for g in c.gateways if g is not leader]
        time.sleep(3)   # the reads from before the links have ended
        for proxy in c.store_proxies:
            proxy.silence_open()
        c.store_proxies[c.gateways.index(leader)].mode = how
        time.sleep(STABLE_S)
        assert measure_config(c, others, 50) < CONFIG_S


# As before, for the topic of the configuration alone.
def test_configuration_beside_a_leader_without_its_topic(build):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        wait_until(c.all_linked)
        leader = c.leader()
        others = [g for g in c.gateways if g is not leader]
        time.sleep(3)
        for proxy in c.store_proxies:
            proxy.silence_open()
        c.store_proxies[c.gateways.index(leader)].lost_topics = {"keyed.op"}
        time.sleep(STABLE_S)
        assert measure_config(c, others, 50) < CONFIG_S


# In calm a read is held open, not begun again and again.
def test_calm_costs_no_reads(build):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        wait_until(c.all_linked)
        c.leader()
        time.sleep(3)   # the reads from before the links have ended

        def count():
            return sum(p.call_counts.get("/log-read keyed.op", 0)
                       for p in c.store_proxies)
        before = count()
        time.sleep(6)
        # The leader's, each of 1.5 s.
        assert count() - before <= 6
