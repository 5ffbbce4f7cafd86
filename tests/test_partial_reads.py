"""Answers of the platform that end too early and have no length: what the
gateways read themselves."""

import struct
import time

from cluster import wait_until
from platform_cluster import Cluster

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
