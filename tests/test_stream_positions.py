"""Streams by the ids of their events: what is passed on, and where a broken one
goes on."""

import itertools

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask
from raw_answers import AS_FRAMED, CHUNKS, CLOSED, RawAnswer

MODELS = (("m0",), ("m0",))
MARK = b"\xef\xbb\xbf"
_bodies = itertools.count()


@pytest.fixture(name="cluster", scope="module")
def fixture_cluster(build):
    with Cluster(build, gateways=1, models=MODELS) as c:
        yield c


def stream(*ids):
    return "".join(("" if i is None else "id: %s\n" % i) + "data: d%s\n\n" % n
                   for n, i in enumerate(ids))


class Runs:
    """Answers the first run of a request with FIRST, broken off, and the next
    ones with LATER, whole; both texts.  resumed_at: Last-Event-Id of each."""

    def __init__(self, first, later):
        self.first = RawAnswer(CHUNKS, CLOSED, lambda _first: first)
        self.later = RawAnswer(CHUNKS, AS_FRAMED, lambda _first: later)
        self.resumed_at = []

    def __call__(self, engine, h, rid):
        self.resumed_at.append(h.headers.get("Last-Event-Id"))
        raw = self.first if len(self.resumed_at) == 1 else self.later
        return raw(engine, h, rid)


def ask_stream(c, on_request, route="chat", headers=None):
    for e in c.engines:
        e.on_request = on_request
    # After the break before: else the stream's begin is held back.
    wait_until(c.gateways[0].knows_processes)
    answer = ask(c.gateways[0], route, "m0",
                 body=b"request %d" % next(_bodies), headers=headers)
    for e in c.engines:
        e.on_request = None
    return answer[0], answer[2]


# Events whose ids fell behind an earlier one's were left out.
@pytest.mark.parametrize("ids", [(5, 3, 4, 3), (0, 70, 7), ("a", "b", "a"),
                                 (3, 3, 3), (2 ** 70, 1), (0, "", 0)])
def test_ids_in_any_order_are_passed_on(cluster, ids):
    raw = RawAnswer(CHUNKS, AS_FRAMED, lambda _first: stream(*ids))
    assert ask_stream(cluster, raw) == (200, stream(*ids).encode())


# A stream of which the last events named no id began again from an earlier
# one, and its caller got events twice.
@pytest.mark.parametrize("ids", [(None, None), (0, None), (0, "")])
def test_stream_without_a_position_is_not_resumed(cluster, ids):
    runs = Runs(stream(*ids), stream(*ids, 9))
    status, data = ask_stream(cluster, runs)
    assert (status, data) == (200, b"INCOMPLETE " + stream(*ids).encode())
    assert len(runs.resumed_at) == 1


# A stream went on behind another event than its caller's last one.
def test_stream_is_resumed_behind_an_id_that_is_no_number(cluster):
    runs = Runs(stream("a-1", "a-2"), "id: a-3\ndata: d2\n\n")
    status, data = ask_stream(cluster, runs)
    assert (status, data) == (200, (stream("a-1", "a-2") +
                                    "id: a-3\ndata: d2\n\n").encode())
    assert runs.resumed_at == [None, "a-2"]


def test_stream_is_resumed_behind_the_last_event_not_the_highest(cluster):
    runs = Runs(stream(7, 3), "id: 4\ndata: d2\n\n")
    status, data = ask_stream(cluster, runs)
    assert (status, data) == (200, (stream(7, 3) +
                                    "id: 4\ndata: d2\n\n").encode())
    assert runs.resumed_at == [None, "3"]


# An upstream that repeats events at a resumption gave its caller events twice.
def test_repeated_events_are_passed_on_once(cluster):
    runs = Runs(stream(0, 1, 2), stream(0, 1, 2, 3))
    status, data = ask_stream(cluster, runs)
    assert (status, data) == (200, stream(0, 1, 2, 3).encode())


def test_comments_do_not_end_a_position(cluster):
    runs = Runs(stream(0, 1) + ": still here\n\n", "id: 2\ndata: d2\n\n")
    status, data = ask_stream(cluster, runs)
    assert (status, data) == (200, (stream(0, 1) + ": still here\n\n" +
                                    "id: 2\ndata: d2\n\n").encode())
    assert runs.resumed_at == [None, "1"]


# The byte order mark of a resumed stream became part of a field in its middle.
def test_mark_of_a_resumed_stream_is_left_out(cluster):
    mark = MARK.decode()
    runs = Runs(mark + stream(0), mark + "id: 1\ndata: d1\n\n")
    status, data = ask_stream(cluster, runs)
    assert (status, data) == (200, MARK + stream(0, 1).encode())


def test_caller_that_resumes_gets_no_event_twice(cluster):
    raw = RawAnswer(CHUNKS, AS_FRAMED, lambda _first: stream(0, 1, 2, 3))
    status, data = ask_stream(cluster, raw, headers={"Last-Event-Id": "1"})
    assert (status, data) == (200, b"id: 2\ndata: d2\n\nid: 3\ndata: d3\n\n")
