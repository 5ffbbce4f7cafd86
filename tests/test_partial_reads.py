"""Answers of the platform that end too early and have no length: what the
gateways read themselves."""

import http.client
import re
import struct
import time

from cluster import wait_until
from platform_cluster import Cluster, ask

HEAD_BYTES = 16   # of an answer of /log-read: the tail, the first offset
OWNER = "keyed.bglade-owner"


class HeadOnly:
    """Stands before a store: answers reads of the topic OWNER, if ON, without
    a length and with no record: the connection ends in order behind the
    head."""

    def __init__(self, store):
        self.store = store
        self.on = False
        self.cut = 0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def handle(self, h, method, path, query, body):
        if not self.on or path != "/log-read" or query["topic"] != OWNER:
            self.store.handle(h, method, path, query, body)
            return
        with self.store.lock:
            tail = len(self.store.topics.get(OWNER, []))
        self.cut += tail > int(query["from"])
        h.wfile.write(b"HTTP/1.1 200 OK\r\n\r\n" + struct.pack(">QQ", tail, 0))
        h.close_connection = True


# A follower without a link took a lease that its leader had renewed: it read
# the end of the topic, and not the renewals before it.
def test_lease_read_without_its_records_is_no_lapsed_lease(build):
    with Cluster(build, gateways=2, link_proxies=True, store_proxies=True,
                 extra="[gateway]\nprefetch = false\n") as c:
        first = c.leader()
        wait_until(c.all_linked)
        other = next(g for g in c.gateways if g is not first)
        proxy = c.store_proxies[c.gateways.index(other)]
        proxy.store = HeadOnly(c.store)
        proxy.store.on = True
        c.link_proxies[c.gateways.index(first)].set(cut=True)
        wait_until(lambda: not other.dump()["linked"])
        time.sleep(4)
        assert proxy.store.cut > 0
        assert not other.events("lease-held")
        assert first.dump()["places"]


class HalfDocuments:
    """Stands before a store: while ON, the first half of each list, without a
    length."""

    def __init__(self, store):
        self.store = store
        self.on = True

    def __getattr__(self, name):
        return getattr(self.store, name)

    def handle(self, h, method, path, query, body):
        if not self.on or path != "/log-newest":
            self.store.handle(h, method, path, query, body)
            return
        h.wfile.write(b'HTTP/1.1 200 OK\r\n\r\n{"items": [')
        h.close_connection = True


# Half a list of the store is no list: it is read again, counted and logged.
def test_half_a_list_is_read_again(build):
    with Cluster(build, gateways=1, store_proxies=True) as c:
        gateway = c.gateways[0]
        gateway.stop()
        half = HalfDocuments(c.store)
        c.store_proxies[0].store = half
        gateway.start()
        time.sleep(1)
        assert not gateway.is_ready()
        half.on = False
        wait_until(gateway.is_ready)
        assert ask(gateway, "read")[0] == 200
        conn = http.client.HTTPConnection("127.0.0.1", gateway.control,
                                          timeout=2)
        conn.request("GET", "/metrics")
        metrics = conn.getresponse().read().decode()
        assert re.search(r"^bglade_gateway_reads_broken_total [1-9]", metrics,
                         re.M)
        with open(gateway.log_path, encoding="utf-8") as f:
            assert re.search(r"/log-newest.*: inside$", f.read(), re.M)
