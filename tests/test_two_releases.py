"""Gateways of the release before the version plan beside this one's, as while
the gateways' own software is rolled out or back.  They publish no versions and
no plan, and begin streams at any version."""

import contextlib
import os

from cluster import free_port, wait_until
from fake_platform import Engine
from platform_cluster import Cluster, Gateway
from stream_callers import Stream, begin_streams, check_streams, run_all
from test_stream_versions import Breaks, prepare

STREAMS = 24
LIFE_S = 4   # of a stream, by the longest timeout
PLAN_TOPIC = "keyed.bglade-versions"


def add_gateway(c, build, name, env=None):
    g = Gateway(build, c.store, name)
    g.env = env
    g.start()
    c.gateways.append(g)
    wait_until(g.is_ready, what="readiness")
    return g


def make_former_env(build):
    return dict(os.environ, ASAN_OPTIONS="verify_asan_link_order=0",
                LD_PRELOAD=os.path.abspath(
                    os.path.join(build, "former_frames.so")))


@contextlib.contextmanager
def make_fleet(build, versions, former_leads):
    """A leader and two followers; one of them, or the leader, is of the former
    release."""
    with Cluster(build, gateways=0, models=(("m0",),) * len(versions),
                 versions=versions) as c:
        former = make_former_env(build)
        if former_leads:
            c.store.refused_topics.add(PLAN_TOPIC)
        add_gateway(c, build, "vm0", former if former_leads else None)
        c.leader()
        for name in ("vm1", "vm2"):
            add_gateway(c, build, name,
                        None if former_leads or name == "vm1" else former)
        prepare(c)
        wait_until(c.all_linked, what="links")
        if not former_leads:
            wait_until(lambda: c.gateways[0].events("version-plan"),
                       what="a plan")
        yield c


def take_up(streams, gateway_of):
    run_all(len(streams), lambda i: streams[i].take_up(gateway_of(i)))


# A gateway beside such a leader took all upstreams for ones of a single
# version, and went on at any.
def test_streams_beside_a_leader_without_a_plan_are_not_mixed(build):
    with make_fleet(build, ("v1", "v1", "v2", "v2"), True) as c:
        new = c.gateways[1:]
        wait_until(lambda: all(g.dump()["versions_known"] for g in new),
                   what="versions")
        same = begin_streams(STREAMS, lambda i: new[i % 2])
        other = begin_streams(STREAMS, lambda i: new[i % 2])
        take_up(same, lambda i: new[i % 2])
        take_up(other, lambda i: new[(i + 1) % 2])
        check_streams(same)
        check_streams(other, share=0)
        assert {s.statuses[-1] for s in other if not s.whole} <= {503}


def test_gateway_beside_a_leader_without_a_plan_goes_on_at_the_version(build):
    with make_fleet(build, ("v1", "v1", "v2", "v2"), True) as c:
        new = c.gateways[1:]
        wait_until(lambda: all(g.dump()["versions_known"] for g in new),
                   what="versions")
        breaks = Breaks()
        for e in c.engines:
            e.on_request = breaks
        streams = [Stream() for _ in range(STREAMS)]

        def run(i):
            if streams[i].open(new[i % 2]):
                streams[i].read()
        run_all(STREAMS, run)
        check_streams(streams)


def test_one_version_beside_a_leader_without_a_plan_goes_on(build):
    with make_fleet(build, ("v1", "v1"), True) as c:
        new = c.gateways[1:]
        wait_until(lambda: all(g.dump()["versions_known"] for g in new),
                   what="versions")

        def goes_on():
            streams = begin_streams(1, lambda i: new[0])
            take_up(streams, lambda i: new[1])
            return streams[0].whole
        # Until then another version may have been there.
        wait_until(goes_on, LIFE_S + 5, "a stream's life")
        streams = begin_streams(STREAMS, lambda i: new[i % 2])
        take_up(streams, lambda i: new[(i + 1) % 2])
        check_streams(streams)


# A gateway that had just started took the version that was left for the only
# one.
def test_streams_of_a_version_that_is_gone_are_not_mixed(build):
    with make_fleet(build, ("v1", "v2"), True) as c:
        first = c.gateways[1]
        wait_until(lambda: first.dump()["versions_known"], what="versions")
        streams = begin_streams(STREAMS, lambda i: first)
        c.engines[0].ended_s = 3600
        c.engines[0].end()
        c.engines[0].leave()
        late = add_gateway(c, build, "vm3")
        wait_until(lambda: late.dump()["upstreams"] == 3 and
                   late.dump()["versions_known"], what="its removal")
        take_up(streams, lambda i: late)
        check_streams(streams, share=0)


def newest_plan(gateway):
    return gateway.events("version-plan")[-1]["plan"]


# A plan told the version of streams that a linked gateway had begun without
# it.
def test_plan_settles_nothing_beside_a_gateway_without_one(build):
    with make_fleet(build, ("v1", "v1"), False) as c:
        leader = c.leader()
        wait_until(lambda: "?" not in newest_plan(leader), LIFE_S + 5,
                   "a stream's life")
        c.engines.append(Engine(free_port(), c.store, "e9", models=("m0",),
                                version="v2"))
        wait_until(lambda: "v2" in newest_plan(leader), what="shares of v2")
        plan = newest_plan(leader)
        shares = [w for w in plan[plan.index("llm"):].split() if w[0] == "v"]
        assert all(w.endswith("?") for w in shares), plan


def test_streams_of_a_gateway_without_a_plan_are_not_taken_up(build):
    """They are of any version: whoever has no note of one refuses it."""
    with make_fleet(build, ("v1", "v1", "v2", "v2"), False) as c:
        leader, new, former = c.gateways
        c.leader()
        own = begin_streams(STREAMS, lambda i: (leader, new)[i % 2])
        theirs = begin_streams(STREAMS, lambda i: former)
        take_up(own, lambda i: (new, leader)[i % 2])
        take_up(theirs, lambda i: (new, leader)[i % 2])
        check_streams(own)
        check_streams(theirs, share=0)
