"""Requests that wait for an adapter while all slots for adapters are in use."""

import threading
import time

from fake_platform import config, route
from platform_cluster import Cluster, ask

SLOTS = 8      # of an engine, see config()
STREAM_S = 6   # for so long the slots are in use


ROUTES = config(1)["routes"] + [
    route("long", "llm", "streaming", attempts=1, timeout_ms=20000),
    route("late", "llm", "streaming", attempts=1,
          target_latency_ms=1000)]   # its callers stay for 4 s


def occupy(c, gateway):
    """Streams of SLOTS adapters, on the only engine."""
    c.engines[0].events, c.engines[0].event_s = STREAM_S * 20, 0.05
    threads = [threading.Thread(target=ask, args=(gateway, "long"), kwargs={
        "model": "m0/a%d" % i, "deadline_ms": 20000}) for i in range(SLOTS)]
    for t in threads:
        t.start()
    until = time.monotonic() + 3
    while len(c.engines[0].runs) < SLOTS and time.monotonic() < until:
        time.sleep(0.02)
    assert len(c.engines[0].runs) == SLOTS
    return threads


# Such a request was held to its deadline, though no slot came free.
def test_request_for_an_adapter_without_a_slot_is_refused_early(build):
    with Cluster(build, gateways=2, models=(("m0",),)) as c:
        c.put_in_force(config(9, routes=ROUTES))
        c.leader()
        threads = occupy(c, c.gateways[0])
        took = []

        def wait(nth):
            began = time.monotonic()
            status, head, _, _ = ask(c.gateways[nth % 2], "late",
                                     model="m0/a%d" % (SLOTS + nth),
                                     deadline_ms=4000)
            took.append((status, time.monotonic() - began,
                         float(head.get("Retry-After", 0))))
        waiting = [threading.Thread(target=wait, args=(i,)) for i in range(4)]
        for t in waiting:
            t.start()
        for t in waiting + threads:
            t.join()
        assert [s for s, _, _ in took] == [503] * 4
        assert all(after > 0 for _, _, after in took)
        # The first in the queue may take as long again as it has waited.
        assert max(s for _, s, _ in took) < 4 / 2 + 0.5


# A slot that comes free soon is waited for.
def test_request_for_an_adapter_waits_for_a_slot(build):
    with Cluster(build, gateways=2, models=(("m0",),)) as c:
        c.put_in_force(config(9, routes=ROUTES))
        c.leader()
        c.engines[0].events, c.engines[0].event_s = 10, 0.05
        statuses = []

        def call(nth):
            statuses.append(ask(c.gateways[nth % 2], "late",
                                model="m0/a%d" % nth, deadline_ms=4000)[0])
        threads = [threading.Thread(target=call, args=(i,))
                   for i in range(SLOTS + 4)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        assert statuses == [200] * (SLOTS + 4)
