"""Records of other writers in the store's topics that can't be read: they hide
none of those beside and behind them."""

import json
import time

import pytest

from cluster import wait_until
from fake_platform import config
from platform_cluster import Cluster, ask

TOPIC = "keyed.servers"
UPSTREAMS = 4    # of a Cluster


def count_upstreams(c):
    return [g.dump()["upstreams"] for g in c.gateways]


# Records that can't be read, and keys that would pass for another's.
ODD_RECORDS = [
    b"",                                   # not even the length of a key
    bytes([200]) + b"short",               # shorter than its key
    bytes([3]) + b"a0\0" + b"{}",          # a zero byte: would pass for "a0"
    bytes([0]) + b"{}",                    # an empty key
    bytes([4]) + b"a\r\n0" + b"{}",
    bytes([2]) + b"\xff\xfe" + b"{}",      # no text
]


# The record was read again and again, 200 times a second, and those behind it
# never.
@pytest.mark.parametrize("topic", [TOPIC, "keyed.op"])
def test_odd_records_hide_none_behind_them(build, topic):
    with Cluster(build, gateways=3, store_proxies=True) as c:
        c.leader()
        wait_until(c.all_linked)
        for raw in ODD_RECORDS * 50:
            c.store.put_raw(topic, raw)
        time.sleep(1.5)
        before = sum(p.call_counts.get("/log-read " + topic, 0)
                     for p in c.store_proxies)
        time.sleep(2)
        reads = sum(p.call_counts.get("/log-read " + topic, 0)
                    for p in c.store_proxies) - before
        assert reads <= 40   # in calm at most 8 a second of the leader's
        assert count_upstreams(c) == [UPSTREAMS] * 3
        c.store.put(TOPIC, "a9", json.dumps(c.apps[0].entry()).encode())
        wait_until(lambda: count_upstreams(c) == [UPSTREAMS + 1] * 3)
        c.put_in_force(config(50))
        assert all(ask(g, "read")[0] == 200 for g in c.gateways)


# Gateways that start anew list the topic: pages that hold odd keys, and none
# but odd ones, lead on to the next.
def test_odd_keys_do_not_end_a_listing(build):
    with Cluster(build, gateways=2) as c:
        c.leader()
        for i in range(9):   # pages have three items
            c.store.put(TOPIC, "a\0%d" % i, b"{}")
            c.store.put(TOPIC, "b\xff%d" % i, b"\xff")
        c.store.put("keyed.op", "aa\0", b"{}")
        for g in c.gateways:
            g.proc.kill()
            g.proc.wait()
        for g in c.gateways:
            g.start()
        for g in c.gateways:
            wait_until(g.is_ready)
        wait_until(lambda: count_upstreams(c) == [UPSTREAMS] * 2)
        assert all(ask(g, "read")[0] == 200 for g in c.gateways)


# Frames with a demand, that no gateway leaves: none in it, a delta, none that
# waits, amounts alone.
NO_MAIL = [
    b"\x12\x00",
    b"\x12\x08\x0a\x06\x0a\x02m0\x18\x01",
    b"\x12\x02\x20\x01",
    b"\x12\x08\x0a\x04\x0a\x02m0\x20\x01",
    b"\x12\x0a\x20\x01\x2a\x06\x0a\x04care",
]


# Each one counted as a gateway for 30 s, and took a share of the retries and
# of the limits.
@pytest.mark.parametrize("frame", NO_MAIL)
def test_junk_in_the_mailbox_is_no_gateway(build, frame):
    with Cluster(build, gateways=2) as c:
        first = c.leader()
        wait_until(c.all_linked)
        wait_until(lambda: first.metric("gateway_fleet") == 2)
        for i in range(8):
            c.store.put("keyed.bglade-mail", "x%d" % i, frame)
        until = time.monotonic() + 2
        while time.monotonic() < until:   # it reads its mailbox each second
            assert first.metric("gateway_fleet") == 2
            time.sleep(0.1)
