"""End-to-end tests: operator, log, router, placer, engine, caller."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, expected_text, stream_text, wait_until


@pytest.fixture(scope="module")
def cluster(build):
    with Cluster(build) as c:
        c.publish_samples()
        yield c


def test_cold_model_answers_whole(cluster):
    a = cluster.complete("dc1-vm1-router", "drafting", "bulletin-draft",
                         "monthly bulletin")
    assert a.status == 200, a.body
    assert a.outcome == "answered"
    assert a.json()["choices"][0]["text"] == expected_text(
        "monthly bulletin", 8)


def test_stream_ends_whole(cluster):
    a = cluster.complete("dc1-vm2-router", "drafting", "bulletin-draft",
                         "streamed", stream=True, tokens=20)
    assert a.status == 200
    assert stream_text(a.body) == (expected_text("streamed", 20), True)


def test_adapter_is_loaded_on_its_base(cluster):
    a = cluster.ask("dc1-vm1-router", "drafting", "/v1/chat/completions",
                    {"model": "nadia-filings", "max_tokens": 3,
                     "messages": [{"role": "user", "content": "plots"}]})
    assert a.status == 200, a.body
    assert a.json()["choices"][0]["message"]["content"] == expected_text(
        "plots", 3)


def test_plain_service_is_called(cluster):
    a = cluster.ask("dc2-vm1-router", "registry",
                    "/v1/services/member-lookup/members/17", {"q": 1},
                    {"X-Run-Id": "look-1"})
    assert a.status == 200, a.body
    assert a.json()["path"] == "/members/17"
    assert a.json()["runs"] == 1


def test_models_of_the_workspace_only(cluster):
    a = cluster.ask("dc1-vm1-router", "registry", "/v1/models", None,
                    method="GET")
    assert [m["id"] for m in a.json()["data"]] == ["bulletin-draft"]


@pytest.mark.parametrize("key,path,doc,status", [
    (None, "/v1/completions", {"model": "x", "prompt": "p"}, 401),
    ("wrong", "/v1/completions", {"model": "x", "prompt": "p"}, 401),
    ("registry", "/v1/completions",
     {"model": "board-summary", "prompt": "p"}, 404),
    ("registry", "/v1/completions", {"model": "nope", "prompt": "p"}, 404),
    ("registry", "/v1/completions", b"{\"model\":", 400),
    ("registry", "/v1/completions", {"prompt": "p"}, 400),
    ("registry", "/v1/completions", {"model": "bulletin-draft"}, 400),
    ("registry", "/v1/completions", b"[" * 200000, 400),
    ("registry", "/v1/completions", b"x" * (1024 * 1024 + 1), 413),
    ("drafting", "/v1/services/member-registry/x", {}, 404),
    ("registry", "/v1/services/member-registry/x", {}, 400),
    ("registry", "/v1/unknown", {}, 404),
], ids=["no-key", "wrong-key", "model-not-allowed", "no-such-model",
        "bad-json", "no-model", "no-prompt", "deep-json", "oversized",
        "service-not-allowed", "no-idempotency-key", "no-such-path"])
def test_bad_calls_are_refused_in_json(cluster, key, path, doc, status):
    keys = {"registry": "samiti-registry-key", "wrong": "nobody",
            "drafting": "samiti-drafting-key"}
    head = {"Authorization": "Bearer " + keys[key]} if key else {}
    a = cluster.call("dc1-vm1-router", "POST", path, doc, head)
    assert a.status == status, a.body
    assert a.outcome == "refused-not-run"
    assert a.json()["error"]["code"]


def test_operators_pages(cluster):
    for name in ("dc1-vm1-router", "dc1-vm1-placer"):
        assert cluster.call(name, "GET", "/healthz").status == 200
        assert b"# TYPE bglade_" in cluster.call(name, "GET",
                                                 "/metrics").body
        port = cluster.port(name)
        dump = cluster.bglade("dump", "127.0.0.1:%d" % port)
        assert '"fold"' in dump.stdout


def test_burst_at_every_router_makes_one_load(build):
    """200 callers request a model that is not loaded through all routers of a
    data centre at once.  If each router decided alone, each would load it.
    The owner merges the demand of the routers into one decision, so the
    board-summary model, which is limited to one replica, is loaded once and
    every caller gets a complete answer."""
    with Cluster(build, centres=("dc1",), vms_per_centre=3) as c:
        c.publish_samples()
        wait_until(lambda: c.owner("dc1"), 15, "owner")
        routers = c.routers()

        def ask(i):
            prompt = "summary %d" % i
            a = c.complete(routers[i % len(routers)], "drafting",
                           "board-summary", prompt, stream=i % 2 == 0)
            text = stream_text(a.body)[0] if i % 2 == 0 \
                else a.json()["choices"][0]["text"]
            return a.status == 200 and text == expected_text(prompt, 8)

        with ThreadPoolExecutor(200) as pool:
            assert all(pool.map(ask, range(200)))
        audits = [c.audit(e["id"]) for e in c.engines]
        loads = sum(a["loads"].get("board-summary", 0) for a in audits)
        assert loads == 1
        assert sum(a["overcommits"] for a in audits) == 0
