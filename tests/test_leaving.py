"""Upstreams that leave: no new work a few seconds after the first word of
it, whoever says it, and nothing that comes later takes it back."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, expected_text, stream_text, wait_until

ROUTER = "dc1-vm1-router"
LEAVER = "dc1-lm1"
ENGINES = (LEAVER, "dc1-lm2")
NOTICE_S = 3.0


@pytest.fixture(name="cluster")
def make_cluster(build):
    """Two engines, both with the model."""
    engines = [{"id": e, "centre": "dc1", "deployment": "parisankhyan-lm"}
               for e in ENGINES]
    settings = {"placer": {"placer": {"per_replica": 1}}}
    with Cluster(build, centres=("dc1",), vms_per_centre=1, engines=engines,
                 settings=settings) as c:
        c.publish_samples()
        with ThreadPoolExecutor(16) as pool:
            list(pool.map(lambda i: call(c, "warm %d" % i), range(16)))
        wait_until(lambda: all(
            u["loaded"] == 1 for u in list_upstreams(c)
            if u["id"] in ENGINES), 10, "both replicas")
        yield c


def call(c, prompt, stream=False, tokens=8):
    a = c.complete(ROUTER, "drafting", "bulletin-draft", prompt, stream,
                   tokens)
    assert a.status == 200, a.body
    text = stream_text(a.body)[0] if stream \
        else a.json()["choices"][0]["text"]
    assert text == expected_text(prompt, tokens)


def call_some(c, name):
    for i in range(12):
        call(c, "%s %d" % (name, i))


def list_upstreams(c):
    return c.dump(ROUTER)["state"]["upstreams"]


def count_runs(c, engine=LEAVER):
    return sum(c.audit(engine)["runs"].values())


def count_new_work(c, name):
    """Runs at the leaver and calls that it turned away, during calls."""
    def count():
        return count_runs(c) + c.audit(LEAVER)["turned_away"]
    before = count()
    call_some(c, name)
    return count() - before


def test_both_engines_get_work(cluster):
    """What the others rest on: without a word of leaving both are used."""
    assert 0 < count_new_work(cluster, "plain") < 12


def test_vm_list_says_leaving(cluster):
    """The platform's list calls the VM leaving.  A stream that it runs goes
    on to its end; new work goes elsewhere, also after the list, which lags,
    has called it live again."""
    cluster.set_faults(LEAVER, token_ms=50)
    cluster.set_faults(ENGINES[1], token_ms=50)
    with ThreadPoolExecutor(4) as pool:
        streams = [pool.submit(call, cluster, "old stream %d" % i, True, 100)
                   for i in range(4)]
        wait_until(lambda: cluster.audit(LEAVER)["inflight"], 5, "a stream")
        vms = json.loads(json.dumps(cluster.vms))
        for vm in vms:
            vm["state"] = "leaving" if vm["id"] == LEAVER else "live"
        cluster.set_vms(vms)
        time.sleep(NOTICE_S)
        for e in ENGINES:
            cluster.set_faults(e, token_ms=2)
        assert count_new_work(cluster, "after the list") == 0
        for s in streams:
            s.result()
    cluster.set_vms(cluster.vms)
    time.sleep(1)
    assert count_new_work(cluster, "after the old list") == 0


def test_report_says_leaving(cluster):
    """Only the upstream's own report says that it leaves: it would take
    work still, and the list calls it live all the time."""
    cluster.set_faults(LEAVER, leaving=True)
    time.sleep(NOTICE_S)
    assert count_new_work(cluster, "after the report") == 0


def test_upstream_turns_work_away(cluster):
    """Its report lags and the list calls it live; the upstream itself turns
    a request away.  That request is answered elsewhere and no other is
    sent, also after the owner's next full state, which calls it live."""
    cluster.set_faults(LEAVER, report_lag_ms=600000)
    cluster.set_faults(LEAVER, leaving=True, refuse_new=True)
    assert count_new_work(cluster, "first word") == 1
    time.sleep(6)  # the owner repeats its state every 5 s
    assert count_new_work(cluster, "later") == 0


def test_service_turns_work_away(build):
    """A plain service says that it leaves: the call was not run there, so
    it may be sent to the other one, once."""
    services = [{"id": "dc1-ledger%d" % i, "centre": "dc1",
                 "deployment": "sadasya-ledger"} for i in (1, 2)]
    with Cluster(build, centres=("dc1",), vms_per_centre=1,
                 services=services) as c:
        c.publish_samples()
        wait_until(lambda: len([u for u in list_upstreams(c)
                                if "ledger" in u["id"]]) == 2)
        c.call("dc1-ledger1", "PUT", "/test/leave", {})
        for i in range(12):
            a = c.ask(ROUTER, "registry", "/v1/services/member-lookup/m",
                      {"q": i}, {"X-Run-Id": "m%d" % i})
            assert a.status == 200, a.body
        assert c.call("dc1-ledger1", "GET", "/test/runs").json() == {}
        runs = c.call("dc1-ledger2", "GET", "/test/runs").json()
        assert list(runs.values()) == [1] * 12


def test_id_that_comes_back_is_a_new_upstream(cluster):
    """A leaver ends and its id comes back under a new address: that is a
    new upstream and gets work.  An old list that names the old address
    again does not bring the leaver back."""
    cluster.set_faults(LEAVER, leaving=True)
    wait_until(lambda: next(u for u in list_upstreams(cluster)
                            if u["id"] == LEAVER)["leaving"], 5, "leaving")
    cluster.procs[LEAVER].kill()
    cluster.set_vms([v for v in cluster.vms if v["id"] != LEAVER])
    time.sleep(1)
    del cluster.ports[LEAVER]
    cluster.start_engine(next(e for e in cluster.engines
                              if e["id"] == LEAVER))
    cluster.wait_port(LEAVER)
    vms = json.loads(json.dumps(cluster.vms))
    for vm in vms:
        if vm["id"] == LEAVER:
            vm["address"] = cluster.address(LEAVER)
    cluster.set_vms(vms)

    def is_new():
        u = next(u for u in list_upstreams(cluster) if u["id"] == LEAVER)
        return not u["leaving"] and u["address"] == cluster.address(LEAVER)
    wait_until(is_new, 5, "the new upstream")
    cluster.set_vms(cluster.vms)
    time.sleep(1)
    assert is_new()
