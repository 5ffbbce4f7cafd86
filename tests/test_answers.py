"""A caller gets its own and complete answer, or an error that says so."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import (KEYS, Cluster, expected_text, stream_text, wait_until)

ROUTER = "dc1-vm1-router"
ENGINES = ("dc1-lm1", "dc1-lm2")
NO_FAULTS = {"cut_stream_after": 0, "cut_streams": 1, "short_answers": 0,
             "cross_answers": 0, "silent": False, "token_ms": 2.0}


@pytest.fixture(scope="module")
def cluster(build):
    settings = {"router": {"router": {"answer_ms": 8000, "idle_ms": 1000,
                                      "retry_percent": 100}}}
    with Cluster(build, centres=("dc1",), vms_per_centre=1,
                 settings=settings) as c:
        c.publish_samples()
        warm(c, "bulletin-draft")
        yield c


@pytest.fixture(autouse=True)
def clean(cluster):
    yield
    set_engines(cluster, **NO_FAULTS)


def set_engines(c, **faults):
    for e in ENGINES:
        c.set_faults(e, **faults)


def warm(c, model):
    assert c.complete(ROUTER, "drafting", model, "warm").status == 200


def sum_audit(c, key):
    return sum(c.audit(e)[key] for e in ENGINES)


def count_runs(c, mark):
    return sum(c.audit(e)["runs"].get(mark, 0) for e in ENGINES)


def read_metric(c, name):
    text = c.call(ROUTER, "GET", "/metrics").body.decode()
    for line in text.split("\n"):
        if line.startswith("bglade_" + name + " "):
            return int(line.split()[1])
    return 0


def open_call(c, doc, mark):
    """Sends a completion on a raw connection and returns the socket."""
    body = json.dumps(doc).encode()
    s = socket.create_connection(("127.0.0.1", c.port(ROUTER)), 20)
    s.sendall(("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
               "Authorization: Bearer %s\r\nX-Request-Id: %s\r\n"
               "Content-Length: %d\r\n\r\n" %
               (KEYS["drafting"], mark, len(body))).encode() + body)
    return s


def read_all(s):
    data = b""
    while part := s.recv(65536):
        data += part
    s.close()
    return data


def make_doc(prompt, stream, tokens=8, model="bulletin-draft"):
    return {"model": model, "prompt": prompt, "stream": stream,
            "max_tokens": tokens}


def test_cut_stream_is_resumed(cluster):
    """The engine's connection breaks after five tokens, which the caller
    already has.  The router requests the answer again from the sixth token on,
    and the caller gets each token once."""
    set_engines(cluster, cut_stream_after=5)
    a = cluster.complete(ROUTER, "drafting", "bulletin-draft", "resumed",
                         stream=True, tokens=20)
    assert stream_text(a.body) == (expected_text("resumed", 20), True)
    assert a.body.count(b"[DONE]") == 1
    assert read_metric(cluster, "router_resumed_streams_total") >= 1


def test_stream_cut_before_its_end_is_resumed(cluster):
    """All tokens came and the connection broke before [DONE]: the router must
    not add [DONE] by itself, as only the engine knows the end."""
    set_engines(cluster, cut_stream_after=9)
    a = cluster.complete(ROUTER, "drafting", "bulletin-draft", "last word",
                         stream=True, tokens=8)
    assert stream_text(a.body) == (expected_text("last word", 8), True)


def test_stream_that_cannot_go_on_ends_with_an_error(cluster):
    """Every engine cuts the stream at the same token.  After a limited number
    of attempts the caller gets an error event, and neither [DONE] nor the last
    chunk, so that no client takes the stream for complete."""
    set_engines(cluster, cut_stream_after=5, cut_streams=100)
    s = open_call(cluster, make_doc("broken off", True, 20), "cut-1")
    data = read_all(s)
    assert b'"code":"broken"' in data
    assert b"[DONE]" not in data
    assert not data.endswith(b"0\r\n\r\n")
    assert b" t4" not in data and b" t3" in data
    assert 2 <= count_runs(cluster, "cut-1") <= 4


@pytest.mark.parametrize("stream", [True, False])
def test_engine_dies_while_it_generates(build, stream):
    """One of the two engines with the model is killed during an answer.  The
    request is retried on the other, a stream from the next token on."""
    settings = {"placer": {"placer": {"per_replica": 1}}}
    with Cluster(build, centres=("dc1",), vms_per_centre=1,
                 settings=settings) as c:
        c.publish_samples()
        with ThreadPoolExecutor(20) as pool:
            list(pool.map(lambda i: warm(c, "bulletin-draft"), range(20)))
        wait_until(lambda: all(
            c.audit(e)["models"].get("bulletin-draft") == "loaded"
            for e in ENGINES), 10, "both replicas")
        set_engines(c, token_ms=30)
        with ThreadPoolExecutor(1) as pool:
            f = pool.submit(c.complete, ROUTER, "drafting", "bulletin-draft",
                            "killed", stream, 30)
            victim = wait_until(lambda: next(
                (e for e in ENGINES if c.audit(e)["inflight"]), None))
            c.procs[victim].kill()
            a = f.result()
        assert a.status == 200, a.body
        got = stream_text(a.body) if stream else (
            a.json()["choices"][0]["text"], True)
        assert got == (expected_text("killed", 30), True)


def test_short_answer_is_run_again(cluster):
    """The engine's answer is shorter than its Content-Length.  The caller has
    got nothing, and generation is idempotent: it is run again."""
    set_engines(cluster, short_answers=1)
    a = cluster.complete(ROUTER, "drafting", "bulletin-draft", "short")
    assert a.status == 200
    assert a.json()["choices"][0]["text"] == expected_text("short", 8)


def test_truncated_answers_are_never_passed_on(cluster):
    """The answer to each attempt is truncated: the caller gets "may have
    run"."""
    set_engines(cluster, short_answers=100)
    a = cluster.complete(ROUTER, "drafting", "bulletin-draft", "always short")
    assert (a.status, a.outcome) == (502, "failed-may-have-run")


@pytest.mark.parametrize("fault", ["drop_answers", "short_answers"])
def test_service_call_is_never_run_again(cluster, fault):
    """The service ran the call and its answer was lost or truncated.  A second
    run could charge a card twice: the caller gets "may have run"."""
    cluster.set_faults("dc1-sadasya-ledger", **{fault: 1})
    mark = "svc-" + fault
    a = cluster.ask(ROUTER, "registry", "/v1/services/member-lookup/m/1",
                    {"q": 1}, {"X-Run-Id": mark})
    assert (a.status, a.outcome) == (502, "failed-may-have-run")
    runs = cluster.call("dc1-sadasya-ledger", "GET", "/test/runs").json()
    assert runs[mark] == 1


def test_crossed_answer_is_not_passed_on(cluster):
    """The engine answers a call with the answer of the previous call.  Both
    are well-formed; only the attempt id shows the mix-up."""
    warm(cluster, "bulletin-draft")
    set_engines(cluster, cross_answers=1)
    a = cluster.complete(ROUTER, "drafting", "bulletin-draft", "mine")
    assert a.status == 200
    assert a.json()["choices"][0]["text"] == expected_text("mine", 8)


def test_late_answer_is_not_read_by_the_next_call(cluster):
    """The engine is silent until the timeout, then answers the old call while
    the next one is in progress.  The old connection must be closed by then."""
    set_engines(cluster, silent=True)
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(cluster.complete, ROUTER, "drafting",
                            "bulletin-draft", "late", False, 8, 40.0,
                            {"X-Deadline-Ms": "1500"})
        a = first.result()
        second = pool.submit(cluster.complete, ROUTER, "drafting",
                             "bulletin-draft", "punctual")
        set_engines(cluster, silent=False)
        b = second.result()
    assert (a.status, a.outcome) == (504, "failed-may-have-run")
    assert b.json()["choices"][0]["text"] == expected_text("punctual", 8)


def test_every_attempt_has_its_own_id(cluster):
    set_engines(cluster, short_answers=1)
    assert cluster.complete(ROUTER, "drafting", "bulletin-draft",
                            "ids").status == 200
    ids = [i for e in ENGINES for i in cluster.audit(e)["attempts"]]
    assert all(ids) and len(ids) == len(set(ids))


@pytest.mark.parametrize("stream", [True, False])
def test_caller_gone_cancels_the_generation(cluster, stream):
    """The caller disconnects while the engine generates.  The router closes
    the upstream call, and the engine stops using its accelerator for it."""
    before = sum_audit(cluster, "cancels")
    mark = "gone-%s" % stream
    set_engines(cluster, token_ms=50)
    s = open_call(cluster, make_doc("unread", stream, 200), mark)
    wait_until(lambda: count_runs(cluster, mark), 10, "the run")
    s.close()
    wait_until(lambda: sum_audit(cluster, "cancels") == before + 1, 4,
               "the cancel")
    wait_until(lambda: cluster.dump(ROUTER)["state"]["requests"] == 0, 5,
               "the end of the request")


def test_caller_gone_while_it_waits(cluster):
    """The caller disconnects while the load of its model hangs: its queue
    entry and its thread are released at once, and the request does not run
    later."""
    set_engines(cluster, stall_loads=True)
    s = open_call(cluster, make_doc("left", False, 8, "board-summary"),
                  "gone-waiting")
    wait_until(lambda: cluster.dump(ROUTER)["state"]["requests"] == 1, 5,
               "the request")
    s.close()
    wait_until(lambda: cluster.dump(ROUTER)["state"]["requests"] == 0, 2,
               "its end")
    set_engines(cluster, stall_loads=False)
    warm(cluster, "board-summary")
    assert count_runs(cluster, "gone-waiting") == 0
