"""A body that breaks off and is filled up by a copy, whose rest comes in every
way; and whole answers that look like such a body."""

import http.client
import json
import os
import signal
import time

import pytest

from platform_cluster import Cluster, ask
from raw_answers import LENGTH, reset
from test_copies_inside import is_own, make_answer

APART_S = 0.03
LEFT_OUT = (1, 5, 9, 20, 37, 60, 90)
WHOLE_HEADS = (200, 260, 300)   # left out, the copy's head is in the body
AT_ONCE_S = 0.15
# Ends as a head may, but for the quotes.
JSON = json.dumps({"text": "It says HTTP/1.1 200 OK\r\nA: b"})


def change_head(answer, lf, without_id):
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n")
             if not (without_id and line.startswith(b"X-Attempt-Id"))]
    end = b"\n" if lf else b"\r\n"
    return end.join(lines) + end * 2 + body


class Filled:
    """An engine's on_request: its body breaks off, the first bytes of a copy
    fill it up, and PAUSE(write) writes the rest; MORE bytes come at once."""

    def __init__(self, pause, more=0, lf=False, without_id=False):
        self.pause, self.more = pause, more
        self.lf, self.without_id = lf, without_id

    def __call__(self, engine, h, rid):
        rid = rid or "none"
        answer = change_head(make_answer(
            engine, rid, json.dumps({"id": rid, "pad": "p" * 400}), LENGTH),
            self.lf, self.without_id)
        left_out = int(h.path.rpartition("-")[2])
        h.wfile.write(answer[:-left_out] + answer[:left_out + self.more])
        h.wfile.flush()
        self.pause(h.wfile.write, answer[left_out + self.more:])
        h.close_connection = True
        return True


def write_later(write, data):
    time.sleep(APART_S)
    write(data)


def write_each(write, data):
    for i in range(40):
        time.sleep(APART_S / 3)
        write(data[i:i + 1])
    write(data[40:])


def find_wrong(c, left_out):
    got = [ask(c.gateways[0], "pay", deadline_ms=3000, path="/pay/cut-%d" % n)
           for n in left_out]
    return [(g[0], g[2][-30:]) for g in got if not is_own(g, None)]


# The answer counted as whole at the first byte behind it.
@pytest.mark.parametrize("more,pause", [
    (1, write_later), (2, write_later), (5, write_later), (0, write_each)])
def test_rest_of_the_copy_in_pieces(build, more, pause):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = Filled(pause, more)
        assert not find_wrong(c, LEFT_OUT)


# What had come while the gateway stood still was read after its answer.
def test_rest_comes_while_the_gateway_stands_still(build):
    with Cluster(build, models=(), apps=1) as c:
        process = c.gateways[0].proc.pid

        def stand_still(write, data):
            time.sleep(APART_S)
            os.kill(process, signal.SIGSTOP)
            write(data)
            time.sleep(0.5)
            os.kill(process, signal.SIGCONT)
        c.apps[0].on_request = Filled(stand_still)
        assert not find_wrong(c, (1, 20, 60))


# The copy's head was in the body, and its id couldn't be read.
@pytest.mark.parametrize("lf,without_id", [(True, False), (False, True),
                                           (True, True)])
def test_whole_head_of_a_copy_in_the_body(build, lf, without_id):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = Filled(write_later, 0, lf, without_id)
        assert not find_wrong(c, LEFT_OUT + WHOLE_HEADS)


def test_whole_head_before_a_caller_without_an_id(build):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = Filled(write_later)
        for left_out in LEFT_OUT + WHOLE_HEADS:
            conn = http.client.HTTPConnection("127.0.0.1", c.gateways[0].front,
                                              timeout=10)
            conn.request("POST", "/pay/cut-%d" % left_out, b"x",
                         {"Host": "app.example", "X-Deadline-Ms": "2000"})
            r = conn.getresponse()
            assert r.status == 502 and b"HTTP/" not in r.read()


def fill(change, pause_s=APART_S):
    """An engine's on_request: its body breaks off, and what CHANGE makes of the
    answer fills it up, the rest after PAUSE_S."""
    def answer(engine, h, rid):
        own = make_answer(engine, rid, json.dumps(
            {"id": rid, "pad": "p" * 400}), LENGTH)
        name, _, left_out = h.path.rpartition("-")
        if not name.endswith("cut"):
            h.wfile.write(own)
            return True
        left_out = int(left_out)
        copy = change(own)
        h.wfile.write(own[:-left_out] + copy[:left_out])
        h.wfile.flush()
        time.sleep(pause_s)
        h.wfile.write(copy[left_out:])
        return True
    return answer


# The own answer had its id, and what filled it up had none.
def test_whole_head_without_an_id_in_an_answer_with_one(build):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = fill(lambda own: change_head(own, False, True))
        assert not find_wrong(c, LEFT_OUT + WHOLE_HEADS)


# The line in which the second copy began was taken for no head's.
@pytest.mark.parametrize("torn", [20, 40])
def test_torn_copy_and_a_whole_one_behind_a_broken_body(build, torn):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = fill(lambda own: own[:torn] + own)
        assert not find_wrong(c, (1, 5, 10, 14))


# What follows the torn copy looks like the next answer.
def test_copy_torn_at_the_end_of_a_filled_body(build):
    with Cluster(build, models=(), apps=1) as c:
        wrong = []
        for torn in (1, 5, 10, 14):
            c.apps[0].on_request = fill(lambda own, n=torn: own[:n] + own)
            wrong += find_wrong(c, (torn,))
        assert not wrong


# The rest came to the next request.
def test_connection_of_a_held_answer_is_not_used_again(build):
    with Cluster(build, models=(), apps=1) as c:
        c.apps[0].on_request = fill(lambda own: own, 0.4)
        for _ in range(3):
            ask(c.gateways[0], "pay", path="/pay/cut-5")
            got = ask(c.gateways[0], "pay", path="/pay/whole-0")
            assert got[0] == 200 and is_own(got, None)


def serve(c, body, after=None, **more):
    """The time and the answer of an engine that answers BODY."""
    def answer(engine, h, rid):
        h.wfile.write(make_answer(engine, rid, body, LENGTH))
        if after:
            after(h)
        return True
    c.apps[0].on_request = answer
    begun = time.monotonic()
    status, _, data, _ = ask(c.gateways[0], "pay", **more)
    return time.monotonic() - begun, (status, data)


# An answer that was held was lost with its connection, or at the deadline.
def test_held_answer_is_passed_on(build):
    with Cluster(build, models=(), apps=1) as c:
        for text in ("ends in H", "HTTP/1.1 200 OK\r\nA: "):
            own = (200, text.encode())
            assert serve(c, text, lambda h: reset(h.connection))[1] == own
            assert serve(c, text, deadline_ms=200)[1] == own


# Each answer that speaks of HTTP came 250 ms late.
def test_answer_that_speaks_of_http_is_not_held(build):
    with Cluster(build, models=(), apps=1) as c:
        serve(c, "")
        for text in (JSON, JSON.replace(" 200", " 200 "), "HTTP/1.1 200 OK, "
                     "as it says {there}", "HTTP/1.1 200 OK\nno field\n",
                     "\nHTTP/1.1 200 OK\nno field\n"):
            took_s, got = serve(c, text)
            assert got == (200, text.encode()) and took_s < AT_ONCE_S


# 400 KB of line ends took 3.5 s, in which the gateway did nothing else.
@pytest.mark.parametrize("line", ["\n", "\r\n", "HTTP/1.1 200 OK\n", "H",
                                  "A: HTTP/1.1 200 OK\r\n"])
def test_time_is_linear_in_the_body(build, line):
    with Cluster(build, models=(), apps=1) as c:
        text = "HTTP/1.1 200 OK\n" + line * (800000 // len(line)) + "."
        took_s, got = serve(c, text)
        assert got == (200, text.encode()) and took_s < AT_ONCE_S * 4
