"""Links between routers and placers: which processes read the log and which
get its records over a link, silent links, full queues, and strangers that
connect."""

import signal
import socket
import threading
import time

import pytest

from cluster import Cluster, wait_until
from configs import publish, revise, write_template


def make_cluster(build, centres=("dc1",), vms=2, engines=(), settings=None):
    return Cluster(build, centres=centres, vms_per_centre=vms,
                   engines=list(engines), services=[], settings=settings)


def test_few_read_the_log(build):
    """Of the ten processes on five VMs, two placers read the log and pass it
    on to the others.  If each process read it, there would be 800 readers at
    the target size."""
    with make_cluster(build, vms=5) as c:
        version = publish(c, "t")
        c.wait_in_force(version)

        def count():
            hops = [c.dump(d)["log_hops"] for d in c.daemons()]
            return hops.count(1) == 2 and hops.count(2) == 8
        wait_until(count, 15, "two readers")
        version = revise(c, "t", version, priority=2)
        assert c.wait_in_force(version) < 3


def test_one_bridge_carries_residency(build):
    """A router links to the placers of its own data centre only; the models
    loaded in the other data centre are reported to it over a bridge."""
    engine = {"id": "dc2-lm1", "centre": "dc2",
              "deployment": "parisankhyan-lm"}
    with make_cluster(build, ("dc1", "dc2"), engines=[engine]) as c:
        c.publish_samples()
        wait_until(lambda: [u for u in c.dump("dc1-vm1-router")["state"][
            "upstreams"] if u["id"] == "dc2-lm1"], 15, "residency of dc2")
        links = c.dump("dc1-vm1-router")["links"]
        assert {n["data_centre"] for n in links} == {"dc1"}
        far = [n for p in c.placers("dc1") for n in c.dump(p)["links"]
               if n["data_centre"] == "dc2"]
        assert 0 < len(far) <= 4


def test_silent_link_is_replaced(build):
    """A device between the router and the placers drops their connections
    without an error: nothing arrives over them any more.  They are closed for
    silence, and the next version arrives over new ones."""
    c = make_cluster(build)
    for p in ("dc1-vm1-placer", "dc1-vm2-placer"):
        c.add_proxy(p + "-peer")
    with c:
        version = publish(c, "t")
        c.wait_in_force(version)
        for p in ("dc1-vm1-placer", "dc1-vm2-placer"):
            c.set_proxy(p + "-peer", freeze_old=True)
        version = revise(c, "t", version, priority=2)
        assert c.wait_in_force(version) < 3
        router = c.procs["dc1-vm1-router"]
        wait_until(lambda: router.read_log().count("is up") >= 4, 15,
                   "fresh links")
        wait_until(lambda: c.dump("dc1-vm1-router")["log_hops"] == 2, 15,
                   "records over a link")


def test_full_queue_drops_the_link_and_repairs(build):
    """A router is paused while many megabytes of versions are published.  Its
    queue at the placer is bounded, so the placer closes the link.  Once the
    router runs again it gets the whole state."""
    long_silence = {"peers": {"silence_ms": "60000"}}
    c = make_cluster(build, vms=1, settings={"router": long_silence,
                                             "placer": long_silence})
    with c:
        version = publish(c, "t")
        c.wait_in_force(version)
        router = c.procs["dc1-vm1-router"]
        wait_until(lambda: c.dump("dc1-vm1-router")["log_hops"] == 2, 15,
                   "records from the placer")
        router.signal(signal.SIGSTOP)
        for i in range(20):
            version = revise(c, "t", version, priority=i % 9, padding=1400)

        def overflowed():
            text = c.call("dc1-vm1-placer", "GET", "/metrics").body
            return b"peer_overflows_total 0" not in text and \
                b"peer_overflows_total" in text
        wait_until(overflowed, 15, "overflow")
        router.signal(signal.SIGCONT)
        c.wait_in_force(version)
        digests = {c.dump(d)["digest"] for d in c.daemons()}
        assert len(digests) == 1


# ---- strangers ------------------------------------------------------------

def varint(n):
    out = b""
    while n > 127:
        out += bytes([n & 127 | 128])
        n >>= 7
    return out + bytes([n])


def field(number, data):
    return varint(number << 3 | 2) + varint(len(data)) + data


def frame(kind, body):
    data = field(kind, body)
    return len(data).to_bytes(4, "big") + data


def hello(name, nonce):
    return frame(1, field(1, name) + field(2, b"dc1") + field(3, b"placer") +
                 varint(4 << 3) + varint(2) + field(6, nonce))


class Stranger:
    """A client that connects to a placer's link port without the key."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.settimeout(5)

    def read(self, count):
        data = b""
        while len(data) < count:
            part = self.sock.recv(count - len(data))
            if not part:
                raise ConnectionError
            data += part
        return data

    def read_frame(self):
        head = self.read(4)
        return head + self.read(int.from_bytes(head, "big"))

    def is_shut(self):
        try:
            while self.sock.recv(65536):
                pass
            return True
        except ConnectionError:
            return True
        except TimeoutError:
            return False


def placer_links(c):
    return [n["node"] for n in c.dump("dc1-vm1-placer")["links"]]


def test_stranger_without_the_key_is_refused(build):
    with make_cluster(build, vms=1) as c:
        s = Stranger(c.port("dc1-vm1-placer-peer"))
        s.read_frame()
        s.sock.sendall(hello(b"evil", b"n" * 32))
        s.sock.sendall(frame(10, field(1, b"p" * 32)))
        assert s.is_shut()
        assert "evil" not in placer_links(c)


def test_reflected_handshake_is_refused(build):
    """A stranger sends back every frame that it gets.  The placer must not
    accept its own proof as that of a peer."""
    with make_cluster(build, vms=1) as c:
        s = Stranger(c.port("dc1-vm1-placer-peer"))
        try:
            for _ in range(3):
                s.sock.sendall(s.read_frame())
        except ConnectionError:
            pass
        assert s.is_shut()
        wait_until(lambda: len(placer_links(c)) == 1, 15, "only the router")


def test_recorded_handshake_is_refused(build):
    """A handshake of a router is captured and replayed later, byte for byte.
    The proof is valid for the challenge of the first link only."""
    c = make_cluster(build, vms=1)
    listener = socket.create_server(("127.0.0.1", 0))
    c.addresses["dc1-vm1-placer-peer"] = "127.0.0.1:%d" % \
        listener.getsockname()[1]
    captured = []

    def pump(a, b, keep):
        try:
            while data := a.recv(65536):
                if keep is not None:
                    keep.append(data)
                b.sendall(data)
        except OSError:
            pass

    def run():
        while listener.fileno() >= 0:
            try:
                near, _ = listener.accept()
                far = socket.create_connection(
                    ("127.0.0.1", c.port("dc1-vm1-placer-peer")), 5)
            except OSError:
                continue  # the placer isn't listening yet
            for args in ((near, far, captured), (far, near, None)):
                threading.Thread(target=pump, args=args, daemon=True).start()
    threading.Thread(target=run, daemon=True).start()
    with c:
        wait_until(lambda: len(placer_links(c)) == 1, 15, "link")
        time.sleep(0.3)
        recorded = b"".join(captured)
        old = set(placer_links(c))
        s = Stranger(c.port("dc1-vm1-placer-peer"))
        s.sock.sendall(recorded)
        assert s.is_shut()
        assert set(placer_links(c)) == old
        text = c.procs["dc1-vm1-placer"].read_log()
        assert text.count("Link to dc1-vm1-router") == 1
        assert "Refused a link" in text
    listener.close()


# ---- partitions -----------------------------------------------------------

@pytest.mark.parametrize("what", ["neighbour", "both"])
def test_centre_cut_off_goes_on(build, what):
    """A data centre is cut off from its neighbour, or from its neighbour and
    the log.  The version in force there stays so, and its processes stay
    ready; publishing from inside it fails.  The newest version is in force
    within 3 s after the partition ends."""
    c = make_cluster(build, ("dc1", "dc2"))
    c.add_log_proxy("dc2")
    for centre in ("dc1", "dc2"):
        for p in c.placers(centre):
            c.add_proxy(p + "-peer", for_all=False)
    c.bridge_proxies = True
    with c:
        first = publish(c, "t")
        c.wait_in_force(first)
        for p in c.placers("dc1") + c.placers("dc2"):
            c.set_proxy(p + "-peer", cut=True)
        if what == "both":
            c.set_proxy("log-dc2", cut=True)
        version = revise(c, "t", first, priority=2)
        dc2 = [d for d in c.daemons() if d.startswith("dc2")]
        near = [d for d in c.daemons() if d.startswith("dc1")]
        wait_until(lambda: {c.dump(d)["config_version"] for d in near}
                   == {version}, 3, "in force in dc1")
        if what == "both":
            time.sleep(1)
            assert {c.dump(d)["config_version"] for d in dc2} == {first}
            assert all(c.is_ready(d) for d in dc2)
            res = c.bglade("publish", "--settle", 1,
                           *write_template(c.dir, "inside"), check=False,
                           log=c.log_address("dc2"))
            assert res.returncode == 1 and "cannot be read" in res.stderr
        else:
            wait_until(lambda: {c.dump(d)["config_version"] for d in dc2}
                       == {version}, 3, "in force in dc2")
        for p in c.placers("dc1") + c.placers("dc2"):
            c.set_proxy(p + "-peer", cut=False)
        if what == "both":
            c.set_proxy("log-dc2", cut=False)
        assert c.wait_in_force(version) < 3
