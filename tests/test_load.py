"""bglade-load works: short runs against its own simulators, without
assertions on performance."""

import json
import os
import subprocess
import time

import pytest

from cluster import call, expected_text, free_port, wait_until


@pytest.fixture(scope="module")
def tool(build):
    return os.path.join(os.path.abspath(build), "bglade-load")


def start(tool, *args):
    return subprocess.Popen([tool, *map(str, args)])


def stop(proc):
    proc.terminate()
    assert proc.wait(20) == 0


def is_up(port, path):
    try:
        return call(port, "GET", path).status == 200
    except OSError:
        return False


@pytest.fixture(scope="module")
def engine(tool):
    """The first port of two simulated engines with the models m0 and m1."""
    port = free_port()
    proc = start(tool, "engine", "--port", port, "--engines", 2, "--loaded",
                 "m0,m1", "--token-us", 200, "--threads", 16,
                 "--load-scale", 1)
    wait_until(lambda: is_up(port, "/control/report"), 15, "engine")
    yield port
    stop(proc)


def run(tool, *args):
    res = subprocess.run([tool, "run", "--json", *map(str, args)],
                         capture_output=True, text=True, timeout=60,
                         check=False)
    return res.returncode, json.loads(res.stdout or "{}")


@pytest.mark.parametrize("more", [
    ("--requests", 40), ("--requests", 40, "--stream"),
    ("--requests", 40, "--chat"), ("--requests", 40, "--chat", "--stream"),
    ("--rate", 200, "--duration", 300, "--burst", 10, "--burst-every", 100),
], ids=["whole", "stream", "chat", "chat-stream", "open-loop"])
def test_run_checks_whole_answers(tool, engine, more):
    code, out = run(tool, "--to", "127.0.0.1:%d,127.0.0.1:%d" % (
        engine, engine + 1), "--models", "m%", "--count", 2, "--zipf", 1,
        "--connections", 4, *more)
    assert code == 0
    assert out["wrong"] == out["failed"] == out["not_started"] == 0
    assert out["answered"] == out["outcomes"]["200 -"] > 0
    assert out["whole_us"]["count"] == out["answered"]
    if "--stream" in more:
        assert out["tokens"] == out["answered"] * 10
    if "--requests" in more:
        assert out["answered"] == 40


def test_run_counts_what_is_not_answered(tool, engine):
    code, out = run(tool, "--to", "127.0.0.1:%d" % engine, "--models",
                    "other", "--requests", 3)
    assert code == 1
    assert out["outcomes"] == {"404 -": 3}
    assert out["answered"] == 0 and out["failed"] == 3


def test_run_sees_a_wrong_answer(tool, build):
    """An engine cuts a stream before its end: the tool must not count it as a
    complete answer."""
    port = free_port()
    script = os.path.join(os.path.dirname(__file__), "fake_engine.py")
    proc = subprocess.Popen(["/usr/bin/python3", script, "--port", str(port),
                             "--id", "e"])
    try:
        wait_until(lambda: is_up(port, "/control/report"), 15, "engine")
        call(port, "POST", "/control/load", {
            "model": "m0", "memory_mb": 1, "load_id": "a", "fence": 1,
            "load_ms": 1})
        wait_until(lambda: call(port, "GET", "/control/audit").json()[
            "models"].get("m0") == "loaded", 15, "load")
        assert run(tool, "--to", "127.0.0.1:%d" % port, "--models", "m0",
                   "--stream", "--requests", 2)[0] == 0
        call(port, "PUT", "/test/faults", {"cut_stream_after": 3})
        code, out = run(tool, "--to", "127.0.0.1:%d" % port, "--models",
                        "m0", "--stream", "--requests", 1)
        assert code == 1
        assert out["answered"] == 0
        assert out["wrong"] + out["failed"] == 1
    finally:
        proc.kill()
        proc.wait()


def test_simulated_engine_has_the_engine_api(tool, engine):
    """Orders, fencing tokens and the report's format are those of
    fake_engine.py."""
    order = {"model": "m9", "memory_mb": 10, "load_id": "l1", "fence": 5,
             "load_ms": 100}
    loaded = call(engine, "POST", "/control/load", order)
    assert loaded.status == 202 and loaded.json()["seq"] > 0
    old = call(engine, "POST", "/control/unload", {"model": "m9",
                                                   "fence": 4})
    assert old.status == 409
    assert old.json() == {"error": "fence", "fence": 5}

    def state():
        report = call(engine, "GET", "/control/report").json()
        return {m["name"]: m["state"] for m in report["models"]}.get("m9")
    wait_until(lambda: state() == "loaded", 15, "load")
    a = call(engine, "POST", "/v1/completions",
             {"model": "m9", "prompt": "p", "max_tokens": 3})
    assert a.json()["choices"][0]["text"] == expected_text("p", 3)
    assert call(engine + 1, "POST", "/v1/completions",
                {"model": "m9", "prompt": "p"}).status == 404
    gone = call(engine, "POST", "/control/unload", {"model": "m9",
                                                    "fence": 6})
    assert gone.status == 200 and gone.json()["state"] == "absent"


def test_simulated_log_keeps_order_and_rate(tool):
    port = free_port()
    proc = start(tool, "log", "--listen", "127.0.0.1:%d" % port, "--rate",
                 100, "--keep", 4, "--threads", 8)
    try:
        wait_until(lambda: is_up(port, "/test/state"), 15, "log")
        since = time.monotonic()
        offsets = [call(port, "POST", "/v1/append", b"r%d" % i).json()[
            "offset"] for i in range(10)]
        assert offsets == list(range(1, 11))
        assert time.monotonic() - since > 0.08
        page = call(port, "GET", "/v1/records?from=9&max=1").json()
        assert page["next"] == 11
        assert page["records"] == [{"offset": 9, "data": "cjg="}]
        assert call(port, "GET", "/v1/records?from=1").status == 410
    finally:
        stop(proc)


@pytest.mark.parametrize("args", [
    (), ("nonsense",), ("run",), ("run", "--to", "x", "--models", "m",
                                  "--connections", "-1"),
    ("run", "--to", "127.0.0.1:1", "--models", "m%"), ("engine",),
    ("log", "--listen", "nowhere")],
    ids=["none", "unknown", "no-target", "negative", "no-model", "no-port",
         "bad-address"])
def test_bad_arguments_exit_2(tool, args):
    res = subprocess.run([tool, *args], capture_output=True, timeout=20,
                         check=False)
    assert res.returncode == 2
    assert res.stderr
