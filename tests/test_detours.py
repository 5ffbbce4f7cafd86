"""What must stay true of a request that goes by way of another gateway."""

import http.client
import os
import signal
import socket
import struct
import threading
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask, event_ids, now

MODELS = (("m0",), ("m0", "m1"), ("m1",))


def go_by_detour(c, gateway, how="hang", upstreams=None):
    """Cuts GATEWAY from UPSTREAMS and waits until it serves by detours."""
    wait_until(c.all_linked)
    wait_until(lambda: ask(gateway, "chat", "m0")[0] == 200)
    c.cut([gateway], how, upstreams)

    def served():
        return (ask(gateway, "read", deadline_ms=600)[0] == 200 and
                ask(gateway, "chat", "m0", deadline_ms=1500)[0] == 200 and
                gateway.events("detour-opened"))
    wait_until(served)


def pick_follower(c):
    leader = c.leader()
    return next(g for g in c.gateways if g is not leader)


@pytest.fixture(name="pair")
def fixture_pair(build):
    """A cluster of two gateways, of which the follower goes by way of the
    leader."""
    with Cluster(build, gateways=2, models=MODELS, paths=True) as c:
        cut = pick_follower(c)
        helper = next(g for g in c.gateways if g is not cut)
        go_by_detour(c, cut)
        yield c, cut, helper


def ask_later(results, *args, **kwargs):
    def run():
        try:
            results.append(ask(*args, **kwargs))
        except (OSError, http.client.HTTPException) as e:
            results.append((0, {}, repr(e).encode(), None))
    t = threading.Thread(target=run)
    t.start()
    return t


def count_runs(c):
    """id -> runs at all upstreams."""
    counts = {}
    for u in c.apps + c.engines:
        for rid in u.runs:
            counts[rid] = counts.get(rid, 0) + 1
    return counts


# A helper that died midway made a request that may run once run again, or be
# refused as not run.
@pytest.mark.parametrize("fault", ["KILL", "STOP", "TERM"])
def test_helper_lost_midway_repeats_nothing(pair, fault):
    c, cut, helper = pair
    for u in c.apps:
        u.work_s = 0.5
    results, threads = [], []
    for _ in range(6):
        threads.append(ask_later(results, cut, "pay", deadline_ms=2000))
    wait_until(lambda: sum(len(a.runs) for a in c.apps) >= 1)
    time.sleep(0.2)
    helper.send(getattr(signal, "SIG" + fault))
    for t in threads:
        t.join()
    runs = count_runs(c)
    assert all(n == 1 for rid, n in runs.items() if rid), runs
    assert len(results) == 6
    for status, _, data, rid in results:
        assert not (status in (429, 503) and rid in runs)
        assert status == 200 or not runs.get(rid) or status in (0, 502, 504)
        assert not data.startswith(b"INCOMPLETE")


# An answer without a length that a dying helper cut off looked complete.
def test_helper_lost_midway_leaves_no_whole_answer(pair):
    c, cut, helper = pair
    sent = threading.Event()

    def answer_unframed(_engine, h, rid):
        h.wfile.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                       "X-Server-Stamp: s\r\n\r\nfirst half" % rid).encode())
        h.wfile.flush()
        sent.set()
        time.sleep(1.5)
        h.wfile.write(b", second half")
        h.close_connection = True
        return True
    for a in c.apps:
        a.on_request = answer_unframed
    results = []
    t = ask_later(results, cut, "pay", deadline_ms=3500)
    sent.wait(5)
    time.sleep(0.2)
    helper.send(signal.SIGKILL)
    t.join()
    status, _, data, _ = results[0]
    assert status in (0, 502, 504) or data.startswith(b"INCOMPLETE"), results


# The orderly end of such an answer got lost on the way.
def test_answer_without_length_is_whole(pair):
    c, cut, _ = pair

    def answer_unframed(_engine, h, rid):
        h.wfile.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                       "X-Server-Stamp: s\r\n\r\nall of it" % rid).encode())
        h.close_connection = True
        return True
    for a in c.apps:
        a.on_request = answer_unframed
    status, _, data, _ = ask(cut, "pay")
    assert (status, data) == (200, b"all of it")


# An upstream worked on for callers that had left.
def test_caller_gone_ends_the_work(pair):
    c, cut, _ = pair
    for e in c.engines:
        e.events, e.event_s = 100, 0.05
    conn = http.client.HTTPConnection("127.0.0.1", cut.front, timeout=5)
    conn.request("POST", "/chat/x", b"x", {
        "Host": "app.example", "X-Attempt-Id": "0000000000c0ffee",
        "X-Deadline-Ms": "9000", "X-Model": "m0", "X-Token-Count": "100,20"})
    r = conn.getresponse()
    r.read(20)
    r.close()
    conn.close()
    closed = now()

    def cancelled():
        return [at for e in c.engines for rid, at in e.cancelled
                if rid == "0000000000c0ffee"]
    at = wait_until(cancelled, limit_s=3)[0]
    assert at - closed < 0.5


# Events were held back on the way.
def test_events_pass_as_they_come(pair):
    c, cut, _ = pair
    made = []

    def stream_slowly(engine, h, rid):
        h.start_stream({"X-Attempt-Id": rid, "X-Server-Stamp": "s"})
        for i in range(6):
            made.append(now())
            h.send_chunk("id: %d\ndata: event %d\n\n" % (i, i))
            time.sleep(0.15)
        h.end_stream()
        return True
    for e in c.engines:
        e.on_request = stream_slowly
    conn = http.client.HTTPConnection("127.0.0.1", cut.front, timeout=5)
    conn.request("POST", "/chat/x", b"x", {
        "Host": "app.example", "X-Attempt-Id": "0000000000beef00",
        "X-Deadline-Ms": "4000", "X-Model": "m0", "X-Token-Count": "100,20"})
    r = conn.getresponse()
    came = []
    for line in r:
        if line.startswith(b"id:"):
            came.append(now())
    assert len(came) == len(made) == 6
    assert max(b - a for a, b in zip(made, came)) < 0.12


# A slow reader filled the helper's memory.
def test_slow_reader_slows_the_upstream(pair):
    c, cut, helper = pair
    sent = [0]
    piece = b"x" * 65536

    def answer_large(_engine, h, rid):
        h.wfile.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                       "X-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n" %
                       (rid, 1024 * len(piece))).encode())
        try:
            for _ in range(1024):
                h.wfile.write(piece)
                sent[0] += len(piece)
        except OSError:
            pass
        h.close_connection = True
        return True
    for a in c.apps:
        a.on_request = answer_large
    with socket.create_connection(("127.0.0.1", helper.detour)) as s:
        s.sendall(make_ask(read_key(c, cut), c.apps[0].address))
        assert read_answer(s) == 0
        s.sendall(b"GET /x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: "
                  b"00000000000000aa\r\n\r\n")
        wait_until(lambda: sent[0] > 0)
        time.sleep(1)
        before = sent[0]
        time.sleep(1)
        assert sent[0] == before < 40 * 2 ** 20
        assert read_rss_mb(helper) < 60


def read_rss_mb(gateway):
    with open("/proc/%d/statm" % gateway.proc.pid, encoding="ascii") as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2 ** 20


# The time that a caller gave went on only at the gateway, not at the upstream.
def test_deadline_runs_on(pair):
    c, cut, _ = pair
    for a in c.apps:
        a.work_s = 3.0
    started = now()
    status, _, _, rid = ask(cut, "pay", deadline_ms=1000)
    assert status == 504 and now() - started < 1.2
    given = [int(head["X-Deadline-Ms"]) for a in c.apps
             for _, _, head, _ in a.requests if head["X-Attempt-Id"] == rid]
    assert len(given) == 1 and 0 < given[0] <= 1000


# ---- who may ask ----------------------------------------------------------

OPEN, NO_PATH, CUT, FULL, REFUSED = range(5)


def varint(n):
    out = b""
    while n >= 128:
        out += bytes([n & 127 | 128])
        n >>= 7
    return out + bytes([n])


def text_field(number, data):
    return varint(number << 3 | 2) + varint(len(data)) + data


def make_ask(key, address, vm=b"test"):
    """A frame with a DetourAsk (field 23 of Frame)."""
    ask_message = (text_field(1, vm) + varint(2 << 3 | 1) +
                   struct.pack("<Q", key) + text_field(3, address.encode()))
    frame = text_field(23, ask_message)
    return struct.pack(">I", len(frame)) + frame


def read_answer(sock):
    """The result of a DetourAnswer (field 24); None: closed without one."""
    sock.settimeout(3)
    data = b""
    while len(data) < 4 or len(data) < 4 + struct.unpack(">I", data[:4])[0]:
        try:
            more = sock.recv(4096)
        except OSError:
            return None
        if not more:
            return None
        data += more
    size, = struct.unpack(">I", data[:4])
    assert data[4:6] == varint(24 << 3 | 2)
    answer = data[7:4 + size]
    return answer[1] if answer else 0


def read_key(c, gateway):
    """The key that the leader publishes, as a gateway shows it on a link."""
    leader = c.leader()
    hello = text_field(1, text_field(1, b"reader") + text_field(2, b"r") +
                       text_field(3, b"z1") + text_field(4, b"127.0.0.1:1"))
    with socket.create_connection(("127.0.0.1", leader.link)) as s:
        s.settimeout(3)
        s.sendall(struct.pack(">I", len(hello)) + hello)
        data = b""
        while True:
            data += s.recv(65536)
            at = 0
            while len(data) - at >= 4:
                size, = struct.unpack(">I", data[at:at + 4])
                frame = data[at + 4:at + 4 + size]
                if len(frame) < size:
                    break
                if frame.startswith(varint(22 << 3 | 2)):
                    return struct.unpack("<Q", frame[-8:])[0]
                at += 4 + size


# Anyone could connect to anything by way of a gateway.
def test_only_gateways_get_detours_to_listed_upstreams(pair):
    c, cut, helper = pair
    key = read_key(c, cut)
    cases = [(make_ask(key, c.apps[0].address), OPEN),
             (make_ask(key + 1, c.apps[0].address), REFUSED),
             (make_ask(0, c.apps[0].address), REFUSED),
             (make_ask(key, c.store.address), REFUSED),
             (make_ask(key, "127.0.0.1:%d" % helper.detour), REFUSED),
             (make_ask(key, "no address"), REFUSED)]
    for frame, result in cases:
        with socket.create_connection(("127.0.0.1", helper.detour)) as s:
            s.sendall(frame)
            assert read_answer(s) == result
    c.apps[0].drain()
    wait_until(lambda: helper.events("upstream-leaves"))
    with socket.create_connection(("127.0.0.1", helper.detour)) as s:
        s.sendall(make_ask(key, c.apps[0].address))
        assert read_answer(s) == REFUSED


# Garbage, huge, half and second frames broke the helper.
def test_helper_survives_what_is_no_ask(pair):
    c, cut, helper = pair
    key = read_key(c, cut)
    good = make_ask(key, c.apps[0].address)
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x00" * 4,
                 struct.pack(">I", 2 ** 31), os.urandom(3000), good[:9],
                 good + good, good + b"x" * 100000,
                 make_ask(key, "1" * 1900), make_ask(key, "1" * 5000)):
        with socket.create_connection(("127.0.0.1", helper.detour)) as s:
            try:
                s.sendall(data)
                s.settimeout(3)
                while s.recv(4096):
                    pass
            except OSError:
                pass
    idle = [socket.create_connection(("127.0.0.1", helper.detour))
            for _ in range(20)]
    assert ask(cut, "read")[0] == 200
    for s in idle:
        s.settimeout(4)
        assert not s.recv(10)   # closed: it has not asked in time
        s.close()
    assert ask(cut, "read")[0] == 200
    assert helper.proc.poll() is None


# A gateway took more than its share for others.
def test_full_helper_says_so(build):
    with Cluster(build, gateways=2, models=MODELS, paths=True,
                 extra="[detours]\nmost = 2\n") as c:
        cut = pick_follower(c)
        helper = next(g for g in c.gateways if g is not cut)
        go_by_detour(c, cut, "reset")
        for u in c.apps:
            u.work_s = 0.4
        results = []
        threads = [ask_later(results, cut, "pay", deadline_ms=1500)
                   for _ in range(10)]
        for t in threads:
            t.join()
        assert {"full"} <= {e["why"] for e in helper.events("detour-refused")}
        assert sum(r[0] == 200 for r in results) >= 2
        runs = count_runs(c)
        assert all(r[0] == 200 or (r[3] in runs) == (r[0] == 504)
                   for r in results), results
        assert ask(helper, "read")[0] == 200


# ---- counting, ways -------------------------------------------------------

# A request on a detour was counted at both gateways, or could not be followed.
def test_request_is_counted_where_it_came_in(pair):
    c, cut, helper = pair
    before = len(helper.events("request-end"))
    rid = ask(cut, "pay")[3]
    wait_until(lambda: [e for e in cut.events("request-end")
                        if e["id"] == rid])
    end = [e for e in cut.events("request-end") if e["id"] == rid][0]
    assert end["outcome"] == "answered"
    assert end["by"] == "127.0.0.1:%d" % helper.detour
    assert len(helper.events("request-end")) == before
    opened = [e["id"] for e in cut.events("detour-opened") if "id" in e]
    c.heal([cut])

    def served():
        return [e for e in helper.events("detour-served")
                if e["id"] in opened and e["for"] == cut.name]
    wait_until(served)


# After a reload the name that was shown to helpers was freed memory.
def test_reload_keeps_the_name_shown_to_helpers(pair):
    c, cut, helper = pair
    for _ in range(3):
        cut.send(signal.SIGHUP)
        time.sleep(0.3)
    seen = len(helper.events("detour-refused"))
    c.cut([cut, helper], "reset")

    def refused():
        ask(cut, "read", deadline_ms=300)
        return len(helper.events("detour-refused")) > seen
    wait_until(refused)
    assert {e["for"] for e in helper.events("detour-refused")} == {cut.name}


# A gateway whose path was back stayed on the detour, or dropped what ran on
# it.
@pytest.mark.parametrize("how", ["hang", "reset", "refuse"])
def test_way_back(build, how):
    with Cluster(build, gateways=3, models=MODELS, paths=True) as c:
        cut = pick_follower(c)
        go_by_detour(c, cut, how)
        for e in c.engines:
            e.events, e.event_s = 40, 0.05
        results = []
        t = ask_later(results, cut, "sum", "m1", deadline_ms=4000)
        time.sleep(0.3)
        c.heal([cut])
        healed = now()
        while now() < healed + 2.5:
            assert ask(cut, "read")[0] == 200
            time.sleep(0.05)
        t.join()
        status, _, data, _ = results[0]
        assert status == 200 and event_ids(data) == list(range(40))
        for _ in range(5):
            rid = ask(cut, "read")[3]
            wait_until(lambda: [e for e in cut.events("request-end")
                                if e["id"] == rid])
            assert "by" not in [e for e in cut.events("request-end")
                                if e["id"] == rid][0]


# A stream in the middle of a cut ended, or went on with events missing.
@pytest.mark.parametrize("how", ["hang", "reset"])
def test_stream_goes_on_by_detour(build, how):
    with Cluster(build, gateways=2, models=MODELS, paths=True) as c:
        cut = pick_follower(c)
        wait_until(c.all_linked)
        for e in c.engines:
            e.events, e.event_s = 30, 0.05
        results = []
        t = ask_later(results, cut, "chat", "m0", deadline_ms=9000)
        wait_until(lambda: any(e.runs for e in c.engines))
        time.sleep(0.5)
        c.cut([cut], how)
        t.join()
        status, _, data, rid = results[0]
        assert status == 200 and event_ids(data) == list(range(30))
        # Another thread of the gateway writes the log.
        end = wait_until(lambda: [e for e in cut.events("request-end")
                                  if e["id"] == rid])
        assert end[0].get("by")


# A long body that was half sent when the path was cut reached an upstream
# twice.
@pytest.mark.parametrize("how", ["hang", "reset", "one_way"])
def test_half_sent_body_is_not_sent_again(build, how):
    with Cluster(build, gateways=2, models=MODELS, paths=True) as c:
        cut = pick_follower(c)
        wait_until(c.all_linked)
        results, threads = [], []
        for i in range(8):
            threads.append(ask_later(results, cut, "pay", body=b"y" * 3000000,
                                     deadline_ms=2500))
            if i == 3:
                c.cut([cut], how)
        for t in threads:
            t.join()
        runs = count_runs(c)
        assert all(n == 1 for n in runs.values())
        assert all(r[0] != 503 or r[3] not in runs for r in results), results
        assert ask(cut, "pay", body=b"y" * 3000000)[0] == 200


# Everyone cut: callers waited for their deadline.
def test_all_cut_refuses_at_once(build):
    with Cluster(build, gateways=3, models=MODELS, paths=True) as c:
        c.leader()
        wait_until(c.all_linked)
        g = c.gateways[0]
        assert ask(g, "read")[0] == 200
        c.cut(c.gateways, "reset")
        began = now()
        while now() < began + 1.5:
            for x in c.gateways:
                ask(x, "read", deadline_ms=400)
                ask(x, "chat", "m0", deadline_ms=400)
        for route, model in (("read", None), ("pay", None), ("chat", "m0")):
            started = now()
            status, head, _, _ = ask(g, route, model)
            assert status == 503 and now() - started < 1.0
            assert 0 < float(head["Retry-After"]) <= 2
        c.heal(c.gateways)
        healed = now()
        wait_until(lambda: ask(g, "read", deadline_ms=500)[0] == 200 and
                   ask(g, "chat", "m0", deadline_ms=1000)[0] == 200)
        assert now() - healed < 3


# A sound engine that was silent for a second was taken for dead.
def test_silent_second_is_no_death(build):
    with Cluster(build, gateways=3, models=(("m0",), ("m1",)), apps=1,
                 paths=True) as c:
        c.leader()
        wait_until(c.all_linked)
        quiet = threading.Event()
        quiet.set()

        def wait_while_silent(_engine, _h, _rid):
            quiet.wait(5)
            return False
        app, engine = c.apps[0], c.engines[0]
        app.on_request = engine.on_request = wait_while_silent
        for g in c.gateways:
            assert ask(g, "pay")[0] == ask(g, "sum", "m0")[0] == 200
        orders = [len(e.orders) for e in c.engines]
        results, threads = [], []
        c.paths.set_mode([g.name for g in c.gateways],
                         [app.address, engine.address], "silent")
        for g in c.gateways:
            # A body beyond all buffers leaves bytes unsent.
            for route, model, size in (("pay", None, 1), ("sum", "m0", 1),
                                       ("pay", None, 4000000)):
                threads.append(ask_later(results, g, route, model,
                                         body=b"x" * size, deadline_ms=4000))
        time.sleep(1.3)
        c.heal(c.gateways)
        for t in threads:
            t.join()
        assert [r[0] for r in results] == [200] * 9, [r[0] for r in results]
        assert [len(e.orders) for e in c.engines] == orders
        for g in c.gateways:
            assert not [e for e in g.events("upstream-away")
                        if e["up_ms"] > g.events("config-taken")[-1]["up_ms"]
                        + 1500], g.events("upstream-away")


# A draining upstream got requests by a detour later than by the direct way.
def test_draining_upstream_gets_nothing_by_detour(pair):
    c, cut, _ = pair
    c.apps[0].drain()
    wait_until(lambda: cut.events("upstream-leaves") or
               c.leader().events("upstream-leaves"))
    time.sleep(0.3)
    before = len(c.apps[0].arrivals)
    for _ in range(20):
        assert ask(cut, "read")[0] == 200
    assert len(c.apps[0].arrivals) == before


# Behind relays gateways knew no helper but their relay.
def test_members_of_relays_know_helpers(build):
    with Cluster(build, gateways=6, models=MODELS, paths=True,
                 extra="[relays]\ndirect = 1\nmembers = 3\n") as c:
        leader = c.leader()
        wait_until(c.all_linked)
        wait_until(lambda: sum(d["relay"] != "" for d in
                               (g.dump() for g in c.gateways)) >= 2)
        member = next(g for g in c.gateways if g.dump()["relay"])

        def helpers():
            conn = http.client.HTTPConnection("127.0.0.1", member.control,
                                              timeout=2)
            conn.request("GET", "/paths")
            return conn.getresponse().read().count(b'"helper"')
        wait_until(lambda: helpers() >= 3)
        # Its relay and the leader are cut off as well.
        relay = next(g for g in c.gateways
                     if "127.0.0.1:%d" % g.link == member.dump()["relay"])
        c.cut([relay, leader], "hang")
        go_by_detour(c, member)


# Two cuts that overlap, the leader among them, and a gateway that starts
# inside the cut.
def test_cuts_overlap_and_a_gateway_starts_inside(build):
    with Cluster(build, gateways=4, models=MODELS, paths=True) as c:
        leader = c.leader()
        others = [g for g in c.gateways if g is not leader]
        go_by_detour(c, leader, "hang")
        go_by_detour(c, others[0], "reset")
        others[0].send(signal.SIGKILL)
        others[0].proc.wait()
        others[0].start()
        wait_until(others[0].is_ready)
        wait_until(lambda: ask(others[0], "read", deadline_ms=600)[0] == 200)
        for g in (leader, others[0]):
            served = [ask(g, r, m)[0] for r, m in
                      (("read", None), ("pay", None), ("chat", "m0"),
                       ("sum", "m1")) * 5]
            assert served.count(200) >= 19, served
        # A model that nobody holds is loaded by a leader that reaches the
        # upstreams.
        wait_until(lambda: c.leader() in others[1:])
        wait_until(lambda: ask(leader, "chat", "m2")[0] == 200)
