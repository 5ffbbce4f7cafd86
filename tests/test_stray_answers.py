"""Routers: bytes of an earlier answer come before the answer that is due on a
kept connection."""

import json

import pytest

from cluster import Cluster, expected_text, stream_text

ROUTER = "dc1-vm1-router"
MODEL = "bulletin-draft"
ENGINES = ("dc1-lm1", "dc1-lm2")


@pytest.fixture(scope="module")
def cluster(build):
    settings = {"router": {"router": {"retry_percent": 100}}}
    with Cluster(build, centres=("dc1",), vms_per_centre=1,
                 settings=settings) as c:
        c.publish_samples()
        yield c


def make_stream(attempt=None):
    part = {"choices": [{"index": 0, "text": "another's",
                         "finish_reason": "stop"}]}
    body = "data: %s\n\ndata: [DONE]\n\n" % json.dumps(part)
    return ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s"
            "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
                "X-Attempt-Id: %s\r\n" % attempt if attempt else "",
                len(body), body))


REFUSAL = ("HTTP/1.1 400 Bad Request\r\nServer: x\r\nContent-Length: 2\r\n"
           "Content-Type: application/json\r\n\r\n{}")
# Cut off where the next answer's first line is taken for more of that text.
CUTS = ("HTTP/1.1 400 Bad", "HTTP/1.1 400 Bad Request\r\nServer: x",
        "HTTP/1.1 400 Bad Request\r\n", "HTTP/1.1 4",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400 Bad")
# A copy whose own id is another one was refused before, too.
STRAY = (make_stream(), make_stream("another"), REFUSAL) + CUTS


def ask_streams(cluster, may_stop):
    """Own streams, until may_stop(number of those, those left by engine)."""
    wrong, i = [], 0
    while not may_stop(i, count_stray(cluster)):
        prompt = "own %d" % i
        a = cluster.complete(ROUTER, "drafting", MODEL, prompt, stream=True)
        if (a.status, stream_text(a.body)) != (
                200, (expected_text(prompt, 8), True)):
            wrong.append((i, a.status, a.body))
        i += 1
    return wrong


def count_stray(cluster):
    return [len(cluster.set_faults(e)["stray_bytes"]) for e in ENGINES]


@pytest.fixture(autouse=True)
def clean(cluster):
    yield
    for e in ENGINES:
        cluster.set_faults(e, stray_bytes=[], filled_chunks=0)


# The caller got another caller's text, or the copy's status.
@pytest.mark.parametrize("stray", STRAY, ids=[
    "stream", "stream-with-id", "refusal", "cut-reason", "cut-field",
    "cut-line", "cut-status", "cut-after-interim"])
def test_stray_bytes_before_a_stream(cluster, stray):
    for e in ENGINES:
        cluster.set_faults(e, stray_bytes=[stray] * 10 ** 3)
    wrong = ask_streams(cluster, lambda asked, left: asked == 12)
    assert min(count_stray(cluster)) < 10 ** 3   # some were written
    assert not wrong, wrong[:2]


# The copy's status went out with the answer's body.
def test_refusal_cut_at_each_byte_before_a_stream(cluster):
    cut = "HTTP/1.1 400 Bad\r\nServer: x\r\nContent-Length: 2\r\n\r\n{}"
    cuts = [cut[:n] for n in range(1, len(cut))]
    for e in ENGINES:
        cluster.set_faults(e, stray_bytes=cuts)
    wrong = ask_streams(
        cluster, lambda asked, left: min(left) == 0 or asked == 400)
    assert min(count_stray(cluster)) == 0
    # A cut in the body takes the answer's first bytes for its rest.
    assert not [w for w in wrong if w[1] not in (502, 503)], wrong[:2]


# The caller got an event that held the head of another answer.
def test_head_inside_a_chunk_of_a_stream(cluster):
    filled = 0
    for i in range(12):
        engine = ENGINES[i % 2]
        cluster.set_faults(engine, filled_chunks=1)
        assert not ask_streams(cluster, lambda asked, left: asked == 1)
        filled += cluster.set_faults(engine)["filled_chunks"] == 0
    assert filled >= 3
