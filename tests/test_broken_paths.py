"""Gateways whose paths to upstreams break: no process has ended."""

import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster
from prompt_callers import Callers

CUT_S = 4.0
# Sound requests are served as before within SETTLED_S of the cut.
SETTLED_S = 1.2
MIN_SHARE = 0.95


def ends_noted(cluster):
    """Suspects that the gateways know of with an end."""
    return [e for g in cluster.gateways for e in g.events("suspect")
            if e.get("ends", 0) > 0]


# Connections that a cut breaks were taken for ends of upstreams, so requests
# waited for turns, and sound ones were stopped.
@pytest.mark.parametrize("how", ["reset", "refuse", "hang"])
@pytest.mark.parametrize("cut", [2, 5])
def test_broken_paths_count_as_ends(build, how, cut):
    with Cluster(build, gateways=7, models=(("m0",),) * 8, paths=True) as c:
        leader = c.leader()
        wait_until(c.all_linked)
        gateways = [g for g in c.gateways if g is not leader][:cut]
        for e in c.engines:
            e.event_s = 0.1   # streams are under way when the cut begins
        callers = Callers(c.gateways, sound_s=60, deadly_s=0.01)
        callers.deadly.clear()
        try:
            time.sleep(1.5)
            began = time.monotonic()
            c.cut(gateways, how, c.engines[:5])
            time.sleep(CUT_S)
        finally:
            callers.stop()
        before = callers.share(0, began - 0.6)
        after = callers.share(began + SETTLED_S)
        print("noted %d, served %.2f before, %.2f after" % (
            len(ends_noted(c)), before, after))
        assert not [e for e in c.engines if e.ends]
        assert ends_noted(c) == []
        assert after >= MIN_SHARE * before
