"""Upstreams that fall over when they turn too many requests away."""

from cluster import wait_until
from platform_cluster import Cluster, now
from test_cut_gateways import Callers

GRACE_S = 3.0     # from the first answer that says so
MEASURE_S = 5.0


# Gateways together sent brittle upstreams more than they had room for, so that
# they fell over again and again.
def test_brittle_upstreams_fall_over_with_three_gateways(build):
    check_falls(build, 3)


def test_brittle_upstreams_fall_over_with_seven_gateways(build):
    check_falls(build, 7)


def check_falls(build, gateways):
    with Cluster(build, gateways=gateways, models=(("m0", "m1"),),
                 apps=4) as c:
        wait_until(c.all_linked)
        for a in c.apps:
            a.room, a.work_s, a.brittle = 2, 0.2, 2
        callers = [Callers(c.gateways, vary=True) for _ in range(4)]
        began = now()
        try:
            wait_until(lambda: now() > began + GRACE_S + MEASURE_S)
        finally:
            for x in callers:
                x.stop()
        falls = sum(at >= began + GRACE_S for a in c.apps for at in a.falls)
        served = [x.count(c.gateways, began + GRACE_S) for x in callers]
        print("falls %d, served %r" % (falls, served))
        assert falls <= 2 + len(c.apps) / 10
