"""Upstreams that leave: they get no new work a few seconds after the first
report of it, whatever its source, and later reports don't revoke it."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import Cluster, expected_text, stream_text, wait_until

ROUTER = "dc1-vm1-router"
LEAVER = "dc1-lm1"
ENGINES = (LEAVER, "dc1-lm2")
# From the first report that an upstream leaves until it gets no new work.
NOTICE_S = 3.0


@pytest.fixture(name="cluster")
def make_cluster(build):
    """Two engines, both with the model loaded."""
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
    """Makes some calls; returns how many of them LEAVER ran or refused."""
    def count():
        return count_runs(c) + c.audit(LEAVER)["turned_away"]
    before = count()
    call_some(c, name)
    return count() - before


def test_both_engines_get_work(cluster):
    """Precondition of the other tests: both engines get work while none is
    reported to leave."""
    assert 0 < count_new_work(cluster, "plain") < 12


def test_vm_list_says_leaving(cluster):
    """The platform's list of VMs reports the VM as leaving.  Its running
    streams complete and new work goes elsewhere, also after the list, which
    lags, has reported it as live again."""
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
    """Only the upstream's own report says that it leaves: it still accepts
    work, and the list of VMs reports it as live all the time."""
    cluster.set_faults(LEAVER, leaving=True)
    time.sleep(NOTICE_S)
    assert count_new_work(cluster, "after the report") == 0


def test_upstream_turns_work_away(cluster):
    """The upstream's report lags and the list of VMs says live, but the
    upstream refuses a request as leaving.  That request is answered elsewhere
    and no other is sent to it, also after the owner's next full state, which
    says live."""
    cluster.set_faults(LEAVER, report_lag_ms=600000)
    cluster.set_faults(LEAVER, leaving=True, refuse_new=True)
    assert count_new_work(cluster, "first call") == 1
    time.sleep(6)  # the owner sends its full state every 5 s
    assert count_new_work(cluster, "later") == 0


def test_peer_says_leaving(build):
    """An upstream that leaves refuses a request of one of two routers; list
    of VMs and report say live.  The first router reports this to the other,
    which sends nothing to the upstream."""
    services = [{"id": "dc1-ledger%d" % i, "centre": "dc1",
                 "deployment": "sadasya-ledger"} for i in (1, 2)]
    with Cluster(build, centres=("dc1",), vms_per_centre=2,
                 services=services) as c:
        c.publish_samples()

        def ask(router, i):
            a = c.ask(router, "registry", "/v1/services/member-lookup/m",
                      {"q": i})
            assert a.status == 200, a.body

        def find(router):
            return next((u for u in c.dump(router)["state"]["upstreams"]
                         if u["id"] == "dc1-ledger1"), {})
        first, second = c.routers()
        wait_until(lambda: all(find(r) for r in (first, second)), 10, "both")
        wait_until(lambda: any(link["node"].startswith(second) for link in
                               c.dump(first)["links"]), 10, "their link")
        c.set_faults("dc1-ledger1", refuse_new=True)
        for i in range(12):
            ask(first, i)
        wait_until(lambda: find(second)["leaving"], 3, "the peer's report")
        for i in range(12):
            ask(second, i)
        turned = c.call("dc1-ledger1", "GET", "/test/peak").json()
        assert turned["turned_away"] == 1


def test_service_turns_work_away(build):
    """A plain service refuses a call as leaving.  It was not run there, so it
    may be sent once to the other server."""
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
    """An upstream that leaves ends, and its id comes back under a new address:
    that is a new upstream and gets work.  An outdated list with the old
    address does not bring the old one back."""
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
