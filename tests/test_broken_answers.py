"""Answers that upstreams break off: how their callers can tell, in each framing
of the answer, with each way to end, at each place of a stream.

Each case is a stream that an engine writes byte for byte (raw_answers) to a
real gateway.  A case that fails is printed; none is left out for another.
"""

import http.client
import itertools
import os
import re
import socket
import subprocess

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask
from raw_answers import (AS_FRAMED, BARE, CHUNKS, CLOSE, CLOSED, FRAMINGS,
                         INSIDE, LENGTH, RESET, RawAnswer, cut_event, event)

MODELS = (("m0",), ("m0",))
EVENTS = 5
# In a cut stream: whole events before the cut one.
BEFORE = 2
EOLS = ("\n", "\r\n", "\r")


@pytest.fixture(name="cluster", scope="module")
def fixture_cluster(build):
    with Cluster(build, gateways=1, models=MODELS) as c:
        yield c


@pytest.fixture(name="detour", scope="module")
def fixture_detour(build):
    """Three gateways, one of which goes by way of the others."""
    with Cluster(build, gateways=3, models=MODELS, paths=True) as c:
        cut = next(g for g in c.gateways if g is not c.leader())
        wait_until(c.all_linked)
        wait_until(lambda: ask(cut, "chat", "m0")[0] == 200)
        c.cut([cut], "refuse")
        wait_until(lambda: (ask(cut, "chat", "m0", deadline_ms=1500)[0] == 200
                            and cut.events("detour-opened")))
        yield c, cut


def whole(first, eol="\n"):
    return "".join(event(i, eol) for i in range(first, EVENTS))


def cut_in(place, before=BEFORE, eol="\n"):
    return lambda first: "".join(
        event(i, eol) for i in range(first, first + before)) + cut_event(
            place, first + before, eol)


_bodies = itertools.count()


def ask_new(gateway, route, model="m0"):
    """No request is a copy of another: copies under which upstreams ended are
    stopped.  After a break the begin of the next stream would be held back
    until the process there is known."""
    wait_until(gateway.knows_processes)
    return ask(gateway, route, model, body=b"request %d" % next(_bodies))


def set_answer(c, answer):
    for e in c.engines:
        e.on_request = answer


def ends_of(framing):
    """Each way in which an answer with that framing may end."""
    if framing in (LENGTH, CHUNKS):
        return (AS_FRAMED, CLOSED, RESET)
    return (CLOSED, RESET)


def all_cuts():
    return [(f, end, place, eol) for f in FRAMINGS for end in ends_of(f)
            for place in INSIDE for eol in EOLS]


def find_fault(answer, shown, complete):
    """What is wrong with ANSWER, of which the caller should get the events
    SHOWN; None: nothing."""
    status, _, data, _ = answer
    got = data[len(b"INCOMPLETE "):] if data.startswith(
        b"INCOMPLETE ") else data
    if status != 200:
        return "status %d" % status
    if complete == data.startswith(b"INCOMPLETE "):
        return "framed as %scomplete" % ("in" if complete else "")
    if got.decode() != shown:
        return "body %r" % got
    return None


def report(faults):
    for case, fault in faults:
        print(*case, fault, sep=", ")
    assert not faults, "%d of the cases above" % len(faults)


def run_cuts(c, gateway, route, check):
    faults = []
    for case in all_cuts():
        framing, end, place, eol = case
        set_answer(c, RawAnswer(framing, end, cut_in(place, eol=eol), times=1))
        fault = check(ask_new(gateway, route), eol)
        if fault:
            faults.append((case, fault))
    set_answer(c, None)
    report(faults)


# The caller of a stream that ended inside an event got it framed as complete,
# half an event included.
def test_stream_that_ends_inside_an_event_is_broken(cluster):
    run_cuts(cluster, cluster.gateways[0], "sum", lambda answer, eol: find_fault(
        answer, "".join(event(i, eol) for i in range(BEFORE)), False))


def test_stream_that_ends_inside_an_event_is_broken_by_detour(detour):
    c, cut = detour
    run_cuts(c, cut, "sum", lambda answer, eol: find_fault(
        answer, "".join(event(i, eol) for i in range(BEFORE)), False))


# The same stream, where it may be resumed, was not.
def test_stream_that_ends_inside_an_event_is_resumed(cluster):
    run_cuts(cluster, cluster.gateways[0], "chat",
             lambda answer, eol: find_fault(answer, "".join(
                 event(i, eol) for i in range(BEFORE)) + whole(BEFORE), True))


def test_stream_that_ends_inside_an_event_is_resumed_by_detour(detour):
    c, cut = detour
    run_cuts(c, cut, "chat", lambda answer, eol: find_fault(
        answer, "".join(event(i, eol) for i in range(BEFORE)) + whole(BEFORE),
        True))


# Ends that break an answer wherever they come.
BREAKS = [(LENGTH, CLOSED), (LENGTH, RESET), (CHUNKS, CLOSED), (CHUNKS, RESET),
          (CLOSE, RESET), (BARE, RESET)]


def run_breaks(c, gateway, before, check):
    """Streams that break off behind BEFORE whole events, and no further."""
    faults = []
    for framing, end in BREAKS:
        for route in ("sum", "chat"):
            set_answer(c, RawAnswer(framing, end, lambda first: "".join(
                event(i) for i in range(first, first + before)), times=1))
            fault = check(route, ask_new(gateway, route))
            if fault:
                faults.append(((framing, end, route), fault))
    set_answer(c, None)
    report(faults)


def check_between(route, answer):
    shown = whole(0) if route == "chat" else "".join(
        event(i) for i in range(BEFORE))
    return find_fault(answer, shown, route == "chat")


def check_before_first(route, answer):
    if route == "chat":
        return find_fault(answer, whole(0), True)
    return None if (answer[0], answer[2]) == (502, b"") else repr(answer)


@pytest.mark.parametrize("before, check", [(BEFORE, check_between),
                                           (0, check_before_first)],
                         ids=["between-events", "before-the-first"])
def test_stream_that_breaks_off_outside_an_event(cluster, before, check):
    run_breaks(cluster, cluster.gateways[0], before, check)


@pytest.mark.parametrize("before, check", [(BEFORE, check_between),
                                           (0, check_before_first)],
                         ids=["between-events", "before-the-first"])
def test_stream_that_breaks_off_outside_an_event_by_detour(detour, before,
                                                           check):
    c, cut = detour
    run_breaks(c, cut, before, check)


# Resumable: the first run ends inside its first event.
def test_stream_that_ends_inside_its_first_event_is_asked_again(cluster,
                                                                detour):
    faults = []
    for c, gateway in ((cluster, cluster.gateways[0]), detour):
        for framing in FRAMINGS:
            for end in ends_of(framing):
                for place in INSIDE:
                    set_answer(c, RawAnswer(framing, end, cut_in(place, 0),
                                            times=1))
                    fault = find_fault(ask_new(gateway, "chat"), whole(0),
                                       True)
                    if fault:
                        faults.append(((framing, end, place), fault))
        set_answer(c, None)
    report(faults)


def test_whole_answers_arrive_whole_by_detour(detour):
    c, cut = detour
    faults = []
    for framing in FRAMINGS:
        end = AS_FRAMED if framing in (LENGTH, CHUNKS) else CLOSED
        for route, body in (("chat", whole(0)), ("sum", whole(0)),
                            ("sum", ""), ("read", "text"), ("read", "")):
            raw = RawAnswer(framing, end, lambda _first, text=body: text,
                            content_type="text/event-stream" if route != "read"
                            else "text/plain")
            for u in c.engines + c.apps:
                u.on_request = raw
            fault = find_fault(ask_new(cut, route, None if route == "read"
                                       else "m0"), body, True)
            if fault or len(raw.resumed_at) != 1:
                faults.append(((framing, route, body),
                               fault or "%d runs" % len(raw.resumed_at)))
    for u in c.engines + c.apps:
        u.on_request = None
    report(faults)


# An answer to HEAD was waited for until the deadline, as if its body came; and
# the gateway's own had one, which the caller took for the next answer.
@pytest.mark.parametrize("framing", FRAMINGS)
def test_answer_to_head_has_no_body(cluster, framing):
    end = AS_FRAMED if framing in (LENGTH, CHUNKS) else CLOSED
    raw = RawAnswer(framing, end, lambda _first: "text",
                    content_type="text/plain")
    for u in cluster.engines + cluster.apps:
        u.on_request = raw
    gateway = cluster.gateways[0]
    c = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=10)
    got = []
    for route, model in (("read", None), ("chat", "m0")):
        got.append(ask(gateway, route, model, method="HEAD", body=None,
                       conn=c, deadline_ms=1500)[::2])
    for u in cluster.engines + cluster.apps:
        u.on_request = None
    got.append(ask(gateway, "read", conn=c)[0])
    c.close()
    assert got == [(200, b""), (200, b""), 200]
    with socket.create_connection(("127.0.0.1", gateway.front), 10) as s:
        s.sendall(b"HEAD /none HTTP/1.1\r\nHost: x\r\n"
                  b"Connection: close\r\n\r\n")
        data = b"".join(iter(lambda: s.recv(1000), b""))
    assert data.startswith(b"HTTP/1.1 404 ") and data.endswith(b"\r\n\r\n")


def run_at_all(c, gateway):
    """Each upstream runs a whole stream, after which nothing is held back."""
    set_answer(c, None)
    before = [len(e.runs) for e in c.engines]

    def ran():
        ask_new(gateway, "chat")
        return all(len(e.runs) > n for e, n in zip(c.engines, before)
                   if "m0" in e.models)
    wait_until(ran)


# The logs said "answered", and nothing of how the end was known.
def test_explain_tells_how_an_end_was_known(build, cluster):
    gateway = cluster.gateways[0]
    run_at_all(cluster, gateway)
    set_answer(cluster, RawAnswer(BARE, CLOSED, cut_in("in its data"),
                                  times=1))
    rid = ask_new(gateway, "chat")[3]
    set_answer(cluster, None)

    def explain():
        return subprocess.run([os.path.join(build, "bglade"), "explain", rid,
                               gateway.log_path], capture_output=True,
                              text=True, timeout=20, check=False).stdout
    wait_until(lambda: "request-end" in explain())
    broken, end = [x for x in explain().splitlines()
                   if "request-broken" in x or "request-end" in x]
    for text in ('why="inside"', 'end="inside"', 'framing="close"',
                 "events=2", "rest_bytes=10", 'last_event="1"'):
        assert text in broken
    for text in ('outcome="answered"', 'end="last chunk"', "events=3"):
        assert text in end
    c = http.client.HTTPConnection("127.0.0.1", gateway.control, timeout=2)
    c.request("GET", "/metrics")
    metrics = c.getresponse().read().decode()
    assert re.search(r"^bglade_gateway_ends_inside_total [1-9]", metrics, re.M)


# Half a line at the end of a log, as of a process that was killed, is no event.
def test_log_whose_last_line_is_half(build, cluster, tmp_path):
    gateway = cluster.gateways[0]
    rid = ask_new(gateway, "chat")[3]
    wait_until(lambda: any(e["id"] == rid
                           for e in gateway.events("request-end")))
    with open(gateway.log_path, encoding="utf-8") as f:
        lines = [x for x in f if rid in x or "started" in x]
    last = next(x for x in lines if "request-end" in x)
    lines.remove(last)
    log = tmp_path / "log"
    log.write_text("".join(lines) + last[:len(last) // 2])
    for command in (["explain", rid], ["losses"]):
        r = subprocess.run([os.path.join(build, "bglade"), command[0],
                            *command[1:], str(log)], capture_output=True,
                           text=True, timeout=20, check=False)
        assert "request-end" not in r.stdout and "answered" not in r.stdout


# A stream that ended inside its first event was answered with 200 and half an
# event.
def test_stream_that_ends_inside_its_first_event_is_not_begun(cluster):
    faults = []
    for framing in FRAMINGS:
        for end in ends_of(framing):
            for place in INSIDE:
                set_answer(cluster, RawAnswer(framing, end, cut_in(place, 0)))
                status, _, data, _ = ask_new(cluster.gateways[0], "sum")
                if (status, data) != (502, b""):
                    faults.append(((framing, end, place), (status, data)))
    set_answer(cluster, None)
    report(faults)


# A stream of which the system closed the connection between two events looks
# like a whole one: it must not fail.
@pytest.mark.parametrize("route", ["sum", "chat"])
@pytest.mark.parametrize("framing, end", [
    (LENGTH, AS_FRAMED), (CHUNKS, AS_FRAMED), (CLOSE, CLOSED), (BARE, CLOSED)])
@pytest.mark.parametrize("eol", EOLS)
def test_whole_stream_arrives_whole_in_one_run(cluster, route, framing, end,
                                               eol):
    raw = RawAnswer(framing, end, lambda first: whole(first, eol))
    set_answer(cluster, raw)
    answer = ask_new(cluster.gateways[0], route)
    set_answer(cluster, None)
    assert find_fault(answer, whole(0, eol), True) is None, answer
    assert len(raw.resumed_at) == 1


@pytest.mark.parametrize("framing, end", [
    (LENGTH, AS_FRAMED), (CHUNKS, AS_FRAMED), (CLOSE, CLOSED), (BARE, CLOSED)])
@pytest.mark.parametrize("route, body, content_type", [
    ("sum", "", "text/event-stream"),
    ("chat", "", "text/event-stream"),
    ("chat", '{"events": "none\\n\\n"}', "application/json"),
    ("chat", '{"events": "none"}', None),
    ("chat", "\n\n\n", "text/plain"),
    ("chat", ": comment\n\n: and no event\n", "text/event-stream"),
    ("read", "plain text", "text/plain"),
    ("read", "", None)])
def test_whole_answer_arrives_whole(cluster, framing, end, route, body,
                                    content_type):
    raw = RawAnswer(framing, end, lambda _first: body,
                    content_type=content_type)
    set_answer(cluster, raw)
    for a in cluster.apps:
        a.on_request = raw
    status, _, data, _ = ask_new(cluster.gateways[0], route,
                                 None if route == "read" else "m0")
    set_answer(cluster, None)
    for a in cluster.apps:
        a.on_request = None
    assert (status, data.decode()) == (200, body)
    assert len(raw.resumed_at) == 1


def read_events(gateway, count):
    """The first COUNT events of a stream, as read from the socket."""
    c = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=1)
    c.request("POST", "/sum/x", b"request %d" % next(_bodies), {
        "Host": "app.example", "X-Attempt-Id": "%x" % next(_bodies),
        "X-Model": "m0", "X-Token-Count": "100,20",
        "X-Prompt-Prefix": "aa:50,bb:50", "X-Deadline-Ms": "4000"})
    r, data = c.getresponse(), b""
    while data.count(b"data: ") < count:
        data += r.read1(1000)
    c.close()
    return data


# A line that ended in a bare CR, or held a zero byte, kept all further events
# from the caller until the stream was over.
@pytest.mark.parametrize("body", [whole(0, "\r"),
                                  "data: a\0b\n\n" + whole(0)],
                         ids=["bare-CR", "zero-byte"])
def test_events_are_forwarded_as_they_arrive(cluster, body):
    set_answer(cluster, RawAnswer(CHUNKS, AS_FRAMED, lambda _first: body,
                                  pieces=2, pause_s=2.0))
    read_events(cluster.gateways[0], 2)
    set_answer(cluster, None)
